//! Which answer a client reads whose request is not taken, and who keeps its place.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use cowslipwing_dispatch::ConnectionLimits;
use cowslipwing_server::{
    Account, AccountCounts, BodyError, ClientConnection, Listener, Refusal, Stage, read_body,
};
use cowslipwing_types::{ByteSize, ManualClock};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const MAX_BODY_BYTES: usize = 100_000;
/// Time after which a test fails that waits for an answer.
const PATIENCE: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which the server reads what has been sent, also on a busy machine.
const SETTLE_TIME: Duration = Duration::from_millis(400);

const LIMITS: ConnectionLimits = ConnectionLimits {
    connections: 4,
    memory: ByteSize::new(400_000),
    connection_memory: ByteSize::new(20_000),
    head: ByteSize::new(8192),
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
    min_rate: ByteSize::new(1000),
};

/// A listener that answers with the length of the body; a GET is answered once `release` is notified.
struct Server {
    address: std::net::SocketAddr,
    account: Arc<Account>,
    clock: Arc<ManualClock>,
    release: Arc<tokio::sync::Notify>,
    /// Counts of the last interval in which something happened.
    counts: Arc<Mutex<AccountCounts>>,
    _stage: watch::Sender<Stage>,
}

async fn answer(
    req: Request<Incoming>,
    release: Arc<tokio::sync::Notify>,
) -> Response<Full<Bytes>> {
    let (parts, body) = req.into_parts();
    if parts.method == hyper::Method::GET {
        release.notified().await;
        return Response::new(Full::new("released".into()));
    }
    let connection = parts.extensions.get::<Arc<ClientConnection>>().expect("the connection");
    let read = read_body(connection, body, MAX_BODY_BYTES).await;
    let (status, text) = match read {
        Ok(body) => (200, body.bytes().len().to_string()),
        Err(BodyError::TooLarge { .. }) => (413, "too large".to_owned()),
        Err(BodyError::Refused { refusal }) => (refusal.status(), refusal.to_string()),
        Err(BodyError::Incomplete) => (400, "incomplete".to_owned()),
    };
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = hyper::StatusCode::from_u16(status).expect("a valid status");
    response
}

impl Server {
    fn start() -> Self {
        let clock = Arc::new(ManualClock::new());
        let account = Account::new(LIMITS, clock.clone());
        let counts: Arc<Mutex<AccountCounts>> = Arc::default();
        let reported = counts.clone();
        let report = Arc::new(move |_: &'static str, _: &Account, counts: AccountCounts| {
            if counts != AccountCounts::default() {
                *reported.lock().expect("the lock is not poisoned") = counts;
            }
        });
        let address = "127.0.0.1:0".parse().expect("a valid address");
        let encode = |refusal: Refusal| format!("\"{refusal}\"");
        let listener = Listener::bind("test", address, account.clone(), encode, report);
        let listener = listener.expect("the address is free");
        let address = listener.local_addr().expect("the listener has an address");
        let stage = watch::Sender::new(Stage::Serving);
        let release = Arc::new(tokio::sync::Notify::new());
        let handler_release = release.clone();
        let handle = move |req| answer(req, handler_release.clone());
        tokio::spawn(listener.serve_http1(stage.subscribe(), handle));
        Self { address, account, clock, release, counts, _stage: stage }
    }

    async fn connect(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("the listener accepts");
        stream.write_all(bytes).await.expect("the kernel takes the bytes");
        stream
    }

    /// Waits until the connections hold a number of bytes.
    async fn wait_held(&self, bytes: u64) {
        let held = async {
            while self.account.usage().memory.bytes() != bytes {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(PATIENCE, held).await.unwrap_or_else(|_| panic!("{:?}", self.account.usage()));
    }
}

impl Server {
    /// Waits until a report names exactly these counts.
    async fn wait_counts(&self, expected: AccountCounts) {
        let counts = || *self.counts.lock().expect("the lock is not poisoned");
        let reported = async {
            while counts() != expected {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(PATIENCE, reported).await.unwrap_or_else(|_| panic!("{:?}", counts()));
    }
}

/// Reads until the server closes the connection; fails if it is reset.
async fn read_all(mut stream: TcpStream) -> String {
    let mut text = String::new();
    let read = timeout(PATIENCE, stream.read_to_string(&mut text)).await;
    read.expect("the connection is closed").expect("the connection is not reset");
    text
}

fn post(bytes: usize) -> String {
    format!("POST / HTTP/1.1\r\nhost: z\r\ncontent-length: {bytes}\r\n\r\n")
}

/// Memory that an open connection counts for.
const OPEN: u64 = 28_192;

#[tokio::test]
async fn a_request_that_makes_no_progress_is_told_so() {
    struct Case {
        name: &'static str,
        sent: String,
        /// Time without progress after which it is closed.
        after: Duration,
        answer: &'static str,
    }
    let cases = [
        Case {
            name: "a body",
            sent: post(1000) + "x",
            after: LIMITS.idle_timeout,
            answer: "HTTP/1.1 408",
        },
        Case {
            name: "a head",
            sent: "GET / HTTP/1.1\r\nhost".into(),
            after: LIMITS.header_timeout,
            answer: "HTTP/1.1 408",
        },
        Case {
            name: "empty lines",
            sent: "\r\n\r\n\r\n".into(),
            after: LIMITS.header_timeout,
            answer: "HTTP/1.1 408",
        },
    ];
    for case in cases {
        let server = Server::start();
        let stream = server.connect(case.sent.as_bytes()).await;
        let is_body = case.sent.starts_with("POST");
        server.wait_held(OPEN + if is_body { 1000 } else { 0 }).await;
        // The bytes must have been read before the time passes.
        sleep(SETTLE_TIME).await;
        server.clock.advance(case.after);
        let text = read_all(stream).await;
        assert!(text.starts_with(case.answer), "{}: {text:?}", case.name);
        assert!(text.contains("not run"), "{}: {text:?}", case.name);
        server.wait_held(0).await;
        server.wait_counts(AccountCounts { timed_out: 1, ..AccountCounts::default() }).await;
    }
}

/// An answer without a request would be taken for that to the next request.
#[tokio::test]
async fn an_idle_client_only_sees_its_connection_close() {
    for first_request in ["", "POST / HTTP/1.1\r\nhost: z\r\ncontent-length: 1\r\n\r\nx"] {
        let server = Server::start();
        let mut stream = server.connect(first_request.as_bytes()).await;
        server.wait_held(OPEN).await;
        if !first_request.is_empty() {
            let mut answer = Vec::new();
            while !answer.ends_with(b"\r\n\r\n1") {
                let read = timeout(PATIENCE, stream.read_buf(&mut answer)).await;
                assert!(read.expect("an answer").expect("no reset") > 0);
            }
        }
        // The connection must be idle before the time passes.
        sleep(SETTLE_TIME).await;
        server.clock.advance(LIMITS.idle_timeout);
        assert_eq!(read_all(stream).await, "");
        server.wait_held(0).await;
        let counts = *server.counts.lock().expect("the lock is not poisoned");
        assert_eq!(counts, AccountCounts::default(), "{first_request:?}");
    }
}

#[tokio::test]
async fn a_slow_body_is_served_while_there_is_room() {
    let server = Server::start();
    let mut stream = server.connect(post(10).as_bytes()).await;
    for _ in 0..10 {
        server.clock.advance(LIMITS.idle_timeout - Duration::from_secs(1));
        stream.write_all(b"x").await.expect("the server reads");
        // The byte must have been read before the next pause.
        sleep(SETTLE_TIME).await;
    }
    let mut start = [0; 12];
    timeout(PATIENCE, stream.read_exact(&mut start)).await.expect("an answer").expect("no reset");
    assert_eq!(&start, b"HTTP/1.1 200");
}

#[tokio::test]
async fn a_client_that_sends_too_much_reads_why() {
    struct Case {
        name: &'static str,
        sent: Vec<u8>,
        answer: &'static str,
    }
    let long_head = format!("GET / HTTP/1.1\r\nx: {}\r\n", "x".repeat(30_000));
    let cases = [
        Case {
            name: "a body over its limit by its length",
            sent: [post(200_000).into_bytes(), vec![b'x'; 200_000]].concat(),
            answer: "HTTP/1.1 413",
        },
        Case {
            name: "chunks over the limit",
            sent: format!(
                "POST / HTTP/1.1\r\nhost: z\r\ntransfer-encoding: chunked\r\n\r\n{}",
                format!("2710\r\n{}\r\n", "x".repeat(10_000)).repeat(20)
            )
            .into_bytes(),
            answer: "HTTP/1.1 413",
        },
        Case { name: "a long head", sent: long_head.into_bytes(), answer: "HTTP/1.1 431" },
    ];
    for case in cases {
        let server = Server::start();
        let (name, answer) = (case.name, case.answer);
        let stream = TcpStream::connect(server.address).await.expect("the listener accepts");
        let (mut rx, mut tx) = stream.into_split();
        let sender = tokio::spawn(async move {
            // The server may stop to read.
            let _ = tx.write_all(&case.sent).await;
            tx
        });
        let mut start = [0; 12];
        let read = timeout(PATIENCE, rx.read_exact(&mut start)).await.expect("an answer");
        read.unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(String::from_utf8_lossy(&start), answer, "{name}");
        drop(sender);
        drop(rx);
        server.wait_held(0).await;
    }
}

#[tokio::test]
async fn a_client_without_room_is_told_to_come_back() {
    let server = Server::start();
    let get = b"GET / HTTP/1.1\r\nhost: z\r\n\r\n";
    let mut served = Vec::new();
    for count in 1..=LIMITS.connections as u64 {
        served.push(server.connect(get).await);
        server.wait_held(count * OPEN).await;
    }
    sleep(SETTLE_TIME).await;
    // None of the requests that are being served makes room.
    let text = read_all(server.connect(&[post(10).as_bytes(), b"0123456789"].concat()).await).await;
    assert!(text.starts_with("HTTP/1.1 503"), "{text:?}");
    assert!(text.contains("retry-after: 1") && text.contains("not run"), "{text:?}");
    let expected = AccountCounts { refused_connections: 1, ..AccountCounts::default() };
    server.wait_counts(expected).await;
    server.release.notify_waiters();
    for mut stream in served {
        let mut start = [0; 12];
        let read = timeout(PATIENCE, stream.read_exact(&mut start)).await.expect("an answer");
        read.expect("the connection is not reset");
        assert_eq!(&start, b"HTTP/1.1 200");
    }
}

#[tokio::test]
async fn a_stalled_body_makes_room_and_is_told_so() {
    let server = Server::start();
    let stalled = server.connect((post(90_000) + &"x".repeat(70_000)).as_bytes()).await;
    let segments: u64 = 5 * (16 << 10);
    server.wait_held(OPEN + segments).await;
    let mut others = Vec::new();
    for count in 2..=LIMITS.connections as u64 {
        others.push(server.connect(b"").await);
        server.wait_held(count * OPEN + segments).await;
    }
    server.clock.advance(Duration::from_secs(2));
    let ordinary = post(5) + "hello";
    let mut stream = server.connect(ordinary.as_bytes()).await;
    let mut start = [0; 12];
    timeout(PATIENCE, stream.read_exact(&mut start)).await.expect("an answer").expect("no reset");
    assert_eq!(&start, b"HTTP/1.1 200");
    let text = read_all(stalled).await;
    assert!(text.starts_with("HTTP/1.1 503") && text.contains("not run"), "{text:?}");
    server.wait_counts(AccountCounts { made_room: 1, ..AccountCounts::default() }).await;
}
