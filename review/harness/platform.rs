//! Stand-ins of the platform's store and of minions, as the users' pages describe them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::{call, serve, Json, Message};
use crate::Recorder;

const BASE64: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let word = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            let is_padding = index > chunk.len();
            let digit = BASE64[(word >> (18 - 6 * index) & 63) as usize] as char;
            out.push(if is_padding { '=' } else { digit });
        }
    }
    out
}

/// The metadata store: logs in memory, with the newest record of each key.
#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<(Mutex<BTreeMap<String, Vec<Vec<u8>>>>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<(Store, SocketAddr)> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let store = Store::default();
        let served = store.clone();
        serve(listener, move |message| Some(served.handle(message)));
        Ok((store, address))
    }

    /// Writes a record as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = [&[key.len() as u8], key.as_bytes(), value.as_bytes()].concat();
        self.inner.0.lock().unwrap().entry(topic.to_owned()).or_default().push(record);
        self.inner.1.notify_all();
    }

    fn handle(&self, message: &Message) -> (u16, Vec<u8>) {
        let path = message.target().split('?').next().unwrap_or_default().to_owned();
        let topic = message.query("topic").unwrap_or_default();
        let number =
            |name: &str| message.query(name).and_then(|text| text.parse().ok()).unwrap_or(0u64);
        match path.as_str() {
            "/log-append" => {
                let mut topics = self.inner.0.lock().unwrap();
                let records = topics.entry(topic).or_default();
                let offset = records.len();
                if message.query("at").is_some() && number("at") != offset as u64 {
                    return (412, format!("{{\"endOffset\":{offset}}}").into_bytes());
                }
                let mut rest = &message.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let Some(record) = rest.get(4..4 + length) else { break };
                    records.push(record.to_vec());
                    rest = &rest[4 + length..];
                }
                let end = records.len();
                self.inner.1.notify_all();
                (200, format!("{{\"offset\":{offset},\"endOffset\":{end}}}").into_bytes())
            }
            "/log-newest" => {
                let topics = self.inner.0.lock().unwrap();
                let records = topics.get(&topic).cloned().unwrap_or_default();
                let mut newest = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    let key_end = 1 + usize::from(record[0]);
                    let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
                    newest.insert(key, (offset, base64(&record[key_end..])));
                }
                let items: Vec<String> = newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"endOffset\":{}}}",
                    items.join(","),
                    records.len()
                );
                (200, body.into_bytes())
            }
            "/log-read" => {
                let from = number("from") as usize;
                let until = Instant::now() + Duration::from_millis(number("waitTimeoutMs"));
                let mut topics = self.inner.0.lock().unwrap();
                while topics.get(&topic).map_or(0, Vec::len) <= from && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    topics = self.inner.1.wait_timeout(topics, left).unwrap().0;
                }
                let records = topics.get(&topic).cloned().unwrap_or_default();
                let mut body = [(records.len() as u64).to_be_bytes(), [0; 8]].concat();
                for record in records.iter().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                (200, body)
            }
            _ => (404, Vec::new()),
        }
    }
}

/// What a minion says of itself.
#[derive(Clone, Debug)]
pub struct MinionSpec {
    pub id: String,
    pub service: String,
    pub cpu: u64,
    /// The minion's kind and its rack.
    pub labels: (String, String),
}

#[derive(Clone, Debug)]
struct Run {
    task: String,
    number: u64,
    started: Instant,
    length: Duration,
}

struct State {
    spec: MinionSpec,
    born: u64,
    started: Instant,
    token: u64,
    lease_until_ms: u64,
    runs: Vec<Run>,
    ended: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    sequence: u64,
    draining: bool,
}

impl State {
    fn new(spec: MinionSpec) -> State {
        State {
            spec,
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64,
            started: Instant::now(),
            token: 0,
            lease_until_ms: 0,
            runs: Vec::new(),
            ended: BTreeMap::new(),
            finished: Vec::new(),
            last_end: 0,
            sequence: 0,
            draining: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn reply(&self, status: u16, reason: &str) -> (u16, Vec<u8>) {
        let reason =
            if reason.is_empty() { String::new() } else { format!(",\"reason\":\"{reason}\"") };
        (status, format!("{{\"clockMs\":{}{reason}}}", self.clock_ms()).into_bytes())
    }

    /// The lease is granted for at most `maxHoldMs`, and never shortened.
    fn extend(&mut self, deadline_ms: u64) {
        let longest = self.clock_ms() + 1000;
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(longest));
    }
}

/// A minion beside an agent. It serves only while it is up; while it is dark it is silent.
#[derive(Clone)]
pub struct Minion {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    is_dark: Arc<AtomicBool>,
    recorder: Recorder,
    pub address: SocketAddr,
    pub agent: SocketAddr,
}

impl Minion {
    pub fn start(
        spec: MinionSpec,
        address: SocketAddr,
        agent: SocketAddr,
        recorder: Recorder,
    ) -> std::io::Result<Minion> {
        let listener = TcpListener::bind(address)?;
        let minion = Minion {
            state: Arc::new(Mutex::new(State::new(spec))),
            changed: Arc::default(),
            is_dark: Arc::default(),
            recorder,
            address: listener.local_addr()?,
            agent,
        };
        let served = minion.clone();
        serve(listener, move |message| served.handle(message));
        let worker = minion.clone();
        thread::spawn(move || worker.work());
        let beating = minion.clone();
        thread::spawn(move || beating.beat());
        Ok(minion)
    }

    /// Crashes the minion, which is then silent.
    pub fn crash_dark(&self) {
        let mut state = self.state.lock().unwrap();
        self.is_dark.store(true, Ordering::SeqCst);
        for run in std::mem::take(&mut state.runs) {
            self.recorder.ended(&state.spec.id, &run.task, run.number, "crashed");
        }
        self.recorder.say(&format!("{} crashes and is silent", state.spec.id));
        self.changed.notify_all();
    }

    /// Starts the next incarnation at the same address.
    pub fn come_back(&self, spec: MinionSpec) {
        self.recorder.say(&format!(
            "{} starts at the same address, kind {}, cpu {}",
            spec.id, spec.labels.0, spec.cpu
        ));
        *self.state.lock().unwrap() = State::new(spec);
        self.is_dark.store(false, Ordering::SeqCst);
        self.announce();
    }

    fn work(&self) {
        loop {
            thread::sleep(Duration::from_millis(2));
            let mut state = self.state.lock().unwrap();
            let lapsed = state.clock_ms() > state.lease_until_ms;
            let runs = std::mem::take(&mut state.runs);
            for run in runs {
                let is_done = run.started.elapsed() >= run.length;
                if lapsed {
                    self.end(&mut state, &run, "lapsed");
                } else if is_done {
                    self.end(&mut state, &run, "done");
                } else {
                    state.runs.push(run);
                }
            }
        }
    }

    fn end(&self, state: &mut State, run: &Run, how: &'static str) {
        state.last_end += 1;
        let number = state.last_end;
        state.finished.push((number, run.task.clone(), run.number, how));
        let ended = state.ended.entry(run.task.clone()).or_default();
        *ended = run.number.max(*ended);
        self.recorder.ended(&state.spec.id, &run.task, run.number, how);
        self.changed.notify_all();
    }

    fn beat(&self) {
        loop {
            if !self.is_dark.load(Ordering::SeqCst) {
                self.announce();
            }
            thread::sleep(Duration::from_millis(1500));
        }
    }

    fn announce(&self) {
        let (path, body) = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            let spec = &state.spec;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"{}\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\
                 \"memoryLimitMb\":32768,\"gpus\":0}},\"labels\":[\"{}\",\"{}\"],\"clockMs\":{},\
                 \"sequence\":{},\"born\":{}}}",
                spec.service,
                self.address,
                if state.draining { "draining" } else { "ready" },
                spec.cpu,
                spec.labels.0,
                spec.labels.1,
                state.clock_ms(),
                state.sequence,
                state.born
            );
            (format!("/instances/{}", spec.id), body)
        };
        let host = self.agent.to_string();
        let second = Duration::from_secs(1);
        let _ = call(self.agent, "PUT", &path, &[("host", &host)], body.as_bytes(), second);
    }

    fn handle(&self, message: &Message) -> Option<(u16, Vec<u8>)> {
        if self.is_dark.load(Ordering::SeqCst) {
            return None;
        }
        let body = Json::parse(&message.text()).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        let born = state.born;
        if message.headers.get("expected-instance").is_some_and(|id| *id != state.spec.id) {
            return Some(state.reply(421, ""));
        }
        let token = body.num("fencingToken").unwrap_or(0);
        if message.method() == "POST" {
            if token < state.token {
                return Some(state.reply(409, "fence"));
            }
            state.token = token;
        }
        let (task, number) = (body.str("task"), body.num("runId").unwrap_or(0));
        match message.target() {
            "/health" => Some((200, Vec::new())),
            "/run-start" => {
                let deadline_ms = body.num("deadlineMs").unwrap_or(0);
                if state.runs.iter().any(|run| run.task == task && run.number == number) {
                    return Some(state.reply(200, ""));
                }
                if state.ended.get(&task).is_some_and(|ended| number <= *ended) {
                    state.extend(deadline_ms);
                    return Some(state.reply(409, "old"));
                }
                if deadline_ms < state.clock_ms() {
                    return Some(state.reply(409, "late"));
                }
                state.extend(deadline_ms);
                let spec = body.str("taskSpec");
                let length = length_of(&spec, &task);
                self.recorder.started(&state.spec, &task, number, &spec);
                state.runs.push(Run { task, number, started: Instant::now(), length });
                Some(state.reply(200, ""))
            }
            "/run-stop" => {
                let ended = state.ended.entry(task.clone()).or_default();
                *ended = number.max(*ended);
                let found =
                    state.runs.iter().position(|run| run.task == task && run.number <= number);
                if let Some(index) = found {
                    let run = state.runs.remove(index);
                    self.end(&mut state, &run, "stopped");
                }
                Some(state.reply(200, ""))
            }
            "/hold" => {
                if let Some(deadline_ms) = body.num("deadlineMs") {
                    state.extend(deadline_ms);
                }
                let acked = body.num("lastAcked").unwrap_or(0);
                state.finished.retain(|(end, ..)| *end > acked);
                let wait = Duration::from_millis(body.num("waitTimeoutMs").unwrap_or(0));
                let until = Instant::now() + wait;
                while state.finished.is_empty() && Instant::now() < until && state.born == born {
                    let left = until.saturating_duration_since(Instant::now());
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                if self.is_dark.load(Ordering::SeqCst) || state.born != born {
                    return None;
                }
                let running: Vec<String> = state
                    .runs
                    .iter()
                    .map(|run| {
                        let share = run.started.elapsed().as_secs_f64() / run.length.as_secs_f64();
                        let percent = (share * 100.0).min(99.0) as u32;
                        format!("[\"{}\",{},\"\",{percent},0]", run.task, run.number)
                    })
                    .collect();
                let finished: Vec<String> = state
                    .finished
                    .iter()
                    .map(|(end, task, run, how)| format!("[{end},\"{task}\",{run},\"{how}\",\"\"]"))
                    .collect();
                let body = format!(
                    "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
                    state.clock_ms(),
                    state.born,
                    running.join(","),
                    finished.join(",")
                );
                Some((200, body.into_bytes()))
            }
            _ => Some((404, Vec::new())),
        }
    }
}

/// The run time of a task: its specification holds `ms=N`, or `STEP:ms=N` for one step.
fn length_of(spec: &str, task: &str) -> Duration {
    let step = task.split('.').nth(2).unwrap_or("0");
    let of_step = format!("{step}:ms=");
    let text = spec
        .split(' ')
        .find_map(|word| word.strip_prefix(of_step.as_str()))
        .or_else(|| spec.split(' ').find_map(|word| word.strip_prefix("ms=")));
    Duration::from_millis(text.and_then(|text| text.parse().ok()).unwrap_or(60))
}
