//! Sealing the journals of killed, paused and active owners, with concurrent sealers and with faults.

mod support;

use std::sync::Arc;

use domain::IncarnationId;
use googletest::prelude::*;
use journal::{
    JournalError, JournalSeal, JournalWriter, release_sealed_journal, replay_journal, seal_journal,
};
use store::{MemoryFaults, MemoryStore, ObjectStore};
use support::*;

async fn seal_by(store: &dyn ObjectStore, sealer: IncarnationId) -> JournalSeal {
    seal_journal(store, OWNER, sealer, vec![sealer])
        .await
        .expect("seal")
}

fn sealed_for(successor: IncarnationId) -> JournalError {
    JournalError::Sealed {
        successors: vec![successor],
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn record_and_seal_agree_when_an_append_is_in_flight() {
    for (point, is_durable) in [(StopPoint::BeforeEffect, false), (StopPoint::AfterEffect, true)] {
        let store = Arc::new(MemoryStore::new());
        let stopping = StoppingStore::new(&store, 2, point);
        let writer = open(&stopping);
        writer.append(vec![started(1)]).await.expect("append");
        let paused = tokio::spawn({
            let writer = writer.clone();
            async move { writer.append(vec![finished(1, 1)]).await }
        });
        stopping.wait_stopped().await;
        seal_by(store.as_ref(), SUCCESSOR).await;
        // Until it resumes, a paused owner is no different from a killed one, so this read covers both cases.
        let adopted = replay(&store).await;
        stopping.resume();
        let appended = paused.await.expect("task");
        expect_that!(appended.is_ok(), eq(is_durable));
        expect_that!(
            adopted.state.programs()[0].history.len(),
            eq(usize::from(is_durable))
        );
        let late = writer.append(vec![finished(1, 2)]).await;
        expect_that!(late, err(eq(&sealed_for(SUCCESSOR))));
        expect_that!(writer.append(Vec::new()).await, err(eq(&sealed_for(SUCCESSOR))));
        expect_that!(writer.wait_sealed().await, elements_are![eq(&SUCCESSOR)]);
        expect_that!(replay(&store).await.state, eq(&adopted.state));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn late_snapshot_of_a_sealed_owner_changes_nothing() {
    // After two appends, the fold writes its chunk (call 3) and its segment (call 4), then lists and deletes.
    for stop_at in [3, 4] {
        let store = Arc::new(MemoryStore::new());
        let stopping = StoppingStore::new(&store, stop_at, StopPoint::BeforeEffect);
        let writer = open(&stopping);
        writer.append(vec![started(1)]).await.expect("append");
        writer.append(vec![finished(1, 1)]).await.expect("append");
        let paused = tokio::spawn(async move { writer.fold(&[new_program(2)], &[], &[]).await });
        stopping.wait_stopped().await;
        seal_by(store.as_ref(), SUCCESSOR).await;
        let adopted = replay(&store).await;
        stopping.resume();
        expect_that!(paused.await.expect("task"), err(eq(&sealed_for(SUCCESSOR))));
        expect_that!(replay(&store).await.state, eq(&adopted.state));
        expect_that!(adopted.state.programs().len(), eq(1));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn two_sealers_return_the_same_seal() {
    for (point, first) in [
        (StopPoint::BeforeEffect, OTHER_SUCCESSOR),
        (StopPoint::AfterEffect, SUCCESSOR),
    ] {
        // A seal makes five calls: list, read and write, then list and read.
        for stop_at in 1..=5 {
            let store = Arc::new(MemoryStore::new());
            open(&store).append(vec![started(1)]).await.expect("append");
            let stopping = StoppingStore::new(&store, stop_at, point);
            let paused = tokio::spawn({
                let stopping = Arc::clone(&stopping);
                async move { seal_by(stopping.as_ref(), SUCCESSOR).await }
            });
            stopping.wait_stopped().await;
            let other = seal_by(store.as_ref(), OTHER_SUCCESSOR).await;
            stopping.resume();
            expect_that!(paused.await.expect("task"), eq(&other));
            if stop_at == 3 {
                expect_that!(other.successors, elements_are![eq(&first)]);
            }
            expect_that!(replay(&store).await.seal, some(eq(&other)));
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_sealer_paused_during_a_fold_seals_the_end_of_the_journal() {
    let store = Arc::new(MemoryStore::new());
    let writer = open(&store);
    writer.append(vec![started(1)]).await.expect("append");
    let stopping = StoppingStore::new(&store, 3, StopPoint::BeforeEffect);
    let paused = tokio::spawn({
        let stopping = Arc::clone(&stopping);
        async move { seal_by(stopping.as_ref(), SUCCESSOR).await }
    });
    stopping.wait_stopped().await;
    for call in 1..=5 {
        writer.append(vec![finished(1, call)]).await.expect("append");
    }
    writer.fold(&[new_program(1)], &[], &[]).await.expect("fold");
    stopping.resume();
    paused.await.expect("task");
    expect_that!(
        writer.append(vec![finished(1, 6)]).await,
        err(eq(&sealed_for(SUCCESSOR)))
    );
    let replayed = replay(&store).await;
    expect_that!(replayed.seal, some(anything()));
    expect_that!(replayed.state.programs()[0].history.len(), eq(5));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn sealing_succeeds_despite_lost_answers_and_lost_requests() {
    for (lose_answers, lose_requests) in [(1, 0), (0, 1), (2, 2)] {
        let store = Arc::new(MemoryStore::new());
        let writer = open(&store);
        writer.append(vec![started(1)]).await.expect("append");
        store.set_faults(MemoryFaults {
            outage: false,
            lose_answers,
            lose_requests,
        });
        expect_that!(seal_by(store.as_ref(), SUCCESSOR).await.sealer, eq(SUCCESSOR));
        expect_that!(writer.append(Vec::new()).await, err(eq(&sealed_for(SUCCESSOR))));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn seal_own_writes_the_seal_after_queued_records() {
    let store = Arc::new(MemoryStore::new());
    let writer = open(&store);
    let (first, second, seal) = tokio::join!(
        writer.append(vec![started(1)]),
        writer.append(vec![finished(1, 1)]),
        writer.seal_own(vec![OTHER_SUCCESSOR, SUCCESSOR]),
    );
    expect_that!([first, second, seal], each(ok(anything())));
    expect_that!(
        writer.successors(),
        some(elements_are![eq(&SUCCESSOR), eq(&OTHER_SUCCESSOR)])
    );
    let replayed = replay(&store).await;
    expect_that!(replayed.state.programs()[0].history.len(), eq(1));
    expect_that!(replayed.seal.map(|seal| seal.sealer), some(eq(OWNER)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn released_journal_still_fences_its_owner() {
    for stop_at in 1..=8 {
        let store = Arc::new(MemoryStore::new());
        let writer = open(&store);
        writer.append(vec![started(1)]).await.expect("append");
        writer.append(vec![finished(1, 1)]).await.expect("append");
        seal_by(store.as_ref(), SUCCESSOR).await;
        // The first release is killed at call `stop_at`, and a second one completes it.
        let stopping = StoppingStore::new(&store, stop_at, StopPoint::AfterEffect);
        let mut killed = tokio::spawn({
            let stopping = Arc::clone(&stopping);
            async move { release_sealed_journal(stopping.as_ref(), OWNER).await }
        });
        tokio::select! {
            () = stopping.wait_stopped() => killed.abort(),
            result = &mut killed => result.expect("task").expect("release"),
        }
        release_sealed_journal(store.as_ref(), OWNER)
            .await
            .expect("release");
        let replayed = replay(&store).await;
        expect_that!(replayed.seal.map(|seal| seal.settled), some(eq(true)));
        expect_that!(store.list("journal/").await.expect("list").len(), eq(1));
        expect_that!(
            writer.append(vec![finished(1, 2)]).await,
            err(eq(&sealed_for(SUCCESSOR)))
        );
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_successor_killed_while_adopting_leaves_an_incomplete_adoption() {
    let store = Arc::new(MemoryStore::new());
    let owner = open(&store);
    owner
        .append(vec![started(1), started(2), finished(1, 1), finished(2, 1)])
        .await
        .expect("append");
    seal_by(store.as_ref(), SUCCESSOR).await;
    let from = replay(&store).await.state;
    // The successor is killed after it has adopted one of two programs, before it writes the `Adopted`
    // record.
    let successor = JournalWriter::open(
        Arc::<MemoryStore>::clone(&store),
        SUCCESSOR,
        SPACING,
        BUFFER_BYTES,
    );
    let adopt = |index: usize| {
        let mut program = from.programs()[index].clone();
        program.tenure = program.tenure.next();
        journal::JournalRecord::Started(program)
    };
    successor.append(vec![adopt(0)]).await.expect("append");
    successor.append(vec![finished(1, 2)]).await.expect("append");
    seal_journal(store.as_ref(), SUCCESSOR, OTHER_SUCCESSOR, vec![OTHER_SUCCESSOR])
        .await
        .expect("seal");
    expect_that!(
        successor.append(vec![adopt(1)]).await,
        err(eq(&sealed_for(OTHER_SUCCESSOR)))
    );
    let adopted = replay_journal(store.as_ref(), SUCCESSOR).await.expect("replay");
    expect_that!(adopted.state.has_adopted(OWNER), eq(false));
    expect_that!(histories(&adopted), elements_are![eq(&["answer 1", "answer 2"])]);
    expect_that!(
        histories(&replay(&store).await),
        elements_are![eq(&["answer 1"]), eq(&["answer 1"])]
    );
}
