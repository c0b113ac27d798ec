//! Backend servers that limit the requests that they take, as their answers say.
//!
//! Load pattern: servers in need name the rate of requests that they take from all hosts together, and lift it again by
//! naming none. Answers overtake one another: one to a request that was sent before the limit was known says nothing
//! about whether the limit still stands.

use domain::RequestRate;

use crate::directory::{ServerDirectory, ServerKey};

/// Interval at which the other entries are told of a limit that stands, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 60_000;

/// Limit of a backend server, as an answer named it last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimit {
    /// Rate that the server takes from all entries together.
    pub rate: RequestRate,
    /// When an answer named it last, in milliseconds of a monotonic clock.
    pub heard_at_ms: u64,
    /// When the next permit for a request is expected, in milliseconds of the same clock.
    pub next_at_ms: u64,
    /// When the other entries were told last.
    reported_at_ms: u64,
}

/// The limits that the choice of a server for one request takes into account.
#[derive(Debug, Clone, Copy)]
pub struct LimitQuery<'a> {
    /// Limits of all servers.
    pub limits: &'a LimitTracker,
    /// Longest time for which the request can wait for a permit, in milliseconds; `None` if limited servers have refused
    /// it too often, so that they are the last choice.
    pub max_wait_ms: Option<u64>,
}

impl LimitQuery<'_> {
    /// Returns the time in milliseconds until a server is expected to take the request.
    pub(crate) fn wait_ms(&self, key: ServerKey, now_ms: u64) -> u64 {
        let limit = self.limits.limit(key);
        limit.map_or(0, |limit| limit.next_at_ms.saturating_sub(now_ms))
    }

    /// Returns whether a server is the last choice, because it takes the request too late or has refused it.
    pub(crate) fn is_last_choice(&self, key: ServerKey, now_ms: u64) -> bool {
        match self.max_wait_ms {
            Some(max_wait_ms) => self.wait_ms(key, now_ms) > max_wait_ms,
            None => self.limits.limit(key).is_some(),
        }
    }
}

/// Returns the number of requests that a limited server runs at the same time while it gets as many as it allows.
/// `stream_us` is the time that it takes for one, in microseconds.
pub fn limited_slots(capacity: u32, rate: RequestRate, stream_us: u64) -> u32 {
    // The rate is in thousandths of a request per second.
    let slots = rate.0.saturating_mul(stream_us) / 1_000_000_000;
    u32::try_from(slots).unwrap_or(u32::MAX).clamp(1, capacity.max(1))
}

/// The limits of backend servers, sorted by the key of the server.
#[derive(Debug, Clone, Default)]
pub struct LimitTracker {
    limits: Vec<(ServerKey, ServerLimit)>,
}

impl LimitTracker {
    /// Adopts a limit that another entry has reported, unless this one knows something later. Returns whether the server
    /// had no limit before.
    pub fn adopt(&mut self, key: ServerKey, rate: RequestRate, heard_at_ms: u64) -> bool {
        match self.position_of(key) {
            Ok(index) => {
                let limit = &mut self.limits[index].1;
                if heard_at_ms > limit.heard_at_ms {
                    limit.rate = rate;
                    limit.heard_at_ms = heard_at_ms;
                }
                false
            }
            Err(index) => {
                let limit = ServerLimit {
                    rate,
                    heard_at_ms,
                    next_at_ms: 0,
                    reported_at_ms: heard_at_ms,
                };
                self.limits.insert(index, (key, limit));
                true
            }
        }
    }

    /// Returns whether the other entries are to be told of a server's limit, and records that they are.
    pub fn must_report(&mut self, key: ServerKey, now_ms: u64) -> bool {
        let Ok(index) = self.position_of(key) else {
            return false;
        };
        let limit = &mut self.limits[index].1;
        let is_due = limit.reported_at_ms == 0 || now_ms >= limit.reported_at_ms + REPORT_INTERVAL_MS;
        if is_due {
            limit.reported_at_ms = now_ms;
        }
        is_due
    }

    /// Records that an answer has named a limit. Returns whether the rate is new or changed.
    pub fn record_limited(&mut self, key: ServerKey, rate: RequestRate, now_ms: u64) -> bool {
        let index = match self.position_of(key) {
            Ok(index) => index,
            Err(index) => {
                let limit = ServerLimit {
                    rate,
                    heard_at_ms: now_ms,
                    next_at_ms: 0,
                    reported_at_ms: 0,
                };
                self.limits.insert(index, (key, limit));
                return true;
            }
        };
        let limit = &mut self.limits[index].1;
        limit.heard_at_ms = now_ms;
        std::mem::replace(&mut limit.rate, rate) != rate
    }

    /// Records when the next permit of a server is expected.
    pub fn record_next(&mut self, key: ServerKey, next_at_ms: u64) {
        if let Ok(index) = self.position_of(key) {
            self.limits[index].1.next_at_ms = next_at_ms;
        }
    }

    /// Forgets the limit of a server that has lifted it in an answer to another entry.
    pub fn remove(&mut self, key: ServerKey) {
        if let Ok(index) = self.position_of(key) {
            self.limits.remove(index);
        }
    }

    /// Returns whether any server has a limit.
    pub const fn is_empty(&self) -> bool {
        self.limits.is_empty()
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
