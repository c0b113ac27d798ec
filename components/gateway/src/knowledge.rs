//! How recent the configuration is that an entry knows, and requests for a newer one.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use routing::{AccessBounds, RefreshGate, RefreshStep};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::state::{lock, whole_millis};

/// Bounds of an entry whose settings give none.
const DEFAULT_BOUNDS: AccessBounds = AccessBounds {
    refusal_age_ms: 2_000,
    grant_age_ms: None,
};

/// Age of the configuration that an entry knows, and the requests that wait for a newer one.
#[derive(Debug)]
pub(crate) struct ConfigurationKnowledge {
    pub(crate) bounds: AccessBounds,
    /// Latest time at which the configuration was known to be the newest one.
    confirmed: Mutex<Option<Instant>>,
    gate: Mutex<RefreshGate>,
    requested: Notify,
    /// Number of answered requests for a newer configuration.
    answers: watch::Sender<u64>,
}

impl Default for ConfigurationKnowledge {
    fn default() -> Self {
        Self {
            bounds: DEFAULT_BOUNDS,
            confirmed: Mutex::default(),
            gate: Mutex::default(),
            requested: Notify::new(),
            answers: watch::Sender::new(0),
        }
    }
}

impl ConfigurationKnowledge {
    /// Records that the configuration was the newest one at a time, and returns the latest such time.
    pub(crate) fn confirm(&self, at: Instant) -> Instant {
        let mut confirmed = lock(&self.confirmed);
        let latest = confirmed.map_or(at, |known| known.max(at));
        *confirmed = Some(latest);
        latest
    }

    /// Returns the time since the configuration was last known to be the newest one, in milliseconds; `None` if it never
    /// was.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        lock(&self.confirmed).map(|at| whole_millis(at.elapsed()))
    }

    /// Asks for a newer configuration and waits for a short time until it is there, unless another request has asked
    /// lately. Returns whether the entry may know a newer one.
    pub(crate) async fn refresh(&self, now_ms: u64) -> bool {
        // Subscribed before the question, so that an answer in between is not missed.
        let mut answers = self.answers.subscribe();
        let step = lock(&self.gate).step(now_ms);
        let until_ms = match step {
            RefreshStep::Skip => return false,
            RefreshStep::Join(until_ms) => until_ms,
            RefreshStep::Ask(until_ms) => {
                self.requested.notify_one();
                until_ms
            }
        };
        let wait = Duration::from_millis(until_ms.saturating_sub(now_ms));
        matches!(timeout(wait, answers.changed()).await, Ok(Ok(())))
    }

    /// Waits until a request asks for a newer configuration.
    pub(crate) async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Lets the requests go on that wait for a newer configuration.
    pub(crate) fn finish_refresh(&self) {
        lock(&self.gate).finish();
        self.answers.send_modify(|answers| *answers += 1);
    }
}
