//! Opens a stream to each known entry and reopens it after it ends.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cowslipwing_dispatch::EntryId;
use cowslipwing_platform::{StoreClient, Topic};
use cowslipwing_proto::dispatch_client::DispatchClient;
use cowslipwing_proto::{AgentFrame, EntryFrame};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::Streaming;
use tonic::transport::Endpoint;

use super::actor::Event;
use crate::STREAM_TIMEOUT;
use crate::members::{Members, parse_addresses};

/// Timeout for opening a connection to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before the first attempt to reopen a stream; it doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// Maximum delay between attempts to reopen a stream.
const MAX_BACKOFF: Duration = Duration::from_millis(1000);
/// Interval between attempts to read the list of entries from the store.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Reads the list of entries from the store once. Later changes arrive in frames from the entries.
pub(super) async fn read_entries(store: Arc<StoreClient>, members: Arc<Members>) {
    loop {
        match store.newest(Topic::Entries).await {
            Ok((records, _)) if !records.is_empty() => {
                let texts = records.iter().map(|record| String::from_utf8_lossy(&record.value));
                let added = members.add(parse_addresses(texts));
                log::info!("agent: event=entries-read added={added:?} source=store");
                return;
            }
            Ok(_) => {}
            Err(error) => log::info!("agent: event=store-error error=\"{error}\""),
        }
        tokio::time::sleep(STORE_RETRY_INTERVAL).await;
    }
}

/// Maintains a stream to each known entry.
pub(super) async fn maintain(
    members: Arc<Members>,
    agent: String,
    events: mpsc::UnboundedSender<Event>,
) {
    let mut changes = members.changes();
    let mut started: Vec<SocketAddr> = Vec::new();
    let attached = AttachedEntries::default();
    loop {
        for address in members.list() {
            if cowslipwing_types::insert_sorted(&mut started, address) {
                log::info!("agent: event=entry-known agent={agent} entry={address}");
                tokio::spawn(maintain_stream(address, events.clone(), attached.clone()));
            }
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// The entries that have a stream. An entry that is known by two addresses gets a single stream.
#[derive(Clone, Default)]
struct AttachedEntries {
    entries: Arc<Mutex<Vec<EntryId>>>,
}

impl AttachedEntries {
    /// Adds an entry; returns `false` if it already has a stream.
    fn add(&self, entry: &EntryId) -> bool {
        let mut entries =
            self.entries.lock().expect("the lock on the attached entries is never poisoned");
        cowslipwing_types::insert_sorted(&mut entries, entry.clone())
    }

    fn remove(&self, entry: &EntryId) {
        let mut entries =
            self.entries.lock().expect("the lock on the attached entries is never poisoned");
        entries.retain(|other| other != entry);
    }
}

async fn maintain_stream(
    address: SocketAddr,
    events: mpsc::UnboundedSender<Event>,
    attached: AttachedEntries,
) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match run_stream(address, &events, &attached).await {
            Ok(reason) => {
                log::info!("agent: event=stream-ended entry={address} reason={reason}");
                backoff = INITIAL_BACKOFF;
            }
            Err(error) => {
                log::debug!("agent: event=stream-failed entry={address} error=\"{error}\"");
            }
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Opens a stream and forwards its frames until it ends; returns the reason for the end.
async fn run_stream(
    address: SocketAddr,
    events: &mpsc::UnboundedSender<Event>,
    attached: &AttachedEntries,
) -> Result<&'static str, String> {
    let endpoint = Endpoint::try_from(format!("http://{address}")).map_err(|e| e.to_string())?;
    let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
    let (tx, rx) = mpsc::unbounded_channel::<AgentFrame>();
    let attach = async {
        let channel = endpoint.connect().await.map_err(|e| e.to_string())?;
        let mut client = DispatchClient::new(channel);
        let opened = client.attach(UnboundedReceiverStream::new(rx)).await;
        let mut frames = opened.map_err(|e| e.to_string())?.into_inner();
        let first = frames.message().await.map_err(|e| e.to_string())?;
        Ok::<_, String>((frames, first.ok_or("the stream ended before the first frame")?))
    };
    let (frames, first) = timeout(STREAM_TIMEOUT, attach).await.map_err(|e| e.to_string())??;
    let entry: EntryId =
        first.entry.parse().map_err(|_| "the first frame has an invalid entry id")?;
    if !attached.add(&entry) {
        return Err(format!("{entry} already has a stream by another address"));
    }
    // Sending events cannot fail: the actor lives as long as the process.
    let _ =
        events.send(Event::StreamOpened { entry: entry.clone(), address, tx: tx.clone(), first });
    let reason = forward_frames(frames, &entry, &tx, events).await;
    let _ = events.send(Event::StreamClosed { entry: entry.clone(), tx });
    attached.remove(&entry);
    Ok(reason)
}

async fn forward_frames(
    mut frames: Streaming<EntryFrame>,
    entry: &EntryId,
    tx: &mpsc::UnboundedSender<AgentFrame>,
    events: &mpsc::UnboundedSender<Event>,
) -> &'static str {
    loop {
        match timeout(STREAM_TIMEOUT, frames.message()).await {
            Ok(Ok(Some(frame))) => {
                let _ = events.send(Event::Frame { entry: entry.clone(), tx: tx.clone(), frame });
            }
            Ok(Ok(None)) => return "closed",
            Ok(Err(_)) => return "broken",
            Err(_) => return "silent",
        }
    }
}
