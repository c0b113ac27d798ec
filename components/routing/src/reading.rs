//! Time in which the engines of a service read prompts, as one entry observes it.
//!
//! Load pattern: an engine reads a prompt many times faster than it generates tokens, and by how much differs from
//! service to service. Sessions whose prompt is taken to be dearer to read than it is stay on slow servers while fast
//! ones are idle. The time for each token is therefore the slope of the line through the observed times until the first
//! event; its offset, in which requests wait for a slot, is the same for long and short prompts.

/// Divisor of the weight of a new observation.
const SAMPLE_SHARE: i64 = 64;
/// Number of observations until the slope counts.
const MIN_SAMPLES: u64 = 64;
/// Smallest variance of the tokens, in tokens squared, at which the slope counts.
const MIN_VARIANCE: i64 = 1_000_000;
/// Limit on the observed tokens; with the limit on the times it keeps the products below from overflowing.
const MAX_TOKENS: u64 = 1 << 20;
/// Limit on the observed times, in microseconds.
const MAX_TIME_US: u64 = 30_000_000;
/// Largest believable time for one token, in nanoseconds.
const MAX_TOKEN_NS: u64 = 100_000;

/// Line through the observed times until the first event over the tokens that were to be read. Older observations lose
/// weight.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReadEstimator {
    samples: u64,
    mean_tokens: i64,
    mean_us: i64,
    variance: i64,
    covariance: i64,
}

impl ReadEstimator {
    /// Adds the time until the first event of a stream for which a server had to read some tokens.
    pub(crate) fn record(&mut self, tokens: u64, first_us: u64) {
        let tokens = tokens.min(MAX_TOKENS).cast_signed();
        let first_us = first_us.min(MAX_TIME_US).cast_signed();
        self.samples = self.samples.saturating_add(1);
        let share = SAMPLE_SHARE.min(self.samples.min(MIN_SAMPLES).cast_signed());
        let (more_tokens, more_us) = (tokens - self.mean_tokens, first_us - self.mean_us);
        self.mean_tokens += more_tokens / share;
        self.mean_us += more_us / share;
        let rest = share - 1;
        self.variance = (self.variance * rest + more_tokens * more_tokens * rest / share) / share;
        self.covariance = (self.covariance * rest + more_tokens * more_us * rest / share) / share;
    }

    /// Returns the time in which an engine reads some tokens, in microseconds; `None` until enough different prompts
    /// were observed.
    pub(crate) fn read_us(&self, tokens: u64) -> Option<u64> {
        if self.samples < MIN_SAMPLES || self.variance < MIN_VARIANCE {
            return None;
        }
        let slope_ns = (self.covariance / (self.variance / 1_000)).max(0).unsigned_abs();
        Some(tokens.saturating_mul(slope_ns.min(MAX_TOKEN_NS)) / 1_000)
    }
}
