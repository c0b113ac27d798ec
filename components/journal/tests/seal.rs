//! Seals against owners that were killed or paused, and against other sealers.

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

fn is_sealed_for(successor: IncarnationId) -> JournalError {
    JournalError::Sealed {
        successors: vec![successor],
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn record_and_seal_agree_when_an_append_is_in_flight() {
    for (point, is_kept) in [(StopPoint::BeforeEffect, false), (StopPoint::AfterEffect, true)] {
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
        // What the successor reads now holds for a killed owner, too.
        let adopted = replay(&store).await;
        stopping.resume();
        let appended = paused.await.expect("task");
        expect_that!(appended.is_ok(), eq(is_kept));
        expect_that!(
            adopted.state.programs()[0].history.len(),
            eq(usize::from(is_kept))
        );
        let late = writer.append(vec![finished(1, 2)]).await;
        expect_that!(late, err(eq(&is_sealed_for(SUCCESSOR))));
        expect_that!(
            writer.append(Vec::new()).await,
            err(eq(&is_sealed_for(SUCCESSOR)))
        );
        expect_that!(writer.wait_sealed().await, elements_are![eq(&SUCCESSOR)]);
        expect_that!(replay(&store).await.state, eq(&adopted.state));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn late_snapshot_of_a_sealed_owner_changes_nothing() {
    // The calls of a fold: its chunk, its segment, a listing, the deletions.
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
        expect_that!(paused.await.expect("task"), err(eq(&is_sealed_for(SUCCESSOR))));
        expect_that!(replay(&store).await.state, eq(&adopted.state));
        expect_that!(adopted.state.programs().len(), eq(1));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn two_sealers_agree_on_the_one_that_got_in() {
    for (point, first) in [
        (StopPoint::BeforeEffect, OTHER_SUCCESSOR),
        (StopPoint::AfterEffect, SUCCESSOR),
    ] {
        // The calls of a seal: listing, reading and writing, then listing and reading.
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
async fn sealer_paused_while_the_owner_trims_seals_the_end_and_not_the_gap() {
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
        err(eq(&is_sealed_for(SUCCESSOR)))
    );
    let replayed = replay(&store).await;
    expect_that!(replayed.seal, some(anything()));
    expect_that!(replayed.state.programs()[0].history.len(), eq(5));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn seals_through_lost_answers_and_lost_requests() {
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
        expect_that!(
            writer.append(Vec::new()).await,
            err(eq(&is_sealed_for(SUCCESSOR)))
        );
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn seals_its_own_journal_behind_what_waits() {
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
        // The releaser is killed at some call, and another one repeats the release.
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
            err(eq(&is_sealed_for(SUCCESSOR)))
        );
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn follows_a_successor_that_was_killed_while_adopting() {
    let store = Arc::new(MemoryStore::new());
    let owner = open(&store);
    owner
        .append(vec![started(1), started(2), finished(1, 1), finished(2, 1)])
        .await
        .expect("append");
    seal_by(store.as_ref(), SUCCESSOR).await;
    let from = replay(&store).await.state;
    // The successor is killed with one of two programs adopted and no `Adopted` record.
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
        err(eq(&is_sealed_for(OTHER_SUCCESSOR)))
    );
    let adopted = replay_journal(store.as_ref(), SUCCESSOR).await.expect("replay");
    expect_that!(adopted.state.has_adopted(OWNER), eq(false));
    expect_that!(histories(&adopted), elements_are![eq(&["answer 1", "answer 2"])]);
    expect_that!(
        histories(&replay(&store).await),
        elements_are![eq(&["answer 1"]), eq(&["answer 1"])]
    );
}
