//! Jobs that arrive before the endpoints of an entry are known.

use std::time::Duration;

use cowslipwing_dispatch::{Answer, RefusalReason, RequestId, Scheduler};

use crate::support::{SETTINGS, WARM_UP, agent, answers, job, ms, orders, scheduler_with, status};

const START: Duration = Duration::from_secs(1);

fn id() -> RequestId {
    "a1".parse().unwrap()
}

fn refusal(answer: Option<(String, Answer)>) -> Option<RefusalReason> {
    match answer {
        Some((_, Answer::Refused { reason, .. })) => Some(reason),
        _ => None,
    }
}

/// Clients reconnect to an entry as soon as it has restarted, some 100 ms before the agents do.
#[test]
fn a_job_that_arrives_before_the_agents_is_served_once_they_attach() {
    let mut scheduler = Scheduler::new(SETTINGS);
    scheduler.on_tick(START);
    scheduler.submit(START + ms(10), job("a1", 2, 1000, ms(200)));
    assert!(answers(&scheduler.take_actions()).is_empty());
    assert!(scheduler.is_open(&id()));
    assert_eq!((scheduler.open_jobs(), scheduler.unstarted_jobs("q")), (1, 1));
    scheduler.on_attached(START + ms(90), &agent(0), &[]);
    scheduler.on_status(START + ms(90), &agent(0), status(32_000, 1.0));
    assert_eq!(orders(&scheduler.take_actions()).len(), 2);
}

/// The first agent must not get all the jobs that have waited; those that would be late there wait
/// for the next one.
#[test]
fn deferred_jobs_spread_over_the_agents_that_attach() {
    let mut scheduler = Scheduler::new(SETTINGS);
    scheduler.on_tick(START);
    for number in 0..20 {
        scheduler.submit(START, job(&format!("a{number}"), 2, 4000, ms(60)));
    }
    for number in 0..4 {
        let now = START + ms(10 + 5 * number as u64);
        scheduler.on_attached(now, &agent(number), &[]);
        scheduler.on_status(now, &agent(number), status(32_000, 1.0));
    }
    let sent = orders(&scheduler.take_actions());
    for number in 0..4 {
        let count = sent.iter().filter(|(to, _)| *to == agent(number)).count();
        assert!((8..=16).contains(&count), "agent {number} got {count} of {}", sent.len());
    }
}

/// A refusal must not come so late that the caller could not be served elsewhere.
#[test]
fn a_deferred_job_is_refused_while_another_attempt_can_still_be_in_time() {
    let mut scheduler = Scheduler::new(SETTINGS);
    scheduler.on_tick(START);
    // The objective is 1.6 * 60 ms + 60 ms = 156 ms.
    scheduler.submit(START, job("a1", 1, 1000, ms(60)));
    scheduler.on_tick(START + ms(40));
    assert!(answers(&scheduler.take_actions()).is_empty());
    scheduler.on_tick(START + ms(70));
    let answer = answers(&scheduler.take_actions()).pop();
    assert_eq!(refusal(answer), Some(RefusalReason::NoEndpoint));
    assert!(!scheduler.is_open(&id()));
}

#[test]
fn jobs_are_refused_at_once_after_the_warm_up() {
    let mut scheduler = Scheduler::new(SETTINGS);
    scheduler.on_tick(START);
    scheduler.submit(START + WARM_UP, job("a1", 1, 1000, ms(200)));
    let answer = answers(&scheduler.take_actions()).pop();
    assert_eq!(refusal(answer), Some(RefusalReason::NoEndpoint));
}

#[test]
fn a_job_that_no_endpoint_can_do_is_refused_at_once_during_the_warm_up() {
    let mut scheduler = Scheduler::new(SETTINGS);
    scheduler.on_attached(START, &agent(0), &[]);
    scheduler.on_status(START, &agent(0), status(32_000, 1.0));
    scheduler.submit(START, job("a1", 1, 99_000, ms(200)));
    let answer = answers(&scheduler.take_actions()).pop();
    assert_eq!(refusal(answer), Some(RefusalReason::TooLarge));
}

/// A DELETE left the caller that had submitted the job without an answer.
#[test]
fn callers_of_a_cancelled_job_are_answered() {
    struct Case {
        name: &'static str,
        endpoints: usize,
    }
    let cases = [Case { name: "deferred", endpoints: 0 }, Case { name: "sent", endpoints: 1 }];
    for case in cases {
        let mut scheduler = match case.endpoints {
            0 => Scheduler::new(SETTINGS),
            _ => scheduler_with(START, &[status(32_000, 1.0)]),
        };
        scheduler.submit(START, job("a1", 1, 1000, ms(200)));
        scheduler.take_actions();
        assert!(scheduler.cancel(&id()), "{}", case.name);
        let given = answers(&scheduler.take_actions());
        assert_eq!(given, [("a1".to_owned(), Answer::Cancelled)], "{}", case.name);
        assert!(!scheduler.cancel(&id()), "{}", case.name);
    }
}
