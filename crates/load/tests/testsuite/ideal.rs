//! The outcomes under ideal schedulers that `cowslipwing-ideal` computes from a log.

use std::process::Command;

/// Two endpoints, of speeds 0.5 and 1.
///
/// Job a1 ends in time on both. Job a2 ends in time on the fast endpoint only, which the ideal
/// scheduler keeps free for it. Job a3 takes longer than its caller waits. The second task of a4
/// has not ended, and a5 was refused. Job a6 was given up after 0.5 s, because its task was
/// expected to run for 2 s.
const LINES: &str = "\
  0.0 side-1 ts=00:00:00 level=INFO agent: event=announced endpoint=i-1 cpu=1000
  0.0 side-2 ts=00:00:00 level=INFO agent: event=announced endpoint=i-2 cpu=1000
  1.0 front-1 level=INFO entry: event=admitted job=a1 queue=quick tasks=1 load=0.00
  1.0 front-1 level=INFO entry: event=admitted job=a2 queue=quick tasks=1 load=0.00
  1.0 side-1 level=DEBUG agent: event=order task=a1.0.0/1 work_ms=9 cpu_millis=1000 slowness=2.00
  1.1 side-1 level=DEBUG agent: event=done task=a1.0.0/1 ms=20
  1.0 side-2 level=DEBUG agent: event=order task=a2.0.0/1 work_ms=9 cpu_millis=1000 slowness=1.00
  1.2 side-2 level=DEBUG agent: event=done task=a2.0.0/1 ms=200
  5.0 front-1 level=INFO entry: event=admitted job=a3 queue=long tasks=1 load=0.00
  5.0 side-2 level=DEBUG agent: event=order task=a3.0.0/1 work_ms=9 cpu_millis=1000 slowness=1.00
  8.0 side-2 level=DEBUG agent: event=done task=a3.0.0/1 ms=3000
  9.0 front-1 level=INFO entry: event=admitted job=a4 queue=long tasks=2 load=0.00
  9.0 side-2 level=DEBUG agent: event=order task=a4.0.0/1 work_ms=9 cpu_millis=1000 slowness=1.00
  9.1 side-2 level=DEBUG agent: event=done task=a4.0.0/1 ms=50
  9.2 front-1 level=INFO entry: event=refused job=a5 queue=long reason=load
  9.3 front-1 level=INFO entry: event=admitted job=a6 queue=long tasks=2 load=0.00
  9.3 side-2 level=DEBUG agent: event=order task=a6.0.0/1 work_ms=9 cpu_millis=900 slowness=1.00
  9.8 side-2 level=INFO agent: event=task task=a6.0.0/1 entry=front-1@1 fate=Overrun(1.5s)
a line of somebody else
";

/// Jobs b1 and b2 are of the same queue, and the caller of b2 waits for longer. Both were given up.
const LARGEST_LINES: &str = "\
  0.0 side-1 level=INFO agent: event=announced endpoint=i-1 cpu=1000
  1.0 front-1 level=INFO entry: event=admitted job=b1 queue=long tasks=1 load=0 deadline_ms=900
  1.0 side-1 level=DEBUG agent: event=order task=b1.0.0/1 work_ms=9 cpu_millis=1000 slowness=1.00
  1.5 side-1 level=INFO agent: event=task task=b1.0.0/1 entry=front-1@1 fate=Overrun(1.5s)
  1.5 front-1 level=INFO entry: event=overrun task=b1.0.0/1 agent=side-1@1 here_ms=1500
  1.5 front-1 level=INFO entry: event=answered job=b1 queue=long answer=GaveUp ms=500
  3.0 front-1 level=INFO entry: event=admitted job=b2 queue=long tasks=1 load=0 deadline_ms=4000
  3.0 side-1 level=DEBUG agent: event=order task=b2.0.0/1 work_ms=9 cpu_millis=1000 slowness=1.00
  6.0 side-1 level=DEBUG agent: event=done task=b2.0.0/1 ms=3000
  6.1 front-1 level=INFO entry: event=answered job=b2 queue=long answer=GaveUp ms=3100
  7.0 front-1 level=INFO entry: event=admitted job=b3 queue=long tasks=1 load=0 deadline_ms=900
  7.0 side-1 level=DEBUG agent: event=order task=b3.0.0/1 work_ms=9 cpu_millis=1000 slowness=1.00
  7.1 side-1 level=DEBUG agent: event=done task=b3.0.0/1 ms=100
  7.1 front-1 level=INFO entry: event=answered job=b3 queue=long answer=Completed ms=100
";

fn output_for(lines: &str, flags: &[&str]) -> String {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), lines).unwrap();
    let program = env!("CARGO_BIN_EXE_cowslipwing-ideal");
    let output = Command::new(program).args(flags).arg(file.path()).output().unwrap();
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn bounds_are_computed_per_queue() {
    let expected = "\
jobs 4 endpoints 2
left out: 1 refused, 1 without all sizes
queue jobs alone_in_time alone_late ideal_in_time ideal_late
long 2 0.000 0.000 0.000 0.000
quick 2 1.000 0.000 1.000 0.000
";
    assert_eq!(output_for(LINES, &[]), expected);
}

/// A deadline assumed for all jobs would call b2 impossible.
#[test]
fn a_large_job_is_judged_by_the_deadline_of_its_caller() {
    let expected = "\
queue largest possible served
long 2 1 0
job queue tasks core_s alone_ms deadline_ms possible ended_by
b2 long 1 3.0 3000 4000 true gaveup
b1 long 1 2.0 2000 900 false overrun
";
    let output = output_for(LARGEST_LINES, &["--largest", "0.6"]);
    assert!(output.ends_with(expected), "{output}");
}
