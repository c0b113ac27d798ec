//! Random histories of several calls, checked against a simple model of what the callers have observed.

use std::collections::HashMap;

use agent::CallTable;
use domain::{AttemptKey, CallKey, CallOutcome, TenureNumber, TimeMillis};
use errors::{CallError, ResultCode, RunState};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use wire::SettledCall;

use crate::support::{OrderKind, START, answered, attempt, order_at, program, table};

const SEED: u64 = 20_261_203;
const HISTORIES: u64 = 400;
const STEPS: u64 = 300;

/// Record of the starts and refusals that the table has reported.
#[derive(Default)]
struct CallModel {
    runs: HashMap<CallKey, u32>,
    /// Attempts that were refused with the run state `NotRun`; none of them may start.
    not_run: Vec<AttemptKey>,
    /// Calls that were settled as not run; no attempt at them may start.
    barred: Vec<CallKey>,
    running: Vec<AttemptKey>,
}

fn kind_of(call: CallKey) -> OrderKind {
    match call.sequence % 3 {
        0 => OrderKind::Chat,
        1 => OrderKind::Repeatable,
        _ => OrderKind::Once,
    }
}

impl CallModel {
    fn record_start(&mut self, started: AttemptKey) {
        assert!(
            !self.not_run.contains(&started),
            "{started} started after a refusal"
        );
        assert!(
            !self.barred.contains(&started.call),
            "{started} started after the call was settled as not run"
        );
        let same_call = self.running.iter().any(|other| other.call == started.call);
        assert!(!same_call, "two attempts at {} run at a time", started.call);
        let runs = self.runs.entry(started.call).or_default();
        *runs += 1;
        assert!(
            kind_of(started.call) != OrderKind::Once || *runs == 1,
            "{started} ran twice"
        );
        self.running.push(started);
    }

    fn record_failure(&mut self, attempt: AttemptKey, error: &CallError) {
        if error.run == RunState::NotRun {
            let ran = self.runs.get(&attempt.call).is_some_and(|runs| *runs > 0);
            assert!(
                !ran || kind_of(attempt.call) != OrderKind::Once,
                "{attempt} ran and was reported as not run"
            );
            self.not_run.push(attempt);
        }
    }
}

fn step(table: &mut CallTable, model: &mut CallModel, rng: &mut StdRng, now: TimeMillis) {
    let call = CallKey {
        program: program(rng.random_range(1..=2)),
        sequence: rng.random_range(1..=6),
    };
    let tenure = TenureNumber(rng.random_range(1..=2));
    let tried = attempt(call, tenure.0, rng.random_range(1..=3));
    match rng.random_range(0..100) {
        0..35 => {
            let start_before = rng.random_bool(0.2).then_some(now.0 + rng.random_range(0..40));
            let order = order_at(kind_of(call), tried, rng.random_range(0..3), start_before);
            if let Err(error) = table.dispatch(order, now) {
                model.record_failure(tried, &error);
            }
        }
        35..60 => {
            while let Some(started) = table.start_next(now) {
                model.record_start(started.order.attempt());
            }
        }
        60..75 if !model.running.is_empty() => {
            let ended = model
                .running
                .swap_remove(rng.random_range(0..model.running.len()));
            let failed = CallOutcome::Failed(CallError::ran(ResultCode::BackendFailed, "status 500"));
            let outcome = if rng.random_bool(0.5) {
                answered(kind_of(ended.call))
            } else {
                failed
            };
            table.finish(ended, outcome, 10, now);
        }
        75..85 => match table.settle(call, tenure, START, now) {
            Ok(SettledCall::Refused) => {
                assert!(
                    !model.runs.contains_key(&call),
                    "{call} ran and was settled as refused"
                );
                model.barred.push(call);
            }
            Ok(SettledCall::Finished(CallOutcome::Failed(error))) if error.run == RunState::NotRun => {
                model.barred.push(call);
            }
            _ => {}
        },
        85..92 => drop(table.cancel(call, tenure, now)),
        92..94 => drop(table.release(call.program, tenure, now)),
        94..97 => table.drop_old(TimeMillis(now.0 + 7_200_000)),
        97..98 => table.leave(now),
        _ => table.cancel_leave(),
    }
}

#[gtest]
fn no_history_starts_a_call_twice_or_after_a_refusal() {
    println!("seed {SEED}");
    let mut starts = 0;
    let mut refusals = 0;
    for history in 0..HISTORIES {
        let mut rng = StdRng::seed_from_u64(SEED + history);
        let mut table = table(2, 3);
        let mut model = CallModel::default();
        for now in 0..STEPS {
            step(&mut table, &mut model, &mut rng, TimeMillis(1_000 + now));
            assert!(usize::try_from(table.running()).is_ok_and(|running| running == model.running.len()));
        }
        starts += model.runs.values().sum::<u32>();
        refusals += model.not_run.len() + model.barred.len();
    }
    // The histories must contain enough starts and refusals to check the guarantees.
    expect_that!(starts, gt(1_000));
    expect_that!(refusals, gt(1_000));
}
