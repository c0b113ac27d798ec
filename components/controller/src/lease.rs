//! Lease of the controller: one object whose term fences the orders.
//!
//! Safety depends on the term alone, which agents and engines compare. Time decides only when a candidate
//! tries to take the lease over.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use domain::HostName;
use serde::{Deserialize, Serialize};
use store::{ObjectStore, ObjectVersion, PlatformError, StoreResult, VersionedObject, WriteCondition};
use tokio::time::Instant;

const LEASE_KEY: &str = "controller";

/// Content of the lease object, `controller`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Fencing number of the holder's orders. It increases by one at each take-over.
    pub term: u64,
    /// Random number that identifies the process that holds the lease.
    pub holder: u64,
    /// Host of the holder.
    pub host: HostName,
    /// Number of renewals in the term. It changes the object, which shows candidates that the holder is
    /// alive.
    pub renewal: u64,
    /// Whether the holder has released the lease.
    pub released: bool,
}

/// Options of a lease.
#[derive(Debug, Clone, bon::Builder)]
pub struct LeaseOptions {
    /// Object API that stores the lease.
    store: Arc<dyn ObjectStore>,
    /// Host of this process.
    host: HostName,
    /// Random number that identifies this process.
    holder: u64,
    /// Interval between the renewals of the holder and between the reads of a candidate.
    renew_interval: Duration,
    /// Time without a renewal after which the holder stops sending orders and a candidate takes the lease
    /// over.
    lease_timeout: Duration,
}

/// State of the lease from the view of this process.
#[derive(Debug, Clone)]
enum LeaseState {
    /// Candidate: another process may hold the lease.
    Watching {
        /// Version read last and the time at which it was first read. Cleared by a failed read.
        seen: Option<(ObjectVersion, Instant)>,
        next_read_at: Option<Instant>,
    },
    /// Holder, unless another process has taken the lease over in the meantime.
    Holding {
        record: LeaseRecord,
        version: ObjectVersion,
        /// Time at which the latest successful renewal was started.
        renewed: Instant,
        next_write_at: Instant,
    },
}

/// Lease of the controller as one process takes part in it, as its holder or as a candidate.
#[derive(Debug)]
pub struct ControllerLease {
    options: LeaseOptions,
    state: LeaseState,
}

impl ControllerLease {
    /// Creates a candidate that has not read the lease yet.
    pub const fn new(options: LeaseOptions) -> Self {
        Self {
            options,
            state: LeaseState::Watching {
                seen: None,
                next_read_at: None,
            },
        }
    }

    /// Returns the term under which this process may send orders now, or `None` if it does not hold the
    /// lease.
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

    /// Renews the lease as its holder, or reads it as a candidate and takes it over if it has expired. Does
    /// nothing before the next renewal or read is due.
    ///
    /// # Errors
    ///
    /// Fails if the object API does not answer. A later step retries.
    pub async fn step(&mut self, now: Instant) -> StoreResult<()> {
        match self.state.clone() {
            LeaseState::Watching { seen, next_read_at } => {
                if next_read_at.is_none_or(|next| now >= next) {
                    self.watch(seen, now).await?;
                }
            }
            LeaseState::Holding {
                record,
                version,
                next_write_at,
                ..
            } => {
                if now >= next_write_at {
                    self.renew(record, version, now).await?;
                }
            }
        }
        Ok(())
    }

    /// Makes this process a candidate again, for example after an agent has reported a later term.
    pub fn step_down(&mut self) {
        self.state = LeaseState::Watching {
            seen: None,
            next_read_at: None,
        };
    }

    /// Releases the lease, so that a candidate does not have to wait until it expires.
    ///
    /// # Errors
    ///
    /// Fails if the object API does not answer. The lease then expires.
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
        // A failed read restarts the timeout, because the holder may not have been able to renew either.
        self.state = LeaseState::Watching {
            seen: None,
            next_read_at: Some(now + self.options.renew_interval),
        };
        let Some(object) = self.options.store.read(LEASE_KEY).await? else {
            return self.take(1, WriteCondition::Absent, now).await;
        };
        let record = decode(&object)?;
        if record.holder == self.options.holder && !record.released {
            // This process has written the record, but the answer was lost.
            self.hold(record, object.version, now);
            return Ok(());
        }
        let unchanged = seen.filter(|(version, _)| *version == object.version);
        let unchanged_since = unchanged.map_or(now, |(_, since)| since);
        if record.released || now.duration_since(unchanged_since) >= self.options.lease_timeout {
            let condition = WriteCondition::Version(object.version);
            return self.take(record.term + 1, condition, now).await;
        }
        self.state = LeaseState::Watching {
            seen: Some((object.version, unchanged_since)),
            next_read_at: Some(now + self.options.renew_interval),
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
            // Another candidate has taken the lease first.
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
                // Either the answer to an earlier renewal was lost or another process holds the lease. The
                // read decides.
                self.step_down();
                return self.watch(None, now).await;
            }
            Err(error) => {
                if let LeaseState::Holding { next_write_at, .. } = &mut self.state {
                    *next_write_at = now + self.options.renew_interval;
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
            next_write_at: now + self.options.renew_interval,
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
