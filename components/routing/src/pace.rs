//! Pace of the backend servers that produce event streams, as one entry observes it.
//!
//! Load pattern: a third of the servers needs 30 % longer for each event, and single servers turn slow for some
//! seconds. A program whose session stays on a slow server ends late although every other server is in time. The
//! entry therefore compares the time between events over the servers. A sample counts less as it ages, so that a
//! server that was slow is tried again.

use crate::directory::{ServerDirectory, ServerKey};

/// Thousandths by which one more running request makes the steps of an engine longer.
pub(crate) const STEP_GROWTH_PERMILLE: u64 = 35;
/// Number of samples of a server beyond which older ones lose weight.
const MAX_SAMPLES: u64 = 6;
/// Number of samples whose weight the mean of the service has in the estimate for one server.
const MEAN_SAMPLES: u64 = 1;
/// Age in milliseconds at which a sample of a server no longer counts.
const SAMPLE_LIFE_MS: u64 = 30_000;
/// Divisor of the weight of a new sample in the mean of the service.
const MEAN_SHARE: u64 = 16;
/// Time between two events in microseconds until the first stream has ended.
const DEFAULT_EVENT_US: u64 = 30_000;
/// Number of events of a stream until the first one has ended.
const DEFAULT_EVENTS: u64 = 10;
/// Fixed-point scale of the mean number of events.
const EVENT_SCALE: u64 = 256;

/// Time between two events of a finished stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceSample {
    /// Mean time between two events, in microseconds.
    pub event_us: u64,
    /// Number of events.
    pub events: u64,
}

/// Samples of one server.
#[derive(Debug, Clone, Copy)]
struct ServerPace {
    key: ServerKey,
    event_us: u64,
    samples: u64,
    sampled_at_ms: u64,
}

/// Pace of the servers of one service, sorted by key.
#[derive(Debug, Clone)]
pub struct PaceTracker {
    paces: Vec<ServerPace>,
    mean_event_us: u64,
    mean_events_scaled: u64,
}

impl Default for PaceTracker {
    fn default() -> Self {
        Self {
            paces: Vec::new(),
            mean_event_us: DEFAULT_EVENT_US,
            mean_events_scaled: DEFAULT_EVENTS * EVENT_SCALE,
        }
    }
}

impl PaceTracker {
    /// Adds the pace of a stream that a server has sent.
    pub fn record(&mut self, key: ServerKey, sample: PaceSample, now_ms: u64) {
        self.mean_event_us = blend(self.mean_event_us, sample.event_us, MEAN_SHARE);
        self.mean_events_scaled = blend(self.mean_events_scaled, sample.events * EVENT_SCALE, MEAN_SHARE);
        match self.paces.binary_search_by_key(&key, |pace| pace.key) {
            Ok(index) => {
                let pace = &mut self.paces[index];
                let weight = pace.weight(now_ms).min(MAX_SAMPLES - 1);
                pace.event_us = (pace.event_us * weight + sample.event_us) / (weight + 1);
                pace.samples = weight + 1;
                pace.sampled_at_ms = now_ms;
            }
            Err(index) => {
                let pace = ServerPace {
                    key,
                    event_us: sample.event_us,
                    samples: 1,
                    sampled_at_ms: now_ms,
                };
                self.paces.insert(index, pace);
            }
        }
    }

    /// Removes the servers that are no longer listed.
    pub fn remove_unlisted(&mut self, directory: &ServerDirectory) {
        let mut keys: Vec<ServerKey> = directory.all().map(|(key, _)| key).collect();
        keys.sort_unstable();
        self.paces.retain(|pace| keys.binary_search(&pace.key).is_ok());
    }

    /// Returns the expected time of a whole stream of a server in microseconds, from its first event on. Without a
    /// number of events, their mean is used.
    pub fn stream_us(&self, key: ServerKey, events: Option<u64>, now_ms: u64) -> u64 {
        let event_us = match self.paces.binary_search_by_key(&key, |pace| pace.key) {
            Ok(index) => {
                let pace = &self.paces[index];
                let weight = pace.weight(now_ms);
                (self.mean_event_us * MEAN_SAMPLES + pace.event_us * weight) / (MEAN_SAMPLES + weight)
            }
            Err(_) => self.mean_event_us,
        };
        let events_scaled = events.map_or(self.mean_events_scaled, |events| {
            events.saturating_mul(EVENT_SCALE)
        });
        event_us.saturating_mul(events_scaled) / EVENT_SCALE
    }

    /// Returns the expected time of a whole stream of any server in microseconds.
    pub const fn mean_stream_us(&self) -> u64 {
        self.mean_event_us * self.mean_events_scaled / EVENT_SCALE
    }

    /// Returns the mean time between two events over all servers, in microseconds.
    pub const fn mean_event_us(&self) -> u64 {
        self.mean_event_us
    }
}

impl ServerPace {
    /// Returns the number of samples that still count.
    fn weight(&self, now_ms: u64) -> u64 {
        let age_ms = now_ms.saturating_sub(self.sampled_at_ms).min(SAMPLE_LIFE_MS);
        self.samples * (SAMPLE_LIFE_MS - age_ms) / SAMPLE_LIFE_MS
    }
}

/// Returns a mean after one more value, which has the weight `1 / share`.
const fn blend(mean: u64, value: u64, share: u64) -> u64 {
    (mean * (share - 1) + value) / share
}
