//! Publication and amendment of contracts.

use crate::session::{CONTRACT, Session};

#[tokio::test(flavor = "multi_thread")]
async fn an_amendment_of_a_stale_version_is_refused() {
    let mut session = Session::start().await;
    session.put("/v1/contracts/shop?base=0", CONTRACT).await;
    let amended = CONTRACT.replace("100", "200");
    session.put("/v1/contracts/shop?base=1", &amended).await;
    session.put("/v1/contracts/shop?base=1", CONTRACT).await;
    session.get("/v1/contracts/shop").await;
    session.get("/v1/contracts").await;
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_contract_is_refused() {
    let mut session = Session::start().await;
    session.put("/v1/contracts/shop?base=0", &CONTRACT.replace("\"10s\"", "\"10\"")).await;
    session.put("/v1/contracts/shop?base=0", &CONTRACT.replace("5%", "105%")).await;
    session.put("/v1/contracts/shop?base=0", &CONTRACT.replace("\"share\":1", "\"share\":0")).await;
    session.put("/v1/contracts/shop?base=0", r#"{"shares":1}"#).await;
    session.put("/v1/contracts/shop?base=latest", CONTRACT).await;
    session.get("/v1/contracts/shop").await;
    insta::assert_snapshot!(session.transcript());
}
