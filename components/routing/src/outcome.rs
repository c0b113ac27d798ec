//! What follows an attempt at a backend server.
//!
//! Load pattern: a full or restarting server refuses within a millisecond while others have free slots, so a
//! proven refusal moves on at once; an attempt without proof is repeated only where the request may run twice.

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
    /// Another backend server has the address; the request did not run.
    WrongServer,
    /// Bytes were sent and no usable answer came.
    Lost,
}

/// Bounds on the attempts of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Attempts at which bytes were sent, this one included.
    pub sent: u32,
    /// Attempts at which bytes may be sent.
    pub max_sent: u32,
    /// Attempts that sent nothing, this one included.
    pub unsent: u32,
    /// Attempts that may end without sending anything.
    pub max_unsent: u32,
    /// Time left for an answer in milliseconds.
    pub left_ms: u64,
}

/// Decision after an attempt without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another backend server is tried.
    TryAnother,
    /// The caller is told that the request has not run.
    RefuseNotRun,
    /// The caller is told that the outcome is unknown.
    ReportUnknown,
}

/// Shortest time in milliseconds in which another attempt can still answer: a connection and a short call.
const MIN_ATTEMPT_MS: u64 = 10;

/// Decides what follows an attempt. `was_lost` says whether an earlier attempt of the request may have run.
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
