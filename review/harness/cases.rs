//! The cases of this review.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::{call_on, reset_on_close};
use crate::platform::MinionSpec;
use crate::{Deployment, Recorder, SeenRun, SERVICE};

/// `resendIntervalMs` of the sites.
const RESEND_INTERVAL: Duration = Duration::from_millis(1300);
const HOST: &str = "desk.example";

type Verdict = Result<Option<String>, String>;

pub fn play(case: &str, recorder: Recorder, with_trouble: bool) -> Verdict {
    match case {
        "reset" => reset(recorder, with_trouble),
        "cancel" => cancel(recorder, with_trouble),
        "label" => label(recorder, with_trouble),
        "duplicate" => duplicate(recorder, with_trouble),
        "stray" => stray(recorder, with_trouble),
        _ => Err(format!("no case {case}")),
    }
}

fn config(stretch: f64, target_latency_ms: u64) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"jobs\",\"host\":\"{HOST}\",\"pathPrefix\":\
         \"/jobs/\",\"routeKind\":\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":\
         {target_latency_ms},\"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":3,\
         \"stretch\":{stretch}}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\
         \"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":\
         false,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

fn minions(count: usize, cpu: u64) -> Vec<MinionSpec> {
    let spec = |n: usize| MinionSpec {
        id: format!("i-{n}"),
        service: SERVICE.to_owned(),
        cpu,
        labels: ("a".to_owned(), format!("r1-{}", n.div_ceil(3))),
    };
    (1..=count).map(spec).collect()
}

/// A job whose answer a client waits for.
#[derive(Clone)]
struct JobRequest {
    id: String,
    body: String,
    deadline: Duration,
}

impl JobRequest {
    /// `steps` is the text of the list of steps.
    fn new(id: &str, task_spec: &str, steps: &str, deadline_ms: u64) -> JobRequest {
        JobRequest {
            id: id.to_owned(),
            body: format!("{{\"taskSpec\":\"{task_spec}\",\"steps\":{steps},\"bestEffort\":true}}"),
            deadline: Duration::from_millis(deadline_ms),
        }
    }

    /// Sends the job on an open connection in the background.
    fn send(&self, recorder: &Recorder, name: &str, stream: TcpStream) -> JoinHandle<Option<u16>> {
        let (job, recorder, name) = (self.clone(), recorder.clone(), name.to_owned());
        thread::spawn(move || {
            recorder.say(&format!("client sends POST {} to {name}: {}", job.id, job.body));
            let deadline_ms = job.deadline.as_millis().to_string();
            let headers = [("host", HOST), ("deadline-milliseconds", deadline_ms.as_str())];
            let path = format!("/jobs/{}", job.id);
            let reply = call_on(stream, "POST", &path, &headers, job.body.as_bytes(), job.deadline);
            let told = match &reply {
                Ok(reply) => format!("{} {}", reply.status(), reply.text()),
                Err(error) => error.clone(),
            };
            recorder.say(&format!("client gets for POST {} from {name}: {told}", job.id));
            reply.ok().map(|reply| reply.status())
        })
    }
}

fn open(address: SocketAddr) -> Result<TcpStream, String> {
    TcpStream::connect_timeout(&address, Duration::from_secs(1)).map_err(|error| error.to_string())
}

/// Waits until `find` finds a run.
fn wait_for_run<F>(recorder: &Recorder, seconds: u64, find: F) -> Result<SeenRun, String>
where
    F: Fn(&SeenRun) -> bool,
{
    let until = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < until {
        if let Some(run) = recorder.runs().into_iter().find(&find) {
            return Ok(run);
        }
        thread::sleep(Duration::from_millis(1));
    }
    Err("the task was not started in time".to_owned())
}

fn wait_for_ends(recorder: &Recorder, seconds: u64) {
    let until = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < until && recorder.runs().iter().any(|run| run.ended.is_none()) {
        thread::sleep(Duration::from_millis(10));
    }
}

/// Finds two runs of one task that were at work at the same time, both on minions that are up.
fn overlap(runs: &[SeenRun], now: Duration) -> Option<String> {
    let end_of = |run: &SeenRun| run.ended.as_ref().map_or(now, |(end, _)| *end);
    for (index, a) in runs.iter().enumerate() {
        for b in &runs[index + 1..] {
            let from = a.started.max(b.started);
            let until = end_of(a).min(end_of(b));
            if a.task == b.task && from < until {
                return Some(format!(
                    "TWICE: two runs of {} at the same time, on {} from {:.3} s and on {} from \
                     {:.3} s, for {:.3} s",
                    a.task,
                    a.minion,
                    a.started.as_secs_f64(),
                    b.minion,
                    b.started.as_secs_f64(),
                    (until - from).as_secs_f64()
                ));
            }
        }
    }
    None
}

/// Connections of one entry are reset: that of a client whose job runs, and that of the agent that
/// runs its task. The client sends the job again after `resendIntervalMs`, to another entry.
fn reset(recorder: Recorder, with_trouble: bool) -> Verdict {
    let deployment = Deployment::start(recorder.clone(), 3, minions(3, 8000), &config(1.6, 60))?;
    let steps = "[{\"count\":1,\"cpu\":1600,\"memoryLimitMb\":64,\"estimatedRuntimeMs\":3000}]";
    for round in 1..=5u32 {
        let job = JobRequest::new(&format!("5c0e7a21d94b36f{round}"), "ms=3000", steps, 6000);
        let first = &deployment.entries[0];
        let stream = open(first.callers)?;
        let client = stream.try_clone().map_err(|error| error.to_string())?;
        let sent = job.send(&recorder, "frontend-1", stream);
        let run = wait_for_run(&recorder, 3, |run| run.task.starts_with(&job.id))?;
        thread::sleep(Duration::from_millis(200));
        if with_trouble {
            let number: usize = run.minion.trim_start_matches("i-").parse().unwrap_or(1);
            let agent = &deployment.agents[number - 1].name;
            let open_before = first.proxy.open();
            let count = first.proxy.reset(agent);
            reset_on_close(&client);
            let _ = client.shutdown(std::net::Shutdown::Read);
            drop(client);
            recorder.say(&format!(
                "{} of {} connections of frontend-1 are reset: the client's and that of {agent}",
                count + 1,
                open_before + 1
            ));
            if count != 1 {
                return Err(format!("{count} connections of {agent} instead of one"));
            }
            let answered = sent.join().ok().flatten();
            if answered.is_some() {
                return Err("the client was answered before the reset".to_owned());
            }
            thread::sleep(RESEND_INTERVAL);
            let again = job.send(&recorder, "frontend-2", open(deployment.entries[1].callers)?);
            let _ = again.join();
        } else {
            drop(client);
            let _ = sent.join();
        }
        wait_for_ends(&recorder, 6);
        if let Some(broken) = overlap(&recorder.runs(), recorder.now()) {
            return Ok(Some(broken));
        }
    }
    Ok(None)
}

/// Cancels a job at an entry and records the answer.
fn delete(recorder: &Recorder, job: &JobRequest, name: &str, stream: TcpStream) -> Option<u16> {
    recorder.say(&format!("client sends DELETE {} to {name}", job.id));
    let path = format!("/jobs/{}", job.id);
    let reply = call_on(stream, "DELETE", &path, &[("host", HOST)], b"", Duration::from_secs(1));
    let told = match &reply {
        Ok(reply) => format!("{} {}", reply.status(), reply.text()),
        Err(error) => error.clone(),
    };
    recorder.say(&format!("client gets for DELETE {} from {name}: {told}", job.id));
    reply.ok().map(|reply| reply.status())
}

/// A client cancels its job. The connection of the DELETE is reset before it reaches the entry that
/// has the job, and the retry reaches another entry.
fn cancel(recorder: Recorder, with_trouble: bool) -> Verdict {
    let deployment = Deployment::start(recorder.clone(), 3, minions(3, 8000), &config(1.6, 60))?;
    let step = |depends: &str| {
        format!(
            "{{\"count\":1,\"cpu\":1600,\"memoryLimitMb\":64,\"estimatedRuntimeMs\":3600{depends}}}"
        )
    };
    let steps = format!("[{},{}]", step(""), step(",\"dependsOn\":[0]"));
    let job = JobRequest::new("7d1f8b32e05c47a1", "ms=3600", &steps, 15_000);
    let sent = job.send(&recorder, "frontend-1", open(deployment.entries[0].callers)?);
    wait_for_run(&recorder, 3, |run| run.task.starts_with(&job.id))?;
    thread::sleep(Duration::from_millis(200));
    let mut status = if with_trouble {
        let path = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = path.local_addr().map_err(|error| error.to_string())?;
        let cut = recorder.clone();
        thread::spawn(move || {
            if let Ok((mut stream, _)) = path.accept() {
                let _ = stream.read(&mut [0; 4096]);
                cut.say("the connection of the DELETE to frontend-1 is reset");
                reset_on_close(&stream);
            }
        });
        delete(&recorder, &job, "frontend-1", open(address)?)
    } else {
        delete(&recorder, &job, "frontend-1", open(deployment.entries[0].callers)?)
    };
    if status.is_none() {
        status = delete(&recorder, &job, "frontend-2", open(deployment.entries[1].callers)?);
    }
    if !status.is_some_and(|status| (200..300).contains(&status) || status == 410) {
        return Err("the cancelling was not acknowledged".to_owned());
    }
    let acknowledged = recorder.now();
    let _ = sent.join();
    wait_for_ends(&recorder, 6);
    let limit = acknowledged + Duration::from_millis(3000);
    let late = recorder.runs().into_iter().find(|run| run.started > limit);
    Ok(late.map(|run| {
        format!(
            "UNASKED: {} starts {:.3} s after the job's cancelling was acknowledged, cancel_ms is \
             3,000",
            run.task,
            (run.started - acknowledged).as_secs_f64()
        )
    }))
}

/// A minion crashes and is silent, and another one, of another kind, starts at its address. A task
/// waits at the agent meanwhile that requires the former kind.
fn label(recorder: Recorder, with_trouble: bool) -> Verdict {
    let mut specs = minions(7, 8000);
    for spec in &mut specs[1..] {
        spec.labels.0 = "b".to_owned();
    }
    let first = specs[0].clone();
    let deployment = Deployment::start(recorder.clone(), 2, specs, &config(1.6, 60))?;
    let steps = "[{\"count\":1,\"cpu\":5000,\"memoryLimitMb\":64,\"estimatedRuntimeMs\":2000,\
                 \"requiredLabels\":\"a\"}]";
    let mut sent = Vec::new();
    for number in 1..=2u32 {
        let job = JobRequest::new(&format!("9a3b6c54f27e18d{number}"), "ms=2000", steps, 8000);
        sent.push(job.send(&recorder, "frontend-1", open(deployment.entries[0].callers)?));
        thread::sleep(Duration::from_millis(200));
    }
    if with_trouble {
        let minion = &deployment.agents[0].minion;
        minion.crash_dark();
        thread::sleep(Duration::from_millis(500));
        let mut next = first;
        next.labels.0 = "b".to_owned();
        minion.come_back(next);
    }
    for job in sent {
        let _ = job.join();
    }
    wait_for_ends(&recorder, 6);
    let wrong = recorder.runs().into_iter().find(|run| run.kind != "a");
    Ok(wrong.map(|run| {
        format!(
            "ROUTE: {} starts on {}, which is of kind {} and has not the label a that its step \
             requires",
            run.task, run.minion, run.kind
        )
    }))
}

/// A client cancels its job, which is acknowledged. A copy of the POST arrives seconds later.
fn duplicate(recorder: Recorder, with_trouble: bool) -> Verdict {
    let deployment = Deployment::start(recorder.clone(), 2, minions(3, 8000), &config(1.6, 60))?;
    let steps = "[{\"count\":1,\"cpu\":1600,\"memoryLimitMb\":64,\"estimatedRuntimeMs\":2000}]";
    let job = JobRequest::new("3e9d20b7a64c81f5", "ms=2000", steps, 6000);
    let address = deployment.entries[0].callers;
    let sent = job.send(&recorder, "frontend-1", open(address)?);
    wait_for_run(&recorder, 3, |run| run.task.starts_with(&job.id))?;
    thread::sleep(Duration::from_millis(200));
    let status = delete(&recorder, &job, "frontend-1", open(address)?);
    if !status.is_some_and(|status| (200..300).contains(&status)) {
        return Err("the cancelling was not acknowledged".to_owned());
    }
    let acknowledged = recorder.now();
    let _ = sent.join();
    thread::sleep(Duration::from_secs(4));
    if with_trouble {
        recorder.say("a copy of the request arrives");
        let _ = job.send(&recorder, "frontend-1", open(address)?).join();
    }
    wait_for_ends(&recorder, 6);
    let limit = acknowledged + Duration::from_millis(3000);
    let late = recorder.runs().into_iter().find(|run| run.started > limit);
    Ok(late.map(|run| {
        format!(
            "UNASKED: {} starts {:.3} s after the job's cancelling was acknowledged, cancel_ms is \
             3,000",
            run.task,
            (run.started - acknowledged).as_secs_f64()
        )
    }))
}

/// A heartbeat of another writer, with a service that no configuration names, arrives at an agent
/// whose minion runs a task.
fn stray(recorder: Recorder, with_trouble: bool) -> Verdict {
    let deployment = Deployment::start(recorder.clone(), 2, minions(3, 8000), &config(1.6, 60))?;
    let steps = "[{\"count\":1,\"cpu\":1600,\"memoryLimitMb\":64,\"estimatedRuntimeMs\":2000}]";
    let job = JobRequest::new("c40f7e9182ab35d6", "ms=2000", steps, 6000);
    let sent = job.send(&recorder, "frontend-1", open(deployment.entries[0].callers)?);
    let run = wait_for_run(&recorder, 3, |run| run.task.starts_with(&job.id))?;
    thread::sleep(Duration::from_millis(300));
    if with_trouble {
        let number: usize = run.minion.trim_start_matches("i-").parse().unwrap_or(1);
        let agent = &deployment.agents[number - 1];
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| e.to_string())?;
        let body = format!(
            "{{\"service\":\"elsewhere\",\"address\":\"{}\",\"zone\":\"z\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":4000,\
             \"memoryLimitMb\":8192,\"gpus\":0}},\"labels\":[\"a\",\"r1-1\"],\"clockMs\":1000,\
             \"sequence\":1,\"born\":{}}}",
            agent.minion.address,
            born.as_millis()
        );
        recorder
            .say(&format!("another writer sends PUT /instances/i-77 to {}: {body}", agent.name));
        let host = agent.minion.agent.to_string();
        let second = Duration::from_secs(1);
        let stream = open(agent.minion.agent)?;
        let headers = [("host", host.as_str())];
        let reply = call_on(stream, "PUT", "/instances/i-77", &headers, body.as_bytes(), second)?;
        recorder.say(&format!("it gets {}", reply.status()));
    }
    let _ = sent.join();
    wait_for_ends(&recorder, 6);
    Ok(overlap(&recorder.runs(), recorder.now()))
}
