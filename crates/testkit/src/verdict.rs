//! Compares what callers were answered with what endpoints counted.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use cowslipwing_proto::{JobState, TaskOutcome};

use crate::caller::Reply;

/// One submission and its last answer.
#[derive(Clone, Debug)]
pub struct Submission {
    customer: String,
    key: String,
    tasks: u32,
    reply: Option<Reply>,
    tries: u32,
    took: Duration,
}

impl Submission {
    /// Returns a submission with the last answer that its caller had.
    pub fn new(
        customer: &str,
        key: &str,
        tasks: u32,
        reply: Option<Reply>,
        tries: u32,
        took: Duration,
    ) -> Self {
        let (customer, key) = (customer.to_owned(), key.to_owned());
        Self { customer, key, tasks, reply, tries, took }
    }

    fn task_name(&self, index: u32) -> String {
        format!("{}#{}[{index}]", self.customer, self.key)
    }
}

/// What the endpoints recorded: the starts of each task, and how many ran at once.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    starts: BTreeMap<String, u32>,
    peaks: BTreeMap<String, u32>,
}

impl Ledger {
    /// Reads the lines of the endpoints, `+ MICROS TASK` for a start and `- MICROS TASK` for an end.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_testkit::Ledger;
    ///
    /// let lines = ["+ 1 gym#1[0]", "- 5 gym#1[0]", "+ 6 gym#1[0]", "+ 3 gym#2[0]"];
    /// let ledger = Ledger::new(lines.map(String::from));
    /// assert_eq!(ledger.duplicate_starts(), 1);
    /// assert_eq!(ledger.peak_concurrency("gym"), 2);
    /// ```
    pub fn new<I>(lines: I) -> Self
    where
        I: IntoIterator<Item = String>,
    {
        let mut ledger = Self::default();
        let mut moments: Vec<(u64, i32, String)> = Vec::new();
        for line in lines {
            let mut words = line.splitn(3, ' ');
            let (Some(sign), Some(micros), Some(task)) = (words.next(), words.next(), words.next())
            else {
                continue;
            };
            let change = if sign == "+" { 1 } else { -1 };
            if change > 0 {
                *ledger.starts.entry(task.to_owned()).or_insert(0) += 1;
            }
            let customer = task.split('#').next().unwrap_or_default().to_owned();
            moments.push((micros.parse().unwrap_or(0), change, customer));
        }
        moments.sort();
        ledger.find_peaks(moments);
        ledger
    }

    fn find_peaks(&mut self, moments: Vec<(u64, i32, String)>) {
        let mut running: BTreeMap<String, i32> = BTreeMap::new();
        for (_, change, customer) in moments {
            let now = running.entry(customer.clone()).or_insert(0);
            *now += change;
            let peak = self.peaks.entry(customer).or_insert(0);
            *peak = (*peak).max(u32::try_from(*now).unwrap_or(0));
        }
    }

    /// Returns how many tasks of a customer ran at once at the most.
    pub fn peak_concurrency(&self, customer: &str) -> u32 {
        self.peaks.get(customer).copied().unwrap_or(0)
    }

    /// Returns the number of tasks that started more than once.
    pub fn duplicate_starts(&self) -> usize {
        self.starts.values().filter(|count| **count > 1).count()
    }

    /// Returns how often a task started.
    pub fn start_count(&self, task: &str) -> u32 {
        self.starts.get(task).copied().unwrap_or(0)
    }

    /// Returns the number of starts.
    pub fn total_starts(&self) -> u32 {
        self.starts.values().sum()
    }
}

/// What came of a scenario.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Jobs submitted.
    pub submissions: usize,
    /// Jobs whose every task ran.
    pub complete: usize,
    /// Jobs that failed, with no task that may have run.
    pub not_run: usize,
    /// Jobs that failed, with a task that may have run.
    pub may_have_run: usize,
    /// Jobs that failed since a task ran and reported an error.
    pub errors: usize,
    /// Jobs refused for good.
    pub refused: usize,
    /// Jobs without an answer.
    pub unanswered: usize,
    /// Tasks that started more than once.
    pub double_starts: usize,
    /// Tasks answered as not run that started.
    pub false_not_run: usize,
    /// Tasks answered as done that did not start.
    pub false_done: usize,
    /// Answers that lack tasks or have them out of order.
    pub partial: usize,
    /// Tasks answered as "may have run" that never started.
    pub avoidable: usize,
    /// Times callers had to come back.
    pub came_back: u32,
    /// Longest wait for an answer.
    pub longest_wait: Duration,
    /// Kinds of the refusals.
    pub refusal_kinds: Vec<String>,
}

impl Verdict {
    /// Judges submissions by the starts that endpoints counted.
    pub fn evaluate(submissions: &[Submission], ledger: &Ledger) -> Self {
        let mut verdict = Self {
            submissions: submissions.len(),
            double_starts: ledger.duplicate_starts(),
            ..Self::default()
        };
        for submission in submissions {
            verdict.add(submission, ledger);
        }
        verdict
    }

    /// Tells whether every promise was kept.
    pub fn guarantees_hold(&self) -> bool {
        let broken = [self.double_starts, self.false_not_run, self.false_done, self.partial];
        broken.iter().all(|count| *count == 0) && self.unanswered == 0
    }

    fn add(&mut self, submission: &Submission, ledger: &Ledger) {
        self.came_back += submission.tries.saturating_sub(1);
        self.longest_wait = self.longest_wait.max(submission.took);
        let Some(reply) = &submission.reply else {
            self.unanswered += 1;
            return;
        };
        let Some(answer) = reply.job_answer() else {
            self.add_refusal(submission, reply, ledger);
            return;
        };
        let indexes = answer.tasks.iter().map(|task| task.index);
        if !indexes.eq(0..submission.tasks) {
            self.partial += 1;
        }
        let outcomes: Vec<TaskOutcome> = answer.tasks.iter().map(|task| task.outcome()).collect();
        for (index, outcome) in (0..).zip(&outcomes) {
            self.add_task(*outcome, ledger.start_count(&submission.task_name(index)));
        }
        let has = |wanted| outcomes.contains(&wanted);
        match answer.state() {
            JobState::Complete if outcomes.iter().all(|o| *o == TaskOutcome::Done) => {
                self.complete += 1;
            }
            JobState::Complete => self.partial += 1,
            JobState::Running => self.unanswered += 1,
            JobState::Failed if has(TaskOutcome::MayHaveRun) => self.may_have_run += 1,
            JobState::Failed if has(TaskOutcome::Error) => self.errors += 1,
            JobState::Failed => self.not_run += 1,
        }
    }

    fn add_refusal(&mut self, submission: &Submission, reply: &Reply, ledger: &Ledger) {
        const MAY_HAVE_RUN: [&str; 3] = ["owner_lost", "key_too_old", "key_reused"];
        let kind = reply.problem().map(|problem| problem.kind).unwrap_or_default();
        if MAY_HAVE_RUN.contains(&kind.as_str()) {
            self.may_have_run += 1;
            return;
        }
        self.refused += 1;
        if !self.refusal_kinds.contains(&kind) {
            self.refusal_kinds.push(kind);
        }
        let started = |index| ledger.start_count(&submission.task_name(index)) > 0;
        self.false_not_run += (0..submission.tasks).filter(|index| started(*index)).count();
    }

    fn add_task(&mut self, outcome: TaskOutcome, starts: u32) {
        match outcome {
            TaskOutcome::Done | TaskOutcome::Error if starts == 0 => self.false_done += 1,
            TaskOutcome::NotRun if starts > 0 => self.false_not_run += 1,
            TaskOutcome::MayHaveRun if starts == 0 => self.avoidable += 1,
            _ => {}
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "submissions={} complete={} not_run={} may_have_run={} errors={} refused={} \
             unanswered={} double_starts={} false_not_run={} false_done={} partial={} avoidable={} \
             came_back={} longest_wait_ms={} refusals={}",
            self.submissions,
            self.complete,
            self.not_run,
            self.may_have_run,
            self.errors,
            self.refused,
            self.unanswered,
            self.double_starts,
            self.false_not_run,
            self.false_done,
            self.partial,
            self.avoidable,
            self.came_back,
            self.longest_wait.as_millis(),
            self.refusal_kinds.join(","),
        )
    }
}
