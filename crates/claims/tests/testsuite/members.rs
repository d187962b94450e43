//! An exhaustive search over changes of the member set.
//!
//! An owner must not get a lease on a request that it sent after a majority had promised the range
//! to a successor.

use std::collections::{HashSet, VecDeque};

use cowslipwing_fold::{ApplyOutcome, Fold, MemberSet};
use cowslipwing_proto::{Member, MemberJoin, MemberLeave, MemberSettled, Record, record::Body};
use cowslipwing_types::EntryId;

const ENTRY_NAMES: [&str; 4] = ["a", "b", "c", "d"];
/// Number of entries that are members at the start; they come first in [`ENTRY_NAMES`].
const INITIAL_MEMBERS: usize = 3;
/// The owner whose range is taken over.
const OWNER: usize = 0;
/// The entry that takes the range over.
const SUCCESSOR: usize = 1;
/// Number of changes of the member set after which the search makes no more.
const MAX_CHANGES: usize = 3;

/// A rule that the search can disable, to show that it is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    /// No rule is disabled.
    Nothing,
    /// A change settles only once a majority of the previous set follows it.
    Settling,
    /// Entries answer only requests from entries that follow the same member set.
    SameVersion,
}

/// The state of the log, the entries and the requests of the owner and its successor.
///
/// The number of changes that an entry has read is the version of the member set that it follows.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Model {
    /// The membership changes on the log: the entry, and whether it joins.
    log: Vec<(usize, bool)>,
    /// Number of changes that have settled.
    settled: usize,
    /// Number of changes that each entry has read.
    changes_read: [usize; ENTRY_NAMES.len()],
    /// Whether each entry has promised the range to the successor.
    promised: [bool; ENTRY_NAMES.len()],
    /// Number of changes on the log before the successor's takeover record, once it is written.
    takeover_at: Option<usize>,
    /// Number of changes that the successor had read when it requested promises, once it has.
    successor_request: Option<usize>,
    /// Whether the successor has counted promises from a majority.
    majority_promised: bool,
    /// The lease request that the owner sent after that: the number of changes that the owner had
    /// read, and the entries that have confirmed it.
    owner_request: Option<(usize, [bool; ENTRY_NAMES.len()])>,
}

impl Model {
    fn new() -> Self {
        Self {
            log: Vec::new(),
            settled: 0,
            changes_read: [0; ENTRY_NAMES.len()],
            promised: [false; ENTRY_NAMES.len()],
            takeover_at: None,
            successor_request: None,
            majority_promised: false,
            owner_request: None,
        }
    }

    /// Returns the member set after a number of changes, as the real fold computes it.
    fn members(&self, changes: usize) -> MemberSet {
        let mut fold = Fold::default();
        for name in &ENTRY_NAMES[..INITIAL_MEMBERS] {
            let version = fold.membership().version().get();
            apply_change(&mut fold, version, name, true);
        }
        for (entry, joins) in &self.log[..changes] {
            let version = fold.membership().version().get();
            apply_change(&mut fold, version, ENTRY_NAMES[*entry], *joins);
        }
        fold.membership().current().clone()
    }

    fn is_majority<F>(&self, changes: usize, counts: F) -> bool
    where
        F: Fn(usize) -> bool,
    {
        self.members(changes).has_majority(|id| counts(index_of(id)))
    }

    /// Returns whether the owner has got a lease on a request sent after the majority's promises.
    fn is_violated(&self) -> bool {
        let Some((version, confirmed)) = self.owner_request else {
            return false;
        };
        self.majority_promised && self.is_majority(version, |entry| confirmed[entry])
    }

    fn next_states(&self, disabled: Rule) -> Vec<Self> {
        let mut next_states = Vec::new();
        self.change_members(&mut next_states);
        self.settle_change(disabled, &mut next_states);
        for entry in 0..ENTRY_NAMES.len() {
            self.read_change(entry, &mut next_states);
            self.promise_range(entry, disabled, &mut next_states);
            self.confirm_lease(entry, disabled, &mut next_states);
        }
        self.take_over(&mut next_states);
        next_states
    }

    fn change_members(&self, next_states: &mut Vec<Self>) {
        if self.log.len() == MAX_CHANGES || self.settled < self.log.len() {
            return;
        }
        let members = self.members(self.log.len());
        for (entry, name) in ENTRY_NAMES.iter().enumerate() {
            let is_member = members.contains(&name.parse().unwrap());
            if is_member && (members.len() == 1 || entry == SUCCESSOR) {
                continue;
            }
            let mut next = self.clone();
            next.log.push((entry, !is_member));
            next_states.push(next);
        }
    }

    /// Settles the last change once a majority of the previous set follows it.
    fn settle_change(&self, disabled: Rule, next_states: &mut Vec<Self>) {
        let changes = self.log.len();
        if self.settled == changes {
            return;
        }
        let is_followed =
            self.is_majority(changes - 1, |entry| self.changes_read[entry] >= changes);
        if is_followed || disabled == Rule::Settling {
            next_states.push(Self { settled: changes, ..self.clone() });
        }
    }

    fn read_change(&self, entry: usize, next_states: &mut Vec<Self>) {
        if self.changes_read[entry] < self.log.len() {
            let mut next = self.clone();
            next.changes_read[entry] += 1;
            next_states.push(next);
        }
    }

    fn promise_range(&self, entry: usize, disabled: Rule, next_states: &mut Vec<Self>) {
        let Some(request_version) = self.successor_request else {
            return;
        };
        let same_version =
            request_version == self.changes_read[entry] || disabled == Rule::SameVersion;
        if !self.promised[entry] && entry != OWNER && same_version {
            let mut next = self.clone();
            next.promised[entry] = true;
            next_states.push(next);
        }
    }

    /// An entry that has not promised the range confirms the owner's request.
    fn confirm_lease(&self, entry: usize, disabled: Rule, next_states: &mut Vec<Self>) {
        let Some((version, confirmed)) = self.owner_request else {
            return;
        };
        let same_version = version == self.changes_read[entry] || disabled == Rule::SameVersion;
        if !confirmed[entry] && !self.promised[entry] && same_version {
            let mut next = self.clone();
            let mut confirmed = confirmed;
            confirmed[entry] = true;
            next.owner_request = Some((version, confirmed));
            next_states.push(next);
        }
    }

    /// The successor writes its takeover record, reads the log up to it, requests promises and counts
    /// them. An owner that has read the log past that record sends no more requests.
    fn take_over(&self, next_states: &mut Vec<Self>) {
        let Some(takeover_at) = self.takeover_at else {
            next_states.push(Self { takeover_at: Some(self.log.len()), ..self.clone() });
            return;
        };
        let version = self.changes_read[SUCCESSOR];
        let has_read_back = version >= takeover_at;
        if has_read_back && self.successor_request != Some(version) && !self.majority_promised {
            next_states.push(Self { successor_request: Some(version), ..self.clone() });
        }
        if !self.majority_promised && self.is_majority(version, |entry| self.promised[entry]) {
            next_states.push(Self { majority_promised: true, ..self.clone() });
        }
        let request_version = self.changes_read[OWNER];
        let has_read_record = request_version > takeover_at;
        if self.majority_promised
            && !has_read_record
            && self.owner_request.is_none_or(|(known, _)| known != request_version)
        {
            let owner_request = Some((request_version, [false; ENTRY_NAMES.len()]));
            next_states.push(Self { owner_request, ..self.clone() });
        }
    }
}

fn index_of(id: &EntryId) -> usize {
    ENTRY_NAMES.iter().position(|name| *name == id.as_str()).unwrap()
}

/// Applies and settles a change, which must be accepted.
fn apply_change(fold: &mut Fold, base_version: u64, name: &str, joins: bool) {
    let entry = name.to_owned();
    let body = match joins {
        true => {
            let member = Some(Member { entry, ..Member::default() });
            Body::Join(MemberJoin { base_version, member })
        }
        false => Body::Leave(MemberLeave { base_version, entry, drained: false }),
    };
    assert_eq!(apply(fold, body), ApplyOutcome::Applied);
    apply(fold, Body::Settled(MemberSettled { version: base_version + 1 }));
}

fn apply(fold: &mut Fold, body: Body) -> ApplyOutcome {
    let record = Record { append_id: "r".to_owned(), body: Some(body) };
    fold.apply(fold.next_offset(), &record)
}

/// Returns the number of states visited, and whether one of them violates the requirement.
fn search(disabled: Rule) -> (usize, bool) {
    const MAX_STATES: usize = 1_500_000;
    let mut seen = HashSet::from([Model::new()]);
    let mut queue = VecDeque::from([Model::new()]);
    while let Some(model) = queue.pop_front() {
        for next in model.next_states(disabled) {
            if next.is_violated() {
                return (seen.len(), true);
            }
            if seen.len() < MAX_STATES && seen.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    assert!(seen.len() < MAX_STATES, "the search exceeded {MAX_STATES} states");
    (seen.len(), false)
}

#[test]
fn no_lease_is_confirmed_after_a_majority_has_promised() {
    let (states, is_violated) = search(Rule::Nothing);
    println!("changes of the member set: {states} states");
    assert!(!is_violated);
}

#[test]
fn each_rule_of_the_member_set_is_needed() {
    for disabled in [Rule::Settling, Rule::SameVersion] {
        let (states, is_violated) = search(disabled);
        println!("without {disabled:?}: {states} states");
        assert!(is_violated, "{disabled:?}");
    }
}
