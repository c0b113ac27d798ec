//! Output of one attempt: text that grows, then an outcome, for any number of waiting readers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use domain::CallOutcome;
use errors::{CallError, ResultCode};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};
use wire::{OutputChunk, PortResult};

#[derive(Debug, Default)]
struct OutputState {
    text: String,
    outcome: Option<CallOutcome>,
}

/// Buffer between the backend server's stream and the readers.
#[derive(Debug, Default)]
pub struct CallOutput {
    state: Mutex<OutputState>,
    changed: Notify,
    read: AtomicBool,
}

impl CallOutput {
    /// Creates a buffer whose text begins with `prefix`.
    pub fn with_prefix(prefix: &str) -> Self {
        let output = Self::default();
        prefix.clone_into(&mut output.lock().text);
        output
    }

    /// Creates the buffer of an attempt that has ended with `outcome`.
    pub fn ended(outcome: CallOutcome) -> Self {
        let output = Self::default();
        output.finish(outcome);
        output
    }

    /// Adds text and wakes the readers.
    pub fn push(&self, text: &str) {
        self.lock().text.push_str(text);
        self.changed.notify_waiters();
    }

    /// Returns the text received so far, with the prefix.
    pub fn text(&self) -> String {
        self.lock().text.clone()
    }

    /// Sets the outcome if there is none, and wakes the readers.
    pub fn finish(&self, outcome: CallOutcome) {
        self.lock().outcome.get_or_insert(outcome);
        self.changed.notify_waiters();
    }

    /// Returns the outcome, `None` while the attempt waits or runs.
    pub fn outcome(&self) -> Option<CallOutcome> {
        self.lock().outcome.clone()
    }

    /// Returns whether a reader has received the outcome.
    pub fn is_read(&self) -> bool {
        self.read.load(Ordering::Relaxed)
    }

    /// Records that a reader has received the outcome.
    pub fn mark_read(&self) {
        self.read.store(true, Ordering::Relaxed);
    }

    /// Returns the output after an offset in bytes, waiting at most `wait` for new text or the outcome.
    ///
    /// An offset beyond the end of the text counts as the end.
    ///
    /// # Errors
    ///
    /// Fails when the offset lies inside a character.
    pub async fn read(&self, offset: u64, wait: Duration) -> PortResult<OutputChunk> {
        let deadline = Instant::now() + wait;
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            let chunk = self.chunk(offset)?;
            if !chunk.text.is_empty()
                || chunk.outcome.is_some()
                || timeout_at(deadline, changed).await.is_err()
            {
                return Ok(chunk);
            }
        }
    }

    fn chunk(&self, offset: u64) -> PortResult<OutputChunk> {
        let state = self.lock();
        let start = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(state.text.len());
        let Some(text) = state.text.get(start..) else {
            let message = format!("offset {offset} lies inside a character");
            return Err(CallError::unknown(message)).map_err(|error| CallError {
                code: ResultCode::MalformedRequest,
                ..error
            });
        };
        if state.outcome.is_some() {
            self.mark_read();
        }
        Ok(OutputChunk {
            offset,
            text: text.to_owned(),
            outcome: state.outcome.clone(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, OutputState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
