//! The body of a gRPC call, of which each incomplete message counts as held.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use cowslipwing_types::ByteSize;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::body::BodyError;
use crate::connection::{ClientConnection, Held, OpenCall};
use crate::refusal::Refusal;

/// Bytes before each message: a flag, and the length of the message in big-endian order.
const PREFIX_BYTES: usize = 5;
/// Memory that a call holds beside its messages.
const CALL_MEMORY: ByteSize = ByteSize::new(4096);

/// Passes a body on, and counts the bytes of the message that is not complete yet.
pub struct MessageBody {
    body: Incoming,
    _call: OpenCall,
    /// Bytes of the message that is not complete.
    held: Held,
    prefix: Vec<u8>,
    /// Bytes of the message that have arrived, and that are still missing.
    arrived: u64,
    missing: u64,
}

impl MessageBody {
    /// Wraps the body of a call; returns `None` if there is no room for another call.
    pub fn new(connection: &Arc<ClientConnection>, body: Incoming) -> Option<Self> {
        let call = connection.open_call(CALL_MEMORY)?;
        let held = connection.reserve(ByteSize::new(0))?;
        Some(Self { body, _call: call, held, prefix: Vec::new(), arrived: 0, missing: 0 })
    }

    /// Follows the messages in a part of the body.
    fn on_data(&mut self, mut data: &[u8]) -> bool {
        while !data.is_empty() {
            if self.missing > 0 {
                let part = self.missing.min(data.len() as u64);
                data = &data[part as usize..];
                self.arrived += part;
                self.missing -= part;
            } else {
                let part = (PREFIX_BYTES - self.prefix.len()).min(data.len());
                self.prefix.extend_from_slice(&data[..part]);
                data = &data[part..];
                if let [_, a, b, c, d] = self.prefix[..] {
                    (self.arrived, self.missing) = (0, u32::from_be_bytes([a, b, c, d]).into());
                    self.prefix.clear();
                }
            }
        }
        let incomplete = if self.missing > 0 { self.arrived } else { 0 };
        self.held.resize(ByteSize::new(incomplete))
    }
}

impl Body for MessageBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let has_room = match &frame {
            Some(Ok(frame)) => frame.data_ref().is_none_or(|data| self.on_data(data)),
            _ => true,
        };
        if !has_room {
            return Poll::Ready(Some(Err(BodyError::Refused { refusal: Refusal::NoRoom }.into())));
        }
        Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
