//! Failures of journal operations.

use domain::IncarnationId;
use errors::{CallError, ResultCode};
use store::PlatformError;

const SEALED_RETRY_MS: u64 = 100;
const UNAVAILABLE_RETRY_MS: u64 = 1000;

/// Failure of a journal operation.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum JournalError {
    /// A seal ends the journal; the record is not in it and never will be.
    #[error("the journal is sealed for {successors:?}")]
    Sealed {
        /// Incarnations that own the programs now.
        successors: Vec<IncarnationId>,
    },
    /// The buffer of waiting records is full; the record was not taken.
    #[error("{buffered_bytes} bytes wait for the object API")]
    Unavailable {
        /// Bytes of records that wait.
        buffered_bytes: usize,
    },
    /// A segment or a snapshot chunk is missing or cannot be decoded.
    #[error("{segment} is corrupt: {reason}")]
    Corrupt {
        /// Key of the object.
        segment: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The object API failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The process is stopping and the journal takes no more records.
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
