//! Tests of an entry that stops while jobs run that outlast it.

use std::time::Duration;

use cowslipwing_dispatch::{
    Action, Answer, GiveUpReason, JobSpec, RefusalReason, RunStatus, Scheduler, TaskEvent,
};

use crate::support::{agent, answers, job, ms, orders, scheduler_with, status};

const START: Duration = Duration::from_secs(10);
/// Time from the order to stop until the open jobs are answered.
const SERVES_FOR: Duration = Duration::from_millis(5500);

fn long_job(id: &str) -> JobSpec {
    JobSpec { caller_timeout: ms(37_000), ..job(id, 1, 1000, ms(9000)) }
}

/// Ticks every 10 ms; returns the answers with their times since [`START`].
fn tick_until(scheduler: &mut Scheduler, until: Duration) -> Vec<(Duration, Answer)> {
    let mut found = Vec::new();
    let mut now = START;
    while now < START + until {
        now += ms(10);
        scheduler.on_status(now, &agent(0), status(32_000, 1.0));
        scheduler.on_tick(now);
        let actions = scheduler.take_actions();
        found.extend(answers(&actions).into_iter().map(|(_, answer)| (now - START, answer)));
    }
    found
}

/// Guards against a caller that sees a broken connection when its entry stops.
#[test]
fn a_job_that_outlasts_its_entry_is_answered_before_the_entry_stops() {
    let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
    scheduler.submit(START, long_job("a1"));
    let (agent, order) = orders(&scheduler.take_actions()).pop().unwrap();
    // A report of the agent tells that the task runs.
    let event = TaskEvent { run: order.run, status: RunStatus::Slow(ms(9000)) };
    scheduler.on_task_event(START, &agent, &event);
    scheduler.set_stop_at(START + SERVES_FOR);
    let found = tick_until(&mut scheduler, ms(6000));
    let [(at, Answer::GaveUp { reason: GiveUpReason::Stopping, .. })] = found[..] else {
        panic!("{found:?}");
    };
    assert!(at >= SERVES_FOR && at <= SERVES_FOR + ms(50), "{at:?}");
}

/// A job that has not started is refused truthfully, once its agent has returned it.
#[test]
fn a_queued_job_is_refused_when_its_entry_stops() {
    let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
    scheduler.submit(START, long_job("a1"));
    let (agent, order) = orders(&scheduler.take_actions()).pop().unwrap();
    scheduler.set_stop_at(START + SERVES_FOR);
    assert!(tick_until(&mut scheduler, SERVES_FOR - ms(10)).is_empty());
    scheduler.on_tick(START + SERVES_FOR);
    let cancelled = |action: &Action| matches!(action, Action::Cancel(..));
    assert!(scheduler.take_actions().iter().any(cancelled));
    let event = TaskEvent { run: order.run, status: RunStatus::NotStarted };
    scheduler.on_task_event(START + SERVES_FOR + ms(5), &agent, &event);
    let found = answers(&scheduler.take_actions());
    let refused =
        |answer: &Answer| matches!(answer, Answer::Refused { reason: RefusalReason::Stopping, .. });
    assert!(matches!(&found[..], [(_, answer)] if refused(answer)), "{found:?}");
}

/// A job that cannot end before its entry stops is refused at once; others are served.
#[test]
fn a_stopping_entry_takes_only_jobs_that_it_can_answer() {
    struct Case {
        declared: Duration,
        admitted: bool,
    }
    let cases = [
        Case { declared: ms(60), admitted: true },
        Case { declared: ms(4000), admitted: true },
        Case { declared: ms(9000), admitted: false },
    ];
    for Case { declared, admitted } in cases {
        let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
        scheduler.set_stop_at(START + SERVES_FOR);
        scheduler
            .submit(START, JobSpec { caller_timeout: ms(37_000), ..job("a1", 1, 1000, declared) });
        let actions = scheduler.take_actions();
        assert_eq!(!orders(&actions).is_empty(), admitted, "{declared:?}");
        let found = answers(&actions);
        let is_refused =
            matches!(found[..], [(_, Answer::Refused { reason: RefusalReason::Stopping, .. })]);
        assert_eq!(is_refused, !admitted, "{declared:?}: {found:?}");
    }
}
