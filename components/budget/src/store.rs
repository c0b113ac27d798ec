//! Reads and conditional updates of budget objects in the object API.

use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use domain::{IncarnationId, TimeMillis};
use errors::{CallError, ResultCode};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use store::{ObjectStore, ObjectVersion, PlatformError, WriteCondition};

use crate::account::BudgetObject;
use crate::balance::TeamBalance;
use crate::team::{Change, TeamBudget};

/// Number of attempts to read or update an object before the operation fails with a retryable error.
pub(crate) const MAX_UPDATE_ATTEMPTS: u32 = 32;
/// Upper bound in milliseconds of the random delay after the first conflict. It doubles with each attempt.
const CONFLICT_DELAY_MS: u64 = 4;
/// Number of times that the upper bound of the delay may double.
const MAX_DELAY_DOUBLINGS: u32 = 6;

/// Object with the version and the date that came with it.
pub(crate) struct ReadObject {
    pub(crate) object: BudgetObject,
    pub(crate) version: ObjectVersion,
    pub(crate) date: TimeMillis,
}

/// Access of one incarnation to the budget objects.
#[derive(Debug)]
pub(crate) struct BudgetStore {
    store: Arc<dyn ObjectStore>,
    incarnation: IncarnationId,
    /// Source of random delays. Seeded by the incarnation, so that no two entries retry in step.
    jitter: Mutex<StdRng>,
}

impl BudgetStore {
    pub(crate) fn new(store: Arc<dyn ObjectStore>, incarnation: IncarnationId) -> Self {
        let jitter = StdRng::seed_from_u64(incarnation.0);
        Self {
            store,
            incarnation,
            jitter: Mutex::new(jitter),
        }
    }

    /// Repeats a conditional update of a team's object until it succeeds, then reconciles the balance with
    /// the object.
    ///
    /// The caller holds the update permit. After a write without an answer, the object is read again: the
    /// write has either changed the version, or it can take effect only on the version that the next write
    /// replaces.
    pub(crate) async fn update<T, R>(
        &self,
        budget: &TeamBudget,
        mut change: impl FnMut(&mut BudgetObject, TimeMillis) -> Change<T>,
        commit: impl FnOnce(&mut TeamBalance, T) -> R,
    ) -> Result<R, CallError> {
        let incarnation = self.incarnation;
        for attempt in 0..MAX_UPDATE_ATTEMPTS {
            let read = self.read(budget).await?;
            let is_resolved = budget.is_resolved(read.version);
            if is_resolved {
                budget.balance().reconcile(&read.object, incarnation);
            }
            let mut object = read.object.clone();
            let outcome = match change(&mut object, read.date) {
                Change::Unchanged(outcome) => return Ok(commit(&mut budget.balance(), outcome)),
                Change::Changed(outcome) => outcome,
            };
            match self.write(budget, &object, read.version).await {
                Ok(_) => {
                    budget.set_unresolved(None);
                    let mut balance = budget.balance();
                    balance.reconcile(&object, incarnation);
                    return Ok(commit(&mut balance, outcome));
                }
                Err(PlatformError::Conflict) => self.back_off_after_conflict(attempt).await,
                Err(PlatformError::NoAnswer(_)) => budget.set_unresolved(Some(read.version)),
                Err(error) => {
                    if is_resolved {
                        budget.balance().reconcile(&read.object, incarnation);
                    }
                    return Err(platform_refusal(&error));
                }
            }
        }
        let message = "budget object not updated: every attempt met a conflict or got no answer";
        Err(CallError::not_run(ResultCode::PlatformUnavailable, message))
    }

    pub(crate) async fn read(&self, budget: &TeamBudget) -> Result<ReadObject, CallError> {
        let key = budget.object_key();
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let read = self.store.read(&key).await;
            let Some(found) = read.map_err(|error| platform_refusal(&error))? else {
                // The object API sends its date only with an object, so an empty object is created first.
                let created = encode(&BudgetObject::default())?;
                let written = self.store.write(&key, created, WriteCondition::Absent).await;
                match written {
                    Ok(_) | Err(PlatformError::Conflict | PlatformError::NoAnswer(_)) => continue,
                    Err(error) => return Err(platform_refusal(&error)),
                }
            };
            let object = serde_json::from_slice(&found.value).map_err(|error| {
                let message = format!("object {key} cannot be decoded as a budget: {error}");
                CallError::not_run(ResultCode::PlatformProtocol, message)
            })?;
            return Ok(ReadObject {
                object,
                version: found.version,
                date: found.date,
            });
        }
        let message = "budget object not created: it was still missing after every attempt";
        Err(CallError::not_run(ResultCode::PlatformUnavailable, message))
    }

    /// Returns a random number of milliseconds in the range.
    pub(crate) fn random_ms(&self, range: RangeInclusive<u64>) -> u64 {
        let mut jitter = self.jitter.lock().unwrap_or_else(PoisonError::into_inner);
        jitter.random_range(range)
    }

    async fn back_off_after_conflict(&self, attempt: u32) {
        let max_delay_ms = CONFLICT_DELAY_MS << attempt.min(MAX_DELAY_DOUBLINGS);
        let delay_ms = self.random_ms(0..=max_delay_ms);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }

    async fn write(
        &self,
        budget: &TeamBudget,
        object: &BudgetObject,
        version: ObjectVersion,
    ) -> Result<ObjectVersion, PlatformError> {
        let value = encode(object).map_err(|error| PlatformError::Protocol(error.message))?;
        let condition = WriteCondition::Version(version);
        self.store.write(&budget.object_key(), value, condition).await
    }
}

impl TeamBudget {
    /// Returns whether no unanswered write can still take effect on this version.
    fn is_resolved(&self, version: ObjectVersion) -> bool {
        let mut unresolved = self.unresolved.lock().unwrap_or_else(PoisonError::into_inner);
        if *unresolved == Some(version) {
            return false;
        }
        *unresolved = None;
        true
    }

    fn set_unresolved(&self, version: Option<ObjectVersion>) {
        *self.unresolved.lock().unwrap_or_else(PoisonError::into_inner) = version;
    }
}

fn encode(object: &BudgetObject) -> Result<Bytes, CallError> {
    let encoded = serde_json::to_vec(object);
    encoded
        .map(Bytes::from)
        .map_err(|error| CallError::not_run(ResultCode::Internal, error.to_string()))
}

fn platform_refusal(error: &PlatformError) -> CallError {
    let code = match error {
        PlatformError::Protocol(_) => ResultCode::PlatformProtocol,
        PlatformError::TooLarge(_) => ResultCode::ObjectTooLarge,
        PlatformError::Conflict | PlatformError::Unavailable(_) | PlatformError::NoAnswer(_) => {
            ResultCode::PlatformUnavailable
        }
    };
    CallError::not_run(code, format!("budget object not read or updated: {error}"))
}
