//! Histories of one call from a table of steps, and single cases of refusal.

use agent::{CallLimits, CallTable};
use domain::{AttemptKey, CallOutcome, TenureNumber, TimeMillis};
use errors::{CallError, ResultCode, RunState};
use googletest::prelude::*;
use wire::{PortResult, SettledCall};

use crate::support::OrderKind::{self, Chat, Once, Repeatable};
use crate::support::{START, answered, attempt, call, order, order_at, program, started_key, table};

/// Sections of a name and lines with a kind and steps.
///
/// A step has a word, its arguments and, after `=`, its expected result.
const HISTORIES: &str = include_str!("fixtures/calls.txt");

struct CaseRunner {
    table: CallTable,
    now: u64,
    running: Option<AttemptKey>,
}

fn show_error(error: &CallError) -> String {
    let run = match error.run {
        RunState::NotRun => "not-run",
        RunState::OutcomeUnknown => "outcome-unknown",
        RunState::Ran => "ran",
    };
    format!("{} {run}", error.code.number())
}

fn show_attempt(attempt: AttemptKey) -> String {
    format!("{}.{}", attempt.tenure, attempt.attempt)
}

fn show_settled(settled: PortResult<SettledCall>) -> String {
    match settled {
        Ok(SettledCall::Running(attempt)) => format!("running {}", show_attempt(attempt)),
        Ok(SettledCall::Finished(CallOutcome::Answered(_))) => "answered".to_owned(),
        Ok(SettledCall::Refused) => "refused".to_owned(),
        Ok(SettledCall::Unknown) => "unknown".to_owned(),
        Ok(SettledCall::Finished(CallOutcome::Failed(error))) | Err(error) => show_error(&error),
    }
}

fn parse_attempt(text: &str) -> AttemptKey {
    let (tenure, number) = text.split_once('.').expect("TENURE.ATTEMPT");
    attempt(
        call(1),
        tenure.parse().expect("a number"),
        number.parse().expect("a number"),
    )
}

impl CaseRunner {
    /// Runs a step and returns its result, empty for a step without one.
    fn step(&mut self, kind: OrderKind, step: &str) -> String {
        let now = TimeMillis(self.now);
        let (word, argument) = step.split_once(' ').unwrap_or((step, ""));
        let number = || argument.parse().expect("a number");
        match word {
            "dispatch" => {
                let receipt = self.table.dispatch(order(kind, parse_attempt(argument)), now);
                return receipt.map_or_else(|error| show_error(&error), |_| "taken".to_owned());
            }
            "read" => {
                return match self
                    .table
                    .output(parse_attempt(argument))
                    .map(|output| output.outcome())
                {
                    Ok(None) => "open".to_owned(),
                    Ok(Some(CallOutcome::Answered(_))) => "answered".to_owned(),
                    Ok(Some(CallOutcome::Failed(error))) | Err(error) => show_error(&error),
                };
            }
            "start" => {
                let started = started_key(self.table.start_next(now));
                self.running = started.or(self.running);
                return started.map_or("none".to_owned(), show_attempt);
            }
            "settle" => return show_settled(self.table.settle(call(1), TenureNumber(number()), START, now)),
            "answer" | "fail" => {
                let failed = CallOutcome::Failed(CallError::ran(ResultCode::BackendFailed, "status 500"));
                let outcome = if word == "answer" { answered(kind) } else { failed };
                let ended = self.running.take().expect("a running attempt");
                self.table.finish(ended, outcome, 10, now);
            }
            "cancel" => self
                .table
                .cancel(call(1), TenureNumber(number()), now)
                .expect("cancelled"),
            "release" => self
                .table
                .release(program(1), TenureNumber(number()), now)
                .expect("released"),
            "leave" => self.table.leave(now),
            "age" => {
                self.now += number() * 1_000;
                self.table.drop_old(TimeMillis(self.now));
            }
            _ => panic!("no such step: {step}"),
        }
        String::new()
    }
}

#[gtest]
fn each_history_of_a_call_has_the_stated_results() {
    let mut runner = None;
    for line in HISTORIES.lines() {
        let Some((kind, steps)) = line.split_once(": ").filter(|_| !line.starts_with('#')) else {
            runner = None;
            continue;
        };
        let kind = match kind {
            "chat" => Chat,
            "repeatable" => Repeatable,
            _ => Once,
        };
        let runner = runner.get_or_insert_with(|| CaseRunner {
            table: table(2, 2),
            now: 1_000,
            running: None,
        });
        for step in steps.split(", ") {
            let (action, expected) = step.split_once(" = ").unwrap_or((step, ""));
            expect_that!(runner.step(kind, action), eq(expected), "{line}\n{step}");
        }
    }
}

#[gtest]
fn a_call_of_an_earlier_start_is_settled_as_unknown() {
    let mut table = table(1, 1);
    let settled = table.settle(call(1), TenureNumber(1), START + 1, TimeMillis(1));
    expect_that!(settled, ok(eq(&SettledCall::Unknown)));
}

#[gtest]
fn a_call_that_may_not_be_repeated_is_refused_after_a_restart_of_the_agent() {
    let limits = CallLimits {
        concurrency: 1,
        queue_length: 1,
    };
    let mut table = CallTable::new(START + 1, limits);
    let now = TimeMillis(1_000);
    let refused = table
        .dispatch(order(Once, attempt(call(1), 1, 1)), now)
        .expect_err("another start");
    expect_that!((refused.code.number(), refused.run), eq((3017, RunState::NotRun)));
    let repeatable = table.dispatch(order(Repeatable, attempt(call(2), 1, 1)), now);
    expect_that!(repeatable, ok(anything()));
}

#[gtest]
fn an_attempt_refused_by_a_full_queue_never_starts_later() {
    let mut table = table(1, 1);
    let now = TimeMillis(1_000);
    let dispatch =
        |table: &mut CallTable, sequence| table.dispatch(order(Once, attempt(call(sequence), 1, 1)), now);
    expect_that!(dispatch(&mut table, 1), ok(anything()));
    expect_that!(table.start_next(now), some(anything()));
    expect_that!(dispatch(&mut table, 2), ok(anything()));
    let refused = dispatch(&mut table, 3).expect_err("full");
    expect_that!((refused.code.number(), refused.run), eq((3001, RunState::NotRun)));
    expect_that!(refused.retry_after_ms, some(gt(0)));
    table.finish(attempt(call(1), 1, 1), answered(Once), 400, now);
    // The refusal is final for the attempt: a late duplicate of the dispatch must not start.
    expect_that!(
        dispatch(&mut table, 3).map_err(|error| error.run),
        err(eq(RunState::NotRun))
    );
    let later = table.dispatch(order(Once, attempt(call(3), 1, 2)), now);
    expect_that!(later, ok(anything()));
}

#[gtest]
fn a_call_past_its_deadline_to_start_is_refused_before_and_in_the_queue() {
    let mut table = table(1, 4);
    let dispatch = |table: &mut CallTable, sequence, now| {
        table.dispatch(
            order_at(Once, attempt(call(sequence), 1, 1), 0, Some(500)),
            TimeMillis(now),
        )
    };
    expect_that!(dispatch(&mut table, 1, 100), ok(anything()));
    expect_that!(table.start_next(TimeMillis(100)), some(anything()));
    expect_that!(dispatch(&mut table, 2, 100), ok(anything()));
    table.expire_waiting(TimeMillis(501));
    let outcome = table.output(attempt(call(2), 1, 1)).expect("known").outcome();
    let expired = |outcome| matches!(outcome, Some(CallOutcome::Failed(error)) if error == expired_error());
    expect_that!(expired(outcome), eq(true));
    expect_that!(
        dispatch(&mut table, 3, 501).map_err(|error| error.code.number()),
        err(eq(3014))
    );
}

fn expired_error() -> CallError {
    CallError::not_run(
        ResultCode::DeadlinePassed,
        "the time to start the call has passed",
    )
}
