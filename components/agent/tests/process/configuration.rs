//! Configuration from the entries.

use domain::Generation;
use googletest::prelude::*;
use standins::{EngineSettings, ModelEngine};

use crate::entry::FakeEntry;
use crate::support::{Bench, any_port};

#[gtest]
#[tokio::test]
async fn takes_the_highest_generation_first_and_never_a_lower_one() {
    let engine = ModelEngine::start(any_port(), EngineSettings::default())
        .await
        .expect("started");
    let entries = vec![FakeEntry::start(1, 4).await, FakeEntry::start(2, 6).await];
    let bench = Bench::start_among("matcher", engine.address(), entries).await;
    let mut heartbeats = bench.heartbeats();
    let first = bench.hear(|heartbeat| heartbeat.generation > Generation(0)).await;
    expect_that!(first.generation, eq(Generation(6)));
    expect_that!(first.load.map(|load| load.capacity), some(eq(5)));
    bench.entries[1].state().generation = 3;
    bench.entries[0].state().generation = 7;
    bench
        .hear(|heartbeat| heartbeat.generation == Generation(7))
        .await;
    let mut heard = Vec::new();
    while let Ok(heartbeat) = heartbeats.try_recv() {
        heard.push(heartbeat.generation);
    }
    expect_that!(heard.is_sorted(), eq(true));
}
