//! The language of scenarios.
//!
//! One step a line; `#` begins a comment:
//!
//! ```text
//! entry NAME...                    start entries, or start them anew
//! endpoint NAME [slots=N] [slowdown=N]   start an endpoint and its agent, or the agent anew
//! ready ENDPOINTS                  wait until all entries are ready and know the endpoints
//! contract CUSTOMER [concurrency=N] [deadline=D] [open_jobs=N]
//! amend CUSTOMER base=N outcome=STATUS
//! load CUSTOMER jobs=N tasks=N body="..." over=D [batch=B] [patience=D]
//! sleep D
//! kill NAME | freeze NAME | thaw NAME | stop NAME
//! freeze-endpoint NAME | thaw-endpoint NAME
//! cut NAME NAME | heal NAME NAME   "store" names the platform's store
//! store up | store down            it refuses every call
//! store silent | store slow=D | store lose=N   it answers nothing, late, not the next N writes
//! store forget | store retain=N    it drops its history, or keeps N records from now on
//! withdraw-endpoint NAME | withdraw-batch CUSTOMER BATCH
//! idle NAME within=D for=D         the endpoint starts nothing new from then on
//! finish                           wait for the load
//! expect FIGURE OP NUMBER          a figure of the verdict; OP is = or < or >
//! expect peak:CUSTOMER OP NUMBER   tasks of the customer that ran at once at the most
//! holds                            every promise was kept
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

/// Time in which processes must find one another, or stop.
const SETTLE_LIMIT: Duration = Duration::from_secs(40);
/// Time after the load in which late messages may still arrive.
const SETTLE_AFTER: Duration = Duration::from_millis(1500);

/// One line of a scenario.
#[derive(Clone, Debug)]
struct Step {
    line: usize,
    text: String,
    words: Vec<String>,
    options: BTreeMap<String, String>,
}

/// A scenario that was read.
#[derive(Clone, Debug)]
pub struct Scenario {
    steps: Vec<Step>,
}

impl Scenario {
    /// Reads the text of a scenario.
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

    /// Tells whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Runs the scenario and returns its verdict.
    ///
    /// # Errors
    ///
    /// Returns the first expectation that does not hold, with the logs of the processes printed.
    pub async fn run(&self) -> Result<Verdict, TestkitError> {
        let mut run = Run::start().await?;
        for step in &self.steps {
            if let Err(error) = run.step(step).await {
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

    fn bad(&self, remedy: &'static str) -> TestkitError {
        InvalidStepSnafu { line: self.line, text: &self.text, remedy }.build()
    }

    fn word(&self, at: usize) -> Result<&str, TestkitError> {
        self.words.get(at).map(String::as_str).ok_or_else(|| self.bad("a word is missing"))
    }

    fn option(&self, name: &str) -> Option<&str> {
        self.options.get(name).map(String::as_str)
    }

    fn number(&self, name: &str, default: u32) -> Result<u32, TestkitError> {
        match self.option(name) {
            Some(text) => text.parse().map_err(|_| self.bad("give a whole number")),
            None => Ok(default),
        }
    }

    fn duration(&self, name: &str, default: &str) -> Result<Duration, TestkitError> {
        let text = self.option(name).unwrap_or(default);
        parse_duration(text).map_err(|_| self.bad("give a duration such as 500ms"))
    }
}

/// Splits at spaces that stand outside quotes, and drops the quotes.
fn split_words(text: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quoted = false;
    for c in text.chars() {
        match c {
            '"' => quoted = !quoted,
            ' ' if !quoted => words.push(String::new()),
            _ => words.last_mut().expect("there is always a word").push(c),
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

/// A scenario that runs.
struct Run {
    cluster: Cluster,
    caller: Caller,
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    loads: Vec<Load>,
    submissions: Vec<Submission>,
    verdict: Verdict,
    ledger: Ledger,
}

impl Run {
    async fn start() -> Result<Self, TestkitError> {
        Ok(Self {
            cluster: Cluster::start().await?,
            caller: Caller::new(),
            entries: Arc::default(),
            loads: Vec::new(),
            submissions: Vec::new(),
            verdict: Verdict::default(),
            ledger: Ledger::default(),
        })
    }

    async fn step(&mut self, step: &Step) -> Result<(), TestkitError> {
        match step.word(0)? {
            "entry" => self.entry(step).await,
            "endpoint" => self.endpoint(step).await,
            "ready" => self.ready(step).await,
            "contract" => self.contract(step).await,
            "amend" => self.amend(step).await,
            "load" => self.load(step),
            "sleep" => self.sleep(step).await,
            "kill" | "freeze" | "thaw" | "stop" => self.signal(step).await,
            "freeze-endpoint" | "thaw-endpoint" => self.signal_endpoint(step),
            "cut" | "heal" => self.link(step),
            "store" => self.store(step),
            "withdraw-endpoint" | "withdraw-batch" => self.withdraw(step).await,
            "idle" => self.idle(step).await,
            "finish" => self.finish().await,
            "expect" => self.expect(step),
            "holds" => self.holds(step),
            _ => Err(step.bad("see the list of steps in the kit's documentation")),
        }
    }

    async fn entry(&mut self, step: &Step) -> Result<(), TestkitError> {
        for name in &step.words[1..] {
            self.cluster.start_entry(name).await?;
        }
        self.follow_entries();
        Ok(())
    }

    async fn endpoint(&mut self, step: &Step) -> Result<(), TestkitError> {
        let (slots, slowdown) = (step.number("slots", 4)?, step.number("slowdown", 1)?);
        for name in &step.words[1..] {
            self.cluster.start_endpoint(name, slots, slowdown).await?;
        }
        Ok(())
    }

    async fn ready(&mut self, step: &Step) -> Result<(), TestkitError> {
        let endpoints = step.word(1)?.parse().map_err(|_| step.bad("give a number"))?;
        let ready = self.cluster.wait_ready(endpoints, SETTLE_LIMIT).await;
        ensure!(ready, TimedOutSnafu { line: step.line, what: "readiness" });
        Ok(())
    }

    async fn contract(&mut self, step: &Step) -> Result<(), TestkitError> {
        let status = self.put_contract(step, 0).await?;
        ensure!(
            status == 200,
            ExpectationFailedSnafu { line: step.line, expected: "200", seen: status.to_string() }
        );
        Ok(())
    }

    async fn amend(&mut self, step: &Step) -> Result<(), TestkitError> {
        let base = step.number("base", 1)?;
        let expected = step.number("outcome", 200)?;
        let seen = u32::from(self.put_contract(step, base).await?);
        ensure!(
            seen == expected,
            ExpectationFailedSnafu {
                line: step.line,
                expected: expected.to_string(),
                seen: seen.to_string()
            }
        );
        Ok(())
    }

    async fn put_contract(&self, step: &Step, base: u32) -> Result<u16, TestkitError> {
        let contract = serde_json::json!({
            "share": step.number("share", 1)?,
            "concurrency": step.number("concurrency", 1000)?,
            "deadline": step.option("deadline").unwrap_or("10s"),
            "refusals": "5%",
            "open_jobs": step.number("open_jobs", 1000)?,
        });
        let path = format!("/v1/contracts/{}?base={base}", step.word(1)?);
        let entry = self.any_entry(step)?;
        let reply = self.caller.send(entry, Method::PUT, &path, &[], &contract.to_string()).await;
        Ok(reply.map_or(0, |reply| reply.status))
    }

    fn load(&mut self, step: &Step) -> Result<(), TestkitError> {
        let plan = LoadPlan {
            customer: step.word(1)?.to_owned(),
            batch: step.option("batch").unwrap_or_default().to_owned(),
            jobs: step.number("jobs", 10)?,
            tasks: step.number("tasks", 4)?,
            body: step.option("body").unwrap_or("sleep 50").to_owned(),
            submit_period: step.duration("over", "1s")?,
            retry_timeout: step.duration("patience", "20s")?,
        };
        self.loads.push(Load::start(plan, self.entries.clone()));
        Ok(())
    }

    async fn sleep(&mut self, step: &Step) -> Result<(), TestkitError> {
        let text = step.word(1)?;
        let time = parse_duration(text).map_err(|_| step.bad("give a duration such as 500ms"))?;
        tokio::time::sleep(time).await;
        Ok(())
    }

    async fn signal(&mut self, step: &Step) -> Result<(), TestkitError> {
        let name = self.known(step, 1)?.to_owned();
        match step.word(0)? {
            "kill" => self.cluster.kill(&name),
            "stop" => {
                self.hide_entry(&name);
                let stopped = self.cluster.stop(&name, SETTLE_LIMIT).await;
                ensure!(
                    stopped,
                    TimedOutSnafu { line: step.line, what: format!("stop of {name}") }
                );
            }
            action => {
                let unknown = UnknownProcessSnafu { line: step.line, name: &name };
                let process = self.cluster.daemon_process(&name).context(unknown)?;
                if action == "freeze" { process.freeze() } else { process.thaw() }
            }
        }
        self.follow_entries();
        Ok(())
    }

    fn signal_endpoint(&mut self, step: &Step) -> Result<(), TestkitError> {
        let name = step.word(1)?.to_owned();
        let unknown = UnknownProcessSnafu { line: step.line, name: &name };
        let process = self.cluster.endpoint_process(&name).context(unknown)?;
        if step.word(0)? == "freeze-endpoint" {
            process.freeze()
        } else {
            process.thaw()
        }
        Ok(())
    }

    fn link(&mut self, step: &Step) -> Result<(), TestkitError> {
        let (one, other) = (self.known(step, 1)?, self.known(step, 2)?);
        match step.word(0)? {
            "cut" => self.cluster.cut_link(one, other),
            _ => self.cluster.heal_link(one, other),
        }
        Ok(())
    }

    fn store(&mut self, step: &Step) -> Result<(), TestkitError> {
        let store = self.cluster.store();
        match step.words.get(1).map(String::as_str) {
            Some("up") => store.set_behaviour(StoreBehaviour::Normal),
            Some("down") => store.set_behaviour(StoreBehaviour::Unavailable),
            Some("silent") => store.set_behaviour(StoreBehaviour::Unresponsive),
            Some("forget") => store.drop_history(),
            Some(_) => {
                return Err(step.bad("give up, down, silent, forget, slow=, lose= or retain="));
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
            _ => format!("/v1/batches/{}/{}/withdraw", step.word(1)?, step.word(2)?),
        };
        let entry = self.any_entry(step)?;
        let reply = self.caller.send(entry, Method::POST, &path, &[], "").await;
        let seen = reply.map_or(0, |reply| reply.status);
        ensure!(
            seen == 200,
            ExpectationFailedSnafu { line: step.line, expected: "200", seen: seen.to_string() }
        );
        Ok(())
    }

    /// Checks that an endpoint starts nothing new after a time.
    async fn idle(&mut self, step: &Step) -> Result<(), TestkitError> {
        let name = self.known(step, 1)?.to_owned();
        tokio::time::sleep(step.duration("within", "3s")?).await;
        let before = self.cluster.endpoint_starts(&name);
        tokio::time::sleep(step.duration("for", "1s")?).await;
        let after = self.cluster.endpoint_starts(&name);
        ensure!(
            before == after,
            ExpectationFailedSnafu {
                line: step.line,
                expected: format!("{before} starts"),
                seen: after.to_string()
            }
        );
        Ok(())
    }

    async fn finish(&mut self) -> Result<(), TestkitError> {
        for load in std::mem::take(&mut self.loads) {
            self.submissions.extend(load.finish().await);
        }
        tokio::time::sleep(SETTLE_AFTER).await;
        self.ledger = self.cluster.ledger();
        self.verdict = Verdict::evaluate(&self.submissions, &self.ledger);
        println!("{} starts={}", self.verdict, self.ledger.total_starts());
        Ok(())
    }

    fn expect(&mut self, step: &Step) -> Result<(), TestkitError> {
        let remedy = "write expect FIGURE OP NUMBER";
        let figure = self.figure(step.word(1)?).ok_or_else(|| step.bad("no such figure"))?;
        let wanted: u64 = step.word(3)?.parse().map_err(|_| step.bad(remedy))?;
        let met = match step.word(2)? {
            "=" => figure == wanted,
            "<" => figure < wanted,
            ">" => figure > wanted,
            _ => return Err(step.bad(remedy)),
        };
        ensure!(
            met,
            ExpectationFailedSnafu {
                line: step.line,
                expected: step.words[1..].join(" "),
                seen: figure.to_string()
            }
        );
        Ok(())
    }

    fn holds(&mut self, step: &Step) -> Result<(), TestkitError> {
        ensure!(
            self.verdict.guarantees_hold(),
            ExpectationFailedSnafu {
                line: step.line,
                expected: "every promise kept",
                seen: self.verdict.to_string()
            }
        );
        Ok(())
    }

    fn figure(&self, name: &str) -> Option<u64> {
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

    fn known<'a>(&self, step: &'a Step, at: usize) -> Result<&'a str, TestkitError> {
        let name = step.word(at)?;
        ensure!(self.cluster.contains(name), UnknownProcessSnafu { line: step.line, name });
        Ok(name)
    }

    fn any_entry(&self, step: &Step) -> Result<SocketAddr, TestkitError> {
        let entries = self.cluster.entry_addresses();
        entries.first().copied().ok_or_else(|| step.bad("start an entry first"))
    }

    /// Makes callers turn to the entries that run.
    fn follow_entries(&self) {
        let entries = self.cluster.entry_addresses();
        *self.entries.lock().expect("no holder of the entries panics") = entries;
    }

    /// Keeps callers from an entry, as a balancer does with one that is not ready.
    fn hide_entry(&self, name: &str) {
        let hidden = self.cluster.entry_address(name);
        let mut entries = self.entries.lock().expect("no holder of the entries panics");
        entries.retain(|entry| Some(*entry) != hidden);
    }
}
