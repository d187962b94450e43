//! Crowds against the agent's listener for the announcements of its endpoint.

use crate::client::request;
use crate::crowd::Crowd;
use crate::platform::{ANNOUNCEMENT_PORT, CALLER_PORT, Platform, assert_served};
use crate::vm;

/// Number of bytes of an announcement, the limit of the platform's pages.
const ANNOUNCEMENT_BYTES: usize = 4 << 20;
const PUT: &str = "PUT /instances/i-9 HTTP/1.1\r\nhost: z\r\n";

async fn check(second_byte: u8, descriptors: u64, crowd: Crowd) {
    let platform = Platform::start(second_byte, descriptors).await;
    let (entry, agent) = (platform.entry_ip(second_byte), platform.agent_ip(second_byte));
    let watch = platform.watch_agent(agent);
    let open = crowd.press(vm::at(agent, ANNOUNCEMENT_PORT)).await;
    assert!(open.connected() > 0, "no client of the crowd has connected");
    let announcement = request(vm::at(agent, ANNOUNCEMENT_PORT), PUT, b"{}").await;
    announcement.expect("an announcement is answered");
    assert_served(vm::at(entry, CALLER_PORT), 1).await;
    watch.check();
    drop(open);
    assert_served(vm::at(entry, CALLER_PORT), 2).await;
    watch.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_large_announcements() {
    let _alone = vm::alone().await;
    let crowd = Crowd::bodies(40, PUT, ANNOUNCEMENT_BYTES, 65_536);
    check(121, vm::DESCRIPTORS, crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_one_byte_chunks() {
    let _alone = vm::alone().await;
    check(122, vm::DESCRIPTORS, Crowd::chunks(300, PUT, 1, 500, 40)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_more_than_descriptors() {
    let _alone = vm::alone().await;
    check(123, vm::FEW_DESCRIPTORS, Crowd::idle(400)).await;
}
