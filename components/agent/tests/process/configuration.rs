//! Configuration from the entries.

use domain::Generation;
use googletest::prelude::*;
use standins::{EngineSettings, ModelEngine};

use crate::entry::FakeEntry;
use crate::support::{Bench, any_port};

#[gtest]
#[tokio::test]
async fn waits_for_the_listed_entries_before_it_takes_the_first_generation() {
    let engine = ModelEngine::start(any_port(), EngineSettings::default())
        .await
        .expect("started");
    let entries = vec![FakeEntry::start(1, 4).await, FakeEntry::start(2, 6).await];
    entries[1].state().silent = true;
    let bench = Bench::start_among("matcher", engine.address(), entries).await;
    bench.hear(|heartbeat| heartbeat.sequence > 4).await;
    bench.entries[1].state().silent = false;
    let first = bench.hear(|heartbeat| heartbeat.generation > Generation(0)).await;
    expect_that!(first.generation, eq(Generation(6)));
    expect_that!(first.load.map(|load| load.capacity), some(eq(5)));
}

#[gtest]
#[tokio::test]
async fn never_takes_a_lower_generation_and_does_without_the_dead() {
    let engine = ModelEngine::start(any_port(), EngineSettings::default())
        .await
        .expect("started");
    let entries = vec![FakeEntry::start(1, 7).await, FakeEntry::start(2, 7).await];
    entries[1].state().silent = true;
    let bench = Bench::start_among("matcher", engine.address(), entries).await;
    let before = bench
        .hear(|heartbeat| heartbeat.generation == Generation(7))
        .await;
    bench.entries[0].state().generation = 3;
    let later = bench
        .hear(|heartbeat| heartbeat.sequence > before.sequence + 20)
        .await;
    expect_that!(later.generation, eq(Generation(7)));
}
