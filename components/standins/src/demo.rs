//! A short run of both teams' programs on real processes, with an entry killed on the way.

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

/// Longest time of the whole demo.
const TIME_LIMIT: Duration = Duration::from_secs(58);
const PROGRAMS_PER_TEAM: usize = 3;
/// Answered calls after which the entry is killed.
const CALLS_BEFORE_KILL: u64 = 15;
const KILLED_ENTRY: &str = "entry-1";

/// Prints what happens, with the time since the start.
#[derive(Debug, Clone)]
struct StoryTeller {
    start: Instant,
    answered: watch::Sender<u64>,
}

impl StoryTeller {
    fn tell(&self, who: &str, what: &str) {
        println!("{:7.2} s  {who:<22} {what}", self.start.elapsed().as_secs_f64());
    }

    fn count_call(&self) {
        self.answered.send_modify(|calls| *calls += 1);
    }
}

/// Plays the demo and prints its story, its table and its last line.
///
/// # Errors
///
/// Fails when the testbed does not start, the time runs out or a count that must be zero is not.
pub async fn run_demo() -> anyhow::Result<()> {
    let (answered, _) = watch::channel(0);
    let story = StoryTeller {
        start: Instant::now(),
        answered,
    };
    let played = tokio::time::timeout(TIME_LIMIT, play(&story)).await;
    let report = played.context("the demo did not end within its time")??;
    println!("{}", report.table());
    println!("{}", report.last_line());
    if !report.is_clean() {
        bail!("a count that must be zero is not");
    }
    Ok(())
}

async fn play(story: &StoryTeller) -> anyhow::Result<DemoReport> {
    let mut testbed = Testbed::start(Deployment::demo()).await?;
    let hosts = testbed.host_names().join(", ");
    story.tell(
        "testbed",
        &format!("ready: {hosts}; configuration {}", testbed.generation()),
    );
    let scripts = (0..PROGRAMS_PER_TEAM).flat_map(|number| {
        let matching = DemoScript::new(ScriptKind::Match, number, KELANIMATCH_KEY, &testbed, story);
        let survey = DemoScript::new(ScriptKind::Survey, number, SALISH_KEY, &testbed, story);
        [matching, survey]
    });
    let scripts: Vec<_> = scripts.collect();
    let programs = join_all(scripts.into_iter().map(DemoScript::play));
    let (rows, killed) = tokio::join!(programs, kill_entry(&mut testbed, story));
    killed?;
    let rows: Vec<ProgramRow> = rows.into_iter().flatten().collect();
    let report = DemoReport::collect(&testbed, rows).await?;
    stop_all(&mut testbed, story).await?;
    Ok(report)
}

async fn kill_entry(testbed: &mut Testbed, story: &StoryTeller) -> anyhow::Result<()> {
    let mut answered = story.answered.subscribe();
    answered.wait_for(|calls| *calls >= CALLS_BEFORE_KILL).await?;
    testbed.kill(KILLED_ENTRY).await?;
    story.tell(KILLED_ENTRY, "killed in mid-program");
    Ok(())
}

async fn stop_all(testbed: &mut Testbed, story: &StoryTeller) -> anyhow::Result<()> {
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
            bail!("{name} ended with {status}:\n{}", testbed.log(name));
        }
    }
    story.tell(
        "testbed",
        &format!("planned stop: {} ended with status 0", hosts.join(", ")),
    );
    Ok(())
}
