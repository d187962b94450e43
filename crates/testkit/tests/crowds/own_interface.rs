//! Crowds against the entry's own interface for callers and operators.

use std::time::Duration;

use cowslipwing_testkit::{Caller, Cluster};
use volo_http::http::Method;

use crate::crowd::{BODY_BYTES, Crowd};
use crate::vm::{self, Watch};

const READY_LIMIT: Duration = Duration::from_secs(40);
const CONTRACT: &str =
    r#"{"share":1,"concurrency":100,"deadline":"10s","refusals":"5%","open_jobs":4}"#;
const POST: &str = "POST /v1/jobs HTTP/1.1\r\nhost: z\r\ncontent-type: application/json\r\n";

async fn check(descriptors: u64, crowd: Crowd) {
    let _alone = vm::alone().await;
    let mut cluster = Cluster::start().await.unwrap();
    cluster.start_entry_with_settings("a", &vm::settings(descriptors)).await.unwrap();
    cluster.start_endpoint("e1", 4, 1).await.unwrap();
    assert!(cluster.wait_ready(1, READY_LIMIT).await, "{}", cluster.logs());
    let entry = cluster.entry_addresses()[0];
    let contract = "/v1/contracts/shop?base=0";
    let published = Caller::new().send(entry, Method::PUT, contract, &[], CONTRACT).await;
    assert_eq!(published.expect("the contract is answered").status, 200);
    let pid = cluster.daemon_process("a").expect("the entry runs").id();
    let watch = Watch::start(pid, entry.ip(), descriptors);
    let open = crowd.press(entry).await;
    assert!(open.connected() > 0, "no client of the crowd has connected");
    assert_served(entry, "beside").await;
    watch.check();
    drop(open);
    assert_served(entry, "afterwards").await;
    watch.check();
}

async fn assert_served(entry: std::net::SocketAddr, key: &str) {
    let job = r#"{"customer":"shop","tasks":[{"kind":"quote","body":"x"}]}"#;
    let reply = Caller::new().submit(entry, key, job).await;
    let reply = reply.expect("an ordinary request is answered");
    assert_eq!(reply.status, 200, "{}", reply.body);
}

macro_rules! crowds {
    ($($name:ident: $descriptors:expr, $crowd:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            check($descriptors, $crowd).await;
        }
    )*};
}

crowds! {
    own_heads_without_end: vm::DESCRIPTORS, Crowd::endless_heads(300);
    own_empty_lines: vm::DESCRIPTORS, Crowd::empty_lines(600);
    own_bodies_whole: vm::DESCRIPTORS, Crowd::bodies(300, POST, BODY_BYTES, BODY_BYTES - 1);
    own_bodies_in_pieces: vm::DESCRIPTORS, Crowd::bodies(300, POST, BODY_BYTES, 4096);
    own_large_chunks: vm::DESCRIPTORS, Crowd::chunks(300, POST, 16_000, 1, 16);
    own_one_byte_chunks: vm::DESCRIPTORS, Crowd::chunks(300, POST, 1, 500, 40);
    own_unread_answers: vm::DESCRIPTORS, Crowd::unread_answers(300, "/v1/status");
    own_more_than_descriptors: vm::FEW_DESCRIPTORS, Crowd::idle(400);
}
