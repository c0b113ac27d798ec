//! Backend servers that limit the requests that they take, as their answers say.
//!
//! Load pattern: servers in need name the rate of requests that they take from all hosts together, and lift it again by
//! naming none. Answers overtake one another: one to a request that was sent before the limit was known says nothing
//! about whether the limit still stands.

use domain::RequestRate;

use crate::directory::{ServerDirectory, ServerKey};

/// Limit of a backend server, as an answer to this entry named it last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimit {
    /// Rate that the server takes from all entries together.
    pub rate: RequestRate,
    /// When an answer named it last, in milliseconds of a monotonic clock.
    pub heard_at_ms: u64,
}

/// The limits of backend servers, sorted by the key of the server.
#[derive(Debug, Clone, Default)]
pub struct LimitTracker {
    limits: Vec<(ServerKey, ServerLimit)>,
}

impl LimitTracker {
    /// Records that an answer has named a limit. Returns whether the rate is new or changed.
    pub fn record_limited(&mut self, key: ServerKey, rate: RequestRate, now_ms: u64) -> bool {
        let limit = ServerLimit {
            rate,
            heard_at_ms: now_ms,
        };
        match self.position_of(key) {
            Ok(index) => std::mem::replace(&mut self.limits[index].1, limit).rate != rate,
            Err(index) => {
                self.limits.insert(index, (key, limit));
                true
            }
        }
    }

    /// Records that an answer to a request sent at `sent_at_ms` has named no limit. Returns the limit that it lifts.
    pub fn record_unlimited(&mut self, key: ServerKey, sent_at_ms: u64) -> Option<ServerLimit> {
        let index = self.position_of(key).ok()?;
        let (_, limit) = self.limits[index];
        if sent_at_ms < limit.heard_at_ms {
            return None;
        }
        self.limits.remove(index);
        Some(limit)
    }

    /// Returns the limit of a server.
    pub fn limit(&self, key: ServerKey) -> Option<ServerLimit> {
        self.position_of(key).ok().map(|index| self.limits[index].1)
    }

    /// Removes the servers that are no longer listed.
    pub fn remove_unlisted(&mut self, directory: &ServerDirectory) {
        let mut keys: Vec<ServerKey> = directory.all().map(|(key, _)| key).collect();
        keys.sort_unstable();
        self.limits.retain(|(key, _)| keys.binary_search(key).is_ok());
    }

    fn position_of(&self, key: ServerKey) -> Result<usize, usize> {
        self.limits.binary_search_by_key(&key, |(key, _)| *key)
    }
}
