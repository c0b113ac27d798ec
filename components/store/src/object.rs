//! The interface of the object API that azuretide requires: versions, conditional writes and watches.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use domain::TimeMillis;
use errors::{CallError, ResultCode};
use serde::{Deserialize, Serialize};

/// Largest size of an object's value in bytes.
pub const MAX_OBJECT_BYTES: usize = 1024 * 1024;

/// Version of an object, which increases with each change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

/// Value of an object at one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedObject {
    /// Version of the object.
    pub version: ObjectVersion,
    /// Value at this version.
    pub value: Bytes,
    /// Time at which the object API responded, by its own clock.
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

/// Failure of a request to the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The condition of the write does not hold; nothing changed.
    #[error("the object does not have the version that the write requires")]
    Conflict,
    /// The platform was not reached, or refused the request without any effect.
    #[error("the object API is unavailable: {0}")]
    Unavailable(String),
    /// No response arrived. A write may nevertheless have taken effect.
    #[error("the object API gave no answer: {0}")]
    NoAnswer(String),
    /// The value, of this size in bytes, exceeds the limit of 1 MiB.
    #[error("an object of {0} bytes exceeds the size limit")]
    TooLarge(usize),
    /// The request could not be built, or the response has an unexpected status or is malformed.
    #[error("protocol error in a request to the object API: {0}")]
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

/// Result of a request to the platform.
pub type StoreResult<T> = Result<T, PlatformError>;

/// The object API of the platform. Implementations are shared between tasks.
#[async_trait]
pub trait ObjectStore: fmt::Debug + Send + Sync {
    /// Reads an object. Returns `None` when it does not exist.
    async fn read(&self, key: &str) -> StoreResult<Option<VersionedObject>>;

    /// Writes an object if the condition holds, and returns its new version.
    async fn write(&self, key: &str, value: Bytes, condition: WriteCondition) -> StoreResult<ObjectVersion>;

    /// Deletes an object if it has this version. Deleting an absent object succeeds.
    async fn delete(&self, key: &str, version: ObjectVersion) -> StoreResult<()>;

    /// Lists the keys with a prefix, in ascending order, with their versions.
    async fn list(&self, prefix: &str) -> StoreResult<Vec<(String, ObjectVersion)>>;

    /// Waits until the object exists with a version newer than `known_version`, and returns it. Returns
    /// `None` when there is no such version within `wait`.
    async fn watch(
        &self,
        key: &str,
        known_version: Option<ObjectVersion>,
        wait: Duration,
    ) -> StoreResult<Option<VersionedObject>>;
}
