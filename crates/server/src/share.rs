//! Divides the memory and the descriptors of a process among its listeners.

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
    /// Returns the limits of a listener's connections. Without a setting for the descriptors, the limit
    /// of the operating system counts.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_server::Share;
    /// use cowslipwing_settings::Config;
    ///
    /// let text = "\
    /// role: agent
    /// site: athens
    /// agent:
    ///   endpoint: desk
    ///   rpc: 127.0.0.1:7101
    ///   target: 127.0.0.1:7201
    ///   contact: 127.0.0.1:7001
    /// limits:
    ///   memory: 250MiB
    ///   descriptors: 4200
    /// ";
    /// let limits = Config::parse(text).unwrap().limits;
    /// let callers = Share::Callers.connection_limits(&limits);
    /// assert_eq!((callers.connections, callers.memory.to_string()), (800, "100MiB".into()));
    /// ```
    pub fn connection_limits(self, limits: &LimitConfig) -> ConnectionLimits {
        // The call fails only if the resource is not known.
        let soft = || getrlimit(Resource::RLIMIT_NOFILE).map_or(DEFAULT_DESCRIPTORS, |it| it.0);
        let descriptors = limits.descriptors.map_or_else(soft, u64::from);
        let sockets = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let division = self.division();
        let memory = limits.memory.bytes() * division.memory_percent / 100;
        let for_connections = memory * division.connection_percent / 100;
        let head = if division.is_http1 { limits.head } else { ByteSize::new(0) };
        let each = division.connection_memory.bytes() + head.bytes();
        let by_descriptors = sockets / division.socket_divisor;
        let connections = (for_connections / each).min(by_descriptors).max(MIN_CONNECTIONS);
        ConnectionLimits {
            connections: connections as usize,
            memory: ByteSize::new(memory),
            connection_memory: division.connection_memory,
            head,
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
            min_rate: limits.min_rate,
        }
    }

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
