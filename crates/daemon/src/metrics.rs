//! Counters and timers, by statsd.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};

const PREFIX: &str = "cowslipwing";

/// Sends metrics; losing some is harmless.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Returns metrics that go nowhere.
    pub fn disabled() -> Self {
        Self { client: Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)) }
    }

    /// Returns metrics that go to a statsd server.
    ///
    /// # Errors
    ///
    /// Fails where no UDP socket can be had.
    pub fn statsd(server: SocketAddr) -> std::io::Result<Self> {
        let local: SocketAddr =
            if server.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(server, socket).map_err(std::io::Error::other)?;
        let client = StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink));
        Ok(Self { client: Arc::new(client) })
    }

    /// Counts events.
    pub fn count(&self, name: &str, events: u64) {
        let _ = self.client.count(name, events);
    }

    /// Sets a level.
    pub fn gauge(&self, name: &str, level: u64) {
        let _ = self.client.gauge(name, level);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }
}
