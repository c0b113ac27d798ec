//! Prefix cache, one entry per program, with a capacity in tokens. Its events are delayed and may be lost.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::prompt::TokenDigest;

/// Largest number of events that can be read; the oldest ones are discarded.
const MAX_EVENTS: usize = 10_000;

/// Kind of change to a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// The prefix was stored or has grown.
    Stored,
    /// The prefix was removed.
    Removed,
}

/// A change of the cache, as published to readers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// Sequence number; a missing number means that an event was lost.
    pub number: u64,
    /// Id of the program.
    pub program: String,
    /// Tokens of the prefix.
    pub tokens: u64,
    /// Kind of change.
    pub kind: CacheChange,
}

/// A program's cached prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CachedProgram {
    /// Id of the program.
    pub program: String,
    /// Tokens of the prefix.
    pub tokens: u64,
}

/// A prefix in a form that another engine can import.
#[derive(Debug, Serialize)]
pub(crate) struct ExportedCache {
    handle: String,
    tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    tokens: u64,
    digest: u64,
    last_used: u64,
}

/// Prefix cache of an engine.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_tokens: u64,
    used_tokens: u64,
    /// Number of the latest access; orders the entries by their last use.
    access_sequence: u64,
    entries: BTreeMap<String, CacheEntry>,
    events: VecDeque<(Instant, CacheEvent)>,
    last_event_number: u64,
    event_lag: Duration,
    event_gap: u64,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity_tokens`. Its events become visible after `event_lag`, and every
    /// `event_gap`th is lost.
    pub(crate) fn new(capacity_tokens: u64, event_lag: Duration, event_gap: u64) -> Self {
        Self {
            capacity_tokens,
            used_tokens: 0,
            access_sequence: 0,
            entries: BTreeMap::new(),
            events: VecDeque::new(),
            last_event_number: 0,
            event_lag,
            event_gap,
        }
    }

    /// Returns the number of tokens in the cache.
    pub(crate) const fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Returns the number of tokens of the program's cached prefix when the text begins with it, otherwise 0.
    pub(crate) fn match_prefix<'a>(&mut self, program: &str, texts: impl Iterator<Item = &'a str>) -> u64 {
        self.access_sequence += 1;
        let Some(entry) = self.entries.get_mut(program) else {
            return 0;
        };
        entry.last_used = self.access_sequence;
        let mut digest = TokenDigest::default();
        for word in texts.flat_map(str::split_whitespace) {
            if digest.tokens() == entry.tokens {
                break;
            }
            digest.push(word);
        }
        let matches = digest.tokens() == entry.tokens && digest.digest() == entry.digest;
        if matches { entry.tokens } else { 0 }
    }

    /// Stores a prefix and evicts the least recently used programs to make room for it. A prefix larger than
    /// the cache is not stored.
    pub(crate) fn store(&mut self, program: &str, tokens: u64, digest: u64) {
        self.remove_entry(program);
        if tokens > self.capacity_tokens {
            self.publish(program, 0, CacheChange::Removed);
            return;
        }
        while self.used_tokens + tokens > self.capacity_tokens {
            let least_recent = self.entries.iter().min_by_key(|(_, entry)| entry.last_used);
            let Some(least_recent) = least_recent.map(|(name, _)| name.clone()) else {
                break;
            };
            self.release(&least_recent);
        }
        self.access_sequence += 1;
        let last_used = self.access_sequence;
        self.used_tokens += tokens;
        self.entries.insert(
            program.to_owned(),
            CacheEntry {
                tokens,
                digest,
                last_used,
            },
        );
        self.publish(program, tokens, CacheChange::Stored);
    }

    /// Removes a program's prefix, if there is one.
    pub(crate) fn release(&mut self, program: &str) {
        if let Some(tokens) = self.remove_entry(program) {
            self.publish(program, tokens, CacheChange::Removed);
        }
    }

    /// Returns a handle of a program's prefix for import into another engine.
    pub(crate) fn export(&self, program: &str) -> Option<ExportedCache> {
        let CacheEntry { tokens, digest, .. } = *self.entries.get(program)?;
        let handle = format!("kv:{tokens}:{digest:016x}");
        Some(ExportedCache { handle, tokens })
    }

    /// Stores the prefix that a handle describes. Returns false when the handle is not valid.
    pub(crate) fn import(&mut self, program: &str, handle: &str) -> bool {
        let parts = handle.strip_prefix("kv:").and_then(|rest| rest.split_once(':'));
        let parsed = parts
            .and_then(|(tokens, digest)| Some((tokens.parse().ok()?, u64::from_str_radix(digest, 16).ok()?)));
        let Some((tokens, digest)) = parsed else {
            return false;
        };
        self.store(program, tokens, digest);
        true
    }

    /// Lists the programs with a cached prefix.
    pub(crate) fn list(&self) -> Vec<CachedProgram> {
        let rows = self.entries.iter().map(|(program, entry)| CachedProgram {
            program: program.clone(),
            tokens: entry.tokens,
        });
        rows.collect()
    }

    /// Returns the visible events whose number is above `number`.
    pub(crate) fn events_after(&self, number: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let visible = self
            .events
            .iter()
            .filter(|(time, event)| *time + self.event_lag <= now && event.number > number);
        visible.map(|(_, event)| event.clone()).collect()
    }

    fn remove_entry(&mut self, program: &str) -> Option<u64> {
        let entry = self.entries.remove(program)?;
        self.used_tokens -= entry.tokens;
        Some(entry.tokens)
    }

    fn publish(&mut self, program: &str, tokens: u64, kind: CacheChange) {
        self.last_event_number += 1;
        if self.event_gap > 0 && self.last_event_number.is_multiple_of(self.event_gap) {
            return;
        }
        let event = CacheEvent {
            number: self.last_event_number,
            program: program.to_owned(),
            tokens,
            kind,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
