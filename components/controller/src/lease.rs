//! The lease of the controller: one object whose term fences the orders.
//!
//! Safety rests on the term alone, which agents and engines compare. Time decides only when a candidate tries to
//! take the lease over.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use domain::HostName;
use serde::{Deserialize, Serialize};
use store::{ObjectStore, ObjectVersion, PlatformError, StoreResult, VersionedObject, WriteCondition};
use tokio::time::Instant;

const LEASE_KEY: &str = "controller";

/// Content of the lease object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Number of the holder's reign; it grows by one at each take-over.
    pub term: u64,
    /// Random number of the process that holds the lease.
    pub holder: u64,
    /// Host of the holder.
    pub host: HostName,
    /// Count of renewals in the term.
    pub renewal: u64,
    /// Whether the holder has given the lease up.
    pub released: bool,
}

/// Options of a lease.
#[derive(Debug, Clone, bon::Builder)]
pub struct LeaseOptions {
    /// Object API.
    store: Arc<dyn ObjectStore>,
    /// Host of this process.
    host: HostName,
    /// Random number of this process.
    holder: u64,
    /// Time between renewals, and between the reads of a candidate.
    renew_interval: Duration,
    /// Time without a renewal after which a candidate takes the lease over.
    lease_timeout: Duration,
}

/// What this process knows of the lease.
#[derive(Debug, Clone)]
enum LeaseState {
    /// Another process may hold the lease.
    Watching {
        /// Version last read and the time at which it was first read, with no failed read since.
        seen: Option<(ObjectVersion, Instant)>,
        next_read: Option<Instant>,
    },
    /// This process holds the lease unless another one has taken it over.
    Holding {
        record: LeaseRecord,
        version: ObjectVersion,
        /// Start of the latest renewal that succeeded.
        renewed: Instant,
        next_write: Instant,
    },
}

/// One process's part in the lease.
#[derive(Debug)]
pub struct ControllerLease {
    options: LeaseOptions,
    state: LeaseState,
}

impl ControllerLease {
    /// Creates a candidate.
    pub const fn new(options: LeaseOptions) -> Self {
        Self {
            options,
            state: LeaseState::Watching {
                seen: None,
                next_read: None,
            },
        }
    }

    /// Returns the term under which orders may be sent now.
    pub fn term(&self, now: Instant) -> Option<u64> {
        match &self.state {
            LeaseState::Holding { record, renewed, .. }
                if now.duration_since(*renewed) < self.options.lease_timeout =>
            {
                Some(record.term)
            }
            _ => None,
        }
    }

    /// Renews the lease, or looks whether it can be taken, when the time for it has come.
    ///
    /// # Errors
    ///
    /// Fails when the object API does not answer; a later step tries again.
    pub async fn step(&mut self, now: Instant) -> StoreResult<()> {
        match self.state.clone() {
            LeaseState::Watching { seen, next_read } => {
                if next_read.is_none_or(|next| now >= next) {
                    self.watch(seen, now).await?;
                }
            }
            LeaseState::Holding {
                record,
                version,
                next_write,
                ..
            } => {
                if now >= next_write {
                    self.renew(record, version, now).await?;
                }
            }
        }
        Ok(())
    }

    /// Stops to act as the holder, as after an agent has shown a later term.
    pub fn step_down(&mut self) {
        self.state = LeaseState::Watching {
            seen: None,
            next_read: None,
        };
    }

    /// Gives the lease up, so that a candidate need not wait for it to lapse.
    ///
    /// # Errors
    ///
    /// Fails when the object API does not answer; the lease then lapses.
    pub async fn release(&mut self) -> StoreResult<()> {
        let LeaseState::Holding { record, version, .. } = self.state.clone() else {
            return Ok(());
        };
        self.step_down();
        let released = LeaseRecord {
            released: true,
            ..record
        };
        self.write(&released, WriteCondition::Version(version)).await?;
        Ok(())
    }

    async fn watch(&mut self, seen: Option<(ObjectVersion, Instant)>, now: Instant) -> StoreResult<()> {
        // A failed read starts the wait anew: the holder may not have been able to renew either.
        self.state = LeaseState::Watching {
            seen: None,
            next_read: Some(now + self.options.renew_interval),
        };
        let Some(object) = self.options.store.read(LEASE_KEY).await? else {
            return self.take(1, WriteCondition::Absent, now).await;
        };
        let record = decode(&object)?;
        if record.holder == self.options.holder && !record.released {
            // A write of this process whose answer was lost.
            self.hold(record, object.version, now);
            return Ok(());
        }
        let since = seen.filter(|(version, _)| *version == object.version);
        let since = since.map_or(now, |(_, since)| since);
        if record.released || now.duration_since(since) >= self.options.lease_timeout {
            let condition = WriteCondition::Version(object.version);
            return self.take(record.term + 1, condition, now).await;
        }
        self.state = LeaseState::Watching {
            seen: Some((object.version, since)),
            next_read: Some(now + self.options.renew_interval),
        };
        Ok(())
    }

    async fn take(&mut self, term: u64, condition: WriteCondition, now: Instant) -> StoreResult<()> {
        let record = LeaseRecord {
            term,
            holder: self.options.holder,
            host: self.options.host.clone(),
            renewal: 0,
            released: false,
        };
        match self.write(&record, condition).await {
            Ok(version) => self.hold(record, version, now),
            // Another candidate was faster.
            Err(PlatformError::Conflict) => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }

    async fn renew(&mut self, record: LeaseRecord, version: ObjectVersion, now: Instant) -> StoreResult<()> {
        let renewed = LeaseRecord {
            renewal: record.renewal + 1,
            ..record
        };
        match self.write(&renewed, WriteCondition::Version(version)).await {
            Ok(version) => self.hold(renewed, version, now),
            Err(PlatformError::Conflict) => {
                // Either a renewal whose answer was lost or another holder: the next read tells.
                self.step_down();
                return self.watch(None, now).await;
            }
            Err(error) => {
                if let LeaseState::Holding { next_write, .. } = &mut self.state {
                    *next_write = now + self.options.renew_interval;
                }
                return Err(error);
            }
        }
        Ok(())
    }

    fn hold(&mut self, record: LeaseRecord, version: ObjectVersion, now: Instant) {
        self.state = LeaseState::Holding {
            record,
            version,
            renewed: now,
            next_write: now + self.options.renew_interval,
        };
    }

    async fn write(&self, record: &LeaseRecord, condition: WriteCondition) -> StoreResult<ObjectVersion> {
        let value = serde_json::to_vec(record).map_err(|error| PlatformError::Protocol(error.to_string()))?;
        let store = &self.options.store;
        store.write(LEASE_KEY, Bytes::from(value), condition).await
    }
}

fn decode(object: &VersionedObject) -> StoreResult<LeaseRecord> {
    serde_json::from_slice(&object.value).map_err(|error| PlatformError::Protocol(error.to_string()))
}
