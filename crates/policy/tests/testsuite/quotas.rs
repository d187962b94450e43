//! Tests that the quotas of all entries never add up to more than the contract's limit.

use std::time::{Duration, Instant};

use cowslipwing_policy::{Quota, quota_of_rank};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const ENTRIES: usize = 3;
const LIMIT: u32 = 7;
const LOAN_LENGTH: Duration = Duration::from_secs(2);
/// Maximum run time of a task.
const DEADLINE: Duration = Duration::from_secs(4);

/// One step of a random run.
///
/// If the answer to `Borrow` is lost, the lender counts the loan as in use until it expires, and no
/// entry can use it.
#[derive(Clone, Copy, Debug)]
enum Event {
    Wait { millis: u16 },
    Borrow { lender: usize, borrower: usize, count: u32, lost: bool },
    Start { entry: usize, millis: u16 },
    Repay { entry: usize },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = |g: &mut Gen| usize::arbitrary(g) % ENTRIES;
        match u8::arbitrary(g) % 4 {
            0 => Self::Wait { millis: u16::arbitrary(g) % 2000 },
            1 => Self::Borrow {
                lender: entry(g),
                borrower: entry(g),
                count: u32::arbitrary(g) % 4,
                lost: bool::arbitrary(g),
            },
            2 => Self::Start { entry: entry(g), millis: u16::arbitrary(g) % 4000 },
            _ => Self::Repay { entry: entry(g) },
        }
    }
}

/// Simulated entries that share one contract.
struct Simulation {
    now: Instant,
    quotas: Vec<Quota>,
    /// End times of the running tasks, per entry.
    running: Vec<Vec<Instant>>,
    /// Loans that borrowers hold, as id, expiry time and lender.
    loans: Vec<(u64, Instant, usize)>,
}

impl Simulation {
    fn new() -> Self {
        let quota = |rank| Quota::new(quota_of_rank(LIMIT, rank, ENTRIES as u32));
        Self {
            now: Instant::now(),
            quotas: (0..ENTRIES as u32).map(quota).collect(),
            running: vec![Vec::new(); ENTRIES],
            loans: Vec::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Wait { millis } => self.now += Duration::from_millis(millis.into()),
            Event::Borrow { lender, borrower, count, lost } if lender != borrower => {
                let in_use = self.running(lender);
                let hold = LOAN_LENGTH + DEADLINE;
                let loan = self.quotas[lender].lend(self.now, count, in_use, hold);
                if let Some(loan) = loan.filter(|_| !lost) {
                    let requested_at = self.now;
                    self.quotas[borrower].borrow(requested_at, loan.id, loan.count, LOAN_LENGTH);
                    self.loans.push((loan.id, requested_at + LOAN_LENGTH, lender));
                }
            }
            Event::Borrow { .. } => {}
            Event::Start { entry, millis } => {
                if self.running(entry) < self.quotas[entry].limit(self.now) {
                    let ends_at = self.now + Duration::from_millis(millis.into()).min(DEADLINE);
                    self.running[entry].push(ends_at);
                }
            }
            Event::Repay { entry } => self.repay(entry),
        }
    }

    fn repay(&mut self, entry: usize) {
        let running = self.running(entry);
        for loan in self.quotas[entry].take_repayable(self.now, running) {
            let matches =
                |held: &(u64, Instant, usize)| (held.0, held.1) == (loan.id, loan.expires_at);
            if let Some(position) = self.loans.iter().position(matches) {
                let (id, _, lender) = self.loans.remove(position);
                self.quotas[lender].on_repaid(id);
            }
        }
    }

    fn running(&mut self, entry: usize) -> u32 {
        let now = self.now;
        self.running[entry].retain(|ends_at| now < *ends_at);
        self.running[entry].len() as u32
    }

    fn total_running(&mut self) -> u32 {
        (0..ENTRIES).map(|entry| self.running(entry)).sum()
    }
}

fn total_running_stays_within_limit(events: Vec<Event>) -> bool {
    let mut simulation = Simulation::new();
    events.into_iter().all(|event| {
        simulation.apply(event);
        simulation.total_running() <= LIMIT
    })
}

#[test]
fn running_tasks_never_exceed_the_limit() {
    const RUNS: u64 = 20_000;
    const EVENTS: usize = 60;
    const SEED: u64 = 7;
    let generator = Gen::from_size_and_seed(EVENTS, SEED);
    QuickCheck::new()
        .rng(generator)
        .tests(RUNS)
        .quickcheck(total_running_stays_within_limit as fn(Vec<Event>) -> bool);
}

#[test]
fn outstanding_loans_count_against_a_lowered_base() {
    let now = Instant::now();
    let mut quota = Quota::new(4);
    let loan = quota.lend(now, 2, 0, DEADLINE).unwrap();
    quota.lower_base(3);
    assert_eq!(quota.limit(now), 1);
    quota.on_repaid(loan.id);
    assert_eq!(quota.limit(now), 3);
    quota.set_base(6);
    assert_eq!(quota.limit(now), 6);
}
