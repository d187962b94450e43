//! Submission, repeated submission, failure and withdrawal of jobs.

use std::time::Duration;

use crate::session::{Session, job};

#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_answered_in_the_order_of_its_tasks() {
    let mut session = Session::start().await.with_contract("shop").await;
    let body =
        r#"{"customer":"shop","tasks":[{"body":"one"},{"body":"sleep 60"},{"body":"three"}]}"#;
    session.post("/v1/jobs", Some("quote-1"), body).await;
    session.get("/v1/jobs/shop/quote-1").await;
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_submission_gets_the_stored_answer() {
    let mut session = Session::start().await.with_contract("shop").await;
    let body = job("shop", 2, "hold");
    session.post("/v1/jobs", Some("hold-1"), &body).await;
    session.post("/v1/jobs", Some("hold-1"), &body).await;
    session.post("/v1/jobs", Some("hold-1"), &job("shop", 2, "other")).await;
    assert_eq!(session.start_count(), 2);
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_task_fails_its_job() {
    let mut session = Session::start().await.with_contract("shop").await;
    session.post("/v1/jobs", Some("roster-1"), &job("shop", 1, "fail")).await;
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_job_reports_which_tasks_may_have_run() {
    let mut session = Session::start().await.with_contract("shop").await;
    let entry = session.cluster.entry_addresses()[0];
    let caller = cowslipwing_testkit::Caller::new();
    let submitted = tokio::spawn(async move {
        caller.submit(entry, "lot-1", &job("shop", 8, "sleep 1500")).await.unwrap()
    });
    while session.start_count() < 4 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let withdrawn = session.delete("/v1/jobs/shop/lot-1").await.job_answer().unwrap();
    let answered = submitted.await.unwrap().job_answer().unwrap();
    assert_eq!(withdrawn, answered);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(session.start_count(), 4);
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_batch_refuses_new_jobs() {
    let mut session = Session::start().await.with_contract("shop").await;
    session.post("/v1/batches/shop/lot-9/withdraw", None, "").await;
    let body = r#"{"customer":"shop","batch":"lot-9","tasks":[{"body":"hold"}]}"#;
    session.post("/v1/jobs", Some("late-1"), body).await;
    assert_eq!(session.start_count(), 0);
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_stays_bound_to_its_submission_after_a_takeover() {
    const KEYS: u32 = 12;
    let mut session = Session::start().await.with_contract("shop").await;
    session.cluster.start_entry("b").await.unwrap();
    session.cluster.start_entry("c").await.unwrap();
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!(session.cluster.wait_ready(1, Duration::from_secs(40)).await);
    let caller = cowslipwing_testkit::Caller::new();
    for (number, entry) in (0..KEYS).zip(session.cluster.entry_addresses().into_iter().cycle()) {
        let reply = caller.submit(entry, &format!("hold-{number}"), &job("shop", 1, "one")).await;
        assert_eq!(reply.unwrap().status, 200);
    }
    session.cluster.kill("a");
    let entry = session.cluster.entry_addresses()[0];
    for number in 0..KEYS {
        let key = format!("hold-{number}");
        let other_job = caller.submit(entry, &key, &job("shop", 1, "two")).await.unwrap();
        assert_eq!(other_job.problem().unwrap().kind, "key_reused", "{}", other_job.body);
        let same_job = caller.submit(entry, &key, &job("shop", 1, "one")).await.unwrap();
        assert_eq!(same_job.status, 200, "{}", same_job.body);
    }
    assert_eq!(session.start_count(), KEYS);
}
