//! The parts of a contract's concurrency never add up to more than the limit.

use std::time::{Duration, Instant};

use cowslipwing_policy::{Quota, quota_of_rank};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const ENTRIES: usize = 3;
const LIMIT: u32 = 7;
const LENGTH: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(4);

/// One event between entries; a lost answer leaves the lender's part gone for a time.
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

struct World {
    now: Instant,
    allotments: Vec<Quota>,
    /// When each running task of each entry ends.
    running: Vec<Vec<Instant>>,
    /// Loans held, with their lender.
    loans: Vec<(u64, Instant, usize)>,
}

impl World {
    fn new() -> Self {
        let part = |rank| Quota::new(quota_of_rank(LIMIT, rank, ENTRIES as u32));
        Self {
            now: Instant::now(),
            allotments: (0..ENTRIES as u32).map(part).collect(),
            running: vec![Vec::new(); ENTRIES],
            loans: Vec::new(),
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Wait { millis } => self.now += Duration::from_millis(millis.into()),
            Event::Borrow { lender, borrower, count, lost } if lender != borrower => {
                let in_use = self.running(lender);
                let hold = LENGTH + DEADLINE;
                let loan = self.allotments[lender].lend(self.now, count, in_use, hold);
                if let Some(loan) = loan.filter(|_| !lost) {
                    let at = self.now;
                    self.allotments[borrower].borrow(at, loan.id, loan.count, LENGTH);
                    self.loans.push((loan.id, at + LENGTH, lender));
                }
            }
            Event::Borrow { .. } => {}
            Event::Start { entry, millis } => {
                if self.running(entry) < self.allotments[entry].limit(self.now) {
                    let ends = self.now + Duration::from_millis(millis.into()).min(DEADLINE);
                    self.running[entry].push(ends);
                }
            }
            Event::Repay { entry } => self.repay(entry),
        }
    }

    fn repay(&mut self, entry: usize) {
        let running = self.running(entry);
        for loan in self.allotments[entry].take_repayable(self.now, running) {
            let known =
                |held: &(u64, Instant, usize)| (held.0, held.1) == (loan.id, loan.expires_at);
            if let Some(at) = self.loans.iter().position(known) {
                let (id, _, lender) = self.loans.remove(at);
                self.allotments[lender].on_repaid(id);
            }
        }
    }

    fn running(&mut self, entry: usize) -> u32 {
        let now = self.now;
        self.running[entry].retain(|ends| now < *ends);
        self.running[entry].len() as u32
    }

    fn all_running(&mut self) -> u32 {
        (0..ENTRIES).map(|entry| self.running(entry)).sum()
    }
}

fn never_more_than_the_limit(events: Vec<Event>) -> bool {
    let mut world = World::new();
    events.into_iter().all(|event| {
        world.take(event);
        world.all_running() <= LIMIT
    })
}

#[test]
fn tasks_running_never_pass_the_limit() {
    const TESTS: u64 = 20_000;
    const EVENTS: usize = 60;
    let generator = Gen::from_size_and_seed(EVENTS, 7);
    QuickCheck::new()
        .rng(generator)
        .tests(TESTS)
        .quickcheck(never_more_than_the_limit as fn(Vec<Event>) -> bool);
}

#[test]
fn what_is_lent_counts_against_a_lower_base() {
    let now = Instant::now();
    let mut part = Quota::new(4);
    let loan = part.lend(now, 2, 0, DEADLINE).unwrap();
    part.lower_base(3);
    assert_eq!(part.limit(now), 1);
    part.on_repaid(loan.id);
    assert_eq!(part.limit(now), 3);
    part.set_base(6);
    assert_eq!(part.limit(now), 6);
}
