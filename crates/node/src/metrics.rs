//! Event counters and duration histograms in the Prometheus text format.

use std::fmt::Write;
use std::sync::Mutex;
use std::time::{Duration, SystemTime};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use cowslipwing_types::to_millis;

/// Upper bound of the first histogram bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.005;
/// Ratio of the upper bounds of two successive buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets with an upper bound; the last bound is about 10 s.
const BUCKET_COUNT: u16 = 12;

const MILLIS_PER_SECOND: u64 = 1000;

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct Labels {
    event: String,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ListenerLabels {
    listener: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct SiteLabels {
    site: String,
}

/// The metrics of a process.
pub struct Metrics {
    registry: Mutex<Registry>,
    events: Family<Labels, Counter>,
    durations: Family<Labels, Histogram>,
    /// For each evacuated data centre, the Unix time in seconds since when.
    evacuations: Family<SiteLabels, Gauge>,
    connections: Family<ListenerLabels, Gauge>,
    held_bytes: Family<ListenerLabels, Gauge>,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, BUCKET_FACTOR, BUCKET_COUNT))
}

impl Metrics {
    /// Creates metrics without any counts.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("cowslipwing");
        let events: Family<Labels, Counter> = Family::default();
        let durations: Family<Labels, Histogram> = Family::new_with_constructor(histogram);
        registry.register("events", "Events by their name", events.clone());
        registry.register("seconds", "Times by what took them", durations.clone());
        let evacuations: Family<SiteLabels, Gauge> = Family::default();
        registry.register(
            "evacuated_since_seconds",
            "Unix time at which this process learned of the evacuation of a data centre in force",
            evacuations.clone(),
        );
        let connections: Family<ListenerLabels, Gauge> = Family::default();
        registry.register("connections", "Open connections by listener", connections.clone());
        let held_bytes: Family<ListenerLabels, Gauge> = Family::default();
        registry.register(
            "held_bytes",
            "Memory that the connections of a listener count for",
            held_bytes.clone(),
        );
        let registry = Mutex::new(registry);
        Self { registry, events, durations, evacuations, connections, held_bytes }
    }

    /// Increments the counter of an event.
    pub fn count(&self, event: &str) {
        self.count_many(event, 1);
    }

    /// Adds a number to the counter of an event.
    pub fn count_many(&self, event: &str, count: u64) {
        self.events.get_or_create(&Labels { event: event.to_owned() }).inc_by(count);
    }

    /// Records a duration in the histogram of an event.
    pub fn observe(&self, event: &str, duration: Duration) {
        let histogram = self.durations.get_or_create(&Labels { event: event.to_owned() });
        histogram.observe(duration.as_secs_f64());
    }

    /// Records the open connections of a listener, and the bytes that they hold.
    pub(crate) fn set_connections(&self, listener: &'static str, connections: usize, bytes: u64) {
        let labels = ListenerLabels { listener };
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.connections.get_or_create(&labels).set(gauge(connections as u64));
        self.held_bytes.get_or_create(&labels).set(gauge(bytes));
    }

    /// Records whether a data centre is evacuated, as of `wall`. The gauge exists while it is.
    pub(crate) fn set_evacuation(&self, site: &str, active: bool, wall: SystemTime) {
        let labels = SiteLabels { site: site.to_owned() };
        if !active {
            self.evacuations.remove(&labels);
        } else if self.evacuations.get(&labels).is_none() {
            let seconds = to_millis(wall) / MILLIS_PER_SECOND;
            self.evacuations.get_or_create(&labels).set(i64::try_from(seconds).unwrap_or(i64::MAX));
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().expect("the lock on the registry is never poisoned");
        if let Err(error) = encode(&mut text, &registry) {
            // Writing to a string does not fail.
            let _ = writeln!(text, "# metrics cannot be encoded: {error}");
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
