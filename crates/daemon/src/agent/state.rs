//! What the parts of an agent share.

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

/// Tasks remembered at once.
const MAX_REMEMBERED_TASKS: usize = 400_000;

/// A task that waits for a slot.
pub(crate) struct Waiting {
    pub(crate) task: TaskId,
    pub(crate) start: StartTask,
}

/// The stream of an entry.
struct Subscriber {
    tx: mpsc::UnboundedSender<FromAgent>,
    generation: u64,
}

/// What changes while tasks come and go.
pub(crate) struct Tasks {
    pub(crate) ledger: Ledger,
    pub(crate) issuer: CreditIssuer,
    pub(crate) queue: VecDeque<Waiting>,
    pub(crate) running: u32,
    pub(crate) leaving: bool,
    pub(crate) withdrawn: bool,
    subscribers: SortedMap<EntryId, Subscriber>,
    /// Entries that want to hear of a task.
    interested: SortedMap<TaskId, Vec<EntryId>>,
    generations: u64,
}

/// The state of an agent.
pub(crate) struct Shared {
    pub(crate) incarnation: Incarnation,
    pub(crate) announcement: Announcement,
    pub(crate) target: SocketAddr,
    pub(crate) contact: SocketAddr,
    /// Local address from which this agent connects to entries.
    pub(crate) source: Option<IpAddr>,
    pub(crate) slots: u32,
    pub(crate) answer_limit: ByteSize,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Metrics,
    pub(crate) members: Mutex<Vec<Member>>,
    /// Clients of entries, by address.
    pub(crate) clients: Mutex<SortedMap<String, PeerClient<Channel>>>,
    tasks: Mutex<Tasks>,
    /// Wakes the runner.
    pub(crate) work: Notify,
}

impl Shared {
    pub(crate) fn new(
        config: &Config,
        agent: &AgentConfig,
        rpc: SocketAddr,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
    ) -> Self {
        let tag = uuid::Uuid::new_v4().simple().to_string();
        let name = format!("{}@{}", agent.endpoint, &tag[..8]);
        let incarnation: Incarnation = name.parse().expect("a checked name and hex digits");
        let limits = LedgerLimits { max_tasks: MAX_REMEMBERED_TASKS, key_ages: config.lease.ages };
        let tasks = Tasks {
            ledger: Ledger::new(incarnation.clone(), limits),
            issuer: CreditIssuer::new(agent.slots + agent.queue),
            queue: VecDeque::new(),
            running: 0,
            leaving: false,
            withdrawn: false,
            subscribers: SortedMap::new(),
            interested: SortedMap::new(),
            generations: 0,
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
            source: net::source_ip(rpc),
            slots: agent.slots,
            answer_limit: config.limits.answer,
            clock,
            metrics,
            members: Mutex::default(),
            clients: Mutex::default(),
            tasks: Mutex::new(tasks),
            work: Notify::new(),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn tasks(&self) -> MutexGuard<'_, Tasks> {
        self.tasks.lock().expect("no holder of the tasks panics")
    }

    /// Returns the number of tasks at the endpoint.
    pub(crate) fn running(&self) -> u32 {
        self.tasks().running
    }

    /// Takes no more work and gives back what is queued.
    pub(crate) fn begin_leaving(&self) {
        let mut tasks = self.tasks();
        tasks.leaving = true;
        tasks.give_back_queued(self.now());
    }

    /// Follows whether operators have withdrawn the endpoint.
    pub(crate) fn set_withdrawn(&self, withdrawn: bool) {
        let mut tasks = self.tasks();
        tasks.withdrawn = withdrawn;
        if withdrawn {
            tasks.give_back_queued(self.now());
        }
    }
}

impl Tasks {
    /// Adds the stream of an entry, in place of an older one; returns its generation.
    pub(crate) fn subscribe(
        &mut self,
        entry: &EntryId,
        tx: mpsc::UnboundedSender<FromAgent>,
    ) -> u64 {
        self.generations += 1;
        self.issuer.remove_entry(entry);
        let subscriber = Subscriber { tx, generation: self.generations };
        self.subscribers.insert(entry.clone(), subscriber);
        self.generations
    }

    /// Removes the stream of an entry, unless a newer one has taken its place.
    pub(crate) fn unsubscribe(&mut self, entry: &EntryId, generation: u64) {
        if self.subscribers.get(entry).is_some_and(|s| s.generation == generation) {
            self.subscribers.remove(entry);
            self.issuer.remove_entry(entry);
        }
    }

    /// Judges an order and queues the task where it is accepted.
    pub(crate) fn start(&mut self, now: Instant, entry: &EntryId, task: TaskId, start: StartTask) {
        let order = StartRequest {
            task: task.clone(),
            epoch: Epoch::new(start.epoch),
            incarnation: self.ledger.incarnation().clone(),
            fingerprint: start.fingerprint,
        };
        match self.ledger.start(now, &order) {
            StartResponse::Accepted => {
                self.issuer.on_start(entry);
                self.interest(entry, &task);
                self.queue.push_back(Waiting { task, start });
                if self.takes_no_work() {
                    self.give_back_queued(now);
                }
            }
            StartResponse::AlreadyKnown(report) => {
                self.interest(entry, &task);
                self.tell(entry, &task, start.fingerprint, &report);
            }
            StartResponse::Fenced { .. }
            | StartResponse::OtherIncarnation
            | StartResponse::Full => {
                let report = Report::new(Stage::NotStarted);
                self.tell(entry, &task, start.fingerprint, &report);
            }
        }
    }

    /// Gives a task back to an entry where it has not started.
    pub(crate) fn take_back(&mut self, now: Instant, entry: &EntryId, task: &TaskId) {
        let report = match self.ledger.take_back(now, task) {
            TakeBackResponse::TakenBack => {
                self.drop_queued(task);
                Report::new(Stage::NotStarted)
            }
            TakeBackResponse::TooLate(report) => report,
        };
        self.tell(entry, task, 0, &report);
    }

    /// Takes the next task for a slot.
    pub(crate) fn next(&mut self, slots: u32) -> Option<Waiting> {
        if self.running >= slots {
            return None;
        }
        while let Some(waiting) = self.queue.pop_front() {
            if self.ledger.mark_started(&waiting.task) {
                self.running += 1;
                self.tell_all(&waiting.task, &Report::new(Stage::Started));
                return Some(waiting);
            }
        }
        None
    }

    /// Records how a task ended.
    pub(crate) fn finish(&mut self, now: Instant, task: &TaskId, report: Report) {
        self.running -= 1;
        self.issuer.on_end();
        self.tell_all(task, &report);
        self.ledger.mark_finished(now, task, report);
        self.interested.remove(task);
    }

    /// Gives back a queued task that can no longer be of use.
    pub(crate) fn drop_late(&mut self, now: Instant, wall_ms: u64) {
        let is_late = |w: &Waiting| w.start.deadline_ms > 0 && w.start.deadline_ms <= wall_ms;
        let late: Vec<TaskId> =
            self.queue.iter().filter(|w| is_late(w)).map(|w| w.task.clone()).collect();
        for task in late {
            self.give_back(now, &task);
        }
    }

    /// Hands out credits.
    pub(crate) fn issue_credits(&mut self, now: Instant) {
        if self.takes_no_work() {
            return;
        }
        for (entry, credits) in self.issuer.issue(now) {
            self.send(&entry, FromAgent { credits, ..FromAgent::default() });
        }
    }

    fn takes_no_work(&self) -> bool {
        self.leaving || self.withdrawn
    }

    fn give_back_queued(&mut self, now: Instant) {
        let queued: Vec<TaskId> = self.queue.iter().map(|waiting| waiting.task.clone()).collect();
        for task in queued {
            self.give_back(now, &task);
        }
    }

    fn give_back(&mut self, now: Instant, task: &TaskId) {
        if self.ledger.take_back(now, task) == TakeBackResponse::TakenBack {
            self.tell_all(task, &Report::new(Stage::NotStarted));
            self.drop_queued(task);
        }
    }

    fn drop_queued(&mut self, task: &TaskId) {
        let before = self.queue.len();
        self.queue.retain(|waiting| waiting.task != *task);
        for _ in self.queue.len()..before {
            self.issuer.on_end();
        }
        self.interested.remove(task);
    }

    fn interest(&mut self, entry: &EntryId, task: &TaskId) {
        let interested = self.interested.get_or_insert_with(task.clone(), Vec::new);
        if !interested.contains(entry) {
            interested.push(entry.clone());
        }
    }

    fn tell_all(&self, task: &TaskId, report: &Report) {
        let fingerprint = self.ledger.get(task).map_or(0, |held| held.fingerprint);
        for entry in self.interested.get(task).into_iter().flatten() {
            self.tell(entry, task, fingerprint, report);
        }
    }

    fn tell(&self, entry: &EntryId, task: &TaskId, fingerprint: u64, report: &Report) {
        let reports: Vec<TaskReport> = vec![report_to_proto(task, fingerprint, report)];
        self.send(entry, FromAgent { reports, ..FromAgent::default() });
    }

    fn send(&self, entry: &EntryId, mut batch: FromAgent) {
        batch.incarnation = self.ledger.incarnation().to_string();
        if let Some(subscriber) = self.subscribers.get(entry) {
            // An entry whose stream is closing asks anew on its next one.
            let _ = subscriber.tx.send(batch);
        }
    }
}
