//! What the entries have decided, as the platform's store keeps it.
//!
//! Decisions stand in order in one topic, of which the store keeps some seconds. The state folded from
//! them stands under one key of another topic, which the store keeps.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use cowslipwing_fold::Fold;
use cowslipwing_platform::{KeyedRecord, ReadResult, StoreClient, StoreError, Topic};
use cowslipwing_proto::{FoldState, Message, Record};
use cowslipwing_types::Offset;

/// Key of the newest snapshot.
const SNAPSHOT_KEY: &str = "state";

/// The newest snapshot, and where its topic ends.
pub(crate) struct Snapshot {
    /// None where there is none that can be read.
    pub(crate) fold: Option<Fold>,
    pub(crate) topic_end: u64,
}

/// Reads and appends decisions.
#[derive(Debug)]
pub(crate) struct Decisions {
    store: StoreClient,
}

impl Decisions {
    /// Returns a client of the store at an address, which connects from a local address.
    pub(crate) fn new(store: SocketAddr, source: Option<IpAddr>) -> Self {
        Self { store: StoreClient::with_source(store, source) }
    }

    /// Appends a record. An error does not tell that it was not written.
    pub(crate) async fn append(&self, record: &Record) -> Result<(), StoreError> {
        self.store.append(Topic::Decisions, &record.encode_to_vec()).await?;
        Ok(())
    }

    /// Reads what there is from an offset on.
    pub(crate) async fn read(&self, from: Offset) -> Result<ReadResult<Bytes>, StoreError> {
        self.store.read_raw(Topic::Decisions, from.get(), Duration::ZERO).await
    }

    /// Returns the newest snapshot.
    pub(crate) async fn snapshot(&self) -> Result<Snapshot, StoreError> {
        let (records, topic_end) = self.store.newest(Topic::Snapshots).await?;
        let newest = records.iter().find(|record| record.key == SNAPSHOT_KEY);
        let fold = newest.and_then(|record| {
            let state = FoldState::decode(record.value.clone());
            let state = state.inspect_err(|error| log::warn!("store: the snapshot: {error}."));
            let fold = Fold::try_from(&state.ok()?);
            fold.inspect_err(|error| log::warn!("store: the snapshot: {error}.")).ok()
        });
        Ok(Snapshot { fold, topic_end })
    }

    /// Puts a snapshot where no other came meanwhile, and returns where the topic ends then.
    pub(crate) async fn put_snapshot(
        &self,
        state: &FoldState,
        topic_end: u64,
    ) -> Result<u64, StoreError> {
        let value = state.encode_to_vec().into();
        let record = KeyedRecord { key: SNAPSHOT_KEY.to_owned(), value };
        self.store.put_if_unchanged(Topic::Snapshots, &record, topic_end).await
    }
}

/// Reads a record; what cannot be read is one without a body, which decides nothing.
pub(crate) fn decode(bytes: &Bytes) -> Record {
    Record::decode(bytes.clone()).unwrap_or_else(|error| {
        log::warn!("store: a decision cannot be read: {error}.");
        Record::default()
    })
}
