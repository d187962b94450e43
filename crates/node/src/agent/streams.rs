//! Streams to the entries.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cowslipwing_dispatch::EntryName;
use cowslipwing_platform::{StoreClient, Topic};
use cowslipwing_proto::dispatch_client::DispatchClient;
use cowslipwing_proto::{AgentFrame, EntryFrame};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::Streaming;
use tonic::transport::Endpoint;

use super::actor::Event;
use crate::STREAM_SILENCE;
use crate::members::{Members, parse_addresses};

/// Time in which a connection to an entry must be made.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// First pause before a stream is opened again; it doubles with each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause before a stream is opened again.
const MAX_PAUSE: Duration = Duration::from_millis(1000);
/// Time between two tries to read the list of entries.
const STORE_RETRY: Duration = Duration::from_millis(300);

/// Reads the list of entries once; entries tell of later changes.
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
        tokio::time::sleep(STORE_RETRY).await;
    }
}

/// Keeps a stream to each entry that is known.
pub(super) async fn run(
    members: Arc<Members>,
    agent: String,
    events: mpsc::UnboundedSender<Event>,
) {
    let mut changes = members.changes();
    let mut served: Vec<SocketAddr> = Vec::new();
    let attached = Attached::default();
    loop {
        for address in members.list() {
            if cowslipwing_types::insert_sorted(&mut served, address) {
                log::info!("agent: event=entry-known agent={agent} entry={address}");
                tokio::spawn(keep_stream(address, events.clone(), attached.clone()));
            }
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// The entries that have a stream; one that is known by two addresses gets only one.
#[derive(Clone, Default)]
struct Attached {
    entries: Arc<Mutex<Vec<EntryName>>>,
}

impl Attached {
    /// Adds an entry; false where it has a stream already.
    fn add(&self, entry: &EntryName) -> bool {
        let mut entries = self.entries.lock().expect("no holder of the attached entries panics");
        cowslipwing_types::insert_sorted(&mut entries, entry.clone())
    }

    fn remove(&self, entry: &EntryName) {
        let mut entries = self.entries.lock().expect("no holder of the attached entries panics");
        entries.retain(|other| other != entry);
    }
}

async fn keep_stream(
    address: SocketAddr,
    events: mpsc::UnboundedSender<Event>,
    attached: Attached,
) {
    let mut pause = FIRST_PAUSE;
    loop {
        match run_stream(address, &events, &attached).await {
            Ok(reason) => {
                log::info!("agent: event=stream-ended entry={address} reason={reason}");
                pause = FIRST_PAUSE;
            }
            Err(error) => {
                log::debug!("agent: event=stream-failed entry={address} error=\"{error}\"");
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// Opens a stream and takes its frames until it ends; returns why it ended.
async fn run_stream(
    address: SocketAddr,
    events: &mpsc::UnboundedSender<Event>,
    attached: &Attached,
) -> Result<&'static str, String> {
    let endpoint = Endpoint::try_from(format!("http://{address}")).map_err(|e| e.to_string())?;
    let endpoint = endpoint.connect_timeout(CONNECT_LIMIT).tcp_nodelay(true);
    let (tx, rx) = mpsc::unbounded_channel::<AgentFrame>();
    let attach = async {
        let channel = endpoint.connect().await.map_err(|e| e.to_string())?;
        let mut client = DispatchClient::new(channel);
        let opened = client.attach(UnboundedReceiverStream::new(rx)).await;
        let mut frames = opened.map_err(|e| e.to_string())?.into_inner();
        let first = frames.message().await.map_err(|e| e.to_string())?;
        Ok::<_, String>((frames, first.ok_or("the stream ended at once")?))
    };
    let (frames, first) = timeout(STREAM_SILENCE, attach).await.map_err(|e| e.to_string())??;
    let entry: EntryName = first.entry.parse().map_err(|_| "the entry's name is not valid")?;
    if !attached.add(&entry) {
        return Err(format!("{entry} is attached by another address"));
    }
    // The actor lives as long as the process.
    let _ = events.send(Event::StreamUp { entry: entry.clone(), address, tx: tx.clone(), first });
    let reason = take_frames(frames, &entry, &tx, events).await;
    let _ = events.send(Event::StreamDown { entry: entry.clone(), tx });
    attached.remove(&entry);
    Ok(reason)
}

async fn take_frames(
    mut frames: Streaming<EntryFrame>,
    entry: &EntryName,
    tx: &mpsc::UnboundedSender<AgentFrame>,
    events: &mpsc::UnboundedSender<Event>,
) -> &'static str {
    loop {
        match timeout(STREAM_SILENCE, frames.message()).await {
            Ok(Ok(Some(frame))) => {
                let _ = events.send(Event::Frame { entry: entry.clone(), tx: tx.clone(), frame });
            }
            Ok(Ok(None)) => return "closed",
            Ok(Err(_)) => return "broken",
            Err(_) => return "silent",
        }
    }
}
