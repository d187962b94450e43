//! The answers of ended jobs, for copies of their requests.
//!
//! A copy of a request may arrive seconds after the job was answered. It is not a new job: it gets the
//! same answer, and nothing runs again. Jobs that were refused or given up are not remembered, because
//! their callers send them again on purpose.

use std::collections::VecDeque;
use std::time::Duration;

use cowslipwing_types::SortedMap;

use crate::id::RequestId;
use crate::job::Answer;

/// Time for which an answer is remembered at least.
const RETENTION: Duration = Duration::from_secs(30);
/// Time in which answers are collected into one generation.
const GENERATION_TIME: Duration = Duration::from_secs(5);
/// Maximum number of answers of a generation; later ones are not remembered. It bounds the memory,
/// and is more than an entry answers in that time.
const MAX_ANSWERS: usize = 8192;

/// The answers that were given within a time.
#[derive(Clone, Debug)]
struct Generation {
    since: Duration,
    answers: SortedMap<RequestId, Answer>,
}

/// The answers of jobs that have ended.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::{Answer, EndedJobs};
///
/// let id = "5c0e7a21d94b36f8".parse().unwrap();
/// let mut ended = EndedJobs::default();
/// ended.insert(Duration::ZERO, &id, Answer::Cancelled);
/// assert_eq!(ended.get(&id), Some(Answer::Cancelled));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndedJobs {
    /// Oldest first.
    generations: VecDeque<Generation>,
}

impl EndedJobs {
    /// Remembers the answer to a job if the job has ended for good.
    pub fn insert(&mut self, now: Duration, id: &RequestId, answer: Answer) {
        if !matches!(answer, Answer::Completed | Answer::Failed | Answer::Cancelled) {
            return;
        }
        self.expire(now);
        let is_current = |generation: &Generation| now < generation.since + GENERATION_TIME;
        if !self.generations.back().is_some_and(is_current) {
            self.generations.push_back(Generation { since: now, answers: SortedMap::new() });
        }
        if let Some(generation) = self.generations.back_mut()
            && generation.answers.len() < MAX_ANSWERS
        {
            generation.answers.insert(id.clone(), answer);
        }
    }

    /// Returns the answer to a job that has ended recently.
    pub fn get(&self, id: &RequestId) -> Option<Answer> {
        self.generations.iter().rev().find_map(|generation| generation.answers.get(id).copied())
    }

    fn expire(&mut self, now: Duration) {
        let is_expired =
            |generation: &Generation| now >= generation.since + GENERATION_TIME + RETENTION;
        while self.generations.front().is_some_and(is_expired) {
            self.generations.pop_front();
        }
    }
}
