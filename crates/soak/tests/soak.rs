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

const CASES: [Case; 3] = [
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
];

/// Returns the path of the daemon in the build profile of this test.
fn daemon_program() -> PathBuf {
    let test_program = std::env::current_exe().expect("the path of the test program is known");
    let profile_dir = test_program
        .ancestors()
        .nth(2)
        .expect("the test program is in the deps directory of a build profile");
    profile_dir.join("cowslipwingd")
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_for_seeds_that_have_failed_before() {
    for (number, case) in CASES.iter().enumerate() {
        let dir = tempfile::tempdir().expect("a temporary directory can be created");
        let settings = SoakSettings {
            program: daemon_program(),
            dir: dir.path().to_owned(),
            seed: case.seed,
            fault_period: Duration::from_secs(case.seconds),
            entries: 2,
            agents: 4,
            jobs_per_second: 30,
            subnet: (230 + number as u8, (std::process::id() % 250) as u8 + 1),
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
