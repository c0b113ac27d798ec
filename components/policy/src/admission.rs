//! Admission control of calls.

use domain::{CallLimits, TimeMillis};
use errors::{CallError, ResultCode};

/// Number of consecutive calls with the same fingerprint after which a program is treated as looping. The
/// next such call is refused.
pub const REPETITION_LIMIT: u32 = 20;

/// Retry-After delay in milliseconds when the service or one of its dependencies is unavailable: the time
/// after which it may be available again.
const RECOVERY_RETRY_MS: u64 = 2_000;
const MILLIS_PER_SECOND: u64 = 1_000;

/// State of the call, its program and its service on which the admission depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionFacts {
    /// Current time.
    pub now: TimeMillis,
    /// Time by which the program must finish.
    pub deadline: Option<TimeMillis>,
    /// Time of the program's start.
    pub started: TimeMillis,
    /// Calls of the program that have finished so far.
    pub turns: u64,
    /// Consecutive previous calls whose requests had the same fingerprint as this one, which is not counted.
    pub repetitions: u32,
    /// Whether every service on which the requested one depends has a live backend server.
    pub dependencies_up: bool,
    /// Live backend servers of the service that take new work.
    pub live_servers: u32,
    /// Predicted time until the call's finish in milliseconds, waiting included.
    pub predicted_ms: u64,
    /// Part of the predicted time that is waiting, in milliseconds.
    pub wait_ms: u64,
}

/// Checks whether a call may run. The budget is reserved separately.
///
/// # Errors
///
/// Returns a not-run error with the reason and, where a retry can help, with a Retry-After delay.
pub fn admit_call(facts: &AdmissionFacts, limits: &CallLimits) -> Result<(), CallError> {
    check_program(facts, limits)?;
    check_servers(facts)?;
    check_deadline(facts)
}

fn check_program(facts: &AdmissionFacts, limits: &CallLimits) -> Result<(), CallError> {
    if facts.turns >= limits.max_turns {
        let message = format!("the program has reached its limit of {} turns", limits.max_turns);
        return Err(CallError::not_run(ResultCode::TurnLimit, message));
    }
    let time_limit_ms = limits.program_time_s.saturating_mul(MILLIS_PER_SECOND);
    if facts.now.since(facts.started) >= time_limit_ms {
        let message = format!(
            "the program has reached its time limit of {} s",
            limits.program_time_s
        );
        return Err(CallError::not_run(ResultCode::TimeLimit, message));
    }
    if facts.repetitions >= REPETITION_LIMIT {
        let message = format!(
            "the program made the same call {} times in a row",
            facts.repetitions
        );
        return Err(CallError::not_run(ResultCode::RepetitionLimit, message));
    }
    Ok(())
}

fn check_servers(facts: &AdmissionFacts) -> Result<(), CallError> {
    let refusal = if !facts.dependencies_up {
        CallError::not_run(
            ResultCode::DependencyDown,
            "a service that the requested one depends on has no live backend server",
        )
    } else if facts.live_servers == 0 {
        CallError::not_run(
            ResultCode::NoBackendServer,
            "no backend server of the service is live",
        )
    } else {
        return Ok(());
    };
    Err(refusal.with_retry_after_ms(RECOVERY_RETRY_MS))
}

fn check_deadline(facts: &AdmissionFacts) -> Result<(), CallError> {
    let Some(deadline) = facts.deadline else {
        return Ok(());
    };
    if deadline <= facts.now {
        let message = "the deadline of the program has passed";
        return Err(CallError::not_run(ResultCode::DeadlinePassed, message));
    }
    if facts.now.plus(facts.predicted_ms) <= deadline {
        return Ok(());
    }
    let late_ms = facts.now.plus(facts.predicted_ms).since(deadline);
    let message = format!("the call would finish {late_ms} ms after the program's deadline");
    let refusal = CallError::not_run(ResultCode::DeadlineUnreachable, message);
    // A retry helps only if a shorter queue would bring the finish before the deadline.
    let service_ms = facts.predicted_ms.saturating_sub(facts.wait_ms);
    let slack_ms = deadline.since(facts.now).saturating_sub(service_ms);
    if slack_ms == 0 {
        return Err(refusal);
    }
    Err(refusal.with_retry_after_ms(late_ms.min(slack_ms)))
}
