//! The store and its faults.

use std::time::Duration;

use cowslipwing_platform::{KeyedRecord, ReadResult, StoreClient, StoreError, Topic};
use cowslipwing_standin::platform::{PlatformStore, StoreMood};
use tokio::net::TcpListener;

async fn start() -> (PlatformStore, StoreClient) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = StoreClient::new(listener.local_addr().unwrap());
    (PlatformStore::start(listener), client)
}

fn state(value: &'static str) -> KeyedRecord {
    KeyedRecord { key: "state".into(), value: value.into() }
}

async fn read(client: &StoreClient, from: u64) -> ReadResult<Vec<u8>> {
    match client.read_raw(Topic::Decisions, from, Duration::ZERO).await.unwrap() {
        ReadResult::Records { records, next, end } => {
            let records = records.into_iter().map(|record| record.to_vec()).collect();
            ReadResult::Records { records, next, end }
        }
        ReadResult::Truncated => ReadResult::Truncated,
    }
}

#[tokio::test]
async fn records_are_read_in_the_order_of_their_appends() {
    let (_store, client) = start().await;
    assert_eq!(client.append(Topic::Decisions, b"a").await.unwrap(), 0);
    assert_eq!(client.append(Topic::Decisions, b"b").await.unwrap(), 1);
    let all = ReadResult::Records { records: vec![b"a".to_vec(), b"b".to_vec()], next: 2, end: 2 };
    assert_eq!(read(&client, 0).await, all);
    let none = ReadResult::Records { records: Vec::new(), next: 2, end: 2 };
    assert_eq!(read(&client, 2).await, none);
}

#[tokio::test]
async fn dropped_records_are_told_and_the_newest_of_a_key_stays() {
    let (store, client) = start().await;
    for record in [b"a", b"b", b"c"] {
        client.append(Topic::Decisions, record).await.unwrap();
    }
    client.put(Topic::Snapshots, &state("old")).await.unwrap();
    client.put(Topic::Snapshots, &state("new")).await.unwrap();
    store.set_retention(1);
    assert_eq!(read(&client, 1).await, ReadResult::Truncated);
    let last = ReadResult::Records { records: vec![b"c".to_vec()], next: 3, end: 3 };
    assert_eq!(read(&client, 2).await, last);
    store.drop_history();
    assert_eq!(client.newest(Topic::Snapshots).await.unwrap(), (vec![state("new")], 2));
}

#[tokio::test]
async fn a_late_snapshot_replaces_no_newer_one() {
    let (_store, client) = start().await;
    let end = client.put_if_unchanged(Topic::Snapshots, &state("first"), 0).await.unwrap();
    let late = client.put_if_unchanged(Topic::Snapshots, &state("late"), 0).await;
    assert!(matches!(late, Err(StoreError::Conflict { end: 1 })), "{late:?}");
    client.put_if_unchanged(Topic::Snapshots, &state("second"), end).await.unwrap();
    assert_eq!(client.newest(Topic::Snapshots).await.unwrap().0, [state("second")]);
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_is_done_once() {
    let (store, client) = start().await;
    store.set_mood(StoreMood::LosingNext(1));
    let lost = client.append(Topic::Decisions, b"a").await;
    assert!(matches!(lost, Err(StoreError::NoAnswer { .. })), "{lost:?}");
    assert_eq!(client.append(Topic::Decisions, b"b").await.unwrap(), 1);
}
