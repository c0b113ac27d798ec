//! The measurement: runs seeded workloads on real processes and reports the figures that scheduling decisions
//! are judged by.

mod cost;
mod player;
mod report;
mod workload;

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context as _;
use bpaf::Bpaf;
use futures::future::join_all;
use serde_json::json;
use tokio::time::Instant;

use crate::client::send_request;
use crate::engine::RequestRecord;
use crate::object::ObjectCounts;
use crate::testbed::Testbed;
use player::MeasureCaller;
use report::{RunCase, RunReport, run_table};
use workload::{ENGINES, WorkloadKind};

/// Loads in percent of the engines' capacity: light, at the knee of the latency curve, overload.
const LOADS: [u64; 3] = [30, 80, 130];
/// Load of the runs with faults, in percent of the engines' capacity.
const KNEE_PERCENT: u64 = 80;
const WORKLOADS: [WorkloadKind; 2] = [WorkloadKind::Kelanimatch, WorkloadKind::Salish];
const KILLED_ENTRY: &str = "entry-2";
/// Period in seconds over which an idle fleet is measured.
const IDLE_S: u64 = 10;
/// Numbers of engines of the idle fleets that are measured.
const IDLE_ENGINES: [u64; 3] = [2, 6, 14];
/// Heartbeat intervals of the idle fleets in milliseconds. The second is the default of azuretide.
const IDLE_HEARTBEATS_MS: [u64; 2] = [100, 500];
/// Number of heartbeat intervals without a heartbeat after which a host is suspected.
const HEARTBEATS_TO_SUSPECT: u64 = 5;

/// Scope of the measurement
#[derive(Debug, Clone, Bpaf)]
pub struct MeasureOptions {
    /// Period in seconds during which programs arrive
    #[bpaf(argument("S"), fallback(15))]
    seconds: u64,
    /// Number of seeds; every workload runs once with each at every load
    #[bpaf(argument("N"), fallback(3))]
    seeds: u64,
    /// Run only this load, in percent of the engines' capacity, without faults; 0 measures only idle fleets
    #[bpaf(argument("PERCENT"))]
    load: Option<u64>,
    /// File to which the figures are written as JSON
    #[bpaf(argument("FILE"), fallback(PathBuf::from("measure.json")))]
    output: PathBuf,
}

impl MeasureOptions {
    fn cases(&self) -> Vec<RunCase> {
        let all_loads = LOADS.map(|load_percent| (load_percent, false));
        let loads = match self.load {
            None => [&all_loads[..], &[(KNEE_PERCENT, true)]].concat(),
            Some(0) => Vec::new(),
            Some(load_percent) => vec![(load_percent, false)],
        };
        let mut cases = Vec::new();
        for workload in WORKLOADS {
            for (load_percent, with_faults) in &loads {
                cases.extend((1..=self.seeds).map(|seed| RunCase {
                    workload,
                    load_percent: *load_percent,
                    with_faults: *with_faults,
                    seed,
                }));
            }
        }
        cases
    }
}

/// Runs every workload at every load, prints the figures and writes them to the output file.
///
/// # Errors
///
/// Fails when a testbed does not start or the figures cannot be read or written.
pub async fn run_measure(options: MeasureOptions) -> anyhow::Result<()> {
    let mut reports = Vec::new();
    for case in options.cases() {
        let report = run_case(case, options.seconds).await?;
        println!("{}", run_table(std::slice::from_ref(&report)));
        reports.push(report);
    }
    let idle = match options.load {
        None | Some(0) => measure_idle_fleets().await?,
        Some(_) => Vec::new(),
    };
    println!("{}", run_table(&reports));
    println!("baselines: not run, because the daemon has no option to choose a policy");
    let figures = json!({"runs": reports, "rest": idle});
    let text = serde_json::to_string_pretty(&figures).context("encoding the figures")?;
    std::fs::write(&options.output, text).with_context(|| format!("writing {}", options.output.display()))
}

async fn measure_idle_fleets() -> anyhow::Result<Vec<serde_json::Value>> {
    let mut idle = Vec::new();
    for heartbeat_ms in IDLE_HEARTBEATS_MS {
        for engines in IDLE_ENGINES {
            let figures = measure_idle_fleet(engines, heartbeat_ms).await?;
            println!("idle fleet: {figures}");
            idle.push(figures);
        }
    }
    Ok(idle)
}

/// Runs one case on a testbed of its own and returns its figures.
async fn run_case(case: RunCase, seconds: u64) -> anyhow::Result<RunReport> {
    let mut testbed = Testbed::start(case.workload.deployment(ENGINES)).await?;
    let before = fetch_object_counts(&testbed).await?;
    let start = Instant::now();
    let plans = case.workload.plan_programs(case.load_percent, seconds, case.seed);
    let players = plans.into_iter().enumerate().map(|(number, plan)| {
        let caller = MeasureCaller::new(case.workload, testbed.entry_urls(), number);
        tokio::spawn(caller.play(plan, start))
    });
    let players: Vec<_> = players.collect();
    if case.with_faults {
        tokio::time::sleep_until(start + Duration::from_secs(seconds / 2)).await;
        testbed.kill(KILLED_ENTRY).await?;
        let hosts = case.workload.engine_hosts();
        testbed.kill(hosts.last().context("no engines")?).await?;
    }
    let results: Result<Vec<_>, _> = join_all(players).await.into_iter().collect();
    let results = results.context("a caller's task panicked")?;
    let mut report = RunReport::new(case, &results, start.elapsed().as_secs_f64())?;
    let mut records = Vec::new();
    for host in case.workload.engine_hosts() {
        records.extend(fetch_records(&testbed, &host).await?);
    }
    report.add_records(&records);
    report.add_object_calls(before, fetch_object_counts(&testbed).await?);
    Ok(report)
}

/// Measures the processor time, memory and object API calls of a fleet that serves no calls.
async fn measure_idle_fleet(engines: u64, heartbeat_ms: u64) -> anyhow::Result<serde_json::Value> {
    let mut deployment = WorkloadKind::Kelanimatch.deployment(engines);
    let suspect_ms = heartbeat_ms * HEARTBEATS_TO_SUSPECT;
    let timing = [("heartbeat-ms", heartbeat_ms), ("suspect-ms", suspect_ms)];
    let rows = timing.map(|(key, millis)| (key.to_owned(), millis.to_string()));
    deployment.timing = rows.to_vec();
    let testbed = Testbed::start(deployment).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (calls, costs) = (fetch_object_counts(&testbed).await?, cost::read_costs());
    tokio::time::sleep(Duration::from_secs(IDLE_S)).await;
    let (later, spent) = (fetch_object_counts(&testbed).await?, cost::read_costs());
    let hosts = costs.iter().zip(&spent).map(|(before, after)| {
        let cpu_ms_per_s = (after.cpu_s - before.cpu_s) * 1_000.0 / Duration::from_secs(IDLE_S).as_secs_f64();
        json!({"host": after.host, "cpu_ms_per_s": cpu_ms_per_s, "resident_kib": after.resident_kib})
    });
    Ok(json!({
        "engines": engines,
        "heartbeat_ms": heartbeat_ms,
        "seconds": IDLE_S,
        "object_reads": later.reads - calls.reads,
        "object_writes": later.writes - calls.writes,
        "object_watches": later.watches - calls.watches,
        "hosts": hosts.collect::<Vec<_>>(),
    }))
}

async fn fetch_object_counts(testbed: &Testbed) -> anyhow::Result<ObjectCounts> {
    let url = format!("{}/control/counts", testbed.standin_url("object-api"));
    send_request("GET", &url, &[], "").await?.decode()
}

async fn fetch_records(testbed: &Testbed, host: &str) -> anyhow::Result<Vec<RequestRecord>> {
    let url = format!("{}/control/records", testbed.standin_url(host));
    send_request("GET", &url, &[], "").await?.decode()
}
