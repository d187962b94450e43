//! Opens a stream to each selected entry and reopens it after it ends.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cowslipwing_dispatch::{EntryId, KnownEntry, MAX_ENTRIES_PER_AGENT, select_entries};
use cowslipwing_platform::{StoreClient, Topic};
use cowslipwing_proto::dispatch_client::DispatchClient;
use cowslipwing_proto::{AgentFrame, EntryFrame};
use cowslipwing_types::SortedMap;
use tokio::sync::{Notify, mpsc, watch};
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
/// Time to wait for the list of entries before streams to the seeds are opened. It keeps all agents
/// of a deployment that starts from attaching to the few seeds.
const ENTRY_LIST_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of successive failures after which another entry is selected in place of an unreachable
/// one.
const FAILURES_UNTIL_UNREACHABLE: u32 = 2;

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

/// A report of a stream's task.
enum Report {
    /// The stream is open.
    Opened(SocketAddr),
    /// The last attempts to open the stream have failed.
    Unreachable(SocketAddr),
    /// The task has ended, because the entry is no longer selected.
    Ended(SocketAddr),
}

/// The task that keeps a stream to an entry.
struct StreamTask {
    /// Whether the entry is selected. Once it is not, the stream is closed as soon as no task of
    /// the entry is held.
    selected: watch::Sender<bool>,
    unreachable: bool,
}

/// The streams of an agent.
struct Streams {
    agent: String,
    tasks: SortedMap<SocketAddr, StreamTask>,
    attached: AttachedEntries,
    events: mpsc::UnboundedSender<Event>,
    reports: mpsc::UnboundedSender<Report>,
}

/// Maintains a stream to each selected entry.
pub(super) async fn maintain(
    members: Arc<Members>,
    agent: String,
    events: mpsc::UnboundedSender<Event>,
) {
    let mut changes = members.changes();
    let _ = timeout(ENTRY_LIST_TIMEOUT, changes.changed()).await;
    let (reports, mut rx) = mpsc::unbounded_channel();
    let mut streams = Streams {
        agent,
        tasks: SortedMap::new(),
        attached: AttachedEntries::default(),
        events,
        reports,
    };
    loop {
        streams.update(&members.list());
        tokio::select! {
            changed = changes.changed() => if changed.is_err() {
                return;
            },
            report = rx.recv() => if let Some(report) = report {
                streams.on_report(report);
            },
        }
    }
}

impl Streams {
    /// Starts and ends streams so that they match the selection among the known entries.
    fn update(&mut self, known: &[SocketAddr]) {
        let entry = |address: &SocketAddr| KnownEntry {
            address: *address,
            unreachable: self.tasks.get(address).is_some_and(|task| task.unreachable),
        };
        let entries: Vec<KnownEntry> = known.iter().map(entry).collect();
        // The VM's name without the start time, so that a restarted agent selects the same entries.
        let vm = self.agent.split('@').next().unwrap_or_default();
        let selected = select_entries(vm, &entries, MAX_ENTRIES_PER_AGENT);
        for (address, task) in self.tasks.iter() {
            let is_selected = selected.binary_search(address).is_ok();
            if task
                .selected
                .send_if_modified(|value| std::mem::replace(value, is_selected) != is_selected)
            {
                log::info!("agent: event=entry-selection entry={address} selected={is_selected}");
            }
        }
        for address in selected {
            if !self.tasks.contains(&address) {
                self.start(address);
            }
        }
    }

    fn start(&mut self, address: SocketAddr) {
        log::info!("agent: event=entry-known agent={} entry={address}", self.agent);
        let (selected, is_selected) = watch::channel(true);
        self.tasks.insert(address, StreamTask { selected, unreachable: false });
        let stream = EntryConnection {
            address,
            events: self.events.clone(),
            reports: self.reports.clone(),
            attached: self.attached.clone(),
            selected: is_selected,
        };
        tokio::spawn(stream.maintain());
    }

    fn on_report(&mut self, report: Report) {
        match report {
            Report::Opened(address) => self.set_unreachable(address, false),
            Report::Unreachable(address) => self.set_unreachable(address, true),
            Report::Ended(address) => {
                self.tasks.remove(&address);
            }
        }
    }

    fn set_unreachable(&mut self, address: SocketAddr, unreachable: bool) {
        if let Some(task) = self.tasks.get_mut(&address) {
            task.unreachable = unreachable;
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

/// The connection to one entry.
struct EntryConnection {
    address: SocketAddr,
    events: mpsc::UnboundedSender<Event>,
    reports: mpsc::UnboundedSender<Report>,
    attached: AttachedEntries,
    selected: watch::Receiver<bool>,
}

impl EntryConnection {
    /// Keeps a stream to the entry open while it is selected.
    async fn maintain(mut self) {
        let address = self.address;
        let mut backoff = INITIAL_BACKOFF;
        let mut failures = 0;
        while *self.selected.borrow_and_update() {
            match self.run_stream().await {
                Ok(reason) => {
                    log::info!("agent: event=stream-ended entry={address} reason={reason}");
                    backoff = INITIAL_BACKOFF;
                    failures = 0;
                }
                Err(error) => {
                    log::debug!("agent: event=stream-failed entry={address} error=\"{error}\"");
                    failures += 1;
                    if failures == FAILURES_UNTIL_UNREACHABLE {
                        self.report(Report::Unreachable(address));
                    }
                }
            }
            let _ = timeout(backoff, self.selected.changed()).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        self.report(Report::Ended(address));
    }

    fn report(&self, report: Report) {
        // Sending fails only while the process ends.
        let _ = self.reports.send(report);
    }

    /// Opens a stream and forwards its frames until it ends; returns the reason for the end.
    async fn run_stream(&mut self) -> Result<&'static str, String> {
        let address = self.address;
        let endpoint =
            Endpoint::try_from(format!("http://{address}")).map_err(|e| e.to_string())?;
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
        let (frames, first) =
            timeout(STREAM_TIMEOUT, attach).await.map_err(|e| e.to_string())??;
        let entry: EntryId =
            first.entry.parse().map_err(|_| "the first frame has an invalid entry id")?;
        if !self.attached.add(&entry) {
            return Err(format!("{entry} already has a stream by another address"));
        }
        self.report(Report::Opened(address));
        let close = Arc::new(Notify::new());
        // Sending events cannot fail: the actor lives as long as the process.
        let _ = self.events.send(Event::StreamOpened {
            entry: entry.clone(),
            address,
            tx: tx.clone(),
            first,
            close: close.clone(),
        });
        let reason = self.forward_frames(frames, &entry, &tx, &close).await;
        let _ = self.events.send(Event::StreamClosed { entry: entry.clone(), tx });
        self.attached.remove(&entry);
        Ok(reason)
    }

    async fn forward_frames(
        &mut self,
        mut frames: Streaming<EntryFrame>,
        entry: &EntryId,
        tx: &mpsc::UnboundedSender<AgentFrame>,
        close: &Notify,
    ) -> &'static str {
        loop {
            tokio::select! {
                received = timeout(STREAM_TIMEOUT, frames.message()) => match received {
                    Ok(Ok(Some(frame))) => {
                        let (entry, tx) = (entry.clone(), tx.clone());
                        let _ = self.events.send(Event::Frame { entry, tx, frame });
                    }
                    Ok(Ok(None)) => return "closed",
                    Ok(Err(_)) => return "broken",
                    Err(_) => return "silent",
                },
                Ok(()) = self.selected.changed() => {
                    let selected = *self.selected.borrow();
                    let (entry, tx) = (entry.clone(), tx.clone());
                    let _ = self.events.send(Event::EntrySelected { entry, tx, selected });
                }
                () = close.notified() => return "not selected",
            }
        }
    }
}
