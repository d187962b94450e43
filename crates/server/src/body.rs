//! Reads the body of a request into memory that its connection holds.

use std::sync::Arc;

use bytes::Bytes;
use cowslipwing_types::ByteSize;
use http_body_util::BodyExt;
use hyper::body::Body;
use snafu::Snafu;

use crate::connection::{ClientConnection, Held};
use crate::refusal::Refusal;

/// Size of a segment of a body.
const SEGMENT_BYTES: usize = 16 << 10;
/// Size of the first segment of a body whose length is not stated.
const UNKNOWN_BYTES: usize = 4 << 10;

/// An error when reading a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum BodyError {
    /// The body exceeds its limit.
    #[snafu(display("the body has more than {max_bytes} bytes; make it smaller"))]
    TooLarge {
        /// Maximum size of a body in bytes.
        max_bytes: usize,
    },
    /// The connection broke, or its bytes are not a valid body.
    #[snafu(display("the body is incomplete; send it again"))]
    Incomplete,
    /// The request is refused for what it or its connection holds.
    #[snafu(display("{refusal}"))]
    Refused {
        /// Why it is refused.
        refusal: Refusal,
    },
}

/// A complete body. It counts as held by its connection until it is dropped.
pub struct HeldBody {
    bytes: Vec<u8>,
    held: Held,
}

impl HeldBody {
    /// Returns the bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Drops the bytes and keeps `memory` counted for what was decoded from them; returns `None` if
    /// there is no room for it.
    pub fn into_held(self, memory: ByteSize) -> Option<Held> {
        let Self { bytes, mut held } = self;
        drop(bytes);
        held.resize(memory).then_some(held)
    }
}

/// A body that is arriving, in segments of which all but the first have the same size. Memory that is
/// freed fits the next segment, where a buffer that grows would leave gaps of all sizes.
struct ArrivingBody {
    segments: Vec<Vec<u8>>,
    capacity: usize,
    length: usize,
    held: Held,
}

impl ArrivingBody {
    /// Adds bytes; returns `false` if there is no room for them.
    fn push(&mut self, mut chunk: &[u8], expected: usize) -> bool {
        self.length += chunk.len();
        while !chunk.is_empty() {
            if self.segments.last().is_none_or(|last| last.len() == last.capacity()) {
                let is_first = self.segments.is_empty();
                let size = if is_first { expected.clamp(1, SEGMENT_BYTES) } else { SEGMENT_BYTES };
                if !self.held.resize(ByteSize::new((self.capacity + size) as u64)) {
                    return false;
                }
                self.capacity += size;
                self.segments.push(Vec::with_capacity(size));
            }
            if let Some(segment) = self.segments.last_mut() {
                let part = (segment.capacity() - segment.len()).min(chunk.len());
                segment.extend_from_slice(&chunk[..part]);
                chunk = &chunk[part..];
            }
        }
        true
    }

    /// Joins the segments; returns `None` if there is no room for the result.
    fn join(mut self) -> Option<HeldBody> {
        if self.segments.len() > 1 {
            let both = self.capacity + self.length;
            if !self.held.resize(ByteSize::new(both as u64)) {
                return None;
            }
            self.segments = vec![self.segments.concat()];
            self.held.resize(ByteSize::new(self.length as u64));
        }
        Some(HeldBody { bytes: self.segments.pop().unwrap_or_default(), held: self.held })
    }
}

/// Reads a body of at most `max_bytes` bytes. The bytes are copied: a chunk would keep the whole buffer
/// of the connection alive.
///
/// # Errors
///
/// Returns an error if the body is too large or incomplete, there is no room for it, or the connection
/// is told to close.
pub async fn read_body<B>(
    connection: &Arc<ClientConnection>,
    body: B,
    max_bytes: usize,
) -> Result<HeldBody, BodyError>
where
    B: Body<Data = Bytes>,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return TooLargeSnafu { max_bytes }.fail();
    }
    tokio::select! {
        biased;
        (reason, _) = connection.closing() => {
            RefusedSnafu { refusal: Refusal::from(reason) }.fail()
        }
        read = collect(connection, body, max_bytes) => read,
    }
}

async fn collect<B>(
    connection: &Arc<ClientConnection>,
    body: B,
    max_bytes: usize,
) -> Result<HeldBody, BodyError>
where
    B: Body<Data = Bytes>,
{
    let no_room = RefusedSnafu { refusal: Refusal::NoRoom };
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(max_bytes);
    let mut body = std::pin::pin!(body);
    let Some(held) = connection.reserve(ByteSize::new(0)) else {
        return no_room.fail();
    };
    let mut arriving = ArrivingBody { segments: Vec::new(), capacity: 0, length: 0, held };
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return IncompleteSnafu.fail();
        };
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if arriving.length + chunk.len() > max_bytes {
            return TooLargeSnafu { max_bytes }.fail();
        }
        if !arriving.push(&chunk, if expected > 0 { expected } else { UNKNOWN_BYTES }) {
            return no_room.fail();
        }
    }
    connection.begin_serving();
    arriving.join().map_or_else(|| no_room.fail(), Ok)
}
