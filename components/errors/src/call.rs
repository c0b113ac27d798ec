//! Error type of calls, returned to callers, operators and peers.

use serde::{Deserialize, Serialize};

use crate::ResultCode;

/// Whether a failed request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The request did not run, and the current attempt under its idempotency key will never run.
    NotRun,
    /// The request may have run.
    OutcomeUnknown,
    /// The request ran.
    Ran,
}

/// Error of a request: its result code, its run state and the Retry-After delay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{} {message}", .code.number())]
pub struct CallError {
    /// Cause of the failure.
    pub code: ResultCode,
    /// Whether the request has run.
    pub run: RunState,
    /// Retry-After delay in milliseconds; `None` when a retry cannot help.
    pub retry_after_ms: Option<u64>,
    /// Explanatory text for people; programs evaluate the code.
    pub message: String,
}

impl CallError {
    /// Creates an error for a request that did not run.
    pub fn not_run(code: ResultCode, message: impl Into<String>) -> Self {
        Self::new(code, RunState::NotRun, message)
    }

    /// Creates an error for a request that may have run, with [`ResultCode::OutcomeUnknown`].
    pub fn unknown(message: impl Into<String>) -> Self {
        Self::new(ResultCode::OutcomeUnknown, RunState::OutcomeUnknown, message)
    }

    /// Creates an error for a request that ran and failed.
    pub fn ran(code: ResultCode, message: impl Into<String>) -> Self {
        Self::new(code, RunState::Ran, message)
    }

    /// Returns the error with a Retry-After delay in milliseconds.
    #[must_use]
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    fn new(code: ResultCode, run: RunState, message: impl Into<String>) -> Self {
        Self {
            code,
            run,
            retry_after_ms: None,
            message: message.into(),
        }
    }
}
