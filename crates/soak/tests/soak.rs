//! A short soak, and the seeds that have failed before.

use std::path::PathBuf;
use std::time::Duration;

use cowslipwing_soak::{SoakSettings, soak};

/// A seed that is run each time.
struct Case {
    seed: u64,
    seconds: u64,
    /// Why the seed is kept.
    cause: &'static str,
}

const CASES: [Case; 2] = [
    Case {
        seed: 1,
        seconds: 8,
        cause: "the announcement of a reborn endpoint ended what had started there since",
    },
    Case {
        seed: 4,
        seconds: 6,
        cause: "an entry known by two addresses had two streams from an agent",
    },
];

/// Returns the daemon that was built beside this test.
fn program() -> PathBuf {
    let test = std::env::current_exe().expect("a test knows its own program");
    let profile = test.ancestors().nth(2).expect("tests stand in the folder deps of the profile");
    profile.join("cowslipwingd")
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_the_seeds_that_have_failed() {
    for (number, case) in CASES.iter().enumerate() {
        let dir = tempfile::tempdir().expect("a folder for settings and logs");
        let settings = SoakSettings {
            program: program(),
            dir: dir.path().to_owned(),
            seed: case.seed,
            fault_period: Duration::from_secs(case.seconds),
            entries: 2,
            agents: 4,
            jobs_per_second: 30,
            subnet: (230 + number as u8, (std::process::id() % 250) as u8 + 1),
        };
        let report = soak(&settings).await.expect("the run can be made");
        let dir = dir.keep();
        let violations = &report.violations;
        let (seed, cause) = (case.seed, case.cause);
        assert!(violations.is_empty(), "seed {seed} ({cause}): {violations:?}; logs in {dir:?}");
        assert!(report.served > 0, "seed {seed}: nothing was served; logs in {dir:?}");
        std::fs::remove_dir_all(dir).expect("the folder was made above");
    }
}
