//! Tests of the evacuation of data centres: how states are merged, and what agents and entries do.

mod agent;
mod entry;
mod spread;

use cowslipwing_dispatch::{
    EvacuationNotice, EvacuationNotices, EvacuationState, EvacuationVersion, Evacuations,
    FullEvacuationRead,
};
use cowslipwing_types::Site;

pub fn site(name: &str) -> Site {
    name.parse().unwrap()
}

pub fn state(name: &str, version: u64, active: bool) -> EvacuationState {
    EvacuationState { site: site(name), version: EvacuationVersion(version), active }
}

/// Guards against an old record that ends or starts an evacuation because it arrives late.
#[test]
fn the_highest_version_wins_in_any_order() {
    struct Case {
        name: &'static str,
        states: Vec<EvacuationState>,
        active: &'static [&'static str],
    }
    let cases = [
        Case { name: "evacuated", states: vec![state("a", 0, true)], active: &["a"] },
        Case {
            name: "withdrawn",
            states: vec![state("a", 3, true), state("a", 8, false)],
            active: &[],
        },
        Case {
            name: "withdrawn and made again",
            states: vec![state("a", 3, true), state("a", 8, false), state("a", 9, true)],
            active: &["a"],
        },
        Case {
            name: "several data centres",
            states: vec![state("a", 3, true), state("b", 4, true), state("c", 5, false)],
            active: &["a", "b"],
        },
        Case {
            name: "two states of one version",
            states: vec![state("a", 3, true), state("a", 3, false)],
            active: &["a"],
        },
    ];
    for case in cases {
        let expected: Vec<Site> = case.active.iter().map(|name| site(name)).collect();
        for rotation in 0..case.states.len() {
            let mut states = case.states.clone();
            states.rotate_left(rotation);
            let mut evacuations = Evacuations::default();
            for state in &states {
                evacuations.merge([state.clone()]);
            }
            assert_eq!(evacuations.active_sites(), expected, "{} {states:?}", case.name);
            assert!(evacuations.merge(states).is_empty(), "{}: repeated", case.name);
        }
    }
}

/// Guards against evacuations that never end because the record of the withdrawal was deleted.
#[test]
fn a_full_read_removes_the_keys_that_it_lacks() {
    struct Case {
        name: &'static str,
        before: Vec<EvacuationState>,
        read: FullEvacuationRead,
        after: Vec<EvacuationState>,
        active: bool,
    }
    let read = |states, unreadable: &[&str], end| FullEvacuationRead {
        states,
        unreadable: unreadable.iter().map(|name| site(name)).collect(),
        end,
    };
    let known = || vec![state("a", 5, true)];
    let cases = [
        Case {
            name: "present",
            before: known(),
            read: read(known(), &[], 9),
            after: vec![],
            active: true,
        },
        Case {
            name: "missing",
            before: known(),
            read: read(vec![], &[], 9),
            after: vec![],
            active: false,
        },
        Case {
            name: "unreadable",
            before: known(),
            read: read(vec![], &["a"], 9),
            after: vec![],
            active: true,
        },
        Case {
            name: "read before it was made",
            before: known(),
            read: read(vec![], &[], 5),
            after: vec![],
            active: true,
        },
        Case {
            name: "made with the next record",
            before: known(),
            read: read(vec![], &[], 9),
            after: vec![state("a", 9, true)],
            active: true,
        },
        Case {
            name: "reported by a process that missed the removal",
            before: vec![],
            read: read(vec![], &[], 9),
            after: known(),
            active: false,
        },
        Case {
            name: "reported by another process, unreadable here",
            before: vec![],
            read: read(vec![], &["a"], 9),
            after: known(),
            active: true,
        },
        Case {
            name: "empty topic",
            before: vec![],
            read: read(vec![], &[], 0),
            after: known(),
            active: true,
        },
    ];
    for case in cases {
        let mut evacuations = Evacuations::default();
        evacuations.merge(case.before);
        evacuations.merge_full_read(case.read);
        evacuations.merge(case.after);
        assert_eq!(evacuations.is_active("a"), case.active, "{}", case.name);
    }
}

/// Guards against frames that grow with each name that operators have ever used.
#[test]
fn withdrawn_states_are_dropped_before_active_ones() {
    let mut evacuations = Evacuations::default();
    evacuations.merge([state("a", 0, true)]);
    evacuations.merge((1..2000).map(|number| state(&format!("x{number}"), number, false)));
    assert_eq!(evacuations.states().len(), 256);
    assert!(evacuations.is_active("a"));
}

/// Guards against mistakes that go unnoticed, and against logs that repeat them.
#[test]
fn doubtful_evacuations_are_reported_once() {
    let (known, mut notices) = ([site("a"), site("b")], EvacuationNotices::default());
    let mut evacuations = Evacuations::default();
    evacuations.merge([state("a", 1, true), state("nowhere", 2, true)]);
    let unknown = EvacuationNotice::UnknownSite(site("nowhere"));
    assert_eq!(notices.check(&evacuations, &[]), []);
    assert_eq!(notices.check(&evacuations, &known), [unknown]);
    evacuations.merge([state("b", 3, true)]);
    assert_eq!(notices.check(&evacuations, &known), [EvacuationNotice::AllSites(known.to_vec())]);
    assert_eq!(notices.check(&evacuations, &known), []);
}
