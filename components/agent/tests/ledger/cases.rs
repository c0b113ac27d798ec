//! Histories of one call, step by step.

use agent::{CallLedger, LedgerLimits};
use domain::{CallOutcome, TenureNumber, TimeMillis};
use errors::{CallError, ResultCode, RunState};
use googletest::prelude::*;
use wire::SettledCall;

use crate::support::OrderKind::{self, Chat, Once, Repeatable};
use crate::support::{START, answered, attempt, call, ledger, order, order_at, program, started_key};

/// One step and what is expected of it.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Dispatch of an attempt with a tenure: accepted, or the code and whether the call ran.
    Dispatch(u64, u64, std::result::Result<(), (u16, RunState)>),
    /// Start of the next call: the tenure and attempt that start.
    Start(Option<(u64, u64)>),
    /// End of the running attempt.
    Finish(bool),
    /// Settlement by a tenure.
    Settle(u64, &'static str),
    Cancel(u64),
    Release(u64),
    Leave,
    /// Passing of time, and the dropping of old rows.
    Age(u64),
}

use Step::{Age, Cancel, Dispatch, Finish, Leave, Release, Settle, Start};

struct LedgerCase {
    name: &'static str,
    kind: OrderKind,
    steps: &'static [Step],
}

struct Play {
    ledger: CallLedger,
    now: u64,
    running: Option<(u64, u64)>,
    kind: OrderKind,
}

fn settled_word(settled: errors_result::Settled) -> String {
    match settled {
        Ok(SettledCall::Running(attempt)) => format!("running {}.{}", attempt.tenure, attempt.attempt),
        Ok(SettledCall::Finished(CallOutcome::Answered(_))) => "answered".to_owned(),
        Ok(SettledCall::Finished(CallOutcome::Failed(error))) => format!("failed {}", error.code.number()),
        Ok(SettledCall::Refused) => "refused".to_owned(),
        Ok(SettledCall::Unknown) => "unknown".to_owned(),
        Err(error) => format!("error {}", error.code.number()),
    }
}

mod errors_result {
    pub type Settled = std::result::Result<wire::SettledCall, errors::CallError>;
}

impl Play {
    fn step(&mut self, step: Step, name: &str) {
        let now = TimeMillis(self.now);
        match step {
            Dispatch(tenure, number, expected) => {
                let order = order(self.kind, attempt(call(1), tenure, number));
                let receipt = self.ledger.dispatch(order, now);
                let result = receipt
                    .map(|_| ())
                    .map_err(|error| (error.code.number(), error.run));
                expect_that!(result, eq(expected), "{name}: {step:?}");
            }
            Start(expected) => {
                let started = started_key(self.ledger.start_next(now));
                let started = started.map(|started| (started.tenure.0, started.attempt.0));
                expect_that!(started, eq(expected), "{name}: {step:?}");
                self.running = started.or(self.running);
            }
            Finish(well) => {
                let (tenure, number) = self.running.take().expect("a running attempt");
                let failed = || CallOutcome::Failed(CallError::ran(ResultCode::BackendFailed, "status 500"));
                let outcome = if well { answered(self.kind) } else { failed() };
                self.ledger
                    .finish(attempt(call(1), tenure, number), outcome, 10, now);
            }
            Settle(tenure, expected) => {
                let settled = self.ledger.settle(call(1), TenureNumber(tenure), START, now);
                expect_that!(settled_word(settled), eq(expected), "{name}: {step:?}");
            }
            Cancel(tenure) => self
                .ledger
                .cancel(call(1), TenureNumber(tenure), now)
                .expect("cancelled"),
            Release(tenure) => self
                .ledger
                .release(program(1), TenureNumber(tenure), now)
                .expect("released"),
            Leave => self.ledger.leave(now),
            Age(seconds) => {
                self.now += seconds * 1_000;
                self.ledger.drop_old(TimeMillis(self.now));
            }
        }
    }
}

const REFUSED: std::result::Result<(), (u16, RunState)> = Err((3016, RunState::NotRun));
const UNKNOWN_TENURE: std::result::Result<(), (u16, RunState)> = Err((3015, RunState::OutcomeUnknown));
const FORGOTTEN: std::result::Result<(), (u16, RunState)> = Err((4001, RunState::OutcomeUnknown));

const CASES: &[LedgerCase] = &[
    LedgerCase {
        name: "a repeated dispatch changes nothing",
        kind: Once,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Dispatch(1, 1, Ok(())),
            Start(Some((1, 1))),
            Dispatch(1, 1, Ok(())),
            Start(None),
            Finish(true),
            Dispatch(1, 1, Ok(())),
            Start(None),
            Settle(1, "answered"),
        ],
    },
    LedgerCase {
        name: "a second attempt attaches to the one run",
        kind: Once,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Start(Some((1, 1))),
            Dispatch(2, 2, Ok(())),
            Start(None),
            Settle(2, "running 2.2"),
            Finish(false),
            Dispatch(2, 3, Ok(())),
            Start(None),
            Settle(2, "failed 4003"),
        ],
    },
    LedgerCase {
        name: "a settled call never starts",
        kind: Once,
        steps: &[
            Settle(1, "refused"),
            Dispatch(1, 1, REFUSED),
            Dispatch(2, 2, REFUSED),
            Start(None),
            Settle(1, "error 3015"),
            Settle(2, "refused"),
        ],
    },
    LedgerCase {
        name: "a settled call never starts, also much later",
        kind: Once,
        steps: &[
            Settle(1, "refused"),
            Age(10_000),
            Dispatch(1, 1, REFUSED),
            Start(None),
            Settle(1, "refused"),
        ],
    },
    LedgerCase {
        name: "a waiting call is settled as running",
        kind: Once,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Settle(1, "running 1.1"),
            Start(Some((1, 1))),
        ],
    },
    LedgerCase {
        name: "a stale tenure is refused and not called 'not run' when the call may have run",
        kind: Once,
        steps: &[
            Dispatch(2, 1, Ok(())),
            Dispatch(1, 2, UNKNOWN_TENURE),
            Start(Some((2, 1))),
            Dispatch(1, 2, UNKNOWN_TENURE),
        ],
    },
    LedgerCase {
        name: "an outcome that is dropped leaves a tombstone",
        kind: Once,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Start(Some((1, 1))),
            Finish(true),
            Age(10_000),
            Dispatch(1, 2, FORGOTTEN),
            Start(None),
            Settle(1, "failed 4001"),
        ],
    },
    LedgerCase {
        name: "a repeatable call starts again after a failure",
        kind: Repeatable,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Start(Some((1, 1))),
            Finish(false),
            Dispatch(1, 1, Ok(())),
            Start(None),
            Dispatch(1, 2, Ok(())),
            Start(Some((1, 2))),
        ],
    },
    LedgerCase {
        name: "a repeatable call that was answered does not start again",
        kind: Repeatable,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Start(Some((1, 1))),
            Finish(true),
            Dispatch(2, 2, Ok(())),
            Start(None),
            Settle(2, "answered"),
        ],
    },
    LedgerCase {
        name: "a later attempt waits for the end of the running one",
        kind: Chat,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Start(Some((1, 1))),
            Dispatch(2, 2, Ok(())),
            Start(None),
            Settle(2, "running 2.2"),
            Finish(false),
            Start(Some((2, 2))),
            Finish(true),
            Settle(2, "answered"),
        ],
    },
    LedgerCase {
        name: "a later attempt takes the place of a waiting one",
        kind: Chat,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Dispatch(1, 2, Ok(())),
            Dispatch(1, 1, Err((3016, RunState::OutcomeUnknown))),
            Start(Some((1, 2))),
            Start(None),
        ],
    },
    LedgerCase {
        name: "a cancelled call does not start, also when its dispatch comes later",
        kind: Chat,
        steps: &[
            Cancel(1),
            Dispatch(1, 1, Err((3013, RunState::NotRun))),
            Start(None),
        ],
    },
    LedgerCase {
        name: "a waiting call that is cancelled did not run",
        kind: Chat,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Cancel(1),
            Start(None),
            Settle(1, "failed 3013"),
        ],
    },
    LedgerCase {
        name: "a running call that may not be repeated runs to its end",
        kind: Once,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Start(Some((1, 1))),
            Cancel(1),
            Settle(1, "running 1.1"),
            Finish(true),
            Settle(1, "answered"),
        ],
    },
    LedgerCase {
        name: "a released program takes no calls",
        kind: Chat,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Release(1),
            Start(None),
            Dispatch(1, 2, Err((1007, RunState::NotRun))),
            Start(None),
        ],
    },
    LedgerCase {
        name: "the calls of an ended program are not called refused once their rows are gone",
        kind: Once,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Start(Some((1, 1))),
            Finish(true),
            Release(1),
            Settle(1, "answered"),
            Age(100),
            Settle(1, "failed 4001"),
            Age(100_000),
            Settle(1, "unknown"),
        ],
    },
    LedgerCase {
        name: "a superseding attempt ends with its program",
        kind: Chat,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Start(Some((1, 1))),
            Dispatch(1, 2, Ok(())),
            Release(1),
            Finish(false),
            Start(None),
        ],
    },
    LedgerCase {
        name: "a leaving agent refuses waiting and new calls, and finishes running ones",
        kind: Once,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Leave,
            Start(None),
            Settle(1, "failed 3009"),
            Dispatch(1, 2, Err((3009, RunState::NotRun))),
        ],
    },
    LedgerCase {
        name: "a leaving agent starts no superseding attempt",
        kind: Chat,
        steps: &[
            Dispatch(1, 1, Ok(())),
            Start(Some((1, 1))),
            Dispatch(1, 2, Ok(())),
            Leave,
            Finish(false),
            Start(None),
            Settle(1, "failed 3009"),
        ],
    },
];

#[gtest]
fn keeps_each_call_to_its_promise() {
    for case in CASES {
        let mut play = Play {
            ledger: ledger(2, 2),
            now: 1_000,
            running: None,
            kind: case.kind,
        };
        for step in case.steps {
            play.step(*step, case.name);
        }
    }
}

#[gtest]
fn cannot_prove_anything_about_an_earlier_start() {
    let mut ledger = ledger(1, 1);
    let settled = ledger.settle(call(1), TenureNumber(1), START + 1, TimeMillis(1));
    expect_that!(settled, ok(eq(&SettledCall::Unknown)));
}

#[gtest]
fn refuses_a_call_that_may_run_once_and_was_meant_for_an_earlier_start() {
    let limits = LedgerLimits {
        concurrency: 1,
        queue_length: 1,
    };
    let mut ledger = CallLedger::new(START + 1, limits);
    let now = TimeMillis(1_000);
    let refused = ledger
        .dispatch(order(Once, attempt(call(1), 1, 1)), now)
        .expect_err("another start");
    expect_that!((refused.code.number(), refused.run), eq((3017, RunState::NotRun)));
    let repeatable = ledger.dispatch(order(Repeatable, attempt(call(2), 1, 1)), now);
    expect_that!(repeatable, ok(anything()));
}

#[gtest]
fn refuses_at_once_and_for_ever_what_the_queue_cannot_hold() {
    let mut ledger = ledger(1, 1);
    let now = TimeMillis(1_000);
    let dispatch =
        |ledger: &mut CallLedger, sequence| ledger.dispatch(order(Once, attempt(call(sequence), 1, 1)), now);
    expect_that!(dispatch(&mut ledger, 1), ok(anything()));
    expect_that!(ledger.start_next(now), some(anything()));
    expect_that!(dispatch(&mut ledger, 2), ok(anything()));
    let refused = dispatch(&mut ledger, 3).expect_err("full");
    expect_that!((refused.code.number(), refused.run), eq((3001, RunState::NotRun)));
    expect_that!(refused.retry_after_ms, some(gt(0)));
    ledger.finish(attempt(call(1), 1, 1), answered(Once), 400, now);
    // The refusal was an answer: a copy of the same dispatch that comes late must not start.
    expect_that!(
        dispatch(&mut ledger, 3).map_err(|error| error.run),
        err(eq(RunState::NotRun))
    );
    let later = ledger.dispatch(order(Once, attempt(call(3), 1, 2)), now);
    expect_that!(later, ok(anything()));
}

#[gtest]
fn refuses_a_call_whose_time_to_start_has_passed_before_and_in_the_queue() {
    let mut ledger = ledger(1, 4);
    let dispatch = |ledger: &mut CallLedger, sequence, now| {
        ledger.dispatch(
            order_at(Once, attempt(call(sequence), 1, 1), 0, Some(500)),
            TimeMillis(now),
        )
    };
    expect_that!(dispatch(&mut ledger, 1, 100), ok(anything()));
    expect_that!(ledger.start_next(TimeMillis(100)), some(anything()));
    expect_that!(dispatch(&mut ledger, 2, 100), ok(anything()));
    ledger.expire_waiting(TimeMillis(501));
    let outcome = ledger.output(attempt(call(2), 1, 1)).expect("known").outcome();
    let expired = |outcome| matches!(outcome, Some(CallOutcome::Failed(error)) if error == expired_error());
    expect_that!(expired(outcome), eq(true));
    expect_that!(
        dispatch(&mut ledger, 3, 501).map_err(|error| error.code.number()),
        err(eq(3014))
    );
}

fn expired_error() -> CallError {
    CallError::not_run(
        ResultCode::DeadlinePassed,
        "the time to start the call has passed",
    )
}
