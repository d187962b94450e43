//! A crowd: many clients that send the same bytes, mostly stop short of an end, and stay.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Time after which a client that cannot connect or send any more stays as it is.
const PATIENCE: Duration = Duration::from_secs(2);

/// Number of bytes of a body, the limit of the platform's configuration.
pub const BODY_BYTES: usize = 262_144;

/// What each client of a crowd sends before it waits.
#[derive(Clone)]
pub struct Crowd {
    pub clients: usize,
    /// Sent once.
    pub head: Vec<u8>,
    /// Sent repeatedly after the head.
    pub piece: Vec<u8>,
    pub pieces: usize,
}

/// The open connections of a crowd.
pub struct OpenCrowd {
    connections: Vec<TcpStream>,
}

impl Crowd {
    /// Clients that connect and send nothing.
    pub fn idle(clients: usize) -> Self {
        Self { clients, head: Vec::new(), piece: Vec::new(), pieces: 0 }
    }

    /// Header lines without end.
    pub fn endless_heads(clients: usize) -> Self {
        let piece = format!("x-filler: {}\r\n", "x".repeat(1000)).into_bytes();
        Self {
            clients,
            head: b"GET / HTTP/1.1\r\nhost: desk.example\r\n".into(),
            piece,
            pieces: 380,
        }
    }

    /// Empty lines in place of a request.
    pub fn empty_lines(clients: usize) -> Self {
        Self { clients, head: Vec::new(), piece: b"\r\n".repeat(512), pieces: 380 }
    }

    /// A body of which `missing` bytes at the end are not sent, in pieces of `piece_bytes`.
    pub fn bodies(clients: usize, post: &str, bytes: usize, piece_bytes: usize) -> Self {
        let head = format!("{post}content-length: {bytes}\r\n\r\n").into_bytes();
        // The last piece lacks more than a byte where the pieces do not add up to the body.
        let pieces = (bytes - 1) / piece_bytes;
        let rest = (bytes - 1) % piece_bytes;
        let head = [head, b" ".repeat(rest)].concat();
        Self { clients, head, piece: b" ".repeat(piece_bytes), pieces }
    }

    /// A body in chunks of `chunk_bytes`, without the last chunk; `batch` chunks are sent at once.
    pub fn chunks(
        clients: usize,
        post: &str,
        chunk_bytes: usize,
        batch: usize,
        batches: usize,
    ) -> Self {
        let head = format!("{post}transfer-encoding: chunked\r\n\r\n").into_bytes();
        let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", " ".repeat(chunk_bytes));
        Self { clients, head, piece: chunk.repeat(batch).into_bytes(), pieces: batches }
    }

    /// Complete requests, of which no answer is read.
    pub fn unread_answers(clients: usize, path: &str) -> Self {
        let get = format!("GET {path} HTTP/1.1\r\nhost: desk.example\r\n\r\n").into_bytes();
        Self { clients, head: Vec::new(), piece: get.repeat(100), pieces: 100 }
    }

    /// Lets all clients connect and send, and returns them with their connections open.
    pub async fn press(self, address: SocketAddr) -> OpenCrowd {
        let mut clients = JoinSet::new();
        for _ in 0..self.clients {
            clients.spawn(self.clone().send(address));
        }
        let connections = clients.join_all().await.into_iter().flatten().collect();
        OpenCrowd { connections }
    }

    async fn send(self, address: SocketAddr) -> Option<TcpStream> {
        let mut stream = timeout(PATIENCE, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let pieces = std::iter::repeat_n(&self.piece, self.pieces);
        for part in std::iter::once(&self.head).chain(pieces) {
            match timeout(PATIENCE, stream.write_all(part)).await {
                Ok(Ok(())) => {}
                // The process has closed the connection, or reads no more.
                _ => break,
            }
        }
        Some(stream)
    }
}

impl OpenCrowd {
    /// Returns the number of clients that have connected.
    pub fn connected(&self) -> usize {
        self.connections.len()
    }
}
