//! A breadth-first search over every order of events in the model.

use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::model::{Bounds, Event, Fixture, Model, Rule};

/// The result of a search.
struct SearchResult {
    /// Number of distinct states visited.
    states: usize,
    /// Whether every state within the bounds was visited.
    is_exhaustive: bool,
    /// The events that start the task twice, if the search found such a sequence.
    trace: Option<Vec<Event>>,
}

fn state_hash(model: &Model) -> u64 {
    let mut hasher = DefaultHasher::new();
    model.hash(&mut hasher);
    hasher.finish()
}

fn search(bounds: Bounds, max_states: usize) -> SearchResult {
    let fixture = Fixture::new(bounds);
    let first = Model::new(&fixture);
    let root = state_hash(&first);
    let mut predecessors: HashMap<u64, Option<(u64, Event)>> = HashMap::from([(root, None)]);
    let mut queue = VecDeque::from([(root, first)]);
    while let Some((id, model)) = queue.pop_front() {
        for event in model.possible_events(&fixture) {
            let Some(next) = model.next_state(&fixture, event) else {
                continue;
            };
            let next_id = state_hash(&next);
            if predecessors.contains_key(&next_id) {
                continue;
            }
            predecessors.insert(next_id, Some((id, event)));
            if next.started_twice() {
                let trace = Some(trace_to(&predecessors, next_id));
                return SearchResult { states: predecessors.len(), is_exhaustive: false, trace };
            }
            if predecessors.len() >= max_states {
                return SearchResult {
                    states: predecessors.len(),
                    is_exhaustive: false,
                    trace: None,
                };
            }
            queue.push_back((next_id, next));
        }
    }
    SearchResult { states: predecessors.len(), is_exhaustive: true, trace: None }
}

/// Returns the events that lead from the initial state to the state with the given hash.
fn trace_to(predecessors: &HashMap<u64, Option<(u64, Event)>>, mut id: u64) -> Vec<Event> {
    let mut events = Vec::new();
    while let Some(Some((previous, event))) = predecessors.get(&id) {
        events.push(*event);
        id = *previous;
    }
    events.reverse();
    events
}

/// Number of states at which a search gives up, and is therefore not exhaustive.
const MAX_STATES: usize = 4_000_000;

/// An agent restarts once.
const AGENT_RESTARTS: Bounds = Bounds {
    last_second: 2,
    takeovers: 1,
    agent_restarts: 1,
    entry_restarts: 0,
    lease_requests: 1,
    take_backs: false,
    disabled: Rule::Nothing,
};
/// Messages are delayed, lost or repeated; no agent or entry restarts.
const NOTHING_RESTARTS: Bounds =
    Bounds { last_second: 3, agent_restarts: 0, lease_requests: 2, ..AGENT_RESTARTS };
/// An entry that does not own the range, and may have promised it to the new owner, restarts once.
const ENTRY_RESTARTS: Bounds =
    Bounds { last_second: 3, agent_restarts: 0, entry_restarts: 1, ..AGENT_RESTARTS };
/// Tasks are taken back and may be sent to another agent.
const TAKE_BACKS: Bounds = Bounds { agent_restarts: 0, take_backs: true, ..AGENT_RESTARTS };
/// The second owner is replaced, too.
const TWO_TAKEOVERS: Bounds = Bounds { takeovers: 2, agent_restarts: 0, ..AGENT_RESTARTS };

struct ExhaustiveCase {
    name: &'static str,
    bounds: Bounds,
}

#[test]
fn no_task_starts_twice_in_any_order_of_events() {
    let cases = [
        ExhaustiveCase { name: "nothing restarts", bounds: NOTHING_RESTARTS },
        ExhaustiveCase { name: "an agent restarts", bounds: AGENT_RESTARTS },
        ExhaustiveCase { name: "an entry restarts", bounds: ENTRY_RESTARTS },
        ExhaustiveCase { name: "tasks are taken back", bounds: TAKE_BACKS },
        ExhaustiveCase { name: "two takeovers in a row", bounds: TWO_TAKEOVERS },
    ];
    for case in cases {
        let result = search(case.bounds, MAX_STATES);
        println!("{}: {} states", case.name, result.states);
        assert_eq!(result.trace, None, "{}", case.name);
        assert!(result.is_exhaustive, "{}: {} states", case.name, result.states);
    }
}

struct DisabledRuleCase {
    disabled: Rule,
    bounds: Bounds,
}

#[test]
fn each_rule_is_needed() {
    let cases = [
        DisabledRuleCase { disabled: Rule::Lease, bounds: NOTHING_RESTARTS },
        DisabledRuleCase { disabled: Rule::LeaseFromRequest, bounds: NOTHING_RESTARTS },
        DisabledRuleCase { disabled: Rule::Fence, bounds: NOTHING_RESTARTS },
        DisabledRuleCase { disabled: Rule::LeaseInBarrier, bounds: NOTHING_RESTARTS },
        DisabledRuleCase { disabled: Rule::KeyAge, bounds: NOTHING_RESTARTS },
        DisabledRuleCase { disabled: Rule::AgentHistory, bounds: AGENT_RESTARTS },
        DisabledRuleCase { disabled: Rule::KnownByMajority, bounds: AGENT_RESTARTS },
        DisabledRuleCase { disabled: Rule::IncarnationCheck, bounds: AGENT_RESTARTS },
        DisabledRuleCase { disabled: Rule::AbstainAfterRestart, bounds: ENTRY_RESTARTS },
    ];
    for case in cases {
        let result = search(Bounds { disabled: case.disabled, ..case.bounds }, MAX_STATES);
        let trace = result.trace.unwrap_or_default();
        println!("without {:?}: {} states, {trace:?}", case.disabled, result.states);
        assert!(!trace.is_empty(), "{:?}", case.disabled);
    }
}
