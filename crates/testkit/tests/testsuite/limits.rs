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
