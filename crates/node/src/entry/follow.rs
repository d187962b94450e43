//! Follows the store: the configuration and the list of entries. Where the store cannot be read, the
//! other entries are asked.

use std::sync::Arc;
use std::time::Duration;

use cowslipwing_platform::{KeyedRecord, ReadResult, StoreError, Topic};
use cowslipwing_proto::ExchangeRequest;
use cowslipwing_proto::dispatch_client::DispatchClient;
use tokio::time::timeout;
use tonic::transport::Endpoint;

use super::shared::Shared;
use crate::members::parse_addresses;

/// Longest wait of a read of the configuration; a connection that has fallen silent is noticed
/// within it, which leaves time to apply a change within 2 s.
const CONFIG_WAIT: Duration = Duration::from_millis(800);
/// Longest wait of a read of the entries, which change seldom.
const ENTRIES_WAIT: Duration = Duration::from_secs(5);
/// Time between two tries while the store does not answer.
const STORE_RETRY: Duration = Duration::from_millis(250);
/// Time between two questions to another entry while the store does not answer.
const PEER_INTERVAL: Duration = Duration::from_millis(400);
/// Time in which another entry must answer.
const PEER_LIMIT: Duration = Duration::from_millis(500);

/// Follows the configuration until the entry stops.
pub(super) async fn configuration(shared: Arc<Shared>) {
    follow(&shared, Topic::Configuration, CONFIG_WAIT, |record| {
        if record.key == Topic::CONFIGURATION_KEY && !record.value.is_empty() {
            shared.on_configuration(record.value, "store");
        }
    })
    .await;
}

/// Announces this entry and follows the list of entries until the entry stops.
pub(super) async fn entries(shared: Arc<Shared>) {
    let record = KeyedRecord {
        key: shared.node.clone(),
        value: shared.address.to_string().into_bytes().into(),
    };
    while let Err(error) = shared.store.put(Topic::Entries, &record).await {
        shared.on_store("announce", Some(error));
        tokio::time::sleep(STORE_RETRY).await;
    }
    follow(&shared, Topic::Entries, ENTRIES_WAIT, |record| {
        let text = String::from_utf8_lossy(&record.value);
        for address in shared.members.add(parse_addresses([text])) {
            log::info!("entry: event=entry-known address={address} source=store");
        }
    })
    .await;
}

async fn follow<F>(shared: &Shared, topic: Topic, wait: Duration, mut take: F)
where
    F: FnMut(KeyedRecord),
{
    let mut next = None;
    loop {
        let step = follow_once(shared, topic, wait, &mut next, &mut take).await;
        let failed = step.is_err();
        shared.on_store("read", step.err());
        if failed {
            tokio::time::sleep(STORE_RETRY).await;
        }
    }
}

async fn follow_once<F>(
    shared: &Shared,
    topic: Topic,
    wait: Duration,
    next: &mut Option<u64>,
    take: &mut F,
) -> Result<(), StoreError>
where
    F: FnMut(KeyedRecord),
{
    let Some(from) = *next else {
        let (records, end) = shared.store.newest(topic).await?;
        records.into_iter().for_each(take);
        *next = Some(end);
        return Ok(());
    };
    match shared.store.read(topic, from, wait).await? {
        ReadResult::Records { records, next: end, .. } => {
            records.into_iter().for_each(take);
            *next = Some(end);
        }
        ReadResult::Truncated => {
            log::info!("entry: event=history-dropped topic={topic:?} from={from}");
            *next = None;
        }
    }
    Ok(())
}

/// Asks other entries for what this one misses while the store does not answer.
pub(super) async fn peers(shared: Arc<Shared>) {
    let mut turn: usize = 0;
    loop {
        tokio::time::sleep(PEER_INTERVAL).await;
        if shared.has_store() {
            continue;
        }
        let others = shared.members.list();
        let others: Vec<_> = others.into_iter().filter(|other| *other != shared.address).collect();
        if others.is_empty() {
            continue;
        }
        turn = turn.wrapping_add(1);
        let other = others[turn % others.len()];
        if timeout(PEER_LIMIT, ask(&shared, other)).await.is_err() {
            log::debug!("entry: event=peer-silent peer={other}");
        }
    }
}

async fn ask(shared: &Shared, other: std::net::SocketAddr) {
    let Ok(endpoint) = Endpoint::try_from(format!("http://{other}")) else {
        return;
    };
    let request = ExchangeRequest {
        address: shared.address.to_string(),
        config_version: shared.table().version(),
        entries: shared.members.list().iter().map(ToString::to_string).collect(),
    };
    let asked = async {
        let channel = endpoint.connect_timeout(PEER_LIMIT).connect().await.ok()?;
        DispatchClient::new(channel).exchange(request).await.ok()
    };
    let Some(reply) = asked.await else {
        log::debug!("entry: event=peer-unreachable peer={other}");
        return;
    };
    let reply = reply.into_inner();
    shared.members.add(parse_addresses(&reply.entries));
    if !reply.config.is_empty() {
        shared.on_configuration(reply.config.into(), "peer");
    }
}
