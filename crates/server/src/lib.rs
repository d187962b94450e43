//! Listeners whose connections share the memory and the descriptors of the process.
//!
//! A [`Listener`] accepts connections and serves HTTP/1.1 or HTTP/2 on them. Its [`Account`] counts
//! what they hold: each connection from its start, the body of a request as it arrives, and whatever a
//! handler reserves for the request afterwards. The decisions on who is refused or closed are made by
//! [`ConnectionTable`](cowslipwing_dispatch::ConnectionTable).
//!
//! # Examples
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use cowslipwing_dispatch::ConnectionLimits;
//! use cowslipwing_server::{Account, ClientConnection, Listener, Stage, read_body};
//! use cowslipwing_types::{ByteSize, SystemClock};
//! use http_body_util::Full;
//! use hyper::body::{Bytes, Incoming};
//! use hyper::{Request, Response};
//!
//! /// Answers with the body of the request.
//! async fn echo(req: Request<Incoming>) -> Response<Full<Bytes>> {
//!     let (parts, body) = req.into_parts();
//!     let connection = parts.extensions.get::<Arc<ClientConnection>>().unwrap();
//!     match read_body(connection, body, 1 << 20).await {
//!         Ok(body) => Response::new(Full::new(body.bytes().to_vec().into())),
//!         Err(error) => Response::new(Full::new(error.to_string().into())),
//!     }
//! }
//!
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
//! let limits = ConnectionLimits {
//!     connections: 100,
//!     memory: ByteSize::new(32 << 20),
//!     connection_memory: ByteSize::new(48 << 10),
//!     head: ByteSize::new(16 << 10),
//!     header_timeout: Duration::from_secs(3),
//!     idle_timeout: Duration::from_secs(15),
//!     min_rate: ByteSize::new(1 << 10),
//! };
//! let account = Account::new(limits, Arc::new(SystemClock));
//! let (address, report) = ("127.0.0.1:0".parse().unwrap(), Arc::new(|_: &str, _: &Account, _| {}));
//! let listener = Listener::bind("echo", address, account.clone(), |it| it.to_string(), report);
//! let stage = tokio::sync::watch::Sender::new(Stage::Serving);
//! tokio::spawn(listener.unwrap().serve_http1(stage.subscribe(), echo));
//! assert_eq!(account.usage().connections, 0);
//! # });
//! ```

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
