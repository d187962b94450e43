//! Which queue a request belongs to.

use std::time::Duration;

use compact_str::CompactString;

use crate::job::ContractTerms;

/// A queue and the requests that belong to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The queue's name.
    pub name: CompactString,
    /// Host that requests name.
    pub host: CompactString,
    /// Beginning of the path.
    pub path_prefix: CompactString,
    /// Service whose endpoints run its jobs.
    pub service: CompactString,
    /// Longest time a request may take.
    pub timeout: Option<Duration>,
    /// What its contract says.
    pub terms: ContractTerms,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    version: u64,
    /// In the order of hosts, then prefixes.
    routes: Vec<Route>,
    max_body_bytes: usize,
}

/// Largest body of a request read while no configuration is known, in bytes.
const FIRST_BODY_BYTES: usize = 1 << 20;

impl Default for RouteTable {
    /// Returns the table of a process that knows no configuration yet.
    fn default() -> Self {
        Self::new(0, Vec::new(), FIRST_BODY_BYTES)
    }
}

impl RouteTable {
    /// Returns a table.
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
        Self { version, routes, max_body_bytes }
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the largest body of a request, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.max_body_bytes
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Tells whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the route with the longest prefix that a path begins with.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let from = self.routes.partition_point(|route| route.host.as_str() < host);
        let of_host = self.routes[from..].iter().take_while(|route| route.host == host);
        let matching = of_host.filter(|route| path.starts_with(route.path_prefix.as_str()));
        matching.max_by_key(|route| route.path_prefix.len())
    }
}
