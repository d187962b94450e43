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
/// Time in which the processes must find one another.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Time between two looks at whether they have.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
const ANY_PORT: &str = "127.0.0.1:0";

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    tasks: u32,
    keep: bool,
}

/// Makes the parser of the subcommand.
pub(crate) fn make_subcommand() -> impl Parser<Args> {
    const DEFAULT_TASKS: u32 = 12;
    let tasks = long("tasks")
        .help("Tasks of the job")
        .argument::<u32>("COUNT")
        .fallback(DEFAULT_TASKS)
        .display_fallback();
    let keep = long("keep").help("Keep running after the job, to try the other commands").switch();
    construct!(Args { tasks, keep })
        .to_options()
        .descr("Runs two entries, three agents and stand-ins on loopback, and submits a job")
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
    print_contract(&publish(&client).await?);
    print_job(&submit(&EntryClient::new(addresses[1])?, args.tasks).await?);
    if args.keep {
        println!("entries listen on {} and {}; stop with Ctrl-C", addresses[0], addresses[1]);
        let _ = tokio::signal::ctrl_c().await;
    }
    Ok(())
}

async fn bind() -> Result<(TcpListener, SocketAddr), CliError> {
    let bound = async {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let address = listener.local_addr()?;
        Ok::<_, std::io::Error>((listener, address))
    };
    bound.await.map_err(|error| demo_failed(&error))
}

async fn start_store() -> Result<(PlatformStore, SocketAddr), CliError> {
    let (listener, address) = bind().await?;
    Ok((PlatformStore::start(listener), address))
}

async fn start_entry(number: u32, store: SocketAddr) -> Result<Entry, CliError> {
    let text = format!(
        "role: entry\nsite: demo\nentry:\n  name: entry-{number}\n  http: {ANY_PORT}\n  \
         rpc: {ANY_PORT}\n  log: {store}\n"
    );
    let config = Config::parse(&text)?;
    let Role::Entry(entry) = &config.role else {
        return DemoFailedSnafu { detail: "the settings name another role" }.fail();
    };
    Entry::start(&config, entry, clock(), Metrics::disabled(), StopSignal::new())
        .await
        .map_err(|error| demo_failed(&error))
}

async fn start_agent(number: u32, contact: SocketAddr) -> Result<(), CliError> {
    let (listener, target) = bind().await?;
    tokio::spawn(EndpointServer::new().serve(listener));
    let text = format!(
        "role: agent\nsite: demo\nagent:\n  endpoint: endpoint-{number}\n  rpc: {ANY_PORT}\n  \
         target: {target}\n  contact: {contact}\n  slots: 4\n"
    );
    let config = Config::parse(&text)?;
    let Role::Agent(agent) = &config.role else {
        return DemoFailedSnafu { detail: "the settings name another role" }.fail();
    };
    let agent = Agent::start(&config, agent, clock(), Metrics::disabled(), StopSignal::new())
        .await
        .map_err(|error| demo_failed(&error))?;
    tokio::spawn(agent.run());
    Ok(())
}

fn clock() -> Arc<dyn Clock> {
    Arc::new(SystemClock)
}

async fn wait_until_ready(entries: &[Entry]) -> Result<(), CliError> {
    let limit = Instant::now() + READY_LIMIT;
    while Instant::now() < limit {
        if entries.iter().all(Entry::is_ready) {
            return Ok(());
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    DemoFailedSnafu { detail: "the processes did not find one another" }.fail()
}

async fn publish(client: &EntryClient) -> Result<ContractInForce, CliError> {
    let contract = Contract {
        share: 1,
        concurrency: 100,
        deadline: "10s".to_owned(),
        refusals: "5%".to_owned(),
        open_jobs: 100,
    };
    let body = serde_json::to_vec(&contract).expect("messages have no keys that JSON cannot take");
    client.call(Method::PUT, "/v1/contracts/garden-shop?base=0", None, body).await
}

async fn submit(client: &EntryClient, tasks: u32) -> Result<JobAnswer, CliError> {
    let task = |number: u32| Task {
        kind: "quote".to_owned(),
        body: format!("sleep {}", 50 + number % 4 * 50),
        estimate: "100ms".to_owned(),
        ..Task::default()
    };
    let job = JobSubmission {
        customer: "garden-shop".to_owned(),
        tasks: (0..tasks).map(task).collect(),
        ..JobSubmission::default()
    };
    let body = serde_json::to_vec(&job).expect("messages have no keys that JSON cannot take");
    client.call(Method::POST, "/v1/jobs", None, body).await
}

fn demo_failed<E>(error: &E) -> CliError
where
    E: std::fmt::Display,
{
    CliError::DemoFailed { detail: error.to_string() }
}
