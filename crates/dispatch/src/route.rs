//! Routes requests to queues.

use std::time::Duration;

use compact_str::CompactString;

use crate::job::ContractTerms;

/// A queue and the requests that are routed to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the queue.
    pub name: CompactString,
    /// Host that requests must name.
    pub host: CompactString,
    /// Prefix that the path of requests must have.
    pub path_prefix: CompactString,
    /// Service whose endpoints run the jobs of the queue.
    pub service: CompactString,
    /// Time for which callers wait that do not state it, if the queue has one.
    pub timeout: Option<Duration>,
    /// Terms of the queue's contract.
    pub terms: ContractTerms,
}

/// Limits of a request that a configuration states, in place of those of the settings.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestLimits {
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: Option<usize>,
    /// Time within which the head of a request must arrive.
    pub header_timeout: Option<Duration>,
    /// Time without progress after which a connection is closed.
    pub idle_timeout: Option<Duration>,
}

/// One version of the routing configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    version: u64,
    /// Sorted by host, then by path prefix.
    routes: Vec<Route>,
    max_body_bytes: usize,
    limits: RequestLimits,
}

/// Maximum body size of a request before a configuration is known, in bytes.
const INITIAL_MAX_BODY_BYTES: usize = 1 << 20;

impl Default for RouteTable {
    /// Creates the table of a process that has not received a configuration yet.
    fn default() -> Self {
        Self::new(0, Vec::new(), INITIAL_MAX_BODY_BYTES)
    }
}

impl RouteTable {
    /// Creates a table of routes.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_dispatch::{ContractTerms, Route, RouteTable};
    /// use std::time::Duration;
    ///
    /// let terms = ContractTerms {
    ///     max_attempts: 3,
    ///     stretch: 1.6,
    ///     target_latency: Duration::ZERO,
    ///     priority: 0,
    /// };
    /// let route = |prefix: &str| Route {
    ///     name: prefix.into(),
    ///     host: "desk.example".into(),
    ///     path_prefix: prefix.into(),
    ///     service: "desk".into(),
    ///     timeout: None,
    ///     terms,
    /// };
    /// let table = RouteTable::new(7, vec![route("/q/"), route("/q/hold/")], 1024);
    /// assert_eq!(table.find("desk.example", "/q/hold/1").unwrap().path_prefix, "/q/hold/");
    /// assert!(table.find("desk.example", "/other").is_none());
    /// ```
    pub fn new(version: u64, mut routes: Vec<Route>, max_body_bytes: usize) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
        Self { version, routes, max_body_bytes, limits: RequestLimits::default() }
    }

    /// Sets further limits of a request.
    #[must_use]
    pub fn with_limits(self, limits: RequestLimits) -> Self {
        Self { limits, ..self }
    }

    /// Returns the further limits of a request.
    pub fn limits(&self) -> RequestLimits {
        self.limits
    }

    /// Returns the version of the configuration; 0 if none has been received.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the maximum body size of a request, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.max_body_bytes
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the route of a host with the longest prefix that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let first = self.routes.partition_point(|route| route.host.as_str() < host);
        let same_host = self.routes[first..].iter().take_while(|route| route.host == host);
        let matching = same_host.filter(|route| path.starts_with(route.path_prefix.as_str()));
        matching.max_by_key(|route| route.path_prefix.len())
    }
}
