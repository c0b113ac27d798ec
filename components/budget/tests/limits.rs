//! Windows, limits, outages and settlement.

mod support;

use std::sync::Arc;
use std::time::Duration;

use budget::BudgetObject;
use domain::{MicroUnits, TeamConfig, TimeMillis};
use errors::{CallError, RunState};
use googletest::prelude::*;
use store::{MemoryFaults, MemoryStore, ObjectStore as _};
use support::{LIMIT, OUTAGE, WINDOW_S, keeper, report, reserve, team};

const WINDOW_MS: u64 = WINDOW_S * 1_000;

fn code_and_retry(error: &CallError) -> (u16, Option<u64>) {
    (error.code.number(), error.retry_after_ms)
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn windows_turn_by_the_date_of_the_object_api_and_never_back() {
    let store = Arc::new(MemoryStore::new());
    store.set_date(TimeMillis(10 * WINDOW_MS + 5_000));
    let keeper = keeper(&store, 1, 1);
    let old = reserve(&keeper, LIMIT - 10).await.expect("the budget is fresh");
    let late = reserve(&keeper, 10).await.expect("the rest is left");
    expect_that!(old.window_start(), eq(TimeMillis(10 * WINDOW_MS)));
    let refusal = reserve(&keeper, 11).await.expect_err("all is held");
    expect_that!(
        code_and_retry(&refusal),
        eq((3002, Some(2_000))),
        "the calls may cost less"
    );
    expect_that!(refusal.run, eq(RunState::NotRun));
    keeper.settle(&old, MicroUnits(LIMIT - 10));
    tokio::time::advance(Duration::from_secs(2)).await;
    let refusal = reserve(&keeper, 11).await.expect_err("all but 10 is spent");
    expect_that!(code_and_retry(&refusal), eq((3002, Some(WINDOW_MS - 5_000))));

    tokio::time::advance(Duration::from_secs(2)).await;
    store.set_date(TimeMillis(11 * WINDOW_MS));
    let new = reserve(&keeper, LIMIT).await.expect("the window has turned");
    expect_that!(new.window_start(), eq(TimeMillis(11 * WINDOW_MS)));
    keeper.settle(&late, MicroUnits(7));
    keeper.settle(&new, MicroUnits(LIMIT));
    keeper.flush().await.expect("the object API answers");

    let read = store.read("budgets/clerks").await.expect("there is no outage");
    let object: BudgetObject = serde_json::from_slice(&read.expect("it exists").value).expect("it is JSON");
    expect_that!(
        object.windows[0].spent.0,
        eq(LIMIT - 3),
        "a late settlement goes to its window"
    );
    store.set_date(TimeMillis(10 * WINDOW_MS + 6_000));
    let found = report(&keeper).await;
    expect_that!(
        (found.window_start, found.spent.0, found.left.0),
        eq((new.window_start(), LIMIT, 0))
    );
    tokio::time::advance(Duration::from_secs(2)).await;
    let refusal = reserve(&keeper, 1).await.expect_err("the window stays");
    expect_that!(refusal.code.number(), eq(3002));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_limit_lowered_below_what_is_spent_stops_held_slices_too() {
    let store = Arc::new(MemoryStore::new());
    let keepers = [keeper(&store, 1, 2), keeper(&store, 2, 2)];
    for keeper in &keepers {
        let reservation = reserve(keeper, 1_000).await.expect("the budget suffices");
        keeper.settle(&reservation, MicroUnits(1_000));
    }
    for keeper in &keepers {
        keeper.set_teams(&[team(1_500)], 2);
        let refusal = reserve(keeper, 1).await.expect_err("2,000 are spent");
        expect_that!(refusal.code.number(), eq(3002));
    }
    for keeper in &keepers {
        keeper.set_teams(&[team(2_100)], 2);
    }
    let raised = reserve(&keepers[0], 60).await;
    expect_that!(
        raised,
        ok(anything()),
        "what the lowered limit took away is free again"
    );
    let refusal = reserve(&keepers[1], 60).await.expect_err("40 are left");
    expect_that!(refusal.code.number(), eq(3002));
    let none: [TeamConfig; 0] = [];
    keepers[0].set_teams(&none, 2);
    expect_that!(reserve(&keepers[0], 1).await, err(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_outage_leaves_held_slices_in_use_and_causes_no_storm() {
    let store = Arc::new(MemoryStore::new());
    let keeper = keeper(&store, 1, 4);
    reserve(&keeper, 1).await.expect("the budget suffices");
    let held = report(&keeper).await.reserved.0;
    store.set_faults(OUTAGE);
    let (reads, _) = store.call_counts();
    expect_that!(reserve(&keeper, held - 1).await, ok(anything()));
    for _ in 0..10_000 {
        let refusal = reserve(&keeper, 1).await.expect_err("the slice is used up");
        expect_that!(code_and_retry(&refusal), (eq(3012), some(all!(ge(250), le(500)))));
        tokio::time::advance(Duration::from_millis(1)).await;
    }
    let calls = store.call_counts().0 - reads;
    expect_that!(calls, le(10_000 / 250 + 1));
    store.set_faults(MemoryFaults::default());
    tokio::time::advance(Duration::from_millis(500)).await;
    expect_that!(reserve(&keeper, 1).await, ok(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_exhausted_budget_is_looked_at_once_a_second() {
    let store = Arc::new(MemoryStore::new());
    let keeper = keeper(&store, 1, 4);
    let refusal = reserve(&keeper, LIMIT + 1).await.expect_err("it is too dear");
    expect_that!(
        code_and_retry(&refusal),
        eq((3002, None)),
        "no later window helps"
    );
    let (reads, _) = store.call_counts();
    for _ in 0..1_000 {
        expect_that!(reserve(&keeper, LIMIT + 1).await, err(anything()));
    }
    expect_that!(store.call_counts().0, eq(reads));
    expect_that!(reserve(&keeper, LIMIT).await, ok(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn settles_exactly_reports_an_excess_and_returns_idle_slices() {
    let store = Arc::new(MemoryStore::new());
    let (first, second) = (keeper(&store, 1, 2), keeper(&store, 2, 2));
    let reservation = reserve(&first, 1_000).await.expect("the budget suffices");
    first.settle(&reservation, MicroUnits(1_200));
    first.flush().await.expect("the object API answers");
    first.flush().await.expect("the object API answers");
    let found = report(&first).await;
    let parts = (found.spent.0, found.excess.0, found.reserved.0, found.left.0);
    expect_that!(parts, eq((1_200, 200, 0, LIMIT - 1_200)));
    let rest = reserve(&second, LIMIT - 1_200).await;
    expect_that!(rest, ok(anything()), "idle slices come back");
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_busy_owner_writes_a_few_times_for_each_slice() {
    let store = Arc::new(MemoryStore::new());
    let keeper = keeper(&store, 1, 1);
    for _ in 0..1_000 {
        let reservation = reserve(&keeper, 100).await.expect("the budget suffices");
        keeper.settle(&reservation, MicroUnits(100));
        keeper.flush().await.expect("the object API answers");
    }
    let (_, writes) = store.call_counts();
    expect_that!(writes, lt(100), "less than one write for ten calls");
}
