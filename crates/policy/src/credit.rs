//! Credits that an agent grants to entries.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cowslipwing_types::{EntryId, SortedMap};

/// Time after which an entry's unmet demand expires, unless the entry renews it.
const DEMAND_LIFETIME: Duration = Duration::from_millis(500);
/// Time after which an unused credit expires.
const CREDIT_LIFETIME: Duration = Duration::from_secs(2);

/// The credits that one entry wants and holds.
#[derive(Clone, Debug, Default)]
struct Account {
    /// Further credits that the entry wants.
    demand: u32,
    demand_expires_at: Option<Instant>,
    /// Expiry time of each unused credit, the oldest credit first.
    outstanding: VecDeque<Instant>,
}

impl Account {
    fn wants_more(&self, now: Instant) -> bool {
        self.demand > 0 && self.demand_expires_at.is_some_and(|expires_at| now < expires_at)
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.outstanding.front().is_some_and(|expires_at| *expires_at <= now) {
            self.outstanding.pop_front();
        }
    }
}

/// Grants credits to entries, so that the agent never accepts more tasks than it can run and queue.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cowslipwing_policy::CreditIssuer;
///
/// let now = Instant::now();
/// let entry = "entry-1".parse().unwrap();
/// let mut issuer = CreditIssuer::new(4);
/// issuer.set_demand(now, &entry, 10);
/// assert_eq!(issuer.issue(now), vec![(entry.clone(), 4)]);
/// issuer.on_start(&entry);
/// issuer.on_end();
/// assert_eq!(issuer.issue(now), vec![(entry, 1)]);
/// ```
#[derive(Clone, Debug)]
pub struct CreditIssuer {
    /// Maximum number of accepted tasks and unused credits together.
    capacity: u32,
    /// Accepted tasks that have not ended.
    accepted: u32,
    accounts: SortedMap<EntryId, Account>,
    /// Position in `accounts` of the next round-robin turn.
    next_turn: usize,
}

impl CreditIssuer {
    /// Creates an issuer for an agent that runs and queues up to `capacity` tasks.
    pub fn new(capacity: u32) -> Self {
        Self { capacity, accepted: 0, accounts: SortedMap::new(), next_turn: 0 }
    }

    /// Sets the number of further credits that an entry wants, and renews the demand's lifetime of
    /// 500 ms.
    pub fn set_demand(&mut self, now: Instant, entry: &EntryId, demand: u32) {
        let account = self.accounts.get_or_insert_with(entry.clone(), Account::default);
        account.demand = demand;
        account.demand_expires_at = Some(now + DEMAND_LIFETIME);
    }

    /// Takes back credits that an entry has returned unused.
    pub fn on_returned(&mut self, entry: &EntryId, credits: u32) {
        if let Some(account) = self.accounts.get_mut(entry) {
            let returned = account.outstanding.len().min(credits as usize);
            account.outstanding.drain(..returned);
        }
    }

    /// Records that an entry has used a credit for a task that the agent accepted.
    pub fn on_start(&mut self, entry: &EntryId) {
        self.on_returned(entry, 1);
        self.accepted += 1;
    }

    /// Records that an accepted task has ended or was taken back by its entry.
    pub fn on_end(&mut self) {
        self.accepted = self.accepted.saturating_sub(1);
    }

    /// Removes an entry with its demand and its unused credits.
    pub fn remove_entry(&mut self, entry: &EntryId) {
        self.accounts.remove(entry);
    }

    /// Returns the number of unused credits that entries hold.
    pub fn outstanding(&self) -> u32 {
        self.accounts.values().map(|account| account.outstanding.len() as u32).sum()
    }

    /// Grants the free credits, one at a time in round-robin order, to the entries that want more.
    ///
    /// Returns the number of credits granted per entry.
    pub fn issue(&mut self, now: Instant) -> Vec<(EntryId, u32)> {
        for (_, account) in self.accounts.iter_mut() {
            account.remove_expired(now);
        }
        let mut free = self.capacity.saturating_sub(self.accepted + self.outstanding());
        let mut issued: SortedMap<EntryId, u32> = SortedMap::new();
        let count = self.accounts.len();
        let mut idle_turns = 0;
        while free > 0 && idle_turns < count {
            let turn = self.next_turn % count;
            self.next_turn = turn + 1;
            let (entry, account) =
                self.accounts.iter_mut().nth(turn).expect("the turn is less than the count");
            if !account.wants_more(now) {
                idle_turns += 1;
                continue;
            }
            account.demand -= 1;
            account.outstanding.push_back(now + CREDIT_LIFETIME);
            free -= 1;
            idle_turns = 0;
            *issued.get_or_insert_with(entry.clone(), || 0) += 1;
        }
        issued.iter().map(|(entry, credits)| (entry.clone(), *credits)).collect()
    }
}
