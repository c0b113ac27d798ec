//! Admission of dispatched orders.

use std::sync::Arc;

use domain::{CallKey, TimeMillis};
use errors::{CallError, ResultCode, RunState};
use wire::{DispatchOrder, DispatchReceipt, PortResult};

use super::{CallTable, order_of};
use crate::output::CallOutput;
use crate::row::{CallPhase, CallRow, CallTombstone, NextAttempt, error_with, is_repeatable, prefix_of};

const MIN_RETRY_AFTER_MS: u64 = 50;
const MAX_RETRY_AFTER_MS: u64 = 60_000;
/// Retry-After delay of calls refused by a leaving host or an engine without the model: another host can take
/// them by then.
const LEAVING_RETRY_AFTER_MS: u64 = 100;

/// Decision on a dispatched order.
enum Admission {
    /// The attempt was dispatched before; nothing changes.
    Known,
    /// The current run or its answer also serves this attempt.
    Attach,
    /// The order is added to the queue.
    Enqueue,
    /// The order replaces an earlier attempt in the queue.
    Replace,
    /// The running attempt is cancelled, and the order waits for its end.
    Supersede,
    /// The attempt never starts.
    Refuse(CallError),
}

impl CallTable {
    /// Admits an order. Repeating it with the same attempt changes nothing.
    ///
    /// # Errors
    ///
    /// Refuses an order that may not start here. A refusal with run state `NotRun` is final for the attempt.
    pub fn dispatch(&mut self, order: DispatchOrder, now: TimeMillis) -> PortResult<DispatchReceipt> {
        let attempt = order.attempt();
        self.check_fence(attempt.call, attempt.tenure, now)?;
        if self.programs.is_released(attempt.call.program) {
            let run = self.run_state(attempt.call);
            return Err(error_with(ResultCode::ProgramEnded, run, "the program has ended"));
        }
        if let DispatchOrder::Plain {
            repeatable: false,
            agent_start,
            ..
        } = &order
            && *agent_start != self.start
        {
            return Err(restarted());
        }
        match self.admit(&order) {
            Admission::Known => {}
            Admission::Attach => {
                if let Some(row) = self.rows.get_mut(&attempt.call) {
                    row.attempt = attempt;
                }
            }
            Admission::Enqueue => self.enqueue(order, now)?,
            Admission::Replace => {
                self.queue.remove(attempt.call);
                self.insert_waiting(order, now);
            }
            Admission::Supersede => self.supersede(order),
            Admission::Refuse(error) => return Err(error),
        }
        Ok(DispatchReceipt {
            agent_start: self.start,
        })
    }

    fn admit(&self, order: &DispatchOrder) -> Admission {
        let attempt = order.attempt();
        let Some(row) = self.rows.get(&attempt.call) else {
            return match self.tombstones.get(&attempt.call) {
                None => Admission::Enqueue,
                Some(CallTombstone::MayRepeat(latest)) if order_of(attempt) > order_of(*latest) => {
                    Admission::Enqueue
                }
                Some(CallTombstone::NeverRuns) => Admission::Refuse(never_runs()),
                Some(CallTombstone::Ran | CallTombstone::MayRepeat(_)) => Admission::Refuse(dropped()),
            };
        };
        match row.phase {
            CallPhase::Refused if order_of(attempt) > order_of(row.attempt) => return Admission::Enqueue,
            CallPhase::Refused | CallPhase::NeverRuns => {
                return Admission::Refuse(row.failure().unwrap_or_else(never_runs));
            }
            _ => {}
        }
        if attempt == row.attempt
            || row
                .next
                .as_ref()
                .is_some_and(|next| next.order.attempt() == attempt)
        {
            return Admission::Known;
        }
        let latest = row.next.as_ref().map_or(row.attempt, |next| next.order.attempt());
        if order_of(attempt) < order_of(latest) {
            let message = format!("a later attempt than {attempt} was dispatched");
            return Admission::Refuse(error_with(ResultCode::CallRefused, row.run_state(), message));
        }
        match row.phase {
            CallPhase::Waiting if row.repeatable => Admission::Replace,
            CallPhase::Running if row.repeatable => Admission::Supersede,
            CallPhase::Finished if row.run_state() == RunState::NotRun => Admission::Enqueue,
            CallPhase::Finished if row.repeatable && !row.satisfies(prefix_of(order)) => Admission::Enqueue,
            _ => Admission::Attach,
        }
    }

    fn enqueue(&mut self, order: DispatchOrder, now: TimeMillis) -> PortResult<()> {
        let Some(error) = self.refusal(&order, now) else {
            self.insert_waiting(order, now);
            return Ok(());
        };
        let attempt = order.attempt();
        let mut row = CallRow::refused(attempt, CallPhase::Refused, error.clone(), now);
        row.repeatable = is_repeatable(&order);
        self.replace_row(attempt.call, row);
        Err(error)
    }

    fn refusal(&self, order: &DispatchOrder, now: TimeMillis) -> Option<CallError> {
        if self.leaving {
            return Some(leaving());
        }
        if self.suspended {
            let error = CallError::not_run(ResultCode::Leaving, "the engine does not serve the model");
            return Some(error.with_retry_after_ms(LEAVING_RETRY_AFTER_MS));
        }
        let (DispatchOrder::Chat { start_before, .. } | DispatchOrder::Plain { start_before, .. }) = order;
        if start_before.is_some_and(|limit| limit < now) {
            return Some(expired());
        }
        let places = self.limits.concurrency.saturating_sub(self.running) + self.limits.queue_length;
        (self.queue.len() >= places as usize).then(|| {
            let error = CallError::not_run(ResultCode::QueueFull, "the queue of the agent is full");
            error.with_retry_after_ms(self.retry_after_ms())
        })
    }

    /// Returns the Retry-After delay of a full queue: the estimated time until a call ends.
    fn retry_after_ms(&self) -> u64 {
        let concurrency = u64::from(self.limits.concurrency.max(1));
        (self.mean_run_ms / concurrency).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    pub(super) fn insert_waiting(&mut self, order: DispatchOrder, now: TimeMillis) {
        self.replace_row(order.attempt().call, CallRow::waiting(&order, now));
        self.queue.push(order);
    }

    fn replace_row(&mut self, call: CallKey, mut row: CallRow) {
        let has_tombstone = matches!(self.tombstones.remove(&call), Some(CallTombstone::MayRepeat(_)));
        row.ran_before = has_tombstone || self.rows.get(&call).is_some_and(CallRow::has_run);
        self.rows.insert(call, row);
    }

    fn supersede(&mut self, order: DispatchOrder) {
        let Some(row) = self.rows.get_mut(&order.attempt().call) else {
            return;
        };
        row.cancel.cancel();
        let output = Arc::new(CallOutput::with_prefix(prefix_of(&order)));
        row.next = Some(NextAttempt { order, output });
    }
}

pub(super) fn expired() -> CallError {
    CallError::not_run(
        ResultCode::DeadlinePassed,
        "the time to start the call has passed",
    )
}

pub(super) fn leaving() -> CallError {
    let error = CallError::not_run(ResultCode::Leaving, "the agent is leaving");
    error.with_retry_after_ms(LEAVING_RETRY_AFTER_MS)
}

pub(super) fn never_runs() -> CallError {
    CallError::not_run(
        ResultCode::CallRefused,
        "the agent has refused every attempt at the call",
    )
}

/// Creates the error for a call whose intent names an earlier start of the agent: that start may have run it.
fn restarted() -> CallError {
    CallError::not_run(
        ResultCode::AgentRestarted,
        "the agent has restarted since it was chosen for the call",
    )
}

pub(super) fn dropped() -> CallError {
    CallError::unknown("the call ran or may have run, and its outcome is no longer stored")
}
