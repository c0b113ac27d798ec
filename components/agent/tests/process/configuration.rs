//! Configuration fetched from the entries.

use domain::Generation;
use googletest::prelude::*;
use standins::{EngineSettings, ModelEngine};

use crate::entry::FakeEntry;
use crate::support::{TestAgent, any_port};

#[gtest]
#[tokio::test]
async fn waits_for_the_listed_entries_before_it_applies_the_first_generation() {
    let engine = ModelEngine::start(any_port(), EngineSettings::default())
        .await
        .expect("started");
    let entries = vec![FakeEntry::start(1, 4).await, FakeEntry::start(2, 6).await];
    entries[1].state().muted = true;
    let agent = TestAgent::start_with_entries("matcher", engine.address(), entries).await;
    agent.wait_for_heartbeat(|heartbeat| heartbeat.sequence > 4).await;
    agent.entries[1].state().muted = false;
    let first = agent
        .wait_for_heartbeat(|heartbeat| heartbeat.generation > Generation(0))
        .await;
    expect_that!(first.generation, eq(Generation(6)));
    expect_that!(first.load.map(|load| load.capacity), some(eq(5)));
}

#[gtest]
#[tokio::test]
async fn never_applies_a_lower_generation_and_needs_no_unreachable_entry() {
    let engine = ModelEngine::start(any_port(), EngineSettings::default())
        .await
        .expect("started");
    let entries = vec![FakeEntry::start(1, 7).await, FakeEntry::start(2, 7).await];
    entries[1].state().muted = true;
    let agent = TestAgent::start_with_entries("matcher", engine.address(), entries).await;
    let before = agent
        .wait_for_heartbeat(|heartbeat| heartbeat.generation == Generation(7))
        .await;
    agent.entries[0].state().generation = 3;
    let later = agent
        .wait_for_heartbeat(|heartbeat| heartbeat.sequence > before.sequence + 20)
        .await;
    expect_that!(later.generation, eq(Generation(7)));
}
