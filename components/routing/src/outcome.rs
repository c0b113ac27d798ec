//! Retry decisions after an attempt at a backend server.
//!
//! Load pattern: a full or restarting server refuses within a millisecond while others have free slots. After
//! a proven refusal the request is therefore sent to another server at once. Without proof that the request
//! did not run, it is repeated only if it may run twice.

use serde::{Deserialize, Serialize};

use crate::route::RunPolicy;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// No byte of the request left the host.
    NotSent,
    /// The backend server stated that it did not run the request.
    Refused,
    /// Another backend server has taken over the address; the request did not run.
    WrongServer,
    /// Bytes were sent and no usable answer was received.
    Lost,
}

/// Attempts that one request has used, and their limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Attempts that sent bytes, including this one.
    pub sent: u32,
    /// Largest number of attempts that may send bytes.
    pub max_sent: u32,
    /// Attempts that sent nothing, including this one.
    pub unsent: u32,
    /// Largest number of attempts that may end without sending anything.
    pub max_unsent: u32,
    /// Time until the deadline of the answer, in milliseconds.
    pub left_ms: u64,
}

/// Decision after an attempt without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Sends the request to another backend server.
    TryAnother,
    /// Reports to the caller that the request did not run.
    RefuseNotRun,
    /// Reports to the caller that the outcome is unknown.
    ReportUnknown,
}

/// Shortest time in milliseconds in which another attempt can succeed: enough for a connection and a short
/// call.
const MIN_ATTEMPT_MS: u64 = 10;

/// Decides what follows an attempt. `was_lost` is true if an earlier attempt of the request may have run.
pub const fn next_step(
    policy: RunPolicy,
    outcome: AttemptOutcome,
    was_lost: bool,
    limits: AttemptLimits,
) -> NextStep {
    let may_have_run = was_lost || matches!(outcome, AttemptOutcome::Lost);
    let may_repeat = !may_have_run || matches!(policy, RunPolicy::Idempotent | RunPolicy::Resumable);
    let has_room = limits.sent < limits.max_sent
        && limits.unsent < limits.max_unsent
        && limits.left_ms >= MIN_ATTEMPT_MS;
    if may_repeat && has_room {
        return NextStep::TryAnother;
    }
    if may_have_run {
        return NextStep::ReportUnknown;
    }
    NextStep::RefuseNotRun
}
