//! Starts a small deployment of the project's own programs on loopback addresses, plays one case of
//! this review and checks one rule. Exit status: 0 held, 1 broken, 2 the case could not run.

mod cases;
mod net;
mod platform;

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use net::{host, Proxy};
use platform::{Minion, MinionSpec, Store};

/// A run at a minion, as the minion saw it. Times are since the start of the case.
#[derive(Clone, Debug)]
pub struct SeenRun {
    pub minion: String,
    pub kind: String,
    pub task: String,
    pub number: u64,
    pub started: Duration,
    pub ended: Option<(Duration, String)>,
}

/// Writes what is sent, answered and run, and keeps the runs for the check.
#[derive(Clone)]
pub struct Recorder {
    started: Instant,
    file: Arc<Mutex<File>>,
    runs: Arc<Mutex<Vec<SeenRun>>>,
}

impl Recorder {
    fn new(path: &str) -> std::io::Result<Recorder> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Recorder { started: Instant::now(), file, runs: Arc::default() })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn say(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.now().as_secs_f64());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn started(&self, spec: &MinionSpec, task: &str, number: u64, task_spec: &str) {
        let (kind, minion) = (spec.labels.0.clone(), spec.id.clone());
        self.say(&format!(
            "{minion} (kind {kind}) starts {task} run {number}, taskSpec \"{task_spec}\""
        ));
        let started = self.now();
        let (task, ended) = (task.to_owned(), None);
        self.runs.lock().unwrap().push(SeenRun { minion, kind, task, number, started, ended });
    }

    pub fn ended(&self, minion: &str, task: &str, number: u64, how: &str) {
        self.say(&format!("{minion} ends {task} run {number}: {how}"));
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        let is_it = |run: &&mut SeenRun| {
            run.minion == minion && run.task == task && run.number == number && run.ended.is_none()
        };
        if let Some(run) = runs.iter_mut().find(is_it) {
            run.ended = Some((now, how.to_owned()));
        }
    }

    pub fn runs(&self) -> Vec<SeenRun> {
        self.runs.lock().unwrap().clone()
    }
}

/// A process of the project.
pub struct Process {
    child: Child,
}

/// Ids of the processes that were started and not ended.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Time after which a case that has not ended is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

extern "C" {
    fn kill(id: i32, signal: i32) -> i32;
}

/// Ends all processes and the program if the case takes too long.
fn watch(recorder: Recorder) {
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        recorder.say("could not run: the case has not ended in time");
        for id in PROCESSES.lock().unwrap().iter() {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(*id as i32, 9) };
        }
        std::process::exit(2);
    });
}

impl Process {
    fn start(dir: &PathBuf, name: &str, settings: &str) -> std::io::Result<Process> {
        let path = dir.join(format!("{name}.yaml"));
        std::fs::write(&path, settings)?;
        let log = File::create(dir.join(format!("{name}.log")))?;
        // The command of the deploy file, with another path of the settings.
        let child = Command::new("target/release/cowslipwingd")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        PROCESSES.lock().unwrap().push(child.id());
        Ok(Process { child })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        PROCESSES.lock().unwrap().retain(|id| *id != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An entry and the proxy before its port for agents.
pub struct EntryNode {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub proxy: Proxy,
    pub process: Process,
}

/// An agent and its minion.
pub struct AgentNode {
    pub name: String,
    pub minion: Minion,
    pub process: Process,
}

/// The deployment.
pub struct Deployment {
    pub entries: Vec<EntryNode>,
    pub agents: Vec<AgentNode>,
    pub store: Store,
    pub recorder: Recorder,
    pub dir: PathBuf,
}

pub const SERVICE: &str = "desk";
const PEER_PORT: u16 = 7720;

/// A network 127.A.B.0/24 on which nothing listens.
fn free_network() -> Option<(u8, u8)> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    let mut seed = now.subsec_nanos() ^ std::process::id();
    for _ in 0..50 {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let net = (10 + (seed >> 8) as u8 % 200, (seed >> 20) as u8);
        let is_free = |number: &u8| {
            [PEER_PORT, 8161, 8165, 8166, 8167, 9464]
                .iter()
                .all(|port| TcpListener::bind(host(net, *number, *port)).is_ok())
        };
        if (1..=60).all(|number| is_free(&number)) {
            return Some(net);
        }
    }
    None
}

impl Deployment {
    /// Starts the store, the minions and the processes, and waits until the entries are ready.
    pub fn start(
        recorder: Recorder,
        entry_count: u8,
        minions: Vec<MinionSpec>,
        config: &str,
    ) -> Result<Deployment, String> {
        let fail = |error: std::io::Error| error.to_string();
        let net = free_network().ok_or("no free loopback network")?;
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(fail)?;
        let (store, store_address) = Store::start(host(net, 1, 8169)).map_err(fail)?;
        store.put("keyed.op", "config", config);
        // Agents reach an entry at the address of its proxy, which the settings name as a seed.
        let seeds: Vec<String> =
            (0..entry_count.min(3)).map(|n| format!("\"{}\"", host(net, 30 + n, 8166))).collect();
        let seeds = format!("[{}]", seeds.join(","));
        let common = |role: &str, name: &str, number: u8| {
            format!(
                "role: {role}\nsite: z\nplatform:\n  node: {name}\n  ip: {}\n  seeds: {seeds}\n  \
                 peer_port: {PEER_PORT}\n  metrics_port: 9464\n  store: {store_address}\n  \
                 longest_lease: 1000ms\n  stop_grace: 6s\n",
                host(net, number, 0).ip()
            )
        };
        let telemetry = "telemetry:\n  traces: \"off\"\n  log: info\n";
        let mut entries = Vec::new();
        for n in 0..entry_count {
            let number = 10 + n;
            let name = format!("frontend-{}", n + 1);
            let (callers, ready) = (host(net, number, 8161), host(net, number, 8167));
            let peers = host(net, number, PEER_PORT);
            let proxy = Proxy::start(host(net, 30 + n, PEER_PORT), peers).map_err(fail)?;
            let settings = format!(
                "{}  callers: {callers}\n  ready: {ready}\n  remote_run_time_ratio: 1.5\n  \
                 advertise: {}\n{telemetry}",
                common("entry", &name, number),
                proxy.address
            );
            let process = Process::start(&dir, &name, &settings).map_err(fail)?;
            entries.push(EntryNode { callers, ready, proxy, process });
        }
        let mut agents = Vec::new();
        for (n, spec) in (0u8..).zip(minions) {
            let number = 40 + n;
            let name = format!("side-{}", n + 1);
            let (app, announcements) = (host(net, number, 8165), host(net, number, 8166));
            let minion = Minion::start(spec, app, announcements, recorder.clone()).map_err(fail)?;
            let settings = format!(
                "{}  announcements: {announcements}\n  endpoint: {app}\n{telemetry}",
                common("agent", &name, number)
            );
            let process = Process::start(&dir, &name, &settings).map_err(fail)?;
            agents.push(AgentNode { name, minion, process });
        }
        let deployment = Deployment { entries, agents, store, recorder, dir };
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let is_ready = |entry: &EntryNode| {
                let host = entry.ready.to_string();
                let headers = [("host", host.as_str())];
                let second = Duration::from_secs(1);
                net::call(entry.ready, "GET", "/readiness", &headers, b"", second)
                    .is_ok_and(|reply| reply.status() == 200)
            };
            if self.entries.iter().all(is_ready) {
                // All agents attach, and the minions have sent further heartbeats.
                std::thread::sleep(Duration::from_secs(3));
                self.recorder.say("all entries are ready");
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("the entries are not ready after 20 s".to_owned())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        self.agents.clear();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            println!("settings and logs stay in the temporary folder {}", self.dir.display());
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: harness CASE RECORD");
        std::process::exit(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let status = match Recorder::new(record) {
        Err(error) => {
            eprintln!("{record}: {error}");
            2
        }
        Ok(recorder) => {
            watch(recorder.clone());
            recorder.say(&format!("case {case}, with the disruption: {with_trouble}"));
            match cases::play(case, recorder.clone(), with_trouble) {
                Ok(None) => {
                    recorder.say("HELD");
                    0
                }
                Ok(Some(broken)) => {
                    recorder.say(&format!("BROKEN: {broken}"));
                    1
                }
                Err(error) => {
                    recorder.say(&format!("could not run: {error}"));
                    2
                }
            }
        }
    };
    std::process::exit(status);
}
