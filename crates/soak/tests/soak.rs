//! Short runs of the soak test with seeds that have failed before.

use std::path::PathBuf;
use std::time::Duration;

use cowslipwing_soak::{SoakSettings, soak};

/// A seed to run and the failure that it once revealed.
struct Case {
    seed: u64,
    /// Time for which faults are injected.
    seconds: u64,
    /// Failure that the seed revealed before it was fixed.
    past_failure: &'static str,
}

const CASES: [Case; 5] = [
    Case {
        seed: 1,
        seconds: 8,
        past_failure: "the late announcement of a restarted endpoint ended runs started meanwhile",
    },
    Case {
        seed: 4,
        seconds: 6,
        past_failure: "an entry that was known under two addresses had two streams from one agent",
    },
    Case {
        seed: 745,
        seconds: 8,
        past_failure: "a task crashed the same endpoint in each attempt of its caller",
    },
    Case {
        seed: 5001,
        seconds: 8,
        past_failure: "a foreign report ended the run of a sound endpoint, which went on",
    },
    Case {
        seed: 5007,
        seconds: 8,
        past_failure: "a cancellation was lost with its stream, and the run went on beside the next",
    },
];

/// Second byte of the loopback addresses of the first case.
const FIRST_SUBNET: u8 = 230;

/// Returns the path of the daemon in the build profile of this test.
fn daemon_program() -> PathBuf {
    let test_program = std::env::current_exe().expect("the path of the test program is known");
    let profile_dir = test_program
        .ancestors()
        .nth(2)
        .expect("the test program is in the deps directory of a build profile");
    profile_dir.join("cowslipwingd")
}

/// A task that is handed in again crashes endpoints in each attempt of its caller, if the agents that
/// remember it restart in between.
const CRASHES_OVER_ATTEMPTS: Case = Case {
    seed: 826,
    seconds: 8,
    past_failure: "a task crashed six endpoints in three attempts, between restarts of agents",
};

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_for_seeds_that_have_failed_before() {
    run_cases(&CASES, FIRST_SUBNET).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_task_crashes_few_endpoints_over_all_attempts() {
    run_cases(&[CRASHES_OVER_ATTEMPTS], FIRST_SUBNET + CASES.len() as u8).await;
}

/// Runs each case on a subnet of its own, since tests run at the same time.
async fn run_cases(cases: &[Case], first_subnet: u8) {
    for (number, case) in cases.iter().enumerate() {
        let dir = tempfile::tempdir().expect("a temporary directory can be created");
        let settings = SoakSettings {
            program: daemon_program(),
            dir: dir.path().to_owned(),
            seed: case.seed,
            fault_period: Duration::from_secs(case.seconds),
            entries: 2,
            agents: 4,
            jobs_per_second: 30,
            subnet: (first_subnet + number as u8, (std::process::id() % 250) as u8 + 1),
        };
        let report = soak(&settings).await.expect("the soak test can run");
        let dir = dir.keep();
        let violations = &report.violations;
        let (seed, past_failure) = (case.seed, case.past_failure);
        assert!(
            violations.is_empty(),
            "seed {seed} ({past_failure}): {violations:?}; logs in {dir:?}"
        );
        assert!(report.served > 0, "seed {seed}: no request was served; logs in {dir:?}");
        std::fs::remove_dir_all(dir).expect("the directory was created above");
    }
}
