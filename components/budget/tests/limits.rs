//! Tests of windows, limits, outages and settlement.

mod support;

use std::sync::Arc;
use std::time::Duration;

use budget::BudgetObject;
use domain::{MicroUnits, TeamConfig, TimeMillis};
use errors::{CallError, RunState};
use googletest::prelude::*;
use store::{MemoryFaults, MemoryStore, ObjectStore as _};
use support::{LIMIT, OUTAGE, WINDOW_S, manager, report, reserve, team};

const WINDOW_MS: u64 = WINDOW_S * 1_000;

fn code_and_retry(error: &CallError) -> (u16, Option<u64>) {
    (error.code.number(), error.retry_after_ms)
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn windows_advance_by_the_date_of_the_object_api_and_never_move_back() {
    let store = Arc::new(MemoryStore::new());
    store.set_date(TimeMillis(10 * WINDOW_MS + 5_000));
    let manager = manager(&store, 1, 1);
    let old = reserve(&manager, LIMIT - 10).await.expect("the budget is fresh");
    let late = reserve(&manager, 10).await.expect("10 micro-units are left");
    expect_that!(old.window_start(), eq(TimeMillis(10 * WINDOW_MS)));
    let refusal = reserve(&manager, 11)
        .await
        .expect_err("the whole limit is reserved");
    expect_that!(
        code_and_retry(&refusal),
        eq((3002, Some(2_000))),
        "running calls may cost less than they reserved"
    );
    expect_that!(refusal.run, eq(RunState::NotRun));
    manager.settle(&old, MicroUnits(LIMIT - 10));
    tokio::time::advance(Duration::from_secs(2)).await;
    let refusal = reserve(&manager, 11).await.expect_err("all but 10 is spent");
    expect_that!(code_and_retry(&refusal), eq((3002, Some(WINDOW_MS - 5_000))));

    tokio::time::advance(Duration::from_secs(2)).await;
    store.set_date(TimeMillis(11 * WINDOW_MS));
    let new = reserve(&manager, LIMIT).await.expect("a new window has started");
    expect_that!(new.window_start(), eq(TimeMillis(11 * WINDOW_MS)));
    manager.settle(&late, MicroUnits(7));
    manager.settle(&new, MicroUnits(LIMIT));
    manager.flush().await.expect("the object API answers");

    let read = store.read("budgets/clerks").await.expect("there is no outage");
    let object: BudgetObject = serde_json::from_slice(&read.expect("it exists").value).expect("it is JSON");
    expect_that!(
        object.windows[0].spent.0,
        eq(LIMIT - 3),
        "a late settlement is charged to its own window"
    );
    store.set_date(TimeMillis(10 * WINDOW_MS + 6_000));
    let found = report(&manager).await;
    expect_that!(
        (found.window_start, found.spent.0, found.left.0),
        eq((new.window_start(), LIMIT, 0))
    );
    tokio::time::advance(Duration::from_secs(2)).await;
    let refusal = reserve(&manager, 1)
        .await
        .expect_err("the later window stays in force");
    expect_that!(refusal.code.number(), eq(3002));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_limit_lowered_below_what_is_spent_stops_held_slices_too() {
    let store = Arc::new(MemoryStore::new());
    let managers = [manager(&store, 1, 2), manager(&store, 2, 2)];
    for manager in &managers {
        let reservation = reserve(manager, 1_000).await.expect("the budget suffices");
        manager.settle(&reservation, MicroUnits(1_000));
    }
    for manager in &managers {
        manager.set_teams(&[team(1_500)], 2);
        let refusal = reserve(manager, 1).await.expect_err("2,000 are spent");
        expect_that!(refusal.code.number(), eq(3002));
    }
    for manager in &managers {
        manager.set_teams(&[team(2_100)], 2);
    }
    let raised = reserve(&managers[0], 60).await;
    expect_that!(
        raised,
        ok(anything()),
        "amounts withdrawn by the lowered limit are available again"
    );
    let refusal = reserve(&managers[1], 60).await.expect_err("40 are left");
    expect_that!(refusal.code.number(), eq(3002));
    let none: [TeamConfig; 0] = [];
    managers[0].set_teams(&none, 2);
    expect_that!(reserve(&managers[0], 1).await, err(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_outage_leaves_held_slices_in_use_and_causes_no_retry_storm() {
    let store = Arc::new(MemoryStore::new());
    let manager = manager(&store, 1, 4);
    reserve(&manager, 1).await.expect("the budget suffices");
    let held = report(&manager).await.reserved.0;
    store.set_faults(OUTAGE);
    let (reads, _) = store.call_counts();
    expect_that!(reserve(&manager, held - 1).await, ok(anything()));
    for _ in 0..10_000 {
        let refusal = reserve(&manager, 1).await.expect_err("the slice is used up");
        expect_that!(code_and_retry(&refusal), (eq(3012), some(all!(ge(250), le(500)))));
        tokio::time::advance(Duration::from_millis(1)).await;
    }
    let calls = store.call_counts().0 - reads;
    expect_that!(calls, le(10_000 / 250 + 1));
    store.set_faults(MemoryFaults::default());
    tokio::time::advance(Duration::from_millis(500)).await;
    expect_that!(reserve(&manager, 1).await, ok(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_exhausted_budget_is_read_at_most_once_a_second() {
    let store = Arc::new(MemoryStore::new());
    let manager = manager(&store, 1, 4);
    let refusal = reserve(&manager, LIMIT + 1)
        .await
        .expect_err("the price exceeds the limit");
    expect_that!(
        code_and_retry(&refusal),
        eq((3002, None)),
        "the price fits in no later window"
    );
    let (reads, _) = store.call_counts();
    for _ in 0..1_000 {
        expect_that!(reserve(&manager, LIMIT + 1).await, err(anything()));
    }
    expect_that!(store.call_counts().0, eq(reads));
    expect_that!(reserve(&manager, LIMIT).await, ok(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn settles_exactly_reports_an_excess_and_returns_idle_slices() {
    let store = Arc::new(MemoryStore::new());
    let (first, second) = (manager(&store, 1, 2), manager(&store, 2, 2));
    let reservation = reserve(&first, 1_000).await.expect("the budget suffices");
    first.settle(&reservation, MicroUnits(1_200));
    first.flush().await.expect("the object API answers");
    first.flush().await.expect("the object API answers");
    let found = report(&first).await;
    let parts = (found.spent.0, found.excess.0, found.reserved.0, found.left.0);
    expect_that!(parts, eq((1_200, 200, 0, LIMIT - 1_200)));
    let rest = reserve(&second, LIMIT - 1_200).await;
    expect_that!(rest, ok(anything()), "idle slices were returned");
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_busy_owner_writes_a_few_times_for_each_slice() {
    let store = Arc::new(MemoryStore::new());
    let manager = manager(&store, 1, 1);
    for _ in 0..1_000 {
        let reservation = reserve(&manager, 100).await.expect("the budget suffices");
        manager.settle(&reservation, MicroUnits(100));
        manager.flush().await.expect("the object API answers");
    }
    let (_, writes) = store.call_counts();
    expect_that!(writes, lt(100), "less than one write for ten calls");
}
