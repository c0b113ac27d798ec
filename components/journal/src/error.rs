//! Failures of journal operations.

use domain::IncarnationId;
use errors::{CallError, ResultCode};
use store::PlatformError;

/// Retry-After delay for a caller whose program passes to a successor.
const SEALED_RETRY_MS: u64 = 100;
/// Retry-After delay while the buffer of waiting records is full.
const UNAVAILABLE_RETRY_MS: u64 = 1000;

/// Failure of a journal operation.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum JournalError {
    /// The journal is sealed. The record was not appended and cannot become part of the journal later.
    #[error("the journal is sealed, its programs pass to {successors:?}")]
    Sealed {
        /// Incarnations that take over the programs.
        successors: Vec<IncarnationId>,
    },
    /// The buffer of waiting records is full; the record was rejected.
    #[error("the journal buffer is full, {buffered_bytes} bytes are waiting for the object API")]
    Unavailable {
        /// Size of the buffered records that wait to be written.
        buffered_bytes: usize,
    },
    /// A segment or a snapshot chunk is missing, cannot be decoded or was created by another writer.
    #[error("{segment} is corrupt: {reason}")]
    Corrupt {
        /// Key of the object, or a description of what could not be encoded or decoded.
        segment: String,
        /// Explanation for operators.
        reason: String,
    },
    /// A call to the object API failed and was not retried further.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The process is stopping, and the journal accepts no more records.
    #[error("the journal is closed")]
    Closed,
}

impl JournalError {
    pub(crate) fn corrupt(segment: impl Into<String>, reason: impl Into<String>) -> Self {
        Self::Corrupt {
            segment: segment.into(),
            reason: reason.into(),
        }
    }
}

impl From<JournalError> for CallError {
    fn from(error: JournalError) -> Self {
        let message = error.to_string();
        match error {
            JournalError::Sealed { .. } => {
                Self::not_run(ResultCode::JournalSealed, message).with_retry_after_ms(SEALED_RETRY_MS)
            }
            JournalError::Unavailable { .. } => Self::not_run(ResultCode::PlatformUnavailable, message)
                .with_retry_after_ms(UNAVAILABLE_RETRY_MS),
            JournalError::Corrupt { .. } => Self::not_run(ResultCode::CorruptSegment, message),
            JournalError::Platform(error) => error.into(),
            JournalError::Closed => Self::not_run(ResultCode::Leaving, message),
        }
    }
}
