//! Numbers out of range in records and snapshots.

use cowslipwing_fold::{ApplyOutcome, Fold};
use cowslipwing_proto::{
    Contract, ContractInForce, FoldState, Member, MemberJoin, RangeEpoch, RangeOwner,
    RangeTakeover, Record, record::Body,
};
use cowslipwing_types::{Epoch, Offset, RANGES, RangeId};

fn owner(range: u32, epoch: u64) -> RangeOwner {
    RangeOwner { range, epoch, owner: "a".into() }
}

/// A snapshot after five records, with one contract and one range.
fn snapshot() -> FoldState {
    let contract = Contract {
        share: 1,
        concurrency: 10,
        deadline: "5s".into(),
        refusals: "5%".into(),
        open_jobs: 10,
    };
    let in_force = ContractInForce {
        customer: "shop".into(),
        version: 5,
        contract: Some(contract),
        append_id: "a1".into(),
    };
    FoldState {
        next_offset: 5,
        contracts: vec![in_force],
        member_version: 5,
        ranges: vec![owner(7, 5)],
        ..FoldState::default()
    }
}

#[test]
fn a_snapshot_has_no_more_changes_than_records() {
    struct Case {
        name: &'static str,
        odd: FoldState,
        is_valid: bool,
    }
    let usual = snapshot();
    let in_force = |version| ContractInForce { version, ..usual.contracts[0].clone() };
    let with_contract = |version| FoldState { contracts: vec![in_force(version)], ..usual.clone() };
    let with_range = |epoch| FoldState { ranges: vec![owner(7, epoch)], ..usual.clone() };
    let with_members = |member_version| FoldState { member_version, ..usual.clone() };
    let cases = [
        Case { name: "usual", odd: usual.clone(), is_valid: true },
        Case { name: "contract", odd: with_contract(6), is_valid: false },
        Case { name: "contract, largest", odd: with_contract(u64::MAX), is_valid: false },
        Case { name: "range", odd: with_range(6), is_valid: false },
        Case { name: "range, largest", odd: with_range(u64::MAX), is_valid: false },
        Case { name: "members", odd: with_members(6), is_valid: false },
        Case { name: "members, largest", odd: with_members(u64::MAX), is_valid: false },
    ];
    for case in cases {
        assert_eq!(Fold::try_from(&case.odd).is_ok(), case.is_valid, "{}", case.name);
    }
}

#[test]
fn a_range_that_does_not_exist_is_left_out_of_a_snapshot() {
    for range in [RANGES, u32::MAX] {
        let mut odd = snapshot();
        odd.ranges.push(owner(range, u64::MAX));
        assert_eq!(Fold::try_from(&odd), Fold::try_from(&snapshot()), "{range}");
    }
}

#[test]
fn a_takeover_wins_each_range_at_most_once() {
    let record = |body| Record { append_id: "a1".into(), body: Some(body) };
    let member = Member { entry: "a".into(), ..Member::default() };
    let join = MemberJoin { base_version: 0, member: Some(member) };
    let claim = |range, epoch| RangeEpoch { range, epoch };
    let ranges = vec![claim(7, 1), claim(7, 2), claim(RANGES, 1), claim(u32::MAX, u64::MAX)];
    let takeover = RangeTakeover { owner: "a".into(), ranges };
    let mut fold = Fold::default();
    fold.apply(Offset::new(0), &record(Body::Join(join)));
    let outcome = fold.apply(Offset::new(1), &record(Body::Takeover(takeover)));
    let range = RangeId::new(7);
    assert_eq!(outcome, ApplyOutcome::Takeover { won: vec![range] });
    assert_eq!(fold.range_owners().epoch(range), Epoch::new(1));
    assert_eq!(fold.range_owners().iter().count(), 1);
}
