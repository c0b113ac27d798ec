//! Ends of calls: outcomes, expiry, a leaving or suspended agent, and the removal of old rows.

use domain::{AttemptKey, CallKey, CallOutcome, TimeMillis};

use super::CallTable;
use super::dispatch::{expired, leaving};
use super::settle::cancelled;
use crate::queue::QueuedCall;
use crate::row::{CallPhase, CallRow, CallTombstone};

/// Period for which the outcomes of an ended program's calls stay readable.
const ENDED_ROW_RETENTION_MS: u64 = 60_000;
/// Period for which the outcomes of a running program's calls stay readable.
const FINISHED_ROW_RETENTION_MS: u64 = 3_600_000;
/// Largest number of rows of calls that neither wait nor run.
const MAX_CLOSED_ROWS: usize = 20_000;
/// Period after its last use for which an ended program keeps its fence and its tombstones.
const FENCE_RETENTION_MS: u64 = 24 * 3_600_000;

impl CallTable {
    /// Records the end of an attempt that `start_next` returned, and queues the attempt that supersedes it.
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
        self.record_use(attempt.call.program, fills_cache, now);
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

    /// Fails the waiting calls whose deadline to start has passed.
    pub fn expire_waiting(&mut self, now: TimeMillis) {
        for call in self.queue.remove_expired(now) {
            self.fail_row(call.order.attempt().call, expired(), now);
        }
    }

    /// Starts to leave: refuses new calls and fails all waiting ones.
    pub fn leave(&mut self, now: TimeMillis) {
        self.leaving = true;
        for call in self.queue.remove_all() {
            self.fail_row(call_of(&call), leaving(), now);
        }
    }

    /// Stops leaving: new calls are accepted again.
    pub const fn cancel_leave(&mut self) {
        self.leaving = false;
    }

    /// Refuses new calls from now on if no call waits or runs, and returns whether that was so.
    pub fn suspend_if_idle(&mut self) -> bool {
        let idle = self.queue.is_empty() && self.running == 0;
        self.suspended |= idle;
        idle
    }

    /// Sets whether new calls are refused, regardless of calls that wait or run.
    pub const fn set_suspended(&mut self, suspended: bool) {
        self.suspended = suspended;
    }

    /// Returns whether a call waits or runs, or the outcome of one that ended since `ended_since` is unread.
    pub fn has_open_or_unread(&self, ended_since: TimeMillis) -> bool {
        self.rows.values().any(|row| {
            let unread =
                row.phase == CallPhase::Finished && row.changed_at >= ended_since && !row.output.is_read();
            row.is_open() || unread
        })
    }

    /// Drops old rows and replaces them by tombstones, which keep the calls from running again.
    ///
    /// Also drops programs that ended long ago, with their tombstones.
    pub fn drop_old(&mut self, now: TimeMillis) {
        let ended_cutoff = TimeMillis(now.0.saturating_sub(ENDED_ROW_RETENTION_MS));
        let finished_cutoff = TimeMillis(now.0.saturating_sub(FINISHED_ROW_RETENTION_MS));
        let surplus_cutoff = self.surplus_cutoff();
        let programs = &self.programs;
        let old = |call: &CallKey, row: &CallRow| {
            let ended = programs.is_released(call.program) && row.changed_at < ended_cutoff;
            !row.is_open() && (ended || row.changed_at < finished_cutoff || row.changed_at < surplus_cutoff)
        };
        let dropped: Vec<_> = self.rows.extract_if(.., |call, row| old(call, row)).collect();
        for (call, row) in dropped {
            if let Some(tombstone) = tombstone_of(&row) {
                self.tombstones.insert(call, tombstone);
            }
        }
        let idle_since = TimeMillis(now.0.saturating_sub(FENCE_RETENTION_MS));
        for program in self.programs.drop_ended(idle_since) {
            let calls = super::calls_of(program);
            self.tombstones.extract_if(calls, |_, _| true).for_each(drop);
        }
    }

    /// Returns the time before which closed rows are dropped because of `MAX_CLOSED_ROWS`, 0 for none.
    fn surplus_cutoff(&self) -> TimeMillis {
        if self.rows.len() <= MAX_CLOSED_ROWS {
            return TimeMillis(0);
        }
        let mut changed: Vec<_> = self
            .rows
            .values()
            .filter(|row| !row.is_open())
            .map(|row| row.changed_at)
            .collect();
        let Some(surplus) = changed
            .len()
            .checked_sub(MAX_CLOSED_ROWS)
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
        _ if !row.has_run() => Some(CallTombstone::NeverRuns),
        CallPhase::Finished if row.repeatable => Some(CallTombstone::MayRepeat(row.attempt)),
        _ => Some(CallTombstone::Ran),
    }
}
