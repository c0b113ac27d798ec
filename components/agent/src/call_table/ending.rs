//! Ends of calls: outcomes, expiry, leaving and the dropping of old rows.

use domain::{AttemptKey, CallKey, CallOutcome, TimeMillis};

use super::CallTable;
use super::dispatch::{expired, leaving};
use super::settle::cancelled;
use crate::queue::QueuedCall;
use crate::row::{CallPhase, CallRow, CallTombstone};

/// Time for which the calls of an ended program stay readable, in milliseconds.
const ENDED_KEEP_MS: u64 = 60_000;
/// Time for which the finished calls of a running program stay readable, in milliseconds.
const FINISHED_KEEP_MS: u64 = 3_600_000;
/// Largest number of rows that are kept beyond the open ones.
const FINISHED_KEEP_ROWS: usize = 20_000;
/// Time after which an ended program is dropped from the fences, in milliseconds.
const FENCE_KEEP_MS: u64 = 24 * 3_600_000;

impl CallTable {
    /// Ends an attempt that `start_next` handed out.
    pub fn finish(&mut self, attempt: AttemptKey, outcome: CallOutcome, ran_ms: u64, now: TimeMillis) {
        let Some(row) = self.rows.get_mut(&attempt.call) else {
            return;
        };
        if row.phase != CallPhase::Running {
            return;
        }
        self.running -= 1;
        self.mean_run_ms = if self.mean_run_ms == 0 {
            ran_ms
        } else {
            (self.mean_run_ms * 7 + ran_ms) / 8
        };
        let next = row.next.take();
        let fills_cache = row.fills_cache;
        row.finish(outcome, now);
        let ran_before = row.has_run();
        self.note_use(attempt.call.program, fills_cache, now);
        let Some(next) = next else { return };
        let refusal = if self.leaving {
            Some(leaving())
        } else if self.programs.is_released(attempt.call.program) {
            Some(cancelled())
        } else {
            None
        };
        let mut row = CallRow::waiting(&next.order, now);
        row.output = next.output;
        row.ran_before = ran_before;
        if let Some(error) = refusal {
            row.finish(CallOutcome::Failed(error), now);
        } else {
            self.queue.push(next.order);
        }
        self.rows.insert(attempt.call, row);
    }

    /// Refuses the waiting calls whose time to start has passed.
    pub fn expire_waiting(&mut self, now: TimeMillis) {
        for call in self.queue.remove_expired(now) {
            self.fail_row(call.order.attempt().call, expired(), now);
        }
    }

    /// Refuses new calls from now on, and at once all that wait.
    pub fn leave(&mut self, now: TimeMillis) {
        self.leaving = true;
        for call in self.queue.remove_all() {
            self.fail_row(call_of(&call), leaving(), now);
        }
    }

    /// Takes new calls again.
    pub const fn cancel_leave(&mut self) {
        self.leaving = false;
    }

    /// Refuses new calls from now on unless calls wait or run; tells whether it does.
    pub fn suspend_if_idle(&mut self) -> bool {
        let idle = self.queue.is_empty() && self.running == 0;
        self.suspended |= idle;
        idle
    }

    /// Refuses new calls or takes them again, whatever waits or runs.
    pub const fn set_suspended(&mut self, suspended: bool) {
        self.suspended = suspended;
    }

    /// Returns whether a call runs, or one that ended since `ended_since` has an outcome that nobody has read.
    pub fn has_open_or_unread(&self, ended_since: TimeMillis) -> bool {
        self.rows.values().any(|row| {
            let unread =
                row.phase == CallPhase::Finished && row.changed >= ended_since && !row.output.is_read();
            row.is_open() || unread
        })
    }

    /// Drops old rows; what must not run again leaves a tombstone.
    pub fn drop_old(&mut self, now: TimeMillis) {
        let ended_before = TimeMillis(now.0.saturating_sub(ENDED_KEEP_MS));
        let finished_before = TimeMillis(now.0.saturating_sub(FINISHED_KEEP_MS));
        let surplus_before = self.surplus_before();
        let programs = &self.programs;
        let old = |call: &CallKey, row: &CallRow| {
            let ended = programs.is_released(call.program) && row.changed < ended_before;
            !row.is_open() && (ended || row.changed < finished_before || row.changed < surplus_before)
        };
        let dropped: Vec<_> = self.rows.extract_if(.., |call, row| old(call, row)).collect();
        for (call, row) in dropped {
            if let Some(tombstone) = tombstone_of(&row) {
                self.tombstones.insert(call, tombstone);
            }
        }
        let idle_since = TimeMillis(now.0.saturating_sub(FENCE_KEEP_MS));
        for program in self.programs.drop_ended(idle_since) {
            let calls = super::calls_of(program);
            self.tombstones.extract_if(calls, |_, _| true).for_each(drop);
        }
    }

    /// Returns the time before which rows are dropped for their number.
    fn surplus_before(&self) -> TimeMillis {
        if self.rows.len() <= FINISHED_KEEP_ROWS {
            return TimeMillis(0);
        }
        let mut changed: Vec<_> = self
            .rows
            .values()
            .filter(|row| !row.is_open())
            .map(|row| row.changed)
            .collect();
        let Some(surplus) = changed
            .len()
            .checked_sub(FINISHED_KEEP_ROWS)
            .filter(|surplus| *surplus > 0)
        else {
            return TimeMillis(0);
        };
        let (_, limit, _) = changed.select_nth_unstable(surplus);
        *limit
    }
}

fn call_of(call: &QueuedCall) -> CallKey {
    call.order.attempt().call
}

fn tombstone_of(row: &CallRow) -> Option<CallTombstone> {
    match row.phase {
        CallPhase::Waiting | CallPhase::Running => None,
        _ if !row.has_run() => Some(CallTombstone::Promised),
        CallPhase::Finished if row.repeatable => Some(CallTombstone::MayRepeat(row.attempt)),
        _ => Some(CallTombstone::Ran),
    }
}
