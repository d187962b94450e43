//! Reconstructs jobs and endpoints from the log lines of entries and agents.

use std::collections::BTreeMap;
use std::time::Duration;

/// A task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// The run time on an endpoint of speed 1.
    pub work: Duration,
    /// The requested processors, in thousandths of a core.
    pub cpu_millis: u32,
}

/// An admitted job, all of whose tasks are known.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub queue: String,
    /// The time of the admission, from the start of the log.
    pub arrival: Duration,
    /// The time for which its caller waits, if the log states it.
    pub deadline: Option<Duration>,
    pub tasks: Vec<Task>,
    /// The decision that ended the job, such as `completed` or `overrun`.
    pub end: String,
}

impl Job {
    /// Returns the requested processor time of all tasks, in core-seconds on an endpoint of speed 1.
    pub fn core_seconds(&self) -> f64 {
        let of_task = |task: &Task| task.work.as_secs_f64() * f64::from(task.cpu_millis) / 1000.0;
        self.tasks.iter().map(of_task).sum()
    }
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The processors, in thousandths of a core.
    pub cpu_millis: u32,
    /// The run time of a task relative to its work, as stated in the last order to the endpoint.
    pub slowness: f64,
}

/// The jobs and endpoints of a log.
#[derive(Debug, Default)]
pub struct History {
    pub jobs: Vec<Job>,
    pub endpoints: Vec<Endpoint>,
    /// The number of refused jobs.
    pub refused: usize,
    /// The number of admitted jobs that are left out, because not all their tasks have ended.
    pub incomplete: usize,
}

/// A job as its admission was logged.
#[derive(Default)]
struct AdmittedJob {
    queue: String,
    arrival: Duration,
    deadline: Option<Duration>,
    /// The number of tasks.
    tasks: usize,
}

/// An order to start a task, as logged by the agent.
#[derive(Clone, Copy)]
struct Order {
    at: Duration,
    cpu_millis: u32,
    slowness: f64,
}

impl Order {
    /// Returns the task, given its run time on the endpoint of the order.
    fn task(&self, run_time: Duration) -> Task {
        const MIN_SLOWNESS: f64 = 0.01;
        Task {
            work: run_time.div_f64(self.slowness.max(MIN_SLOWNESS)),
            cpu_millis: self.cpu_millis,
        }
    }
}

/// A parsed log line.
struct Line<'a> {
    /// The time of the line, from the start of the log.
    at: Duration,
    vm: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    fn parse(text: &'a str) -> Option<Self> {
        let mut words = text.split_whitespace();
        let seconds: f64 = words.next()?.parse().ok()?;
        let at = Duration::try_from_secs_f64(seconds.max(0.0)).ok()?;
        let vm = words.next()?;
        Some(Self { at, vm, fields: words.filter_map(|word| word.split_once('=')).collect() })
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(key, _)| *key == name).map(|(_, value)| *value)
    }

    fn number(&self, name: &str) -> Option<f64> {
        self.get(name)?.parse().ok()
    }
}

#[derive(Default)]
struct LogReader {
    /// Admitted jobs by job id.
    jobs: BTreeMap<String, AdmittedJob>,
    /// Orders by run id.
    orders: BTreeMap<String, Order>,
    /// Ended tasks by job id and task id.
    tasks: BTreeMap<String, BTreeMap<String, Task>>,
    /// Jobs that were given up because a task was expected to end too late, by job id, with that
    /// task.
    overrun: BTreeMap<String, Task>,
    /// The decisions that ended jobs, by job id.
    ends: BTreeMap<String, String>,
    /// Endpoints by the VM of their agent.
    endpoints: BTreeMap<String, Endpoint>,
    refused: usize,
}

impl LogReader {
    /// Handles a line; returns `None` if the line lacks a field or names an unknown run or
    /// endpoint.
    fn on_line(&mut self, line: &Line<'_>) -> Option<()> {
        match line.get("event")? {
            "admitted" => {
                let job = AdmittedJob {
                    queue: line.get("queue")?.to_owned(),
                    arrival: line.at,
                    deadline: line.number("deadline_ms").and_then(from_millis),
                    tasks: line.get("tasks")?.parse().ok()?,
                };
                self.jobs.entry(line.get("job")?.to_owned()).or_insert(job);
            }
            "refused" => self.refused += 1,
            "announced" => {
                let cpu_millis = line.get("cpu")?.parse().ok()?;
                let endpoint = Endpoint { cpu_millis, slowness: 1.0 };
                self.endpoints.entry(line.vm.to_owned()).or_insert(endpoint).cpu_millis =
                    cpu_millis;
            }
            "order" => {
                let slowness = line.number("slowness")?;
                let cpu_millis = line.get("cpu_millis")?.parse().ok()?;
                let order = Order { at: line.at, cpu_millis, slowness };
                self.orders.insert(line.get("task")?.to_owned(), order);
                self.endpoints.get_mut(line.vm)?.slowness = slowness;
            }
            // The decision comes before the answer that it leads to.
            "overrun" | "crash-limit" => {
                let end = line.get("event")?.to_owned();
                self.ends.entry(job_id(line.get("task")?)?.to_owned()).or_insert(end);
            }
            "answered" => {
                let end = line.get("answer")?.to_lowercase();
                self.ends.entry(line.get("job")?.to_owned()).or_insert(end);
            }
            "done" => self.on_done(line)?,
            "task" => self.on_overrun(line)?,
            _ => {}
        }
        Some(())
    }

    fn on_done(&mut self, line: &Line<'_>) -> Option<()> {
        let run = line.get("task")?;
        let run_time = from_millis(line.number("ms")?)?;
        let ended_task = self.orders.get(run)?.task(run_time);
        let (task, _) = run.rsplit_once('/')?;
        let tasks = self.tasks.entry(job_id(task)?.to_owned()).or_default();
        tasks.insert(task.to_owned(), ended_task);
        Some(())
    }

    /// Handles a line such as `fate=Overrun(1.042224578s)`, which has the remaining time of a
    /// running task.
    fn on_overrun(&mut self, line: &Line<'_>) -> Option<()> {
        let remaining = line.get("fate")?.strip_prefix("Overrun(")?.strip_suffix(')')?;
        let run = line.get("task")?;
        let order = self.orders.get(run)?;
        let overrun_task = order.task(line.at.saturating_sub(order.at) + parse_seconds(remaining)?);
        self.overrun.insert(job_id(run)?.to_owned(), overrun_task);
        Some(())
    }

    fn finish(mut self) -> History {
        let mut history = History { refused: self.refused, ..History::default() };
        history.endpoints.extend(self.endpoints.into_values());
        for (id, job) in self.jobs {
            let mut tasks: Vec<Task> =
                self.tasks.remove(&id).map(|t| t.into_values().collect()).unwrap_or_default();
            if let Some(overrun) = self.overrun.get(&id) {
                // Only the size of the overrun task is known; the tasks of a job are of similar
                // size.
                tasks.resize(job.tasks, overrun.clone());
            }
            if tasks.len() < job.tasks {
                history.incomplete += 1;
                continue;
            }
            let end = self.ends.remove(&id).unwrap_or_else(|| "unanswered".to_owned());
            let AdmittedJob { queue, arrival, deadline, .. } = job;
            history.jobs.push(Job { id, queue, arrival, deadline, tasks, end });
        }
        history.jobs.sort_by_key(|job| job.arrival);
        history
    }
}

/// Returns the job id in the id of a task or a run, such as `a1` in `a1.0.0/1`.
fn job_id(task: &str) -> Option<&str> {
    Some(task.split_once('.')?.0)
}

fn from_millis(millis: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(millis / 1000.0).ok()
}

/// Parses a duration such as `999.302662ms` or `1.042224578s`.
fn parse_seconds(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(millis) => (millis, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    Duration::try_from_secs_f64(number.parse::<f64>().ok()? * unit).ok()
}

impl History {
    /// Parses a log, ignoring all lines of other kinds.
    pub fn parse(text: &str) -> Self {
        let mut reader = LogReader::default();
        for line in text.lines().filter_map(Line::parse) {
            // A line that lacks a field is of another kind.
            let _ = reader.on_line(&line);
        }
        reader.finish()
    }

    /// Returns the indexes in `jobs` of the jobs of each queue.
    pub fn queues(&self) -> BTreeMap<&str, Vec<usize>> {
        let mut queues: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (index, job) in self.jobs.iter().enumerate() {
            queues.entry(&job.queue).or_default().push(index);
        }
        queues
    }
}
