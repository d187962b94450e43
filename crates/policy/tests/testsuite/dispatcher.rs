//! Whom an owner asks for credits.

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

/// What has become of the agent whose credits are held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Present,
    Leaving,
    OnProbation,
    TooSmall,
}

struct Case {
    fate: Fate,
    asks_the_other: bool,
}

const SMALL: Capacity = Capacity { cores: 1, memory_mb: 1024, slots: 4 };
const LARGE: Capacity = Capacity { cores: 8, memory_mb: 1024, slots: 4 };
/// Failures in a row of a kind that succeeds elsewhere, after which an endpoint is on probation.
const FAILURES: u32 = 5;

fn names() -> (CustomerName, Incarnation, Incarnation) {
    ("gym".parse().unwrap(), "agent-1".parse().unwrap(), "agent-2".parse().unwrap())
}

/// Returns a dispatcher that holds credits of the first agent.
fn with_credits(now: Instant, fate: Fate) -> Dispatcher<Job, u32> {
    let (customer, holder, other) = names();
    let mut dispatcher = Dispatcher::default();
    dispatcher.queue.set_terms(&customer, 1, 10);
    let size = if fate == Fate::TooSmall { SMALL } else { LARGE };
    for (agent, size) in [(&holder, size), (&other, LARGE)] {
        dispatcher.placement.set_agent(agent, size, false);
        dispatcher.placement.set_connected(agent, true);
    }
    if fate == Fate::OnProbation {
        let succeeded = TaskResult::Succeeded(Duration::from_millis(50));
        dispatcher.on_sent(&other, &customer, 0, "quote", None);
        dispatcher.on_ended(now, &other, &0, succeeded);
        for task in 1..=FAILURES {
            dispatcher.on_sent(&holder, &customer, task, "quote", None);
            dispatcher.on_ended(now, &holder, &task, TaskResult::Failed);
        }
    }
    dispatcher.on_credits(&holder, 2);
    if fate == Fate::Leaving {
        dispatcher.placement.set_agent(&holder, LARGE, true);
    }
    dispatcher
}

#[test]
fn credits_that_no_waiting_task_can_use_are_asked_for_elsewhere() {
    let cases = [
        Case { fate: Fate::Present, asks_the_other: false },
        Case { fate: Fate::Leaving, asks_the_other: true },
        Case { fate: Fate::OnProbation, asks_the_other: true },
        Case { fate: Fate::TooSmall, asks_the_other: true },
    ];
    let (customer, _, other) = names();
    let now = Instant::now();
    for case in cases {
        let mut dispatcher = with_credits(now, case.fate);
        let job = Job(Requirements { cores: 4, memory_mb: 64 });
        dispatcher.queue.push(&customer, job, 1, Duration::from_millis(50));
        let asked = dispatcher.plan_credit_requests(now, 0);
        let expected = if case.asks_the_other { vec![(other.clone(), 1)] } else { Vec::new() };
        assert_eq!(asked, expected, "{:?}", case.fate);
    }
}
