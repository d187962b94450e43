//! The entries that agents attach to, in deployments with many entries.

use std::net::SocketAddr;

use cowslipwing_dispatch::{KnownEntry, MAX_ENTRIES_PER_AGENT, select_entries};

fn entries(count: u8) -> Vec<KnownEntry> {
    let address = |n| SocketAddr::from(([10, n % 6, 0, n], 7720));
    (0..count).map(|n| KnownEntry { address: address(n), unreachable: false }).collect()
}

fn agents(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("side-{n}")).collect()
}

/// Returns the number of agents that select each entry.
fn agents_per_entry(agents: &[String], entries: &[KnownEntry]) -> Vec<usize> {
    let selections: Vec<_> =
        agents.iter().map(|agent| select_entries(agent, entries, MAX_ENTRIES_PER_AGENT)).collect();
    let selects = |entry: &KnownEntry| {
        selections.iter().filter(|selected| selected.contains(&entry.address)).count()
    };
    entries.iter().map(selects).collect()
}

/// The streams of an entry must not grow with the number of agents × entries, and no entry may be
/// left with few endpoints.
#[test]
fn entries_get_similar_numbers_of_agents() {
    struct Case {
        agents: usize,
        entries: u8,
        min: usize,
        max: usize,
    }
    // Bounds are half and twice the mean, and all agents where there are few entries.
    let cases = [
        Case { agents: 11, entries: 4, min: 11, max: 11 },
        Case { agents: 62, entries: 8, min: 62, max: 62 },
        Case { agents: 240, entries: 55, min: 17, max: 70 },
        Case { agents: 1000, entries: 200, min: 20, max: 80 },
    ];
    for case in cases {
        let counts = agents_per_entry(&agents(case.agents), &entries(case.entries));
        let (min, max) = (counts.iter().min().copied(), counts.iter().max().copied());
        assert!(min >= Some(case.min), "{} agents: {min:?}", case.agents);
        assert!(max <= Some(case.max), "{} agents: {max:?}", case.agents);
    }
}

/// The loss of entries must not make agents replace streams to others.
#[test]
fn an_unreachable_entry_is_replaced_by_one_other() {
    let all = entries(55);
    let mut degraded = all.clone();
    degraded[7].unreachable = true;
    for agent in agents(240) {
        let before = select_entries(&agent, &all, MAX_ENTRIES_PER_AGENT);
        let after = select_entries(&agent, &degraded, MAX_ENTRIES_PER_AGENT);
        assert!(before.iter().all(|address| after.contains(address)), "{agent}");
        let used_lost = before.contains(&all[7].address);
        assert_eq!(after.len(), before.len() + usize::from(used_lost), "{agent}");
    }
}

/// With most entries lost, each agent attaches to all that are left, and no agent is without entry.
#[test]
fn agents_attach_to_the_entries_that_are_left() {
    let mut known = entries(55);
    known[5..].iter_mut().for_each(|entry| entry.unreachable = true);
    for agent in agents(240) {
        let selected = select_entries(&agent, &known, MAX_ENTRIES_PER_AGENT);
        assert!(known[..5].iter().all(|entry| selected.contains(&entry.address)), "{agent}");
    }
}
