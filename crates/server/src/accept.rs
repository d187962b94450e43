//! Accepts connections, refuses those for which there is no room, and closes those without progress.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::{Request, Response};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{interval, sleep, timeout};

use crate::account::{Account, AccountCounts};
use crate::refusal::{self, EncodeRefusal, Refusal};
use crate::{http1, http2, stream};

/// Size of the buffers of a connection in the kernel.
const SOCKET_BUFFER_BYTES: u32 = 32 << 10;
/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Maximum number of connections that are being closed before another one is accepted.
const MAX_CLOSING: usize = 32;
/// Maximum number of refused clients that get an answer at a time. Others are disconnected.
const MAX_REFUSED: usize = 16;
/// Time that a refused client has to read its answer.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after an attempt to accept a connection has failed for lack of a descriptor or of memory.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which connections are checked for progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The stage of a process's shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// The process serves requests.
    Serving,
    /// The process serves requests and asks callers to use another connection.
    Draining,
    /// The process finishes requests in flight and accepts no new connections.
    Closing,
}

/// A bound address and the account of its connections.
pub struct Listener {
    name: &'static str,
    listener: TcpListener,
    account: Arc<Account>,
    encode_refusal: EncodeRefusal,
    report: Report,
}

/// Receives what has happened at a listener, by its name.
pub type Report = Arc<dyn Fn(&'static str, &Account, AccountCounts) + Send + Sync>;

impl Listener {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses to bind it.
    pub fn bind(
        name: &'static str,
        address: SocketAddr,
        account: Arc<Account>,
        encode_refusal: EncodeRefusal,
        report: Report,
    ) -> io::Result<Self> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        // Connections inherit the sizes, which bound what the kernel holds for them.
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?;
        Ok(Self { name, listener, account, encode_refusal, report })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the account of the listener's connections.
    pub fn account(&self) -> &Arc<Account> {
        &self.account
    }

    /// Serves HTTP/1.1 until the stage is [`Stage::Closing`]. Handlers find a
    /// [`ClientConnection`](crate::ClientConnection) among the extensions of a request.
    pub async fn serve_http1<H, F, B>(self, stage: watch::Receiver<Stage>, handle: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + Unpin + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let (encode, changes) = (self.encode_refusal, stage.clone());
        let refused = Arc::new(AtomicUsize::new(0));
        self.accept(stage, |stream, connection| match connection {
            Some(connection) => {
                let (changes, handle) = (changes.clone(), handle.clone());
                tokio::spawn(http1::serve(stream, connection, changes, encode, handle));
            }
            None => refuse(stream, encode, &refused),
        })
        .await;
    }

    /// Serves HTTP/2, without a check of the stage. A connection without room is disconnected.
    pub async fn serve_http2<S, B>(self, service: S)
    where
        S: http2::CallService<B>,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let stage = watch::Sender::new(Stage::Serving);
        self.accept(stage.subscribe(), |stream, connection| {
            if let Some(connection) = connection {
                tokio::spawn(http2::serve(stream, connection, service.clone()));
            }
        })
        .await;
    }

    async fn accept<S>(self, mut stage: watch::Receiver<Stage>, mut start: S)
    where
        S: FnMut(TcpStream, Option<Arc<crate::ClientConnection>>),
    {
        let mut checks = interval(CHECK_INTERVAL);
        loop {
            let accepted = tokio::select! {
                accepted = self.accept_one() => accepted,
                _ = checks.tick() => {
                    self.check();
                    continue;
                }
                () = wait_until_closing(&mut stage) => break,
            };
            match accepted {
                Ok(stream) => {
                    if let Err(error) = stream.set_nodelay(true) {
                        log::debug!("http: event=nodelay-failed error=\"{error}\"");
                    }
                    start(stream, self.account.open());
                }
                // The client has closed the connection, which says nothing about this process.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    log::debug!(
                        "http: event=accept-failed listener={} error=\"{error}\"",
                        self.name
                    );
                    self.account.on_accept_failure();
                    // Without a pause, the failure would recur until a connection has closed.
                    let _ = timeout(ACCEPT_PAUSE, self.account.closed.notified()).await;
                }
            }
        }
        // Open connections are still checked while they finish their requests.
        drop(self.listener);
        let remaining = Remaining { name: self.name, account: self.account, report: self.report };
        tokio::spawn(remaining.check_until_closed());
    }

    /// Accepts a connection once few others are being closed.
    async fn accept_one(&self) -> io::Result<TcpStream> {
        while self.account.closing() >= MAX_CLOSING {
            // A connection may have closed before the wait began.
            let _ = timeout(ACCEPT_PAUSE, self.account.closed.notified()).await;
        }
        self.listener.accept().await.map(|(stream, _)| stream)
    }

    fn check(&self) {
        check(self.name, &self.account, &self.report);
    }
}

/// The connections of a listener that accepts no more.
struct Remaining {
    name: &'static str,
    account: Arc<Account>,
    report: Report,
}

impl Remaining {
    async fn check_until_closed(self) {
        while self.account.usage().connections > 0 {
            sleep(CHECK_INTERVAL).await;
            check(self.name, &self.account, &self.report);
        }
    }
}

/// Closes connections without progress, and reports what has happened since the last check.
fn check(name: &'static str, account: &Account, report: &Report) {
    account.close_expired();
    report(name, account, account.take_counts());
}

/// Waits until the stage is [`Stage::Closing`].
pub(crate) async fn wait_until_closing(stage: &mut watch::Receiver<Stage>) {
    // If the sender is gone, the process is ending.
    let _ = stage.wait_for(|stage| *stage >= Stage::Closing).await;
}

/// Answers a client for which there is no connection, if few are being answered.
fn refuse(stream: TcpStream, encode: EncodeRefusal, refused: &Arc<AtomicUsize>) {
    if refused.fetch_add(1, Ordering::Relaxed) >= MAX_REFUSED {
        refused.fetch_sub(1, Ordering::Relaxed);
        return;
    }
    let refused = refused.clone();
    tokio::spawn(async move {
        refusal::write(&stream, Refusal::NoRoom, encode);
        // A client that has not closed its side by then is disconnected.
        let _ = timeout(REFUSAL_TIMEOUT, stream::linger(&stream)).await;
        refused.fetch_sub(1, Ordering::Relaxed);
    });
}
