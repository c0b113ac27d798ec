//! Tests of the program table: fences, cache states and queries.

use agent::{CacheState, IdleQuery, ProgramTable};
use domain::{TenureNumber, TimeMillis};
use googletest::prelude::*;

use crate::support::program;

fn at(time: u64) -> TimeMillis {
    TimeMillis(time)
}

fn idle(table: &mut ProgramTable, latest_use: u64, latest_query: u64, limit: usize) -> Vec<u64> {
    let query = IdleQuery {
        latest_use: at(latest_use),
        latest_cached_query: at(latest_query),
        latest_empty_query: at(0),
        limit,
    };
    let idle = table.take_idle(query, at(latest_use + 100));
    idle.into_iter().map(|(program, _)| program.sequence).collect()
}

#[gtest]
fn a_smaller_tenure_is_refused_until_the_program_is_dropped() {
    let mut table = ProgramTable::new();
    expect_that!(table.fence(program(1), TenureNumber(2), at(1)), ok(anything()));
    expect_that!(
        table.fence(program(1), TenureNumber(1), at(2)),
        err(eq(TenureNumber(2)))
    );
    expect_that!(table.fence(program(1), TenureNumber(3), at(3)), ok(anything()));
    table.release(program(1), at(4));
    expect_that!(table.drop_ended(at(4)), is_empty());
    expect_that!(table.is_released(program(1)), eq(true));
    expect_that!(table.drop_ended(at(5)), eq(&vec![program(1)]));
    expect_that!(table.may_have_been_dropped(program(1)), eq(true));
    expect_that!(table.may_have_been_dropped(program(2)), eq(false));
}

#[gtest]
fn the_cache_of_an_ended_program_is_released_also_when_the_engine_reports_it_again() {
    let mut table = ProgramTable::new();
    table.touch_cached(program(1), at(1));
    table.touch_cached(program(2), at(1));
    table.release(program(1), at(2));
    expect_that!(table.pending_releases(), eq(&[program(1)]));
    expect_that!(table.drop_ended(at(9)), is_empty());
    table.confirm_release(program(1));
    expect_that!(table.pending_releases(), is_empty());
    table.mark_cached(program(1));
    expect_that!(table.pending_releases(), eq(&[program(1)]));
    expect_that!(table.cache_state(program(2)), eq(CacheState::Cached));
}

#[gtest]
fn cache_states_are_reconciled_with_a_listing() {
    let mut table = ProgramTable::new();
    table.touch_cached(program(1), at(10));
    table.touch_cached(program(2), at(30));
    table.touch_cached(program(3), at(10));
    table.release(program(3), at(11));
    table.reconcile_listing(&[program(4)], at(20));
    let holds = [1, 2, 3, 4].map(|sequence| table.cache_state(program(sequence)));
    expect_that!(
        holds,
        eq([
            CacheState::Empty,
            CacheState::Cached,
            CacheState::Empty,
            CacheState::Cached
        ])
    );
    expect_that!(idle(&mut table, 15, 0, 1), eq(&vec![4]));
}

#[gtest]
fn idle_programs_are_queried_once_per_interval() {
    let mut table = ProgramTable::new();
    for (sequence, used_at) in [(1, 50), (2, 10), (3, 20)] {
        table.touch_cached(program(sequence), at(used_at));
    }
    table
        .fence(program(4), TenureNumber(1), at(1))
        .expect("a first tenure");
    expect_that!(idle(&mut table, 20, 0, 9), eq(&vec![2, 3, 4]));
    expect_that!(idle(&mut table, 20, 0, 9), is_empty());
    expect_that!(
        idle(&mut table, 50, 120, 9),
        unordered_elements_are![eq(&1), eq(&2), eq(&3)]
    );
    table.release(program(2), at(60));
    expect_that!(
        idle(&mut table, 200, 199, 9),
        unordered_elements_are![eq(&1), eq(&3)]
    );
}

#[gtest]
fn the_cache_of_a_program_reported_ended_is_released_and_kept_after_a_later_use() {
    let mut table = ProgramTable::new();
    table.touch_cached(program(1), at(10));
    table.mark_reported_ended(program(1));
    expect_that!(table.pending_releases(), eq(&[program(1)]));
    table.confirm_release(program(1));
    expect_that!(idle(&mut table, 20, 20, 9), is_empty());
    expect_that!(table.is_released(program(1)), eq(false));
    expect_that!(table.fence(program(1), TenureNumber(1), at(30)), ok(anything()));
    expect_that!(table.drop_ended(at(31)), is_empty());
    table.touch_cached(program(1), at(30));
    expect_that!(table.pending_releases(), is_empty());
    expect_that!(idle(&mut table, 40, 40, 9), eq(&vec![1]));
    table.mark_reported_ended(program(1));
    table.confirm_release(program(1));
    expect_that!(table.drop_ended(at(31)), eq(&vec![program(1)]));
}
