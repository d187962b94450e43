//! Credits that an agent hands out to entries.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cowslipwing_types::{EntryId, SortedMap};

/// Time after which a demand that was not met is forgotten.
const DEMAND_LIFETIME: Duration = Duration::from_millis(500);
/// Time after which a credit that was not used is void.
const CREDIT_LIFETIME: Duration = Duration::from_secs(2);

/// What an entry asks for and holds.
#[derive(Clone, Debug, Default)]
struct Account {
    demand: u32,
    demand_until: Option<Instant>,
    /// When each outstanding credit becomes void, the oldest first.
    outstanding: VecDeque<Instant>,
}

impl Account {
    fn wants_more(&self, now: Instant) -> bool {
        self.demand > 0 && self.demand_until.is_some_and(|until| now < until)
    }

    fn lapse(&mut self, now: Instant) {
        while self.outstanding.front().is_some_and(|until| *until <= now) {
            self.outstanding.pop_front();
        }
    }
}

/// Hands out credits, so that accepted work does not exceed what the endpoint can take.
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
    capacity: u32,
    held: u32,
    accounts: SortedMap<EntryId, Account>,
    next: usize,
}

impl CreditIssuer {
    /// Returns an issuer for an agent that runs and queues `capacity` tasks.
    pub fn new(capacity: u32) -> Self {
        Self { capacity, held: 0, accounts: SortedMap::new(), next: 0 }
    }

    /// Sets how many more credits an entry asks for.
    pub fn set_demand(&mut self, now: Instant, entry: &EntryId, demand: u32) {
        let account = self.accounts.get_or_insert_with(entry.clone(), Account::default);
        account.demand = demand;
        account.demand_until = Some(now + DEMAND_LIFETIME);
    }

    /// Takes back credits that an entry does not use.
    pub fn on_returned(&mut self, entry: &EntryId, credits: u32) {
        if let Some(account) = self.accounts.get_mut(entry) {
            let unused = account.outstanding.len().min(credits as usize);
            account.outstanding.drain(..unused);
        }
    }

    /// Notes that an entry has used a credit for a task that was accepted.
    pub fn on_start(&mut self, entry: &EntryId) {
        self.on_returned(entry, 1);
        self.held += 1;
    }

    /// Notes that an accepted task has ended or was taken back.
    pub fn on_end(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    /// Forgets an entry and the credits it held.
    pub fn remove_entry(&mut self, entry: &EntryId) {
        self.accounts.remove(entry);
    }

    /// Returns the number of credits that entries hold.
    pub fn outstanding(&self) -> u32 {
        self.accounts.values().map(|account| account.outstanding.len() as u32).sum()
    }

    /// Hands out what is free, one credit at a time in turn, to entries that ask for more.
    pub fn issue(&mut self, now: Instant) -> Vec<(EntryId, u32)> {
        for (_, account) in self.accounts.iter_mut() {
            account.lapse(now);
        }
        let mut free = self.capacity.saturating_sub(self.held + self.outstanding());
        let mut issued: SortedMap<EntryId, u32> = SortedMap::new();
        let count = self.accounts.len();
        let mut idle_turns = 0;
        while free > 0 && idle_turns < count {
            let turn = self.next % count;
            self.next = turn + 1;
            let (entry, account) =
                self.accounts.iter_mut().nth(turn).expect("the turn is in range");
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
