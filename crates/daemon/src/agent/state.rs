//! The state that the background tasks of an agent share.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use cowslipwing_claims::{
    Ledger, LedgerLimits, Report, Stage, StartRequest, StartResponse, TakeBackResponse,
};
use cowslipwing_policy::CreditIssuer;
use cowslipwing_proto::peer_client::PeerClient;
use cowslipwing_proto::{Announcement, FromAgent, Member, StartTask, TaskReport};
use cowslipwing_settings::{AgentConfig, Config};
use cowslipwing_types::{
    ByteSize, Clock, EntryId, Epoch, Incarnation, SortedMap, TaskId, to_millis,
};
use tokio::sync::{Notify, mpsc};
use tonic::transport::Channel;

use crate::convert::report_to_proto;
use crate::metrics::Metrics;
use crate::net;

/// Maximum number of tasks in the ledger; when it is reached, the agent accepts no new ones.
const MAX_REMEMBERED_TASKS: usize = 400_000;

/// Placeholder for the fingerprint in answers to take-back requests, whose receiver needs none, and
/// in reports on tasks that the ledger does not hold.
const NO_FINGERPRINT: u64 = 0;

/// A task in the queue, with the entry's request to start it.
pub(crate) struct QueuedTask {
    pub(crate) task: TaskId,
    pub(crate) start: StartTask,
}

/// The open stream of an entry.
struct Subscriber {
    tx: mpsc::UnboundedSender<FromAgent>,
    /// Distinguishes this stream from earlier ones of the same entry.
    generation: u64,
}

/// The tasks at the agent, and the entries to which it reports on them.
pub(crate) struct Tasks {
    pub(crate) ledger: Ledger,
    pub(crate) issuer: CreditIssuer,
    pub(crate) queue: VecDeque<QueuedTask>,
    /// Number of tasks at the endpoint.
    pub(crate) running: u32,
    /// Whether the agent is shutting down.
    pub(crate) leaving: bool,
    /// Whether operators have withdrawn the endpoint.
    pub(crate) withdrawn: bool,
    subscribers: SortedMap<EntryId, Subscriber>,
    /// Entries that receive the reports on a task.
    report_recipients: SortedMap<TaskId, Vec<EntryId>>,
    /// Generation of the most recently opened stream.
    last_generation: u64,
}

/// The state of an agent: its configuration, its connections to entries, and its tasks.
pub(crate) struct Shared {
    pub(crate) incarnation: Incarnation,
    /// The announcement to entries, with `leaving` unset.
    pub(crate) announcement: Announcement,
    /// Address of the endpoint.
    pub(crate) target: SocketAddr,
    /// Address of an entry to which the agent announces itself even if it knows no members.
    pub(crate) contact: SocketAddr,
    /// Local address of outgoing connections; `None` lets the system choose.
    pub(crate) source_ip: Option<IpAddr>,
    /// Number of tasks that may run at the same time.
    pub(crate) slots: u32,
    /// Largest answer accepted from the endpoint.
    pub(crate) answer_limit: ByteSize,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Metrics,
    /// The member entries, from the replies to the most recent announcement.
    pub(crate) members: Mutex<Vec<Member>>,
    /// Clients of entries, by RPC address.
    pub(crate) clients: Mutex<SortedMap<String, PeerClient<Channel>>>,
    tasks: Mutex<Tasks>,
    /// Wakes the runner before its next poll.
    pub(crate) wakeup: Notify,
}

impl Shared {
    /// Creates the state of a new incarnation that listens on `rpc`.
    pub(crate) fn new(
        config: &Config,
        agent: &AgentConfig,
        rpc: SocketAddr,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
    ) -> Self {
        let suffix = uuid::Uuid::new_v4().simple().to_string();
        let name = format!("{}@{}", agent.endpoint, &suffix[..8]);
        let incarnation: Incarnation =
            name.parse().expect("a valid name followed by hex digits is a valid incarnation id");
        let limits = LedgerLimits { max_tasks: MAX_REMEMBERED_TASKS, key_ages: config.lease.ages };
        let tasks = Tasks {
            ledger: Ledger::new(incarnation.clone(), limits),
            issuer: CreditIssuer::new(agent.slots + agent.queue),
            queue: VecDeque::new(),
            running: 0,
            leaving: false,
            withdrawn: false,
            subscribers: SortedMap::new(),
            report_recipients: SortedMap::new(),
            last_generation: 0,
        };
        let announcement = Announcement {
            endpoint: agent.endpoint.to_string(),
            incarnation: incarnation.to_string(),
            site: config.site.to_string(),
            address: agent.advertise.unwrap_or(rpc).to_string(),
            slots: agent.slots,
            cores: agent.cores,
            memory_mb: agent.memory_mb,
            leaving: false,
            history_from_ms: to_millis(clock.wall()),
        };
        Self {
            incarnation,
            announcement,
            target: agent.target,
            contact: agent.contact,
            source_ip: net::source_ip(rpc),
            slots: agent.slots,
            answer_limit: config.limits.answer,
            clock,
            metrics,
            members: Mutex::default(),
            clients: Mutex::default(),
            tasks: Mutex::new(tasks),
            wakeup: Notify::new(),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn tasks(&self) -> MutexGuard<'_, Tasks> {
        self.tasks.lock().expect("the tasks mutex is not poisoned")
    }

    /// Returns the number of tasks at the endpoint.
    pub(crate) fn running(&self) -> u32 {
        self.tasks().running
    }

    /// Stops accepting tasks and returns the queued ones to their entries.
    pub(crate) fn begin_leaving(&self) {
        let mut tasks = self.tasks();
        tasks.leaving = true;
        tasks.return_queued(self.now());
    }

    /// Records whether operators have withdrawn the endpoint. If so, returns the queued tasks to
    /// their entries.
    pub(crate) fn set_withdrawn(&self, withdrawn: bool) {
        let mut tasks = self.tasks();
        tasks.withdrawn = withdrawn;
        if withdrawn {
            tasks.return_queued(self.now());
        }
    }
}

impl Tasks {
    /// Registers the stream of an entry, replacing an earlier one, and returns its generation.
    ///
    /// The entry's demand and unused credits are dropped.
    pub(crate) fn subscribe(
        &mut self,
        entry: &EntryId,
        tx: mpsc::UnboundedSender<FromAgent>,
    ) -> u64 {
        self.last_generation += 1;
        self.issuer.remove_entry(entry);
        let subscriber = Subscriber { tx, generation: self.last_generation };
        self.subscribers.insert(entry.clone(), subscriber);
        self.last_generation
    }

    /// Removes the stream of an entry, unless a newer stream has replaced it.
    pub(crate) fn unsubscribe(&mut self, entry: &EntryId, generation: u64) {
        if self.subscribers.get(entry).is_some_and(|s| s.generation == generation) {
            self.subscribers.remove(entry);
            self.issuer.remove_entry(entry);
        }
    }

    /// Handles an entry's request to start a task: queues the task or reports why it is not queued.
    pub(crate) fn on_start(
        &mut self,
        now: Instant,
        entry: &EntryId,
        task: TaskId,
        start: StartTask,
    ) {
        let request = StartRequest {
            task: task.clone(),
            epoch: Epoch::new(start.epoch),
            incarnation: self.ledger.incarnation().clone(),
            fingerprint: start.fingerprint,
        };
        match self.ledger.start(now, &request) {
            StartResponse::Accepted => {
                self.issuer.on_start(entry);
                self.add_report_recipient(entry, &task);
                self.queue.push_back(QueuedTask { task, start });
                if self.refuses_tasks() {
                    self.return_queued(now);
                }
            }
            StartResponse::AlreadyKnown(report) => {
                self.add_report_recipient(entry, &task);
                self.send_report(entry, &task, start.fingerprint, &report);
            }
            StartResponse::Fenced { .. }
            | StartResponse::OtherIncarnation
            | StartResponse::Full => {
                let report = Report::new(Stage::NotStarted);
                self.send_report(entry, &task, start.fingerprint, &report);
            }
        }
    }

    /// Handles an entry's request to take a task back, which succeeds only if it has not started.
    pub(crate) fn on_take_back(&mut self, now: Instant, entry: &EntryId, task: &TaskId) {
        let report = match self.ledger.take_back(now, task) {
            TakeBackResponse::TakenBack => {
                self.remove_queued(task);
                Report::new(Stage::NotStarted)
            }
            TakeBackResponse::TooLate(report) => report,
        };
        self.send_report(entry, task, NO_FINGERPRINT, &report);
    }

    /// Marks the next queued task as started and returns it.
    ///
    /// Returns `None` if no slot is free or no task is queued.
    pub(crate) fn start_next(&mut self, slots: u32) -> Option<QueuedTask> {
        if self.running >= slots {
            return None;
        }
        while let Some(queued) = self.queue.pop_front() {
            if self.ledger.mark_started(&queued.task) {
                self.running += 1;
                self.send_report_to_all(&queued.task, &Report::new(Stage::Started));
                return Some(queued);
            }
        }
        None
    }

    /// Records the final report on a task, sends it to the task's entries and frees the slot.
    pub(crate) fn finish(&mut self, now: Instant, task: &TaskId, report: Report) {
        self.running -= 1;
        self.issuer.on_end();
        self.send_report_to_all(task, &report);
        self.ledger.mark_finished(now, task, report);
        self.report_recipients.remove(task);
    }

    /// Returns queued tasks whose deadline has passed to their entries. `wall_ms` is the wall-clock
    /// time in milliseconds since the Unix epoch. A deadline of 0 never passes.
    pub(crate) fn return_expired(&mut self, now: Instant, wall_ms: u64) {
        let is_expired = |queued: &QueuedTask| {
            queued.start.deadline_ms > 0 && queued.start.deadline_ms <= wall_ms
        };
        let expired: Vec<TaskId> =
            self.queue.iter().filter(|q| is_expired(q)).map(|q| q.task.clone()).collect();
        for task in expired {
            self.return_task(now, &task);
        }
    }

    /// Grants free credits to entries, unless the agent accepts no tasks.
    pub(crate) fn issue_credits(&mut self, now: Instant) {
        if self.refuses_tasks() {
            return;
        }
        for (entry, credits) in self.issuer.issue(now) {
            self.send_batch(&entry, FromAgent { credits, ..FromAgent::default() });
        }
    }

    fn refuses_tasks(&self) -> bool {
        self.leaving || self.withdrawn
    }

    fn return_queued(&mut self, now: Instant) {
        let tasks: Vec<TaskId> = self.queue.iter().map(|queued| queued.task.clone()).collect();
        for task in tasks {
            self.return_task(now, &task);
        }
    }

    /// Returns a task to its entries if it has not started.
    fn return_task(&mut self, now: Instant, task: &TaskId) {
        if self.ledger.take_back(now, task) == TakeBackResponse::TakenBack {
            self.send_report_to_all(task, &Report::new(Stage::NotStarted));
            self.remove_queued(task);
        }
    }

    /// Removes a task from the queue and frees its place for another credit.
    fn remove_queued(&mut self, task: &TaskId) {
        let previous_len = self.queue.len();
        self.queue.retain(|queued| queued.task != *task);
        for _ in self.queue.len()..previous_len {
            self.issuer.on_end();
        }
        self.report_recipients.remove(task);
    }

    /// Adds an entry to those that receive the reports on a task.
    fn add_report_recipient(&mut self, entry: &EntryId, task: &TaskId) {
        let recipients = self.report_recipients.get_or_insert_with(task.clone(), Vec::new);
        if !recipients.contains(entry) {
            recipients.push(entry.clone());
        }
    }

    fn send_report_to_all(&self, task: &TaskId, report: &Report) {
        let fingerprint = self.ledger.get(task).map_or(NO_FINGERPRINT, |held| held.fingerprint);
        for entry in self.report_recipients.get(task).into_iter().flatten() {
            self.send_report(entry, task, fingerprint, report);
        }
    }

    fn send_report(&self, entry: &EntryId, task: &TaskId, fingerprint: u64, report: &Report) {
        let reports: Vec<TaskReport> = vec![report_to_proto(task, fingerprint, report)];
        self.send_batch(entry, FromAgent { reports, ..FromAgent::default() });
    }

    fn send_batch(&self, entry: &EntryId, mut batch: FromAgent) {
        batch.incarnation = self.ledger.incarnation().to_string();
        if let Some(subscriber) = self.subscribers.get(entry) {
            // Sending fails only if the stream is closing; the entry repeats its requests on its
            // next stream.
            let _ = subscriber.tx.send(batch);
        }
    }
}
