//! Tests of the decisions on connections under peaks and failures of an endpoint.

use std::time::Duration;

use cowslipwing_dispatch::{ConnectionBudget, ConnectionDecision, ConnectionLoad};

use crate::support::ms;

const START: Duration = Duration::from_secs(10);
/// Time after which the return of an endpoint must have been noticed.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(50);

#[test]
fn calls_wait_only_for_connections_that_return_soon() {
    struct Case {
        name: &'static str,
        load: ConnectionLoad,
        waited_us: u64,
        decision: ConnectionDecision,
    }
    let load = |usable, parked, prompt_calls, waiting| ConnectionLoad {
        usable,
        parked,
        prompt_calls,
        waiting,
    };
    let share = ConnectionDecision::Wait(START + Duration::from_micros(500));
    let give_up = ConnectionDecision::Wait(START + ms(8));
    let (open, replace) = (ConnectionDecision::Open, ConnectionDecision::Replace);
    let cases = [
        Case { name: "first call", load: load(0, 0, 0, 0), waited_us: 0, decision: open },
        Case { name: "one just sent", load: load(1, 0, 1, 0), waited_us: 0, decision: share },
        Case { name: "two wait already", load: load(1, 0, 1, 2), waited_us: 0, decision: open },
        Case { name: "only hung calls", load: load(9, 0, 0, 0), waited_us: 0, decision: open },
        Case { name: "waited in vain", load: load(1, 0, 1, 0), waited_us: 600, decision: open },
        Case { name: "many parked", load: load(4, 60, 0, 0), waited_us: 0, decision: replace },
        Case { name: "all in use", load: load(64, 0, 0, 0), waited_us: 0, decision: give_up },
        Case {
            name: "all in use for long",
            load: load(64, 0, 0, 0),
            waited_us: 8000,
            decision: ConnectionDecision::Fail,
        },
    ];
    for case in cases {
        let now = START + Duration::from_micros(case.waited_us);
        let found = ConnectionBudget::default().decide(now, START, case.load);
        assert_eq!(found, case.decision, "{}", case.name);
    }
}

#[test]
fn a_wait_lasts_longer_by_a_pause_of_the_process() {
    struct Case {
        name: &'static str,
        ended_at: Duration,
        waiting_since: Duration,
    }
    let until = START + ms(8);
    let cases = [
        Case { name: "returned early", ended_at: START + ms(3), waiting_since: START },
        Case { name: "timer on time", ended_at: until, waiting_since: START },
        Case { name: "timer resolution", ended_at: until + ms(1), waiting_since: START },
        Case { name: "short pause", ended_at: until + ms(2), waiting_since: START + ms(2) },
        Case { name: "long pause", ended_at: until + ms(900), waiting_since: START + ms(900) },
    ];
    for case in cases {
        let found = ConnectionBudget::skip_pause(START, until, case.ended_at);
        assert_eq!(found, case.waiting_since, "{}", case.name);
    }
    let load = ConnectionLoad { usable: 64, ..ConnectionLoad::default() };
    let resumed_at = until + ms(900);
    let waiting_since = ConnectionBudget::skip_pause(START, until - ms(1), resumed_at);
    let decision = ConnectionBudget::default().decide(resumed_at, waiting_since, load);
    assert_eq!(decision, ConnectionDecision::Wait(resumed_at + ms(1)));
}

/// An endpoint that answers nothing for three seconds got a connection for every call.
#[test]
fn connections_to_a_silent_endpoint_are_opened_less_and_less_often() {
    let mut budget = ConnectionBudget::default();
    let mut opened_at = Vec::new();
    for tick in 0..3000 {
        let now = START + ms(tick);
        let load = ConnectionLoad { parked: opened_at.len(), ..ConnectionLoad::default() };
        let is_open =
            |decision| matches!(decision, ConnectionDecision::Open | ConnectionDecision::Replace);
        if is_open(budget.decide(now, now, load)) {
            budget.record_open(now);
            opened_at.push(now);
        }
    }
    assert!(opened_at.len() <= 90, "{}", opened_at.len());
    let gaps = opened_at.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.max().is_some_and(|longest| longest <= MAX_NOTICE_DELAY));
    budget.record_answer();
    let now = START + ms(3000);
    let load = ConnectionLoad::default();
    assert_eq!(budget.decide(now, now, load), ConnectionDecision::Open);
}

/// While a share of the answers is lost, each lost connection must be replaced at once.
#[test]
fn connections_are_not_delayed_while_some_calls_are_answered() {
    let mut budget = ConnectionBudget::default();
    for call in 0..300 {
        let now = START + ms(call);
        let load = ConnectionLoad::default();
        assert_eq!(budget.decide(now, now, load), ConnectionDecision::Open, "call {call}");
        budget.record_open(now);
        if call % 6 < 4 {
            budget.record_answer();
        }
    }
}
