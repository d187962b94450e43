//! Tests of `cowslipwing config check` as a process.

use std::net::SocketAddr;

use cowslipwing_standin::platform::PlatformStore;
use tokio::net::TcpListener;
use tokio::process::Command;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"a","host":"h.example",
  "pathPrefix":"/a/","service":"desk","timeoutMs":900,"targetLatencyMs":60}]}"#;

async fn start_store() -> (PlatformStore, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (PlatformStore::start(listener), address)
}

/// Guards against a wrong exit code and against reading another record than the newest one.
#[tokio::test]
async fn the_configuration_in_force_is_compared() {
    let (store, address) = start_store().await;
    let file = std::env::temp_dir().join(format!("config-check-{}.json", std::process::id()));
    struct Case {
        in_force: Option<String>,
        code: i32,
        output: &'static str,
    }
    let cases = [
        Case { in_force: None, code: 2, output: "" },
        Case {
            in_force: Some(CONFIG.replace(":7", ":6").replace("900", "800")),
            code: 0,
            output: "timeoutMs relaxed from 800 to 900",
        },
        Case {
            in_force: Some(CONFIG.replace(":7", ":8")),
            code: 1,
            output: "entries ignore versions that are not above 8",
        },
    ];
    std::fs::write(&file, CONFIG).unwrap();
    for case in cases {
        if let Some(in_force) = &case.in_force {
            store.publish(in_force);
        }
        let mut command = Command::new(env!("CARGO_BIN_EXE_cowslipwing"));
        command.args(["config", "check", "--in-force", "--store", &address.to_string()]);
        let output = command.arg(&file).output().await.unwrap();
        let text = String::from_utf8_lossy(&output.stdout);
        assert_eq!(output.status.code(), Some(case.code), "{text}");
        assert!(text.contains(case.output), "{text}");
    }
    std::fs::remove_file(&file).unwrap();
}
