//! The metadata store: a log, some of whose topics keep the newest record of each key.

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

use super::http::{Answer, Call, serve};

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreBehaviour {
    /// It does not.
    #[default]
    Normal,
    /// It answers nothing.
    Unresponsive,
    /// It refuses every call.
    Unavailable,
    /// It answers late.
    Slow(Duration),
    /// It carries writes out and does not answer them.
    DroppingReplies,
    /// It carries the next writes out and does not answer them, and answers again after so many.
    DroppingNextReplies(u32),
}

/// Topics whose name begins so keep the newest record of each key.
const KEYED: &str = "keyed.";

#[derive(Debug, Default)]
struct Topic {
    first: u64,
    records: VecDeque<Bytes>,
    /// The newest record of each key, which stays when the history is dropped.
    newest: BTreeMap<String, (u64, Bytes)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, record: Bytes) -> u64 {
        let offset = self.end();
        self.records.push_back(record);
        offset
    }

    fn append_keyed(&mut self, record: Bytes) -> u64 {
        let offset = self.append(record.clone());
        let key_len = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=key_len]).into_owned();
        self.newest.insert(key, (offset, record.slice(1 + key_len..)));
        offset
    }

    fn keep(&mut self, records: usize) {
        while self.records.len() > records {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

#[derive(Debug, Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    behaviour: StoreBehaviour,
    /// Records that a topic keeps; all where there is none.
    retention: Option<usize>,
}

impl State {
    fn append(&mut self, topic: &str, record: Bytes) -> u64 {
        let known = self.topics.entry(topic.to_owned()).or_default();
        let offset = match topic.starts_with(KEYED) {
            true => known.append_keyed(record),
            false => known.append(record),
        };
        known.keep(self.retention.unwrap_or(usize::MAX));
        offset
    }

    fn keep(&mut self, records: usize) {
        self.topics.values_mut().for_each(|topic| topic.keep(records));
    }

    /// Counts a write whose answer is to be lost.
    fn loses_answer(&mut self) -> bool {
        match &mut self.behaviour {
            StoreBehaviour::DroppingReplies => true,
            StoreBehaviour::DroppingNextReplies(left) if *left > 0 => {
                *left -= 1;
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

/// The store.
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
    /// Starts a store that serves on `listener`.
    pub fn start(listener: TcpListener) -> Self {
        let inner: Arc<Inner> = Arc::default();
        let served = inner.clone();
        let handle = move |call| served.clone().answer(call);
        let server = tokio::spawn(serve(listener, handle));
        Self { inner, server }
    }

    /// Makes the store behave in some way.
    pub fn set_behaviour(&self, behaviour: StoreBehaviour) {
        self.inner.state().behaviour = behaviour;
    }

    /// Publishes a configuration, as operators do.
    pub fn publish(&self, config: &str) {
        const KEY: &[u8] = b"\x06config";
        let record = [KEY, config.as_bytes()].concat();
        self.inner.state().append("keyed.op", record.into());
        self.inner.appended.notify_waiters();
    }

    /// Drops the history of all topics; the newest record of each key stays.
    pub fn drop_history(&self) {
        self.inner.state().keep(0);
        self.inner.appended.notify_waiters();
    }

    /// Keeps only so many records of each topic from now on; the newest record of each key stays.
    pub fn set_retention(&self, records: usize) {
        let mut state = self.inner.state();
        state.retention = Some(records);
        state.keep(records);
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the store panics")
    }

    async fn answer(self: Arc<Self>, call: Call) -> Answer {
        let behaviour = self.state().behaviour;
        match behaviour {
            StoreBehaviour::Normal => {}
            StoreBehaviour::Unresponsive => return None,
            StoreBehaviour::Unavailable => {
                return Some((StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
            }
            StoreBehaviour::Slow(pause) => sleep(pause).await,
            StoreBehaviour::DroppingReplies | StoreBehaviour::DroppingNextReplies(_)
                if call.method == Method::POST =>
            {
                let answer = self.carry_out(&call).await;
                return (!self.state().loses_answer()).then_some(answer);
            }
            StoreBehaviour::DroppingReplies | StoreBehaviour::DroppingNextReplies(_) => {}
        }
        let answer = self.carry_out(&call).await;
        // A store that has gone away meanwhile answers no waiting read either.
        if self.state().behaviour == StoreBehaviour::Unresponsive { None } else { Some(answer) }
    }

    async fn carry_out(&self, call: &Call) -> (StatusCode, Bytes) {
        let topic = call.param("topic").unwrap_or_default().to_owned();
        match call.path.as_str() {
            "/log-append" => self.take_records(&topic, call),
            "/log-newest" => self.newest(&topic),
            "/log-read" => self.read(&topic, call).await,
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    fn take_records(&self, topic: &str, call: &Call) -> (StatusCode, Bytes) {
        let mut state = self.state();
        let end = state.topics.get(topic).map_or(0, Topic::end);
        if call.param("at").is_some() && call.number("at") != end {
            return (StatusCode::PRECONDITION_FAILED, json!({"endOffset": end}).to_string().into());
        }
        let Some(records) = split_records(call.body.clone(), topic.starts_with(KEYED)) else {
            return (StatusCode::BAD_REQUEST, Bytes::new());
        };
        let appended = records.len() as u64;
        for record in records {
            state.append(topic, record);
        }
        self.appended.notify_waiters();
        let body = json!({"offset": end, "endOffset": end + appended});
        (StatusCode::OK, body.to_string().into())
    }

    fn newest(&self, topic: &str) -> (StatusCode, Bytes) {
        let state = self.state();
        let known = state.topics.get(topic);
        let newest = known.iter().flat_map(|topic| &topic.newest);
        let items: Vec<_> = newest
            .map(|(key, (offset, value))| {
                json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
            })
            .collect();
        let end = known.map_or(0, Topic::end);
        let body = json!({"items": items, "hasMore": false, "endOffset": end});
        (StatusCode::OK, body.to_string().into())
    }

    async fn read(&self, topic: &str, call: &Call) -> (StatusCode, Bytes) {
        let from = call.number("from");
        let wait = Duration::from_millis(call.number("waitTimeoutMs"));
        let appended = self.appended.notified();
        if self.state().topics.get(topic).is_none_or(|known| known.end() <= from) {
            // The time may pass without a record.
            let _ = timeout(wait, appended).await;
        }
        let state = self.state();
        let Some(known) = state.topics.get(topic) else {
            return (StatusCode::OK, Bytes::from_static(&[0; 16]));
        };
        if from < known.first {
            let body = json!({"startOffset": known.first}).to_string();
            return (StatusCode::GONE, body.into());
        }
        let limit = call.number("maxKilobytes").max(1) as usize * 1024;
        let mut bytes = [known.end().to_be_bytes(), known.first.to_be_bytes()].concat();
        for record in known.records.iter().skip((from - known.first) as usize) {
            if bytes.len() + record.len() > limit && bytes.len() > 16 {
                break;
            }
            bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
            bytes.extend_from_slice(record);
        }
        (StatusCode::OK, bytes.into())
    }
}

/// Reads the records of an append; none where they cannot be read.
fn split_records(mut body: Bytes, keyed: bool) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let len = (body.len() >= 4).then(|| body.get_u32() as usize)?;
        let record = (body.len() >= len).then(|| body.split_to(len))?;
        let key_len = record.first().map_or(0, |len| usize::from(*len));
        let has_key = !record.is_empty() && record.len() > key_len;
        (!keyed || has_key).then(|| records.push(record))?;
    }
    Some(records)
}
