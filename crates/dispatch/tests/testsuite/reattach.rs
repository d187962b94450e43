//! Agents that attach again, and what was lost with their previous stream.

use std::time::Duration;

use cowslipwing_dispatch::{Action, AgentId, Answer, RunStatus, Scheduler, TaskEvent, TaskRun};

use crate::support::{SETTINGS, agent, answers, job, ms, orders, scheduler_with, status};

const START: Duration = Duration::from_secs(1);
/// Time at which a task of 900 ms cannot be served any more by the deadline of 1,500 ms.
const TOO_LATE: Duration = Duration::from_millis(2400);

fn cancelled(actions: &[Action]) -> Vec<TaskRun> {
    let run = |action: &Action| match action {
        Action::Cancel(_, run) => Some(run.clone()),
        _ => None,
    };
    actions.iter().filter_map(run).collect()
}

/// Returns a scheduler with a job of two tasks, and the runs that were sent to its only agent.
fn sent() -> (Scheduler, Vec<TaskRun>) {
    let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
    scheduler.submit(START, job("a1", 2, 1000, ms(900)));
    let runs = orders(&scheduler.take_actions()).into_iter().map(|(_, order)| order.run).collect();
    (scheduler, runs)
}

/// Guards against a task that runs on after its caller has left, beside the one of the caller's next
/// attempt: the cancellation was lost with the stream. Whether a run is queued or started at the
/// agent makes no difference to the entry.
#[test]
fn runs_whose_cancellation_was_lost_are_cancelled_when_the_agent_attaches_again() {
    struct Case {
        name: &'static str,
        /// Ends the job or withdraws its tasks while the stream is broken.
        end: fn(&mut Scheduler, &[TaskRun]),
        /// Number of runs that the agent still holds when it attaches again, which the entry no
        /// longer needs.
        unneeded: usize,
    }
    let abandon = |scheduler: &mut Scheduler, _: &[TaskRun]| {
        assert!(scheduler.abandon(&"a1".parse().unwrap()));
    };
    let cancel = |scheduler: &mut Scheduler, _: &[TaskRun]| {
        assert!(scheduler.cancel(&"a1".parse().unwrap()));
    };
    // The second task is cancelled and its job stays open until the cancellation is confirmed.
    let withdraw = |scheduler: &mut Scheduler, runs: &[TaskRun]| {
        scheduler.on_status(TOO_LATE, &agent(0), status(32_000, 1.0));
        let event = TaskEvent { run: runs[0].clone(), status: RunStatus::NotStarted };
        scheduler.on_task_event(TOO_LATE, &agent(0), &event);
        assert!(scheduler.is_open(&"a1".parse().unwrap()));
    };
    let cases = [
        Case { name: "the caller has left", end: abandon, unneeded: 2 },
        Case { name: "the caller has cancelled", end: cancel, unneeded: 2 },
        Case { name: "the job is being withdrawn", end: withdraw, unneeded: 1 },
        Case { name: "the job is open", end: |_, _| {}, unneeded: 0 },
    ];
    for case in cases {
        let (mut scheduler, runs) = sent();
        (case.end)(&mut scheduler, &runs);
        // The cancellations among these actions are lost.
        scheduler.take_actions();
        scheduler.on_detached(TOO_LATE, &agent(0));
        let held = &runs[runs.len() - case.unneeded.max(1)..];
        let held = if case.unneeded == 0 { &runs[..] } else { held };
        scheduler.on_attached(TOO_LATE + ms(60), &agent(0), held);
        let expected = if case.unneeded == 0 { &[][..] } else { held };
        assert_eq!(cancelled(&scheduler.take_actions()), expected, "{}", case.name);
    }
}

/// A run of an earlier attempt must not be taken for that of the present one, which another agent
/// has.
#[test]
fn a_run_that_another_agent_has_now_is_cancelled() {
    let (mut scheduler, runs) = sent();
    scheduler.on_detached(START, &agent(0));
    scheduler.take_actions();
    scheduler.on_attached(START, &agent(1), &runs);
    assert_eq!(cancelled(&scheduler.take_actions()), runs);
}

/// Guards against a task that two agents get, and one of them twice: the entry had not noticed the
/// end of the agent's stream, and sent a returned task to that agent before it compared its runs.
#[test]
fn no_task_is_sent_to_an_agent_before_its_runs_are_compared() {
    let (mut scheduler, runs) = sent();
    let event = TaskEvent { run: runs[0].clone(), status: RunStatus::NotStarted };
    scheduler.on_hello(START + ms(60), &agent(0), &[event], &runs[1..]);
    assert!(orders(&scheduler.take_actions()).is_empty());
    scheduler.on_status(START + ms(60), &agent(0), status(32_000, 1.0));
    let sent_again = orders(&scheduler.take_actions());
    assert_eq!(sent_again.len(), 1);
    assert_eq!(sent_again[0].1.run, TaskRun { number: 2, ..runs[0].clone() });
}

/// Guards against runs that are started elsewhere while they go on: a late frame of an agent that has
/// ended was taken for the sign that its successor had been replaced.
#[test]
fn an_agent_replaces_only_earlier_incarnations() {
    let mut scheduler = Scheduler::new(SETTINGS);
    let [older, newer, other] =
        ["side-1@999", "side-1@1700", "side-2@5"].map(|id| id.parse::<AgentId>().unwrap());
    for agent in [&older, &newer, &other] {
        scheduler.on_attached(START, agent, &[]);
    }
    assert_eq!(scheduler.previous_incarnations(&newer), std::slice::from_ref(&older));
    assert!(scheduler.previous_incarnations(&older).is_empty());
}

/// Guards against two runs of a task at the same time, if a caller sends its job again at once after its
/// connection has broken: the first run is still being stopped.
#[test]
fn a_job_that_is_sent_again_at_once_waits_for_the_end_of_its_runs() {
    struct Case {
        name: &'static str,
        /// Confirms the end of the runs.
        confirm: fn(&mut Scheduler, &[TaskRun]),
    }
    let report = |scheduler: &mut Scheduler, runs: &[TaskRun]| {
        for (run, status) in runs.iter().zip([RunStatus::Stopped, RunStatus::NotStarted]) {
            scheduler.on_task_event(START, &agent(0), &TaskEvent { run: run.clone(), status });
        }
    };
    let attach = |scheduler: &mut Scheduler, _: &[TaskRun]| {
        scheduler.on_hello(START, &agent(0), &[], &[]);
        scheduler.on_status(START, &agent(0), status(32_000, 1.0));
    };
    // All leases end within 1,100 ms.
    let wait = |scheduler: &mut Scheduler, _: &[TaskRun]| {
        scheduler.on_tick(START);
        scheduler.on_tick(START + ms(1100));
    };
    let cases = [
        Case { name: "the agent reports the ends", confirm: report },
        Case { name: "the agent attaches without the runs", confirm: attach },
        Case { name: "the leases end", confirm: wait },
    ];
    for case in cases {
        let (mut scheduler, runs) = sent();
        scheduler.abandon(&"a1".parse().unwrap());
        scheduler.take_actions();
        scheduler.submit(START, job("a1", 2, 1000, ms(900)));
        let actions = scheduler.take_actions();
        assert!(orders(&actions).is_empty(), "{}", case.name);
        assert!(matches!(answers(&actions)[..], [(_, Answer::GaveUp { .. })]), "{}", case.name);
        (case.confirm)(&mut scheduler, &runs);
        scheduler.on_heartbeat(START + ms(1100), &agent(0));
        scheduler.submit(START + ms(1100), job("a1", 2, 1000, ms(900)));
        assert_eq!(orders(&scheduler.take_actions()).len(), 2, "{}", case.name);
    }
}
