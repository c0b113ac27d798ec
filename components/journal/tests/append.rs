//! Appends, group commit, outages of the object API and lost answers.

mod support;

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use journal::{JournalError, JournalRecord, JournalWriter};
use store::{MemoryFaults, MemoryStore};
use support::*;
use tokio::time::Instant;

#[gtest]
#[tokio::test(start_paused = true)]
async fn acknowledged_records_are_read_back() {
    let store = Arc::new(MemoryStore::new());
    let writer = open(&store);
    writer
        .append(vec![started(1), intent(1, 1)])
        .await
        .expect("append");
    writer.append(vec![finished(1, 1)]).await.expect("append");
    let replayed = replay(&store).await;
    let program = replayed.state.program(program_key(1)).expect("program");
    expect_that!(contents(program), elements_are![eq(&"answer 1")]);
    expect_that!(program.intents.as_slice(), is_empty());
    expect_that!(program.held_by, elements_are![eq(&host())]);
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn records_that_wait_together_are_written_as_one_segment() {
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
async fn appends_are_spaced_but_a_lone_append_does_not_wait() {
    let store = Arc::new(MemoryStore::new());
    let writer = open(&store);
    let mut waits = Vec::new();
    for pause in [Duration::ZERO, Duration::ZERO, SPACING] {
        tokio::time::sleep(pause).await;
        let start = Instant::now();
        writer.append(vec![started(1)]).await.expect("append");
        waits.push(start.elapsed());
    }
    expect_that!(
        waits,
        elements_are![eq(&Duration::ZERO), eq(&SPACING), eq(&Duration::ZERO)]
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_program_larger_than_one_object_is_read_back() {
    let store = Arc::new(MemoryStore::new());
    let writer = open(&store);
    let large = finished_with(1, 1, "x".repeat(4_000_000));
    writer.append(vec![started(1), large]).await.expect("append");
    let program = replay(&store).await.state.programs()[0].clone();
    expect_that!(program.history[0].content.len(), eq(4_000_000));
    writer
        .append(vec![JournalRecord::Started(program.clone())])
        .await
        .expect("append");
    writer
        .fold(std::slice::from_ref(&program), &[], &[])
        .await
        .expect("fold");
    expect_that!(replay(&store).await.state.programs(), elements_are![eq(&program)]);
}

struct LossCase {
    lose_answers: u32,
    lose_requests: u32,
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn writes_without_an_answer_are_retried_and_take_effect_once() {
    for LossCase {
        lose_answers,
        lose_requests,
    } in [
        LossCase {
            lose_answers: 1,
            lose_requests: 0,
        },
        LossCase {
            lose_answers: 0,
            lose_requests: 1,
        },
        LossCase {
            lose_answers: 3,
            lose_requests: 0,
        },
        LossCase {
            lose_answers: 2,
            lose_requests: 3,
        },
    ] {
        let store = Arc::new(MemoryStore::new());
        let writer = open(&store);
        writer.append(vec![started(1)]).await.expect("append");
        store.set_faults(MemoryFaults {
            outage: false,
            lose_answers,
            lose_requests,
        });
        for call in 1..=3 {
            writer.append(vec![finished(1, call)]).await.expect("append");
        }
        expect_that!(
            histories(&replay(&store).await),
            elements_are![eq(&["answer 1", "answer 2", "answer 3"])]
        );
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn appends_wait_during_an_outage_with_few_calls_and_a_bounded_buffer() {
    const OUTAGE_S: u64 = 600;
    let store = Arc::new(MemoryStore::new());
    let writer = JournalWriter::open(Arc::<MemoryStore>::clone(&store), OWNER, SPACING, 1000);
    writer.append(vec![started(1)]).await.expect("append");
    let before = store.call_counts().1;
    store.set_faults(MemoryFaults {
        outage: true,
        ..MemoryFaults::default()
    });
    let mut accepted = Vec::new();
    let mut refused = 0;
    for call in 1..=100 {
        let writer = writer.clone();
        let append = tokio::spawn(async move { writer.append(vec![finished(1, call)]).await });
        tokio::time::sleep(Duration::from_secs(OUTAGE_S / 100)).await;
        if append.is_finished() {
            let result = append.await.expect("task");
            expect_that!(result, err(matches_pattern!(JournalError::Unavailable { .. })));
            refused += 1;
        } else {
            accepted.push(append);
        }
    }
    let during = store.call_counts().1 - before;
    expect_that!(refused, gt(0));
    expect_that!(during, le(OUTAGE_S));
    expect_that!(writer.write_failure(), some(anything()));
    store.set_faults(MemoryFaults::default());
    let accepted_count = accepted.len();
    for append in accepted {
        append.await.expect("task").expect("append");
    }
    let after = store.call_counts().1 - before - during;
    println!(
        "writes: {before} before, {during} during {OUTAGE_S} s, {after} after; {accepted_count} accepted, {refused} refused"
    );
    expect_that!(after, le(2));
    expect_that!(
        replay(&store).await.state.programs()[0].history.len(),
        eq(accepted_count)
    );
    expect_that!(writer.write_failure(), none());
}
