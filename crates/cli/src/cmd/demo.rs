//! `cowslipwing demo`: runs every role in one process and submits a job.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bpaf::{Parser, construct, long};
use cowslipwing_daemon::{Agent, Entry, Metrics, StopSignal};
use cowslipwing_proto::{Contract, ContractInForce, JobAnswer, JobSubmission, Task};
use cowslipwing_settings::{Config, Role};
use cowslipwing_standin::EndpointServer;
use cowslipwing_standin::platform::PlatformStore;
use cowslipwing_types::{Clock, SystemClock};
use tokio::net::TcpListener;
use volo_http::http::Method;

use crate::client::EntryClient;
use crate::error::{CliError, DemoFailedSnafu};
use crate::output::{print_contract, print_job};

const ENTRIES: u32 = 2;
const AGENTS: u32 = 3;
/// Time within which all entries must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const ANY_PORT: &str = "127.0.0.1:0";

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    tasks: u32,
    keep: bool,
}

/// Returns the parser of the subcommand.
pub(crate) fn subcommand() -> impl Parser<Args> {
    const DEFAULT_TASKS: u32 = 12;
    let tasks = long("tasks")
        .help("Number of tasks of the job")
        .argument::<u32>("COUNT")
        .fallback(DEFAULT_TASKS)
        .display_fallback();
    let keep = long("keep")
        .help("Keep the demo running after the job, so that other commands can be tried")
        .switch();
    construct!(Args { tasks, keep })
        .to_options()
        .descr("Runs two entries and three agents with simulated endpoints on loopback and submits a job")
        .command("demo")
}

/// Runs the subcommand.
pub(crate) async fn execute(args: Args) -> Result<(), CliError> {
    let (_store, store) = start_store().await?;
    let mut entries = Vec::new();
    for number in 1..=ENTRIES {
        entries.push(start_entry(number, store).await?);
    }
    let contact = entries[0].rpc();
    for number in 1..=AGENTS {
        start_agent(number, contact).await?;
    }
    wait_until_ready(&entries).await?;
    let addresses: Vec<SocketAddr> = entries.iter().map(Entry::http).collect();
    let client = EntryClient::new(addresses[0])?;
    print_contract(&publish_contract(&client).await?);
    print_job(&submit_job(&EntryClient::new(addresses[1])?, args.tasks).await?);
    if args.keep {
        println!("entries listen on {} and {}; stop with Ctrl-C", addresses[0], addresses[1]);
        let _ = tokio::signal::ctrl_c().await;
    }
    Ok(())
}

async fn bind_loopback() -> Result<(TcpListener, SocketAddr), CliError> {
    let result = async {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let address = listener.local_addr()?;
        Ok::<_, std::io::Error>((listener, address))
    };
    result.await.map_err(|error| demo_failed(&error))
}

async fn start_store() -> Result<(PlatformStore, SocketAddr), CliError> {
    let (listener, address) = bind_loopback().await?;
    Ok((PlatformStore::start(listener), address))
}

async fn start_entry(number: u32, store: SocketAddr) -> Result<Entry, CliError> {
    let text = format!(
        "role: entry\nsite: demo\nentry:\n  name: entry-{number}\n  http: {ANY_PORT}\n  \
         rpc: {ANY_PORT}\n  log: {store}\n"
    );
    let config = Config::parse(&text)?;
    let Role::Entry(entry) = &config.role else {
        return DemoFailedSnafu { detail: "the settings have a different role" }.fail();
    };
    Entry::start(&config, entry, system_clock(), Metrics::disabled(), StopSignal::new())
        .await
        .map_err(|error| demo_failed(&error))
}

async fn start_agent(number: u32, contact: SocketAddr) -> Result<(), CliError> {
    let (listener, target) = bind_loopback().await?;
    tokio::spawn(EndpointServer::new().serve(listener));
    let text = format!(
        "role: agent\nsite: demo\nagent:\n  endpoint: endpoint-{number}\n  rpc: {ANY_PORT}\n  \
         target: {target}\n  contact: {contact}\n  slots: 4\n"
    );
    let config = Config::parse(&text)?;
    let Role::Agent(agent) = &config.role else {
        return DemoFailedSnafu { detail: "the settings have a different role" }.fail();
    };
    let agent =
        Agent::start(&config, agent, system_clock(), Metrics::disabled(), StopSignal::new())
            .await
            .map_err(|error| demo_failed(&error))?;
    tokio::spawn(agent.run());
    Ok(())
}

fn system_clock() -> Arc<dyn Clock> {
    Arc::new(SystemClock)
}

async fn wait_until_ready(entries: &[Entry]) -> Result<(), CliError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        if entries.iter().all(Entry::is_ready) {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    DemoFailedSnafu { detail: "the entries did not become ready within 30 s" }.fail()
}

async fn publish_contract(client: &EntryClient) -> Result<ContractInForce, CliError> {
    let contract = Contract {
        share: 1,
        concurrency: 100,
        deadline: "10s".to_owned(),
        refusals: "5%".to_owned(),
        open_jobs: 100,
    };
    let body = serde_json::to_vec(&contract).expect("messages can be serialised as JSON");
    client.call(Method::PUT, "/v1/contracts/garden-shop?base=0", None, body).await
}

async fn submit_job(client: &EntryClient, tasks: u32) -> Result<JobAnswer, CliError> {
    const SHORTEST_TASK_MS: u32 = 50;
    const STEP_MS: u32 = 50;
    const DISTINCT_RUN_TIMES: u32 = 4;
    let task = |number: u32| Task {
        kind: "quote".to_owned(),
        body: format!("sleep {}", SHORTEST_TASK_MS + number % DISTINCT_RUN_TIMES * STEP_MS),
        estimate: "100ms".to_owned(),
        ..Task::default()
    };
    let job = JobSubmission {
        customer: "garden-shop".to_owned(),
        tasks: (0..tasks).map(task).collect(),
        ..JobSubmission::default()
    };
    let body = serde_json::to_vec(&job).expect("messages can be serialised as JSON");
    client.call(Method::POST, "/v1/jobs", None, body).await
}

/// Converts an error from starting a part of the demo.
fn demo_failed<E>(error: &E) -> CliError
where
    E: std::fmt::Display,
{
    CliError::DemoFailed { detail: error.to_string() }
}
