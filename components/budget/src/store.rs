//! Reads and conditional updates of budget objects.

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
use crate::ledger::TeamLedger;
use crate::team::{Change, TeamBudget};

/// Attempts at one update of an object before the caller is told to come back.
pub(crate) const MAX_UPDATE_ATTEMPTS: u32 = 32;
/// Longest first pause in milliseconds after a conflict; it doubles with each attempt.
const CONFLICT_PAUSE_MS: u64 = 4;
/// Number of doublings of the pause.
const MAX_PAUSE_DOUBLINGS: u32 = 6;

/// An object as it was read.
pub(crate) struct ReadObject {
    pub(crate) object: BudgetObject,
    pub(crate) version: ObjectVersion,
    pub(crate) date: TimeMillis,
}

/// The budget objects as one incarnation changes them.
#[derive(Debug)]
pub(crate) struct BudgetStore {
    store: Arc<dyn ObjectStore>,
    incarnation: IncarnationId,
    /// Seeded by the incarnation, so that no two entries pause alike.
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

    /// Changes a team's object conditionally until the change stands, and brings the ledger in line with it.
    ///
    /// The caller holds the permit for updates. A write without an answer is settled by reading back: it has
    /// either changed the version, or it can take effect only on the version that the next write replaces.
    pub(crate) async fn update<T, R>(
        &self,
        budget: &TeamBudget,
        mut change: impl FnMut(&mut BudgetObject, TimeMillis) -> Change<T>,
        commit: impl FnOnce(&mut TeamLedger, T) -> R,
    ) -> Result<R, CallError> {
        let incarnation = self.incarnation;
        for attempt in 0..MAX_UPDATE_ATTEMPTS {
            let read = self.read(budget).await?;
            let is_settled = budget.is_settled(read.version);
            if is_settled {
                budget.ledger().synchronise(&read.object, incarnation);
            }
            let mut object = read.object.clone();
            let outcome = match change(&mut object, read.date) {
                Change::Unchanged(outcome) => return Ok(commit(&mut budget.ledger(), outcome)),
                Change::Changed(outcome) => outcome,
            };
            match self.write(budget, &object, read.version).await {
                Ok(_) => {
                    budget.set_unresolved(None);
                    let mut ledger = budget.ledger();
                    ledger.synchronise(&object, incarnation);
                    return Ok(commit(&mut ledger, outcome));
                }
                Err(PlatformError::Conflict) => self.pause_after_conflict(attempt).await,
                Err(PlatformError::NoAnswer(_)) => budget.set_unresolved(Some(read.version)),
                Err(error) => {
                    if is_settled {
                        budget.ledger().synchronise(&read.object, incarnation);
                    }
                    return Err(platform_refusal(&error));
                }
            }
        }
        let message = "the budget object changes too often";
        Err(CallError::not_run(ResultCode::PlatformUnavailable, message))
    }

    pub(crate) async fn read(&self, budget: &TeamBudget) -> Result<ReadObject, CallError> {
        let key = budget.object_key();
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let read = self.store.read(&key).await;
            let Some(found) = read.map_err(|error| platform_refusal(&error))? else {
                // Only an answer that carries an object carries the date, so the object is made first.
                let created = encode(&BudgetObject::default())?;
                let written = self.store.write(&key, created, WriteCondition::Absent).await;
                match written {
                    Ok(_) | Err(PlatformError::Conflict | PlatformError::NoAnswer(_)) => continue,
                    Err(error) => return Err(platform_refusal(&error)),
                }
            };
            let object = serde_json::from_slice(&found.value).map_err(|error| {
                let message = format!("object {key} is not a budget: {error}");
                CallError::not_run(ResultCode::PlatformProtocol, message)
            })?;
            return Ok(ReadObject {
                object,
                version: found.version,
                date: found.date,
            });
        }
        let message = "the budget object cannot be made";
        Err(CallError::not_run(ResultCode::PlatformUnavailable, message))
    }

    /// Draws a number of milliseconds at random.
    pub(crate) fn draw_ms(&self, range: RangeInclusive<u64>) -> u64 {
        let mut jitter = self.jitter.lock().unwrap_or_else(PoisonError::into_inner);
        jitter.random_range(range)
    }

    async fn pause_after_conflict(&self, attempt: u32) {
        let longest = CONFLICT_PAUSE_MS << attempt.min(MAX_PAUSE_DOUBLINGS);
        let pause = self.draw_ms(0..=longest);
        tokio::time::sleep(Duration::from_millis(pause)).await;
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
    /// Returns whether no write without an answer can still take effect on the version.
    fn is_settled(&self, version: ObjectVersion) -> bool {
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
    CallError::not_run(code, format!("no new budget slice: {error}"))
}
