//! Tests of several owners that spend one small budget concurrently.

mod support;

use std::sync::Arc;

use budget::{InheritedReservations, ProvenSpend};
use domain::{IncarnationId, MicroUnits, TimeMillis};
use futures::future::join_all;
use googletest::prelude::*;
use store::MemoryFaults;
use support::{FaultyStore, LIMIT, SpendChecker, manager, report, reserve, spend, team_name};

const SEEDS: u64 = 12;
const START: TimeMillis = TimeMillis(0);

struct ContentionCase {
    owners: u32,
    max_price: u64,
    seeds: u64,
}

const fn case(owners: u32, max_price: u64, seeds: u64) -> ContentionCase {
    ContentionCase {
        owners,
        max_price,
        seeds,
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn many_owners_never_exceed_one_small_budget_and_leave_nothing_stranded() {
    for case in [
        case(12, 3_000, SEEDS),
        case(60, 3_000, 4),
        case(12, 100_000, SEEDS),
    ] {
        for seed in 0..case.seeds {
            let store = FaultyStore::new(seed, 20);
            let checker = SpendChecker::default();
            let owners = 1..=u64::from(case.owners);
            let managers: Vec<_> = owners
                .map(|owner| (owner, manager(&store, owner, case.owners)))
                .collect();
            let spend = |(owner, manager)| spend(owner, manager, &checker, seed, u64::MAX, case.max_price);
            join_all(managers.iter().map(|(owner, manager)| spend((*owner, manager)))).await;
            let spent = checker.total(START).spent;
            let (owners, max_price, unused) = (case.owners, case.max_price, LIMIT - spent);
            let first = checker.free_at_first_refusal.get();
            println!(
                "{owners} owners, worst case {max_price}, seed {seed}: {unused} unused, {first:?} at first"
            );
            for (_, manager) in &managers {
                manager.close().await.expect("the object API answers in the end");
            }
            let found = report(&managers[0].1).await;
            assert_eq!(store.open_slices().await, 0, "seed {seed}");
            let sums = (found.spent.0, found.reserved.0, found.left.0);
            assert_eq!(sums, (spent, 0, unused), "seed {seed}");
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn several_successors_close_a_dead_owners_slice_once_and_settle_its_open_calls() {
    for seed in 0..SEEDS {
        let store = FaultyStore::new(seed, 20);
        let checker = SpendChecker::default();
        let dead = manager(&store, 1, 4);
        let open = spend(1, &dead, &checker, seed, 40, 3_000)
            .await
            .expect("the budget suffices");
        let held_back = LIMIT - checker.total(START).spent - checker.total(START).open;
        let successors = [2, 3, 4].map(|owner| (owner, manager(&store, owner, 4)));
        let rest = report(&successors[0].1).await.left.0;
        assert!(
            rest < held_back,
            "the slice of the dead owner counts as spent; seed {seed}"
        );

        let share = InheritedReservations {
            successor: IncarnationId(3),
            reserved: open.amount(),
        };
        let proof = ProvenSpend {
            team: team_name(),
            window_start: START,
            spent: MicroUnits(checker.tally(1, START).spent),
            open: vec![share],
        };
        let adopt = successors.iter().map(|(owner, manager)| {
            let (checker, proof, open) = (&checker, std::slice::from_ref(&proof), &open);
            async move {
                while manager.adopt_slice(IncarnationId(1), proof).await.is_err() {}
                if *owner == 3 {
                    manager.settle(open, MicroUnits(open.amount().0 / 2));
                    checker.settle(1, open, open.amount().0 / 2);
                }
                spend(*owner, manager, checker, seed, u64::MAX, 3_000).await;
            }
        });
        join_all(adopt).await;
        for (_, manager) in &successors {
            manager
                .adopt_slice(IncarnationId(1), std::slice::from_ref(&proof))
                .await
                .expect("it is closed already");
            manager.close().await.expect("the object API answers in the end");
        }
        let found = report(&successors[0].1).await;
        assert_eq!(store.open_slices().await, 0, "seed {seed}");
        let spent = checker.total(START).spent;
        assert_eq!(
            (found.spent.0, found.left.0),
            (spent, LIMIT - spent),
            "seed {seed}"
        );
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_dead_owners_slice_without_proof_counts_as_fully_spent() {
    let store = FaultyStore::new(1, 0);
    let (dead, successor) = (manager(&store, 1, 4), manager(&store, 2, 4));
    let reservation = reserve(&dead, 100).await.expect("the budget suffices");
    let before = report(&successor).await;
    expect_that!(before.reserved, ge(reservation.amount()));
    successor
        .adopt_slice(IncarnationId(1), &[])
        .await
        .expect("the object API answers");
    let after = report(&successor).await;
    assert_eq!((after.spent, after.left), (before.reserved, before.left));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn waiting_calls_share_a_slice() {
    let store = FaultyStore::new(1, 0);
    let manager = Arc::new(manager(&store, 1, 4));
    let before = store.inner.call_counts();
    let calls = (0..200).map(|_| {
        let manager = Arc::clone(&manager);
        async move { reserve(&manager, 10).await }
    });
    let reserved = join_all(calls).await;
    assert!(reserved.iter().all(Result::is_ok));
    let after = store.inner.call_counts();
    let calls = (after.0 - before.0, after.1 - before.1);
    assert_eq!(
        calls,
        (2, 2),
        "the object is found missing and created, then read and updated"
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_return_that_takes_effect_late_does_not_free_what_is_in_use() {
    let store = FaultyStore::new(1, 0);
    let (first, second) = (manager(&store, 1, 1), manager(&store, 2, 1));
    let warm = reserve(&first, 1).await.expect("the budget suffices");
    first.settle(&warm, MicroUnits(1));
    store.delay_next_write();
    first
        .flush()
        .await
        .expect_err("the return is delayed and the object API is unavailable");
    store.inner.set_faults(MemoryFaults::default());
    reserve(&first, LIMIT / 8).await.expect("the budget suffices");
    store.deliver_delayed().await;
    let rest = reserve(&second, LIMIT - LIMIT / 8).await;
    expect_that!(rest, err(anything()), "one unit is spent");
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_owner_that_was_sealed_by_mistake_loses_its_slice_at_the_next_update() {
    let store = FaultyStore::new(1, 0);
    let (paused, successor) = (manager(&store, 1, 2), manager(&store, 2, 2));
    reserve(&paused, 1).await.expect("the budget suffices");
    let proof = ProvenSpend {
        team: team_name(),
        window_start: START,
        spent: MicroUnits(1),
        open: Vec::new(),
    };
    successor
        .adopt_slice(IncarnationId(1), &[proof])
        .await
        .expect("the object API answers");
    reserve(&successor, LIMIT - 1)
        .await
        .expect("all but one unit is free");
    paused.flush().await.expect("the object API answers");
    let refusal = reserve(&paused, 1)
        .await
        .expect_err("the successor holds the remaining budget");
    expect_that!(refusal.code.number(), eq(3002));
}
