//! The store's log operations, retention and injected faults, through the client of the product.

use std::time::Duration;

use cowslipwing_platform::{KeyedRecord, ReadResult, StoreClient, StoreError, StoredRecord, Topic};
use cowslipwing_standin::platform::{PlatformStore, StoreBehaviour};
use tokio::net::TcpListener;

async fn start_store() -> (PlatformStore, StoreClient) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = StoreClient::new(listener.local_addr().unwrap());
    (PlatformStore::start(listener), client)
}

fn snapshot(value: &'static str) -> KeyedRecord {
    KeyedRecord { key: "state".into(), value: value.into() }
}

fn stored(offset: u64, value: &'static str) -> StoredRecord {
    StoredRecord { offset, key: "state".into(), value: value.into() }
}

async fn read_decisions(client: &StoreClient, from: u64) -> ReadResult<Vec<u8>> {
    match client.read_raw(Topic::Decisions, from, Duration::ZERO).await.unwrap() {
        ReadResult::Records { records, next, end } => {
            let records = records.into_iter().map(|record| record.to_vec()).collect();
            ReadResult::Records { records, next, end }
        }
        ReadResult::Truncated => ReadResult::Truncated,
    }
}

#[tokio::test]
async fn records_are_read_in_append_order() {
    let (_store, client) = start_store().await;
    assert_eq!(client.append(Topic::Decisions, b"a").await.unwrap(), 0);
    assert_eq!(client.append(Topic::Decisions, b"b").await.unwrap(), 1);
    let all = ReadResult::Records { records: vec![b"a".to_vec(), b"b".to_vec()], next: 2, end: 2 };
    assert_eq!(read_decisions(&client, 0).await, all);
    let empty = ReadResult::Records { records: Vec::new(), next: 2, end: 2 };
    assert_eq!(read_decisions(&client, 2).await, empty);
}

#[tokio::test]
async fn dropped_records_are_reported_and_keyed_records_are_retained() {
    let (store, client) = start_store().await;
    for record in [b"a", b"b", b"c"] {
        client.append(Topic::Decisions, record).await.unwrap();
    }
    client.put(Topic::Snapshots, &snapshot("old")).await.unwrap();
    client.put(Topic::Snapshots, &snapshot("new")).await.unwrap();
    store.set_retention(1);
    assert_eq!(read_decisions(&client, 1).await, ReadResult::Truncated);
    let last = ReadResult::Records { records: vec![b"c".to_vec()], next: 3, end: 3 };
    assert_eq!(read_decisions(&client, 2).await, last);
    store.drop_history();
    assert_eq!(client.newest(Topic::Snapshots).await.unwrap(), (vec![stored(1, "new")], 2));
}

#[tokio::test]
async fn a_stale_snapshot_does_not_replace_a_newer_one() {
    let (_store, client) = start_store().await;
    let end = client.put_if_unchanged(Topic::Snapshots, &snapshot("first"), 0).await.unwrap();
    let late = client.put_if_unchanged(Topic::Snapshots, &snapshot("late"), 0).await;
    assert!(matches!(late, Err(StoreError::Conflict { end: 1 })), "{late:?}");
    client.put_if_unchanged(Topic::Snapshots, &snapshot("second"), end).await.unwrap();
    assert_eq!(client.newest(Topic::Snapshots).await.unwrap().0, [stored(1, "second")]);
}

#[tokio::test]
async fn a_write_without_a_reply_is_executed_once() {
    let (store, client) = start_store().await;
    store.set_behaviour(StoreBehaviour::DroppingNextReplies(1));
    let unanswered = client.append(Topic::Decisions, b"a").await;
    assert!(matches!(unanswered, Err(StoreError::NoAnswer { .. })), "{unanswered:?}");
    assert_eq!(client.append(Topic::Decisions, b"b").await.unwrap(), 1);
}
