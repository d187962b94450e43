//! Runs every scenario under `scenarios/`.

use std::path::Path;

use cowslipwing_testkit::Scenario;

fn run(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let verdict = runtime.block_on(Scenario::parse(&text).run())?;
    println!("{}: {verdict}", path.display());
    Ok(())
}

datatest_stable::harness! {
    { test = run, root = "scenarios", pattern = r"\.txt$" },
}
