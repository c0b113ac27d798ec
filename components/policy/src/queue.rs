//! Priority queue of waiting calls.

use std::collections::BTreeMap;

/// Sort key of a waiting call. The smallest key goes first; calls of equal priority keep their order of
/// arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    /// Priority of the call, as [`crate::call_priority`] computes it.
    pub priority: u64,
    /// Number of the insertion, counted from 1 for each queue.
    pub sequence: u64,
}

/// Waiting calls sorted by [`QueueKey`], as indices into the caller's arena.
///
/// Uses a balanced tree, because an insertion into a sorted vector of 57,000 calls would move half of its
/// elements.
#[derive(Debug, Default)]
pub struct CallQueue {
    calls: BTreeMap<QueueKey, u32>,
    sequence: u64,
}

impl CallQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Inserts a call and returns its key.
    pub fn insert(&mut self, priority: u64, call: u32) -> QueueKey {
        self.sequence += 1;
        let key = QueueKey {
            priority,
            sequence: self.sequence,
        };
        self.calls.insert(key, call);
        key
    }

    /// Removes and returns the call that goes first.
    pub fn pop(&mut self) -> Option<u32> {
        self.calls.pop_first().map(|(_, call)| call)
    }

    /// Returns the key of the call that goes first, and the call.
    pub fn first(&self) -> Option<(QueueKey, u32)> {
        self.calls.first_key_value().map(|(key, call)| (*key, *call))
    }

    /// Removes the call with a key; returns `None` when the queue no longer holds it.
    pub fn remove(&mut self, key: QueueKey) -> Option<u32> {
        self.calls.remove(&key)
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
