//! Counters, gauges and timers, sent to a statsd server.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};

/// Prefix of every metric name.
const PREFIX: &str = "cowslipwing";

/// A client that sends metrics over UDP. Send errors are ignored, because no other part of the
/// process depends on metrics.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client that discards all metrics.
    pub fn disabled() -> Self {
        Self { client: Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)) }
    }

    /// Creates a client that sends metrics to a statsd server from a background thread.
    ///
    /// # Errors
    ///
    /// Returns an error if no UDP socket can be opened.
    pub fn statsd(server: SocketAddr) -> std::io::Result<Self> {
        let local_addr: SocketAddr =
            if server.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
        let socket = UdpSocket::bind(local_addr)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(server, socket).map_err(std::io::Error::other)?;
        let client = StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink));
        Ok(Self { client: Arc::new(client) })
    }

    /// Adds a number of events to a counter.
    pub fn count(&self, name: &str, events: u64) {
        let _ = self.client.count(name, events);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration in a timer, in milliseconds.
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }
}
