//! Turns that this entry has served or read lately, so that most chains need no call.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use ledger::{TurnKey, TurnRecord};

/// Bytes of turns that are kept; a fraction of the smallest entry's memory.
const CACHE_BYTES: usize = 20 * 1024 * 1024;

/// Turns by key, in two generations: when the newer one is full, the older one is dropped.
#[derive(Debug, Default)]
pub(crate) struct ChainCache {
    generations: Mutex<TurnGenerations>,
}

#[derive(Debug, Default)]
struct TurnGenerations {
    newer: HashMap<TurnKey, TurnRecord>,
    older: HashMap<TurnKey, TurnRecord>,
    newer_bytes: usize,
}

impl TurnGenerations {
    fn get(&self, turn: TurnKey) -> Option<&TurnRecord> {
        self.newer.get(&turn).or_else(|| self.older.get(&turn))
    }
}

impl ChainCache {
    /// Adds a turn.
    pub(crate) fn insert(&self, record: TurnRecord) {
        let mut generations = self.generations.lock().unwrap_or_else(PoisonError::into_inner);
        generations.newer_bytes += record.input.len() + record.output.len();
        generations.newer.insert(record.turn, record);
        if generations.newer_bytes > CACHE_BYTES / 2 {
            generations.older = std::mem::take(&mut generations.newer);
            generations.newer_bytes = 0;
        }
    }

    /// Returns a turn and those before it, the newest first, when all are here.
    pub(crate) fn chain(&self, turn: TurnKey) -> Option<Vec<TurnRecord>> {
        let generations = self.generations.lock().unwrap_or_else(PoisonError::into_inner);
        let mut chain = Vec::new();
        let mut next = Some(turn);
        while let Some(turn) = next {
            let record = generations.get(turn)?;
            chain.push(record.clone());
            next = record.previous;
        }
        Some(chain)
    }
}

/// Returns the body for the backend server: inputs and outputs of the chain, the oldest first, then the input.
pub(crate) fn body_of(chain: &[TurnRecord], input: &Bytes) -> Bytes {
    if chain.is_empty() {
        return input.clone();
    }
    let length: usize = chain
        .iter()
        .map(|turn| turn.input.len() + turn.output.len())
        .sum();
    let mut body = Vec::with_capacity(length + input.len());
    for turn in chain.iter().rev() {
        body.extend_from_slice(&turn.input);
        body.extend_from_slice(&turn.output);
    }
    body.extend_from_slice(input);
    body.into()
}
