//! Runs a substitute server as a separate process and prints the address that it listens on.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use cowslipwing_standin::{EndpointServer, platform::PlatformStore};
use snafu::{ResultExt, Whatever};
use tokio::net::TcpListener;

/// Substitutes for the systems that cowslipwing connects to.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Options {
    /// Serves the platform's metadata store, kept in memory
    #[bpaf(command)]
    Store {
        /// Address to listen on, as IP:PORT
        #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        listen: SocketAddr,
    },
    /// Serves tasks over HTTP and counts the starts of each
    #[bpaf(command)]
    Endpoint {
        /// Address to listen on, as IP:PORT
        #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        listen: SocketAddr,
        /// File to which a line is appended for each start and end of a task
        #[bpaf(argument("FILE"))]
        ledger: Option<PathBuf>,
        /// Factor by which the time of each sleep task is multiplied
        #[bpaf(argument("FACTOR"), fallback(1))]
        slowdown: u32,
    },
}

#[snafu::report]
#[tokio::main]
async fn main() -> Result<(), Whatever> {
    match options().run() {
        Options::Store { listen } => {
            let _store = PlatformStore::start(bind(listen).await?);
            std::future::pending().await
        }
        Options::Endpoint { listen, ledger, slowdown } => {
            let mut endpoint = EndpointServer::new().with_slowdown(slowdown);
            if let Some(path) = ledger {
                endpoint =
                    endpoint.with_ledger(&path).whatever_context("cannot open the ledger file")?;
            }
            let listener = bind(listen).await?;
            endpoint
                .serve(listener)
                .await
                .whatever_context("the HTTP server of the endpoint failed")
        }
    }
}

async fn bind(listen: SocketAddr) -> Result<TcpListener, Whatever> {
    let listener =
        TcpListener::bind(listen).await.whatever_context("cannot bind the listen address")?;
    let bound =
        listener.local_addr().whatever_context("cannot read the address of the listener")?;
    println!("listening on {bound}");
    Ok(listener)
}
