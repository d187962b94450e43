//! Follows the configuration, the evacuations and the list of entries in the store. If the store cannot be read,
//! asks other entries instead.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_platform::{KeyedRecord, ReadResult, StoreError, StoredRecord, Topic};
use cowslipwing_proto::ExchangeRequest;
use cowslipwing_proto::dispatch_client::DispatchClient;
use tokio::time::timeout;
use tonic::transport::Endpoint;

use super::shared::Shared;
use crate::members::parse_addresses;

/// Maximum wait of a read of the configuration. It bounds the time to detect a silent connection,
/// so that a change can be applied within 2 s.
const CONFIG_READ_WAIT: Duration = Duration::from_millis(800);
/// Maximum wait of a read of the list of entries, which rarely changes.
const ENTRIES_READ_WAIT: Duration = Duration::from_secs(5);
/// Interval between attempts while the store does not answer.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between requests to other entries while the store does not answer.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a request to another entry.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// The result of a read of a topic.
pub(super) enum TopicRead {
    /// The newest record of each key.
    Newest {
        /// The records.
        records: Vec<StoredRecord>,
        /// Offset at which the topic ended.
        end: u64,
    },
    /// The records since the previous read.
    Later {
        /// The records.
        records: Vec<StoredRecord>,
    },
}

impl TopicRead {
    fn into_records(self) -> Vec<StoredRecord> {
        match self {
            Self::Newest { records, .. } | Self::Later { records } => records,
        }
    }
}

/// Follows the configuration and the evacuations until the entry stops.
pub(super) async fn follow_configuration(shared: Arc<Shared>) {
    follow(&shared, Topic::Configuration, CONFIG_READ_WAIT, |read| {
        // No job is admitted without a configuration, so that none is placed before the evacuations
        // are known.
        shared.read_evacuations(&read);
        for record in read.into_records() {
            if record.key == Topic::CONFIGURATION_KEY && !record.value.is_empty() {
                shared.apply_config(record.value, "store");
            }
        }
    })
    .await;
}

/// Writes this entry's address to the store, then follows the list of entries until the entry
/// stops.
pub(super) async fn announce_and_follow_entries(shared: Arc<Shared>) {
    let record = KeyedRecord {
        key: shared.node.clone(),
        value: shared.address.to_string().into_bytes().into(),
    };
    while let Err(error) = shared.store.put(Topic::Entries, &record).await {
        shared.record_store_result("announce", Some(error));
        tokio::time::sleep(STORE_RETRY_INTERVAL).await;
    }
    follow(&shared, Topic::Entries, ENTRIES_READ_WAIT, |read| {
        for record in read.into_records() {
            let text = String::from_utf8_lossy(&record.value);
            for address in shared.members.add(parse_addresses([text])) {
                log::info!("entry: event=entry-known address={address} source=store");
            }
        }
    })
    .await;
}

async fn follow<F>(shared: &Shared, topic: Topic, wait: Duration, mut on_read: F)
where
    F: FnMut(TopicRead),
{
    let mut next_offset = None;
    loop {
        let result = follow_once(shared, topic, wait, &mut next_offset, &mut on_read).await;
        let failed = result.is_err();
        shared.record_store_result("read", result.err());
        if failed {
            tokio::time::sleep(STORE_RETRY_INTERVAL).await;
        }
    }
}

async fn follow_once<F>(
    shared: &Shared,
    topic: Topic,
    wait: Duration,
    next_offset: &mut Option<u64>,
    on_read: &mut F,
) -> Result<(), StoreError>
where
    F: FnMut(TopicRead),
{
    let Some(from) = *next_offset else {
        let (records, end) = shared.store.newest(topic).await?;
        on_read(TopicRead::Newest { records, end });
        *next_offset = Some(end);
        return Ok(());
    };
    match shared.store.read(topic, from, wait).await? {
        ReadResult::Records { records, next: end, .. } => {
            on_read(TopicRead::Later { records });
            *next_offset = Some(end);
        }
        ReadResult::Truncated => {
            log::info!("entry: event=history-dropped topic={topic:?} from={from}");
            *next_offset = None;
        }
    }
    Ok(())
}

/// Requests the configuration and the list of entries from other entries, in turn, while the store
/// does not answer.
pub(super) async fn poll_peers(shared: Arc<Shared>) {
    let mut peer_index: usize = 0;
    loop {
        tokio::time::sleep(PEER_POLL_INTERVAL).await;
        if shared.is_store_reachable() {
            continue;
        }
        let peers = shared.members.list();
        let peers: Vec<_> = peers.into_iter().filter(|peer| *peer != shared.address).collect();
        if peers.is_empty() {
            continue;
        }
        peer_index = peer_index.wrapping_add(1);
        let peer = peers[peer_index % peers.len()];
        if timeout(PEER_TIMEOUT, exchange_with(&shared, peer)).await.is_err() {
            log::debug!("entry: event=peer-silent peer={peer}");
        }
    }
}

async fn exchange_with(shared: &Shared, peer: std::net::SocketAddr) {
    let Ok(endpoint) = Endpoint::try_from(format!("http://{peer}")) else {
        return;
    };
    let request = ExchangeRequest {
        address: shared.address.to_string(),
        config_version: shared.route_table().version(),
        entries: shared.members.list().iter().map(ToString::to_string).collect(),
        evacuations: shared.evacuation_states(),
    };
    let exchange = async {
        let channel = endpoint.connect_timeout(PEER_TIMEOUT).connect().await.ok()?;
        DispatchClient::new(channel).exchange(request).await.ok()
    };
    let Some(reply) = exchange.await else {
        log::debug!("entry: event=peer-unreachable peer={peer}");
        return;
    };
    let reply = reply.into_inner();
    shared.members.add(parse_addresses(&reply.entries));
    shared.learn_evacuations(&reply.evacuations, "peer");
    if !reply.config.is_empty() {
        shared.apply_config(reply.config.into(), "peer");
    }
}
