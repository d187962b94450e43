//! Reads the body of a request into memory that its connection holds.

use bytes::Bytes;
use cowslipwing_types::ByteSize;
use http_body_util::BodyExt;
use hyper::body::Body;
use snafu::Snafu;

use std::sync::Arc;

use crate::connection::{ClientConnection, Held};
use crate::refusal::Refusal;

/// Initial capacity of a body in bytes, which most requests fit into.
const INITIAL_CAPACITY: usize = 4096;

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

/// Reads a body of at most `max_bytes` bytes. The bytes are copied into one buffer: a chunk would keep
/// the whole buffer of the connection alive.
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
    let mut body = std::pin::pin!(body);
    let mut bytes = Vec::new();
    let Some(mut held) = connection.reserve(ByteSize::new(0)) else {
        return no_room.fail();
    };
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return IncompleteSnafu.fail();
        };
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + chunk.len();
        if length > max_bytes {
            return TooLargeSnafu { max_bytes }.fail();
        }
        if length > bytes.capacity() {
            let capacity = length.max(2 * bytes.capacity()).max(INITIAL_CAPACITY).min(max_bytes);
            if !held.resize(ByteSize::new(capacity as u64)) {
                return no_room.fail();
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&chunk);
    }
    connection.begin_serving();
    Ok(HeldBody { bytes, held })
}
