//! Pace of the backend servers that produce event streams, as one entry observes it.
//!
//! Load pattern: a third of the servers needs 30 % longer for each event, and single servers turn slow for some
//! seconds. A program whose session stays on a slow server ends late although every other server is in time. The
//! entry therefore compares the time between events over the servers, and the time until the first event, which
//! grows while requests queue at a server. A sample counts less as it ages, so that a server that was slow is tried
//! again.

use crate::directory::{ServerDirectory, ServerKey};
use crate::reading::ReadEstimator;

/// Thousandths by which one more running request makes the steps of an engine longer.
pub(crate) const STEP_GROWTH_PERMILLE: u64 = 35;
/// Weight of one sample. A weight that fades in whole samples would drop a single one at once.
const SAMPLE_WEIGHT: u64 = 1_000;
/// Weight of the samples of a server beyond which older ones lose weight.
const MAX_WEIGHT: u64 = 6 * SAMPLE_WEIGHT;
/// Weight of the mean of the service in the estimate for one server.
const MEAN_WEIGHT: u64 = SAMPLE_WEIGHT;
/// Age in milliseconds at which the time between two events of a server no longer counts.
const EVENT_LIFE_MS: u64 = 30_000;
/// Age in milliseconds at which the delay of a server's first event no longer counts. A queue passes sooner than a
/// difference in speed.
const START_LIFE_MS: u64 = 3_000;
/// Divisor of the mean time between two events that gives the largest difference that load and chance explain. Servers
/// within it count as equal; else all entries would send their requests to the one that seemed fastest some seconds ago.
const EQUAL_PACE_DIVISOR: u64 = 10;
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

/// Beginning of a stream: its first event has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartSample {
    /// Time from the dispatch of the request to the first event, in microseconds.
    pub first_us: u64,
    /// Prompt tokens that the server was expected to read.
    pub read_tokens: u64,
}

/// Mean of the latest samples of one server.
#[derive(Debug, Clone, Copy, Default)]
struct SampleMean {
    value_us: u64,
    weight: u64,
    sampled_at_ms: u64,
}

impl SampleMean {
    /// Returns the weight that the samples still have.
    fn faded_weight(&self, life_ms: u64, now_ms: u64) -> u64 {
        let age_ms = now_ms.saturating_sub(self.sampled_at_ms).min(life_ms);
        self.weight * (life_ms - age_ms) / life_ms
    }

    fn record(&mut self, value_us: u64, life_ms: u64, now_ms: u64) {
        let older = self.faded_weight(life_ms, now_ms).min(MAX_WEIGHT - SAMPLE_WEIGHT);
        self.weight = older + SAMPLE_WEIGHT;
        self.value_us = (self.value_us * older + value_us * SAMPLE_WEIGHT) / self.weight;
        self.sampled_at_ms = now_ms;
    }

    /// Returns the estimate for the server, which is the mean of its service without samples of its own.
    fn estimate_us(&self, mean_us: u64, life_ms: u64, now_ms: u64) -> u64 {
        let weight = self.faded_weight(life_ms, now_ms);
        (mean_us * MEAN_WEIGHT + self.value_us * weight) / (MEAN_WEIGHT + weight)
    }
}

/// Samples of one server.
#[derive(Debug, Clone, Copy)]
struct ServerPace {
    key: ServerKey,
    events: SampleMean,
    starts: SampleMean,
}

/// Pace of the servers of one service, sorted by key.
#[derive(Debug, Clone)]
pub struct PaceTracker {
    paces: Vec<ServerPace>,
    mean_event_us: u64,
    mean_start_us: u64,
    mean_events_scaled: u64,
    reading: ReadEstimator,
}

impl Default for PaceTracker {
    fn default() -> Self {
        Self {
            paces: Vec::new(),
            mean_event_us: DEFAULT_EVENT_US,
            mean_start_us: 0,
            mean_events_scaled: DEFAULT_EVENTS * EVENT_SCALE,
            reading: ReadEstimator::default(),
        }
    }
}

impl PaceTracker {
    /// Adds the pace of a stream that a server has sent.
    pub fn record(&mut self, key: ServerKey, sample: PaceSample, now_ms: u64) {
        self.record_mean(sample);
        let pace = self.pace_mut(key);
        pace.events.record(sample.event_us, EVENT_LIFE_MS, now_ms);
    }

    /// Adds the pace of a stream to the mean of the service only, so that no server is preferred for it.
    pub fn record_mean(&mut self, sample: PaceSample) {
        self.mean_event_us = blend(self.mean_event_us, sample.event_us, MEAN_SHARE);
        self.mean_events_scaled = blend(self.mean_events_scaled, sample.events * EVENT_SCALE, MEAN_SHARE);
    }

    /// Adds the beginning of a stream of a server.
    pub fn record_start(&mut self, key: ServerKey, sample: StartSample, now_ms: u64) {
        let event_us = self.event_us(key, now_ms).max(1);
        // Compared at the mean speed, because fast servers get most of the long prompts.
        let first_us = sample.first_us.saturating_mul(self.mean_event_us) / event_us;
        self.reading.record(sample.read_tokens, first_us);
        let read_us = self.reading.read_us(sample.read_tokens).unwrap_or_default();
        let read_us = read_us.saturating_mul(event_us) / self.mean_event_us.max(1);
        let start_us = sample.first_us.saturating_sub(read_us);
        self.mean_start_us = blend(self.mean_start_us, start_us, MEAN_SHARE);
        let pace = self.pace_mut(key);
        pace.starts.record(start_us, START_LIFE_MS, now_ms);
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
        self.whole_stream_us(self.event_us(key, now_ms), events)
    }

    fn whole_stream_us(&self, event_us: u64, events: Option<u64>) -> u64 {
        let events_scaled = events.map_or(self.mean_events_scaled, |events| {
            events.saturating_mul(EVENT_SCALE)
        });
        event_us.saturating_mul(events_scaled) / EVENT_SCALE
    }

    /// Returns the expected time of a whole stream for the comparison of servers: like [`Self::stream_us`], with the mean
    /// of the service for servers that differ little from it.
    pub fn compared_stream_us(&self, key: ServerKey, events: Option<u64>, now_ms: u64) -> u64 {
        let event_us = self.event_us(key, now_ms);
        let is_equal = event_us.abs_diff(self.mean_event_us) < self.mean_event_us / EQUAL_PACE_DIVISOR;
        let compared_us = if is_equal { self.mean_event_us } else { event_us };
        self.whole_stream_us(compared_us, events)
    }

    /// Returns the expected time of a server until its first event in microseconds, without the reading of the prompt.
    pub fn start_us(&self, key: ServerKey, now_ms: u64) -> u64 {
        self.pace(key).map_or(self.mean_start_us, |pace| {
            pace.starts.estimate_us(self.mean_start_us, START_LIFE_MS, now_ms)
        })
    }

    /// Returns the expected time in which a server reads tokens of a prompt, in microseconds; `None` until the entry
    /// has observed enough prompts of different lengths.
    pub fn read_us(&self, key: ServerKey, tokens: u64, now_ms: u64) -> Option<u64> {
        let read_us = self.reading.read_us(tokens)?;
        let event_us = self.event_us(key, now_ms);
        Some(read_us.saturating_mul(event_us) / self.mean_event_us.max(1))
    }

    /// Returns the expected time of a whole stream of any server in microseconds.
    pub const fn mean_stream_us(&self) -> u64 {
        self.mean_event_us * self.mean_events_scaled / EVENT_SCALE
    }

    /// Returns the mean time between two events over all servers, in microseconds.
    pub const fn mean_event_us(&self) -> u64 {
        self.mean_event_us
    }

    fn event_us(&self, key: ServerKey, now_ms: u64) -> u64 {
        self.pace(key).map_or(self.mean_event_us, |pace| {
            pace.events.estimate_us(self.mean_event_us, EVENT_LIFE_MS, now_ms)
        })
    }

    fn pace(&self, key: ServerKey) -> Option<&ServerPace> {
        let found = self.paces.binary_search_by_key(&key, |pace| pace.key);
        found.ok().map(|index| &self.paces[index])
    }

    fn pace_mut(&mut self, key: ServerKey) -> &mut ServerPace {
        let found = self.paces.binary_search_by_key(&key, |pace| pace.key);
        let index = found.unwrap_or_else(|index| {
            let pace = ServerPace {
                key,
                events: SampleMean::default(),
                starts: SampleMean::default(),
            };
            self.paces.insert(index, pace);
            index
        });
        &mut self.paces[index]
    }
}

/// Returns a mean after one more value, which has the weight `1 / share`.
const fn blend(mean: u64, value: u64, share: u64) -> u64 {
    (mean * (share - 1) + value) / share
}
