//! A connection's bytes, which count as its progress.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connection::ClientConnection;

/// Maximum number of bytes that are read and dropped at once while a connection is being closed.
const DISCARD_BYTES: usize = 4096;

/// Reads and writes a stream, and records the progress of its connection.
pub(crate) struct CountedStream {
    stream: Arc<TcpStream>,
    connection: Arc<ClientConnection>,
}

impl CountedStream {
    pub(crate) fn new(stream: Arc<TcpStream>, connection: Arc<ClientConnection>) -> Self {
        Self { stream, connection }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    if count > 0 {
                        self.connection.on_progress(count);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shut_down_writes(&self.stream))
    }
}

impl CountedStream {
    fn write_with<F>(&self, cx: &mut Context<'_>, write: F) -> Poll<io::Result<usize>>
    where
        F: Fn(&TcpStream) -> io::Result<usize>,
    {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Ok(count) => {
                    self.connection.on_progress(count);
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

fn shut_down_writes(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).shutdown(std::net::Shutdown::Write)
}

/// Ends an answer, and reads until the client has closed its side: a connection that is closed with
/// unread bytes is reset, and the client may lose the answer.
pub(crate) async fn linger(stream: &TcpStream) {
    if shut_down_writes(stream).is_err() {
        return;
    }
    let mut discarded = [0; DISCARD_BYTES];
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut discarded) {
            Ok(0) => return,
            Ok(_) => tokio::task::yield_now().await,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Returns whether the client has sent bytes that have not been read, some of which are dropped.
pub(crate) fn has_unread_bytes(stream: &TcpStream) -> bool {
    stream.try_read(&mut [0; DISCARD_BYTES]).is_ok_and(|count| count > 0)
}
