//! Limits on the age of idempotency keys.

use std::time::{Duration, SystemTime};

use crate::takeover::Recovery;

/// Limits on the age of keys, and how long their tasks are remembered.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct KeyAgeLimits {
    /// Maximum difference between the clocks of any two machines.
    pub skew: Duration,
    /// Maximum age of a key that carries its creation time; older keys are refused.
    pub retention: Duration,
    /// How long the tasks of a key without a creation time are remembered.
    pub ageless_retention: Duration,
}

/// Whether the tasks of a key that the owner does not know may have been started before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyFreshness {
    /// No earlier owner can have started its tasks.
    Fresh,
    /// An earlier owner may have started its tasks.
    MayHaveRun,
    /// The key is older than the retention, so its tasks may have been forgotten.
    TooOld,
    /// The key's creation time lies further in the future than the clock skew allows.
    FromFuture,
}

impl KeyAgeLimits {
    /// Classifies a key of which neither the owner nor any surveyed agent holds a task.
    ///
    /// `created_at` is absent if the key does not carry its creation time.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use cowslipwing_claims::{KeyAgeLimits, KeyFreshness, Recovery};
    ///
    /// let limits = KeyAgeLimits {
    ///     skew: Duration::from_secs(1),
    ///     retention: Duration::from_secs(600),
    ///     ageless_retention: Duration::from_secs(3600),
    /// };
    /// let wall = SystemTime::now();
    /// let barrier = wall - Duration::from_secs(60);
    /// let incomplete = Recovery::with_missing_history(barrier);
    /// let young = wall - Duration::from_secs(10);
    /// assert_eq!(limits.freshness(Some(young), wall, &incomplete), KeyFreshness::Fresh);
    /// let old = wall - Duration::from_secs(90);
    /// assert_eq!(limits.freshness(Some(old), wall, &incomplete), KeyFreshness::MayHaveRun);
    /// ```
    pub fn freshness(
        &self,
        created_at: Option<SystemTime>,
        wall: SystemTime,
        recovery: &Recovery,
    ) -> KeyFreshness {
        match created_at {
            Some(created_at) => self.freshness_by_age(created_at, wall, recovery),
            None => self.freshness_without_age(wall, recovery),
        }
    }

    fn freshness_by_age(
        &self,
        created_at: SystemTime,
        wall: SystemTime,
        recovery: &Recovery,
    ) -> KeyFreshness {
        if created_at > wall + self.skew {
            KeyFreshness::FromFuture
        } else if created_at + self.retention < wall {
            KeyFreshness::TooOld
        } else if recovery.is_history_complete() || created_at > recovery.barrier() + self.skew {
            KeyFreshness::Fresh
        } else {
            KeyFreshness::MayHaveRun
        }
    }

    fn freshness_without_age(&self, wall: SystemTime, recovery: &Recovery) -> KeyFreshness {
        // The time for which tasks of such keys are remembered has passed since the barrier, so a
        // missing history no longer counts.
        let is_forgotten = recovery.barrier() + self.skew + self.ageless_retention < wall;
        if recovery.is_history_complete() || is_forgotten {
            KeyFreshness::Fresh
        } else {
            KeyFreshness::MayHaveRun
        }
    }

    /// Returns how long a task is remembered after it has ended, which is the retention plus twice
    /// the clock skew.
    pub fn retention_for(&self, created_at: Option<SystemTime>) -> Duration {
        match created_at {
            Some(_) => self.retention + self.skew * 2,
            None => self.ageless_retention + self.skew * 2,
        }
    }
}
