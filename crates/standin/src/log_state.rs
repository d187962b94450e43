//! An append-only log in memory with switchable faults.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cowslipwing_proto::{Faults, LogRecord, ReadReply};
use snafu::Snafu;

/// Span over which the append rate is counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// A call that the stand-in does not answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Refusal {
    /// The log is switched off.
    #[snafu(display("the log is down; try again later"))]
    Down,
    /// More appends came within a second than the log takes.
    #[snafu(display("too many appends; try again in a second"))]
    TooManyAppends,
    /// The record was written, and its reply is lost.
    #[snafu(display("the reply was lost; read the log back"))]
    ReplyLost,
}

/// The records kept and the faults in force.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cowslipwing_standin::LogState;
///
/// let mut log = LogState::default();
/// assert_eq!(log.append(Instant::now(), b"one".to_vec()), Ok(0));
/// assert_eq!(log.read(0, 10).unwrap().tail, 1);
/// ```
#[derive(Debug, Default)]
pub struct LogState {
    records: VecDeque<Vec<u8>>,
    first: u64,
    faults: Faults,
    recent: VecDeque<Instant>,
}

impl LogState {
    /// Sets the faults in force.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
        self.forget_old();
    }

    /// Returns the time by which each call is delayed.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.faults.delay_ms)
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`Refusal::ReplyLost`] comes after the record was written.
    pub fn append(&mut self, now: Instant, record: Vec<u8>) -> Result<u64, Refusal> {
        if self.faults.down {
            return Err(Refusal::Down);
        }
        self.count_append(now)?;
        let offset = self.tail();
        self.records.push_back(record);
        self.forget_old();
        if self.faults.lose_replies > 0 {
            self.faults.lose_replies -= 1;
            return Err(Refusal::ReplyLost);
        }
        Ok(offset)
    }

    /// Reads at most `most` records from an offset on.
    ///
    /// # Errors
    ///
    /// Fails while the log is switched off.
    pub fn read(&self, from: u64, most: u32) -> Result<ReadReply, Refusal> {
        if self.faults.down {
            return Err(Refusal::Down);
        }
        let start = from.max(self.first);
        let skip = usize::try_from(start - self.first).unwrap_or(usize::MAX);
        let found = self.records.iter().skip(skip).take(most as usize);
        let number =
            |(at, record): (u64, &Vec<u8>)| LogRecord { offset: at, record: record.clone() };
        let records = (start..).zip(found).map(number).collect();
        Ok(ReadReply { records, first: self.first, tail: self.tail() })
    }

    fn tail(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn count_append(&mut self, now: Instant) -> Result<(), Refusal> {
        let limit = self.faults.appends_per_second as usize;
        while self.recent.front().is_some_and(|at| now.duration_since(*at) >= RATE_WINDOW) {
            self.recent.pop_front();
        }
        if limit > 0 && self.recent.len() >= limit {
            return Err(Refusal::TooManyAppends);
        }
        self.recent.push_back(now);
        Ok(())
    }

    fn forget_old(&mut self) {
        while self.faults.retain > 0 && self.records.len() as u64 > self.faults.retain {
            self.records.pop_front();
            self.first += 1;
        }
    }
}
