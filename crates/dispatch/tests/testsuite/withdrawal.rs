//! Jobs that can no longer be served while their tasks wait at agents.

use std::time::Duration;

use cowslipwing_dispatch::{
    Action, AgentId, Answer, CrashRole, RunStatus, Scheduler, TaskEvent, TaskOrder,
};

use crate::fleet::{Fleet, LastReply, RUN_TIME};
use crate::support::{agent, answers, job, ms, orders, scheduler_with, status};

const START: Duration = Duration::from_secs(1);
/// Time at which a task of 900 ms cannot be served any more by the deadline of 1,500 ms.
const TOO_LATE: Duration = Duration::from_millis(2400);
/// Interval of the entry's ticks while jobs are open.
const TICK: Duration = Duration::from_millis(10);
/// Longest time for which a final answer may be held.
const MAX_HOLD: Duration = Duration::from_millis(50);

/// What callers and agents are told.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Completed,
    Refused,
    GaveUp,
    None,
}

fn outcome(actions: &[Action]) -> Outcome {
    match answers(actions)[..] {
        [] => Outcome::None,
        [(_, Answer::Completed)] => Outcome::Completed,
        [(_, Answer::Refused { .. })] => Outcome::Refused,
        [(_, Answer::GaveUp { .. })] => Outcome::GaveUp,
        ref other => panic!("unexpected answers {other:?}"),
    }
}

fn cancel_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Cancel(..))).count()
}

fn report(
    scheduler: &mut Scheduler,
    now: Duration,
    (agent, order): &(AgentId, TaskOrder),
    status: RunStatus,
) -> Vec<Action> {
    scheduler.on_task_event(now, agent, &TaskEvent { run: order.run.clone(), status });
    scheduler.take_actions()
}

/// Returns a scheduler whose only job has two tasks at an agent. One comes back at [`TOO_LATE`], so
/// that the other is withdrawn.
fn withdrawing() -> (Scheduler, (AgentId, TaskOrder)) {
    let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
    scheduler.submit(START, job("a1", 2, 1000, ms(900)));
    let mut sent = orders(&scheduler.take_actions());
    scheduler.on_status(TOO_LATE, &agent(0), status(32_000, 1.0));
    let first = sent.remove(0);
    let actions = report(&mut scheduler, TOO_LATE, &first, RunStatus::NotStarted);
    assert_eq!((outcome(&actions), cancel_count(&actions)), (Outcome::None, 1));
    (scheduler, sent.remove(0))
}

/// Guards against a 504 for a job of which no task has started, and against a refusal of a job of
/// which a task may have started.
#[test]
fn a_withdrawn_job_is_refused_only_if_no_task_has_started() {
    struct Case {
        status: RunStatus,
        expected: Outcome,
    }
    let cases = [
        Case { status: RunStatus::NotStarted, expected: Outcome::Refused },
        Case { status: RunStatus::StaleRun, expected: Outcome::GaveUp },
        Case { status: RunStatus::Done(ms(900)), expected: Outcome::GaveUp },
        Case { status: RunStatus::Failed, expected: Outcome::GaveUp },
        Case { status: RunStatus::Stopped, expected: Outcome::GaveUp },
        Case { status: RunStatus::Crashed(CrashRole::Unconfirmed), expected: Outcome::GaveUp },
        Case { status: RunStatus::Slow(ms(300)), expected: Outcome::GaveUp },
    ];
    for case in cases {
        let (mut scheduler, sent) = withdrawing();
        let actions = report(&mut scheduler, TOO_LATE + ms(3), &sent, case.status);
        assert_eq!(outcome(&actions), case.expected, "{:?}", case.status);
        assert!(orders(&actions).is_empty(), "{:?}", case.status);
        assert_eq!(scheduler.open_jobs(), 0, "{:?}", case.status);
    }
}

/// Guards against an answer that waits for an agent which does not confirm.
#[test]
fn a_missing_confirmation_gives_the_job_up_within_50_ms() {
    struct Case {
        name: &'static str,
        fail: fn(&mut Scheduler),
    }
    let cases = [
        Case { name: "silent agent", fail: |_| {} },
        Case {
            name: "link lost",
            fail: |scheduler| scheduler.on_detached(TOO_LATE + ms(1), &agent(0)),
        },
        Case {
            name: "reconnected without the run",
            fail: |scheduler| scheduler.on_attached(TOO_LATE + ms(1), &agent(0), &[]),
        },
        Case {
            name: "agent restarted",
            fail: |scheduler| scheduler.on_replaced(TOO_LATE + ms(1), &agent(0)),
        },
    ];
    for case in cases {
        let (mut scheduler, _) = withdrawing();
        (case.fail)(&mut scheduler);
        let mut actions = scheduler.take_actions();
        let mut now = TOO_LATE;
        while outcome(&actions) == Outcome::None && now < TOO_LATE + MAX_HOLD {
            now += TICK;
            scheduler.on_tick(now);
            actions.extend(scheduler.take_actions());
        }
        assert_eq!(outcome(&actions), Outcome::GaveUp, "{}", case.name);
    }
}

/// Guards against a job that is given up or refused although all its tasks were done.
#[test]
fn runs_that_end_during_the_withdrawal_complete_the_job() {
    struct Case {
        name: &'static str,
        second: RunStatus,
        expected: Outcome,
    }
    let cases = [
        Case { name: "all done", second: RunStatus::Done(ms(900)), expected: Outcome::Completed },
        Case { name: "one stopped", second: RunStatus::Stopped, expected: Outcome::GaveUp },
        Case { name: "one not started", second: RunStatus::NotStarted, expected: Outcome::GaveUp },
    ];
    for case in cases {
        let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
        scheduler.submit(START, job("a1", 2, 1000, ms(900)));
        let sent = orders(&scheduler.take_actions());
        let deadline = START + ms(1492);
        scheduler.on_heartbeat(deadline, &agent(0));
        scheduler.on_tick(deadline);
        let actions = scheduler.take_actions();
        assert_eq!((outcome(&actions), cancel_count(&actions)), (Outcome::None, 2));
        let actions = report(&mut scheduler, deadline, &sent[0], RunStatus::Done(ms(900)));
        assert_eq!(outcome(&actions), Outcome::None, "{}", case.name);
        let actions = report(&mut scheduler, deadline + ms(1), &sent[1], case.second);
        assert_eq!(outcome(&actions), case.expected, "{}", case.name);
    }
}

/// Guards against tasks of a withdrawn job that are sent again while others are not confirmed.
#[test]
fn a_withdrawn_job_is_not_placed_again_and_ends_with_its_caller() {
    let (mut scheduler, _) = withdrawing();
    scheduler.on_status(TOO_LATE + ms(1), &agent(0), status(32_000, 0.1));
    scheduler.on_tick(TOO_LATE + ms(1));
    assert!(orders(&scheduler.take_actions()).is_empty());
    assert!(scheduler.abandon(&"a1".parse().unwrap()));
    assert!(scheduler.take_actions().is_empty());
}

/// A caller that leaves must free what its job holds in the queues of agents.
#[test]
fn tasks_of_a_departed_caller_leave_all_queues_at_once() {
    let mut fleet = Fleet::new(1, LastReply::Started, ms(1000));
    fleet.submit(job("running", 8, 1000, RUN_TIME));
    fleet.submit(job("waiting", 8, 1000, ms(400)));
    assert_eq!(fleet.queued_cpu(), 8000);
    fleet.abandon("waiting");
    assert_eq!(fleet.queued_cpu(), 0);
    assert_eq!(fleet.answer_of("waiting"), None);
}
