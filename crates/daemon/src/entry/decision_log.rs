//! Reads and writes the entries' decisions on the platform's store.
//!
//! The decisions form an ordered log on one topic, whose records the store drops after some
//! seconds. The state built from them is kept as a snapshot under one key of another topic, of
//! which the store retains the newest value.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use cowslipwing_fold::Fold;
use cowslipwing_platform::{KeyedRecord, ReadResult, StoreClient, StoreError, Topic};
use cowslipwing_proto::{FoldState, Message, Record};
use cowslipwing_types::Offset;

/// Key of the newest snapshot.
const SNAPSHOT_KEY: &str = "state";

/// The newest snapshot and the end of the snapshot topic.
pub(crate) struct Snapshot {
    /// The state in the snapshot; `None` if there is no snapshot or it cannot be read.
    pub(crate) fold: Option<Fold>,
    /// Offset of the topic's next record.
    pub(crate) topic_end: u64,
}

/// A client of the decision log and its snapshots.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    store: StoreClient,
}

impl DecisionLog {
    /// Creates a client of the store at an address; `source_ip` is the local address to connect
    /// from.
    pub(crate) fn new(store: SocketAddr, source_ip: Option<IpAddr>) -> Self {
        Self { store: StoreClient::with_source(store, source_ip) }
    }

    /// Appends a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not confirm the append. The record may still be on the
    /// log.
    pub(crate) async fn append(&self, record: &Record) -> Result<(), StoreError> {
        self.store.append(Topic::Decisions, &record.encode_to_vec()).await?;
        Ok(())
    }

    /// Reads the available records from an offset on, without waiting for new ones.
    pub(crate) async fn read(&self, from: Offset) -> Result<ReadResult<Bytes>, StoreError> {
        self.store.read_raw(Topic::Decisions, from.get(), Duration::ZERO).await
    }

    /// Returns whether the log has had all records before an offset.
    async fn reaches(&self, offset: Offset) -> Result<bool, StoreError> {
        match self.read(offset).await? {
            ReadResult::Records { end, .. } => Ok(offset.get() <= end),
            ReadResult::Truncated => Ok(true),
        }
    }

    /// Reads the newest snapshot. A snapshot that is malformed, or newer than the log, is logged
    /// and treated as absent.
    pub(crate) async fn snapshot(&self) -> Result<Snapshot, StoreError> {
        let (records, topic_end) = self.store.newest(Topic::Snapshots).await?;
        let newest = records.iter().find(|record| record.key == SNAPSHOT_KEY);
        let mut fold = newest.and_then(|record| {
            let state = FoldState::decode(record.value.clone());
            let state =
                state.inspect_err(|error| log::warn!("store: the snapshot is malformed: {error}."));
            let fold = Fold::try_from(&state.ok()?);
            fold.inspect_err(|error| log::warn!("store: the snapshot is malformed: {error}.")).ok()
        });
        if let Some(next) = fold.as_ref().map(Fold::next_offset)
            && !self.reaches(next).await?
        {
            log::warn!("store: the snapshot is malformed: its offset {next} lies beyond the log.");
            fold = None;
        }
        Ok(Snapshot { fold, topic_end })
    }

    /// Writes a snapshot if the topic still ends at `topic_end`, and returns its new end.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer, or if another snapshot was written meanwhile.
    pub(crate) async fn write_snapshot(
        &self,
        state: &FoldState,
        topic_end: u64,
    ) -> Result<u64, StoreError> {
        let value = state.encode_to_vec().into();
        let record = KeyedRecord { key: SNAPSHOT_KEY.to_owned(), value };
        self.store.put_if_unchanged(Topic::Snapshots, &record, topic_end).await
    }
}

/// Decodes a record. A malformed one becomes a record without a body, which has no effect.
pub(crate) fn decode_record(bytes: &Bytes) -> Record {
    Record::decode(bytes.clone()).unwrap_or_else(|error| {
        log::warn!("store: a record of the decision log is malformed: {error}.");
        Record::default()
    })
}
