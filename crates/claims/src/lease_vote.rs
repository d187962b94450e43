//! How an entry votes on the leases of its peers.

use std::time::{Duration, Instant};

use cowslipwing_types::{Epoch, MemberVersion, RangeId, SortedMap};

/// An entry's answer to a peer that wants to extend its leases.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseVote {
    /// The requested ranges for which the voter knows no newer epoch; all others are refused.
    Confirmed(Vec<RangeId>),
    /// The voter has not read the log recently enough, or follows another member set.
    Abstained,
}

/// The newest epoch of each range that an entry has promised to or read from the log.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cowslipwing_claims::{LeaseVote, LeaseVoter};
/// use cowslipwing_types::{Epoch, MemberVersion, RangeId};
///
/// let now = Instant::now();
/// let mut voter = LeaseVoter::new(Duration::from_secs(60));
/// voter.on_log_read(now, MemberVersion::new(1));
/// let (range, epoch) = (RangeId::new(3), Epoch::new(1));
/// let vote = voter.confirm(now, MemberVersion::new(1), &[(range, epoch)]);
/// assert_eq!(vote, LeaseVote::Confirmed(vec![range]));
/// voter.promise(range, epoch.next());
/// let vote = voter.confirm(now, MemberVersion::new(1), &[(range, epoch)]);
/// assert_eq!(vote, LeaseVote::Confirmed(vec![]));
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseVoter {
    newest_epochs: SortedMap<RangeId, Epoch>,
    member_version: MemberVersion,
    log_read_at: Option<Instant>,
    log_absence: Duration,
}

impl LeaseVoter {
    /// Creates the voter of an entry that has just started.
    ///
    /// It abstains until it has read the log to its end, and again once `log_absence` has passed
    /// since the last complete read.
    pub fn new(log_absence: Duration) -> Self {
        Self {
            newest_epochs: SortedMap::new(),
            member_version: MemberVersion::default(),
            log_read_at: None,
            log_absence,
        }
    }

    /// Records that the log has been read up to the end it had at `requested_at`.
    pub fn on_log_read(&mut self, requested_at: Instant, version: MemberVersion) {
        self.log_read_at = self.log_read_at.max(Some(requested_at));
        self.on_member_version(version);
    }

    /// Switches to the given version of the member set if it is newer.
    pub fn on_member_version(&mut self, version: MemberVersion) {
        self.member_version = self.member_version.max(version);
    }

    /// Returns the version of the member set that this entry follows.
    pub fn member_version(&self) -> MemberVersion {
        self.member_version
    }

    /// Returns whether this entry has read the log within `log_absence`.
    pub fn may_vote(&self, now: Instant) -> bool {
        self.log_read_at.is_some_and(|at| now < at + self.log_absence)
    }

    /// Confirms those of the requested ranges for which no newer epoch is known.
    pub fn confirm(
        &self,
        now: Instant,
        requester_version: MemberVersion,
        requested: &[(RangeId, Epoch)],
    ) -> LeaseVote {
        if !self.may_vote(now) || requester_version != self.member_version {
            return LeaseVote::Abstained;
        }
        let is_current = |range: &&(RangeId, Epoch)| range.1 >= self.newest_epoch(range.0);
        LeaseVote::Confirmed(requested.iter().filter(is_current).map(|range| range.0).collect())
    }

    /// Promises not to confirm any older epoch of the range.
    ///
    /// Returns `false`, and promises nothing, if a newer epoch is already known.
    pub fn promise(&mut self, range: RangeId, epoch: Epoch) -> bool {
        if epoch < self.newest_epoch(range) {
            return false;
        }
        self.newest_epochs.insert(range, epoch);
        true
    }

    fn newest_epoch(&self, range: RangeId) -> Epoch {
        self.newest_epochs.get(&range).copied().unwrap_or_default()
    }
}
