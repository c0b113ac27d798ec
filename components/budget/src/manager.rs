//! Reserves, settles and writes back the budgets of all teams at one entry.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use domain::{IncarnationId, MicroUnits, TeamConfig, TeamName, TimeMillis};
use errors::{CallError, ResultCode};
use store::ObjectStore;
use tokio::sync::SemaphorePermit;
use tokio::time::Instant;

use crate::account::BudgetObject;
use crate::balance::{CachedRefusal, TeamBalance};
use crate::reservation::{BudgetReport, BudgetReservation, ProvenSpend};
use crate::store::{BudgetStore, MAX_UPDATE_ATTEMPTS};
use crate::team::{Change, FlushKind, TakeOutcome, TeamBudget};

const MILLIS_PER_SECOND: u64 = 1_000;
/// Time in milliseconds for which an exhausted budget is refused without another read of its object.
const EXHAUSTED_RECHECK_MS: u64 = 1_000;
/// Shortest delay in milliseconds between calls to an unavailable object API. The actual delay is random and
/// up to twice as long.
const OUTAGE_RECHECK_MS: u64 = 250;

/// Budgets of all teams at one entry. Clones share their state.
#[derive(Debug, Clone)]
pub struct BudgetManager {
    shared: Arc<ManagerState>,
}

#[derive(Debug)]
struct ManagerState {
    store: BudgetStore,
    incarnation: IncarnationId,
    /// Budgets, sorted by team.
    budgets: ArcSwap<Vec<Arc<TeamBudget>>>,
}

impl BudgetManager {
    /// Creates a manager without teams and slices.
    pub fn new(store: Arc<dyn ObjectStore>, incarnation: IncarnationId) -> Self {
        let shared = ManagerState {
            store: BudgetStore::new(store, incarnation),
            incarnation,
            budgets: ArcSwap::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sets the teams' limits and windows from the configuration in force, and the number of live owners.
    ///
    /// A team that is missing from `teams` gets a limit of zero: its open reservations can still be settled.
    pub fn set_teams(&self, teams: &[TeamConfig], live_owners: u32) {
        self.shared.budgets.rcu(|current| {
            let mut budgets = Vec::clone(current);
            for config in teams {
                if let Err(index) = budgets.binary_search_by(|budget| budget.team.cmp(&config.name)) {
                    let budget = TeamBudget::new(config.name.clone(), self.shared.incarnation);
                    budgets.insert(index, Arc::new(budget));
                }
            }
            budgets
        });
        for budget in self.shared.budgets.load().iter() {
            let config = teams.iter().find(|config| config.name == budget.team);
            let limit = config.map_or(MicroUnits::ZERO, |config| config.budget);
            let window_s = config.map_or(1, |config| config.window_s);
            budget.configure(limit, window_s.saturating_mul(MILLIS_PER_SECOND), live_owners);
        }
    }

    /// Reserves the worst-case price of a call. Takes another slice if the held one is too small.
    ///
    /// # Errors
    ///
    /// Returns a not-run error. The code is 3002 if the budget does not cover the amount; the error carries
    /// the time until the window ends, or a shorter one if other owners may return enough. The code is 3012
    /// if a slice is needed and the object API is unavailable.
    pub async fn reserve(
        &self,
        team: &TeamName,
        worst_case: MicroUnits,
    ) -> Result<BudgetReservation, CallError> {
        let budget = self.find(team)?;
        if let Some(reservation) = reserve_held(&budget, worst_case)? {
            return Ok(reservation);
        }
        let _permit = acquire_update(&budget).await?;
        if let Some(reservation) = reserve_held(&budget, worst_case)? {
            return Ok(reservation);
        }
        let taken = self.take_slice(&budget, worst_case).await;
        taken.map(|window_start| budget.reservation(window_start, worst_case))
    }

    /// Returns the amount that this entry has spent and reserved in a team's window; zero for an unknown
    /// window.
    pub fn spent_and_reserved(&self, team: &TeamName, window_start: TimeMillis) -> MicroUnits {
        self.find(team)
            .map_or(MicroUnits::ZERO, |budget| budget.balance().used(window_start))
    }

    /// Settles a reservation with the exact price. A price above the reservation is charged in full, and the
    /// difference is reported as [`BudgetReport::excess`].
    pub fn settle(&self, reservation: &BudgetReservation, charged: MicroUnits) {
        if let Ok(budget) = self.find(reservation.team()) {
            budget.balance().settle(reservation, charged);
        }
    }

    /// Writes spent amounts to the object API and returns amounts that were idle since the latest flush, if
    /// they are large enough to justify a write.
    ///
    /// # Errors
    ///
    /// Returns the first failure of the object API. The budgets of the other teams are flushed nevertheless.
    pub async fn flush(&self) -> Result<(), CallError> {
        self.flush_all(FlushKind::Periodic).await
    }

    /// Writes spent amounts to the object API and returns everything that no running call has reserved.
    ///
    /// # Errors
    ///
    /// Returns the first failure of the object API. The budgets of the other teams are flushed nevertheless.
    pub async fn close(&self) -> Result<(), CallError> {
        self.flush_all(FlushKind::Final).await
    }

    /// Adopts the slices of a sealed incarnation.
    ///
    /// Each successor calls this with the same proofs, which are derived from the entire sealed journal. The
    /// first update of an object closes the slice; later updates find it closed. A slice without a proof
    /// counts as spent entirely.
    ///
    /// # Errors
    ///
    /// Returns the first failure of the object API. The caller must repeat the call until it succeeds.
    pub async fn adopt_slice(&self, from: IncarnationId, proven: &[ProvenSpend]) -> Result<(), CallError> {
        let mut outcome = Ok(());
        for budget in self.shared.budgets.load_full().iter() {
            self.inherit_reservations(budget, from, proven);
            let _permit = acquire_update(budget).await?;
            let change = |object: &mut BudgetObject, _| budget.adopt_slices(object, from, proven);
            outcome = outcome.and(self.shared.store.update(budget, change, |_, ()| ()).await);
        }
        outcome
    }

    /// Reads a team's budget in the current window from the object API.
    ///
    /// # Errors
    ///
    /// Returns 3012 if the object API does not answer, and 3002 for an unknown team.
    pub async fn report(&self, team: &TeamName) -> Result<BudgetReport, CallError> {
        let budget = self.find(team)?;
        let mut read = self.shared.store.read(&budget).await?;
        let balance = budget.balance();
        let (limit, window_ms) = (balance.limit, balance.window_ms);
        let account = read.object.advance_window(read.date, window_ms);
        let window = balance.windows.last();
        let own = window.filter(|window| window.window_start == account.window_start);
        if let Some(own) = own
            && account.slice(self.shared.incarnation).is_some()
        {
            account.slice_mut(self.shared.incarnation).spent = own.spent;
        }
        let (spent, committed) = (account.reported_spent(), account.committed());
        Ok(BudgetReport {
            window_start: account.window_start,
            limit,
            spent,
            reserved: committed.saturating_sub(spent),
            left: limit.saturating_sub(committed),
            excess: balance.excess,
        })
    }

    fn find(&self, team: &TeamName) -> Result<Arc<TeamBudget>, CallError> {
        let budgets = self.shared.budgets.load();
        let found = budgets.binary_search_by(|budget| budget.team.cmp(team));
        if let Ok(index) = found {
            return Ok(Arc::clone(&budgets[index]));
        }
        let message = format!("team {team} has no budget: no configuration at this entry has named the team");
        Err(CallError::not_run(ResultCode::BudgetExhausted, message))
    }

    async fn take_slice(&self, budget: &TeamBudget, worst_case: MicroUnits) -> Result<TimeMillis, CallError> {
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let change = |object: &mut BudgetObject, date| budget.take_slice(object, date, worst_case);
            let commit = |balance: &mut TeamBalance, outcome| finish_take(balance, outcome, worst_case);
            match self.shared.store.update(budget, change, commit).await {
                Ok(Ok(Some(window_start))) => return Ok(window_start),
                // Concurrent smaller calls have used up the new slice.
                Ok(Ok(None)) => {}
                Ok(Err(refusal)) => return Err(refusal),
                Err(error) => {
                    let retry_ms = self
                        .shared
                        .store
                        .random_ms(OUTAGE_RECHECK_MS..=2 * OUTAGE_RECHECK_MS);
                    return Err(refuse_until_retry(budget, error, retry_ms));
                }
            }
        }
        let message = "budget not reserved: concurrent smaller calls used up each new slice";
        Err(CallError::not_run(ResultCode::PlatformUnavailable, message)
            .with_retry_after_ms(OUTAGE_RECHECK_MS))
    }

    async fn flush_all(&self, kind: FlushKind) -> Result<(), CallError> {
        let mut outcome = Ok(());
        for budget in self.shared.budgets.load_full().iter() {
            if kind == FlushKind::Periodic && !budget.balance().needs_flush() {
                budget.balance().begin_period();
            } else {
                outcome = outcome.and(self.flush_team(budget, kind).await);
            }
        }
        outcome
    }

    async fn flush_team(&self, budget: &TeamBudget, kind: FlushKind) -> Result<(), CallError> {
        let _permit = acquire_update(budget).await?;
        let change = |object: &mut BudgetObject, date| {
            let limit = budget.balance().limit;
            let is_changed = budget.flush_slices(object, date, kind);
            let outcome = (limit, object.clone());
            if is_changed {
                Change::Changed(outcome)
            } else {
                Change::Unchanged(outcome)
            }
        };
        let commit = |balance: &mut TeamBalance, (limit, object): (MicroUnits, BudgetObject)| {
            balance.slice_limit = limit;
            balance.finish_flush(&object);
        };
        self.shared.store.update(budget, change, commit).await
    }

    fn inherit_reservations(&self, budget: &TeamBudget, from: IncarnationId, proven: &[ProvenSpend]) {
        let mut balance = budget.balance();
        for proof in proven.iter().filter(|proof| proof.team == budget.team) {
            let own = proof
                .open
                .iter()
                .find(|share| share.successor == self.shared.incarnation);
            if let Some(share) = own {
                balance.inherit(from, proof.window_start, share.reserved);
            }
        }
    }
}

fn reserve_held(budget: &TeamBudget, worst_case: MicroUnits) -> Result<Option<BudgetReservation>, CallError> {
    let mut balance = budget.balance();
    if let Some(window_start) = balance.try_reserve(worst_case) {
        return Ok(Some(budget.reservation(window_start, worst_case)));
    }
    if worst_case == MicroUnits::ZERO {
        let window_start = balance.current_window().map(|window| window.window_start);
        return Ok(Some(
            budget.reservation(window_start.unwrap_or_default(), worst_case),
        ));
    }
    match balance.cached_refusal(worst_case, Instant::now()) {
        Some(refusal) => Err(refusal),
        None => Ok(None),
    }
}

/// Reserves from a slice that was taken. Returns `None` if concurrent calls have used it up already.
fn finish_take(
    balance: &mut TeamBalance,
    outcome: TakeOutcome,
    worst_case: MicroUnits,
) -> Result<Option<TimeMillis>, CallError> {
    match outcome {
        TakeOutcome::Reserved(window_start) => Ok(Some(window_start)),
        TakeOutcome::Granted(limit) => {
            balance.slice_limit = limit;
            Ok(balance.try_reserve(worst_case))
        }
        TakeOutcome::Refused(limit, error) => {
            balance.slice_limit = limit;
            balance.refusal = Some(CachedRefusal {
                expires_at: Instant::now() + Duration::from_millis(EXHAUSTED_RECHECK_MS),
                min_amount: worst_case,
                error: error.clone(),
            });
            Err(error)
        }
    }
}

/// Refuses every amount that the held slice does not cover until the object API may be called again.
fn refuse_until_retry(budget: &TeamBudget, error: CallError, retry_ms: u64) -> CallError {
    let error = error.with_retry_after_ms(retry_ms);
    budget.balance().refusal = Some(CachedRefusal {
        expires_at: Instant::now() + Duration::from_millis(retry_ms),
        min_amount: MicroUnits::ZERO,
        error: error.clone(),
    });
    error
}

async fn acquire_update(budget: &TeamBudget) -> Result<SemaphorePermit<'_>, CallError> {
    let admitted = budget.updates.acquire().await;
    admitted.map_err(|closed| CallError::not_run(ResultCode::Internal, closed.to_string()))
}
