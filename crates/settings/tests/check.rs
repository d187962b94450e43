//! Faulty settings are refused with the key, the value and the remedy.

use cowslipwing_settings::Config;

const ENTRY: &str = "role: entry
site: athens
entry:
  name: entry-1
  http: 127.0.0.1:7001
  rpc: 127.0.0.1:7002
  log: 127.0.0.1:7900
";
const PLATFORM_ENTRY: &str = "role: entry
site: athens
platform:
  node: front-1
  ip: 10.0.0.1
  callers: 10.0.0.1:8161
  ready: 10.0.0.1:8167
  seeds: []
  peer_port: 7720
  metrics_port: 9464
  store: 10.0.0.9:8169
";

#[test]
fn faulty_values_are_refused_with_their_key() {
    struct Case {
        base: &'static str,
        replace: &'static str,
        with: &'static str,
        append: &'static str,
        parts: &'static [&'static str],
    }
    let unchanged = Case { base: ENTRY, replace: "", with: "", append: "", parts: &[] };
    let cases = [
        Case {
            append: "limits:\n  tasks_per_job: 0\n",
            parts: &["limits.tasks_per_job", "\"0\"", "at least 1"],
            ..unchanged
        },
        Case {
            append: "limits:\n  connections: 0\n",
            parts: &["limits.connections", "\"0\""],
            ..unchanged
        },
        Case {
            append: "limits:\n  descriptors: 100\n",
            parts: &["limits.descriptors", "\"100\"", "at least 256"],
            ..unchanged
        },
        Case {
            append: "limits:\n  head: 2MiB\n",
            parts: &["limits.head", "\"2MiB\"", "1KiB to 1MiB"],
            ..unchanged
        },
        Case {
            append: "limits:\n  idle_timeout: 0s\n",
            parts: &["limits.idle_timeout", "\"0s\"", "more than 0s"],
            ..unchanged
        },
        Case {
            append: "limits:\n  memory: 16MiB\n",
            parts: &["limits.memory", "\"16MiB\"", "at least 32MiB"],
            ..unchanged
        },
        Case {
            append: "telemetry:\n  log: loud\n",
            parts: &["telemetry.log", "\"loud\"", "debug"],
            ..unchanged
        },
        Case {
            append: "telemetry:\n  log: info,cowslipwig=debug\n",
            parts: &["telemetry.log", "cowslipwig=debug", "name a crate"],
            ..unchanged
        },
        Case {
            replace: "127.0.0.1:7002",
            with: "127.0.0.1:7001",
            parts: &["entry.rpc", "127.0.0.1:7001", "entry.http", "another port"],
            ..unchanged
        },
        Case {
            base: PLATFORM_ENTRY,
            replace: "9464",
            with: "7720",
            parts: &["platform.metrics_port", "10.0.0.1:7720", "platform.peer_port"],
            ..unchanged
        },
    ];
    for case in cases {
        let text = match case.replace {
            "" => format!("{}{}", case.base, case.append),
            old => case.base.replace(old, case.with),
        };
        let error = Config::parse(&text).expect_err(case.parts[0]).to_string();
        for part in case.parts {
            assert!(error.contains(part), "{part} is not in {error:?}");
        }
    }
}

#[test]
fn sound_settings_are_accepted() {
    let levels = "telemetry:\n  log: info,cowslipwing_node=debug\n";
    let any_ports = ENTRY.replace("7001", "0").replace("7002", "0");
    for text in [ENTRY, PLATFORM_ENTRY, &any_ports, &format!("{ENTRY}{levels}")] {
        Config::parse(text).unwrap_or_else(|error| panic!("{text}: {error}"));
    }
}
