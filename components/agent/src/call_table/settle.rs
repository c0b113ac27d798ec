//! Settlement and cancellation of calls, release of programs.

use domain::{AttemptKey, AttemptNumber, CallKey, CallOutcome, ProgramKey, TenureNumber, TimeMillis};
use errors::{CallError, ResultCode, RunState};
use wire::{PortResult, SettledCall};

use super::dispatch::{dropped, never_runs};
use super::{CallTable, calls_of};
use crate::row::{CallPhase, CallRow, CallTombstone, error_with};

impl CallTable {
    /// Returns the state of a call, `Unknown` when `agent_start` is another start of the agent.
    ///
    /// A call without a record is reported as refused and never starts later. If its program has ended, it is
    /// `Unknown`.
    ///
    /// # Errors
    ///
    /// Refuses a tenure older than the largest one received.
    pub fn settle(
        &mut self,
        call: CallKey,
        tenure: TenureNumber,
        agent_start: u64,
        now: TimeMillis,
    ) -> PortResult<SettledCall> {
        self.check_fence(call, tenure, now)?;
        if agent_start != self.start {
            return Ok(SettledCall::Unknown);
        }
        if let Some(row) = self.rows.get_mut(&call) {
            return Ok(settle_row(row));
        }
        match self.tombstones.get(&call) {
            Some(CallTombstone::NeverRuns) => Ok(SettledCall::Refused),
            Some(CallTombstone::Ran | CallTombstone::MayRepeat(_)) => {
                Ok(SettledCall::Finished(CallOutcome::Failed(dropped())))
            }
            // The records of an ended program are dropped, so that a missing one proves nothing.
            None if self.programs.is_released(call.program)
                || self.programs.may_have_been_dropped(call.program) =>
            {
                Ok(SettledCall::Unknown)
            }
            None => {
                self.record_never_runs(call, tenure, never_runs(), now);
                Ok(SettledCall::Refused)
            }
        }
    }

    /// Cancels a call that waits or runs. A running call that may not be repeated still runs to its end.
    ///
    /// A call without a record never starts afterwards.
    ///
    /// # Errors
    ///
    /// Refuses a tenure older than the largest one received.
    pub fn cancel(&mut self, call: CallKey, tenure: TenureNumber, now: TimeMillis) -> PortResult<()> {
        self.check_fence(call, tenure, now)?;
        if self.rows.contains_key(&call) {
            self.cancel_row(call, now);
        } else if !self.tombstones.contains_key(&call) {
            self.record_never_runs(call, tenure, cancelled(), now);
        }
        Ok(())
    }

    /// Records the end of a program: cancels its calls, refuses later ones and schedules the cache release.
    ///
    /// # Errors
    ///
    /// Refuses a tenure older than the largest one received.
    pub fn release(&mut self, program: ProgramKey, tenure: TenureNumber, now: TimeMillis) -> PortResult<()> {
        self.programs.fence(program, tenure, now).map_err(|largest| {
            let message = format!("tenure {tenure} is older than the largest one received, {largest}");
            error_with(ResultCode::StaleTenure, RunState::NotRun, message)
        })?;
        self.programs.release(program, now);
        let calls: Vec<_> = self
            .rows
            .range(calls_of(program))
            .map(|(call, _)| *call)
            .collect();
        for call in calls {
            self.cancel_row(call, now);
        }
        Ok(())
    }

    fn cancel_row(&mut self, call: CallKey, now: TimeMillis) {
        let Some(row) = self.rows.get_mut(&call) else {
            return;
        };
        if let Some(next) = row.next.take() {
            next.output.finish(CallOutcome::Failed(cancelled()));
        }
        match row.phase {
            CallPhase::Waiting => {
                row.finish(CallOutcome::Failed(cancelled()), now);
                self.queue.remove(call);
            }
            CallPhase::Running if row.repeatable => row.cancel.cancel(),
            _ => {}
        }
    }

    fn record_never_runs(&mut self, call: CallKey, tenure: TenureNumber, error: CallError, now: TimeMillis) {
        let attempt = AttemptKey {
            call,
            tenure,
            attempt: AttemptNumber(u64::MAX),
        };
        self.rows
            .insert(call, CallRow::refused(attempt, CallPhase::NeverRuns, error, now));
    }
}

fn settle_row(row: &mut CallRow) -> SettledCall {
    match row.phase {
        CallPhase::Waiting | CallPhase::Running => {
            SettledCall::Running(row.next.as_ref().map_or(row.attempt, |next| next.order.attempt()))
        }
        CallPhase::Finished | CallPhase::Refused | CallPhase::NeverRuns => settle_ended(row),
    }
}

fn settle_ended(row: &mut CallRow) -> SettledCall {
    row.output.mark_read();
    if row.run_state() == RunState::NotRun {
        // The caller may report the call as not run, so that no later attempt may start from now on.
        let finished = row.phase == CallPhase::Finished;
        row.phase = CallPhase::NeverRuns;
        if !finished && !row.ran_before {
            return SettledCall::Refused;
        }
    }
    SettledCall::Finished(match row.output.outcome() {
        Some(CallOutcome::Failed(error)) if row.ran_before && error.run == RunState::NotRun => {
            CallOutcome::Failed(CallError {
                run: RunState::Ran,
                ..error
            })
        }
        Some(outcome) => outcome,
        None => CallOutcome::Failed(dropped()),
    })
}

pub(super) fn cancelled() -> CallError {
    CallError::not_run(ResultCode::Cancelled, "the call was cancelled before it started")
}
