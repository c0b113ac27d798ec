//! Rows of the at-most-once table.

use std::sync::Arc;

use domain::{AttemptKey, CallOutcome, CallReply, TimeMillis};
use errors::{CallError, ResultCode, RunState};
use tokio_util::sync::CancellationToken;
use wire::DispatchOrder;

use crate::output::CallOutput;

/// Phase of a call at the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallPhase {
    /// The call is in the queue.
    Waiting,
    /// The call runs at the backend server.
    Running,
    /// The call has an outcome.
    Finished,
    /// This attempt and earlier ones never start; a later attempt may.
    Refused,
    /// No attempt ever starts.
    NeverRuns,
}

/// Record of a call whose row was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallTombstone {
    /// No attempt ever starts.
    NeverRuns,
    /// The call ran or may have run, and no attempt starts any more.
    Ran,
    /// The call ran or may have run; a later attempt than this one may start.
    MayRepeat(AttemptKey),
}

/// A later attempt that waits for the end of the running one.
#[derive(Debug)]
pub(crate) struct NextAttempt {
    pub(crate) order: DispatchOrder,
    pub(crate) output: Arc<CallOutput>,
}

/// Row of one call in the call table.
#[derive(Debug)]
pub(crate) struct CallRow {
    /// Latest admitted attempt.
    pub(crate) attempt: AttemptKey,
    /// Whether the call may run more than once.
    pub(crate) repeatable: bool,
    /// Whether the engine keeps cache of the call's program.
    pub(crate) fills_cache: bool,
    /// Whether an earlier attempt, whose row this one replaced, ran or may have run.
    pub(crate) ran_before: bool,
    pub(crate) phase: CallPhase,
    pub(crate) output: Arc<CallOutput>,
    pub(crate) cancel: CancellationToken,
    /// Attempt that supersedes the running one.
    pub(crate) next: Option<NextAttempt>,
    /// Time of the last change of the phase.
    pub(crate) changed_at: TimeMillis,
}

impl CallRow {
    /// Creates the row of a waiting order.
    pub(crate) fn waiting(order: &DispatchOrder, now: TimeMillis) -> Self {
        Self {
            attempt: order.attempt(),
            repeatable: is_repeatable(order),
            fills_cache: matches!(order, DispatchOrder::Chat { .. }),
            ran_before: false,
            phase: CallPhase::Waiting,
            output: Arc::new(CallOutput::with_prefix(prefix_of(order))),
            cancel: CancellationToken::new(),
            next: None,
            changed_at: now,
        }
    }

    /// Creates the row of an attempt that never starts.
    pub(crate) fn refused(attempt: AttemptKey, phase: CallPhase, error: CallError, now: TimeMillis) -> Self {
        Self {
            attempt,
            repeatable: false,
            fills_cache: false,
            ran_before: false,
            phase,
            output: Arc::new(CallOutput::ended(CallOutcome::Failed(error))),
            cancel: CancellationToken::new(),
            next: None,
            changed_at: now,
        }
    }

    /// Marks the call as finished with an outcome.
    pub(crate) fn finish(&mut self, outcome: CallOutcome, now: TimeMillis) {
        self.phase = CallPhase::Finished;
        self.changed_at = now;
        self.output.finish(outcome);
    }

    /// Returns whether the call waits or runs.
    pub(crate) const fn is_open(&self) -> bool {
        matches!(self.phase, CallPhase::Waiting | CallPhase::Running)
    }

    /// Returns whether any attempt at the call has run or may have run.
    pub(crate) fn has_run(&self) -> bool {
        self.ran_before || (self.phase != CallPhase::Waiting && self.run_state() != RunState::NotRun)
    }

    /// Returns the error with which the call ended, if any.
    pub(crate) fn failure(&self) -> Option<CallError> {
        match self.output.outcome() {
            Some(CallOutcome::Failed(error)) => Some(error),
            _ => None,
        }
    }

    /// Returns whether the latest attempt ran; the outcome of an attempt that waits or runs is unknown.
    pub(crate) fn run_state(&self) -> RunState {
        match self.phase {
            CallPhase::Refused | CallPhase::NeverRuns => RunState::NotRun,
            CallPhase::Waiting | CallPhase::Running => RunState::OutcomeUnknown,
            CallPhase::Finished => self.failure().map_or(RunState::Ran, |error| error.run),
        }
    }

    /// Returns whether the call's answer also serves a later attempt whose text begins with `prefix`.
    pub(crate) fn satisfies(&self, prefix: &str) -> bool {
        match self.output.outcome() {
            Some(CallOutcome::Answered(CallReply::Chat { text, .. })) => text.starts_with(prefix),
            Some(CallOutcome::Answered(CallReply::Plain(_))) => true,
            _ => false,
        }
    }
}

/// Returns whether the order's call may run more than once.
pub(crate) const fn is_repeatable(order: &DispatchOrder) -> bool {
    match order {
        DispatchOrder::Chat { .. } => true,
        DispatchOrder::Plain { repeatable, .. } => *repeatable,
    }
}

/// Returns the text with which the order's answer begins.
pub(crate) fn prefix_of(order: &DispatchOrder) -> &str {
    match order {
        DispatchOrder::Chat { prefix, .. } => prefix,
        DispatchOrder::Plain { .. } => "",
    }
}

/// Creates an error with a stated run state.
pub(crate) fn error_with(code: ResultCode, run: RunState, message: impl Into<String>) -> CallError {
    CallError {
        run,
        ..CallError::not_run(code, message)
    }
}
