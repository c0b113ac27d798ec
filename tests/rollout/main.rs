//! Rollout of configurations to real processes: a generation is in force everywhere within a time limit, and
//! no process returns to an earlier one, also with concurrent operators, lost responses and missed
//! generations.

mod heartbeats;
mod peer;

use std::path::PathBuf;

use googletest::prelude::*;
use heartbeats::{HeartbeatLog, logged_regressions};
use peer::FakePeer;
use serde_json::{Value, json};
use standins::{Deployment, Testbed};
use tokio::process::Command;

/// A text must be in force everywhere within 5 s, which is ten heartbeat intervals of 500 ms.
const MAX_OUTDATED_HEARTBEATS: usize = 10;
const ENTRIES: [&str; 2] = ["entry-1", "entry-2"];
const HOSTS: [&str; 6] = [
    "entry-1",
    "entry-2",
    "matcher-1",
    "matcher-2",
    "ledger-1",
    "notices-1",
];
const FROZEN_HALF: [&str; 3] = ["entry-2", "matcher-2", "notices-1"];

/// A running deployment and the heartbeats received from it.
struct Rollout {
    testbed: Testbed,
    log: HeartbeatLog,
    text: String,
}

/// Exit status and JSON output of one run of the tool.
#[derive(Debug)]
struct ApplyResult {
    status: Option<i32>,
    printed: Value,
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

    /// Runs `azuretide apply` for a numbered text, with the entries in the given order.
    async fn apply(&self, entries: &[&str], base: u64, number: u64) -> ApplyResult {
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
        let printed = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
        ApplyResult {
            status: output.status.code(),
            printed,
        }
    }

    /// Applies numbered texts in succession at entry-1 and returns the last generation.
    async fn apply_many(&self, mut base: u64, count: u64) -> u64 {
        for number in 1..=count {
            let result = self.apply(&["entry-1"], base, number).await;
            base = result.printed["generation"]
                .as_u64()
                .unwrap_or_else(|| panic!("refused: {result:?}"));
        }
        base
    }

    async fn current_text(&self, entry: &str) -> String {
        let reply = self
            .testbed
            .send_operator_request(entry, "GET", "/admin/configuration", "")
            .await;
        reply.expect("the entry answers").text()
    }

    /// Checks that neither the heartbeats nor the logs show an earlier generation after a later one.
    fn expect_no_regression(&self) {
        expect_that!(self.log.regressions(), is_empty());
        expect_that!(logged_regressions(&self.testbed), is_empty());
    }

    async fn set_object_faults(&self, faults: &Value) {
        self.testbed
            .set_faults("object-api", faults)
            .await
            .expect("the stand-in accepts the faults");
    }
}

#[gtest]
#[tokio::test]
async fn a_text_is_in_force_everywhere_within_ten_heartbeats() {
    let rollout = Rollout::start(&[("heartbeat-ms", "500"), ("suspect-ms", "2500")]).await;
    let mut base = rollout.testbed.generation();
    for number in 1..=3 {
        let entry = ENTRIES[usize::try_from(number).unwrap_or_default() % ENTRIES.len()];
        let result = rollout.apply(&[entry], base, number).await;
        base = result.printed["generation"]
            .as_u64()
            .unwrap_or_else(|| panic!("refused: {result:?}"));
        let outdated = rollout
            .log
            .wait_generation(&HOSTS, rollout.log.position(), base)
            .await;
        println!("text {number}: heartbeats of {HOSTS:?} before generation {base}: {outdated:?}");
        expect_that!(outdated, each(le(&MAX_OUTDATED_HEARTBEATS)));
    }
    rollout.expect_no_regression();
}

#[gtest]
#[tokio::test]
async fn one_of_two_concurrent_operators_at_two_entries_wins() {
    let rollout = Rollout::start(&[]).await;
    let mut base = rollout.testbed.generation();
    for race in 0..6 {
        let (left, right) = (race * 2, race * 2 + 1);
        let first = rollout.apply(&["entry-1"], base, left);
        let second = rollout.apply(&["entry-2"], base, right);
        let results = if race % 2 == 0 {
            tokio::join!(first, second)
        } else {
            (first.await, second.await)
        };
        let statuses = [results.0.status, results.1.status];
        expect_that!(
            statuses,
            unordered_elements_are![some(eq(0)), some(eq(4))],
            "{results:?}"
        );
        let (winner, loser) = if statuses[0] == Some(0) {
            (left, &results.1)
        } else {
            (right, &results.0)
        };
        base = loser.printed["conflict"]["generation"]
            .as_u64()
            .unwrap_or_default();
        let diff = loser.printed["conflict"]["diff"].as_str().unwrap_or_default();
        expect_that!(diff, contains_substring(format!("-; text {winner}\n")));
        rollout.log.wait_generation(&HOSTS, 0, base).await;
        for entry in ENTRIES {
            expect_that!(rollout.current_text(entry).await, eq(&rollout.text(winner)));
        }
    }
    rollout.expect_no_regression();
}

#[gtest]
#[tokio::test]
async fn an_apply_whose_response_is_lost_takes_effect_once() {
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
        let result = rollout.apply(&ENTRIES, base, number).await;
        rollout.set_object_faults(&json!({})).await;
        expect_that!(result.status, some(eq(0)), "{faults} {result:?}");
        base = result.printed["generation"].as_u64().unwrap_or_default();
        rollout.log.wait_generation(&HOSTS, 0, base).await;
        expect_that!(
            rollout.current_text("entry-2").await,
            eq(&rollout.text(number)),
            "{faults}"
        );
        let repeated = rollout.apply(&ENTRIES, base - 1, number + 100).await;
        expect_that!(repeated.status, some(eq(4)), "{faults} {repeated:?}");
    }
    rollout.expect_no_regression();
}

#[gtest]
#[tokio::test]
async fn half_of_the_fleet_that_missed_ten_generations_catches_up() {
    let mut rollout = Rollout::start(&[]).await;
    for host in FROZEN_HALF {
        rollout.testbed.freeze(host).expect("the process runs");
    }
    let base = rollout.testbed.generation();
    let last = rollout.apply_many(base, 10).await;
    for host in FROZEN_HALF {
        rollout.testbed.resume(host).expect("the process is frozen");
    }
    rollout
        .log
        .wait_generation(&HOSTS, rollout.log.position(), last)
        .await;
    expect_that!(rollout.current_text("entry-2").await, eq(&rollout.text(10)));
    rollout.expect_no_regression();
}

#[gtest]
#[tokio::test]
async fn an_agent_restarted_in_an_outage_applies_the_highest_announced_generation() {
    let mut rollout = Rollout::start(&[]).await;
    rollout.testbed.freeze("entry-2").expect("the process runs");
    let base = rollout.testbed.generation();
    let last = rollout.apply_many(base, 10).await;
    let running_hosts = ["entry-1", "matcher-1", "matcher-2", "ledger-1", "notices-1"];
    rollout.log.wait_generation(&running_hosts, 0, last).await;
    rollout.set_object_faults(&json!({ "outage": true })).await;
    rollout.testbed.kill("matcher-1").await.expect("the process runs");
    let position = rollout.log.position();
    rollout.testbed.resume("entry-2").expect("the process is frozen");
    rollout
        .testbed
        .start_host("matcher-1")
        .expect("the process starts");
    rollout
        .log
        .wait_generation(&["entry-2", "matcher-1"], position, last)
        .await;
    rollout.expect_no_regression();
}

#[gtest]
#[tokio::test]
async fn an_agent_restarted_in_an_outage_applies_nothing_from_a_lagging_entry() {
    let mut rollout = Rollout::start(&[]).await;
    rollout.testbed.freeze("entry-2").expect("the process runs");
    let base = rollout.testbed.generation();
    let last = rollout.apply_many(base, 3).await;
    let running_hosts = ["entry-1", "matcher-1", "matcher-2", "ledger-1", "notices-1"];
    rollout.log.wait_generation(&running_hosts, 0, last).await;
    rollout.set_object_faults(&json!({ "outage": true })).await;
    rollout.testbed.kill("entry-1").await.expect("the process runs");
    let position = rollout.log.position();
    rollout.testbed.resume("entry-2").expect("the process is frozen");
    rollout.log.wait_heartbeats("entry-2", position, 10).await;
    rollout.testbed.kill("matcher-1").await.expect("the process runs");
    rollout
        .testbed
        .start_host("matcher-1")
        .expect("the process starts");
    let position = rollout.log.position();
    rollout.log.wait_heartbeats("matcher-1", position, 40).await;
    rollout.expect_no_regression();
    rollout.set_object_faults(&json!({})).await;
    rollout
        .log
        .wait_generation(&["entry-2", "matcher-1"], position, last)
        .await;
    rollout.expect_no_regression();
}

#[gtest]
#[tokio::test]
async fn an_entry_restarted_in_an_outage_applies_no_earlier_generation() {
    let mut rollout = Rollout::start(&[]).await;
    let base = rollout.testbed.generation();
    let last = rollout.apply_many(base, 3).await;
    rollout.log.wait_generation(&HOSTS, 0, last).await;
    rollout.set_object_faults(&json!({ "outage": true })).await;
    rollout.testbed.kill("entry-2").await.expect("the process runs");
    rollout.testbed.start_host("entry-2").expect("the process starts");
    let position = rollout.log.position();
    rollout.log.wait_heartbeats("entry-1", position, 20).await;
    rollout.set_object_faults(&json!({})).await;
    rollout.log.wait_generation(&["entry-2"], position, last).await;
    rollout.expect_no_regression();
}

#[gtest]
#[tokio::test]
async fn a_restarted_agent_ignores_a_lagging_peer() {
    let mut rollout = Rollout::start(&[]).await;
    let base = rollout.testbed.generation();
    let last = rollout.apply_many(base, 3).await;
    rollout.log.wait_generation(&HOSTS, 0, last).await;
    let peer = FakePeer::start(&rollout.testbed, base, base, &rollout.text).await;
    rollout.set_object_faults(&json!({ "outage": true })).await;
    rollout.testbed.kill("matcher-1").await.expect("the process runs");
    let position = rollout.log.position();
    rollout
        .testbed
        .start_host("matcher-1")
        .expect("the process starts");
    rollout.log.wait_generation(&["matcher-1"], position, last).await;
    rollout.expect_no_regression();
    drop(peer);
}

#[gtest]
#[tokio::test]
async fn no_process_applies_an_earlier_text_from_a_peer_that_announced_a_later_one() {
    let rollout = Rollout::start(&[]).await;
    let base = rollout.testbed.generation();
    let last = rollout.apply_many(base, 3).await;
    rollout.log.wait_generation(&HOSTS, 0, last).await;
    let peer = FakePeer::start(&rollout.testbed, last + 100, base, &rollout.text).await;
    peer.wait_fetches(HOSTS.len()).await;
    let position = rollout.log.position();
    for host in HOSTS {
        rollout.log.wait_heartbeats(host, position, 5).await;
    }
    rollout.expect_no_regression();
}

#[gtest]
#[tokio::test]
async fn a_peer_that_serves_less_than_it_announced_delays_no_process() {
    let rollout = Rollout::start(&[]).await;
    let base = rollout.testbed.generation();
    let peer = FakePeer::start(&rollout.testbed, base + 1_000_000, base, &rollout.text).await;
    peer.wait_fetches(HOSTS.len()).await;
    let last = rollout.apply_many(base, 3).await;
    rollout.log.wait_generation(&HOSTS, 0, last).await;
    rollout.expect_no_regression();
}

#[gtest]
#[tokio::test]
async fn an_entry_refuses_malformed_or_oversized_texts_and_changes_nothing() {
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
    expect_that!(rollout.current_text("entry-2").await, eq(&rollout.text));
    rollout.expect_no_regression();
}
