//! Handovers of ranges between entries: the state of a range that its owner hands over, and the
//! transfers that a successor has received.

use std::time::{Duration, Instant};

use cowslipwing_types::{EntryId, Epoch, RangeId, SortedMap};

/// The progress of a range's handover, as its owner sees it.
///
/// # Examples
///
/// ```
/// use cowslipwing_claims::RangeHandover;
///
/// let mut handover = RangeHandover::default();
/// handover.begin();
/// assert!(!handover.accepts_jobs());
/// assert!(handover.cancel());
/// assert!(handover.accepts_jobs());
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RangeHandover {
    /// The range stays with its owner and accepts new jobs.
    #[default]
    None,
    /// The range accepts no new job, so that its open jobs end before the handover.
    Draining,
    /// The transfer to the successor has been built. A job that was accepted now would be unknown
    /// to the successor, so only a revoked transfer opens the range again.
    TransferBuilt,
}

impl RangeHandover {
    /// Returns whether the range accepts new jobs.
    pub fn accepts_jobs(self) -> bool {
        self == Self::None
    }

    /// Stops accepting jobs.
    pub fn begin(&mut self) {
        if *self == Self::None {
            *self = Self::Draining;
        }
    }

    /// Records that the transfer to the successor has been built.
    pub fn on_transfer_built(&mut self) {
        *self = Self::TransferBuilt;
    }

    /// Records that the successor has discarded the transfer, or that the range has a new epoch.
    pub fn on_ended(&mut self) {
        *self = Self::None;
    }

    /// Cancels the handover, and returns whether the range now accepts jobs. It does not once the
    /// transfer has been built.
    pub fn cancel(&mut self) -> bool {
        if *self == Self::Draining {
            *self = Self::None;
        }
        *self == Self::None
    }

    /// Cancels the handover if the log is too old for the record that would complete it.
    ///
    /// `log_age` is the time since the log was last read to its end, `None` if it never was. While
    /// the store is down, no other owner can take the range, so it must go on accepting jobs.
    pub fn cancel_if_log_stale(&mut self, log_age: Option<Duration>, max_log_age: Duration) {
        if log_age.is_none_or(|age| age >= max_log_age) {
            self.cancel();
        }
    }
}

/// A transfer that waits for the record that makes this entry the owner of its range.
#[derive(Debug)]
struct Received<T> {
    epoch: Epoch,
    received_at: Instant,
    state: T,
}

/// The transfers that an entry has received for ranges that it does not own yet.
#[derive(Debug)]
pub struct ReceivedTransfers<T> {
    by_range: SortedMap<RangeId, Received<T>>,
    /// Serial number of the latest transfer that each sender has revoked.
    revoked: SortedMap<EntryId, u64>,
}

impl<T> Default for ReceivedTransfers<T> {
    fn default() -> Self {
        Self { by_range: SortedMap::new(), revoked: SortedMap::new() }
    }
}

impl<T> ReceivedTransfers<T> {
    /// Stores a transfer of ranges until their records are read from the log.
    ///
    /// Returns `false`, and stores nothing, if the transfer was revoked before it arrived, or if
    /// this entry `is_stopping`: it would leave before it owns the ranges.
    pub fn store<I>(
        &mut self,
        now: Instant,
        sender: &EntryId,
        serial: u64,
        is_stopping: bool,
        ranges: I,
    ) -> bool
    where
        I: IntoIterator<Item = (RangeId, Epoch, T)>,
    {
        if is_stopping || self.revoked.get(sender).is_some_and(|last| serial <= *last) {
            return false;
        }
        for (range, epoch, state) in ranges {
            self.by_range.insert(range, Received { epoch, received_at: now, state });
        }
        true
    }

    /// Discards the transfers of `ranges`, and refuses any of the sender up to `serial`.
    pub fn revoke<I>(&mut self, sender: &EntryId, serial: u64, ranges: I)
    where
        I: IntoIterator<Item = RangeId>,
    {
        let last = self.revoked.get_or_insert_with(sender.clone(), || 0);
        *last = serial.max(*last);
        for range in ranges {
            self.by_range.remove(&range);
        }
    }

    /// Removes and returns the transfer of a range if it was made for `epoch`.
    pub fn take(&mut self, range: RangeId, epoch: Epoch) -> Option<T> {
        let received = self.by_range.remove(&range)?;
        (received.epoch == epoch).then_some(received.state)
    }

    /// Returns whether a transfer was received less than `append_timeout` ago, so that the record
    /// that makes this entry the owner may still follow.
    ///
    /// An entry that leaves before that record is read back would become the owner of a range that
    /// it does not serve.
    pub fn expects_records(&self, now: Instant, append_timeout: Duration) -> bool {
        self.by_range.values().any(|received| now < received.received_at + append_timeout)
    }
}
