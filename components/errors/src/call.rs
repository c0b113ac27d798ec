//! The error that a caller, an operator or a peer receives.

use serde::{Deserialize, Serialize};

use crate::ResultCode;

/// States whether the request that failed has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The request did not run and will never run under its idempotency key's present attempt.
    NotRun,
    /// The request may have run.
    OutcomeUnknown,
    /// The request ran.
    Ran,
}

/// Carries a result code, the run state and the time to come back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{} {message}", .code.number())]
pub struct CallError {
    /// Cause of the failure.
    pub code: ResultCode,
    /// Whether the request has run.
    pub run: RunState,
    /// Time in milliseconds after which a retry is sensible; `None` when a retry cannot help.
    pub retry_after_ms: Option<u64>,
    /// Explanation for people.
    pub message: String,
}

impl CallError {
    /// Creates an error for a request that did not run.
    pub fn not_run(code: ResultCode, message: impl Into<String>) -> Self {
        Self::new(code, RunState::NotRun, message)
    }

    /// Creates an error for a request whose outcome is not known.
    pub fn unknown(message: impl Into<String>) -> Self {
        Self::new(ResultCode::OutcomeUnknown, RunState::OutcomeUnknown, message)
    }

    /// Creates an error for a request that ran and failed.
    pub fn ran(code: ResultCode, message: impl Into<String>) -> Self {
        Self::new(code, RunState::Ran, message)
    }

    /// Returns the error with the time in milliseconds after which a retry is sensible.
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
