//! Jittered exponential backoff.

use std::time::Duration;

use rand::RngExt as _;

const FIRST_DELAY: Duration = Duration::from_millis(20);
const LONGEST_DELAY: Duration = Duration::from_secs(1);

/// Delays between tries, doubled each time and spread over their upper half.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryBackoff {
    delay: Duration,
}

impl RetryBackoff {
    /// Starts with the shortest delay.
    pub(crate) const fn new() -> Self {
        Self { delay: FIRST_DELAY }
    }

    /// Returns to the shortest delay after progress.
    pub(crate) const fn reset(&mut self) {
        self.delay = FIRST_DELAY;
    }

    /// Waits before the next try.
    pub(crate) async fn pause(&mut self) {
        let jittered = self.delay.mul_f64(rand::rng().random_range(0.5..1.0));
        self.delay = (self.delay * 2).min(LONGEST_DELAY);
        tokio::time::sleep(jittered).await;
    }
}
