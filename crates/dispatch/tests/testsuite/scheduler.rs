//! Tests of admission, retries, migration and answers.

use std::time::Duration;

use cowslipwing_dispatch::{
    Action, AgentId, Answer, CrashRole, JobSpec, RefusalReason, RunStatus, Scheduler, TaskEvent,
    TaskOrder, TimeoutSource,
};
use quickcheck::quickcheck;

use crate::support::{agent, answers, job, ms, orders, scheduler_with, status};

const START: Duration = Duration::from_secs(1);

/// Reports a status of the run that was sent, and returns the resulting actions.
fn report_status(
    scheduler: &mut Scheduler,
    now: Duration,
    sent: &(AgentId, TaskOrder),
    status: RunStatus,
) -> Vec<Action> {
    let event = TaskEvent { run: sent.1.run.clone(), status };
    scheduler.on_task_event(now, &sent.0, &event);
    scheduler.take_actions()
}

#[test]
fn a_job_is_complete_once_all_its_tasks_are() {
    let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
    scheduler.submit(START, job("a1", 2, 1000, ms(50)));
    let sent = orders(&scheduler.take_actions());
    let done = RunStatus::Done(ms(50));
    assert!(answers(&report_status(&mut scheduler, START, &sent[0], done)).is_empty());
    let last = answers(&report_status(&mut scheduler, START, &sent[1], done));
    assert_eq!(last, [("a1".to_owned(), Answer::Completed)]);
}

#[test]
fn jobs_that_cannot_run_are_refused_at_once() {
    struct Case {
        name: &'static str,
        endpoints: usize,
        cpu_millis: u32,
        declared: Duration,
        reason: RefusalReason,
    }
    let cases = [
        Case {
            name: "no endpoint",
            endpoints: 0,
            cpu_millis: 1000,
            declared: ms(50),
            reason: RefusalReason::NoEndpoint,
        },
        Case {
            name: "larger than any endpoint",
            endpoints: 2,
            cpu_millis: 99_000,
            declared: ms(50),
            reason: RefusalReason::TooLarge,
        },
        Case {
            name: "longer than the caller timeout",
            endpoints: 2,
            cpu_millis: 1000,
            declared: ms(60_000),
            reason: RefusalReason::Deadline,
        },
    ];
    for case in cases {
        let endpoints: Vec<_> = (0..case.endpoints).map(|_| status(32_000, 1.0)).collect();
        let mut scheduler = scheduler_with(START, &endpoints);
        scheduler.submit(START, job("a1", 1, case.cpu_millis, case.declared));
        let actions = scheduler.take_actions();
        assert!(orders(&actions).is_empty(), "{}", case.name);
        let answer = answers(&actions).pop().map(|(_, answer)| answer);
        let refused =
            matches!(answer, Some(Answer::Refused { reason, .. }) if reason == case.reason);
        assert!(refused, "{}: {answer:?}", case.name);
        assert_eq!(scheduler.open_jobs(), 0, "{}", case.name);
    }
}

/// More jobs arrive than the endpoints can run. Jobs that would be late are refused at once with a
/// time to retry after, and jobs that can still end in time are admitted.
#[test]
fn jobs_that_would_be_late_are_refused_under_overload() {
    let mut full = status(32_000, 1.0);
    full.free.cpu_millis = 0;
    full.queued.add(Some(ms(20)), 30_000);
    let mut scheduler = scheduler_with(START, &[full]);
    scheduler.submit(START, job("short", 1, 3000, ms(60)));
    let actions = scheduler.take_actions();
    let Some((_, Answer::Refused { reason, retry_after })) = answers(&actions).pop() else {
        panic!("expected a refusal, got {actions:?}");
    };
    assert_eq!(reason, RefusalReason::Load);
    assert!(retry_after >= ms(100));
    scheduler.submit(START, job("long", 1, 3000, ms(800)));
    assert_eq!(orders(&scheduler.take_actions()).len(), 1);
}

#[test]
fn a_failed_task_runs_elsewhere_until_its_attempts_are_used_up() {
    let endpoints = [status(32_000, 1.0), status(32_000, 1.0), status(32_000, 1.0)];
    let mut scheduler = scheduler_with(START, &endpoints);
    scheduler.submit(START, job("a1", 1, 1000, ms(50)));
    let first = orders(&scheduler.take_actions());
    let second = orders(&report_status(&mut scheduler, START, &first[0], RunStatus::Failed));
    assert_ne!(second[0].0, first[0].0);
    assert_eq!(second[0].1.run.number, 2);
    let third = orders(&report_status(&mut scheduler, START, &second[0], RunStatus::Failed));
    let last = answers(&report_status(&mut scheduler, START, &third[0], RunStatus::Failed));
    assert_eq!(last, [("a1".to_owned(), Answer::Failed)]);
}

#[test]
fn lost_runs_do_not_count_as_failed_attempts() {
    let mut scheduler = scheduler_with(START, &[status(32_000, 1.0), status(32_000, 1.0)]);
    scheduler.submit(START, job("a1", 1, 1000, ms(50)));
    let mut sent = orders(&scheduler.take_actions());
    for _ in 0..6 {
        let actions = report_status(&mut scheduler, START, &sent[0], RunStatus::Stopped);
        assert!(answers(&actions).is_empty());
        sent = orders(&actions);
        assert_eq!(sent.len(), 1);
    }
}

/// A job that has run in part is given up instead of refused, and its running tasks are cancelled.
#[test]
fn a_started_job_is_given_up_at_its_deadline() {
    let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
    scheduler.submit(START, job("a1", 2, 1000, ms(50)));
    let sent = orders(&scheduler.take_actions());
    report_status(&mut scheduler, START, &sent[0], RunStatus::Done(ms(50)));
    scheduler.on_heartbeat(START + ms(1490), &agent(0));
    scheduler.on_tick(START + ms(1500));
    let actions = scheduler.take_actions();
    assert!(matches!(answers(&actions)[..], [(_, Answer::GaveUp { .. })]));
    let cancels = actions.iter().filter(|action| matches!(action, Action::Cancel(..)));
    assert_eq!(cancels.count(), 1);
}

#[test]
fn a_job_ends_when_its_caller_disconnects() {
    let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
    scheduler.submit(START, job("a1", 3, 1000, ms(50)));
    scheduler.take_actions();
    assert!(scheduler.abandon(&"a1".parse().unwrap()));
    let actions = scheduler.take_actions();
    let cancels = actions.iter().filter(|action| matches!(action, Action::Cancel(..)));
    assert_eq!(cancels.count(), 3);
    assert!(answers(&actions).is_empty());
}

/// An endpoint becomes slow while it runs tasks.
#[test]
fn a_slow_task_is_moved_only_if_that_helps() {
    struct Case {
        name: &'static str,
        left: Duration,
        other_slowness: f64,
        moves: bool,
    }
    let cases = [
        Case { name: "hangs", left: ms(60_000), other_slowness: 1.0, moves: true },
        Case { name: "still in time", left: ms(40), other_slowness: 1.0, moves: false },
        Case {
            name: "the other endpoint is not faster",
            left: ms(700),
            other_slowness: 8.0,
            moves: false,
        },
    ];
    for case in cases {
        let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
        scheduler.submit(START, job("a1", 1, 1000, ms(100)));
        let sent = orders(&scheduler.take_actions());
        scheduler.on_attached(START, &agent(1), &[]);
        scheduler.on_status(START, &agent(1), status(32_000, case.other_slowness));
        scheduler.take_actions();
        let actions =
            report_status(&mut scheduler, START + ms(60), &sent[0], RunStatus::Slow(case.left));
        let cancelled = actions.iter().any(|action| matches!(action, Action::Cancel(..)));
        assert_eq!(cancelled, case.moves, "{}", case.name);
        // The next run waits until the previous one has ended.
        assert!(orders(&actions).is_empty(), "{}", case.name);
    }
}

/// A caller gets the final answer at once if its job cannot be done before its timeout.
#[test]
fn a_job_that_cannot_end_in_time_is_given_up_early() {
    let endpoints = [status(32_000, 1.0), status(32_000, 1.0)];
    let mut scheduler = scheduler_with(START, &endpoints);
    scheduler.submit(START, job("a1", 2, 1000, ms(900)));
    let sent = orders(&scheduler.take_actions());
    let now = START + ms(400);
    for number in 0..2 {
        scheduler.on_status(now, &agent(number), status(32_000, 1.0));
    }
    let actions = report_status(&mut scheduler, now, &sent[0], RunStatus::Overrun(ms(1600)));
    assert!(matches!(answers(&actions)[..], [(_, Answer::GaveUp { .. })]), "{actions:?}");
    let cancels = actions.iter().filter(|action| matches!(action, Action::Cancel(..)));
    assert_eq!(cancels.count(), 2);
    // The log tells this decision from the end of the caller's timeout.
    let overrun = |action: &&Action| match action {
        Action::Record(decision) => decision.to_string().starts_with("event=overrun task=a1.0.0/1"),
        _ => false,
    };
    assert_eq!(actions.iter().filter(overrun).count(), 1, "{actions:?}");
}

/// Without its source, a deadline that is not the caller's cannot be told from one that is.
#[test]
fn the_log_names_the_source_of_a_deadline() {
    struct Case {
        declared: Duration,
        event: &'static str,
    }
    let cases = [
        Case { declared: ms(50), event: "event=admitted" },
        Case { declared: ms(60_000), event: "event=refused" },
    ];
    for Case { declared, event } in cases {
        for source in [TimeoutSource::Caller, TimeoutSource::Route, TimeoutSource::Default] {
            let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
            let timeout_source = source;
            scheduler.submit(START, JobSpec { timeout_source, ..job("a1", 1, 1000, declared) });
            let lines: Vec<String> = scheduler
                .take_actions()
                .iter()
                .filter_map(|action| match action {
                    Action::Record(decision) => Some(decision.to_string()),
                    _ => None,
                })
                .filter(|line| line.starts_with(event))
                .collect();
            let expected = format!("deadline_ms=1492 deadline_by={source}");
            assert!(matches!(&lines[..], [line] if line.contains(&expected)), "{lines:?}");
        }
    }
}

/// Until all leases after the last contact with an agent have expired, no task that was sent to it
/// may run elsewhere.
#[test]
fn tasks_of_a_silent_agent_are_not_resent_before_its_leases_expire() {
    let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
    scheduler.submit(START, job("a1", 1, 1000, ms(50)));
    scheduler.take_actions();
    let other = agent(1);
    let mut resent_at = None;
    for tick in 1..140 {
        let now = START + ms(tick * 10);
        scheduler.on_attached(now, &other, &[]);
        scheduler.on_status(now, &other, status(32_000, 1.0));
        scheduler.on_tick(now);
        let sent = orders(&scheduler.take_actions());
        if resent_at.is_none() && !sent.is_empty() {
            resent_at = Some(now - START);
        }
    }
    assert_eq!(resent_at, Some(ms(1100)));
}

#[test]
fn orders_that_a_reconnected_agent_never_received_are_resent() {
    let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
    scheduler.submit(START, job("a1", 2, 1000, ms(50)));
    let sent = orders(&scheduler.take_actions());
    scheduler.on_detached(START, &agent(0));
    scheduler.on_attached(START + ms(50), &agent(0), &[sent[0].1.run.clone()]);
    scheduler.on_status(START + ms(50), &agent(0), status(32_000, 1.0));
    let again = orders(&scheduler.take_actions());
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1.run.task, sent[1].1.run.task);
}

#[test]
fn steps_wait_for_their_dependencies() {
    let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
    let mut spec = job("a1", 2, 1000, ms(20));
    let mut second = spec.steps[0].clone();
    second.depends_on = vec![0];
    spec.steps.push(second);
    scheduler.submit(START, spec);
    let first = orders(&scheduler.take_actions());
    assert!(first.iter().all(|(_, order)| order.run.task.step == 0));
    let done = RunStatus::Done(ms(20));
    assert!(orders(&report_status(&mut scheduler, START, &first[0], done)).is_empty());
    let second = orders(&report_status(&mut scheduler, START, &first[1], done));
    assert_eq!(second.len(), 2);
    assert!(second.iter().all(|(_, order)| order.run.task.step == 1));
}

/// Guards against a refusal that says "not run" after a run that may have started.
#[test]
fn a_job_is_refused_only_if_no_run_may_have_started() {
    struct Case {
        status: RunStatus,
        is_refused: bool,
    }
    let cases = [
        Case { status: RunStatus::NotStarted, is_refused: true },
        // The endpoint has seen the run number, from another attempt of the caller.
        Case { status: RunStatus::StaleRun, is_refused: false },
        Case { status: RunStatus::Stopped, is_refused: false },
        Case { status: RunStatus::Crashed(CrashRole::Suspect), is_refused: false },
        Case { status: RunStatus::Failed, is_refused: false },
    ];
    for Case { status: run_status, is_refused } in cases {
        let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
        scheduler.submit(START, job("a1", 1, 1000, ms(50)));
        let sent = orders(&scheduler.take_actions());
        // No endpoint is left for another run.
        scheduler.on_detached(START, &agent(0));
        let mut actions = report_status(&mut scheduler, START, &sent[0], run_status);
        scheduler.on_tick(START + ms(1500));
        actions.extend(scheduler.take_actions());
        let answers = answers(&actions);
        let refused = |(_, answer): &(String, Answer)| matches!(answer, Answer::Refused { .. });
        assert_eq!(answers.len(), 1, "{run_status:?}");
        assert_eq!(answers.iter().any(refused), is_refused, "{run_status:?}");
    }
}

/// Guards against a refusal that says "not run" for a request whose job is still open.
#[test]
fn a_repeated_request_of_an_open_job_is_not_refused() {
    let mut scheduler = scheduler_with(START, &[status(32_000, 1.0)]);
    scheduler.submit(START, job("a1", 1, 1000, ms(50)));
    scheduler.take_actions();
    scheduler.submit(START, job("a1", 1, 1000, ms(50)));
    let answers = answers(&scheduler.take_actions());
    assert!(matches!(answers[..], [(_, Answer::GaveUp { .. })]), "{answers:?}");
}

/// Applies a random event, drawn from two bytes: a tick, or an event of one of the open orders,
/// whose status is returned.
fn apply_random_event(
    scheduler: &mut Scheduler,
    now: Duration,
    open: &mut Vec<(AgentId, TaskOrder)>,
    (kind, pick): (u8, u8),
) -> Option<RunStatus> {
    if open.is_empty() {
        return None;
    }
    let at = usize::from(pick) % open.len();
    let status = match kind % 7 {
        0 => RunStatus::Done(ms(50)),
        1 => RunStatus::Failed,
        2 => RunStatus::NotStarted,
        3 => RunStatus::StaleRun,
        4 => RunStatus::Stopped,
        5 => RunStatus::Crashed(CrashRole::Suspect),
        _ => {
            scheduler.on_tick(now);
            return None;
        }
    };
    let (agent, order) = open.remove(at);
    scheduler.on_task_event(now, &agent, &TaskEvent { run: order.run, status });
    Some(status)
}

quickcheck! {
    /// Checks for any task events that a task is at one agent at most, that its run numbers rise,
    /// that the job is answered once, and that it is refused only if nothing may have run.
    fn answers_are_consistent_with_task_events(events: Vec<(u8, u8)>) -> bool {
        let mut scheduler = scheduler_with(START, &[status(32_000, 1.0), status(32_000, 1.2)]);
        scheduler.submit(START, job("a1", 3, 1000, ms(50)));
        let mut open: Vec<(AgentId, TaskOrder)> = Vec::new();
        let mut runs = [0; 3];
        let (mut may_have_run, mut answered) = (false, 0);
        let mut now = START;
        for event in std::iter::once((6, 0)).chain(events) {
            now += ms(7);
            for number in 0..2 {
                scheduler.on_heartbeat(now, &agent(number));
            }
            let status = apply_random_event(&mut scheduler, now, &mut open, event);
            may_have_run |= status.is_some_and(|status| status != RunStatus::NotStarted);
            let actions = scheduler.take_actions();
            for (agent, order) in orders(&actions) {
                let task = order.run.task.index as usize;
                if order.run.number <= runs[task] {
                    return false;
                }
                if open.iter().any(|(_, other)| other.run.task == order.run.task) {
                    return false;
                }
                runs[task] = order.run.number;
                open.push((agent, order));
            }
            for (_, answer) in answers(&actions) {
                answered += 1;
                let refused = matches!(answer, Answer::Refused { .. });
                if refused && (may_have_run || !open.is_empty()) {
                    return false;
                }
            }
        }
        answered <= 1
    }
}
