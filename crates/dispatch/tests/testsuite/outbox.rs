//! Task events that are lost with a stream.

use cowslipwing_dispatch::{Outbox, RunStatus, TaskEvent, TaskRun};

use crate::support::ms;

fn event(index: u32, status: RunStatus) -> TaskEvent {
    let run = TaskRun { task: format!("a1.0.{index}").parse().unwrap(), number: 1 };
    TaskEvent { run, status }
}

/// Guards against a task that runs again although it was done: the report of its end was lost with
/// the stream, and the entry took the run for one that had not been received.
#[test]
fn the_ends_of_runs_are_sent_until_the_entry_has_received_them() {
    struct Case {
        name: &'static str,
        /// Time of the latest frame that the entry has received, if any.
        heard_at: Option<u64>,
        /// Events that are sent on the next stream, by index.
        again: &'static [u32],
    }
    // Events 0 and 1 are sent at 10 ms, event 2 at 20 ms, and event 3 waits.
    let cases = [
        Case { name: "nothing was received", heard_at: None, again: &[0, 1, 2, 3] },
        Case {
            name: "one of several frames of that time",
            heard_at: Some(10),
            again: &[0, 1, 2, 3],
        },
        Case { name: "the first frame", heard_at: Some(11), again: &[2, 3] },
        Case { name: "all frames", heard_at: Some(21), again: &[3] },
    ];
    for case in cases {
        let mut outbox = Outbox::default();
        outbox.push(event(0, RunStatus::Done(ms(5))));
        outbox.push(event(1, RunStatus::NotStarted));
        assert_eq!(outbox.take_pending(ms(10)).len(), 2);
        outbox.push(event(2, RunStatus::Failed));
        outbox.take_pending(ms(20));
        if let Some(heard_at) = case.heard_at {
            outbox.on_heard(ms(heard_at));
        }
        outbox.push(event(3, RunStatus::Stopped));
        outbox.on_stream_closed();
        let again: Vec<u32> =
            outbox.take_pending(ms(30)).iter().map(|event| event.run.task.index).collect();
        assert_eq!(again, case.again, "{}", case.name);
        outbox.on_heard(ms(31));
        assert!(outbox.is_empty());
    }
}

/// A report on the progress of a run is out of date on the next stream.
#[test]
fn reports_on_progress_are_not_sent_again() {
    let mut outbox = Outbox::default();
    outbox.push(event(0, RunStatus::Slow(ms(50))));
    assert!(outbox.has_pending());
    outbox.take_pending(ms(10));
    outbox.push(event(1, RunStatus::Overrun(ms(50))));
    outbox.on_stream_closed();
    assert!(outbox.is_empty());
}

/// Guards against returned tasks of large jobs of which the entry does not hear, and against memory that
/// grows for an entry that does not come back.
#[test]
fn events_are_dropped_only_without_a_stream() {
    let mut outbox = Outbox::default();
    outbox.take_pending(ms(10));
    for index in 0..3000 {
        outbox.push(event(index, RunStatus::NotStarted));
    }
    assert_eq!(outbox.take_pending(ms(20)).len(), 3000);
    outbox.on_stream_closed();
    for index in 3000..9000 {
        outbox.push(event(index, RunStatus::NotStarted));
    }
    assert_eq!(outbox.take_pending(ms(30)).len(), 3000);
    outbox.on_heard(ms(31));
    outbox.on_stream_closed();
    for index in 0..3000 {
        outbox.push(event(index, RunStatus::NotStarted));
    }
    assert_eq!(outbox.take_pending(ms(40)).len(), 1024);
}
