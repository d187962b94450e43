//! Sends queued tasks to agents. Each task uses a credit that the agent has granted.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_fold::MemberSet;
use cowslipwing_proto::StartTask;
use cowslipwing_types::{Incarnation, JobId, RangeId, TaskId, TaskIndex};
use tokio::time::timeout;
use tracing::info_span;

use super::link::{self, AgentCommand};
use super::shard::{OpenJob, Shard};
use super::shared::{QueueItem, Shared, lock};
use super::submission::declared_run_time;
use crate::convert::task_id_to_proto;
use crate::trace;

/// Time after which the dispatch loop runs again without a wakeup.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which the dispatch loop runs again while no task is queued and no credit is held.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Kind of tasks that declare none. Tasks that are queued again are queued with the estimate for
/// this kind as their cost.
pub(crate) const UNSPECIFIED_KIND: &str = "";

/// Sends tasks until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        while send_one(&shared) {}
        request_credits(&shared);
        return_idle_credits(&shared);
        let pause = if is_idle(&shared) { IDLE_INTERVAL } else { POLL_INTERVAL };
        let _ = timeout(pause, shared.dispatch_wakeup.notified()).await;
    }
}

/// Returns whether no task is queued and no credit is held.
fn is_idle(shared: &Shared) -> bool {
    let dispatch = lock(&shared.dispatch);
    dispatch.dispatcher.queue.is_empty() && dispatch.dispatcher.placement.credits() == 0
}

/// Chooses the next queued task and sends it, unless its job no longer has a task to send.
///
/// Returns `false` if no task can be sent now.
fn send_one(shared: &Shared) -> bool {
    let members = shared.members();
    let Some((queued, agent)) = choose(shared, &members) else {
        return false;
    };
    let mut shard = shared.shard(queued.range);
    let epoch = shard.epoch;
    if !lock(&shared.leases).covers(queued.range, epoch, shared.now()) {
        // The owner of the range has changed, or the lease has expired, since the task was chosen.
        drop(shard);
        requeue(shared, queued, &agent);
        return false;
    }
    let index = shard.open_jobs.get_mut(&queued.job).and_then(|open| open.job.send_next(&agent));
    let Some((index, open)) = index.zip(shard.open_jobs.get(&queued.job)) else {
        // The job has ended or been withdrawn since the task was chosen.
        drop(shard);
        lock(&shared.dispatch).dispatcher.cancel_assignment(&queued.job.customer, &agent);
        return true;
    };
    let start = start_message(open, &queued.job, index, epoch.get());
    record_sent(shared, open, &agent, &queued.job, index);
    link::send(shared, &agent, AgentCommand::Start(Box::new(start)));
    true
}

/// Puts a task that was not sent back into the queue, and returns the agent's credit.
fn requeue(shared: &Shared, queued: QueueItem, agent: &Incarnation) {
    let mut dispatch = lock(&shared.dispatch);
    let customer = queued.job.customer.clone();
    dispatch.dispatcher.cancel_assignment(&customer, agent);
    let cost = dispatch.dispatcher.estimates.get(&customer, UNSPECIFIED_KIND, None);
    dispatch.dispatcher.queue.push(&customer, queued, 1, cost);
}

/// Chooses the next task in a range with a valid lease, and a usable agent to send it to.
fn choose(shared: &Shared, members: &MemberSet) -> Option<(QueueItem, Incarnation)> {
    let mut dispatch = lock(&shared.dispatch);
    let leases = lock(&shared.leases);
    let usable_agents = lock(&shared.usable_agents);
    let now = shared.now();
    let may_start = |queued: &QueueItem| {
        let epoch = shared.with_fold(|fold| fold.range_owners().epoch(queued.range));
        leases.covers(queued.range, epoch, now)
    };
    let may_use = |queued: &QueueItem, agent: &Incarnation| {
        usable_agents.is_usable(members, queued.range, agent)
    };
    let (_, queued, agent) = dispatch.dispatcher.assign_next(now, may_start, may_use)?;
    Some((queued, agent))
}

/// Records in the dispatcher that a task was sent to an agent.
fn record_sent(
    shared: &Shared,
    open: &OpenJob,
    agent: &Incarnation,
    job: &JobId,
    index: TaskIndex,
) {
    let task = &open.submission.tasks[index.get() as usize];
    let declared = declared_run_time(task).ok().flatten();
    let id = TaskId { job: job.clone(), index };
    let mut dispatch = lock(&shared.dispatch);
    dispatch.dispatcher.on_sent(agent, &job.customer, id, &task.kind, declared);
    shared.metrics.count("entry.tasks.sent", 1);
}

/// Builds the message that tells an agent to start a task.
pub(crate) fn start_message(
    open: &OpenJob,
    job: &JobId,
    index: TaskIndex,
    epoch: u64,
) -> StartTask {
    let span = info_span!("dispatch", job = %job, task = index.get());
    trace::set_remote_parent(&span, &open.traceparent);
    let task = TaskId { job: job.clone(), index };
    StartTask {
        task: Some(task_id_to_proto(&task)),
        range: job.range().get(),
        epoch,
        deadline_ms: open.deadline_ms,
        work: Some(open.submission.tasks[index.get() as usize].clone()),
        traceparent: trace::traceparent_of(&span),
        fingerprint: open.job.fingerprint(),
    }
}

/// Sends start commands for a job's adopted tasks, so that their agents report to this entry.
///
/// Adopted tasks are those that an earlier owner sent and that agents held when this entry took
/// over.
pub(crate) fn resume_adopted(shared: &Shared, shard: &Shard, range: RangeId, job: &JobId) {
    let Some(open) = shard.open_jobs.get(job) else {
        return;
    };
    debug_assert_eq!(job.range(), range);
    for (index, agent) in open.job.sent_tasks() {
        lock(&shared.dispatch).dispatcher.on_adopted(agent, &job.customer);
        record_sent(shared, open, agent, job, index);
        let start = start_message(open, job, index, shard.epoch.get());
        link::send(shared, agent, AgentCommand::Start(Box::new(start)));
    }
}

/// Asks agents for the credits that the queued tasks need.
fn request_credits(shared: &Shared) {
    // A random position in the list of agents, so that entries do not all ask the same agent.
    let first_agent = rand::random::<u32>() as usize;
    let requests =
        lock(&shared.dispatch).dispatcher.plan_credit_requests(shared.now(), first_agent);
    for (agent, credits) in requests {
        link::send(shared, &agent, AgentCommand::RequestCredits(credits));
    }
}

/// Returns all held credits to their agents if no queued task has been able to use them for a
/// while.
fn return_idle_credits(shared: &Shared) {
    let returned = lock(&shared.dispatch).dispatcher.take_idle_credits(shared.now());
    for (agent, credits) in returned {
        link::send(shared, &agent, AgentCommand::ReturnCredits(credits));
    }
}
