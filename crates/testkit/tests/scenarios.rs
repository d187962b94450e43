//! Runs each scenario in `scenarios/` as a test with the name of its file.

use std::path::Path;

use cowslipwing_testkit::Scenario;

fn run_scenario(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let verdict = runtime.block_on(Scenario::parse(&text).run())?;
    println!("{}: {verdict}", path.display());
    Ok(())
}

datatest_stable::harness! {
    { test = run_scenario, root = "scenarios", pattern = r"\.txt$" },
}
