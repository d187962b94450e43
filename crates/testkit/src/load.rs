//! Callers that submit jobs at a steady rate and come back until they have an answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use cowslipwing_types::JobKey;
use tokio::task::JoinHandle;

use crate::caller::{Caller, Reply};
use crate::verdict::Submission;

/// Pause before a caller comes back.
const COME_BACK: Duration = Duration::from_millis(200);

/// What callers submit.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Customer that the jobs belong to.
    pub customer: String,
    /// Batch of the jobs, empty for none.
    pub batch: String,
    /// Jobs to submit.
    pub jobs: u32,
    /// Tasks of each job.
    pub tasks: u32,
    /// Body of each task.
    pub body: String,
    /// Time over which the jobs are spread.
    pub submit_period: Duration,
    /// Time for which a caller comes back where it has no answer.
    pub retry_timeout: Duration,
}

/// Jobs that are being submitted.
#[derive(Debug)]
pub struct Load {
    callers: Vec<JoinHandle<Submission>>,
}

impl Load {
    /// Begins to submit; the entries are looked up anew for each try.
    pub fn start(plan: LoadPlan, entries: Arc<Mutex<Vec<SocketAddr>>>) -> Self {
        let caller = Caller::new();
        let gap = plan.submit_period / plan.jobs.max(1);
        let begin = |number: u32| {
            let (plan, entries, caller) = (plan.clone(), entries.clone(), caller.clone());
            tokio::spawn(async move {
                tokio::time::sleep(gap * number).await;
                submit(&plan, number, &entries, &caller).await
            })
        };
        Self { callers: (0..plan.jobs).map(begin).collect() }
    }

    /// Waits until each caller has its answer or has given up.
    pub async fn finish(self) -> Vec<Submission> {
        let mut done = Vec::new();
        for caller in self.callers {
            done.push(caller.await.expect("no caller panics"));
        }
        done
    }
}

async fn submit(
    plan: &LoadPlan,
    number: u32,
    entries: &Mutex<Vec<SocketAddr>>,
    caller: &Caller,
) -> Submission {
    let key = JobKey::generate(SystemTime::now()).to_string();
    let job = job_json(plan);
    let began = Instant::now();
    let mut last: Option<Reply> = None;
    let mut tries = 0;
    while began.elapsed() < plan.retry_timeout {
        let entry = {
            let entries = entries.lock().expect("no holder of the entries panics");
            entries.get((number + tries) as usize % entries.len().max(1)).copied()
        };
        tries += 1;
        if let Some(entry) = entry {
            let left = plan.retry_timeout.saturating_sub(began.elapsed());
            let reply = tokio::time::timeout(left, caller.submit(entry, &key, &job)).await;
            if let Ok(Some(reply)) = reply {
                let comes_back = reply.headers.contains_key("retry-after");
                last = Some(reply);
                if !comes_back {
                    break;
                }
            }
        }
        tokio::time::sleep(COME_BACK).await;
    }
    Submission::new(&plan.customer, &key, plan.tasks, last, tries, began.elapsed())
}

fn job_json(plan: &LoadPlan) -> String {
    let task = serde_json::json!({ "kind": "load", "body": plan.body });
    let tasks = vec![task; plan.tasks as usize];
    let job = serde_json::json!({
        "customer": plan.customer, "batch": plan.batch, "tasks": tasks,
    });
    job.to_string()
}
