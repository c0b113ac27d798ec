//! An in-memory object store for tests, with injectable faults.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use domain::TimeMillis;
use tokio::sync::Notify;

use crate::object::{
    MAX_OBJECT_BYTES, ObjectStore, ObjectVersion, PlatformError, StoreResult, VersionedObject, WriteCondition,
};

/// Faults that a test injects into a [`MemoryStore`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemoryFaults {
    /// Refuses every request before it has any effect.
    pub outage: bool,
    /// Number of next writes that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Number of next writes whose requests are lost: they neither take effect nor get a response.
    pub lose_requests: u32,
}

/// Numbers of requests that a store in memory has received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct RequestCounts {
    reads: u64,
    writes: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    objects: BTreeMap<String, (ObjectVersion, Bytes)>,
    last_version: u64,
    faults: MemoryFaults,
    counts: RequestCounts,
    date: TimeMillis,
}

/// In-process implementation of the object API for tests.
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: Mutex<StoreState>,
    changed: Notify,
}

impl MemoryStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: MemoryFaults) {
        self.lock().faults = faults;
    }

    /// Sets the time that the store returns as [`VersionedObject::date`].
    pub fn set_date(&self, date: TimeMillis) {
        self.lock().date = date;
    }

    /// Returns the numbers of reads and writes received so far, including those that a fault made fail.
    pub fn call_counts(&self) -> (u64, u64) {
        let counts = self.lock().counts;
        (counts.reads, counts.writes)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn begin_read(state: &mut StoreState) -> StoreResult<()> {
        state.counts.reads += 1;
        if state.faults.outage {
            Err(PlatformError::Unavailable("outage".to_owned()))
        } else {
            Ok(())
        }
    }
}

impl StoreState {
    fn begin_write(&mut self) -> StoreResult<()> {
        self.counts.writes += 1;
        if self.faults.outage {
            return Err(PlatformError::Unavailable("outage".to_owned()));
        }
        if self.faults.lose_requests > 0 {
            self.faults.lose_requests -= 1;
            return Err(PlatformError::NoAnswer("request lost".to_owned()));
        }
        Ok(())
    }

    fn end_write(&mut self) -> StoreResult<()> {
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Err(PlatformError::NoAnswer("answer lost".to_owned()));
        }
        Ok(())
    }

    fn object(&self, key: &str) -> Option<VersionedObject> {
        let (version, value) = self.objects.get(key)?;
        Some(VersionedObject {
            version: *version,
            value: value.clone(),
            date: self.date,
        })
    }
}

#[async_trait]
impl ObjectStore for MemoryStore {
    async fn read(&self, key: &str) -> StoreResult<Option<VersionedObject>> {
        let mut state = self.lock();
        Self::begin_read(&mut state)?;
        Ok(state.object(key))
    }

    async fn write(&self, key: &str, value: Bytes, condition: WriteCondition) -> StoreResult<ObjectVersion> {
        if value.len() > MAX_OBJECT_BYTES {
            return Err(PlatformError::TooLarge(value.len()));
        }
        let mut state = self.lock();
        state.begin_write()?;
        let current_version = state.objects.get(key).map(|(version, _)| *version);
        let is_met = match condition {
            WriteCondition::Absent => current_version.is_none(),
            WriteCondition::Version(version) => current_version == Some(version),
        };
        if !is_met {
            return Err(PlatformError::Conflict);
        }
        state.last_version += 1;
        let version = ObjectVersion(state.last_version);
        state.objects.insert(key.to_owned(), (version, value));
        self.changed.notify_waiters();
        state.end_write()?;
        Ok(version)
    }

    async fn delete(&self, key: &str, version: ObjectVersion) -> StoreResult<()> {
        let mut state = self.lock();
        state.begin_write()?;
        match state.objects.get(key) {
            Some((current_version, _)) if *current_version != version => return Err(PlatformError::Conflict),
            Some(_) => {
                state.objects.remove(key);
            }
            None => {}
        }
        state.end_write()
    }

    async fn list(&self, prefix: &str) -> StoreResult<Vec<(String, ObjectVersion)>> {
        let mut state = self.lock();
        Self::begin_read(&mut state)?;
        let matching = state.objects.iter().filter(|(key, _)| key.starts_with(prefix));
        Ok(matching
            .map(|(key, (version, _))| (key.clone(), *version))
            .collect())
    }

    async fn watch(
        &self,
        key: &str,
        known_version: Option<ObjectVersion>,
        wait: Duration,
    ) -> StoreResult<Option<VersionedObject>> {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            if let Some(object) = self.read(key).await?
                && known_version.is_none_or(|version| object.version > version)
            {
                return Ok(Some(object));
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return Ok(None);
            }
        }
    }
}
