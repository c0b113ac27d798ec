//! The configuration in real processes: in force everywhere, never back, races, lost answers, missed generations.

mod heartbeats;
mod peer;

use std::path::PathBuf;

use googletest::prelude::*;
use heartbeats::{HeartbeatLog, logged_steps_back};
use peer::FakePeer;
use serde_json::{Value, json};
use standins::{Deployment, Testbed};
use tokio::process::Command;

/// Heartbeats of 500 ms in the 5 s within which a text is in force everywhere.
const LATE_BEATS: usize = 10;
const ENTRIES: [&str; 2] = ["entry-1", "entry-2"];
const HOSTS: [&str; 6] = [
    "entry-1",
    "entry-2",
    "matcher-1",
    "matcher-2",
    "ledger-1",
    "notices-1",
];
const HALF: [&str; 3] = ["entry-2", "matcher-2", "notices-1"];

/// A running deployment with the heartbeats heard of it.
struct Rollout {
    testbed: Testbed,
    log: HeartbeatLog,
    text: String,
}

/// End of one run of the tool.
#[derive(Debug)]
struct ApplyEnd {
    status: Option<i32>,
    answer: Value,
}

impl Rollout {
    async fn start(timing: &[(&str, &str)]) -> Self {
        let mut deployment = Deployment::kelanimatch();
        if !timing.is_empty() {
            let rows = timing
                .iter()
                .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()));
            deployment.timing = rows.collect();
        }
        let text = deployment.configuration.clone();
        let testbed = Testbed::start(deployment).await.expect("the testbed starts");
        let log = HeartbeatLog::start(&testbed);
        let rollout = Self { testbed, log, text };
        rollout
            .log
            .wait_generation(&HOSTS, 0, rollout.testbed.generation())
            .await;
        rollout
    }

    fn text(&self, number: u64) -> String {
        format!("; text {number}\n{}", self.text)
    }

    fn file(&self, number: u64) -> PathBuf {
        let path = self.testbed.folder().join(format!("text-{number}.ini"));
        std::fs::write(&path, self.text(number)).expect("a file");
        path
    }

    /// Runs the tool's apply of a numbered text at the entries.
    async fn apply(&self, entries: &[&str], base: u64, number: u64) -> ApplyEnd {
        let mut command = Command::new(env!("CARGO_BIN_EXE_azuretide"));
        command.args([
            "apply",
            "--json",
            "--operator",
            "ana",
            "--base",
            &base.to_string(),
        ]);
        command
            .arg("--key-file")
            .arg(self.testbed.folder().join("operator.key"));
        for entry in entries {
            command.args([
                "--entry",
                self.testbed.entry_url(entry).trim_start_matches("http://"),
            ]);
        }
        let output = command
            .arg(self.file(number))
            .output()
            .await
            .expect("the tool runs");
        let answer = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
        ApplyEnd {
            status: output.status.code(),
            answer,
        }
    }

    /// Applies numbered texts one over the other at entry-1 and returns the last generation.
    async fn apply_many(&self, mut base: u64, count: u64) -> u64 {
        for number in 1..=count {
            let end = self.apply(&["entry-1"], base, number).await;
            base = end.answer["generation"]
                .as_u64()
                .unwrap_or_else(|| panic!("refused: {end:?}"));
        }
        base
    }

    async fn present_text(&self, entry: &str) -> String {
        let reply = self
            .testbed
            .send_operator_request(entry, "GET", "/admin/configuration", "")
            .await;
        reply.expect("the entry answers").text()
    }

    /// Neither the heartbeats nor the logs may show an earlier generation behind a later one.
    fn expect_no_step_back(&self) {
        expect_that!(self.log.steps_back(), is_empty());
        expect_that!(logged_steps_back(&self.testbed), is_empty());
    }

    async fn set_object_faults(&self, faults: &Value) {
        self.testbed
            .set_faults("object-api", faults)
            .await
            .expect("the stand-in takes the faults");
    }
}

#[gtest]
#[tokio::test]
async fn a_text_is_in_force_everywhere_within_ten_heartbeats() {
    let rollout = Rollout::start(&[("heartbeat-ms", "500"), ("suspect-ms", "2500")]).await;
    let mut base = rollout.testbed.generation();
    for number in 1..=3 {
        let entry = ENTRIES[usize::try_from(number).unwrap_or_default() % ENTRIES.len()];
        let end = rollout.apply(&[entry], base, number).await;
        base = end.answer["generation"]
            .as_u64()
            .unwrap_or_else(|| panic!("refused: {end:?}"));
        let late = rollout
            .log
            .wait_generation(&HOSTS, rollout.log.mark(), base)
            .await;
        println!("text {number}: heartbeats of {HOSTS:?} before generation {base}: {late:?}");
        expect_that!(late, each(le(&LATE_BEATS)));
    }
    rollout.expect_no_step_back();
}

#[gtest]
#[tokio::test]
async fn one_of_two_operators_racing_at_two_entries_wins() {
    let rollout = Rollout::start(&[]).await;
    let mut base = rollout.testbed.generation();
    for race in 0..6 {
        let (left, right) = (race * 2, race * 2 + 1);
        let first = rollout.apply(&["entry-1"], base, left);
        let second = rollout.apply(&["entry-2"], base, right);
        let ends = if race % 2 == 0 {
            tokio::join!(first, second)
        } else {
            (first.await, second.await)
        };
        let statuses = [ends.0.status, ends.1.status];
        expect_that!(
            statuses,
            unordered_elements_are![some(eq(0)), some(eq(4))],
            "{ends:?}"
        );
        let (winner, loser) = if statuses[0] == Some(0) {
            (left, &ends.1)
        } else {
            (right, &ends.0)
        };
        base = loser.answer["conflict"]["generation"]
            .as_u64()
            .unwrap_or_default();
        let diff = loser.answer["conflict"]["diff"].as_str().unwrap_or_default();
        expect_that!(diff, contains_substring(format!("-; text {winner}\n")));
        rollout.log.wait_generation(&HOSTS, 0, base).await;
        for entry in ENTRIES {
            expect_that!(rollout.present_text(entry).await, eq(&rollout.text(winner)));
        }
    }
    rollout.expect_no_step_back();
}

#[gtest]
#[tokio::test]
async fn an_apply_whose_answer_is_lost_takes_effect_once() {
    let rollout = Rollout::start(&[]).await;
    let mut base = rollout.testbed.generation();
    let faults = [
        json!({ "lose_answers": 1 }),
        json!({ "lose_requests": 1 }),
        json!({ "lose_answers": 2 }),
        json!({ "lose_requests": 2 }),
    ];
    for (number, faults) in (1..).zip(faults) {
        rollout.set_object_faults(&faults).await;
        let end = rollout.apply(&ENTRIES, base, number).await;
        rollout.set_object_faults(&json!({})).await;
        expect_that!(end.status, some(eq(0)), "{faults} {end:?}");
        base = end.answer["generation"].as_u64().unwrap_or_default();
        rollout.log.wait_generation(&HOSTS, 0, base).await;
        expect_that!(
            rollout.present_text("entry-2").await,
            eq(&rollout.text(number)),
            "{faults}"
        );
        let again = rollout.apply(&ENTRIES, base - 1, number + 100).await;
        expect_that!(again.status, some(eq(4)), "{faults} {again:?}");
    }
    rollout.expect_no_step_back();
}

#[gtest]
#[tokio::test]
async fn half_of_the_fleet_that_missed_ten_generations_catches_up() {
    let mut rollout = Rollout::start(&[]).await;
    for host in HALF {
        rollout.testbed.freeze(host).expect("the process runs");
    }
    let base = rollout.testbed.generation();
    let last = rollout.apply_many(base, 10).await;
    for host in HALF {
        rollout.testbed.resume(host).expect("the process is frozen");
    }
    rollout
        .log
        .wait_generation(&HOSTS, rollout.log.mark(), last)
        .await;
    expect_that!(rollout.present_text("entry-2").await, eq(&rollout.text(10)));
    rollout.expect_no_step_back();
}

#[gtest]
#[tokio::test]
async fn an_agent_restarted_in_an_outage_takes_the_highest_generation_heard() {
    let mut rollout = Rollout::start(&[]).await;
    rollout.testbed.freeze("entry-2").expect("the process runs");
    let base = rollout.testbed.generation();
    let last = rollout.apply_many(base, 10).await;
    let awake = ["entry-1", "matcher-1", "matcher-2", "ledger-1", "notices-1"];
    rollout.log.wait_generation(&awake, 0, last).await;
    rollout.set_object_faults(&json!({ "outage": true })).await;
    rollout.testbed.kill("matcher-1").await.expect("the process runs");
    let mark = rollout.log.mark();
    rollout.testbed.resume("entry-2").expect("the process is frozen");
    rollout
        .testbed
        .start_host("matcher-1")
        .expect("the process starts");
    rollout
        .log
        .wait_generation(&["entry-2", "matcher-1"], mark, last)
        .await;
    rollout.expect_no_step_back();
}

#[gtest]
#[tokio::test]
async fn an_agent_restarted_in_an_outage_takes_nothing_from_a_lagging_entry() {
    let mut rollout = Rollout::start(&[]).await;
    rollout.testbed.freeze("entry-2").expect("the process runs");
    let base = rollout.testbed.generation();
    let last = rollout.apply_many(base, 3).await;
    let awake = ["entry-1", "matcher-1", "matcher-2", "ledger-1", "notices-1"];
    rollout.log.wait_generation(&awake, 0, last).await;
    rollout.set_object_faults(&json!({ "outage": true })).await;
    rollout.testbed.kill("entry-1").await.expect("the process runs");
    let mark = rollout.log.mark();
    rollout.testbed.resume("entry-2").expect("the process is frozen");
    rollout.log.wait_beats("entry-2", mark, 10).await;
    rollout.testbed.kill("matcher-1").await.expect("the process runs");
    rollout
        .testbed
        .start_host("matcher-1")
        .expect("the process starts");
    let mark = rollout.log.mark();
    rollout.log.wait_beats("matcher-1", mark, 40).await;
    rollout.expect_no_step_back();
    rollout.set_object_faults(&json!({})).await;
    rollout
        .log
        .wait_generation(&["entry-2", "matcher-1"], mark, last)
        .await;
    rollout.expect_no_step_back();
}

#[gtest]
#[tokio::test]
async fn an_entry_restarted_in_an_outage_takes_no_earlier_generation() {
    let mut rollout = Rollout::start(&[]).await;
    let base = rollout.testbed.generation();
    let last = rollout.apply_many(base, 3).await;
    rollout.log.wait_generation(&HOSTS, 0, last).await;
    rollout.set_object_faults(&json!({ "outage": true })).await;
    rollout.testbed.kill("entry-2").await.expect("the process runs");
    rollout.testbed.start_host("entry-2").expect("the process starts");
    let mark = rollout.log.mark();
    rollout.log.wait_beats("entry-1", mark, 20).await;
    rollout.set_object_faults(&json!({})).await;
    rollout.log.wait_generation(&["entry-2"], mark, last).await;
    rollout.expect_no_step_back();
}

#[gtest]
#[tokio::test]
async fn a_restarted_agent_passes_over_a_peer_that_lags() {
    let mut rollout = Rollout::start(&[]).await;
    let base = rollout.testbed.generation();
    let last = rollout.apply_many(base, 3).await;
    rollout.log.wait_generation(&HOSTS, 0, last).await;
    let peer = FakePeer::start(&rollout.testbed, base, base, &rollout.text).await;
    rollout.set_object_faults(&json!({ "outage": true })).await;
    rollout.testbed.kill("matcher-1").await.expect("the process runs");
    let mark = rollout.log.mark();
    rollout
        .testbed
        .start_host("matcher-1")
        .expect("the process starts");
    rollout.log.wait_generation(&["matcher-1"], mark, last).await;
    rollout.expect_no_step_back();
    drop(peer);
}

#[gtest]
#[tokio::test]
async fn no_process_takes_an_earlier_text_from_a_peer_that_announced_a_later_one() {
    let rollout = Rollout::start(&[]).await;
    let base = rollout.testbed.generation();
    let last = rollout.apply_many(base, 3).await;
    rollout.log.wait_generation(&HOSTS, 0, last).await;
    let peer = FakePeer::start(&rollout.testbed, last + 100, base, &rollout.text).await;
    peer.wait_fetched(HOSTS.len()).await;
    let mark = rollout.log.mark();
    for host in HOSTS {
        rollout.log.wait_beats(host, mark, 5).await;
    }
    rollout.expect_no_step_back();
}

#[gtest]
#[tokio::test]
async fn a_peer_that_hands_out_less_than_it_announced_holds_no_process_back() {
    let rollout = Rollout::start(&[]).await;
    let base = rollout.testbed.generation();
    let peer = FakePeer::start(&rollout.testbed, base + 1_000_000, base, &rollout.text).await;
    peer.wait_fetched(HOSTS.len()).await;
    let last = rollout.apply_many(base, 3).await;
    rollout.log.wait_generation(&HOSTS, 0, last).await;
    rollout.expect_no_step_back();
}

#[gtest]
#[tokio::test]
async fn an_entry_refuses_hostile_texts_and_changes_nothing() {
    let rollout = Rollout::start(&[]).await;
    let path = format!("/admin/configuration?base={}", rollout.testbed.generation());
    let noise: String = ('\u{0}'..'\u{d7ff}').step_by(7).collect();
    let cases = [
        (
            400,
            "\"code\":6007",
            format!("{}{}", rollout.text, "; x\n".repeat(70_000)),
        ),
        (400, "\"code\":6002", "[".repeat(200_000)),
        (400, "\"code\":6008", format!("{}[cluster]\n", rollout.text)),
        (400, "\"code\":6002", noise),
        (413, "\"code\":1002", "x".repeat(3 * 1024 * 1024)),
    ];
    for (status, code, text) in cases {
        let reply = rollout
            .testbed
            .send_operator_request("entry-1", "PUT", &path, &text)
            .await
            .expect("an answer");
        expect_that!(reply.status, eq(status), "{code}");
        expect_that!(reply.text(), contains_substring(code));
    }
    expect_that!(rollout.present_text("entry-2").await, eq(&rollout.text));
    rollout.expect_no_step_back();
}
