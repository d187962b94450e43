//! Counters and latency histograms, served as text.

use std::fmt::Write;
use std::sync::Mutex;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Shortest time told apart, in seconds.
const FIRST_BUCKET_S: f64 = 0.005;
/// Buckets of times, each twice as long as the one before; the last ends at 10 s.
const BUCKETS: u16 = 12;

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct Labels {
    event: String,
}

/// What a process counts.
pub struct Metrics {
    registry: Mutex<Registry>,
    events: Family<Labels, Counter>,
    times: Family<Labels, Histogram>,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}

impl Metrics {
    /// Returns metrics that are all zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("cowslipwing");
        let events: Family<Labels, Counter> = Family::default();
        let times: Family<Labels, Histogram> = Family::new_with_constructor(histogram);
        registry.register("events", "Events by their name", events.clone());
        registry.register("seconds", "Times by what took them", times.clone());
        Self { registry: Mutex::new(registry), events, times }
    }

    /// Counts an event.
    pub fn count(&self, event: &str) {
        self.events.get_or_create(&Labels { event: event.to_owned() }).inc();
    }

    /// Records a time.
    pub fn observe(&self, event: &str, took: Duration) {
        let histogram = self.times.get_or_create(&Labels { event: event.to_owned() });
        histogram.observe(took.as_secs_f64());
    }

    /// Returns all metrics as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().expect("no holder of the registry panics");
        if let Err(error) = encode(&mut text, &registry) {
            // Writing into a string does not fail.
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
