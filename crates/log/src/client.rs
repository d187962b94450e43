//! Client of a log served over the network.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use async_trait::async_trait;
use cowslipwing_proto::platform_log_client::PlatformLogClient;
use cowslipwing_proto::{AppendRequest, Message, ReadRequest, Record};
use cowslipwing_types::Offset;
use tonic::transport::{Channel, Endpoint};

use crate::{BadAddressSnafu, LogError, Page, PlatformLog, UnavailableSnafu};

/// Time a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A log served over the network; connections are made when first needed.
#[derive(Clone, Debug)]
pub struct RemoteLog {
    client: PlatformLogClient<Channel>,
}

impl RemoteLog {
    /// Returns a client of the log at an `IP:PORT` address, which connects from a local address.
    ///
    /// # Errors
    ///
    /// Fails where the address is not an IP number and a port.
    pub fn new(address: &str, from: Option<IpAddr>) -> Result<Self, LogError> {
        let bad = || BadAddressSnafu { address }.build();
        let socket: SocketAddr = address.parse().map_err(|_| bad())?;
        let channel = Endpoint::try_from(format!("http://{socket}"))
            .map_err(|_| bad())?
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .local_address(from)
            .connect_lazy();
        Ok(Self { client: PlatformLogClient::new(channel) })
    }
}

fn unavailable(status: tonic::Status) -> LogError {
    UnavailableSnafu { detail: status.message() }.build()
}

#[async_trait]
impl PlatformLog for RemoteLog {
    async fn append(&self, record: &Record) -> Result<Offset, LogError> {
        let req = AppendRequest { record: record.encode_to_vec() };
        let reply = self.client.clone().append(req).await.map_err(unavailable)?;
        Ok(Offset::new(reply.into_inner().offset))
    }

    async fn read(&self, from: Offset, most: u32) -> Result<Page, LogError> {
        let req = ReadRequest { from: from.get(), most };
        let reply = self.client.clone().read(req).await.map_err(unavailable)?.into_inner();
        let decode = |bytes: &[u8]| Record::decode(bytes).unwrap_or_default();
        let records =
            reply.records.iter().map(|r| (Offset::new(r.offset), decode(&r.record))).collect();
        Ok(Page { records, first: Offset::new(reply.first), tail: Offset::new(reply.tail) })
    }
}
