//! Calls to the object API that are repeated until they are settled.

use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use store::{ObjectStore, ObjectVersion, PlatformError, StoreResult, VersionedObject, WriteCondition};
use tokio::sync::watch;

const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const LONGEST_BACKOFF: Duration = Duration::from_secs(2);
/// Tries of a call that somebody waits for and can repeat as a whole.
const FEW_TRIES: u32 = 5;

/// How long transient failures are borne.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryPatience {
    /// A few tries.
    Few,
    /// As long as it takes.
    Endless,
}

/// Jittered exponential backoff.
#[derive(Debug)]
pub(crate) struct RetryBackoff {
    patience: RetryPatience,
    ceiling: Duration,
    tries: u32,
}

impl RetryBackoff {
    pub(crate) const fn new(patience: RetryPatience) -> Self {
        Self {
            patience,
            ceiling: FIRST_BACKOFF,
            tries: 0,
        }
    }

    /// Counts a failed try and states whether the call is to be repeated.
    pub(crate) fn may_repeat(&mut self, error: &PlatformError) -> bool {
        self.tries += 1;
        is_transient(error) && (self.patience == RetryPatience::Endless || self.tries < FEW_TRIES)
    }

    /// Waits between half of the ceiling and the ceiling, and doubles the ceiling.
    pub(crate) async fn wait(&mut self) {
        let share = rand::rng().random_range(0.5..=1.0);
        tokio::time::sleep(self.ceiling.mul_f64(share)).await;
        self.ceiling = (self.ceiling * 2).min(LONGEST_BACKOFF);
    }
}

/// States whether a repeated call may succeed.
pub(crate) fn is_transient(error: &PlatformError) -> bool {
    match error {
        PlatformError::Unavailable(_) | PlatformError::NoAnswer(_) | PlatformError::Protocol(_) => true,
        PlatformError::Conflict | PlatformError::TooLarge(_) => false,
    }
}

/// Result of creating an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CreateResult {
    /// The object stands as it was given.
    Created,
    /// Another object stands under the key.
    Taken(Bytes),
}

/// The object API, with calls that are repeated while they fail transiently.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PatientStore<'a> {
    store: &'a dyn ObjectStore,
    patience: RetryPatience,
    failure: Option<&'a watch::Sender<Option<PlatformError>>>,
}

impl<'a> PatientStore<'a> {
    pub(crate) const fn new(store: &'a dyn ObjectStore, patience: RetryPatience) -> Self {
        Self {
            store,
            patience,
            failure: None,
        }
    }

    /// Publishes the failures after which a call is repeated.
    pub(crate) const fn reporting(self, failure: &'a watch::Sender<Option<PlatformError>>) -> Self {
        Self {
            failure: Some(failure),
            ..self
        }
    }

    fn may_repeat(&self, backoff: &mut RetryBackoff, error: &PlatformError) -> bool {
        if let Some(failure) = self.failure {
            failure.send_replace(Some(error.clone()));
        }
        backoff.may_repeat(error)
    }

    pub(crate) async fn read(&self, key: &str) -> StoreResult<Option<VersionedObject>> {
        let mut backoff = RetryBackoff::new(self.patience);
        loop {
            match self.store.read(key).await {
                Err(error) if self.may_repeat(&mut backoff, &error) => backoff.wait().await,
                settled => return settled,
            }
        }
    }

    pub(crate) async fn list(&self, prefix: &str) -> StoreResult<Vec<(String, ObjectVersion)>> {
        let mut backoff = RetryBackoff::new(self.patience);
        loop {
            match self.store.list(prefix).await {
                Err(error) if self.may_repeat(&mut backoff, &error) => backoff.wait().await,
                settled => return settled,
            }
        }
    }

    pub(crate) async fn delete(&self, key: &str, version: ObjectVersion) -> StoreResult<()> {
        let mut backoff = RetryBackoff::new(self.patience);
        loop {
            match self.store.delete(key, version).await {
                Err(error) if self.may_repeat(&mut backoff, &error) => backoff.wait().await,
                settled => return settled,
            }
        }
    }

    /// Creates an object whose content nobody else can equal, or finds what stands in its place.
    ///
    /// A write without an answer is repeated as it was: if it took effect, the repetition is a conflict, and reading
    /// the object back shows whose it is.
    pub(crate) async fn create(&self, key: &str, value: &Bytes) -> StoreResult<CreateResult> {
        let mut backoff = RetryBackoff::new(self.patience);
        loop {
            match self.store.write(key, value.clone(), WriteCondition::Absent).await {
                Ok(_) => return Ok(CreateResult::Created),
                Err(PlatformError::Conflict) => match self.read(key).await? {
                    Some(object) if object.value == *value => return Ok(CreateResult::Created),
                    Some(object) => return Ok(CreateResult::Taken(object.value)),
                    // Somebody deleted the object between the two calls.
                    None => backoff.wait().await,
                },
                Err(error) if self.may_repeat(&mut backoff, &error) => backoff.wait().await,
                Err(error) => return Err(error),
            }
        }
    }
}
