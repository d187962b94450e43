//! What an entry confirms and promises to its peers.

use std::time::{Duration, Instant};

use cowslipwing_types::{Epoch, MemberVersion, RangeId, SortedMap};

/// The answer to a peer that asks for its lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Confirmation {
    /// These ranges have no newer epoch here.
    Confirmed(Vec<RangeId>),
    /// This entry cannot judge now.
    Abstains,
}

/// The epochs an entry has promised to, or has read of on the log.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cowslipwing_claims::{Confirmation, Votes};
/// use cowslipwing_types::{Epoch, MemberVersion, RangeId};
///
/// let now = Instant::now();
/// let mut votes = Votes::new(Duration::from_secs(60));
/// votes.read_tail(now, MemberVersion::new(1));
/// let (range, epoch) = (RangeId::new(3), Epoch::new(1));
/// let asked = votes.confirm(now, MemberVersion::new(1), &[(range, epoch)]);
/// assert_eq!(asked, Confirmation::Confirmed(vec![range]));
/// votes.promise(range, epoch.next());
/// let asked = votes.confirm(now, MemberVersion::new(1), &[(range, epoch)]);
/// assert_eq!(asked, Confirmation::Confirmed(vec![]));
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Votes {
    newest: SortedMap<RangeId, Epoch>,
    member_version: MemberVersion,
    tail_read_at: Option<Instant>,
    log_absence: Duration,
}

impl Votes {
    /// Returns the votes of an entry that has just started.
    ///
    /// It abstains until it has read the log to its tail, and again once `log_absence` has passed
    /// without another reading.
    pub fn new(log_absence: Duration) -> Self {
        Self {
            newest: SortedMap::new(),
            member_version: MemberVersion::default(),
            tail_read_at: None,
            log_absence,
        }
    }

    /// Notes that the log was read to the tail it had at `asked_at`.
    pub fn read_tail(&mut self, asked_at: Instant, version: MemberVersion) {
        self.tail_read_at = self.tail_read_at.max(Some(asked_at));
        self.follow(version);
    }

    /// Follows a newer member set.
    pub fn follow(&mut self, version: MemberVersion) {
        self.member_version = self.member_version.max(version);
    }

    /// Returns the member set that this entry follows.
    pub fn member_version(&self) -> MemberVersion {
        self.member_version
    }

    /// Returns whether this entry may vote at all.
    pub fn may_vote(&self, now: Instant) -> bool {
        self.tail_read_at.is_some_and(|at| now < at + self.log_absence)
    }

    /// Confirms the ranges for which no newer epoch is known.
    pub fn confirm(
        &self,
        now: Instant,
        asker_version: MemberVersion,
        claims: &[(RangeId, Epoch)],
    ) -> Confirmation {
        if !self.may_vote(now) || asker_version != self.member_version {
            return Confirmation::Abstains;
        }
        let current = |claim: &&(RangeId, Epoch)| claim.1 >= self.newest_epoch(claim.0);
        Confirmation::Confirmed(claims.iter().filter(current).map(|claim| claim.0).collect())
    }

    /// Promises to confirm no epoch of the range that is older; false where a newer one is known.
    pub fn promise(&mut self, range: RangeId, epoch: Epoch) -> bool {
        if epoch < self.newest_epoch(range) {
            return false;
        }
        self.newest.insert(range, epoch);
        true
    }

    fn newest_epoch(&self, range: RangeId) -> Epoch {
        self.newest.get(&range).copied().unwrap_or_default()
    }
}
