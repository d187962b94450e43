//! The jobs in the ranges that this entry serves.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cowslipwing_claims::{Job, JobPhase, KeyFreshness, Recovery, Stage};
use cowslipwing_fold::Terms;
use cowslipwing_policy::{AdmissionCheck, Refusal};
use cowslipwing_proto::{JobAnswer, JobState, Task};
use cowslipwing_types::{BatchName, JobId, RangeId, TaskId, TaskIndex, to_millis};
use tokio::sync::oneshot;

use super::job_memory::JobMemory;
use super::shard::{EndedJob, OpenJob, Reply, ServingState, Shard};
use super::shared::{QueueItem, Shared, lock, name_of};
use super::submission::{CheckedSubmission, declared_run_time, max_requirements, terms_of};
use super::{dispatch, link};
use crate::api_error::ApiError;
use crate::convert::{job_answer_to_proto, task_id_to_proto};

/// Interval between checks of the deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between checks of the deadlines while no job is open.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of ticks between sweeps that remove expired jobs and agents.
const TICKS_PER_SWEEP: u32 = 100;

/// The outcome of a submission or a withdrawal at this entry.
pub(crate) enum RequestOutcome {
    /// The job is known or was accepted; the receiver gets its final answer.
    Pending(oneshot::Receiver<Reply>),
    /// This entry does not serve the range, or accepts no new jobs in it.
    NotServed,
}

/// Accepts a job, or adds the caller to the job that already has the key.
///
/// # Errors
///
/// Returns an error if the job is refused, or if its key belongs to another submission.
pub(crate) fn submit(
    shared: &Shared,
    checked: &CheckedSubmission,
) -> Result<RequestOutcome, ApiError> {
    let range = checked.job.range();
    let (tx, rx) = oneshot::channel();
    let mut shard = shared.shard(range);
    if !shard.is_serving() {
        return Ok(RequestOutcome::NotServed);
    }
    if join_existing(&mut shard, checked, tx)? {
        return Ok(RequestOutcome::Pending(rx));
    }
    if !shard.handover.accepts_jobs() {
        return Ok(RequestOutcome::NotServed);
    }
    let (tx, rx) = oneshot::channel();
    open_job(shared, &mut shard, range, checked, tx)?;
    drop(shard);
    shared.dispatch_wakeup.notify_one();
    Ok(RequestOutcome::Pending(rx))
}

/// Adds a caller to the job that already has the key, or answers the caller if that job has ended.
///
/// Returns `false` if no job has the key.
fn join_existing(
    shard: &mut Shard,
    checked: &CheckedSubmission,
    tx: oneshot::Sender<Reply>,
) -> Result<bool, ApiError> {
    let reused = || ApiError::KeyReused { job: checked.job.clone() };
    if let Some(ended) = shard.ended_jobs.get(&checked.job) {
        if ended.fingerprint != checked.fingerprint {
            return Err(reused());
        }
        // The caller may have disconnected.
        let _ = tx.send(Reply::Answer(ended.answer.clone()));
        return Ok(true);
    }
    let Some(open) = shard.open_jobs.get_mut(&checked.job) else {
        return Ok(false);
    };
    if open.job.fingerprint() != checked.fingerprint {
        return Err(reused());
    }
    open.waiters.push(tx);
    Ok(true)
}

/// Checks whether a new job can be accepted, and opens it.
fn open_job(
    shared: &Shared,
    shard: &mut Shard,
    range: RangeId,
    checked: &CheckedSubmission,
    tx: oneshot::Sender<Reply>,
) -> Result<(), ApiError> {
    let now = shared.now();
    let ServingState::Serving(recovery) = &shard.serving else {
        return Err(ApiError::NoOwner { job: checked.job.clone() });
    };
    let wall = shared.clock.wall();
    let freshness = shared.lease.ages.freshness(checked.made_at, wall, recovery);
    match freshness {
        KeyFreshness::Fresh | KeyFreshness::MayHaveRun => {}
        KeyFreshness::TooOld => return Err(ApiError::KeyTooOld { job: checked.job.clone() }),
        KeyFreshness::FromFuture => {
            return Err(ApiError::KeyFromFuture { job: checked.job.clone() });
        }
    }
    if holds_other_submission(recovery, checked) {
        return Err(ApiError::KeyReused { job: checked.job.clone() });
    }
    let terms = terms_of(shared, &checked.job.customer)?;
    let tasks = &checked.submission.tasks;
    let time_left = checked.deadline.duration_since(wall).unwrap_or_default();
    // Counted before the check, so that submissions at the same time do not all pass it.
    let memory = JobMemory::new(&shared.open_job_bytes, &checked.submission);
    let cost = admit(shared, checked, &terms, time_left, &memory)?;
    let count = tasks.len() as u32;
    let mut job = Job::new(checked.job.clone(), checked.fingerprint, count, now + time_left);
    job.recover(now, freshness, recovery);
    let requirements = max_requirements(tasks);
    let queued = QueueItem { job: checked.job.clone(), range, requirements };
    {
        let mut dispatch = lock(&shared.dispatch);
        dispatch.adjust_open_jobs(&checked.job.customer, 1);
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
        _memory: memory,
        submission: checked.submission.clone(),
        requirements,
        traceparent: checked.traceparent.clone(),
        deadline_ms: to_millis(checked.deadline),
        waiters: vec![tx],
        take_back_sent: false,
    };
    shard.open_jobs.insert(checked.job.clone(), opened);
    dispatch::resume_adopted(shared, shard, range, &checked.job);
    on_job_changed(shared, shard, range, &checked.job);
    Ok(())
}

/// Returns whether an agent holds a task under the same key that belongs to another submission.
fn holds_other_submission(recovery: &Recovery, checked: &CheckedSubmission) -> bool {
    let indexes = (0..checked.submission.tasks.len() as u32).map(TaskIndex::new);
    let mut recovered_tasks =
        indexes.filter_map(|index| recovery.task(&TaskId { job: checked.job.clone(), index }));
    recovered_tasks.any(|task| {
        task.report.stage != Stage::NotStarted && task.fingerprint != checked.fingerprint
    })
}

/// Checks whether a job can be admitted, and returns the mean estimated run time of its tasks.
fn admit(
    shared: &Shared,
    checked: &CheckedSubmission,
    terms: &Terms,
    time_left: Duration,
    memory: &JobMemory,
) -> Result<Duration, ApiError> {
    let tasks = &checked.submission.tasks;
    let dispatch = lock(&shared.dispatch);
    let mut total_run_time = Duration::ZERO;
    let mut longest_task = Duration::ZERO;
    for task in tasks {
        let declared = declared_run_time(task)?;
        let expected =
            dispatch.dispatcher.estimates.get(&checked.job.customer, &task.kind, declared);
        total_run_time += expected;
        longest_task = longest_task.max(expected);
    }
    let count = tasks.len() as u32;
    let entries = shared.members().len() as u32;
    let admission = AdmissionCheck {
        open_jobs: shared.open_jobs.load(Ordering::Relaxed),
        open_memory: memory.others,
        job_memory: memory.own,
        customer_open_jobs: dispatch.open_jobs_of(&checked.job.customer),
        queue_delay: dispatch.dispatcher.queue_delay(
            &checked.job.customer,
            total_run_time,
            entries,
        ),
        longest_task,
        time_left,
    };
    let refused = |refusal| ApiError::Refused { refusal };
    admission.check(count, terms, &shared.limits.jobs).map_err(refused)?;
    if dispatch.dispatcher.placement.slots() > 0 {
        let fits_nowhere = |task: &Task| {
            !dispatch.dispatcher.placement.fits_any(max_requirements(std::slice::from_ref(task)))
        };
        if let Some((index, task)) = (0..).zip(tasks).find(|(_, task)| fits_nowhere(task)) {
            let kind = task.kind.as_str().into();
            return Err(refused(Refusal::NeverFits { index, kind }));
        }
    }
    Ok(total_run_time / count.max(1))
}

/// Returns the current answer of a job, or `None` if this entry does not serve its range.
pub(crate) fn show(shared: &Shared, job: &JobId) -> Option<Result<JobAnswer, ApiError>> {
    let shard = shared.shard(job.range());
    if !shard.is_serving() {
        return None;
    }
    if let Some(ended) = shard.ended_jobs.get(job) {
        return Some(Ok((*ended.answer).clone()));
    }
    let open = shard.open_jobs.get(job);
    let unknown = || ApiError::UnknownJob { job: job.clone() };
    Some(open.map(|open| job_answer_to_proto(&open.job, endpoint_of)).ok_or_else(unknown))
}

/// Withdraws a job. Its final answer follows once the agents have reported which of its tasks they
/// return, or after a time limit.
///
/// # Errors
///
/// Returns an error if this entry serves the range but holds no such job.
pub(crate) fn withdraw(shared: &Shared, job: &JobId) -> Result<RequestOutcome, ApiError> {
    let range = job.range();
    let mut shard = shared.shard(range);
    if !shard.is_serving() {
        return Ok(RequestOutcome::NotServed);
    }
    let (tx, rx) = oneshot::channel();
    if let Some(ended) = shard.ended_jobs.get(job) {
        // The receiver is still in scope.
        let _ = tx.send(Reply::Answer(ended.answer.clone()));
        return Ok(RequestOutcome::Pending(rx));
    }
    let now = shared.now();
    let Some(open) = shard.open_jobs.get_mut(job) else {
        return Err(ApiError::UnknownJob { job: job.clone() });
    };
    open.waiters.push(tx);
    open.job.withdraw(now);
    on_job_changed(shared, &mut shard, range, job);
    Ok(RequestOutcome::Pending(rx))
}

/// Withdraws the open jobs whose batch has been withdrawn.
pub(crate) fn withdraw_batches(shared: &Shared) {
    let now = shared.now();
    for range in shared.ranges() {
        let mut shard = shared.shard(range);
        let withdrawn: Vec<JobId> = shared.with_fold(|fold| {
            let is_withdrawn = |id: &JobId, open: &OpenJob| {
                let batch = open.submission.batch.parse::<BatchName>();
                batch.is_ok_and(|batch| fold.is_batch_withdrawn(&id.customer, &batch))
            };
            let matching = shard.open_jobs.iter().filter(|(id, open)| is_withdrawn(id, open));
            matching.map(|(id, _)| id.clone()).collect()
        });
        for job in withdrawn {
            if let Some(open) = shard.open_jobs.get_mut(&job) {
                open.job.withdraw(now);
            }
            on_job_changed(shared, &mut shard, range, &job);
        }
    }
}

/// Checks deadlines and removes expired jobs and agents until the entry stops.
pub(crate) async fn run_ticks(shared: Arc<Shared>) {
    let mut ticks: u32 = 0;
    loop {
        let is_idle = shared.open_jobs.load(Ordering::Relaxed) == 0;
        tokio::time::sleep(if is_idle { IDLE_TICK_INTERVAL } else { TICK_INTERVAL }).await;
        tick(&shared);
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(TICKS_PER_SWEEP) {
            sweep(&shared);
        }
    }
}

/// Ends the jobs whose deadline has passed, and failed jobs that have waited too long for their
/// agents.
fn tick(shared: &Shared) {
    let now = shared.now();
    for range in shared.ranges() {
        let mut shard = shared.shard(range);
        let due: Vec<JobId> = shard
            .open_jobs
            .iter()
            .filter(|(_, open)| open.job.is_due(now))
            .map(|(id, _)| id.clone())
            .collect();
        for job in due {
            if let Some(open) = shard.open_jobs.get_mut(&job) {
                open.job.on_tick(now);
            }
            on_job_changed(shared, &mut shard, range, &job);
        }
    }
}

/// Removes ended jobs and silent agents whose retention has passed, and updates the gauges.
fn sweep(shared: &Shared) {
    let now = shared.now();
    let ages = shared.lease.ages;
    for range in shared.ranges() {
        let is_retained = |id: &JobId, ended: &EndedJob| {
            now < ended.ended_at + ages.retention_for(id.key.made_at())
        };
        shared.shard(range).ended_jobs.retain(|id, ended| is_retained(id, ended));
    }
    lock(&shared.agent_registry).expire(now);
    link::remove_silent_agents(shared);
    let dispatch = lock(&shared.dispatch);
    shared.metrics.gauge("entry.tasks.waiting", u64::from(dispatch.dispatcher.queue.len()));
    shared.metrics.gauge("entry.credits", u64::from(dispatch.dispatcher.placement.credits()));
}

/// Acts on a change of a job: takes back the tasks of a job that is stopping or has ended, and
/// sends the final answer of a job that has ended.
pub(crate) fn on_job_changed(shared: &Shared, shard: &mut Shard, range: RangeId, id: &JobId) {
    let Some(open) = shard.open_jobs.get_mut(id) else {
        return;
    };
    match open.job.phase() {
        JobPhase::Running => {}
        JobPhase::Stopping { .. } => take_back_tasks(shared, range, open),
        JobPhase::Complete | JobPhase::Failed { .. } => {
            take_back_tasks(shared, range, open);
            close_job(shared, shard, range, id);
        }
    }
}

/// Removes a job's waiting tasks from the queue, and asks agents to return those that were sent.
/// Does so only once per job.
fn take_back_tasks(shared: &Shared, range: RangeId, open: &mut OpenJob) {
    if std::mem::replace(&mut open.take_back_sent, true) {
        return;
    }
    remove_from_queue(shared, range, open);
    for (index, agent) in open.job.sent_tasks() {
        let task = TaskId { job: open.job.id().clone(), index };
        link::send(shared, agent, link::AgentCommand::TakeBack(task_id_to_proto(&task)));
    }
}

/// Removes a job's waiting tasks from the fair queue.
pub(crate) fn remove_from_queue(shared: &Shared, range: RangeId, open: &OpenJob) {
    let job = open.job.id();
    let queued = QueueItem { job: job.clone(), range, requirements: open.requirements };
    lock(&shared.dispatch).dispatcher.queue.remove(&job.customer, &queued);
}

/// Removes a job from the counts of open jobs.
pub(crate) fn count_closed(shared: &Shared, job: &JobId) {
    lock(&shared.dispatch).adjust_open_jobs(&job.customer, -1);
    shared.open_jobs.fetch_sub(1, Ordering::Relaxed);
}

/// Stores the final answer of a job and sends it to the waiting callers.
fn close_job(shared: &Shared, shard: &mut Shard, range: RangeId, id: &JobId) {
    let Some(open) = shard.open_jobs.remove(id) else {
        return;
    };
    remove_from_queue(shared, range, &open);
    count_closed(shared, id);
    let answer = Arc::new(job_answer_to_proto(&open.job, endpoint_of));
    count_answer(shared, &answer);
    let ended = EndedJob {
        fingerprint: open.job.fingerprint(),
        answer: answer.clone(),
        ended_at: shared.now(),
    };
    shard.ended_jobs.insert(id.clone(), ended);
    for waiter in open.waiters {
        // The caller may have disconnected.
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
