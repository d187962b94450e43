//! A substitute for the platform's metadata store: a log of topics, some of which keep the latest
//! record of each key.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, Bytes};
use hyper::{Method, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::http::{BufferedRequest, Reply, serve};

/// Behaviour of the store, normal or with an injected fault.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreBehaviour {
    /// No fault.
    #[default]
    Normal,
    /// Requests are neither executed nor answered.
    Unresponsive,
    /// Every request is answered with status 503.
    Unavailable,
    /// Every request is executed and answered after this delay.
    Slow(Duration),
    /// Writes are executed without a reply.
    DroppingReplies,
    /// This many further writes are executed without a reply.
    DroppingNextReplies(u32),
}

/// Prefix of the names of topics that keep the latest record of each key.
const KEYED_TOPIC_PREFIX: &str = "keyed.";
/// Bytes before the records in the reply to a read: the end and the start offset of the topic.
const READ_HEADER_BYTES: usize = 16;
/// Bytes of the length before each record in the body of an append.
const LENGTH_PREFIX_BYTES: usize = 4;
const BYTES_PER_KILOBYTE: usize = 1024;

#[derive(Debug, Default)]
struct Topic {
    /// Offset of the oldest record that is retained.
    start_offset: u64,
    records: VecDeque<Bytes>,
    /// Offset and value of the latest record of each key, which outlive the history.
    latest: BTreeMap<String, (u64, Bytes)>,
}

impl Topic {
    fn end_offset(&self) -> u64 {
        self.start_offset + self.records.len() as u64
    }

    fn append(&mut self, record: Bytes) -> u64 {
        let offset = self.end_offset();
        self.records.push_back(record);
        offset
    }

    /// Appends a record that begins with the length of its key, in one byte, and the key.
    fn append_keyed(&mut self, record: Bytes) -> u64 {
        let offset = self.append(record.clone());
        let key_len = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=key_len]).into_owned();
        self.latest.insert(key, (offset, record.slice(1 + key_len..)));
        offset
    }

    /// Drops the oldest records until at most `records` are retained.
    fn truncate(&mut self, records: usize) {
        while self.records.len() > records {
            self.records.pop_front();
            self.start_offset += 1;
        }
    }
}

#[derive(Debug, Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    behaviour: StoreBehaviour,
    /// Number of records that each topic retains, or `None` for all.
    retention: Option<usize>,
}

impl State {
    fn append(&mut self, topic: &str, record: Bytes) -> u64 {
        let topic_log = self.topics.entry(topic.to_owned()).or_default();
        let offset = match topic.starts_with(KEYED_TOPIC_PREFIX) {
            true => topic_log.append_keyed(record),
            false => topic_log.append(record),
        };
        topic_log.truncate(self.retention.unwrap_or(usize::MAX));
        offset
    }

    fn truncate(&mut self, records: usize) {
        self.topics.values_mut().for_each(|topic| topic.truncate(records));
    }

    /// Returns whether the reply to a write must be dropped. If the number of replies to drop is
    /// limited, it is reduced by one.
    fn drops_reply(&mut self) -> bool {
        match &mut self.behaviour {
            StoreBehaviour::DroppingReplies => true,
            StoreBehaviour::DroppingNextReplies(remaining) if *remaining > 0 => {
                *remaining -= 1;
                true
            }
            _ => false,
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    appended: Notify,
}

/// A running store. Dropping it stops the server.
#[derive(Debug)]
pub struct PlatformStore {
    inner: Arc<Inner>,
    server: JoinHandle<()>,
}

impl Drop for PlatformStore {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl PlatformStore {
    /// Starts an empty store that serves on `listener`.
    pub fn start(listener: TcpListener) -> Self {
        let inner: Arc<Inner> = Arc::default();
        let server_inner = inner.clone();
        let handle = move |req| server_inner.clone().handle_request(req);
        let server = tokio::spawn(serve(listener, handle));
        Self { inner, server }
    }

    /// Sets the behaviour, which stays until it is set again.
    pub fn set_behaviour(&self, behaviour: StoreBehaviour) {
        self.inner.state().behaviour = behaviour;
    }

    /// Publishes a configuration, a JSON document, as the platform's operators do.
    pub fn publish(&self, config: &str) {
        self.append_keyed("keyed.op", "config", config.as_bytes());
    }

    /// Appends a record to a topic, as another writer does.
    pub fn append(&self, topic: &str, record: Bytes) {
        self.inner.state().append(topic, record);
        self.inner.appended.notify_waiters();
    }

    /// Sets the value of a key, of at most 255 bytes, in a topic with keys.
    pub fn append_keyed(&self, topic: &str, key: &str, value: &[u8]) {
        let key_len = u8::try_from(key.len()).expect("a key has at most 255 bytes");
        self.append(topic, [&[key_len], key.as_bytes(), value].concat().into());
    }

    /// Returns the latest value of a key in a topic with keys.
    pub fn latest(&self, topic: &str, key: &str) -> Option<Bytes> {
        let state = self.inner.state();
        state.topics.get(topic)?.latest.get(key).map(|(_, value)| value.clone())
    }

    /// Deletes the records of all topics except for the latest of each key.
    pub fn drop_history(&self) {
        self.inner.state().truncate(0);
        self.inner.appended.notify_waiters();
    }

    /// Limits each topic to its most recent `records` records, now and after each append. The
    /// latest record of each key is always retained.
    pub fn set_retention(&self, records: usize) {
        let mut state = self.inner.state();
        state.retention = Some(records);
        state.truncate(records);
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the mutex of the store is never poisoned")
    }

    async fn handle_request(self: Arc<Self>, req: BufferedRequest) -> Reply {
        let behaviour = self.state().behaviour;
        match behaviour {
            StoreBehaviour::Normal => {}
            StoreBehaviour::Unresponsive => return None,
            StoreBehaviour::Unavailable => {
                return Some((StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
            }
            StoreBehaviour::Slow(delay) => sleep(delay).await,
            StoreBehaviour::DroppingReplies | StoreBehaviour::DroppingNextReplies(_)
                if req.method == Method::POST =>
            {
                let reply = self.execute(&req).await;
                return (!self.state().drops_reply()).then_some(reply);
            }
            StoreBehaviour::DroppingReplies | StoreBehaviour::DroppingNextReplies(_) => {}
        }
        let reply = self.execute(&req).await;
        // A read that was waiting when the store became unresponsive gets no reply either.
        if self.state().behaviour == StoreBehaviour::Unresponsive { None } else { Some(reply) }
    }

    async fn execute(&self, req: &BufferedRequest) -> (StatusCode, Bytes) {
        let topic = req.query_param("topic").unwrap_or_default().to_owned();
        match req.path.as_str() {
            "/log-append" => self.append_records(&topic, req),
            "/log-newest" => self.latest(&topic),
            "/log-read" => self.read(&topic, req).await,
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    fn append_records(&self, topic: &str, req: &BufferedRequest) -> (StatusCode, Bytes) {
        let mut state = self.state();
        let end_offset = state.topics.get(topic).map_or(0, Topic::end_offset);
        if req.query_param("at").is_some() && req.query_number("at") != end_offset {
            return (
                StatusCode::PRECONDITION_FAILED,
                json!({"endOffset": end_offset}).to_string().into(),
            );
        }
        let Some(records) = split_records(req.body.clone(), topic.starts_with(KEYED_TOPIC_PREFIX))
        else {
            return (StatusCode::BAD_REQUEST, Bytes::new());
        };
        let appended = records.len() as u64;
        for record in records {
            state.append(topic, record);
        }
        self.appended.notify_waiters();
        let body = json!({"offset": end_offset, "endOffset": end_offset + appended});
        (StatusCode::OK, body.to_string().into())
    }

    fn latest(&self, topic: &str) -> (StatusCode, Bytes) {
        let state = self.state();
        let topic_log = state.topics.get(topic);
        let latest = topic_log.iter().flat_map(|topic| &topic.latest);
        let items: Vec<_> = latest
            .map(|(key, (offset, value))| {
                json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
            })
            .collect();
        let end_offset = topic_log.map_or(0, Topic::end_offset);
        let body = json!({"items": items, "hasMore": false, "endOffset": end_offset});
        (StatusCode::OK, body.to_string().into())
    }

    async fn read(&self, topic: &str, req: &BufferedRequest) -> (StatusCode, Bytes) {
        let from = req.query_number("from");
        let wait = Duration::from_millis(req.query_number("waitTimeoutMs"));
        let appended = self.appended.notified();
        if self.state().topics.get(topic).is_none_or(|topic_log| topic_log.end_offset() <= from) {
            // A timeout is normal: no record was appended within the wait.
            let _ = timeout(wait, appended).await;
        }
        let state = self.state();
        let Some(topic_log) = state.topics.get(topic) else {
            return (StatusCode::OK, Bytes::from_static(&[0; READ_HEADER_BYTES]));
        };
        if from < topic_log.start_offset {
            let body = json!({"startOffset": topic_log.start_offset}).to_string();
            return (StatusCode::GONE, body.into());
        }
        let max_bytes = req.query_number("maxKilobytes").max(1) as usize * BYTES_PER_KILOBYTE;
        let mut bytes =
            [topic_log.end_offset().to_be_bytes(), topic_log.start_offset.to_be_bytes()].concat();
        for record in topic_log.records.iter().skip((from - topic_log.start_offset) as usize) {
            if bytes.len() + record.len() > max_bytes && bytes.len() > READ_HEADER_BYTES {
                break;
            }
            bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
            bytes.extend_from_slice(record);
        }
        (StatusCode::OK, bytes.into())
    }
}

/// Splits the body of an append into its records, or returns `None` if the body is malformed.
fn split_records(mut body: Bytes, keyed: bool) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let record_len = (body.len() >= LENGTH_PREFIX_BYTES).then(|| body.get_u32() as usize)?;
        let record = (body.len() >= record_len).then(|| body.split_to(record_len))?;
        let key_len = record.first().map_or(0, |len| usize::from(*len));
        let has_key = !record.is_empty() && record.len() > key_len;
        (!keyed || has_key).then(|| records.push(record))?;
    }
    Some(records)
}
