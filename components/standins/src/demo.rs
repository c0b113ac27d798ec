//! The demo: runs programs of both teams on real processes and kills an entry while they run.

mod report;
mod script;

use std::time::Duration;

use anyhow::{Context as _, bail};
use futures::future::join_all;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::testbed::{Deployment, KELANIMATCH_KEY, SALISH_KEY, Testbed};
use report::{DemoReport, ProgramRow};
use script::{DemoScript, ScriptKind};

/// Timeout of the demo, from the start of the testbed to the end of its last process.
const DEMO_TIMEOUT: Duration = Duration::from_secs(58);
/// Programs of each team, not counting their sub-agents.
const PROGRAMS_PER_TEAM: usize = 3;
/// Number of answered calls of all programs together after which the entry is killed.
const CALLS_BEFORE_KILL: u64 = 15;
const KILLED_ENTRY: &str = "entry-1";

/// Prints the events of the demo with the time since its start, and counts the answered calls.
#[derive(Debug, Clone)]
struct DemoProgress {
    start: Instant,
    answered: watch::Sender<u64>,
}

impl DemoProgress {
    fn print(&self, who: &str, what: &str) {
        println!("{:7.2} s  {who:<22} {what}", self.start.elapsed().as_secs_f64());
    }

    fn count_call(&self) {
        self.answered.send_modify(|calls| *calls += 1);
    }
}

/// Runs the demo and prints its events, the table of programs and the line of counts.
///
/// # Errors
///
/// Fails when the testbed does not start, the demo does not end within 58 s or a call was lost, repeated or
/// mixed up or a team spent more than its budget.
pub async fn run_demo() -> anyhow::Result<()> {
    let (answered, _) = watch::channel(0);
    let progress = DemoProgress {
        start: Instant::now(),
        answered,
    };
    let result = tokio::time::timeout(DEMO_TIMEOUT, play(&progress)).await;
    let report = result.context("the demo timed out")??;
    println!("{}", report.table());
    println!("{}", report.summary_line());
    if !report.is_clean() {
        bail!("the demo failed: lost, repeated, mixed and over_budget must all be 0");
    }
    Ok(())
}

async fn play(progress: &DemoProgress) -> anyhow::Result<DemoReport> {
    let mut testbed = Testbed::start(Deployment::demo()).await?;
    let hosts = testbed.host_names().join(", ");
    progress.print(
        "testbed",
        &format!("ready: {hosts}; configuration {}", testbed.generation()),
    );
    let scripts = (0..PROGRAMS_PER_TEAM).flat_map(|number| {
        let matching = DemoScript::new(ScriptKind::Match, number, KELANIMATCH_KEY, &testbed, progress);
        let survey = DemoScript::new(ScriptKind::Survey, number, SALISH_KEY, &testbed, progress);
        [matching, survey]
    });
    let scripts: Vec<_> = scripts.collect();
    let programs = join_all(scripts.into_iter().map(DemoScript::play));
    let (rows, killed) = tokio::join!(programs, kill_entry(&mut testbed, progress));
    killed?;
    let rows: Vec<ProgramRow> = rows.into_iter().flatten().collect();
    let report = DemoReport::collect(&testbed, rows).await?;
    stop_all(&mut testbed, progress).await?;
    Ok(report)
}

/// Kills the entry once enough calls were answered.
async fn kill_entry(testbed: &mut Testbed, progress: &DemoProgress) -> anyhow::Result<()> {
    let mut answered = progress.answered.subscribe();
    answered.wait_for(|calls| *calls >= CALLS_BEFORE_KILL).await?;
    testbed.kill(KILLED_ENTRY).await?;
    progress.print(KILLED_ENTRY, "killed while programs run");
    Ok(())
}

/// Stops all running hosts as planned and checks that each ends with status 0.
async fn stop_all(testbed: &mut Testbed, progress: &DemoProgress) -> anyhow::Result<()> {
    let hosts: Vec<_> = testbed
        .host_names()
        .into_iter()
        .filter(|name| testbed.is_running(name))
        .collect();
    for name in &hosts {
        testbed.terminate(name)?;
    }
    for name in &hosts {
        let status = testbed.wait_exit(name).await?;
        if !status.success() {
            bail!(
                "{name} ended with {status} after a planned stop; its log:\n{}",
                testbed.log(name)
            );
        }
    }
    progress.print(
        "testbed",
        &format!("planned stop: {} ended with status 0", hosts.join(", ")),
    );
    Ok(())
}
