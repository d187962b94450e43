//! The platform's append-only log, behind a trait.

mod client;

use async_trait::async_trait;
use cowslipwing_proto::Record;
use cowslipwing_types::Offset;
use snafu::Snafu;

pub use client::RemoteLog;

/// A call to the log that did not succeed.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The log did not answer; an append may have taken effect.
    #[snafu(display("the platform's log does not answer ({detail}); read it back before a retry"))]
    Unavailable {
        /// What the transport reported.
        detail: String,
    },
    /// The address of the log cannot be used.
    #[snafu(display("the log address {address:?} is not IP:PORT; correct entry.log"))]
    BadAddress {
        /// The address as given.
        address: String,
    },
}

/// A stretch of the log.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Records in order; one that cannot be decoded has no body.
    pub records: Vec<(Offset, Record)>,
    /// Offset of the oldest record still kept.
    pub first: Offset,
    /// Offset that the next append will get.
    pub tail: Offset,
}

/// The platform's append-only log.
#[async_trait]
pub trait PlatformLog: Send + Sync {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// An error does not tell that the record was not written.
    async fn append(&self, record: &Record) -> Result<Offset, LogError>;

    /// Reads at most `most` records from an offset on. The tail is linearizable.
    ///
    /// # Errors
    ///
    /// Fails where the log does not answer.
    async fn read(&self, from: Offset, most: u32) -> Result<Page, LogError>;
}
