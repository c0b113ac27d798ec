//! Cache of turns that this entry has recently served or fetched. It saves the calls to ledger hosts for most
//! chains.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use ledger::{LARGE_PAYLOAD_BYTES, TurnKey, TurnRecord};

/// Capacity of the cache in bytes of inputs and outputs; a fraction of the smallest entry's memory.
const CACHE_CAPACITY_BYTES: usize = 20 * 1024 * 1024;

/// Largest turn that is cached, in bytes.
const MAX_CACHED_BYTES: usize = LARGE_PAYLOAD_BYTES;

/// Turns by key, in two maps: when the newer one holds half of the capacity, it replaces the older one.
#[derive(Debug, Default)]
pub(crate) struct ChainCache {
    maps: Mutex<TurnMaps>,
}

#[derive(Debug, Default)]
struct TurnMaps {
    newer: HashMap<TurnKey, TurnRecord>,
    older: HashMap<TurnKey, TurnRecord>,
    newer_bytes: usize,
}

impl TurnMaps {
    fn get(&self, turn: TurnKey) -> Option<&TurnRecord> {
        self.newer.get(&turn).or_else(|| self.older.get(&turn))
    }
}

impl ChainCache {
    /// Adds a turn unless it is large; the oldest turns may be evicted.
    pub(crate) fn insert(&self, record: TurnRecord) {
        if record.payload_bytes() > MAX_CACHED_BYTES {
            return;
        }
        let mut maps = self.maps.lock().unwrap_or_else(PoisonError::into_inner);
        maps.newer_bytes += record.payload_bytes();
        maps.newer.insert(record.turn, record);
        if maps.newer_bytes > CACHE_CAPACITY_BYTES / 2 {
            maps.older = std::mem::take(&mut maps.newer);
            maps.newer_bytes = 0;
        }
    }

    /// Returns a turn and all turns before it, the newest first, or `None` unless all of them are cached.
    pub(crate) fn chain(&self, turn: TurnKey) -> Option<Vec<TurnRecord>> {
        let maps = self.maps.lock().unwrap_or_else(PoisonError::into_inner);
        let mut chain = Vec::new();
        let mut next = Some(turn);
        while let Some(turn) = next {
            let record = maps.get(turn)?;
            chain.push(record.clone());
            next = record.previous;
        }
        Some(chain)
    }
}

/// Returns the size of the inputs and outputs of turns in bytes.
pub(crate) fn chain_bytes(chain: &[TurnRecord]) -> usize {
    chain.iter().map(TurnRecord::payload_bytes).sum()
}

/// Returns the body for the backend server: inputs and outputs of the chain, the oldest first, then the new
/// input.
pub(crate) fn chained_body(chain: &[TurnRecord], input: &Bytes) -> Bytes {
    if chain.is_empty() {
        return input.clone();
    }
    let mut body = Vec::with_capacity(chain_bytes(chain) + input.len());
    for turn in chain.iter().rev() {
        body.extend_from_slice(&turn.input);
        body.extend_from_slice(&turn.output);
    }
    body.extend_from_slice(input);
    body.into()
}
