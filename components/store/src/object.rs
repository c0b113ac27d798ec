//! The object API as azuretide needs it: versions, conditional updates and watches.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use domain::TimeMillis;
use errors::{CallError, ResultCode};
use serde::{Deserialize, Serialize};

/// Largest value of an object in bytes.
pub const MAX_OBJECT_BYTES: usize = 1024 * 1024;

/// Version of an object; it grows with each change of the object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

/// An object with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedObject {
    /// Version.
    pub version: ObjectVersion,
    /// Value.
    pub value: Bytes,
    /// Clock of the object API at the time of its answer.
    pub date: TimeMillis,
}

/// Condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
}

/// Failure of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The condition of the write does not hold; nothing changed.
    #[error("the object has another version")]
    Conflict,
    /// The platform refused the call before doing anything.
    #[error("the object API is unavailable: {0}")]
    Unavailable(String),
    /// No answer came; a write may have taken effect.
    #[error("the object API gave no answer: {0}")]
    NoAnswer(String),
    /// The value is larger than the platform holds.
    #[error("an object of {0} bytes is too large")]
    TooLarge(usize),
    /// The answer is outside the protocol.
    #[error("the object API answered outside its protocol: {0}")]
    Protocol(String),
}

impl From<PlatformError> for CallError {
    fn from(error: PlatformError) -> Self {
        let code = match error {
            PlatformError::Conflict => ResultCode::VersionConflict,
            PlatformError::Unavailable(_) => ResultCode::PlatformUnavailable,
            PlatformError::NoAnswer(_) => ResultCode::PlatformTimeout,
            PlatformError::TooLarge(_) => ResultCode::ObjectTooLarge,
            PlatformError::Protocol(_) => ResultCode::PlatformProtocol,
        };
        Self::not_run(code, error.to_string())
    }
}

/// Result of a call to the platform.
pub type StoreResult<T> = Result<T, PlatformError>;

/// The object API. Implementations are shared between tasks.
#[async_trait]
pub trait ObjectStore: fmt::Debug + Send + Sync {
    /// Reads an object; `None` when it does not exist.
    async fn read(&self, key: &str) -> StoreResult<Option<VersionedObject>>;

    /// Writes an object under a condition and returns its new version.
    async fn write(&self, key: &str, value: Bytes, condition: WriteCondition) -> StoreResult<ObjectVersion>;

    /// Deletes an object that has the version; deleting an absent object succeeds.
    async fn delete(&self, key: &str, version: ObjectVersion) -> StoreResult<()>;

    /// Lists the keys with a prefix and their versions in ascending order of the keys.
    async fn list(&self, prefix: &str) -> StoreResult<Vec<(String, ObjectVersion)>>;

    /// Waits until the object is newer than `seen`; `None` when the wait ran out.
    async fn watch(
        &self,
        key: &str,
        seen: Option<ObjectVersion>,
        wait: Duration,
    ) -> StoreResult<Option<VersionedObject>>;
}
