//! Appending, group commit and reading back.

mod support;

use std::sync::Arc;

use googletest::prelude::*;
use journal::{JournalRecord, replay_journal};
use platform::MemoryStore;
use support::*;

#[gtest]
#[tokio::test(start_paused = true)]
async fn reads_back_what_was_acknowledged() {
    let store = Arc::new(MemoryStore::new());
    let writer = open(&store);
    writer
        .append(vec![started(1), intent(1, 1)])
        .await
        .expect("append");
    writer.append(vec![finished(1, 1)]).await.expect("append");
    let replayed = replay_journal(store.as_ref(), OWNER).await.expect("replay");
    let program = replayed.ledger.program(program_key(1)).expect("program");
    expect_that!(contents(program), elements_are![eq(&"answer 1")]);
    expect_that!(program.intents.as_slice(), is_empty());
    expect_that!(program.held_by, elements_are![eq(&host())]);
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn writes_one_segment_for_the_records_that_waited_together() {
    let store = Arc::new(MemoryStore::new());
    let writer = open(&store);
    writer.append(vec![started(1)]).await.expect("append");
    let appends = (1..=100).map(|call| {
        let writer = writer.clone();
        tokio::spawn(async move { writer.append(vec![finished(1, call)]).await })
    });
    for append in appends.collect::<Vec<_>>() {
        append.await.expect("task").expect("append");
    }
    expect_that!(store.call_counts().1, eq(2));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn keeps_a_program_larger_than_one_object() {
    let store = Arc::new(MemoryStore::new());
    let writer = open(&store);
    writer
        .append(vec![started(1), finished_with(1, 1, "x".repeat(4_000_000))])
        .await
        .expect("append");
    let large = replay_journal(store.as_ref(), OWNER)
        .await
        .expect("replay")
        .ledger
        .programs()[0]
        .clone();
    writer
        .append(vec![JournalRecord::Started(large.clone())])
        .await
        .expect("append");
    writer.fold(&[large], &[], &[]).await.expect("fold");
    let replayed = replay_journal(store.as_ref(), OWNER).await.expect("replay");
    expect_that!(
        replayed.ledger.programs()[0].history[0].content.len(),
        eq(4_000_000)
    );
}
