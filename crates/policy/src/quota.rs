//! Division of a contract's concurrency limit among entries, and loans between them.

use std::time::{Duration, Instant};

/// Returns the part of a limit that belongs to one of `entries` entries.
///
/// `rank` is the entry's position among them, from 0.
///
/// The parts of all ranks add up to the limit.
///
/// # Examples
///
/// ```
/// use cowslipwing_policy::quota_of_rank;
///
/// let parts: Vec<u32> = (0..3).map(|rank| quota_of_rank(10, rank, 3)).collect();
/// assert_eq!(parts, [4, 3, 3]);
/// ```
pub fn quota_of_rank(limit: u32, rank: u32, entries: u32) -> u32 {
    let entries = entries.max(1);
    limit / entries + u32::from(rank < limit % entries)
}

/// A part of one entry's quota that another entry may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Loan {
    /// Number that identifies the loan among those of its lender.
    pub id: u64,
    /// Number of tasks that may run under the loan.
    pub count: u32,
    /// When the loan ends.
    ///
    /// For the lender, the time at which it may use the quota again even if the loan has not been
    /// repaid. For the borrower, the earlier time from which it starts no more tasks under the loan.
    pub expires_at: Instant,
}

/// One entry's part of a contract's concurrency limit, with the loans it has given and taken.
///
/// A lender counts a loan as in use until the borrower's last task under it must have ended. A
/// borrower counts the loan's length from the time of its request. The limits of all entries
/// therefore never add up to more than the contract allows.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cowslipwing_policy::Quota;
///
/// let now = Instant::now();
/// let (length, deadline) = (Duration::from_secs(2), Duration::from_secs(10));
/// let (mut lender, mut borrower) = (Quota::new(4), Quota::new(0));
/// let loan = lender.lend(now, 3, 2, length + deadline).unwrap();
/// borrower.borrow(now, loan.id, loan.count, length);
/// assert_eq!((lender.limit(now), borrower.limit(now)), (2, 2));
/// assert_eq!(borrower.limit(now + length), 0);
/// assert_eq!(lender.limit(now + length + deadline), 4);
/// let ended = borrower.take_repayable(now + length, 0);
/// lender.on_repaid(ended[0].id);
/// assert_eq!(lender.limit(now + length), 4);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Quota {
    /// The quota before loans.
    base: u32,
    lent: Vec<Loan>,
    borrowed: Vec<Loan>,
    last_id: u64,
}

impl Quota {
    /// Creates a quota without loans.
    pub fn new(base: u32) -> Self {
        Self { base, lent: Vec::new(), borrowed: Vec::new(), last_id: 0 }
    }

    /// Sets the base, which is the quota before loans.
    ///
    /// The caller must raise the base only when the entries that held the difference can no longer
    /// use it.
    pub fn set_base(&mut self, base: u32) {
        self.base = base;
    }

    /// Lowers the base to `max` if it is greater.
    pub fn lower_base(&mut self, max: u32) {
        self.base = self.base.min(max);
    }

    /// Returns whether the given number of running tasks is within the limit.
    pub fn is_within(&self, now: Instant, running: u32) -> bool {
        running <= self.limit(now)
    }

    /// Returns the number of tasks that may run at the same time, with loans taken into account.
    pub fn limit(&self, now: Instant) -> u32 {
        let borrowed: u32 = unexpired(&self.borrowed, now).map(|loan| loan.count).sum();
        self.not_lent(now) + borrowed
    }

    /// Lends up to `wanted` of the quota that is not in use.
    ///
    /// Returns `None` if all of it is lent or in use. The lender's limit is reduced for the duration
    /// `hold`, or until the loan is repaid. `hold` must cover the length of the loan and the longest
    /// run time of a task started under it.
    pub fn lend(
        &mut self,
        now: Instant,
        wanted: u32,
        running: u32,
        hold: Duration,
    ) -> Option<Loan> {
        self.lent.retain(|loan| now < loan.expires_at);
        let count = self.not_lent(now).saturating_sub(running).min(wanted);
        if count == 0 {
            return None;
        }
        self.last_id += 1;
        let loan = Loan { id: self.last_id, count, expires_at: now + hold };
        self.lent.push(loan);
        Some(loan)
    }

    /// Ends a loan that the borrower has repaid.
    pub fn on_repaid(&mut self, id: u64) {
        self.lent.retain(|loan| loan.id != id);
    }

    /// Adds a loan from another entry; its length counts from `requested_at`, when it was requested.
    pub fn borrow(&mut self, requested_at: Instant, id: u64, count: u32, length: Duration) {
        self.borrowed.push(Loan { id, count, expires_at: requested_at + length });
    }

    /// Removes and returns the expired loans, which the caller must repay.
    ///
    /// Returns no loans while more tasks are running than the limit without these loans allows.
    pub fn take_repayable(&mut self, now: Instant, running: u32) -> Vec<Loan> {
        if running > self.limit(now) {
            return Vec::new();
        }
        let (unexpired, expired) = self.borrowed.iter().partition(|loan| now < loan.expires_at);
        self.borrowed = unexpired;
        expired
    }

    /// Returns the base less the quota that is lent.
    fn not_lent(&self, now: Instant) -> u32 {
        let lent: u32 = unexpired(&self.lent, now).map(|loan| loan.count).sum();
        self.base.saturating_sub(lent)
    }
}

fn unexpired(loans: &[Loan], now: Instant) -> impl Iterator<Item = &Loan> {
    loans.iter().filter(move |loan| now < loan.expires_at)
}
