//! How a contract's concurrency is divided among entries, and lent from one to another.

use std::time::{Duration, Instant};

/// Returns the part of a limit that the entry of a rank may use.
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

/// A part of a limit that one entry lets another use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Loan {
    /// The lender's number for it.
    pub id: u64,
    /// Tasks that may run under it.
    pub count: u32,
    /// When it ends: for the lender at the latest, for the borrower's new tasks in any case.
    pub expires_at: Instant,
}

/// One entry's part of one contract's concurrency.
///
/// A lender counts a loan as gone until the borrower's last task under it must have ended; a borrower
/// counts it from when it asked. So the parts of all entries never add up to more than the limit.
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
    base: u32,
    lent: Vec<Loan>,
    borrowed: Vec<Loan>,
    last_id: u64,
}

impl Quota {
    /// Returns an quota_of_rank of which nothing is lent.
    pub fn new(base: u32) -> Self {
        Self { base, lent: Vec::new(), borrowed: Vec::new(), last_id: 0 }
    }

    /// Changes the base. A larger one is for when the entries that had the difference can use it no
    /// more.
    pub fn set_base(&mut self, base: u32) {
        self.base = base;
    }

    /// Lowers the base to at most a number.
    pub fn lower_base(&mut self, most: u32) {
        self.base = self.base.min(most);
    }

    /// Tells whether no more runs than the base and what is borrowed allow.
    pub fn is_within(&self, now: Instant, running: u32) -> bool {
        running <= self.limit(now)
    }

    /// Returns the tasks that may run at once.
    pub fn limit(&self, now: Instant) -> u32 {
        let borrowed: u32 = open(&self.borrowed, now).map(|loan| loan.count).sum();
        self.own(now) + borrowed
    }

    /// Lends what is not in use, and counts it as gone for a time or until it is repaid.
    pub fn lend(
        &mut self,
        now: Instant,
        wanted: u32,
        running: u32,
        hold: Duration,
    ) -> Option<Loan> {
        self.lent.retain(|loan| now < loan.expires_at);
        let count = self.own(now).saturating_sub(running).min(wanted);
        if count == 0 {
            return None;
        }
        self.last_id += 1;
        let loan = Loan { id: self.last_id, count, expires_at: now + hold };
        self.lent.push(loan);
        Some(loan)
    }

    /// Takes back a loan whose tasks have ended.
    pub fn on_repaid(&mut self, id: u64) {
        self.lent.retain(|loan| loan.id != id);
    }

    /// Takes in a loan that was asked for at `asked_at`.
    pub fn borrow(&mut self, asked_at: Instant, id: u64, count: u32, length: Duration) {
        self.borrowed.push(Loan { id, count, expires_at: asked_at + length });
    }

    /// Takes out the loans to be repaid: they have run out, and what runs needs them no more.
    pub fn take_repayable(&mut self, now: Instant, running: u32) -> Vec<Loan> {
        if running > self.limit(now) {
            return Vec::new();
        }
        let (open, ended) = self.borrowed.iter().partition(|loan| now < loan.expires_at);
        self.borrowed = open;
        ended
    }

    /// Returns the base less what is lent.
    fn own(&self, now: Instant) -> u32 {
        let lent: u32 = open(&self.lent, now).map(|loan| loan.count).sum();
        self.base.saturating_sub(lent)
    }
}

fn open(loans: &[Loan], now: Instant) -> impl Iterator<Item = &Loan> {
    loans.iter().filter(move |loan| now < loan.expires_at)
}
