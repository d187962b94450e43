//! Credits that an agent hands out to entries.

use cowslipwing_types::{EntryId, SortedMap};

/// What an entry asks for and holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Account {
    demand: u32,
    outstanding: u32,
}

/// Hands out credits, so that accepted work never exceeds what the endpoint can take.
///
/// # Examples
///
/// ```
/// use cowslipwing_policy::CreditIssuer;
///
/// let entry = "entry-1".parse().unwrap();
/// let mut issuer = CreditIssuer::new(4);
/// issuer.set_demand(&entry, 10);
/// assert_eq!(issuer.issue(), vec![(entry.clone(), 4)]);
/// issuer.on_start(&entry);
/// issuer.on_end();
/// assert_eq!(issuer.issue(), vec![(entry, 1)]);
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

    /// Sets how many tasks wait at an entry.
    pub fn set_demand(&mut self, entry: &EntryId, demand: u32) {
        self.accounts.get_or_insert_with(entry.clone(), Account::default).demand = demand;
    }

    /// Takes back credits that an entry does not use.
    pub fn on_returned(&mut self, entry: &EntryId, credits: u32) {
        if let Some(account) = self.accounts.get_mut(entry) {
            account.outstanding = account.outstanding.saturating_sub(credits);
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
    pub fn forget(&mut self, entry: &EntryId) {
        self.accounts.remove(entry);
    }

    /// Returns the number of credits that entries hold.
    pub fn outstanding(&self) -> u32 {
        self.accounts.values().map(|account| account.outstanding).sum()
    }

    /// Hands out what is free, one credit at a time in turn, to entries with tasks waiting.
    pub fn issue(&mut self) -> Vec<(EntryId, u32)> {
        let mut free = self.capacity.saturating_sub(self.held + self.outstanding());
        let mut issued: SortedMap<EntryId, u32> = SortedMap::new();
        let count = self.accounts.len();
        let mut idle_turns = 0;
        while free > 0 && idle_turns < count {
            let turn = self.next % count;
            self.next = turn + 1;
            let (entry, account) =
                self.accounts.iter_mut().nth(turn).expect("the turn is in range");
            if account.outstanding >= account.demand {
                idle_turns += 1;
                continue;
            }
            account.outstanding += 1;
            free -= 1;
            idle_turns = 0;
            *issued.get_or_insert_with(entry.clone(), || 0) += 1;
        }
        issued.iter().map(|(entry, credits)| (entry.clone(), *credits)).collect()
    }
}
