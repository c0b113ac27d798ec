//! Many owners that spend one small budget at once.

mod support;

use std::sync::Arc;

use budget::{InheritedReservations, ProvenSpend};
use domain::{IncarnationId, MicroUnits, TimeMillis};
use futures::future::join_all;
use googletest::prelude::*;
use store::MemoryFaults;
use support::{FaultyStore, LIMIT, SpendJudge, keeper, report, reserve, spend, team_name};

const SEEDS: u64 = 12;
const START: TimeMillis = TimeMillis(0);

struct CrowdCase {
    owners: u32,
    dearest: u64,
    seeds: u64,
}

const fn case(owners: u32, dearest: u64, seeds: u64) -> CrowdCase {
    CrowdCase {
        owners,
        dearest,
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
            let judge = SpendJudge::default();
            let owners = 1..=u64::from(case.owners);
            let keepers: Vec<_> = owners
                .map(|owner| (owner, keeper(&store, owner, case.owners)))
                .collect();
            let spend = |(owner, keeper)| spend(owner, keeper, &judge, seed, u64::MAX, case.dearest);
            join_all(keepers.iter().map(|(owner, keeper)| spend((*owner, keeper)))).await;
            let spent = judge.total(START).spent;
            let (owners, dearest, unused) = (case.owners, case.dearest, LIMIT - spent);
            let first = judge.free_at_first_refusal.get();
            println!(
                "{owners} owners, worst case {dearest}, seed {seed}: {unused} unused, {first:?} at first"
            );
            for (_, keeper) in &keepers {
                keeper.close().await.expect("the object API answers in the end");
            }
            let found = report(&keepers[0].1).await;
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
        let judge = SpendJudge::default();
        let dead = keeper(&store, 1, 4);
        let open = spend(1, &dead, &judge, seed, 40, 3_000)
            .await
            .expect("the budget suffices");
        let held_back = LIMIT - judge.total(START).spent - judge.total(START).open;
        let successors = [2, 3, 4].map(|owner| (owner, keeper(&store, owner, 4)));
        let rest = report(&successors[0].1).await.left.0;
        assert!(
            rest < held_back,
            "the slice of the dead counts as spent; seed {seed}"
        );

        let share = InheritedReservations {
            successor: IncarnationId(3),
            reserved: open.amount(),
        };
        let proof = ProvenSpend {
            team: team_name(),
            window_start: START,
            spent: MicroUnits(judge.tally(1, START).spent),
            open: vec![share],
        };
        let adopt = successors.iter().map(|(owner, keeper)| {
            let (judge, proof, open) = (&judge, std::slice::from_ref(&proof), &open);
            async move {
                while keeper.adopt_slice(IncarnationId(1), proof).await.is_err() {}
                if *owner == 3 {
                    keeper.settle(open, MicroUnits(open.amount().0 / 2));
                    judge.settle(1, open, open.amount().0 / 2);
                }
                spend(*owner, keeper, judge, seed, u64::MAX, 3_000).await;
            }
        });
        join_all(adopt).await;
        for (_, keeper) in &successors {
            keeper
                .adopt_slice(IncarnationId(1), std::slice::from_ref(&proof))
                .await
                .expect("it is closed already");
            keeper.close().await.expect("the object API answers in the end");
        }
        let found = report(&successors[0].1).await;
        assert_eq!(store.open_slices().await, 0, "seed {seed}");
        let spent = judge.total(START).spent;
        assert_eq!(
            (found.spent.0, found.left.0),
            (spent, LIMIT - spent),
            "seed {seed}"
        );
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_dead_owners_slice_without_proof_counts_as_spent_whole() {
    let store = FaultyStore::new(1, 0);
    let (dead, successor) = (keeper(&store, 1, 4), keeper(&store, 2, 4));
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
    let keeper = Arc::new(keeper(&store, 1, 4));
    let before = store.inner.call_counts();
    let calls = (0..200).map(|_| {
        let keeper = Arc::clone(&keeper);
        async move { reserve(&keeper, 10).await }
    });
    let reserved = join_all(calls).await;
    assert!(reserved.iter().all(Result::is_ok));
    let after = store.inner.call_counts();
    let calls = (after.0 - before.0, after.1 - before.1);
    assert_eq!(
        calls,
        (2, 2),
        "the object is missed and made, then read and changed"
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_return_that_takes_effect_late_does_not_free_what_is_in_use() {
    let store = FaultyStore::new(1, 0);
    let (first, second) = (keeper(&store, 1, 1), keeper(&store, 2, 1));
    let warm = reserve(&first, 1).await.expect("the budget suffices");
    first.settle(&warm, MicroUnits(1));
    store.hold_next_write();
    first
        .flush()
        .await
        .expect_err("the return is held and the object API is down");
    store.inner.set_faults(MemoryFaults::default());
    reserve(&first, LIMIT / 8).await.expect("the budget suffices");
    store.deliver_late().await;
    let rest = reserve(&second, LIMIT - LIMIT / 8).await;
    expect_that!(rest, err(anything()), "one unit is spent");
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_owner_that_was_sealed_by_mistake_loses_its_slice_at_the_next_look() {
    let store = FaultyStore::new(1, 0);
    let (paused, successor) = (keeper(&store, 1, 2), keeper(&store, 2, 2));
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
        .expect_err("the successor holds the rest");
    expect_that!(refusal.code.number(), eq(3002));
}
