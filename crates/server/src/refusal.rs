//! Answers to clients whose requests the listener does not take.

use std::fmt;

use cowslipwing_dispatch::CloseReason;
use tokio::net::TcpStream;

/// Time after which a refused client may try again, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Why a request is not taken. None of them has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The requests of others take up the memory or the connections.
    NoRoom,
    /// The request has not arrived in time.
    TimedOut,
}

/// Encodes the body of an answer to a refused request.
pub type EncodeRefusal = fn(Refusal) -> String;

impl Refusal {
    /// Returns the status code of the answer.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_server::Refusal;
    ///
    /// assert_eq!(Refusal::NoRoom.status(), 503);
    /// assert_eq!(Refusal::TimedOut.status(), 408);
    /// ```
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoom => 503,
            Self::TimedOut => 408,
        }
    }

    fn status_line(self) -> &'static str {
        match self {
            Self::NoRoom => "503 Service Unavailable",
            Self::TimedOut => "408 Request Timeout",
        }
    }
}

impl From<CloseReason> for Refusal {
    fn from(reason: CloseReason) -> Self {
        match reason {
            CloseReason::MakesRoom => Self::NoRoom,
            CloseReason::TimedOut => Self::TimedOut,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRoom => "refused, not run: requests of others take up the memory; retry later",
            Self::TimedOut => "not run: the request did not arrive in time; send it without pauses",
        })
    }
}

/// Writes an answer to a client for which HTTP is not served, as far as it fits into the kernel's
/// buffer.
pub(crate) fn write(stream: &TcpStream, refusal: Refusal, encode: EncodeRefusal) {
    let body = encode(refusal);
    let answer = format!(
        "HTTP/1.1 {}\r\ncontent-type: application/json\r\nretry-after: {RETRY_AFTER_S}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        refusal.status_line(),
        body.len()
    );
    // A client that has closed the connection, or does not read, gets no answer.
    let _ = stream.try_write(answer.as_bytes());
}
