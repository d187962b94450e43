//! Serves the log stand-in over the network.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use cowslipwing_proto::platform_log_server::{PlatformLog, PlatformLogServer};
use cowslipwing_proto::{AppendReply, AppendRequest, Faults, FaultsReply, ReadReply, ReadRequest};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

use crate::log_state::{LogState, Refusal};

/// Serves a log held in memory.
#[derive(Clone, Debug, Default)]
pub struct LogServer {
    state: Arc<Mutex<LogState>>,
}

impl LogServer {
    /// Returns a server of an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves the log until the listener fails.
    ///
    /// # Errors
    ///
    /// Returns what the transport reported.
    pub async fn serve(self, listener: TcpListener) -> Result<(), tonic::transport::Error> {
        tonic::transport::Server::builder()
            .add_service(PlatformLogServer::new(self))
            .serve_with_incoming(TcpListenerStream::new(listener))
            .await
    }

    async fn delay(&self) {
        let delay = self.with(|state| state.delay());
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    fn with<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut LogState) -> T,
    {
        work(&mut self.state.lock().expect("no holder of the log panics"))
    }
}

fn refused(refusal: Refusal) -> Status {
    Status::unavailable(refusal.to_string())
}

#[tonic::async_trait]
impl PlatformLog for LogServer {
    async fn append(&self, req: Request<AppendRequest>) -> Result<Response<AppendReply>, Status> {
        self.delay().await;
        let record = req.into_inner().record;
        let offset = self.with(|state| state.append(Instant::now(), record)).map_err(refused)?;
        Ok(Response::new(AppendReply { offset }))
    }

    async fn read(&self, req: Request<ReadRequest>) -> Result<Response<ReadReply>, Status> {
        self.delay().await;
        let ReadRequest { from, most } = req.into_inner();
        self.with(|state| state.read(from, most)).map(Response::new).map_err(refused)
    }

    async fn set_faults(&self, req: Request<Faults>) -> Result<Response<FaultsReply>, Status> {
        self.with(|state| state.set_faults(req.into_inner()));
        Ok(Response::new(FaultsReply {}))
    }
}
