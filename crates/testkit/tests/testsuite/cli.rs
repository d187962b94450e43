//! Output and exit codes of the command-line tool, on which scripts rely.

use std::process::{Command, Output};

use cowslipwing_testkit::program_path;

use crate::session::{CONTRACT, Session, job};

fn run_tool(args: &[&str]) -> Output {
    Command::new(program_path("cowslipwing")).args(args).output().unwrap()
}

fn to_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_with_the_command_line_tool() {
    let session = Session::start().await;
    let entry = session.cluster.entry_addresses()[0].to_string();
    let dir = tempfile::TempDir::new().unwrap();
    let contract = dir.path().join("contract.yaml").to_string_lossy().into_owned();
    let submission = dir.path().join("job.json").to_string_lossy().into_owned();
    std::fs::write(&contract, CONTRACT).unwrap();
    std::fs::write(&submission, job("shop", 2, "hold")).unwrap();
    let commands: [&[&str]; 11] = [
        &["contract", "publish", "shop", &contract],
        &["contract", "publish", "shop", &contract],
        &["contract", "amend", "--base", "1", "shop", &contract],
        &["contract", "show", "shop"],
        &["job", "submit", "--key", "hold-1", &submission],
        &["job", "show", "shop", "hold-1"],
        &["job", "show", "shop", "hold-2"],
        &["endpoint", "withdraw", "e1"],
        &["endpoint", "evacuate", "loopback"],
        &["endpoint", "end-evacuation", "loopback"],
        &["endpoint", "evacuate", "no,place"],
    ];
    let mut transcript = String::new();
    for command in commands {
        let mut args = vec![command[0], "--entry", &entry];
        args.extend(&command[1..]);
        let output = run_tool(&args);
        let shown: Vec<&str> =
            command.iter().map(|word| word.rsplit('/').next().unwrap_or(word)).collect();
        transcript.push_str(&format!(
            "$ cowslipwing {}\n{}{}exit {}\n\n",
            shown.join(" "),
            to_text(&output.stdout),
            to_text(&output.stderr),
            output.status.code().unwrap()
        ));
    }
    insta::assert_snapshot!(transcript);
}

struct Case {
    settings: &'static str,
    expected: &'static str,
}

#[test]
fn invalid_settings_report_key_value_and_remedy() {
    let cases = [
        Case { settings: "role: entry\nsite: x\ncolour: red\n", expected: "colour" },
        Case { settings: "site: x\n", expected: "role is missing" },
        Case { settings: "role: clerk\nsite: x\n", expected: "role is \"clerk\"" },
        Case { settings: "role: entry\nsite: x\n", expected: "entry.name is missing" },
        Case {
            settings: "role: entry\nsite: x\nentry: {name: a, http: here, rpc: '127.0.0.1:0'}\n",
            expected: "entry.http is \"here\"; write it as IP:PORT",
        },
        Case {
            settings: "role: agent\nsite: x\nagent: {endpoint: e, rpc: '127.0.0.1:0', \
                       target: '127.0.0.1:1', contact: '127.0.0.1:1'}\nlease: {length: 5}\n",
            expected: "lease.length",
        },
        Case {
            settings: "role: agent\nsite: x\nagent: {endpoint: e, rpc: '127.0.0.1:0', \
                       target: '127.0.0.1:1', contact: '127.0.0.1:1'}\nlimits: {body: 9GiB}\n",
            expected: "limits.body is \"9GiB\"; give 1B to 64MiB",
        },
    ];
    let dir = tempfile::TempDir::new().unwrap();
    let path = dir.path().join("settings.yaml").to_string_lossy().into_owned();
    for case in cases {
        std::fs::write(&path, case.settings).unwrap();
        let output = run_tool(&["settings", "check", &path]);
        let shown = to_text(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{shown}");
        assert!(shown.contains(case.expected), "{shown}");
    }
}

#[test]
fn usage_errors_and_unreachable_entries_have_distinct_exit_codes() {
    assert_eq!(run_tool(&["contract", "burn"]).status.code(), Some(2));
    assert_eq!(run_tool(&["status", "--entry", "127.0.0.1:1"]).status.code(), Some(3));
    assert_eq!(run_tool(&["--help"]).status.code(), Some(0));
}
