//! Tests of crash records, which agents and entries share.

use std::time::Duration;

use cowslipwing_dispatch::{
    Action, Answer, CrashLog, CrashRecord, CrashRole, RunStatus, Scheduler, TaskEvent, TaskRun,
};

use crate::fleet::START;
use crate::support::{agent, answers, job, ms, orders, scheduler_with, status};

fn record(vm: &str, number: u32, role: CrashRole) -> CrashRecord {
    let run = TaskRun { task: "a1.0.0".parse().unwrap(), number };
    CrashRecord { run, vm: vm.into(), role }
}

fn learn(scheduler: &mut Scheduler, record: CrashRecord) -> Vec<Action> {
    scheduler.on_crash_records(START, &agent(0), [(record, Duration::ZERO)]);
    scheduler.take_actions()
}

fn scheduler() -> Scheduler {
    let endpoints: Vec<_> = (0..6).map(|_| status(8000, 1.0)).collect();
    scheduler_with(START, &endpoints)
}

/// Guards against a count that starts anew when a caller hands its job in at another entry.
#[test]
fn a_job_submitted_after_crashes_elsewhere_is_answered_by_their_count() {
    use CrashRole::{Bystander, Suspect, Unconfirmed};
    struct Case {
        roles: &'static [CrashRole],
        is_failed: Option<bool>,
    }
    let cases = [
        Case { roles: &[Suspect], is_failed: None },
        Case { roles: &[Suspect, Suspect], is_failed: Some(true) },
        Case { roles: &[Suspect, Bystander], is_failed: None },
        Case { roles: &[Bystander, Bystander, Bystander], is_failed: Some(false) },
        Case { roles: &[Unconfirmed, Suspect, Bystander], is_failed: Some(false) },
    ];
    for Case { roles, is_failed } in cases {
        for is_open in [false, true] {
            let mut scheduler = scheduler();
            if is_open {
                scheduler.submit(START, job("a1", 1, 1000, ms(60)));
            }
            let mut actions = Vec::new();
            for (vm, role) in (10..).zip(roles) {
                actions.extend(learn(&mut scheduler, record(&format!("side-{vm}"), vm, *role)));
            }
            if !is_open {
                scheduler.submit(START, job("a1", 1, 1000, ms(60)));
                actions = scheduler.take_actions();
                assert_eq!(orders(&actions).is_empty(), is_failed.is_some(), "{roles:?}");
            }
            let answer = answers(&actions).pop().map(|(_, answer)| answer);
            let found = answer.map(|answer| answer == Answer::Failed);
            assert_eq!(found, is_failed, "{roles:?}, open: {is_open}");
        }
    }
}

/// Guards against a crash that counts several times because its record arrives by several ways, and
/// against records that are passed on for ever.
#[test]
fn a_record_counts_once_and_is_passed_on_once() {
    let mut scheduler = scheduler();
    let record = record("side-9", 1, CrashRole::Suspect);
    let told = |actions: &[Action]| -> Vec<_> {
        let shared = |action: &Action| match action {
            Action::ShareCrash(agent, ..) => Some(agent.clone()),
            _ => None,
        };
        actions.iter().filter_map(shared).collect()
    };
    let first = told(&learn(&mut scheduler, record.clone()));
    assert_eq!(first.len(), 3);
    assert!(!first.contains(&agent(0)), "the record goes back to its sender");
    for _ in 0..3 {
        assert!(told(&learn(&mut scheduler, record.clone())).is_empty());
    }
    scheduler.submit(START, job("a1", 1, 1000, ms(60)));
    assert!(answers(&scheduler.take_actions()).is_empty());
}

/// Guards against two counts for one crash, from the record and from the event of the lost run.
#[test]
fn the_event_of_a_lost_run_does_not_count_beside_its_record() {
    let mut scheduler = scheduler();
    scheduler.submit(START, job("a1", 1, 1000, ms(60)));
    let (to, order) = orders(&scheduler.take_actions()).pop().unwrap();
    let status = RunStatus::Crashed(CrashRole::Suspect);
    let record = record(to.vm_name(), order.run.number, CrashRole::Suspect);
    scheduler.on_crash_records(START, &to, [(record, Duration::ZERO)]);
    assert!(orders(&scheduler.take_actions()).is_empty(), "the run may still be in flight");
    scheduler.on_task_event(START, &to, &TaskEvent { run: order.run, status });
    let actions = scheduler.take_actions();
    assert!(answers(&actions).is_empty());
    let (next, _) = orders(&actions).pop().unwrap();
    assert_ne!(next.vm_name(), to.vm_name());
}

/// Guards against the answer "not run" to a job that ran in an earlier attempt.
#[test]
fn a_job_that_crashed_an_endpoint_is_not_refused() {
    let mut scheduler = scheduler();
    learn(&mut scheduler, record("side-9", 1, CrashRole::Unconfirmed));
    // No endpoint is large enough.
    scheduler.submit(START, job("a1", 1, 64_000, ms(60)));
    let (_, answer) = answers(&scheduler.take_actions()).pop().unwrap();
    assert!(matches!(answer, Answer::GaveUp { .. }), "{answer:?}");
}

/// Guards against a log that grows without bound, that forgets suspects because of the runs beside
/// them, or in which records live longer because they were passed on.
#[test]
fn a_log_is_bounded_in_number_and_time() {
    let mut log = CrashLog::default();
    let suspect = record("side-1", 1, CrashRole::Suspect);
    assert!(log.insert(START, suspect.clone(), Duration::ZERO));
    for number in 0..300 {
        log.insert(START + ms(1), record("side-2", number, CrashRole::Bystander), Duration::ZERO);
    }
    let count = |log: &CrashLog, at| log.records(at).count();
    assert_eq!(count(&log, START + ms(2)), 256);
    let mut kept = log.records(START + ms(2)).map(|(record, _)| record);
    assert!(kept.any(|record| *record == suspect));
    assert_eq!(count(&log, START + Duration::from_secs(60) + ms(1)), 0);
    let mut other = CrashLog::default();
    assert!(!other.insert(START, suspect.clone(), Duration::from_secs(60)));
    assert!(other.insert(START, suspect, Duration::from_secs(59)));
    assert_eq!(count(&other, START + Duration::from_secs(1)), 0);
}
