//! Calls to the object API that are retried until they succeed or their retry limit is reached.

use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use store::{ObjectStore, ObjectVersion, PlatformError, StoreResult, VersionedObject, WriteCondition};
use tokio::sync::watch;

const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Number of tries of a call whose caller waits for the result and can repeat the complete operation.
const MAX_TRIES: u32 = 5;

/// How often a call is retried after transient failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryLimit {
    /// A call fails after [`MAX_TRIES`] tries.
    MaxTries,
    /// A call is retried until it succeeds or fails permanently.
    Unlimited,
}

/// Exponential backoff with jitter.
#[derive(Debug)]
pub(crate) struct RetryBackoff {
    limit: RetryLimit,
    ceiling: Duration,
    tries: u32,
}

impl RetryBackoff {
    pub(crate) const fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            ceiling: INITIAL_BACKOFF,
            tries: 0,
        }
    }

    /// Counts a failed try and returns whether the call may be retried.
    pub(crate) fn may_retry(&mut self, error: &PlatformError) -> bool {
        self.tries += 1;
        is_transient(error) && (self.limit == RetryLimit::Unlimited || self.tries < MAX_TRIES)
    }

    /// Waits for a random duration between half of the ceiling and the ceiling, then doubles the ceiling up
    /// to [`MAX_BACKOFF`].
    pub(crate) async fn wait(&mut self) {
        let factor = rand::rng().random_range(0.5..=1.0);
        tokio::time::sleep(self.ceiling.mul_f64(factor)).await;
        self.ceiling = (self.ceiling * 2).min(MAX_BACKOFF);
    }
}

/// Returns whether a call that failed with this error may succeed when it is retried.
pub(crate) fn is_transient(error: &PlatformError) -> bool {
    match error {
        PlatformError::Unavailable(_) | PlatformError::NoAnswer(_) | PlatformError::Protocol(_) => true,
        PlatformError::Conflict | PlatformError::TooLarge(_) => false,
    }
}

/// Result of creating an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CreateResult {
    /// The object was created with the given value.
    Created,
    /// The key already has an object with a different value, which is returned.
    Taken(Bytes),
}

/// Client of the object API that retries calls after transient failures.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryingStore<'a> {
    store: &'a dyn ObjectStore,
    limit: RetryLimit,
    failure: Option<&'a watch::Sender<Option<PlatformError>>>,
}

impl<'a> RetryingStore<'a> {
    pub(crate) const fn new(store: &'a dyn ObjectStore, limit: RetryLimit) -> Self {
        Self {
            store,
            limit,
            failure: None,
        }
    }

    /// Publishes each failure of a call in `failure`. A conflict in [`Self::create`] is not a failure.
    pub(crate) const fn with_failure_sender(self, failure: &'a watch::Sender<Option<PlatformError>>) -> Self {
        Self {
            failure: Some(failure),
            ..self
        }
    }

    fn may_retry(&self, backoff: &mut RetryBackoff, error: &PlatformError) -> bool {
        if let Some(failure) = self.failure {
            failure.send_replace(Some(error.clone()));
        }
        backoff.may_retry(error)
    }

    pub(crate) async fn read(&self, key: &str) -> StoreResult<Option<VersionedObject>> {
        let mut backoff = RetryBackoff::new(self.limit);
        loop {
            match self.store.read(key).await {
                Err(error) if self.may_retry(&mut backoff, &error) => backoff.wait().await,
                result => return result,
            }
        }
    }

    pub(crate) async fn list(&self, prefix: &str) -> StoreResult<Vec<(String, ObjectVersion)>> {
        let mut backoff = RetryBackoff::new(self.limit);
        loop {
            match self.store.list(prefix).await {
                Err(error) if self.may_retry(&mut backoff, &error) => backoff.wait().await,
                result => return result,
            }
        }
    }

    pub(crate) async fn delete(&self, key: &str, version: ObjectVersion) -> StoreResult<()> {
        let mut backoff = RetryBackoff::new(self.limit);
        loop {
            match self.store.delete(key, version).await {
                Err(error) if self.may_retry(&mut backoff, &error) => backoff.wait().await,
                result => return result,
            }
        }
    }

    /// Creates an object, or returns the value that is already stored under its key.
    ///
    /// The value must be unique to this call. A write without a response is repeated unchanged: if the first
    /// write took effect, the repetition fails with a conflict, and the value that is then read back shows
    /// who wrote it.
    pub(crate) async fn create(&self, key: &str, value: &Bytes) -> StoreResult<CreateResult> {
        let mut backoff = RetryBackoff::new(self.limit);
        loop {
            match self.store.write(key, value.clone(), WriteCondition::Absent).await {
                Ok(_) => return Ok(CreateResult::Created),
                Err(PlatformError::Conflict) => match self.read(key).await? {
                    Some(object) if object.value == *value => return Ok(CreateResult::Created),
                    Some(object) => return Ok(CreateResult::Taken(object.value)),
                    // The object was deleted between the two calls, the write and the read.
                    None => backoff.wait().await,
                },
                Err(error) if self.may_retry(&mut backoff, &error) => backoff.wait().await,
                Err(error) => return Err(error),
            }
        }
    }
}
