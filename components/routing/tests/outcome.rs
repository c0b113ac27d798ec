//! Retry decisions after an attempt.

use googletest::prelude::*;
use routing::{AttemptLimits, AttemptOutcome, NextStep, RunPolicy, next_step};

/// An attempt of a request, and the step that must follow it.
struct StepCase {
    policy: RunPolicy,
    outcome: AttemptOutcome,
    was_lost: bool,
    sent: u32,
    left_ms: u64,
    step: NextStep,
}

#[gtest]
fn only_what_has_not_run_or_may_run_twice_is_sent_again() {
    use AttemptOutcome::{Lost, NotSent, Refused, WrongServer};
    use NextStep::{RefuseNotRun, ReportUnknown, TryAnother};
    use RunPolicy::{AtMostOnce, Idempotent, Resumable};
    let case = |policy, outcome, was_lost, sent, left_ms, step| StepCase {
        policy,
        outcome,
        was_lost,
        sent,
        left_ms,
        step,
    };
    let cases = [
        case(AtMostOnce, NotSent, false, 0, 1_000, TryAnother),
        case(AtMostOnce, Refused, false, 1, 1_000, TryAnother),
        case(AtMostOnce, WrongServer, false, 1, 1_000, TryAnother),
        case(AtMostOnce, Lost, false, 1, 1_000, ReportUnknown),
        case(AtMostOnce, Refused, true, 1, 1_000, ReportUnknown),
        case(AtMostOnce, Refused, false, 2, 1_000, RefuseNotRun),
        case(AtMostOnce, Refused, false, 1, 5, RefuseNotRun),
        case(Idempotent, Lost, false, 1, 1_000, TryAnother),
        case(Idempotent, Lost, false, 2, 1_000, ReportUnknown),
        case(Idempotent, Refused, true, 2, 1_000, ReportUnknown),
        case(Idempotent, Refused, false, 2, 1_000, RefuseNotRun),
        case(Resumable, Lost, true, 1, 1_000, TryAnother),
        case(Resumable, Lost, true, 1, 0, ReportUnknown),
    ];
    for case in cases {
        let limits = AttemptLimits {
            sent: case.sent,
            max_sent: 2,
            unsent: 0,
            max_unsent: 4,
            left_ms: case.left_ms,
        };
        let step = next_step(case.policy, case.outcome, case.was_lost, limits);
        let context = (case.policy, case.outcome, case.was_lost, case.sent, case.left_ms);
        expect_that!(step, eq(case.step), "{context:?}");
    }
}
