//! Queue of waiting calls: smaller priority values first, equal ones in the order of arrival.

use domain::{CallKey, TimeMillis};
use wire::DispatchOrder;

/// A waiting call.
#[derive(Debug, Clone)]
pub struct QueuedCall {
    /// Order as dispatched by the owner of the program.
    pub order: DispatchOrder,
    arrival: u64,
}

impl QueuedCall {
    const fn rank(&self) -> (u64, u64) {
        (self.order.priority(), self.arrival)
    }

    const fn start_before(&self) -> Option<TimeMillis> {
        match &self.order {
            DispatchOrder::Chat { start_before, .. } | DispatchOrder::Plain { start_before, .. } => {
                *start_before
            }
        }
    }

    /// Returns whether the deadline to start the call has passed.
    pub fn is_expired(&self, now: TimeMillis) -> bool {
        self.start_before().is_some_and(|limit| limit < now)
    }
}

/// Queue of calls, sorted so that the next one is last and its removal moves no other.
#[derive(Debug, Default)]
pub struct CallQueue {
    calls: Vec<QueuedCall>,
    arrivals: u64,
}

impl CallQueue {
    /// Returns the number of waiting calls.
    pub const fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call waits.
    pub const fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the waiting calls, the next one last.
    pub fn calls(&self) -> &[QueuedCall] {
        &self.calls
    }

    /// Adds a call after those of the same priority.
    pub fn push(&mut self, order: DispatchOrder) {
        self.arrivals += 1;
        let call = QueuedCall {
            order,
            arrival: self.arrivals,
        };
        let index = self.calls.partition_point(|other| other.rank() > call.rank());
        self.calls.insert(index, call);
    }

    /// Removes and returns the next call.
    pub fn pop(&mut self) -> Option<QueuedCall> {
        self.calls.pop()
    }

    /// Removes and returns the call with the key, at any position.
    pub fn remove(&mut self, key: CallKey) -> Option<QueuedCall> {
        let index = self
            .calls
            .iter()
            .position(|call| call.order.attempt().call == key)?;
        Some(self.calls.remove(index))
    }

    /// Removes and returns every call whose deadline to start has passed.
    pub fn remove_expired(&mut self, now: TimeMillis) -> Vec<QueuedCall> {
        self.calls.extract_if(.., |call| call.is_expired(now)).collect()
    }

    /// Removes and returns all calls.
    pub fn remove_all(&mut self) -> Vec<QueuedCall> {
        std::mem::take(&mut self.calls)
    }

    /// Returns the earliest deadline to start of the waiting calls.
    pub fn next_expiry(&self) -> Option<TimeMillis> {
        self.calls.iter().filter_map(QueuedCall::start_before).min()
    }
}
