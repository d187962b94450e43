//! Callers that submit jobs at a steady rate and retry until they receive a final answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use cowslipwing_types::JobKey;
use tokio::task::JoinHandle;

use crate::caller::{Caller, Reply};
use crate::verdict::Submission;

/// Pause of a caller between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The jobs that callers submit, and for how long they retry.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Customer of the jobs.
    pub customer: String,
    /// Batch of the jobs, or empty if they have none.
    pub batch: String,
    /// Number of jobs.
    pub jobs: u32,
    /// Number of tasks of each job.
    pub tasks: u32,
    /// Body of each task, which the substitute endpoint interprets.
    pub body: String,
    /// Time over which the first attempts are spread evenly.
    pub submit_period: Duration,
    /// Time after which a caller without a final answer gives up.
    pub retry_timeout: Duration,
}

/// A running load: one caller for each job.
#[derive(Debug)]
pub struct Load {
    callers: Vec<JoinHandle<Submission>>,
}

impl Load {
    /// Starts the callers. Each attempt goes to the next of the current `entries`.
    pub fn start(plan: LoadPlan, entries: Arc<Mutex<Vec<SocketAddr>>>) -> Self {
        let caller = Caller::new();
        let interval = plan.submit_period / plan.jobs.max(1);
        let spawn_caller = |number: u32| {
            let (plan, entries, caller) = (plan.clone(), entries.clone(), caller.clone());
            tokio::spawn(async move {
                tokio::time::sleep(interval * number).await;
                submit(&plan, number, &entries, &caller).await
            })
        };
        Self { callers: (0..plan.jobs).map(spawn_caller).collect() }
    }

    /// Waits until each caller has a final answer or has given up.
    pub async fn finish(self) -> Vec<Submission> {
        let mut submissions = Vec::new();
        for caller in self.callers {
            submissions.push(caller.await.expect("the task of a caller does not panic"));
        }
        submissions
    }
}

/// Submits a job with a new key until a reply comes without `Retry-After`.
async fn submit(
    plan: &LoadPlan,
    number: u32,
    entries: &Mutex<Vec<SocketAddr>>,
    caller: &Caller,
) -> Submission {
    let key = JobKey::generate(SystemTime::now()).to_string();
    let job = job_body(plan);
    let started_at = Instant::now();
    let mut last_reply: Option<Reply> = None;
    let mut attempts = 0;
    while started_at.elapsed() < plan.retry_timeout {
        let entry = {
            let entries = entries.lock().expect("the mutex of the entries is never poisoned");
            entries.get((number + attempts) as usize % entries.len().max(1)).copied()
        };
        attempts += 1;
        if let Some(entry) = entry {
            let remaining = plan.retry_timeout.saturating_sub(started_at.elapsed());
            let reply = tokio::time::timeout(remaining, caller.submit(entry, &key, &job)).await;
            if let Ok(Some(reply)) = reply {
                let must_retry = reply.headers.contains_key("retry-after");
                last_reply = Some(reply);
                if !must_retry {
                    break;
                }
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Submission::new(&plan.customer, &key, plan.tasks, last_reply, attempts, started_at.elapsed())
}

fn job_body(plan: &LoadPlan) -> String {
    let task = serde_json::json!({ "kind": "load", "body": plan.body });
    let tasks = vec![task; plan.tasks as usize];
    let job = serde_json::json!({
        "customer": plan.customer, "batch": plan.batch, "tasks": tasks,
    });
    job.to_string()
}
