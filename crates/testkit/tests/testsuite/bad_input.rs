//! Requests that are refused before any task is started.

use crate::session::{Session, job};

struct Case {
    key: Option<&'static str>,
    body: String,
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_submissions_start_no_task() {
    let mut session = Session::start().await.with_contract("shop").await;
    let past = r#"{"customer":"shop","deadline":"2020-01-01T00:00:00Z","tasks":[{"body":"x"}]}"#;
    let cases = [
        Case { key: None, body: "{".to_owned() },
        Case { key: None, body: r#"{"customer":"shop","tasks":[{"body":"x"}]"#.to_owned() },
        Case { key: None, body: r#"{"customer":"shop","colour":"red"}"#.to_owned() },
        Case { key: None, body: job("shop", 0, "x") },
        Case { key: None, body: job("shop", 1001, "x") },
        Case { key: None, body: job("stranger", 1, "x") },
        Case { key: None, body: job("sh op", 1, "x") },
        Case { key: Some("a key"), body: job("shop", 1, "x") },
        Case { key: None, body: past.to_owned() },
        Case { key: None, body: past.replace("2020-01-01T00:00:00Z", "tomorrow") },
        Case {
            key: None,
            body: r#"{"customer":"shop","tasks":[{"body":"x","estimate":"5"}]}"#.to_owned(),
        },
        Case {
            key: None,
            body: r#"{"customer":"shop","tasks":[{"body":"x","cores":999}]}"#.to_owned(),
        },
        Case { key: Some("01010101-0000-7000-8000-000000000000"), body: job("shop", 1, "x") },
        Case { key: Some("ffffffff-0000-7000-8000-000000000000"), body: job("shop", 1, "x") },
    ];
    for case in cases {
        let reply = session.post("/v1/jobs", case.key, &case.body).await;
        assert!((400..500).contains(&reply.status), "{}: {}", case.body, reply.status);
    }
    assert_eq!(session.start_count(), 0);
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_jobs_are_reported_as_unknown() {
    let mut session = Session::start().await.with_contract("shop").await;
    session.get("/v1/jobs/shop/nothing").await;
    session.delete("/v1/jobs/shop/nothing").await;
    insta::assert_snapshot!(session.transcript());
}
