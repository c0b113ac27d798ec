//! Exponential backoff with jitter.

use std::time::Duration;

use rand::RngExt as _;

const FIRST_DELAY: Duration = Duration::from_millis(20);
const LONGEST_DELAY: Duration = Duration::from_secs(1);

/// Delays between retries, doubled each time up to one second. The actual delay is random between half of the
/// nominal delay and all of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryBackoff {
    delay: Duration,
}

impl RetryBackoff {
    /// Creates a backoff that starts with the shortest delay.
    pub(crate) const fn new() -> Self {
        Self { delay: FIRST_DELAY }
    }

    /// Resets the delay to the shortest one, after progress.
    pub(crate) const fn reset(&mut self) {
        self.delay = FIRST_DELAY;
    }

    /// Waits for the current delay before the next try, then doubles it.
    pub(crate) async fn pause(&mut self) {
        let jittered = self.delay.mul_f64(rand::rng().random_range(0.5..1.0));
        self.delay = (self.delay * 2).min(LONGEST_DELAY);
        tokio::time::sleep(jittered).await;
    }
}
