//! Whether a key is fresh enough to be started.

use std::time::{Duration, SystemTime};

use crate::takeover::Recovery;

/// Bounds on the age of keys.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct AgeRules {
    /// Clock skew allowed between any two machines.
    pub skew: Duration,
    /// Age past which a key is refused.
    pub retention: Duration,
    /// Time a key that shows no age is remembered.
    pub ageless_retention: Duration,
}

/// What may be done with a key that the owner does not hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyVerdict {
    /// No other process can have started it.
    Fresh,
    /// An earlier owner may have started it.
    MayHaveRun,
    /// The key is older than what is remembered.
    TooOld,
    /// The key's age lies further in the future than the skew allows.
    FromFuture,
}

impl AgeRules {
    /// Judges a key that neither the owner nor any agent it asked holds.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use cowslipwing_claims::{AgeRules, KeyVerdict, Recovery};
    ///
    /// let rules = AgeRules {
    ///     skew: Duration::from_secs(1),
    ///     retention: Duration::from_secs(600),
    ///     ageless_retention: Duration::from_secs(3600),
    /// };
    /// let wall = SystemTime::now();
    /// let barrier = wall - Duration::from_secs(60);
    /// let missing = Recovery::with_missing_history(barrier);
    /// let young = wall - Duration::from_secs(10);
    /// assert_eq!(rules.judge(Some(young), wall, &missing), KeyVerdict::Fresh);
    /// let old = wall - Duration::from_secs(90);
    /// assert_eq!(rules.judge(Some(old), wall, &missing), KeyVerdict::MayHaveRun);
    /// ```
    pub fn judge(
        &self,
        made_at: Option<SystemTime>,
        wall: SystemTime,
        recovery: &Recovery,
    ) -> KeyVerdict {
        match made_at {
            Some(made_at) => self.judge_aged(made_at, wall, recovery),
            None => self.judge_ageless(wall, recovery),
        }
    }

    fn judge_aged(&self, made_at: SystemTime, wall: SystemTime, recovery: &Recovery) -> KeyVerdict {
        if made_at > wall + self.skew {
            KeyVerdict::FromFuture
        } else if made_at + self.retention < wall {
            KeyVerdict::TooOld
        } else if recovery.history_is_whole() || made_at > recovery.barrier() + self.skew {
            KeyVerdict::Fresh
        } else {
            KeyVerdict::MayHaveRun
        }
    }

    fn judge_ageless(&self, wall: SystemTime, recovery: &Recovery) -> KeyVerdict {
        let forgotten = recovery.barrier() + self.skew + self.ageless_retention < wall;
        if recovery.history_is_whole() || forgotten {
            KeyVerdict::Fresh
        } else {
            KeyVerdict::MayHaveRun
        }
    }

    /// Returns how long a task is remembered after it ended.
    pub fn remembers_for(&self, made_at: Option<SystemTime>) -> Duration {
        match made_at {
            Some(_) => self.retention + self.skew * 2,
            None => self.ageless_retention + self.skew * 2,
        }
    }
}
