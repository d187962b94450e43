//! Messages about an endpoint that do not come from it.

use std::time::{SystemTime, UNIX_EPOCH};

use hyper::Method;
use serde_json::json;

use crate::deployment::Deployment;

const ID: &str = "c40f7e9182ab35d6";

/// Guards against a task that runs at two endpoints, because its agent took a message of another
/// writer for the end of its endpoint.
#[tokio::test]
async fn a_foreign_message_does_not_end_a_run() {
    let deployment = Deployment::start(84, 2, 3).await;
    let disturb = async {
        let agent = deployment.wait_started(ID).await;
        let known_id = format!("i-{}", 2 + agent);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set");
        let report = |state: &str, born: u128| {
            let report = json!({"service": "elsewhere", "state": state, "sequence": 1,
                "born": born as u64, "capacity": {"cpu": 4000, "memoryLimitMb": 8192},
                "labels": ["a", "r1"]});
            report.to_string()
        };
        let later = now.as_millis();
        deployment.announce(agent, Method::PUT, "i-77", report("ready", later)).await;
        deployment.announce(agent, Method::PUT, "i-78", report("draining", 1)).await;
        deployment.announce(agent, Method::PUT, &known_id, report("ready", later)).await;
        deployment.announce(agent, Method::DELETE, &known_id, String::new()).await;
    };
    let ((_, body), ()) = tokio::join!(deployment.submit(0, ID, 2500), disturb);
    assert!(body.contains("completed"), "{body}");
    let outcomes: Vec<_> = deployment.runs(ID).iter().map(|event| event.outcome).collect();
    assert_eq!(outcomes, [None, Some("done")]);
}
