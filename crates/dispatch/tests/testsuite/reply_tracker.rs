//! Tests of the handling of lost answers.

use std::time::Duration;

use cowslipwing_dispatch::{EndpointActivity, ReplyTracker};

use crate::support::ms;

const START: Duration = Duration::from_secs(10);

/// A third of all calls to an endpoint gets no answer for several seconds.
#[test]
fn connections_are_kept_while_some_calls_are_answered() {
    let mut tracker = ReplyTracker::default();
    for call in 0..300u64 {
        let answered = call % 6 < 4;
        let should_close = tracker.record_call(START + ms(call * 10), answered);
        assert!(!should_close, "call {call}");
    }
}

#[test]
fn connections_are_closed_if_no_call_is_answered() {
    struct Case {
        name: &'static str,
        /// Times of calls without an answer, in milliseconds after one that was answered.
        lost_ms: &'static [u64],
        should_close: bool,
    }
    let cases = [
        Case { name: "one lost answer", lost_ms: &[200], should_close: false },
        Case { name: "two at the same time", lost_ms: &[20, 20], should_close: false },
        Case { name: "two, the second after 90 ms", lost_ms: &[20, 90], should_close: true },
        Case { name: "several", lost_ms: &[20, 30, 60, 100], should_close: true },
        Case { name: "a long silence", lost_ms: &[80, 160, 240, 320, 400], should_close: true },
    ];
    for case in cases {
        let mut tracker = ReplyTracker::default();
        tracker.record_call(START, true);
        let closings =
            case.lost_ms.iter().filter(|at| tracker.record_call(START + ms(**at), false));
        assert_eq!(closings.count(), usize::from(case.should_close), "{}", case.name);
    }
}

/// A lost listing delays the detection of ended runs until the next listing, which must follow
/// soon.
#[test]
fn listings_wait_less_while_answers_are_lost() {
    let mut tracker = ReplyTracker::default();
    tracker.record_call(START, true);
    let normal_wait = tracker.listing_wait(START, EndpointActivity::Busy);
    tracker.record_call(START + ms(100), false);
    let lossy_wait = tracker.listing_wait(START + ms(101), EndpointActivity::Busy);
    assert!(lossy_wait * 2 < normal_wait, "{lossy_wait:?} of {normal_wait:?}");
    tracker.record_call(START + ms(110), true);
    assert_eq!(tracker.listing_wait(START + ms(120), EndpointActivity::Busy), lossy_wait);
    assert_eq!(tracker.listing_wait(START + ms(700), EndpointActivity::Busy), normal_wait);
    assert!(tracker.listing_wait(START + ms(120), EndpointActivity::Idle) > normal_wait);
}

/// An agent whose endpoint refused every connection listed again every 5 ms.
#[test]
fn listings_that_fail_are_sent_less_and_less_often() {
    let mut tracker = ReplyTracker::default();
    let delays: Vec<Duration> = (0..6).map(|_| tracker.record_listing(false)).collect();
    assert_eq!(delays, [5, 10, 20, 40, 40, 40].map(ms));
    assert_eq!(tracker.record_listing(true), Duration::ZERO);
    assert_eq!(tracker.record_listing(false), ms(5));
}

/// The first listing of an agent that has started waited 300 ms, in which its endpoint took no task.
/// After a loss of all power, every agent of the deployment did so.
#[test]
fn the_first_listing_does_not_wait() {
    let tracker = ReplyTracker::default();
    assert_eq!(tracker.listing_wait(START, EndpointActivity::Unknown), Duration::ZERO);
}
