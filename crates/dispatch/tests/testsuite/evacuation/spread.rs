//! How an evacuation spreads among entries and agents while parts of the deployment fail.
//!
//! Each agent has streams to two of six entries, so that the states cross several processes. Frames
//! arrive with the next step of the simulation.

use std::time::Duration;

use cowslipwing_dispatch::{
    Action, EndpointReport, EntryId, EvacuationFeed, EvacuationState, Evacuations, Executor,
    ExecutorAction, ExecutorSettings, FullEvacuationRead, Listing, ReceivedOrder, Resources,
    RunOutcome, Scheduler, StartOutcome, TaskEnd,
};

use super::{site, state};
use crate::support::{SETTINGS, WARM_UP, agent, job, ms};

const START: Duration = Duration::from_secs(100);
/// Time between two steps, which is also the delay of each frame.
const STEP: Duration = Duration::from_millis(20);
const ENTRIES: usize = 6;
const AGENTS: usize = 12;
/// Bound from the first entry's knowledge to the last start, a fifth of `evacuationTimeoutMs`.
const MAX_SPREAD: Duration = Duration::from_millis(1000);
/// Version of the evacuation in the tests.
const MADE: u64 = 7;

struct Entry {
    scheduler: Scheduler,
    evacuations: Evacuations,
}

struct Agent {
    executor: Executor,
    evacuations: Evacuations,
    /// Runs that have started since the latest listing; each completes with the next one.
    ended: Vec<TaskEnd>,
    end_count: u64,
}

/// A stream between an entry and an agent.
struct Link {
    entry: usize,
    agent: usize,
    is_open: bool,
    entry_feed: EvacuationFeed,
    agent_feed: EvacuationFeed,
    /// States on their way to the agent and to the entry.
    in_flight: (Vec<EvacuationState>, Vec<EvacuationState>),
}

/// Six entries and twelve agents, of which each third is in one of three data centres.
struct Net {
    now: Duration,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    links: Vec<Link>,
    jobs: usize,
    /// Time and data centre of each start.
    starts: Vec<(Duration, &'static str)>,
}

fn site_of(agent: usize) -> &'static str {
    ["a", "b", "c"][agent % 3]
}

fn entry_id(number: usize) -> EntryId {
    format!("front-{number}@1").parse().unwrap()
}

impl Entry {
    fn new() -> Self {
        let mut scheduler = Scheduler::new(SETTINGS);
        scheduler.on_tick(START - WARM_UP);
        Self { scheduler, evacuations: Evacuations::default() }
    }

    fn merge(&mut self, now: Duration, states: Vec<EvacuationState>) {
        self.evacuations.merge(states);
        self.scheduler.set_evacuated_sites(now, self.evacuations.active_sites());
    }
}

impl Agent {
    fn new(number: usize, now: Duration) -> Self {
        let mut executor = Executor::new(ExecutorSettings {
            max_tasks: 4000,
            entry_lease: SETTINGS.entry_lease,
            endpoint_lease: SETTINGS.endpoint_lease,
            longest_lease: ms(1000),
            vm: agent(number).vm_name().into(),
            site: site_of(number).into(),
        });
        let report = EndpointReport {
            id: "i-1".into(),
            incarnation: 1,
            service: "desk".into(),
            capacity: Resources { cpu_millis: 64_000, memory_mb: 65_536, gpus: 0 },
            kind: "k".into(),
            rack: "r".into(),
            draining: false,
            cold_remaining: Duration::ZERO,
            sequence: 1,
        };
        executor.on_report(now, report);
        Self { executor, evacuations: Evacuations::default(), ended: Vec::new(), end_count: 0 }
    }
}

impl Net {
    fn new() -> Self {
        let link = |agent: usize, offset: usize| Link {
            entry: (agent + offset) % ENTRIES,
            agent,
            is_open: true,
            entry_feed: EvacuationFeed::default(),
            agent_feed: EvacuationFeed::default(),
            in_flight: Default::default(),
        };
        let mut net = Self {
            now: START,
            entries: (0..ENTRIES).map(|_| Entry::new()).collect(),
            agents: (0..AGENTS).map(|number| Agent::new(number, START)).collect(),
            links: (0..AGENTS).flat_map(|agent| [link(agent, 0), link(agent, 1)]).collect(),
            jobs: 0,
            starts: Vec::new(),
        };
        (0..net.links.len()).for_each(|index| net.open(index));
        net
    }

    /// Opens a stream; both sides start with all that they know.
    fn open(&mut self, index: usize) {
        let link = &mut self.links[index];
        link.is_open = true;
        link.entry_feed = EvacuationFeed::default();
        link.agent_feed = EvacuationFeed::default();
        link.in_flight = Default::default();
        self.entries[link.entry].scheduler.on_attached(self.now, &agent(link.agent), &[]);
    }

    fn restart_agent(&mut self, number: usize) {
        self.agents[number] = Agent::new(number, self.now);
        for index in 0..self.links.len() {
            if self.links[index].agent == number {
                self.open(index);
            }
        }
    }

    fn restart_entry(&mut self, number: usize) {
        self.entries[number] = Entry::new();
        for index in 0..self.links.len() {
            if self.links[index].entry == number {
                self.open(index);
            }
        }
    }

    fn cut(&mut self, entry: usize) {
        for link in self.links.iter_mut().filter(|link| link.entry == entry) {
            link.is_open = false;
            self.entries[entry].scheduler.on_detached(self.now, &agent(link.agent));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for number in 0..ENTRIES {
            self.jobs += 1;
            let spec = job(&format!("j{}", self.jobs), 4, 1000, ms(50));
            self.entries[number].scheduler.submit(self.now, spec);
        }
        for index in 0..self.links.len() {
            if self.links[index].is_open {
                self.exchange(index);
            }
        }
        for number in 0..AGENTS {
            self.run_endpoint(number);
        }
        for number in 0..ENTRIES {
            self.entries[number].scheduler.on_tick(self.now);
            self.send_orders(number);
        }
    }

    /// Delivers the frames that were sent with the last step, and sends the next ones.
    fn exchange(&mut self, index: usize) {
        let now = self.now;
        let link = &mut self.links[index];
        let (entry, host) = (&mut self.entries[link.entry], &mut self.agents[link.agent]);
        let (to_agent, to_entry) = std::mem::take(&mut link.in_flight);
        host.evacuations.merge(to_agent);
        host.executor.set_evacuated(now, host.evacuations.is_active(site_of(link.agent)));
        host.executor.on_entry_heartbeat(now, &entry_id(link.entry), now);
        if !to_entry.is_empty() {
            entry.merge(now, to_entry);
        }
        entry.scheduler.on_status(now, &agent(link.agent), host.executor.status(now));
        link.in_flight =
            (link.entry_feed.take(&entry.evacuations), link.agent_feed.take(&host.evacuations));
    }

    /// Lists an endpoint whose tasks complete within a step.
    fn run_endpoint(&mut self, number: usize) {
        let now = self.now;
        let Agent { executor, ended, end_count, .. } = &mut self.agents[number];
        let listing = Listing {
            requested_at: now,
            incarnation: 1,
            clock_ms: now.as_millis() as u64,
            running: Vec::new(),
            ended: std::mem::take(ended),
        };
        executor.on_listing(now, &listing);
        executor.on_tick(now);
        for action in executor.take_actions() {
            match action {
                ExecutorAction::Start { run, .. } => {
                    self.starts.push((now, site_of(number)));
                    executor.on_start_reply(now, &run, StartOutcome::Started);
                    *end_count += 1;
                    ended.push(TaskEnd { sequence: *end_count, run, outcome: RunOutcome::Done });
                }
                ExecutorAction::NotifyEntry(entry, event) => {
                    let found = (0..ENTRIES).find(|number| entry_id(*number) == entry).unwrap();
                    let scheduler = &mut self.entries[found].scheduler;
                    scheduler.on_task_event(now, &agent(number), &event);
                }
                ExecutorAction::ShareCrash(..) | ExecutorAction::Stop(_) => {}
            }
        }
    }

    fn send_orders(&mut self, number: usize) {
        for action in self.entries[number].scheduler.take_actions() {
            if let Action::Order(to, order) = action {
                let host = (0..AGENTS).find(|host| agent(*host) == to).unwrap();
                let received = ReceivedOrder { entry: entry_id(number), order };
                self.agents[host].executor.on_order(self.now, received);
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn starts_since(&self, since: Duration, site: &str) -> usize {
        self.starts.iter().filter(|(at, other)| *at >= since && *other == site).count()
    }
}

/// Guards against starts in an evacuated data centre long after one entry knows of it, whatever
/// fails, and against a data centre that stays unused after the withdrawal.
#[test]
fn all_processes_obey_within_a_second() {
    struct Case {
        name: &'static str,
        sites: &'static [&'static str],
        /// Called 40 ms after the first entry has read the records.
        fault: fn(&mut Net),
    }
    let cases = [
        Case { name: "one entry can read the store", sites: &["a"], fault: |_| {} },
        Case { name: "several data centres", sites: &["a", "c"], fault: |_| {} },
        Case {
            name: "an agent restarts, and its other entry does not know yet",
            sites: &["a"],
            fault: |net| net.restart_agent(0),
        },
        Case {
            name: "the entry that knows restarts, and the store is down",
            sites: &["a"],
            fault: |net| net.restart_entry(0),
        },
        Case {
            name: "all entries restart in turn, and the store is down",
            sites: &["a"],
            fault: |net| {
                for number in 0..ENTRIES {
                    net.restart_entry(number);
                    net.step();
                    net.step();
                }
            },
        },
        Case {
            name: "all agents of the data centre restart",
            sites: &["a"],
            fault: |net| (0..AGENTS).step_by(3).for_each(|number| net.restart_agent(number)),
        },
        Case { name: "the entry that knows is cut off", sites: &["a"], fault: |net| net.cut(0) },
    ];
    for case in cases {
        let mut net = Net::new();
        net.run_for(ms(400));
        assert!(net.starts_since(START, "a") > 0, "{}", case.name);
        let known_at = net.now;
        let now = net.now;
        let made = case.sites.iter().map(|name| state(name, MADE, true)).collect();
        net.entries[0].merge(now, made);
        net.run_for(ms(40));
        (case.fault)(&mut net);
        net.run_for(ms(3000));
        for name in case.sites {
            assert_eq!(net.starts_since(known_at + MAX_SPREAD, name), 0, "{}: {name}", case.name);
        }
        assert!(net.starts_since(known_at + MAX_SPREAD, "b") > 0, "{}", case.name);

        // The record of the withdrawal was deleted before any entry read it.
        let read = FullEvacuationRead { end: MADE + 5, ..FullEvacuationRead::default() };
        let (now, last) = (net.now, &mut net.entries[ENTRIES - 1]);
        last.evacuations.merge_full_read(read);
        last.merge(now, Vec::new());
        net.run_for(MAX_SPREAD);
        // A state that arrives late does not evacuate the data centre again.
        net.entries[1].merge(net.now, vec![state("a", MADE, true)]);
        assert!(net.agents.iter().all(|host| !host.executor.is_evacuated()), "{}", case.name);
        net.run_for(MAX_SPREAD);
        assert!(net.starts_since(now + MAX_SPREAD, "a") > 0, "{}", case.name);
        let sites = net.entries[1].evacuations.active_sites();
        assert!(!sites.contains(&site("a")), "{}: {sites:?}", case.name);
    }
}
