//! The call table of an agent: its queue, its fences and the rows by which calls run at most once.
//!
//! The module does no I/O and reads no clock; callers pass the current time.

mod dispatch;
mod ending;
mod settle;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;

use domain::{AttemptKey, CallKey, CallOutcome, ProgramKey, TenureNumber, TimeMillis, TokenCount};
use errors::{CallError, ResultCode, RunState};
use tokio_util::sync::CancellationToken;
use wire::{DispatchOrder, PortResult};

use self::dispatch::{dropped, never_runs};
use crate::output::CallOutput;
use crate::programs::ProgramTable;
use crate::queue::CallQueue;
use crate::row::{CallPhase, CallRow, CallTombstone, error_with};

/// Limits on the calls of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// Largest number of calls that run at the same time.
    pub concurrency: u32,
    /// Largest number of waiting calls, beyond those that can start at once.
    pub queue_length: u32,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            concurrency: 8,
            queue_length: 64,
        }
    }
}

/// A call that the call table returned to be run.
#[derive(Debug)]
pub struct StartedCall {
    /// Order to run at the backend server.
    pub order: DispatchOrder,
    /// Buffer for the output of the run.
    pub output: Arc<CallOutput>,
    /// Cancelled when the call is cancelled, its program ends or a later attempt supersedes it.
    pub cancel: CancellationToken,
}

/// Queue, fences and at-most-once rows of the calls of an agent.
#[derive(Debug)]
pub struct CallTable {
    start: u64,
    limits: CallLimits,
    leaving: bool,
    /// Whether new calls are refused because the engine does not serve the model.
    suspended: bool,
    queue: CallQueue,
    programs: ProgramTable,
    rows: BTreeMap<CallKey, CallRow>,
    tombstones: BTreeMap<CallKey, CallTombstone>,
    running: u32,
    mean_run_ms: u64,
}

impl CallTable {
    /// Creates an empty table; `start` identifies this start of the agent process.
    pub fn new(start: u64, limits: CallLimits) -> Self {
        Self {
            start,
            limits,
            leaving: false,
            suspended: false,
            queue: CallQueue::default(),
            programs: ProgramTable::new(),
            rows: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            running: 0,
            mean_run_ms: 0,
        }
    }

    /// Sets the limits. Calls that already wait or run are not affected.
    pub const fn set_limits(&mut self, limits: CallLimits) {
        self.limits = limits;
    }

    /// Returns the current limits.
    pub const fn limits(&self) -> CallLimits {
        self.limits
    }

    /// Returns the number of running calls.
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns the waiting calls.
    pub const fn queue(&self) -> &CallQueue {
        &self.queue
    }

    /// Returns the programs with their fences and cache states.
    pub const fn programs(&mut self) -> &mut ProgramTable {
        &mut self.programs
    }

    /// Returns whether new calls are refused because the agent is leaving.
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns an estimate of the prompt and answer tokens of the waiting calls.
    pub fn waiting_tokens(&self) -> TokenCount {
        self.queue
            .calls()
            .iter()
            .map(|call| estimated_tokens(&call.order))
            .sum()
    }

    /// Removes the next call from the queue and marks it as running.
    ///
    /// Returns `None` when no call waits or the concurrency limit is reached.
    pub fn start_next(&mut self, now: TimeMillis) -> Option<StartedCall> {
        self.expire_waiting(now);
        if self.running >= self.limits.concurrency {
            return None;
        }
        let order = self.queue.pop()?.order;
        let row = self.rows.get_mut(&order.attempt().call)?;
        row.phase = CallPhase::Running;
        row.changed_at = now;
        self.running += 1;
        let started = StartedCall {
            output: Arc::clone(&row.output),
            cancel: row.cancel.clone(),
            order,
        };
        let fills_cache = row.fills_cache;
        self.record_use(started.order.attempt().call.program, fills_cache, now);
        Some(started)
    }

    /// Returns the output buffer of an attempt.
    ///
    /// # Errors
    ///
    /// Fails when the agent has no record of the call. The output of an attempt that a later one replaced has
    /// ended with an error.
    pub fn output(&self, attempt: AttemptKey) -> PortResult<Arc<CallOutput>> {
        let Some(row) = self.rows.get(&attempt.call) else {
            let error = match self.tombstones.get(&attempt.call) {
                Some(CallTombstone::NeverRuns) => never_runs(),
                Some(CallTombstone::Ran | CallTombstone::MayRepeat(_)) => dropped(),
                None => {
                    let message = format!("the agent has no record of the attempt {attempt}");
                    return Err(error_with(
                        ResultCode::UnknownCall,
                        RunState::OutcomeUnknown,
                        message,
                    ));
                }
            };
            return Ok(Arc::new(CallOutput::ended(CallOutcome::Failed(error))));
        };
        // A call that may not be repeated runs once; its output serves the latest attempt and earlier ones.
        if row.attempt == attempt || (!row.repeatable && order_of(attempt) <= order_of(row.attempt)) {
            return Ok(Arc::clone(&row.output));
        }
        if let Some(next) = &row.next
            && next.order.attempt() == attempt
        {
            return Ok(Arc::clone(&next.output));
        }
        let message = format!("the attempt {attempt} is not the current one, {}", row.attempt);
        let error = error_with(ResultCode::CallRefused, RunState::OutcomeUnknown, message);
        Ok(Arc::new(CallOutput::ended(CallOutcome::Failed(error))))
    }

    /// Returns whether a call of the program is waiting or running.
    pub fn is_busy(&self, program: ProgramKey) -> bool {
        self.rows.range(calls_of(program)).any(|(_, row)| row.is_open())
    }

    fn record_use(&mut self, program: ProgramKey, fills_cache: bool, now: TimeMillis) {
        if fills_cache {
            self.programs.touch_cached(program, now);
        } else {
            self.programs.touch(program, now);
        }
    }

    /// Refuses a tenure older than the fence of the call's program, else raises the fence to it.
    fn check_fence(&mut self, call: CallKey, tenure: TenureNumber, now: TimeMillis) -> PortResult<()> {
        self.programs.fence(call.program, tenure, now).map_err(|largest| {
            let message = format!("tenure {tenure} is older than the largest one received, {largest}");
            error_with(ResultCode::StaleTenure, self.run_state(call), message)
        })
    }

    fn run_state(&self, call: CallKey) -> RunState {
        match (self.rows.get(&call), self.tombstones.get(&call)) {
            (Some(row), _) => row.run_state(),
            (None, Some(CallTombstone::Ran | CallTombstone::MayRepeat(_))) => RunState::OutcomeUnknown,
            (None, _) => RunState::NotRun,
        }
    }

    fn finish_row(&mut self, call: CallKey, outcome: CallOutcome, now: TimeMillis) {
        if let Some(row) = self.rows.get_mut(&call) {
            row.finish(outcome, now);
        }
    }

    fn fail_row(&mut self, call: CallKey, error: CallError, now: TimeMillis) {
        self.finish_row(call, CallOutcome::Failed(error), now);
    }
}

/// Returns the sort key of the attempts at one call: tenure, then attempt number.
const fn order_of(attempt: AttemptKey) -> (u64, u64) {
    (attempt.tenure.0, attempt.attempt.0)
}

const fn calls_of(program: ProgramKey) -> RangeInclusive<CallKey> {
    let first = CallKey { program, sequence: 0 };
    let last = CallKey {
        program,
        sequence: u64::MAX,
    };
    first..=last
}

fn estimated_tokens(order: &DispatchOrder) -> TokenCount {
    const BYTES_PER_TOKEN: usize = 4;
    match order {
        DispatchOrder::Chat {
            messages, max_tokens, ..
        } => {
            let bytes: usize = messages.iter().map(|message| message.content.len()).sum();
            max_tokens + (bytes / BYTES_PER_TOKEN) as u64
        }
        DispatchOrder::Plain { .. } => 0,
    }
}
