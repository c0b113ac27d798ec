//! Admission of calls.

use domain::{CallLimits, TimeMillis};
use errors::{CallError, ResultCode};

/// Number of calls in a row with the same fingerprint from which on a program counts as looping.
pub const REPETITION_LIMIT: u32 = 20;

/// Time in milliseconds after which a service that was down is worth another try.
const RECOVERY_RETRY_MS: u64 = 2_000;
const MILLIS_PER_SECOND: u64 = 1_000;

/// What the admission of a call depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionFacts {
    /// Present time.
    pub now: TimeMillis,
    /// Time by which the program must finish.
    pub deadline: Option<TimeMillis>,
    /// Time of the program's start.
    pub started: TimeMillis,
    /// Calls of the program to the service so far.
    pub turns: u64,
    /// Calls in a row, the present one not counted, whose requests had the fingerprint of the present one.
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

/// Decides whether a call may go on; the budget is reserved apart from this.
///
/// # Errors
///
/// Returns a not-run error with the reason, and with the time to come back where a retry can help.
pub fn admit_call(facts: &AdmissionFacts, limits: &CallLimits) -> Result<(), CallError> {
    check_program(facts, limits)?;
    check_servers(facts)?;
    check_deadline(facts)
}

fn check_program(facts: &AdmissionFacts, limits: &CallLimits) -> Result<(), CallError> {
    if facts.turns >= limits.max_turns {
        let message = format!("the program has used its {} turns", limits.max_turns);
        return Err(CallError::not_run(ResultCode::TurnLimit, message));
    }
    let life_ms = limits.program_time_s.saturating_mul(MILLIS_PER_SECOND);
    if facts.now.since(facts.started) >= life_ms {
        let message = format!("the program has used its {} s", limits.program_time_s);
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
            "a service that this one depends on is down",
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
    let spare_ms = deadline.since(facts.now).saturating_sub(service_ms);
    if spare_ms == 0 {
        return Err(refusal);
    }
    Err(refusal.with_retry_after_ms(late_ms.min(spare_ms)))
}
