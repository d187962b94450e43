//! Copies of requests that arrive after their job has ended.

use std::time::Duration;

use cowslipwing_dispatch::{Answer, EndedJobs, GiveUpReason, RefusalReason, RequestId};

use crate::support::ms;

/// Guards against a cancelled job that runs again, since a copy of its request arrives seconds after
/// the answer.
#[test]
fn a_copy_of_a_request_gets_the_answer_of_its_job() {
    let retry_after = ms(500);
    let refused = Answer::Refused { reason: RefusalReason::Load, retry_after };
    let given_up = Answer::GaveUp { reason: GiveUpReason::Deadline, retry_after };
    struct Case {
        answer: Answer,
        is_remembered: bool,
    }
    let cases = [
        Case { answer: Answer::Cancelled, is_remembered: true },
        Case { answer: Answer::Completed, is_remembered: true },
        Case { answer: Answer::Failed, is_remembered: true },
        // The callers of these send the job again on purpose.
        Case { answer: refused, is_remembered: false },
        Case { answer: given_up, is_remembered: false },
    ];
    let id: RequestId = "3e9d20b7a64c81f5".parse().unwrap();
    for Case { answer, is_remembered } in cases {
        let mut ended = EndedJobs::default();
        ended.insert(ms(100), &id, answer);
        assert_eq!(ended.get(&id), is_remembered.then_some(answer));
    }
}

/// The load of a busy entry: 800 jobs a second for two minutes. Answers are found for 30 s, and the
/// memory stays bounded.
#[test]
fn answers_are_remembered_for_half_a_minute() {
    let id = |number: u64| format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15)).parse();
    let mut ended = EndedJobs::default();
    let at = |number: u64| Duration::from_micros(number * 1250);
    let last = 120 * 800;
    for number in 0..=last {
        ended.insert(at(number), &id(number).unwrap(), Answer::Completed);
    }
    let is_known = |seconds: u64| ended.get(&id(last - seconds * 800).unwrap()).is_some();
    assert!((0..=30).all(is_known));
    assert!(!(36..=120).any(is_known));
}
