//! Crowds against the listeners for agents and other entries, which speak HTTP/2.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cowslipwing_testkit::{Caller, Cluster};
use h2::SendStream;
use h2::client::{SendRequest, handshake};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;
use volo_http::http::{Method, Request};

use crate::crowd::Crowd;
use crate::platform::{CALLER_PORT, PEER_PORT, Platform, assert_served};
use crate::vm::{self, Watch};

/// Time after which a client that cannot send any more stays as it is.
const PATIENCE: Duration = Duration::from_secs(2);
const READY_LIMIT: Duration = Duration::from_secs(40);
/// Message size announced by each call, which is below the limit of a message.
const MESSAGE_BYTES: usize = (4 << 20) - 1024;
const PART_BYTES: usize = 16_384;
const CLIENTS: usize = 10;
const CALLS: usize = 10;

/// The open calls of a crowd.
struct OpenCalls {
    _calls: Vec<(SendRequest<Bytes>, SendStream<Bytes>)>,
}

/// Opens calls whose message stops short of its end.
async fn press(address: SocketAddr, path: &'static str) -> OpenCalls {
    let mut clients = JoinSet::new();
    for _ in 0..CLIENTS {
        clients.spawn(async move {
            let mut calls = Vec::new();
            if let Ok(Some(sender)) = timeout(PATIENCE, connect(address)).await {
                for _ in 0..CALLS {
                    let call = timeout(PATIENCE, open_call(sender.clone(), address, path)).await;
                    calls.extend(call.ok().flatten());
                }
                for (_, stream) in &mut calls {
                    send_part_of_message(stream).await;
                }
            }
            calls
        });
    }
    OpenCalls { _calls: clients.join_all().await.into_iter().flatten().collect() }
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Bytes>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = handshake(stream).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

async fn open_call(
    sender: SendRequest<Bytes>,
    address: SocketAddr,
    path: &str,
) -> Option<(SendRequest<Bytes>, SendStream<Bytes>)> {
    let mut sender = sender.ready().await.ok()?;
    let req = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .body(())
        .expect("the request is valid");
    let (_response, stream) = sender.send_request(req, false).ok()?;
    Some((sender, stream))
}

/// Sends the message's length and all but the last part of the message.
async fn send_part_of_message(stream: &mut SendStream<Bytes>) {
    let length = u32::try_from(MESSAGE_BYTES).expect("the length fits").to_be_bytes();
    let mut part = Bytes::from([&[0], length.as_slice()].concat());
    for _ in 0..MESSAGE_BYTES / PART_BYTES {
        while !part.is_empty() {
            stream.reserve_capacity(part.len());
            let capacity = poll_fn(|cx| stream.poll_capacity(cx));
            let Ok(Some(Ok(capacity))) = timeout(PATIENCE, capacity).await else {
                return;
            };
            let now = part.split_to(capacity.min(part.len()));
            if stream.send_data(now, false).is_err() {
                return;
            }
        }
        part = Bytes::from(vec![0; PART_BYTES]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_messages_without_end() {
    let _alone = vm::alone().await;
    let platform = Platform::start(131, vm::DESCRIPTORS).await;
    let ip = platform.entry_ip(131);
    let watch = platform.watch_entry(ip);
    let open = press(vm::at(ip, PEER_PORT), "/cowslipwing.v1.Dispatch/Exchange").await;
    assert_served(vm::at(ip, CALLER_PORT), 1).await;
    watch.check();
    drop(open);
    assert_served(vm::at(ip, CALLER_PORT), 2).await;
    watch.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_more_than_descriptors() {
    let _alone = vm::alone().await;
    let platform = Platform::start(132, vm::FEW_DESCRIPTORS).await;
    let ip = platform.entry_ip(132);
    let watch = platform.watch_entry(ip);
    let open = Crowd::idle(400).press(vm::at(ip, PEER_PORT)).await;
    assert!(open.connected() > 0, "no client of the crowd has connected");
    assert_served(vm::at(ip, CALLER_PORT), 1).await;
    watch.check();
    drop(open);
    assert_served(vm::at(ip, CALLER_PORT), 2).await;
    watch.check();
}

/// Presses the gRPC listener of a daemon with the product's own interface.
async fn check_own(daemon: &str, path: &'static str) {
    let _alone = vm::alone().await;
    let mut cluster = Cluster::start().await.unwrap();
    let vm_settings = vm::settings(vm::DESCRIPTORS);
    cluster.start_entry_with_settings("a", &vm_settings).await.unwrap();
    cluster.start_endpoint_with_settings("e1", 4, 1, &vm_settings).await.unwrap();
    assert!(cluster.wait_ready(1, READY_LIMIT).await, "{}", cluster.logs());
    let process = cluster.daemon_process(daemon).expect("the daemon runs");
    let address = *process.addresses().last().expect("a daemon has an address");
    let watch = Watch::start(process.id(), address.ip(), vm::DESCRIPTORS);
    let open = press(address, path).await;
    let entry = cluster.entry_addresses()[0];
    let ready = Caller::new().get(entry, "/ready").await.expect("the entry answers");
    assert_eq!(ready.status, 200, "{}", ready.body);
    watch.check();
    drop(open);
    watch.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn own_peers_messages_without_end() {
    check_own("a", "/cowslipwing.v1.Peer/Forward").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn own_agent_messages_without_end() {
    check_own("e1", "/cowslipwing.v1.Agent/Survey").await;
}
