//! Tests that credits are divided by demand within the agent's capacity, and that unused ones
//! expire.

use std::time::{Duration, Instant};

use cowslipwing_policy::CreditIssuer;
use cowslipwing_types::EntryId;

const CAPACITY: u32 = 6;
/// Longer than the lifetime of a credit.
const PAST_CREDIT_LIFETIME: Duration = Duration::from_secs(3);

struct Case {
    name: &'static str,
    demands: [u32; 3],
    issued: [u32; 3],
}

#[test]
fn free_credits_are_divided_by_demand() {
    let cases = [
        Case { name: "one entry", demands: [9, 0, 0], issued: [6, 0, 0] },
        Case { name: "equal demands", demands: [9, 9, 9], issued: [2, 2, 2] },
        Case { name: "a demand below an equal part", demands: [1, 9, 0], issued: [1, 5, 0] },
        Case { name: "total demand below the capacity", demands: [1, 1, 1], issued: [1, 1, 1] },
        Case { name: "no demand", demands: [0, 0, 0], issued: [0, 0, 0] },
    ];
    let ids: Vec<EntryId> = ["a", "b", "c"].map(|id| id.parse().unwrap()).to_vec();
    let now = Instant::now();
    for case in cases {
        let mut issuer = CreditIssuer::new(CAPACITY);
        for (id, demand) in ids.iter().zip(case.demands) {
            issuer.set_demand(now, id, demand);
        }
        let issued = issuer.issue(now);
        let count = |id: &EntryId| issued.iter().find(|(to, _)| to == id).map_or(0, |(_, n)| *n);
        let issued: Vec<u32> = ids.iter().map(count).collect();
        assert_eq!(issued, case.issued, "{}", case.name);
    }
}

#[test]
fn unused_credits_expire() {
    let (now, entry) = (Instant::now(), "a".parse().unwrap());
    let mut issuer = CreditIssuer::new(2);
    issuer.set_demand(now, &entry, 2);
    assert_eq!(issuer.issue(now).len(), 1);
    let later = now + PAST_CREDIT_LIFETIME;
    issuer.set_demand(later, &entry, 2);
    assert_eq!(issuer.issue(later), vec![(entry, 2)]);
}
