//! The limits of an entry and the refusal that each of them gives.

use std::time::Duration;

use cowslipwing_testkit::Caller;

use crate::session::{Session, job};

#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_is_refused() {
    let mut session = Session::with_settings("limits:\n  body: 1KiB\n").await;
    session = session.with_contract("shop").await;
    session.post("/v1/jobs", None, &job("shop", 100, "x")).await;
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_customer_over_its_open_job_limit_gets_retry_after() {
    let mut session = Session::start().await.with_contract("shop").await;
    let entry = session.cluster.entry_addresses()[0];
    let submit = |number: u32| {
        tokio::spawn(async move {
            let key = format!("open-{number}");
            Caller::new().submit(entry, &key, &job("shop", 1, "sleep 1500")).await
        })
    };
    let pending: Vec<_> = (0..4).map(submit).collect();
    while session.start_count() < 4 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    session.post("/v1/jobs", Some("one-too-many"), &job("shop", 1, "x")).await;
    for job in pending {
        assert_eq!(job.await.unwrap().unwrap().status, 200);
    }
    assert_eq!(session.start_count(), 4);
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_over_the_connection_limit_get_retry_after() {
    let mut session = Session::with_settings("limits:\n  connections: 1\n").await;
    session = session.with_contract("shop").await;
    let entry = session.cluster.entry_addresses()[0];
    let pending = tokio::spawn(async move {
        Caller::new().submit(entry, "first", &job("shop", 1, "sleep 1500")).await
    });
    while session.start_count() < 1 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    session.post("/v1/jobs", Some("second"), &job("shop", 1, "x")).await;
    assert_eq!(pending.await.unwrap().unwrap().status, 200);
    insta::assert_snapshot!(session.transcript());
}

/// Open jobs take up memory whatever their number: 15% of 32 MiB is room for nine of 1,000 tasks.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_over_the_memory_of_open_jobs_get_retry_after() {
    let mut session = Session::with_settings("limits:\n  memory: 32MiB\n").await;
    let contract =
        r#"{"share":1,"concurrency":100,"deadline":"3s","refusals":"5%","open_jobs":100}"#;
    session.put("/v1/contracts/shop?base=0", contract).await;
    let entry = session.cluster.entry_addresses()[0];
    let task = serde_json::json!({ "kind": "quote", "body": "sleep 300", "estimate": "1us" });
    let job = serde_json::json!({ "customer": "shop", "tasks": vec![task; 1000] }).to_string();
    let submit = |number: u32| {
        let job = job.clone();
        tokio::spawn(async move {
            let reply = Caller::new().submit(entry, &format!("large-{number}"), &job).await;
            reply.expect("the job is answered")
        })
    };
    let pending: Vec<_> = (0..12).map(submit).collect();
    let mut refused = 0;
    for reply in pending {
        let reply = reply.await.unwrap();
        if reply.problem().is_some_and(|problem| problem.kind == "open_jobs_too_large") {
            assert_eq!(reply.status, 503);
            assert!(reply.headers.contains_key("retry-after"));
            refused += 1;
        }
    }
    assert!(refused >= 3, "{refused} of 12 jobs were refused");
}
