//! Prefix cache by program in bounded memory, and its late and gappy events.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::prompt::TokenDigest;

/// Number of events that stay readable.
const MAX_EVENTS: usize = 10_000;

/// What happened to a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// The prefix was stored or has grown.
    Stored,
    /// The prefix was removed.
    Removed,
}

/// A change of the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// Number; a missing one is a gap.
    pub number: u64,
    /// Program.
    pub program: String,
    /// Tokens of the prefix.
    pub tokens: u64,
    /// Change.
    pub kind: CacheChange,
}

/// A program's cached prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CachedProgram {
    /// Program.
    pub program: String,
    /// Tokens of the prefix.
    pub tokens: u64,
}

/// A prefix that another engine can import.
#[derive(Debug, Serialize)]
pub(crate) struct ExportedCache {
    handle: String,
    tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    tokens: u64,
    digest: u64,
    used: u64,
}

/// Prefix cache of an engine.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    size: u64,
    used: u64,
    clock: u64,
    entries: BTreeMap<String, CacheEntry>,
    events: VecDeque<(Instant, CacheEvent)>,
    last_event: u64,
    event_lag: Duration,
    event_gap: u64,
}

impl PrefixCache {
    /// Creates a cache of `size` tokens whose events are late by `event_lag`; each `event_gap`th is lost.
    pub(crate) fn new(size: u64, event_lag: Duration, event_gap: u64) -> Self {
        Self {
            size,
            used: 0,
            clock: 0,
            entries: BTreeMap::new(),
            events: VecDeque::new(),
            last_event: 0,
            event_lag,
            event_gap,
        }
    }

    /// Returns the tokens held.
    pub(crate) const fn used(&self) -> u64 {
        self.used
    }

    /// Returns how many first tokens of the text the cache holds for the program.
    pub(crate) fn match_prefix<'a>(&mut self, program: &str, texts: impl Iterator<Item = &'a str>) -> u64 {
        self.clock += 1;
        let Some(entry) = self.entries.get_mut(program) else {
            return 0;
        };
        entry.used = self.clock;
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

    /// Stores a prefix, evicting the least recently used programs; one larger than the cache is not kept.
    pub(crate) fn store(&mut self, program: &str, tokens: u64, digest: u64) {
        self.drop_entry(program);
        if tokens > self.size {
            self.publish(program, 0, CacheChange::Removed);
            return;
        }
        while self.used + tokens > self.size {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.used);
            let Some(oldest) = oldest.map(|(name, _)| name.clone()) else {
                break;
            };
            self.release(&oldest);
        }
        self.clock += 1;
        let used = self.clock;
        self.used += tokens;
        self.entries
            .insert(program.to_owned(), CacheEntry { tokens, digest, used });
        self.publish(program, tokens, CacheChange::Stored);
    }

    /// Removes a program's prefix.
    pub(crate) fn release(&mut self, program: &str) {
        if let Some(tokens) = self.drop_entry(program) {
            self.publish(program, tokens, CacheChange::Removed);
        }
    }

    /// Returns the portable handle of a program's prefix and its tokens.
    pub(crate) fn export(&self, program: &str) -> Option<ExportedCache> {
        let CacheEntry { tokens, digest, .. } = *self.entries.get(program)?;
        let handle = format!("kv:{tokens}:{digest:016x}");
        Some(ExportedCache { handle, tokens })
    }

    /// Stores the prefix of a handle; returns whether the handle is valid.
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

    /// Lists the programs.
    pub(crate) fn list(&self) -> Vec<CachedProgram> {
        let rows = self.entries.iter().map(|(program, entry)| CachedProgram {
            program: program.clone(),
            tokens: entry.tokens,
        });
        rows.collect()
    }

    /// Returns the visible events behind a number.
    pub(crate) fn events_after(&self, number: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let visible = self
            .events
            .iter()
            .filter(|(time, event)| *time + self.event_lag <= now && event.number > number);
        visible.map(|(_, event)| event.clone()).collect()
    }

    fn drop_entry(&mut self, program: &str) -> Option<u64> {
        let entry = self.entries.remove(program)?;
        self.used -= entry.tokens;
        Some(entry.tokens)
    }

    fn publish(&mut self, program: &str, tokens: u64, kind: CacheChange) {
        self.last_event += 1;
        if self.event_gap > 0 && self.last_event.is_multiple_of(self.event_gap) {
            return;
        }
        let event = CacheEvent {
            number: self.last_event,
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
