//! Cancellations that arrive at another entry than the job, and late copies of requests.

use std::time::Duration;

use hyper::StatusCode;
use tokio::time::sleep;

use crate::deployment::Deployment;

const ID: &str = "7d1f8b32e05c47a1";
/// Time after which the other entries know of a cancellation.
const NOTICE_TIME: Duration = Duration::from_millis(800);

/// Guards against a job that goes on although the request to cancel it was answered, since it arrived
/// at another entry, and against copies of the request that run the job again.
#[tokio::test]
async fn a_job_is_cancelled_at_any_entry_and_does_not_run_again() {
    struct Case {
        network: u8,
        cancelled_at: usize,
    }
    for Case { network, cancelled_at } in
        [Case { network: 81, cancelled_at: 0 }, Case { network: 82, cancelled_at: 1 }]
    {
        let deployment = Deployment::start(network, 2, 2).await;
        let cancel = async {
            deployment.wait_started(ID).await;
            deployment.cancel(cancelled_at, ID).await
        };
        let ((status, body), cancelled) = tokio::join!(deployment.submit(0, ID, 3000), cancel);
        assert_eq!((status, cancelled), (StatusCode::OK, StatusCode::OK), "{body}");
        assert!(body.contains("cancelled"), "{body}");
        // The reply may have been lost, so the caller may send the cancellation again.
        assert_eq!(deployment.cancel(cancelled_at, ID).await, StatusCode::OK);
        sleep(NOTICE_TIME).await;
        for entry in 0..2 {
            let (status, body) = deployment.submit(entry, ID, 3000).await;
            assert!(status == StatusCode::OK && body.contains("cancelled"), "{entry}: {body}");
        }
        let runs = deployment.runs(ID);
        let outcomes: Vec<_> = runs.iter().map(|event| event.outcome).collect();
        assert_eq!(outcomes, [None, Some("stopped")]);
    }
}

/// An entry that knows a job as completed does not say that it was cancelled.
#[tokio::test]
async fn a_completed_job_is_not_cancelled() {
    let deployment = Deployment::start(83, 2, 1).await;
    let (_, body) = deployment.submit(0, ID, 50).await;
    assert!(body.contains("completed"), "{body}");
    assert_eq!(deployment.cancel(0, ID).await, StatusCode::GONE);
    let (_, copy) = deployment.submit(0, ID, 50).await;
    assert_eq!(copy, body);
    assert_eq!(deployment.runs(ID).len(), 2);
}
