//! Operators that publish, amend and race.

use crate::session::{CONTRACT, Session};

#[tokio::test(flavor = "multi_thread")]
async fn the_second_of_two_racing_operators_is_refused() {
    let mut session = Session::start().await;
    session.put("/v1/contracts/shop?base=0", CONTRACT).await;
    let wider = CONTRACT.replace("100", "200");
    session.put("/v1/contracts/shop?base=1", &wider).await;
    session.put("/v1/contracts/shop?base=1", CONTRACT).await;
    session.get("/v1/contracts/shop").await;
    session.get("/v1/contracts").await;
    insta::assert_snapshot!(session.transcript());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_contract_that_cannot_be_honoured_is_refused() {
    let mut session = Session::start().await;
    session.put("/v1/contracts/shop?base=0", &CONTRACT.replace("\"10s\"", "\"10\"")).await;
    session.put("/v1/contracts/shop?base=0", &CONTRACT.replace("5%", "105%")).await;
    session.put("/v1/contracts/shop?base=0", &CONTRACT.replace("\"share\":1", "\"share\":0")).await;
    session.put("/v1/contracts/shop?base=0", r#"{"shares":1}"#).await;
    session.put("/v1/contracts/shop?base=latest", CONTRACT).await;
    session.get("/v1/contracts/shop").await;
    insta::assert_snapshot!(session.transcript());
}
