//! Tests which agents an owner asks for credits.

use std::time::{Duration, Instant};

use cowslipwing_policy::{Capacity, Dispatcher, QueuedJob, Requirements, TaskResult};
use cowslipwing_types::{CustomerName, Incarnation};

#[derive(Clone, Debug, Eq, PartialEq)]
struct Job(Requirements);

impl QueuedJob for Job {
    fn requirements(&self) -> Requirements {
        self.0
    }
}

/// The state of the agent from which the dispatcher holds credits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HolderState {
    Usable,
    Leaving,
    OnProbation,
    TooSmall,
}

struct Case {
    state: HolderState,
    asks_other: bool,
}

const SMALL: Capacity = Capacity { cores: 1, memory_mb: 1024, slots: 4 };
const LARGE: Capacity = Capacity { cores: 8, memory_mb: 1024, slots: 4 };
/// Consecutive failures, of a kind that succeeds elsewhere, that put an endpoint on probation.
const PROBATION_FAILURES: u32 = 5;

fn names() -> (CustomerName, Incarnation, Incarnation) {
    ("gym".parse().unwrap(), "agent-1".parse().unwrap(), "agent-2".parse().unwrap())
}

/// Returns a dispatcher that holds two credits from the first of two agents.
fn dispatcher_with_credits(now: Instant, state: HolderState) -> Dispatcher<Job, u32> {
    let (customer, holder, other) = names();
    let mut dispatcher = Dispatcher::default();
    dispatcher.queue.set_terms(&customer, 1, 10);
    let capacity = if state == HolderState::TooSmall { SMALL } else { LARGE };
    for (agent, capacity) in [(&holder, capacity), (&other, LARGE)] {
        dispatcher.placement.set_agent(agent, capacity, false);
        dispatcher.placement.set_connected(agent, true);
    }
    if state == HolderState::OnProbation {
        let succeeded = TaskResult::Succeeded(Duration::from_millis(50));
        dispatcher.on_sent(&other, &customer, 0, "quote", None);
        dispatcher.on_ended(now, &other, &0, succeeded);
        for task in 1..=PROBATION_FAILURES {
            dispatcher.on_sent(&holder, &customer, task, "quote", None);
            dispatcher.on_ended(now, &holder, &task, TaskResult::Failed);
        }
    }
    dispatcher.on_credits(&holder, 2);
    if state == HolderState::Leaving {
        dispatcher.placement.set_agent(&holder, LARGE, true);
    }
    dispatcher
}

#[test]
fn unusable_credits_do_not_suppress_credit_requests() {
    let cases = [
        Case { state: HolderState::Usable, asks_other: false },
        Case { state: HolderState::Leaving, asks_other: true },
        Case { state: HolderState::OnProbation, asks_other: true },
        Case { state: HolderState::TooSmall, asks_other: true },
    ];
    let (customer, _, other) = names();
    let now = Instant::now();
    for case in cases {
        let mut dispatcher = dispatcher_with_credits(now, case.state);
        let job = Job(Requirements { cores: 4, memory_mb: 64 });
        dispatcher.queue.push(&customer, job, 1, Duration::from_millis(50));
        let requests = dispatcher.plan_credit_requests(now, 0);
        let expected = if case.asks_other { vec![(other.clone(), 1)] } else { Vec::new() };
        assert_eq!(requests, expected, "{:?}", case.state);
    }
}
