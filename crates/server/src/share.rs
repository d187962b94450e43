//! Divides the memory and the descriptors of a process among its listeners.

use std::time::Duration;

use cowslipwing_dispatch::ConnectionLimits;
use cowslipwing_settings::LimitConfig;
use cowslipwing_types::ByteSize;
use nix::sys::resource::{Resource, getrlimit};

/// Descriptors for files and pipes, and what the process opens itself for the store and for others.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Memory that each connection counts for beside a head: the buffer in the kernel, and those of HTTP.
const CLIENT_MEMORY: ByteSize = ByteSize::new(48 << 10);
/// The same for a connection between processes, whose messages count by themselves.
const PEER_MEMORY: ByteSize = ByteSize::new(32 << 10);
/// Descriptors if the operating system states no limit.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Connections that a listener may have however few descriptors there are.
const MIN_CONNECTIONS: u64 = 4;

/// What a process may use.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// Memory.
    pub memory: ByteSize,
    /// Number of descriptors; without one, the limit of the operating system counts.
    pub descriptors: Option<u32>,
    /// Maximum size of a request's head.
    pub head: ByteSize,
    /// Time within which the head of a request must arrive.
    pub header_timeout: Duration,
    /// Time without progress after which a connection is closed.
    pub idle_timeout: Duration,
    /// Rate in bytes per second below which a request counts as stalled.
    pub min_rate: ByteSize,
}

/// The part of a process that a listener takes. The rest of the memory is for the process itself, for
/// connections that are being closed, and for what the allocator does not give back at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Share {
    /// Callers: 40% of the memory, half of the descriptors.
    Callers,
    /// Other processes of the system: 20% of the memory, a quarter of the descriptors.
    Peers,
    /// Announcements of the endpoint beside an agent: a quarter of the memory, an eighth of the
    /// descriptors.
    Announcements,
    /// Probes and metrics: 3% of the memory, a thirty-second of the descriptors.
    Probes,
}

impl From<&LimitConfig> for ProcessLimits {
    fn from(config: &LimitConfig) -> Self {
        Self {
            memory: config.memory,
            descriptors: config.descriptors,
            head: config.head,
            header_timeout: config.header_timeout,
            idle_timeout: config.idle_timeout,
            min_rate: config.min_rate,
        }
    }
}

impl ProcessLimits {
    /// Returns the limits of a listener.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use cowslipwing_server::{ProcessLimits, Share};
    /// use cowslipwing_types::ByteSize;
    ///
    /// let limits = ProcessLimits {
    ///     memory: ByteSize::new(250 << 20),
    ///     descriptors: Some(4200),
    ///     head: ByteSize::new(16 << 10),
    ///     header_timeout: Duration::from_secs(3),
    ///     idle_timeout: Duration::from_secs(15),
    ///     min_rate: ByteSize::new(1 << 10),
    /// };
    /// let callers = limits.connections(Share::Callers);
    /// assert_eq!((callers.connections, callers.memory.to_string()), (800, "100MiB".into()));
    /// ```
    pub fn connections(&self, share: Share) -> ConnectionLimits {
        // The call fails only if the resource is not known.
        let soft = || getrlimit(Resource::RLIMIT_NOFILE).map_or(DEFAULT_DESCRIPTORS, |it| it.0);
        let descriptors = self.descriptors.map_or_else(soft, u64::from);
        let sockets = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let division = share.division();
        let memory = self.memory.bytes() * division.memory_percent / 100;
        let for_connections = memory * division.connection_percent / 100;
        let head = if division.is_http1 { self.head } else { ByteSize::new(0) };
        let each = division.connection_memory.bytes() + head.bytes();
        let by_memory = for_connections / each;
        let connections = by_memory.min(sockets / division.socket_divisor).max(MIN_CONNECTIONS);
        ConnectionLimits {
            connections: connections as usize,
            memory: ByteSize::new(memory),
            connection_memory: division.connection_memory,
            head,
            header_timeout: self.header_timeout,
            idle_timeout: self.idle_timeout,
            min_rate: self.min_rate,
        }
    }
}

/// The part of a listener in numbers.
struct Division {
    memory_percent: u64,
    socket_divisor: u64,
    /// Whether a connection holds the head of a request.
    is_http1: bool,
    /// Memory that each connection counts for.
    connection_memory: ByteSize,
    /// Part of the memory that connections without requests may take up. The rest is kept for bodies,
    /// so that a small request gets in beside a full number of connections.
    connection_percent: u64,
}

impl Share {
    fn division(self) -> Division {
        let clients = Division {
            memory_percent: 40,
            socket_divisor: 2,
            is_http1: true,
            connection_memory: CLIENT_MEMORY,
            connection_percent: 50,
        };
        match self {
            Self::Callers => clients,
            Self::Peers => Division {
                memory_percent: 20,
                socket_divisor: 4,
                is_http1: false,
                connection_memory: PEER_MEMORY,
                connection_percent: 75,
            },
            Self::Announcements => Division { memory_percent: 25, socket_divisor: 8, ..clients },
            Self::Probes => Division { memory_percent: 3, socket_divisor: 32, ..clients },
        }
    }
}
