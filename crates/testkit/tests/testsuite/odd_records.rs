//! Records on the store that no entry has written, or that are damaged.

use std::time::Duration;

use cowslipwing_proto::{
    BatchWithdrawal, Contract, ContractChange, ContractInForce, EndpointChange, FoldState, Member,
    MemberJoin, MemberLeave, MemberSettled, Message, RangeEpoch, RangeOwner, RangeTakeover, Record,
    record::Body,
};
use cowslipwing_testkit::{Caller, Cluster, Reply};
use tokio::time::{sleep, timeout};

use crate::session::{Session, job};

const LOG: &str = "decisions";
const SNAPSHOTS: &str = "keyed.snapshots";
const SNAPSHOT_KEY: &str = "state";
const READY_LIMIT: Duration = Duration::from_secs(40);

fn record(body: Body) -> Vec<u8> {
    Record { append_id: "odd-1".into(), body: Some(body) }.encode_to_vec()
}

fn contract(deadline: &str) -> Contract {
    Contract {
        share: u32::MAX,
        concurrency: u32::MAX,
        deadline: deadline.into(),
        refusals: "5%".into(),
        open_jobs: u32::MAX,
    }
}

/// Records that must have no effect.
fn odd_records() -> Vec<Vec<u8>> {
    let member = |address: &str| Member {
        entry: "odd".into(),
        http: address.into(),
        rpc: address.into(),
        ..Member::default()
    };
    let change = |deadline: &str| ContractChange {
        customer: "odd".into(),
        base_version: u64::MAX,
        contract: Some(contract(deadline)),
    };
    let claim = RangeEpoch { range: u32::MAX, epoch: u64::MAX };
    let join = |address| MemberJoin { base_version: u64::MAX, member: Some(member(address)) };
    vec![
        Vec::new(),
        vec![0xff; 64],
        // Groups nested more deeply than a message may be.
        vec![0x0b; 100_000],
        record(Body::Contract(change("99999999999999999999y"))),
        record(Body::Contract(change("5s"))),
        record(Body::Endpoint(EndpointChange { endpoint: "\0".into(), withdrawn: true })),
        record(Body::Batch(BatchWithdrawal { customer: "odd".into(), batch: "x".repeat(70_000) })),
        record(Body::Join(join("127.0.0.1:99999"))),
        record(Body::Join(MemberJoin { base_version: 0, member: None })),
        record(Body::Leave(MemberLeave { base_version: u64::MAX, ..MemberLeave::default() })),
        record(Body::Settled(MemberSettled { version: u64::MAX })),
        record(Body::Takeover(RangeTakeover { owner: "odd".into(), ranges: vec![claim] })),
    ]
}

/// Submits jobs of a customer to an entry until it serves one. An entry that has loaded a snapshot
/// starts no task for as long as tasks of former entries may run.
async fn assert_served(cluster: &Cluster, entry: &str, customer: &str) {
    let (address, caller) = (cluster.entry_address(entry).unwrap(), Caller::new());
    let served = async {
        for attempt in 0.. {
            let key = format!("after-odd-records-{attempt}");
            let reply = caller.submit(address, &key, &job(customer, 3, "x")).await;
            let answer = reply.as_ref().and_then(Reply::job_answer);
            if answer.is_some_and(|answer| answer.reason.is_empty()) {
                return;
            }
        }
    };
    assert!(timeout(READY_LIMIT, served).await.is_ok(), "{}", cluster.logs());
    assert_eq!(cluster.ledger().total_starts(), 3);
}

/// An entry that loaded a snapshot with a range that does not exist ended, at each start again.
#[tokio::test(flavor = "multi_thread")]
async fn odd_records_and_ranges_do_not_end_an_entry() {
    let mut cluster = Cluster::start().await.unwrap();
    let odd_range = RangeOwner { range: u32::MAX, epoch: u64::MAX, owner: "odd".into() };
    let in_force = ContractInForce {
        customer: "shop".into(),
        version: 1,
        contract: Some(contract("1s")),
        append_id: "a1".into(),
    };
    let odd_records = odd_records();
    let snapshot = FoldState {
        next_offset: odd_records.len() as u64,
        contracts: vec![in_force],
        ranges: vec![odd_range],
        ..FoldState::default()
    };
    for record in &odd_records {
        cluster.store().append(LOG, record.clone().into());
    }
    cluster.store().append_keyed(SNAPSHOTS, SNAPSHOT_KEY, &snapshot.encode_to_vec());
    cluster.store().drop_history();
    for record in odd_records {
        cluster.store().append(LOG, record.into());
    }
    cluster.start_entry("a").await.unwrap();
    cluster.start_endpoint("e1", 4, 1).await.unwrap();
    assert!(cluster.wait_ready(1, READY_LIMIT).await, "{}", cluster.logs());
    assert!(!cluster.daemon_process("a").unwrap().has_exited());
    assert_served(&cluster, "a", "shop").await;
}

/// An entry that loaded a snapshot that claims to be newer than the log followed the log no longer.
#[tokio::test(flavor = "multi_thread")]
async fn a_snapshot_beyond_the_log_is_ignored() {
    let mut cluster = Session::start().await.with_contract("shop").await.cluster;
    let snapshot = FoldState { next_offset: u64::MAX, ..FoldState::default() }.encode_to_vec();
    cluster.store().append_keyed(SNAPSHOTS, SNAPSHOT_KEY, &snapshot);
    cluster.store().drop_history();
    cluster.start_entry("b").await.unwrap();
    assert!(cluster.wait_ready(1, READY_LIMIT).await, "{}", cluster.logs());
    assert_served(&cluster, "b", "shop").await;
    let is_replaced = || cluster.store().latest(SNAPSHOTS, SNAPSHOT_KEY).unwrap() != snapshot;
    let replaced = async {
        while !is_replaced() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    assert!(timeout(READY_LIMIT, replaced).await.is_ok(), "{}", cluster.logs());
}
