//! The language of scenarios.
//!
//! Each line is one step. A line that begins with `#` is a comment. `N` is a whole number, `D` a
//! duration such as `500ms`.
//!
//! ```text
//! entry NAME...                    start entries, or start them again
//! endpoint NAME... [slots=N] [slowdown=N]   start endpoints and their agents, or the agents again
//! ready ENDPOINTS                  wait until all entries are ready and each lists at least this
//!                                  many usable endpoints
//! contract CUSTOMER [share=N] [concurrency=N] [deadline=D] [open_jobs=N]
//!                                  publish the first contract of a customer
//! amend CUSTOMER base=N outcome=STATUS
//!                                  amend the contract, with the same options, and check the status
//! load CUSTOMER jobs=N tasks=N body="..." over=D [batch=B] [patience=D]
//!                                  start callers that submit jobs, spread over the time of `over`,
//!                                  and retry until they have an answer, at most for `patience`
//! sleep D
//! kill NAME | freeze NAME | thaw NAME | stop NAME
//!                                  send SIGKILL, SIGSTOP, SIGCONT or SIGTERM to a daemon; `stop`
//!                                  waits until the daemon has exited
//! freeze-endpoint NAME | thaw-endpoint NAME
//!                                  send SIGSTOP or SIGCONT to an endpoint
//! cut NAME NAME | heal NAME NAME   cut or restore the link between two processes; "store" names
//!                                  the platform's store
//! store up | store down            the store replies normally, or answers each request with 503
//! store silent | store slow=D      the store does not reply, or replies after a delay
//! store lose=N                     the store executes the next N writes without replying to them
//! store forget | store retain=N    the store drops its history, or limits each topic to N records
//! withdraw-endpoint NAME | withdraw-batch CUSTOMER BATCH
//! evacuate-site NAME | return-site NAME
//! idle NAME within=D for=D         wait for `within`, then check that the endpoint starts no task
//!                                  during the time of `for`
//! finish                           wait for the callers of all loads and evaluate their answers
//! expect FIGURE OP NUMBER          check a figure of the verdict; OP is = or < or >
//! expect peak:CUSTOMER OP NUMBER   check the highest number of concurrent tasks of a customer
//! holds                            check that every guarantee holds: no task was started twice, no
//!                                  answer is wrong or incomplete, and no job is without an answer
//! ```

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cowslipwing_standin::platform::StoreBehaviour;
use cowslipwing_types::parse_duration;
use snafu::{OptionExt, ensure};
use volo_http::http::Method;

use crate::caller::Caller;
use crate::cluster::Cluster;
use crate::error::{
    ExpectationFailedSnafu, InvalidStepSnafu, TestkitError, TimedOutSnafu, UnknownProcessSnafu,
};
use crate::load::{Load, LoadPlan};
use crate::verdict::{Ledger, Submission, Verdict};

/// Time after which a step that waits for readiness or for a stop fails.
const WAIT_LIMIT: Duration = Duration::from_secs(40);
/// Pause after the load in which late messages may still arrive and start tasks.
const LATE_MESSAGE_PAUSE: Duration = Duration::from_millis(1500);

/// A line of a scenario, split into words and `NAME=VALUE` options.
#[derive(Clone, Debug)]
struct Step {
    line: usize,
    text: String,
    words: Vec<String>,
    options: BTreeMap<String, String>,
}

/// A parsed scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    steps: Vec<Step>,
}

impl Scenario {
    /// Parses the text of a scenario. Steps are checked only when they run.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_testkit::Scenario;
    ///
    /// let scenario = Scenario::parse("# two entries\nentry a b\nready 0\n");
    /// assert_eq!(scenario.len(), 2);
    /// ```
    pub fn parse(text: &str) -> Self {
        let lines = (1..).zip(text.lines().map(str::trim));
        let steps = lines.filter(|(_, text)| !text.is_empty() && !text.starts_with('#'));
        Self { steps: steps.map(|(line, text)| Step::parse(line, text)).collect() }
    }

    /// Returns the number of steps.
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// Returns whether the scenario has no steps.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Runs the steps in order on a new cluster and returns the verdict of the last `finish`.
    ///
    /// # Errors
    ///
    /// Returns the error of the first step that fails, after printing the verdict and the logs of
    /// the daemons.
    pub async fn run(&self) -> Result<Verdict, TestkitError> {
        let mut run = ScenarioRun::start().await?;
        for step in &self.steps {
            if let Err(error) = run.execute(step).await {
                println!("{}\n{}", run.verdict, run.cluster.logs());
                return Err(error);
            }
        }
        Ok(run.verdict)
    }
}

impl Step {
    fn parse(line: usize, text: &str) -> Self {
        let mut words = Vec::new();
        let mut options = BTreeMap::new();
        for word in split_words(text) {
            match word.split_once('=') {
                Some((name, value)) if !name.is_empty() => {
                    options.insert(name.to_owned(), value.to_owned());
                }
                _ => words.push(word),
            }
        }
        Self { line, text: text.to_owned(), words, options }
    }

    fn invalid(&self, remedy: &'static str) -> TestkitError {
        InvalidStepSnafu { line: self.line, text: &self.text, remedy }.build()
    }

    /// Returns the word at `position`; the name of the step is at 0.
    fn word(&self, position: usize) -> Result<&str, TestkitError> {
        self.words
            .get(position)
            .map(String::as_str)
            .ok_or_else(|| self.invalid("add the missing word"))
    }

    fn option(&self, name: &str) -> Option<&str> {
        self.options.get(name).map(String::as_str)
    }

    fn number(&self, name: &str, default: u32) -> Result<u32, TestkitError> {
        match self.option(name) {
            Some(text) => text.parse().map_err(|_| self.invalid("give a whole number")),
            None => Ok(default),
        }
    }

    fn duration(&self, name: &str, default: &str) -> Result<Duration, TestkitError> {
        let text = self.option(name).unwrap_or(default);
        parse_duration(text).map_err(|_| self.invalid("give a duration such as 500ms"))
    }
}

/// Splits `text` at spaces outside double quotes and removes the quotes.
fn split_words(text: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quoted = false;
    for character in text.chars() {
        match character {
            '"' => quoted = !quoted,
            ' ' if !quoted => words.push(String::new()),
            _ => words.last_mut().expect("the list is never empty").push(character),
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

/// The state of a running scenario.
struct ScenarioRun {
    cluster: Cluster,
    caller: Caller,
    /// Addresses of the entries that callers use, shared with the loads.
    entry_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    loads: Vec<Load>,
    submissions: Vec<Submission>,
    verdict: Verdict,
    ledger: Ledger,
}

impl ScenarioRun {
    async fn start() -> Result<Self, TestkitError> {
        Ok(Self {
            cluster: Cluster::start().await?,
            caller: Caller::new(),
            entry_addresses: Arc::default(),
            loads: Vec::new(),
            submissions: Vec::new(),
            verdict: Verdict::default(),
            ledger: Ledger::default(),
        })
    }

    async fn execute(&mut self, step: &Step) -> Result<(), TestkitError> {
        match step.word(0)? {
            "entry" => self.start_entries(step).await,
            "endpoint" => self.start_endpoints(step).await,
            "ready" => self.wait_ready(step).await,
            "contract" => self.publish_contract(step).await,
            "amend" => self.amend_contract(step).await,
            "load" => self.start_load(step),
            "sleep" => self.sleep(step).await,
            "kill" | "freeze" | "thaw" | "stop" => self.signal_daemon(step).await,
            "freeze-endpoint" | "thaw-endpoint" => self.signal_endpoint(step),
            "cut" | "heal" => self.change_link(step),
            "store" => self.change_store(step),
            "withdraw-endpoint" | "withdraw-batch" | "evacuate-site" | "return-site" => {
                self.withdraw(step).await
            }
            "idle" => self.expect_idle(step).await,
            "finish" => self.finish_loads().await,
            "expect" => self.expect_figure(step),
            "holds" => self.expect_guarantees(step),
            _ => Err(step.invalid("use a step that crates/testkit/src/scenario.rs lists")),
        }
    }

    async fn start_entries(&mut self, step: &Step) -> Result<(), TestkitError> {
        for name in &step.words[1..] {
            self.cluster.start_entry(name).await?;
        }
        self.update_entry_addresses();
        Ok(())
    }

    async fn start_endpoints(&mut self, step: &Step) -> Result<(), TestkitError> {
        let (slots, slowdown) = (step.number("slots", 4)?, step.number("slowdown", 1)?);
        for name in &step.words[1..] {
            self.cluster.start_endpoint(name, slots, slowdown).await?;
        }
        Ok(())
    }

    async fn wait_ready(&mut self, step: &Step) -> Result<(), TestkitError> {
        let endpoints = step.word(1)?.parse().map_err(|_| step.invalid("give a number"))?;
        let ready = self.cluster.wait_ready(endpoints, WAIT_LIMIT).await;
        ensure!(ready, TimedOutSnafu { line: step.line, what: "all entries to be ready" });
        Ok(())
    }

    async fn publish_contract(&mut self, step: &Step) -> Result<(), TestkitError> {
        let status = self.put_contract(step, 0).await?;
        ensure!(
            status == 200,
            ExpectationFailedSnafu {
                line: step.line,
                expected: "status 200",
                actual: status.to_string()
            }
        );
        Ok(())
    }

    async fn amend_contract(&mut self, step: &Step) -> Result<(), TestkitError> {
        let base = step.number("base", 1)?;
        let expected = step.number("outcome", 200)?;
        let actual = u32::from(self.put_contract(step, base).await?);
        ensure!(
            actual == expected,
            ExpectationFailedSnafu {
                line: step.line,
                expected: expected.to_string(),
                actual: actual.to_string()
            }
        );
        Ok(())
    }

    /// Sends a contract based on version `base` and returns the status, or 0 if no reply came.
    async fn put_contract(&self, step: &Step, base: u32) -> Result<u16, TestkitError> {
        let contract = serde_json::json!({
            "share": step.number("share", 1)?,
            "concurrency": step.number("concurrency", 1000)?,
            "deadline": step.option("deadline").unwrap_or("10s"),
            "refusals": "5%",
            "open_jobs": step.number("open_jobs", 1000)?,
        });
        let path = format!("/v1/contracts/{}?base={base}", step.word(1)?);
        let entry = self.first_entry_address(step)?;
        let reply = self.caller.send(entry, Method::PUT, &path, &[], &contract.to_string()).await;
        Ok(reply.map_or(0, |reply| reply.status))
    }

    fn start_load(&mut self, step: &Step) -> Result<(), TestkitError> {
        let plan = LoadPlan {
            customer: step.word(1)?.to_owned(),
            batch: step.option("batch").unwrap_or_default().to_owned(),
            jobs: step.number("jobs", 10)?,
            tasks: step.number("tasks", 4)?,
            body: step.option("body").unwrap_or("sleep 50").to_owned(),
            submit_period: step.duration("over", "1s")?,
            retry_timeout: step.duration("patience", "20s")?,
        };
        self.loads.push(Load::start(plan, self.entry_addresses.clone()));
        Ok(())
    }

    async fn sleep(&mut self, step: &Step) -> Result<(), TestkitError> {
        let text = step.word(1)?;
        let duration =
            parse_duration(text).map_err(|_| step.invalid("give a duration such as 500ms"))?;
        tokio::time::sleep(duration).await;
        Ok(())
    }

    async fn signal_daemon(&mut self, step: &Step) -> Result<(), TestkitError> {
        let name = self.process_name(step, 1)?.to_owned();
        match step.word(0)? {
            "kill" => self.cluster.kill(&name),
            "stop" => {
                self.remove_entry_address(&name);
                let stopped = self.cluster.stop(&name, WAIT_LIMIT).await;
                ensure!(
                    stopped,
                    TimedOutSnafu { line: step.line, what: format!("{name} to stop") }
                );
            }
            action => {
                let unknown_process = UnknownProcessSnafu { line: step.line, name: &name };
                let process = self.cluster.daemon_process(&name).context(unknown_process)?;
                if action == "freeze" { process.freeze() } else { process.thaw() }
            }
        }
        self.update_entry_addresses();
        Ok(())
    }

    fn signal_endpoint(&mut self, step: &Step) -> Result<(), TestkitError> {
        let name = step.word(1)?.to_owned();
        let unknown_process = UnknownProcessSnafu { line: step.line, name: &name };
        let process = self.cluster.endpoint_process(&name).context(unknown_process)?;
        if step.word(0)? == "freeze-endpoint" {
            process.freeze()
        } else {
            process.thaw()
        }
        Ok(())
    }

    fn change_link(&mut self, step: &Step) -> Result<(), TestkitError> {
        let (first, second) = (self.process_name(step, 1)?, self.process_name(step, 2)?);
        match step.word(0)? {
            "cut" => self.cluster.cut_link(first, second),
            _ => self.cluster.heal_link(first, second),
        }
        Ok(())
    }

    fn change_store(&mut self, step: &Step) -> Result<(), TestkitError> {
        let store = self.cluster.store();
        match step.words.get(1).map(String::as_str) {
            Some("up") => store.set_behaviour(StoreBehaviour::Normal),
            Some("down") => store.set_behaviour(StoreBehaviour::Unavailable),
            Some("silent") => store.set_behaviour(StoreBehaviour::Unresponsive),
            Some("forget") => store.drop_history(),
            Some(_) => {
                return Err(step.invalid("give up, down, silent, forget, slow=, lose= or retain="));
            }
            None if step.option("slow").is_some() => {
                store.set_behaviour(StoreBehaviour::Slow(step.duration("slow", "0ms")?));
            }
            None if step.option("retain").is_some() => {
                store.set_retention(step.number("retain", 0)? as usize);
            }
            None => {
                store.set_behaviour(StoreBehaviour::DroppingNextReplies(step.number("lose", 0)?))
            }
        }
        Ok(())
    }

    async fn withdraw(&mut self, step: &Step) -> Result<(), TestkitError> {
        let path = match step.word(0)? {
            "withdraw-endpoint" => format!("/v1/endpoints/{}/withdraw", step.word(1)?),
            "evacuate-site" => format!("/v1/sites/{}/evacuate", step.word(1)?),
            "return-site" => format!("/v1/sites/{}/return", step.word(1)?),
            _ => format!("/v1/batches/{}/{}/withdraw", step.word(1)?, step.word(2)?),
        };
        let entry = self.first_entry_address(step)?;
        let reply = self.caller.send(entry, Method::POST, &path, &[], "").await;
        let actual = reply.map_or(0, |reply| reply.status);
        ensure!(
            actual == 200,
            ExpectationFailedSnafu {
                line: step.line,
                expected: "status 200",
                actual: actual.to_string()
            }
        );
        Ok(())
    }

    /// Checks that an endpoint starts no task during a period that begins after a delay.
    async fn expect_idle(&mut self, step: &Step) -> Result<(), TestkitError> {
        let name = self.process_name(step, 1)?.to_owned();
        tokio::time::sleep(step.duration("within", "3s")?).await;
        let starts_before = self.cluster.endpoint_starts(&name);
        tokio::time::sleep(step.duration("for", "1s")?).await;
        let starts_after = self.cluster.endpoint_starts(&name);
        ensure!(
            starts_before == starts_after,
            ExpectationFailedSnafu {
                line: step.line,
                expected: format!("{starts_before} starts"),
                actual: starts_after.to_string()
            }
        );
        Ok(())
    }

    async fn finish_loads(&mut self) -> Result<(), TestkitError> {
        for load in std::mem::take(&mut self.loads) {
            self.submissions.extend(load.finish().await);
        }
        tokio::time::sleep(LATE_MESSAGE_PAUSE).await;
        self.ledger = self.cluster.ledger();
        self.verdict = Verdict::evaluate(&self.submissions, &self.ledger);
        println!("{} starts={}", self.verdict, self.ledger.total_starts());
        Ok(())
    }

    fn expect_figure(&mut self, step: &Step) -> Result<(), TestkitError> {
        let remedy = "write expect FIGURE OP NUMBER, with = or < or > as OP";
        let figure = self
            .figure_value(step.word(1)?)
            .ok_or_else(|| step.invalid("use a figure of the verdict or peak:CUSTOMER"))?;
        let expected: u64 = step.word(3)?.parse().map_err(|_| step.invalid(remedy))?;
        let holds = match step.word(2)? {
            "=" => figure == expected,
            "<" => figure < expected,
            ">" => figure > expected,
            _ => return Err(step.invalid(remedy)),
        };
        ensure!(
            holds,
            ExpectationFailedSnafu {
                line: step.line,
                expected: step.words[1..].join(" "),
                actual: figure.to_string()
            }
        );
        Ok(())
    }

    fn expect_guarantees(&mut self, step: &Step) -> Result<(), TestkitError> {
        ensure!(
            self.verdict.guarantees_hold(),
            ExpectationFailedSnafu {
                line: step.line,
                expected: "every guarantee to hold",
                actual: self.verdict.to_string()
            }
        );
        Ok(())
    }

    /// Returns a figure of the verdict by its name in scenarios.
    fn figure_value(&self, name: &str) -> Option<u64> {
        if let Some(customer) = name.strip_prefix("peak:") {
            return Some(u64::from(self.ledger.peak_concurrency(customer)));
        }
        let verdict = &self.verdict;
        let count = match name {
            "submissions" => verdict.submissions,
            "complete" => verdict.complete,
            "not_run" => verdict.not_run,
            "may_have_run" => verdict.may_have_run,
            "errors" => verdict.errors,
            "refused" => verdict.refused,
            "unanswered" => verdict.unanswered,
            "double_starts" => verdict.double_starts,
            "false_not_run" => verdict.false_not_run,
            "avoidable" => verdict.avoidable,
            _ => return None,
        };
        Some(count as u64)
    }

    /// Returns the word at `position` if it is the name of a known process.
    fn process_name<'a>(&self, step: &'a Step, position: usize) -> Result<&'a str, TestkitError> {
        let name = step.word(position)?;
        ensure!(self.cluster.contains(name), UnknownProcessSnafu { line: step.line, name });
        Ok(name)
    }

    /// Returns the address of a running entry.
    fn first_entry_address(&self, step: &Step) -> Result<SocketAddr, TestkitError> {
        let entry_addresses = self.cluster.entry_addresses();
        entry_addresses.first().copied().ok_or_else(|| step.invalid("start an entry first"))
    }

    /// Lets callers use the entries that are running.
    fn update_entry_addresses(&self) {
        let entry_addresses = self.cluster.entry_addresses();
        *self.entry_addresses.lock().expect("the mutex of the entry addresses is never poisoned") =
            entry_addresses;
    }

    /// Removes an entry from those that callers use, as a load balancer does with an entry that is
    /// not ready.
    fn remove_entry_address(&self, name: &str) {
        let removed = self.cluster.entry_address(name);
        let mut entry_addresses = self
            .entry_addresses
            .lock()
            .expect("the mutex of the entry addresses is never poisoned");
        entry_addresses.retain(|entry| Some(*entry) != removed);
    }
}
