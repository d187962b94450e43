//! Listeners whose connections share the memory and the descriptors of the process.
//!
//! A [`Listener`] accepts connections and serves HTTP/1.1 or HTTP/2 on them. Its [`Account`] counts
//! what they hold: each connection from its start, the body of a request as it arrives, and whatever a
//! handler reserves for the request afterwards. The decisions on who is refused or closed are made by
//! [`ConnectionTable`](cowslipwing_dispatch::ConnectionTable).

mod accept;
mod account;
mod body;
mod connection;
mod http1;
mod http2;
mod message;
mod refusal;
mod share;
mod stream;

pub use accept::{Listener, Report, Stage};
pub use account::{Account, AccountCounts};
pub use body::{BodyError, HeldBody, read_body};
pub use connection::{ClientConnection, Held};
pub use http2::CallService;
pub use message::MessageBody;
pub use refusal::{EncodeRefusal, Refusal};
pub use share::Share;
