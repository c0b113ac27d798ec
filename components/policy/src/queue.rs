//! Queue of waiting calls.

use std::collections::BTreeMap;

/// Place of a waiting call; smaller goes first, and calls of one priority keep the order of their arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallOrder {
    /// Priority of the call.
    pub priority: u64,
    /// Number of the insertion.
    pub sequence: u64,
}

/// Waiting calls in their order, as indices into the caller's arena.
///
/// A balanced tree, since a sorted vector of 57,000 calls would move half of itself at each insertion.
#[derive(Debug, Default)]
pub struct CallQueue {
    calls: BTreeMap<CallOrder, u32>,
    sequence: u64,
}

impl CallQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Inserts a call and returns its place.
    pub fn insert(&mut self, priority: u64, call: u32) -> CallOrder {
        self.sequence += 1;
        let order = CallOrder {
            priority,
            sequence: self.sequence,
        };
        self.calls.insert(order, call);
        order
    }

    /// Removes and returns the call that goes first.
    pub fn pop(&mut self) -> Option<u32> {
        self.calls.pop_first().map(|(_, call)| call)
    }

    /// Returns the place of the call that goes first, and the call.
    pub fn first(&self) -> Option<(CallOrder, u32)> {
        self.calls.first_key_value().map(|(order, call)| (*order, *call))
    }

    /// Removes the call at a place; `None` when it has left already.
    pub fn remove(&mut self, order: CallOrder) -> Option<u32> {
        self.calls.remove(&order)
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
