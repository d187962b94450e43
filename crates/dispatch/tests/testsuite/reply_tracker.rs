//! How calls go on while answers are lost.

use std::time::Duration;

use cowslipwing_dispatch::ReplyTracker;

use crate::support::ms;

const START: Duration = Duration::from_secs(10);

/// Load pattern: a third of all calls to an endpoint gets no answer, for seconds.
#[test]
fn connections_are_kept_while_some_calls_are_answered() {
    let mut answers = ReplyTracker::default();
    for call in 0..300u64 {
        let answered = call % 6 < 4;
        let closes = answers.record_call(START + ms(call * 10), answered);
        assert!(!closes, "call {call}");
    }
}

#[test]
fn connections_are_closed_once_nothing_is_answered() {
    struct Case {
        name: &'static str,
        /// Times of calls without an answer, after one that was answered.
        lost: &'static [u64],
        closes: bool,
    }
    let cases = [
        Case { name: "one lost answer", lost: &[200], closes: false },
        Case { name: "two at once", lost: &[20, 20], closes: false },
        Case { name: "two over a while", lost: &[20, 90], closes: true },
        Case { name: "several", lost: &[20, 30, 60, 100], closes: true },
        Case { name: "a long silence", lost: &[80, 160, 240, 320, 400], closes: true },
    ];
    for case in cases {
        let mut answers = ReplyTracker::default();
        answers.record_call(START, true);
        let closed = case.lost.iter().filter(|at| answers.record_call(START + ms(**at), false));
        assert_eq!(closed.count(), usize::from(case.closes), "{}", case.name);
    }
}

/// A listing whose answer is lost hides the ends until the next one, so that it must not wait long.
#[test]
fn listings_wait_less_while_answers_are_lost() {
    let mut answers = ReplyTracker::default();
    answers.record_call(START, true);
    let calm = answers.listing_wait(START, false);
    answers.record_call(START + ms(100), false);
    let lossy = answers.listing_wait(START + ms(101), false);
    assert!(lossy * 2 < calm, "{lossy:?} of {calm:?}");
    answers.record_call(START + ms(110), true);
    assert_eq!(answers.listing_wait(START + ms(120), false), lossy);
    assert_eq!(answers.listing_wait(START + ms(700), false), calm);
    assert!(answers.listing_wait(START + ms(120), true) > calm);
}
