//! Decides whether a task may start again after an endpoint crashed under it.
//!
//! A task may crash every endpoint that starts it. Each start then takes an endpoint away from all
//! callers for seconds, so the job ends once two endpoints have crashed soon after they had started
//! the task. A task that had run for longer more likely ran beside the one that caused the crash, and a
//! start that was not confirmed is no proof that the task was there. Such a task may survive one crash
//! more, after which its job is given up but not called failed.
//!
//! A caller may hand the job in again at another entry. Crash records, which agents and entries share,
//! keep the count over all attempts: a job whose task has reached the limit is answered at its
//! submission.

use std::cmp::Reverse;
use std::time::Duration;

use cowslipwing_types::stable_hash;

use crate::crash_log::{CrashCount, CrashLog, CrashRecord};
use crate::id::{AgentId, RequestId, TaskName};
use crate::job::{Answer, GiveUpReason};

use super::task::{Job, Task, TaskState};
use super::{Action, CrashRole, Decision, Scheduler, TaskEvent};

/// Number of agents that an entry sends each new record to. Agents pass records on to their up to
/// eight entries, so that entries without a stream from the crashed endpoint's agent learn of it too.
const FORWARD_COUNT: usize = 3;

impl Scheduler {
    /// Returns the crash records that the entry remembers.
    pub fn crash_log(&self) -> &CrashLog {
        &self.crash_log
    }

    /// Handles crash records that an agent has sent, each with the time since the crash. New ones
    /// count for open jobs at once and for others at their submission, and are passed on to some
    /// agents.
    pub fn on_crash_records<I>(&mut self, now: Duration, source: &AgentId, records: I)
    where
        I: IntoIterator<Item = (CrashRecord, Duration)>,
    {
        for (record, age) in records {
            if !self.learn_crash(now, source, &record, age) {
                continue;
            }
            // The event of the lost run itself follows, and decides about the task.
            let is_in_flight = |task: &Task| {
                task.last_run == record.run.number
                    && matches!(&task.state, TaskState::Sent { agent, .. }
                        if agent.vm_name() == record.vm)
            };
            let name = &record.run.task;
            if self.find_task(name).is_some_and(|(_, task)| !is_in_flight(task)) {
                self.end_at_crash_limit(name);
            }
        }
    }

    /// Adds a record to the log, counts it for its job if that is open, and passes it on. Returns
    /// whether it is new.
    fn learn_crash(
        &mut self,
        now: Duration,
        source: &AgentId,
        record: &CrashRecord,
        age: Duration,
    ) -> bool {
        if !self.crash_log.insert(now, record.clone(), age) {
            return false;
        }
        for agent in self.agents_to_tell(now, source, record) {
            self.actions.push(Action::ShareCrash(agent, record.clone(), age));
        }
        let decision = Decision::CrashLearned { record: record.clone(), source: source.clone() };
        self.actions.push(Action::Record(decision));
        self.count_crash(now, record);
        true
    }

    /// Selects the agents that a new record is sent to. The choice depends on the time, so that
    /// entries with the same agents choose different ones.
    fn agents_to_tell(
        &self,
        now: Duration,
        source: &AgentId,
        record: &CrashRecord,
    ) -> Vec<AgentId> {
        let suspect_after = self.settings.suspect_after;
        let others = self.endpoints.iter().filter(|(agent, endpoint)| {
            *agent != source && endpoint.is_connected(now, suspect_after)
        });
        let rank = |agent: &AgentId| {
            let name = record.run.task.request.as_str().bytes().chain(agent.as_str().bytes());
            Reverse(stable_hash(name.chain(now.as_nanos().to_le_bytes())))
        };
        let mut ranked: Vec<_> = others.map(|(agent, _)| (rank(agent), agent)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(FORWARD_COUNT).map(|(_, agent)| agent.clone()).collect()
    }

    /// Counts a new record for its job if that is open.
    fn count_crash(&mut self, now: Duration, record: &CrashRecord) {
        let request = &record.run.task.request;
        let is_deferred = |job: &&mut Job| job.spec.id == *request;
        let mut deferred = self.deferred.iter_mut().map(|deferred| &mut deferred.job);
        let Some(job) = self.jobs.get_mut(request).or_else(|| deferred.find(is_deferred)) else {
            return;
        };
        let Some(index) = job.index_of(&record.run.task) else {
            return;
        };
        let task = &mut job.tasks[index];
        task.add_crash(record);
        if record.role == CrashRole::Suspect {
            let is_proven = task.crashes.is_failed();
            let (queue, service) = (job.spec.queue.clone(), job.spec.service.clone());
            self.contain_queue(now, &queue, &service, is_proven);
        }
    }

    fn find_task(&self, name: &TaskName) -> Option<(&Job, &Task)> {
        let job = self.jobs.get(&name.request)?;
        Some((job, &job.tasks[job.index_of(name)?]))
    }

    /// Counts for a submitted job the crashes of earlier attempts.
    pub(super) fn count_earlier_crashes(&self, now: Duration, job: &mut Job) {
        let id = job.spec.id.clone();
        for record in self.crash_log.of_request(now, &id) {
            if let Some(index) = job.index_of(&record.run.task) {
                job.tasks[index].add_earlier_crash(record);
            }
        }
    }

    /// Answers a job that is not open yet and of which a task has reached the limit; returns
    /// whether it was answered.
    pub(super) fn answer_at_crash_limit(&mut self, job: &Job) -> bool {
        let at_limit = job.tasks.iter().find(|task| task.crashes.is_at_limit());
        let Some(task) = at_limit else {
            return false;
        };
        let decision = Decision::CrashLimitKnown {
            task: task.name.clone(),
            confirmed: task.crashes.confirmed(),
            possible: task.crashes.possible(),
        };
        let answer = self.crash_answer(task.crashes);
        self.actions.push(Action::Record(decision));
        self.actions.push(Action::Answer(job.spec.id.clone(), answer));
        true
    }

    fn crash_answer(&self, crashes: CrashCount) -> Answer {
        if crashes.is_failed() {
            return Answer::Failed;
        }
        let retry_after = self.settings.lease_bound();
        Answer::GaveUp { reason: GiveUpReason::Crashes, retry_after }
    }

    /// Ends the job of a task that has reached the limit; returns whether it was ended.
    pub(super) fn end_at_crash_limit(&mut self, name: &TaskName) -> bool {
        let Some((_, task)) = self.find_task(name) else {
            return false;
        };
        let crashes = task.crashes;
        if !crashes.is_at_limit() {
            return false;
        }
        let decision = Decision::CrashLimitReached {
            task: name.clone(),
            confirmed: crashes.confirmed(),
            possible: crashes.possible(),
        };
        let answer = self.crash_answer(crashes);
        self.actions.push(Action::Record(decision));
        self.end_job(&name.request, Some(answer));
        true
    }

    /// Returns whether a task may go to any known endpoint of its service, usable or not, or has
    /// crashed none.
    pub(super) fn has_endpoint_for(&self, id: &RequestId, index: usize) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let excluded_vms = &job.tasks[index].excluded_vms;
        let is_allowed = |agent: &AgentId| !excluded_vms.iter().any(|vm| vm == agent.vm_name());
        let in_service = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.status.service == job.spec.service);
        if self.fits_only_evacuated(job, index) {
            return false;
        }
        excluded_vms.is_empty() || in_service.map(|(agent, _)| agent).any(is_allowed)
    }

    /// Handles a run that was lost because its endpoint crashed. The agent's record of the crash has
    /// been counted before; an agent of an earlier version sends none.
    pub(super) fn on_crashed(
        &mut self,
        now: Duration,
        index: usize,
        agent: &AgentId,
        event: &TaskEvent,
        role: CrashRole,
    ) {
        let name = &event.run.task;
        let vm = agent.vm_name().into();
        let record = CrashRecord { run: event.run.clone(), vm, role };
        if let Some(job) = self.jobs.get_mut(&name.request) {
            job.tasks[index].on_lost(agent);
        }
        self.learn_crash(now, agent, &record, Duration::ZERO);
        if !self.end_at_crash_limit(name) {
            self.place_task(now, &name.request, index);
        }
    }

    /// Handles an order that was returned because the task is a suspect of an earlier crash there.
    pub(super) fn on_known_suspect(
        &mut self,
        now: Duration,
        index: usize,
        agent: &AgentId,
        name: &TaskName,
    ) {
        if let Some(job) = self.jobs.get_mut(&name.request) {
            job.tasks[index].on_known_suspect(agent);
        }
        if !self.end_at_crash_limit(name) {
            self.place_task(now, &name.request, index);
        }
    }
}
