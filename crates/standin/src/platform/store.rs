//! The metadata store: a log whose topics keep the newest record of each key.

use std::collections::BTreeMap;
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
pub enum StoreMood {
    /// It does not.
    #[default]
    Up,
    /// It answers nothing.
    Silent,
    /// It refuses every call.
    Busy,
    /// It answers late.
    Slow(Duration),
    /// It carries writes out and does not answer them.
    LosingAnswers,
}

#[derive(Default)]
struct Topic {
    first: u64,
    records: Vec<(String, Bytes)>,
    /// Records that are gone from the log, of which the newest of each key stays.
    newest: BTreeMap<String, (u64, Bytes)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, key: String, value: Bytes) -> u64 {
        let offset = self.end();
        self.newest.insert(key.clone(), (offset, value.clone()));
        self.records.push((key, value));
        offset
    }
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    mood: StoreMood,
}

#[derive(Default)]
struct Inner {
    state: Mutex<State>,
    appended: Notify,
}

/// The store.
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
    pub fn set_mood(&self, mood: StoreMood) {
        self.inner.state().mood = mood;
    }

    /// Publishes a configuration, as operators do.
    pub fn publish(&self, config: &str) {
        self.inner.append("keyed.op", "config".into(), Bytes::copy_from_slice(config.as_bytes()));
    }

    /// Drops the history of all topics; the newest record of each key stays.
    pub fn drop_history(&self) {
        for topic in self.inner.state().topics.values_mut() {
            topic.first = topic.end();
            topic.records.clear();
        }
        self.inner.appended.notify_waiters();
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the store panics")
    }

    fn append(&self, topic: &str, key: String, value: Bytes) -> u64 {
        let offset = self.state().topics.entry(topic.to_owned()).or_default().append(key, value);
        self.appended.notify_waiters();
        offset
    }

    async fn answer(self: Arc<Self>, call: Call) -> Answer {
        let mood = self.state().mood;
        match mood {
            StoreMood::Up => {}
            StoreMood::Silent => return None,
            StoreMood::Busy => return Some((StatusCode::SERVICE_UNAVAILABLE, Bytes::new())),
            StoreMood::Slow(pause) => sleep(pause).await,
            StoreMood::LosingAnswers if call.method == Method::POST => {
                self.carry_out(&call).await;
                return None;
            }
            StoreMood::LosingAnswers => {}
        }
        let answer = self.carry_out(&call).await;
        // A store that has gone away meanwhile answers no waiting read either.
        if self.state().mood == StoreMood::Silent { None } else { Some(answer) }
    }

    async fn carry_out(&self, call: &Call) -> (StatusCode, Bytes) {
        let topic = call.param("topic").unwrap_or_default().to_owned();
        match call.path.as_str() {
            "/log-append" => self.take_records(&topic, call.body.clone()),
            "/log-newest" => self.newest(&topic),
            "/log-read" => self.read(&topic, call).await,
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    fn take_records(&self, topic: &str, mut body: Bytes) -> (StatusCode, Bytes) {
        let mut first = None;
        while body.len() > 4 {
            let len = body.get_u32() as usize;
            let mut record = body.split_to(len.min(body.len()));
            let key_len = usize::from(record.get_u8());
            let key = record.split_to(key_len.min(record.len()));
            let key = String::from_utf8_lossy(&key).into_owned();
            first.get_or_insert(self.append(topic, key, record));
        }
        let body = json!({"offset": first, "endOffset": 0});
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
        let mut bytes = [known.end().to_be_bytes(), known.first.to_be_bytes()].concat();
        for (key, value) in known.records.iter().skip((from - known.first) as usize) {
            let len = (1 + key.len() + value.len()) as u32;
            bytes.extend_from_slice(&len.to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend_from_slice(key.as_bytes());
            bytes.extend_from_slice(value);
        }
        (StatusCode::OK, bytes.into())
    }
}
