//! What an agent starts, and what it takes to be gone.

use std::time::Duration;

use cowslipwing_dispatch::{
    EndpointReport, EntryName, Executor, ExecutorAction, ExecutorSettings, Fate, HowEnded, Listing,
    Order, Room, StartOutcome, StartRefusal, TaskEnd, TaskEvent, TaskOrder, TaskProgress, TaskRun,
};

use crate::support::{ms, room};

const START: Duration = Duration::from_secs(10);

fn entry() -> EntryName {
    "front-1@1".parse().unwrap()
}

fn run(index: u32) -> TaskRun {
    TaskRun { task: format!("a1.0.{index}").parse().unwrap(), run: 1 }
}

fn report(sequence: u64) -> EndpointReport {
    EndpointReport {
        id: "i-1".into(),
        born: 7,
        service: "desk".into(),
        capacity: Room { cpu_millis: 4000, memory_mb: 1024, gpus: 0 },
        kind: "a".into(),
        rack: "r1".into(),
        draining: false,
        sequence,
    }
}

fn listing(asked_at: Duration) -> Listing {
    let clock_ms = asked_at.as_millis() as u64;
    Listing { asked_at, born: 7, clock_ms, running: Vec::new(), ended: Vec::new() }
}

fn order(index: u32, cpu_millis: u32, start_within: Duration) -> Order {
    let order = TaskOrder {
        run: run(index),
        work: "do it".into(),
        need: room(cpu_millis),
        work_time: ms(100),
        start_within,
        give_up: ms(1000),
        end_within: ms(1400),
        most_here: 0,
    };
    Order { entry: entry(), order }
}

/// Returns an executor beside an empty endpoint, leased by one entry.
fn executor() -> Executor {
    let settings =
        ExecutorSettings { entry_lease: ms(600), endpoint_lease: ms(500), longest_lease: ms(1000) };
    let mut executor = Executor::new(settings);
    executor.on_report(START, report(1));
    executor.on_listing(START, &listing(START));
    executor.on_entry_heard(&entry(), START);
    executor.take_actions();
    executor
}

fn starts(actions: &[ExecutorAction]) -> Vec<TaskRun> {
    let start = |action: &ExecutorAction| match action {
        ExecutorAction::Start { run, .. } => Some(run.clone()),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

fn told(actions: &[ExecutorAction]) -> Vec<(TaskRun, Fate)> {
    let tell = |action: &ExecutorAction| match action {
        ExecutorAction::Tell(_, TaskEvent { run, fate }) => Some((run.clone(), *fate)),
        _ => None,
    };
    actions.iter().filter_map(tell).collect()
}

/// Load pattern: a burst fills the endpoint; the most urgent of what waits starts first.
#[test]
fn what_waits_starts_in_the_order_of_its_latest_useful_start() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    executor.on_order(START, order(1, 3000, ms(300)));
    executor.on_order(START, order(2, 3000, ms(100)));
    assert_eq!(starts(&executor.take_actions()), [run(0)]);
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    let end = TaskEnd { number: 1, run: run(0), how: HowEnded::Done };
    let at = START + ms(50);
    executor.on_listing(at, &Listing { ended: vec![end], ..listing(at) });
    let actions = executor.take_actions();
    assert_eq!(starts(&actions), [run(2)]);
    assert_eq!(told(&actions), [(run(0), Fate::Done(ms(50)))]);
}

#[test]
fn what_cannot_start_in_time_goes_back_as_not_started() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    executor.on_order(START, order(1, 3000, ms(30)));
    executor.take_actions();
    executor.on_tick(START + ms(31));
    assert_eq!(told(&executor.take_actions()), [(run(1), Fate::NotStarted)]);
}

#[test]
fn a_draining_endpoint_gives_back_what_waits_and_takes_nothing() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    executor.on_order(START, order(1, 3000, ms(500)));
    executor.take_actions();
    executor.on_report(START, EndpointReport { draining: true, ..report(2) });
    assert_eq!(told(&executor.take_actions()), [(run(1), Fate::NotStarted)]);
    executor.on_order(START, order(2, 100, ms(500)));
    let actions = executor.take_actions();
    assert_eq!(told(&actions), [(run(2), Fate::NotStarted)]);
    assert!(starts(&actions).is_empty());
    assert!(!executor.status(START).usable);
}

/// An order that nobody answers may be carried out later: its room stays reserved until a stop was
/// confirmed and a later listing shows nothing, or its deadline has passed there.
#[test]
fn an_unanswered_start_is_ruled_out_before_it_goes_back() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    executor.on_order(START, order(1, 4000, ms(500)));
    executor.take_actions();
    executor.on_tick(START + ms(30));
    assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(0))]);
    executor.on_listing(START + ms(35), &listing(START + ms(32)));
    assert!(executor.take_actions().is_empty());
    executor.on_stopped(START + ms(36), &run(0));
    executor.on_listing(START + ms(40), &listing(START + ms(37)));
    let actions = executor.take_actions();
    assert_eq!(told(&actions), [(run(0), Fate::NotStarted)]);
    assert_eq!(starts(&actions), [run(1)]);
}

/// Returns a start as it is sent again.
fn copy(actions: &[ExecutorAction], times: u32) -> Vec<ExecutorAction> {
    let copy = |action: &ExecutorAction| match action.clone() {
        ExecutorAction::Start { run, work, until_ms, .. } => {
            ExecutorAction::Start { run, work, until_ms, sends: times }
        }
        other => other,
    };
    actions.iter().map(copy).collect()
}

/// Load pattern: a share of all orders gets no answer. Most of them start within 20 ms all the same,
/// since the endpoint takes each run only once, however often it is told to.
#[test]
fn an_unanswered_start_is_sent_again() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    let first = executor.take_actions();
    assert!(matches!(first[..], [ExecutorAction::Start { .. }]), "{first:?}");
    executor.on_tick(START + ms(9));
    assert!(executor.take_actions().is_empty());
    executor.on_tick(START + ms(10));
    assert_eq!(executor.take_actions(), copy(&first, 2));
    executor.on_tick(START + ms(19));
    assert!(executor.take_actions().is_empty());
    executor.on_tick(START + ms(20));
    assert_eq!(executor.take_actions(), copy(&first, 3));
    executor.on_tick(START + ms(30));
    assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(0))]);
}

/// Load pattern: an endpoint answers nothing at all. Each copy would take a connection of its own.
#[test]
fn a_silent_endpoint_gets_no_copies() {
    let mut executor = executor();
    let at = START + ms(145);
    executor.on_order(at, order(0, 4000, ms(500)));
    executor.take_actions();
    executor.on_tick(at + ms(10));
    executor.on_start_reply(at + ms(11), &run(0), StartOutcome::NoReply);
    assert!(executor.take_actions().is_empty());
    executor.on_tick(at + ms(30));
    assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(0))]);
}

#[test]
fn a_start_whose_connection_broke_is_sent_again_at_once() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    let first = executor.take_actions();
    executor.on_start_reply(START + ms(1), &run(0), StartOutcome::NoReply);
    assert_eq!(executor.take_actions(), copy(&first, 2));
    executor.on_start_reply(START + ms(2), &run(0), StartOutcome::Started);
    executor.on_tick(START + ms(31));
    assert!(executor.take_actions().is_empty());
}

/// The copy that was not answered may still be carried out.
#[test]
fn a_refused_copy_does_not_settle_the_others() {
    let refusals = [
        StartRefusal::OldRun,
        StartRefusal::NoRoom,
        StartRefusal::TooLate,
        StartRefusal::Unhealthy,
        StartRefusal::Fenced,
    ];
    for refusal in refusals {
        let mut executor = executor();
        executor.on_order(START, order(0, 4000, ms(500)));
        executor.on_tick(START + ms(10));
        executor.take_actions();
        executor.on_start_reply(START + ms(11), &run(0), StartOutcome::Refused(refusal));
        assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(0))], "{refusal:?}");
        assert_eq!(executor.started(), 1);
    }
}

#[test]
fn answers_to_copies_change_nothing_once_the_task_runs() {
    let late = [
        StartOutcome::NoReply,
        StartOutcome::Started,
        StartOutcome::Refused(StartRefusal::OldRun),
        StartOutcome::Refused(StartRefusal::TooLate),
    ];
    for outcome in late {
        let mut executor = executor();
        executor.on_order(START, order(0, 4000, ms(500)));
        executor.on_tick(START + ms(10));
        executor.on_start_reply(START + ms(11), &run(0), StartOutcome::Started);
        executor.take_actions();
        executor.on_start_reply(START + ms(150), &run(0), outcome);
        assert!(executor.take_actions().is_empty(), "{outcome:?}");
        assert_eq!(executor.started(), 1);
    }
}

/// A deadline on the former incarnation's clock means nothing to the next one.
#[test]
fn a_start_is_not_sent_again_to_another_incarnation() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    let at = START + ms(5);
    executor.on_listing(at, &Listing { born: 8, clock_ms: 3, ..listing(at) });
    executor.on_tick(START + ms(10));
    assert!(starts(&executor.take_actions()).is_empty());
}

#[test]
fn an_unanswered_start_that_is_listed_goes_on() {
    let mut executor = executor();
    executor.on_order(START, order(0, 4000, ms(500)));
    executor.take_actions();
    let running = vec![TaskProgress { run: run(0), percent: 3 }];
    executor.on_listing(START + ms(20), &Listing { running, ..listing(START + ms(10)) });
    executor.on_tick(START + ms(31));
    assert!(executor.take_actions().is_empty());
}

#[test]
fn refused_starts_have_not_run() {
    struct Case {
        refusal: StartRefusal,
        fate: Fate,
    }
    let cases = [
        Case { refusal: StartRefusal::OldRun, fate: Fate::StaleRun },
        Case { refusal: StartRefusal::NoRoom, fate: Fate::NotStarted },
        Case { refusal: StartRefusal::TooLate, fate: Fate::NotStarted },
        Case { refusal: StartRefusal::Unhealthy, fate: Fate::NotStarted },
        Case { refusal: StartRefusal::OtherIncarnation, fate: Fate::NotStarted },
    ];
    for case in cases {
        let mut executor = executor();
        executor.on_order(START, order(0, 4000, ms(500)));
        executor.take_actions();
        executor.on_start_reply(START, &run(0), StartOutcome::Refused(case.refusal));
        let found = told(&executor.take_actions());
        assert_eq!(found, [(run(0), case.fate)], "{:?}", case.refusal);
        assert_eq!(executor.started(), 0);
    }
}

#[test]
fn tasks_of_an_entry_that_is_not_heard_from_are_stopped() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    // The endpoint's own lease goes on.
    let at = START + ms(400);
    let running = vec![TaskProgress { run: run(0), percent: 99 }];
    executor.on_listing(at, &Listing { running, ..listing(at) });
    executor.lease(at);
    executor.on_tick(START + ms(599));
    assert!(executor.take_actions().is_empty());
    executor.on_tick(START + ms(600));
    assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(0))]);
    // An order that was on its way since before is not carried out.
    executor.on_order(START + ms(601), order(1, 1000, ms(500)));
    let actions = executor.take_actions();
    assert!(starts(&actions).is_empty());
    assert_eq!(told(&actions), [(run(1), Fate::NotStarted)]);
}

/// A VM that was suspended may take in an order before it has looked at the time.
#[test]
fn an_order_under_a_lapsed_lease_is_not_taken() {
    let mut executor = executor();
    let at = START + ms(700);
    executor.on_listing(at, &listing(at));
    executor.on_order(at, order(0, 1000, ms(500)));
    let actions = executor.take_actions();
    assert_eq!(told(&actions), [(run(0), Fate::NotStarted)]);
    assert!(starts(&actions).is_empty());
}

#[test]
fn a_restarted_agent_stops_what_it_finds_before_it_starts_anything() {
    let mut executor = executor();
    let found = TaskProgress { run: run(9), percent: 10 };
    let at = START + ms(5);
    executor.on_listing(at, &Listing { running: vec![found], ..listing(at) });
    assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(9))]);
    assert!(!executor.status(at).usable);
    executor.on_order(at, order(0, 1000, ms(500)));
    assert!(starts(&executor.take_actions()).is_empty());
    executor.on_listing(START + ms(20), &listing(START + ms(10)));
    assert_eq!(starts(&executor.take_actions()), [run(0)]);
}

#[test]
fn what_a_silent_endpoint_ran_is_lost_once_its_lease_is_over() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.on_entry_heard(&entry(), START + ms(5000));
    executor.on_tick(START + ms(505));
    assert!(told(&executor.take_actions()).is_empty());
    // The endpoint's clock may run 2% slow.
    executor.on_tick(START + ms(520));
    assert_eq!(told(&executor.take_actions()), [(run(0), Fate::Stopped)]);
}

#[test]
fn a_reborn_endpoint_runs_nothing_of_before() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    let at = START + ms(50);
    executor.on_listing(at, &Listing { born: 8, ..listing(at) });
    assert_eq!(told(&executor.take_actions()), [(run(0), Fate::Stopped)]);
    // A listing of the former incarnation that comes late changes nothing.
    let running = vec![TaskProgress { run: run(0), percent: 50 }];
    executor.on_listing(at, &Listing { running, ..listing(START) });
    assert!(executor.take_actions().is_empty());
    // Nor does its announcement.
    assert!(!executor.on_report(at, report(9)));
}

/// Soak seed 1: the announcement of a new incarnation came after its first listing, and took what had
/// started there since for lost. The size of a new incarnation is known from its announcement on, so
/// that nothing starts before.
#[test]
fn a_listed_incarnation_takes_tasks_once_it_is_announced() {
    let mut executor = executor();
    let reborn_at = START + ms(50);
    executor.on_listing(reborn_at, &Listing { born: 8, ..listing(reborn_at) });
    executor.on_order(reborn_at, order(0, 1000, ms(500)));
    assert!(executor.take_actions().is_empty());
    assert!(!executor.status(reborn_at).usable);
    let at = START + ms(90);
    executor.on_report(at, EndpointReport { born: 8, ..report(1) });
    assert_eq!(starts(&executor.take_actions()), [run(0)]);
    executor.on_start_reply(at, &run(0), StartOutcome::Started);
    executor.on_report(at, EndpointReport { born: 8, ..report(2) });
    assert!(executor.take_actions().is_empty());
    assert_eq!(executor.started(), 1);
}

/// A new incarnation may be smaller than the former one at its address.
#[test]
fn room_is_that_of_the_incarnation_that_is_there() {
    let mut executor = executor();
    let at = START + ms(50);
    executor.on_listing(at, &Listing { born: 8, ..listing(at) });
    executor.on_order(at, order(0, 3000, ms(500)));
    executor.on_order(at, order(1, 1000, ms(500)));
    let small = Room { cpu_millis: 2000, memory_mb: 1024, gpus: 0 };
    executor.on_report(at, EndpointReport { born: 8, capacity: small, ..report(1) });
    assert_eq!(starts(&executor.take_actions()), [run(1)]);
}

/// An order that was on its way when the endpoint crashed may start at its new incarnation.
#[test]
fn a_start_on_its_way_over_a_crash_is_ruled_out_first() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    let at = START + ms(10);
    executor.on_listing(at, &Listing { born: 8, clock_ms: 3, ..listing(at) });
    assert!(told(&executor.take_actions()).is_empty());
    executor.on_tick(START + ms(31));
    assert_eq!(executor.take_actions(), [ExecutorAction::Stop(run(0))]);
    executor.on_stopped(START + ms(32), &run(0));
    let at = START + ms(40);
    executor.on_listing(at, &Listing { born: 8, clock_ms: 33, ..listing(at) });
    assert_eq!(told(&executor.take_actions()), [(run(0), Fate::NotStarted)]);
}

/// A crashed endpoint whose clock has gone back announces an earlier start than the former one.
#[test]
fn another_incarnation_with_an_earlier_clock_is_taken() {
    let mut executor = executor();
    executor.on_order(START, order(0, 1000, ms(500)));
    executor.take_actions();
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.on_other_incarnation("i-1");
    assert_eq!(told(&executor.take_actions()), [(run(0), Fate::Stopped)]);
    assert!(executor.on_report(START, EndpointReport { id: "i-2".into(), born: 3, ..report(1) }));
}

/// Load pattern: all VMs come back at once after a loss of power. The agent asks for the endpoint that it
/// remembers, and the new one announces itself before the answer is there.
#[test]
fn an_answer_for_the_former_incarnation_leaves_the_announced_one() {
    let mut executor = executor();
    executor.on_report(START, EndpointReport { id: "i-2".into(), born: 9, ..report(1) });
    executor.on_other_incarnation("i-1");
    let at = START + ms(5);
    executor.on_listing(at, &Listing { born: 9, ..listing(at) });
    executor.on_order(at, order(0, 1000, ms(500)));
    assert_eq!(starts(&executor.take_actions()), [run(0)]);
}

/// Load pattern: everything on the endpoint stands still while its announcements stay good.
#[test]
fn an_endpoint_that_stands_still_shows_within_tens_of_milliseconds() {
    let mut executor = executor();
    for index in 0..3 {
        let mut order = order(0, 1000, ms(500));
        order.order.run = TaskRun { task: format!("j{index}.0.0").parse().unwrap(), run: 1 };
        executor.on_order(START, order.clone());
        executor.on_start_reply(START, &order.order.run, StartOutcome::Started);
    }
    executor.take_actions();
    let running = |percent| -> Vec<TaskProgress> {
        let task = |index| format!("j{index}.0.0").parse().unwrap();
        let run = |index| TaskRun { task: task(index), run: 1 };
        (0..3).map(|index| TaskProgress { run: run(index), percent }).collect()
    };
    let at = START + ms(45);
    executor.on_listing(at, &Listing { running: running(0), ..listing(at) });
    assert!(executor.status(at).slowness > 5.0);
    let slow = told(&executor.take_actions());
    assert!(slow.iter().all(|(_, fate)| matches!(fate, Fate::Slow(_))) && slow.len() == 3);
}

/// A long task that turns out to be longer than its caller waits is told of early.
#[test]
fn a_task_that_cannot_end_in_time_is_told_of_early() {
    let mut executor = executor();
    let mut long = order(0, 1000, ms(500));
    long.order.work_time = ms(700);
    executor.on_order(START, long);
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.take_actions();
    for (passed, percent) in [(100, 5), (200, 10), (300, 15), (400, 20)] {
        let at = START + ms(passed);
        let running = vec![TaskProgress { run: run(0), percent }];
        executor.on_listing(at, &Listing { running, ..listing(at) });
        assert!(told(&executor.take_actions()).is_empty());
    }
    let at = START + ms(480);
    let running = vec![TaskProgress { run: run(0), percent: 25 }];
    executor.on_listing(at, &Listing { running, ..listing(at) });
    let told = told(&executor.take_actions());
    assert!(matches!(told[..], [(_, Fate::Overrun(left))] if left > ms(1300)), "{told:?}");
}

/// Whole percents are listed; a task that just ends in time must not be given up for it.
#[test]
fn a_task_that_ends_just_in_time_is_not_told_of() {
    let mut executor = executor();
    let mut long = order(0, 1000, ms(500));
    long.order.work_time = ms(1300);
    executor.on_order(START, long);
    executor.on_start_reply(START, &run(0), StartOutcome::Started);
    executor.take_actions();
    for passed in (40..1380).step_by(45) {
        let at = START + ms(passed);
        let percent = (passed * 100 / 1385) as u32;
        let running = vec![TaskProgress { run: run(0), percent }];
        executor.lease(at);
        executor.on_entry_heard(&entry(), at);
        executor.on_listing(at, &Listing { running, ..listing(at) });
        let told = told(&executor.take_actions());
        assert!(told.is_empty(), "at {passed} ms: {told:?}");
    }
}
