//! The jobs that this entry owns.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cowslipwing_claims::{Job, JobPhase, KeyFreshness, Recovery, Stage};
use cowslipwing_fold::Terms;
use cowslipwing_policy::{AdmissionCheck, Refusal};
use cowslipwing_proto::{JobAnswer, JobState, Task};
use cowslipwing_types::{BatchName, JobId, RangeId, TaskId, TaskIndex, to_millis};
use tokio::sync::oneshot;

use super::shard::{EndedJob, OpenJob, Reply, Serving, Shard};
use super::shared::{Queued, Shared, lock, name_of};
use super::submission::{Checked, declared, need_of, terms_of};
use super::{dispatch, link};
use crate::api_error::ApiError;
use crate::convert::{job_answer_to_proto, task_id_to_proto};

/// Time between two looks at deadlines.
const TICK: Duration = Duration::from_millis(10);
/// The same while no job is open.
const IDLE_TICK: Duration = Duration::from_millis(50);
/// Ticks between two sweeps of what has been remembered for long enough.
const TICKS_PER_SWEEP: u32 = 100;

/// What became of a submission.
pub(crate) enum Submitted {
    /// The job is taken on, or was before; the answer follows.
    Waits(oneshot::Receiver<Reply>),
    /// This entry does not take new jobs of the range.
    Elsewhere,
}

/// Takes a job on, or joins the one that runs under its key.
pub(crate) fn submit(shared: &Shared, checked: &Checked) -> Result<Submitted, ApiError> {
    let range = checked.job.range();
    let (tx, rx) = oneshot::channel();
    let mut shard = shared.shard(range);
    if !shard.is_serving() {
        return Ok(Submitted::Elsewhere);
    }
    if join(&mut shard, checked, tx)? {
        return Ok(Submitted::Waits(rx));
    }
    if shard.draining {
        return Ok(Submitted::Elsewhere);
    }
    let (tx, rx) = oneshot::channel();
    open(shared, &mut shard, range, checked, tx)?;
    drop(shard);
    shared.work.notify_one();
    Ok(Submitted::Waits(rx))
}

/// Joins the job that has the key already; false where there is none.
fn join(
    shard: &mut Shard,
    checked: &Checked,
    tx: oneshot::Sender<Reply>,
) -> Result<bool, ApiError> {
    let reused = || ApiError::KeyReused { job: checked.job.clone() };
    if let Some(ended) = shard.ended.get(&checked.job) {
        if ended.fingerprint != checked.fingerprint {
            return Err(reused());
        }
        // A caller that is gone needs no reply.
        let _ = tx.send(Reply::Answer(ended.answer.clone()));
        return Ok(true);
    }
    let Some(open) = shard.open.get_mut(&checked.job) else {
        return Ok(false);
    };
    if open.job.fingerprint() != checked.fingerprint {
        return Err(reused());
    }
    open.waiters.push(tx);
    Ok(true)
}

fn open(
    shared: &Shared,
    shard: &mut Shard,
    range: RangeId,
    checked: &Checked,
    tx: oneshot::Sender<Reply>,
) -> Result<(), ApiError> {
    let now = shared.now();
    let Serving::Here(recovery) = &shard.serving else {
        return Err(ApiError::NoOwner { job: checked.job.clone() });
    };
    let wall = shared.clock.wall();
    let verdict = shared.lease.ages.freshness(checked.made_at, wall, recovery);
    match verdict {
        KeyFreshness::Fresh | KeyFreshness::MayHaveRun => {}
        KeyFreshness::TooOld => return Err(ApiError::KeyTooOld { job: checked.job.clone() }),
        KeyFreshness::FromFuture => {
            return Err(ApiError::KeyFromFuture { job: checked.job.clone() });
        }
    }
    if was_other_submission(recovery, checked) {
        return Err(ApiError::KeyReused { job: checked.job.clone() });
    }
    let terms = terms_of(shared, &checked.job.customer)?;
    let tasks = &checked.submission.tasks;
    let time_left = checked.deadline.duration_since(wall).unwrap_or_default();
    let cost = admit(shared, checked, &terms, time_left)?;
    let count = tasks.len() as u32;
    let mut job = Job::new(checked.job.clone(), checked.fingerprint, count, now + time_left);
    job.recover(now, verdict, recovery);
    let need = need_of(tasks);
    let queued = Queued { job: checked.job.clone(), range, need };
    {
        let mut dispatch = lock(&shared.dispatch);
        dispatch.count_open(&checked.job.customer, 1);
        dispatch.dispatcher.queue.push(
            &checked.job.customer,
            queued,
            job.waiting_count() as u32,
            cost,
        );
    }
    shared.open_jobs.fetch_add(1, Ordering::Relaxed);
    shared.metrics.count("entry.jobs.opened", 1);
    let opened = OpenJob {
        job,
        submission: checked.submission.clone(),
        need,
        traceparent: checked.traceparent.clone(),
        deadline_ms: to_millis(checked.deadline),
        waiters: vec![tx],
        taken_back: false,
    };
    shard.open.insert(checked.job.clone(), opened);
    dispatch::resume_adopted(shared, shard, range, &checked.job);
    after_change(shared, shard, range, &checked.job);
    Ok(())
}

/// Tells whether an agent holds a task of the key that belongs to another submission.
fn was_other_submission(recovery: &Recovery, checked: &Checked) -> bool {
    let indexes = (0..checked.submission.tasks.len() as u32).map(TaskIndex::new);
    let mut found =
        indexes.filter_map(|index| recovery.task(&TaskId { job: checked.job.clone(), index }));
    found.any(|found| {
        found.report.stage != Stage::NotStarted && found.fingerprint != checked.fingerprint
    })
}

/// Judges whether the job is taken on; returns the estimated cost of a task.
fn admit(
    shared: &Shared,
    checked: &Checked,
    terms: &Terms,
    time_left: Duration,
) -> Result<Duration, ApiError> {
    let tasks = &checked.submission.tasks;
    let dispatch = lock(&shared.dispatch);
    let mut work = Duration::ZERO;
    let mut longest_task = Duration::ZERO;
    for task in tasks {
        let declared = declared(task)?;
        let expected =
            dispatch.dispatcher.estimates.get(&checked.job.customer, &task.kind, declared);
        work += expected;
        longest_task = longest_task.max(expected);
    }
    let count = tasks.len() as u32;
    let entries = shared.members().len() as u32;
    let admission = AdmissionCheck {
        open_jobs: shared.open_jobs.load(Ordering::Relaxed),
        customer_open_jobs: dispatch.open_of(&checked.job.customer),
        queue_delay: dispatch.dispatcher.queue_delay(&checked.job.customer, work, entries),
        longest_task,
        time_left,
    };
    let refused = |refusal| ApiError::Refused { refusal };
    admission.check(count, terms, &shared.limits.jobs).map_err(refused)?;
    if dispatch.dispatcher.placement.slots() > 0 {
        let misfit = |task: &Task| {
            !dispatch.dispatcher.placement.fits_any(need_of(std::slice::from_ref(task)))
        };
        if let Some((index, task)) = (0..).zip(tasks).find(|(_, task)| misfit(task)) {
            let kind = task.kind.as_str().into();
            return Err(refused(Refusal::NeverFits { index, kind }));
        }
    }
    Ok(work / count.max(1))
}

/// Returns a job's answer as it stands.
pub(crate) fn show(shared: &Shared, job: &JobId) -> Option<Result<JobAnswer, ApiError>> {
    let shard = shared.shard(job.range());
    if !shard.is_serving() {
        return None;
    }
    if let Some(ended) = shard.ended.get(job) {
        return Some(Ok((*ended.answer).clone()));
    }
    let open = shard.open.get(job);
    let unknown = || ApiError::UnknownJob { job: job.clone() };
    Some(open.map(|open| job_answer_to_proto(&open.job, endpoint_of)).ok_or_else(unknown))
}

/// Withdraws a job; the account follows.
pub(crate) fn withdraw(shared: &Shared, job: &JobId) -> Result<Submitted, ApiError> {
    let range = job.range();
    let mut shard = shared.shard(range);
    if !shard.is_serving() {
        return Ok(Submitted::Elsewhere);
    }
    let (tx, rx) = oneshot::channel();
    if let Some(ended) = shard.ended.get(job) {
        // The receiver is still here.
        let _ = tx.send(Reply::Answer(ended.answer.clone()));
        return Ok(Submitted::Waits(rx));
    }
    let now = shared.now();
    let Some(open) = shard.open.get_mut(job) else {
        return Err(ApiError::UnknownJob { job: job.clone() });
    };
    open.waiters.push(tx);
    open.job.withdraw(now);
    after_change(shared, &mut shard, range, job);
    Ok(Submitted::Waits(rx))
}

/// Withdraws the open jobs of batches that the log names as withdrawn.
pub(crate) fn withdraw_batches(shared: &Shared) {
    let now = shared.now();
    for range in shared.ranges() {
        let mut shard = shared.shard(range);
        let withdrawn: Vec<JobId> = shared.read(|fold| {
            let is_withdrawn = |id: &JobId, open: &OpenJob| {
                let batch = open.submission.batch.parse::<BatchName>();
                batch.is_ok_and(|batch| fold.is_batch_withdrawn(&id.customer, &batch))
            };
            let found = shard.open.iter().filter(|(id, open)| is_withdrawn(id, open));
            found.map(|(id, _)| id.clone()).collect()
        });
        for job in withdrawn {
            if let Some(open) = shard.open.get_mut(&job) {
                open.job.withdraw(now);
            }
            after_change(shared, &mut shard, range, &job);
        }
    }
}

/// Watches deadlines until the entry stops.
pub(crate) async fn run_ticks(shared: Arc<Shared>) {
    let mut ticks: u32 = 0;
    loop {
        let is_idle = shared.open_jobs.load(Ordering::Relaxed) == 0;
        tokio::time::sleep(if is_idle { IDLE_TICK } else { TICK }).await;
        tick(&shared);
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(TICKS_PER_SWEEP) {
            sweep(&shared);
        }
    }
}

fn tick(shared: &Shared) {
    let now = shared.now();
    for range in shared.ranges() {
        let mut shard = shared.shard(range);
        let due: Vec<JobId> = shard
            .open
            .iter()
            .filter(|(_, open)| open.job.is_due(now))
            .map(|(id, _)| id.clone())
            .collect();
        for job in due {
            if let Some(open) = shard.open.get_mut(&job) {
                open.job.on_tick(now);
            }
            after_change(shared, &mut shard, range, &job);
        }
    }
}

fn sweep(shared: &Shared) {
    let now = shared.now();
    let ages = shared.lease.ages;
    for range in shared.ranges() {
        let keeps = |id: &JobId, ended: &EndedJob| {
            now < ended.ended_at + ages.retention_for(id.key.made_at())
        };
        shared.shard(range).ended.retain(|id, ended| keeps(id, ended));
    }
    lock(&shared.announcements).expire(now);
    link::forget_silent(shared);
    let dispatch = lock(&shared.dispatch);
    shared.metrics.gauge("entry.tasks.waiting", u64::from(dispatch.dispatcher.queue.len()));
    shared.metrics.gauge("entry.credits", u64::from(dispatch.dispatcher.placement.credits()));
}

/// Carries out what a change of a job asks for: taking tasks back, or sending the answer.
pub(crate) fn after_change(shared: &Shared, shard: &mut Shard, range: RangeId, id: &JobId) {
    let Some(open) = shard.open.get_mut(id) else {
        return;
    };
    match open.job.phase() {
        JobPhase::Running => {}
        JobPhase::Stopping { .. } => take_back(shared, range, open),
        JobPhase::Complete | JobPhase::Failed { .. } => {
            take_back(shared, range, open);
            close(shared, shard, range, id);
        }
    }
}

fn take_back(shared: &Shared, range: RangeId, open: &mut OpenJob) {
    if std::mem::replace(&mut open.taken_back, true) {
        return;
    }
    forget_queued(shared, range, open);
    for (index, agent) in open.job.sent_tasks() {
        let task = TaskId { job: open.job.id().clone(), index };
        link::send(shared, agent, link::Message::TakeBack(task_id_to_proto(&task)));
    }
}

/// Removes a job from the fair queue and from the count of open jobs.
pub(crate) fn forget_queued(shared: &Shared, range: RangeId, open: &OpenJob) {
    let job = open.job.id();
    let queued = Queued { job: job.clone(), range, need: open.need };
    lock(&shared.dispatch).dispatcher.queue.remove(&job.customer, &queued);
}

/// Counts a job as open no more.
pub(crate) fn count_closed(shared: &Shared, job: &JobId) {
    lock(&shared.dispatch).count_open(&job.customer, -1);
    shared.open_jobs.fetch_sub(1, Ordering::Relaxed);
}

fn close(shared: &Shared, shard: &mut Shard, range: RangeId, id: &JobId) {
    let Some(open) = shard.open.remove(id) else {
        return;
    };
    forget_queued(shared, range, &open);
    count_closed(shared, id);
    let answer = Arc::new(job_answer_to_proto(&open.job, endpoint_of));
    count_answer(shared, &answer);
    let ended = EndedJob {
        fingerprint: open.job.fingerprint(),
        answer: answer.clone(),
        ended_at: shared.now(),
    };
    shard.ended.insert(id.clone(), ended);
    for waiter in open.waiters {
        // A caller that is gone needs no reply.
        let _ = waiter.send(Reply::Answer(answer.clone()));
    }
}

fn count_answer(shared: &Shared, answer: &JobAnswer) {
    let name = match answer.state() {
        JobState::Complete => "entry.jobs.complete",
        JobState::Failed | JobState::Running => "entry.jobs.failed",
    };
    shared.metrics.count(name, 1);
}

fn endpoint_of(agent: &cowslipwing_types::Incarnation) -> String {
    name_of(agent.as_str()).to_owned()
}
