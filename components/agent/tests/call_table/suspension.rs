//! Refusal of calls while the engine's model is being unloaded.

use domain::TimeMillis;
use errors::{ResultCode, RunState};
use googletest::prelude::*;

use crate::support::{OrderKind, answered, attempt, call, order, table};

const NOW: TimeMillis = TimeMillis(1_000);

#[gtest]
fn an_idle_table_is_suspended_and_then_refuses_calls() {
    let mut table = table(1, 8);
    let first = attempt(call(1), 1, 1);
    table.dispatch(order(OrderKind::Chat, first), NOW).unwrap();
    expect_false!(table.suspend_if_idle());
    table.start_next(NOW).unwrap();
    expect_false!(table.suspend_if_idle());
    let second = attempt(call(2), 1, 1);
    expect_that!(
        table.dispatch(order(OrderKind::Chat, second), NOW),
        ok(anything())
    );
    table.finish(first, answered(OrderKind::Chat), 10, NOW);
    table.start_next(NOW).unwrap();
    table.finish(second, answered(OrderKind::Chat), 10, NOW);
    expect_true!(table.suspend_if_idle());
    let third = attempt(call(3), 1, 1);
    let refusal = table.dispatch(order(OrderKind::Chat, third), NOW).unwrap_err();
    expect_that!(
        (refusal.code, refusal.run),
        eq((ResultCode::Leaving, RunState::NotRun))
    );
    expect_true!(refusal.retry_after_ms.is_some());
    table.set_suspended(false);
    let again = attempt(call(3), 1, 2);
    expect_that!(table.dispatch(order(OrderKind::Chat, again), NOW), ok(anything()));
}
