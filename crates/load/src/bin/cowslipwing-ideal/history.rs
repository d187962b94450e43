//! Jobs and endpoints, read back from log lines.

use std::collections::BTreeMap;
use std::time::Duration;

/// A task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// Run time on an endpoint of speed 1.
    pub work: Duration,
    pub cpu_millis: u32,
}

/// A job that was admitted.
#[derive(Clone, Debug)]
pub struct Job {
    pub queue: String,
    /// When it came, from the start of the log.
    pub at: Duration,
    pub tasks: Vec<Task>,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub cpu_millis: u32,
    /// Run time of a task relative to its work; as last learned.
    pub slowness: f64,
}

/// What a log tells.
#[derive(Debug, Default)]
pub struct History {
    pub jobs: Vec<Job>,
    pub endpoints: Vec<Endpoint>,
    /// Jobs that were refused.
    pub refused: usize,
    /// Jobs some of whose tasks have not ended.
    pub incomplete: usize,
}

#[derive(Default)]
struct Seen {
    queue: String,
    at: Duration,
    tasks: usize,
}

#[derive(Clone, Copy)]
struct Order {
    at: Duration,
    cpu_millis: u32,
    slowness: f64,
}

impl Order {
    fn task(&self, takes: Duration) -> Task {
        Task { work: takes.div_f64(self.slowness.max(0.01)), cpu_millis: self.cpu_millis }
    }
}

/// A line, cut into its parts.
struct Line<'a> {
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
        self.fields.iter().find(|(known, _)| *known == name).map(|(_, value)| *value)
    }

    fn number(&self, name: &str) -> Option<f64> {
        self.get(name)?.parse().ok()
    }
}

#[derive(Default)]
struct Reader {
    jobs: BTreeMap<String, Seen>,
    orders: BTreeMap<String, Order>,
    tasks: BTreeMap<String, BTreeMap<String, Task>>,
    /// Jobs one of whose tasks was projected to end too late, and that task.
    overrun: BTreeMap<String, Task>,
    endpoints: BTreeMap<String, Endpoint>,
    refused: usize,
}

impl Reader {
    fn take(&mut self, line: &Line<'_>) -> Option<()> {
        match line.get("event")? {
            "admitted" => {
                let seen = Seen {
                    queue: line.get("queue")?.to_owned(),
                    at: line.at,
                    tasks: line.get("tasks")?.parse().ok()?,
                };
                self.jobs.entry(line.get("job")?.to_owned()).or_insert(seen);
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
            "done" => self.on_done(line)?,
            "task" => self.on_overrun(line)?,
            _ => {}
        }
        Some(())
    }

    fn on_done(&mut self, line: &Line<'_>) -> Option<()> {
        let run = line.get("task")?;
        let takes = Duration::try_from_secs_f64(line.number("ms")? / 1000.0).ok()?;
        let found = self.orders.get(run)?.task(takes);
        let (task, _) = run.rsplit_once('/')?;
        let tasks = self.tasks.entry(job_of(task)?.to_owned()).or_default();
        tasks.insert(task.to_owned(), found);
        Some(())
    }

    /// Takes in a line such as `fate=Overrun(1.042224578s)`, which tells how long a task still needs.
    fn on_overrun(&mut self, line: &Line<'_>) -> Option<()> {
        let left = line.get("fate")?.strip_prefix("Overrun(")?.strip_suffix(')')?;
        let run = line.get("task")?;
        let order = self.orders.get(run)?;
        let found = order.task(line.at.saturating_sub(order.at) + seconds(left)?);
        self.overrun.insert(job_of(run)?.to_owned(), found);
        Some(())
    }

    fn finish(mut self) -> History {
        let mut history = History { refused: self.refused, ..History::default() };
        history.endpoints.extend(self.endpoints.into_values());
        for (id, seen) in self.jobs {
            let mut tasks: Vec<Task> =
                self.tasks.remove(&id).map(|t| t.into_values().collect()).unwrap_or_default();
            if let Some(overrun) = self.overrun.get(&id) {
                // The tasks of a job are of about the same size.
                tasks.resize(seen.tasks, overrun.clone());
            }
            if tasks.len() < seen.tasks {
                history.incomplete += 1;
                continue;
            }
            history.jobs.push(Job { queue: seen.queue, at: seen.at, tasks });
        }
        history.jobs.sort_by_key(|job| job.at);
        history
    }
}

fn job_of(task: &str) -> Option<&str> {
    Some(task.split_once('.')?.0)
}

/// Reads a time such as `999.302662ms` or `1.042224578s`.
fn seconds(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(millis) => (millis, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    Duration::try_from_secs_f64(number.parse::<f64>().ok()? * unit).ok()
}

impl History {
    /// Reads a log; lines that are none of ours are passed over.
    pub fn parse(text: &str) -> Self {
        let mut reader = Reader::default();
        for line in text.lines().filter_map(Line::parse) {
            // A line that lacks a field is of another kind.
            let _ = reader.take(&line);
        }
        reader.finish()
    }

    /// Returns the numbers of each queue's jobs.
    pub fn queues(&self) -> BTreeMap<&str, Vec<usize>> {
        let mut queues: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (number, job) in self.jobs.iter().enumerate() {
            queues.entry(&job.queue).or_default().push(number);
        }
        queues
    }
}
