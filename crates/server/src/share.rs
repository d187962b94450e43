//! Divides the memory and the descriptors of a process among its listeners.

use std::time::Duration;

use cowslipwing_dispatch::ConnectionLimits;
use cowslipwing_types::ByteSize;
use nix::sys::resource::{Resource, getrlimit};

/// Descriptors for files and pipes, and what the process opens itself for the store and for others.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Memory that each connection counts for: the buffer in the kernel, and those of HTTP.
const CLIENT_MEMORY: ByteSize = ByteSize::new(64 << 10);
/// The same for a connection between processes, whose messages count by themselves.
const PEER_MEMORY: ByteSize = ByteSize::new(32 << 10);
/// Connections that a listener may have however few descriptors there are.
const MIN_CONNECTIONS: u64 = 4;
const DEFAULT_HEAD: ByteSize = ByteSize::new(16 << 10);
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const DEFAULT_MIN_RATE: ByteSize = ByteSize::new(1 << 10);

/// What a process may use.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    memory: ByteSize,
    descriptors: u64,
    /// Maximum size of a request's head.
    pub head: ByteSize,
    /// Time within which the head of a request must arrive.
    pub header_timeout: Duration,
    /// Time without progress after which a connection is closed.
    pub idle_timeout: Duration,
    /// Rate in bytes per second below which a request counts as stalled.
    pub min_rate: ByteSize,
}

/// The part of a process that a listener takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Share {
    /// Callers: half of the memory and of the descriptors.
    Callers,
    /// Other processes of the system: a quarter of the memory and of the descriptors.
    Peers,
    /// Announcements of the endpoint beside an agent: a quarter of the memory, an eighth of the
    /// descriptors.
    Announcements,
    /// Probes and metrics: a thirty-second of the memory and of the descriptors.
    Probes,
}

impl ProcessLimits {
    /// Creates limits with the default timeouts. Without a number of descriptors, the limit of the
    /// operating system counts.
    pub fn new(memory: ByteSize, descriptors: Option<u32>) -> Self {
        // The call fails only if the resource is not known.
        let soft = || getrlimit(Resource::RLIMIT_NOFILE).map_or(1024, |(soft, _)| soft);
        Self {
            memory,
            descriptors: descriptors.map_or_else(soft, u64::from),
            head: DEFAULT_HEAD,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            min_rate: DEFAULT_MIN_RATE,
        }
    }

    /// Returns the limits of a listener.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_server::{ProcessLimits, Share};
    /// use cowslipwing_types::ByteSize;
    ///
    /// let limits = ProcessLimits::new(ByteSize::new(256 << 20), Some(4200));
    /// let callers = limits.connections(Share::Callers);
    /// assert_eq!((callers.connections, callers.memory.to_string()), (1024, "128MiB".into()));
    /// ```
    pub fn connections(&self, share: Share) -> ConnectionLimits {
        let sockets = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let division = share.division();
        let memory = self.memory.bytes() / division.memory_divisor;
        let for_connections = memory * division.connection_percent / 100;
        let by_memory = for_connections / division.connection_memory.bytes();
        let connections = by_memory.min(sockets / division.socket_divisor).max(MIN_CONNECTIONS);
        ConnectionLimits {
            connections: connections as usize,
            memory: ByteSize::new(memory),
            connection_memory: division.connection_memory,
            head: self.head,
            header_timeout: self.header_timeout,
            idle_timeout: self.idle_timeout,
            min_rate: self.min_rate,
        }
    }
}

/// The part of a listener in numbers.
struct Division {
    memory_divisor: u64,
    socket_divisor: u64,
    /// Memory that each connection counts for.
    connection_memory: ByteSize,
    /// Part of the memory that connections without requests may take up. The rest is kept for bodies,
    /// so that a small request gets in beside a full number of connections.
    connection_percent: u64,
}

impl Share {
    fn division(self) -> Division {
        let clients = Division {
            memory_divisor: 2,
            socket_divisor: 2,
            connection_memory: CLIENT_MEMORY,
            connection_percent: 50,
        };
        match self {
            Self::Callers => clients,
            Self::Peers => Division {
                memory_divisor: 4,
                socket_divisor: 4,
                connection_memory: PEER_MEMORY,
                connection_percent: 75,
            },
            Self::Announcements => Division { memory_divisor: 4, socket_divisor: 8, ..clients },
            Self::Probes => Division { memory_divisor: 32, socket_divisor: 32, ..clients },
        }
    }
}
