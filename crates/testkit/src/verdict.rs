//! Compares the answers that callers received with the starts that endpoints recorded.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use cowslipwing_proto::{JobState, TaskOutcome};

use crate::caller::Reply;

/// A submitted job and the last reply to it.
#[derive(Clone, Debug)]
pub struct Submission {
    customer: String,
    key: String,
    tasks: u32,
    reply: Option<Reply>,
    attempts: u32,
    elapsed: Duration,
}

impl Submission {
    /// Creates the record of a job with `tasks` tasks. `reply` is the last reply that its caller
    /// received in `attempts` attempts, and `elapsed` the time from the first attempt to the end.
    pub fn new(
        customer: &str,
        key: &str,
        tasks: u32,
        reply: Option<Reply>,
        attempts: u32,
        elapsed: Duration,
    ) -> Self {
        let (customer, key) = (customer.to_owned(), key.to_owned());
        Self { customer, key, tasks, reply, attempts, elapsed }
    }

    /// Returns the name under which endpoints record a task of the job.
    fn task_name(&self, index: u32) -> String {
        format!("{}#{}[{index}]", self.customer, self.key)
    }
}

/// The number of starts of each task and the peak concurrency of each customer, as recorded by
/// endpoints.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    starts: BTreeMap<String, u32>,
    peaks: BTreeMap<String, u32>,
}

impl Ledger {
    /// Parses the ledger lines of endpoints: `+ MICROS TASK` for a start and `- MICROS TASK` for an
    /// end, with the Unix time in microseconds. Lines with fewer fields are skipped.
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
        let mut events: Vec<(u64, i32, String)> = Vec::new();
        for line in lines {
            let mut fields = line.splitn(3, ' ');
            let (Some(sign), Some(micros), Some(task)) =
                (fields.next(), fields.next(), fields.next())
            else {
                continue;
            };
            let delta = if sign == "+" { 1 } else { -1 };
            if delta > 0 {
                *ledger.starts.entry(task.to_owned()).or_insert(0) += 1;
            }
            let customer = task.split('#').next().unwrap_or_default().to_owned();
            events.push((micros.parse().unwrap_or(0), delta, customer));
        }
        events.sort();
        ledger.compute_peaks(events);
        ledger
    }

    fn compute_peaks(&mut self, events: Vec<(u64, i32, String)>) {
        let mut running: BTreeMap<String, i32> = BTreeMap::new();
        for (_, delta, customer) in events {
            let running_now = running.entry(customer.clone()).or_insert(0);
            *running_now += delta;
            let peak = self.peaks.entry(customer).or_insert(0);
            *peak = (*peak).max(u32::try_from(*running_now).unwrap_or(0));
        }
    }

    /// Returns the highest number of tasks of a customer that ran at the same time.
    pub fn peak_concurrency(&self, customer: &str) -> u32 {
        self.peaks.get(customer).copied().unwrap_or(0)
    }

    /// Returns the number of tasks that were started more than once.
    pub fn duplicate_starts(&self) -> usize {
        self.starts.values().filter(|count| **count > 1).count()
    }

    /// Returns the number of starts of a task.
    pub fn start_count(&self, task: &str) -> u32 {
        self.starts.get(task).copied().unwrap_or(0)
    }

    /// Returns the number of starts of all tasks.
    pub fn total_starts(&self) -> u32 {
        self.starts.values().sum()
    }
}

/// The result of a scenario.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Number of jobs submitted.
    pub submissions: usize,
    /// Jobs answered as complete, with all tasks done.
    pub complete: usize,
    /// Jobs answered as failed, none of whose tasks is answered as "may have run" or as an error.
    pub not_run: usize,
    /// Jobs of which a task may have run, according to their answer or the kind of their refusal.
    pub may_have_run: usize,
    /// Jobs answered as failed with a task that returned an error, and none that "may have run".
    pub errors: usize,
    /// Jobs whose last reply was a refusal that rules out that a task has run.
    pub refused: usize,
    /// Jobs without a final answer.
    pub unanswered: usize,
    /// Tasks that were started more than once.
    pub double_starts: usize,
    /// Tasks that were started although they were answered as not run or their job was refused.
    pub false_not_run: usize,
    /// Tasks that were answered as done or with an error, but never started.
    pub false_done: usize,
    /// Answers with missing or unordered tasks, or that are complete although a task is not done.
    pub partial: usize,
    /// Tasks answered as "may have run" without a start. The guarantees allow them.
    pub avoidable: usize,
    /// Number of retries of all callers.
    pub came_back: u32,
    /// Longest time from a first attempt to the last reply, or to giving up.
    pub longest_wait: Duration,
    /// Distinct kinds of the refusals.
    pub refusal_kinds: Vec<String>,
}

impl Verdict {
    /// Evaluates submissions against the starts that endpoints recorded.
    pub fn evaluate(submissions: &[Submission], ledger: &Ledger) -> Self {
        let mut verdict = Self {
            submissions: submissions.len(),
            double_starts: ledger.duplicate_starts(),
            ..Self::default()
        };
        for submission in submissions {
            verdict.count_submission(submission, ledger);
        }
        verdict
    }

    /// Returns whether every guarantee holds: no duplicate start, no wrong or incomplete answer and
    /// no job without an answer.
    pub fn guarantees_hold(&self) -> bool {
        let violations = [self.double_starts, self.false_not_run, self.false_done, self.partial];
        violations.iter().all(|count| *count == 0) && self.unanswered == 0
    }

    fn count_submission(&mut self, submission: &Submission, ledger: &Ledger) {
        self.came_back += submission.attempts.saturating_sub(1);
        self.longest_wait = self.longest_wait.max(submission.elapsed);
        let Some(reply) = &submission.reply else {
            self.unanswered += 1;
            return;
        };
        let Some(answer) = reply.job_answer() else {
            self.count_refusal(submission, reply, ledger);
            return;
        };
        let indexes = answer.tasks.iter().map(|task| task.index);
        if !indexes.eq(0..submission.tasks) {
            self.partial += 1;
        }
        let outcomes: Vec<TaskOutcome> = answer.tasks.iter().map(|task| task.outcome()).collect();
        for (index, outcome) in (0..).zip(&outcomes) {
            self.count_task(*outcome, ledger.start_count(&submission.task_name(index)));
        }
        let has = |expected| outcomes.contains(&expected);
        match answer.state() {
            JobState::Complete if outcomes.iter().all(|outcome| *outcome == TaskOutcome::Done) => {
                self.complete += 1;
            }
            JobState::Complete => self.partial += 1,
            JobState::Running => self.unanswered += 1,
            JobState::Failed if has(TaskOutcome::MayHaveRun) => self.may_have_run += 1,
            JobState::Failed if has(TaskOutcome::Error) => self.errors += 1,
            JobState::Failed => self.not_run += 1,
        }
    }

    fn count_refusal(&mut self, submission: &Submission, reply: &Reply, ledger: &Ledger) {
        /// Kinds of refusals after which the job may have run.
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

    fn count_task(&mut self, outcome: TaskOutcome, starts: u32) {
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
