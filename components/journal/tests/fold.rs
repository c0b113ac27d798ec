//! Snapshots: kills at every step, states that lag behind the journal, and a bounded number of reads.

mod support;

use std::sync::Arc;

use domain::IncarnationId;
use googletest::prelude::*;
use journal::{BudgetSlice, JournalState, replay_journal, seal_journal};
use store::{MemoryStore, ObjectStore};
use support::*;

const FOLD_AT_SEGMENTS: u64 = 16;

/// Appends three segments and returns the state that they lead to.
async fn write_three_segments(writer: &journal::JournalWriter) -> JournalState {
    let mut state = JournalState::default();
    for record in [started(1), finished(1, 1), finished(1, 2)] {
        state.apply(&record);
        writer.append(vec![record]).await.expect("append");
    }
    state
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn survives_a_kill_at_every_step_of_a_snapshot() {
    let mut finished_folds = 0;
    for point in [StopPoint::BeforeEffect, StopPoint::AfterEffect] {
        // After three appends, the fold writes the chunk (call 4) and the segment (5), lists the objects (6)
        // and makes three deletions (7 to 9). It finishes if the stop is at call 10.
        for stop_at in 4..=10 {
            let store = Arc::new(MemoryStore::new());
            let stopping = StoppingStore::new(&store, stop_at, point);
            let writer = open(&stopping);
            let state = write_three_segments(&writer).await;
            let states = state.programs().to_vec();
            let mut fold = tokio::spawn(async move { writer.fold(&states, &[], &[]).await });
            tokio::select! {
                () = stopping.wait_stopped() => fold.abort(),
                result = &mut fold => {
                    result.expect("task").expect("fold");
                    finished_folds += 1;
                }
            }
            seal_journal(store.as_ref(), OWNER, SUCCESSOR, vec![SUCCESSOR])
                .await
                .expect("seal");
            expect_that!(
                replay(&store).await.state,
                eq(&state),
                "killed at call {stop_at}, {point:?}"
            );
        }
    }
    expect_that!(finished_folds, eq(2));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn objects_of_an_abandoned_snapshot_are_deleted() {
    // Every call of the fold except the append (call 5), which the commit task completes even if the fold is
    // aborted.
    for stop_at in [4, 6, 7, 8, 9] {
        let store = Arc::new(MemoryStore::new());
        let stopping = StoppingStore::new(&store, stop_at, StopPoint::AfterEffect);
        let writer = open(&stopping);
        let state = write_three_segments(&writer).await;
        let states = state.programs().to_vec();
        let fold = tokio::spawn({
            let (writer, states) = (writer.clone(), states.clone());
            async move { writer.fold(&states, &[], &[]).await }
        });
        stopping.wait_stopped().await;
        fold.abort();
        expect_that!(fold.await, err(anything()));
        writer.fold(&states, &[], &[]).await.expect("fold");
        expect_that!(replay(&store).await.state, eq(&state));
        // One chunk and the segment that refers to it.
        expect_that!(store.list("journal/").await.expect("list").len(), eq(2));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_snapshot_includes_acknowledged_records_that_the_states_lack() {
    let store = Arc::new(MemoryStore::new());
    let writer = open(&store);
    let mut state = write_three_segments(&writer).await;
    for call in 3..=4 {
        // The owner has not applied the acknowledged records to its states yet.
        writer.fold(&[], &[], &[]).await.expect("fold");
        state.apply(&finished(1, call));
        writer.append(vec![finished(1, call)]).await.expect("append");
        expect_that!(replay(&store).await.state, eq(&state));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_snapshot_keeps_adoptions_and_slices() {
    let store = Arc::new(MemoryStore::new());
    let writer = open(&store);
    let slice = BudgetSlice {
        team: "hulls".parse().expect("team"),
        window_start: domain::TimeMillis(5),
        held: domain::MicroUnits(100),
        spent: domain::MicroUnits(40),
    };
    let adopted = [IncarnationId(3), IncarnationId(5)];
    writer.append(Vec::new()).await.expect("append");
    writer
        .fold(&[], &adopted, std::slice::from_ref(&slice))
        .await
        .expect("fold");
    let state = replay(&store).await.state;
    expect_that!(state.slices(), elements_are![eq(&slice)]);
    expect_that!(adopted.map(|from| state.has_adopted(from)), each(eq(true)));
    expect_that!(state.has_adopted(IncarnationId(4)), eq(false));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn reads_a_bounded_number_of_objects_after_many_turns() {
    let store = Arc::new(MemoryStore::new());
    let writer = open(&store);
    let mut state = JournalState::default();
    for turn in 0..1000 {
        let (program, call) = (turn % 3 + 1, turn / 3);
        let record = if call == 0 {
            started(program)
        } else {
            finished(program, call)
        };
        state.apply(&record);
        writer.append(vec![record]).await.expect("append");
        if writer.segments_since_fold() >= FOLD_AT_SEGMENTS {
            writer.fold(state.programs(), &[], &[]).await.expect("fold");
        }
    }
    let replayed = replay(&store).await;
    expect_that!(replayed.state, eq(&state));
    // One listing, one chunk, the segments since the last fold, and the segment of that fold.
    expect_that!(replayed.reads, le(2 + FOLD_AT_SEGMENTS + 1));
    expect_that!(
        store.list("journal/").await.expect("list").len() as u64,
        le(2 + FOLD_AT_SEGMENTS)
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn reads_a_journal_whose_owner_replaces_segments_meanwhile() {
    for stop_at in 1..=5 {
        let store = Arc::new(MemoryStore::new());
        let writer = open(&store);
        let state = write_three_segments(&writer).await;
        writer.fold(state.programs(), &[], &[]).await.expect("fold");
        let stopping = StoppingStore::new(&store, stop_at, StopPoint::AfterEffect);
        let mut reading = tokio::spawn({
            let stopping = Arc::clone(&stopping);
            async move { replay_journal(stopping.as_ref(), OWNER).await }
        });
        let replayed = tokio::select! {
            () = stopping.wait_stopped() => {
                writer.append(Vec::new()).await.expect("append");
                writer.fold(state.programs(), &[], &[]).await.expect("fold");
                stopping.resume();
                reading.await
            }
            result = &mut reading => result,
        };
        expect_that!(replayed.expect("task").expect("replay").state, eq(&state));
    }
}
