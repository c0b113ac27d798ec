//! The budgets of all teams at one entry.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use domain::{IncarnationId, MicroUnits, TeamConfig, TeamName, TimeMillis};
use errors::{CallError, ResultCode};
use store::ObjectStore;
use tokio::sync::SemaphorePermit;
use tokio::time::Instant;

use crate::account::BudgetObject;
use crate::ledger::{StandingRefusal, TeamLedger};
use crate::reservation::{BudgetReport, BudgetReservation, ProvenSpend};
use crate::store::{BudgetStore, MAX_UPDATE_ATTEMPTS};
use crate::team::{Change, FlushKind, TakeOutcome, TeamBudget};

const MILLIS_PER_SECOND: u64 = 1_000;
/// Time in milliseconds after which an exhausted budget is looked at again.
const EXHAUSTED_RECHECK_MS: u64 = 1_000;
/// Least time in milliseconds between calls to an object API that is down; up to twice as long at random.
const OUTAGE_RECHECK_MS: u64 = 250;

/// The budgets of all teams at one entry. Clones share their state.
#[derive(Debug, Clone)]
pub struct BudgetManager {
    shared: Arc<ManagerState>,
}

#[derive(Debug)]
struct ManagerState {
    store: BudgetStore,
    incarnation: IncarnationId,
    /// Budgets in the order of their teams.
    budgets: ArcSwap<Vec<Arc<TeamBudget>>>,
}

impl BudgetManager {
    /// Creates a keeper that holds no slices and knows no teams.
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
    /// A team that is gone keeps its ledger until its reservations are settled, with nothing left to reserve.
    pub fn set_teams(&self, teams: &[TeamConfig], live_owners: u32) {
        self.shared.budgets.rcu(|present| {
            let mut budgets = Vec::clone(present);
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

    /// Reserves the worst case of a call, and takes another slice when the held one is too small.
    ///
    /// # Errors
    ///
    /// Returns a not-run error: 3002 when the budget does not cover the amount, with the time until the window
    /// ends, or less when other owners may return enough; 3012 when a slice is needed and the object API gives none.
    pub async fn reserve(&self, team: &TeamName, worst: MicroUnits) -> Result<BudgetReservation, CallError> {
        let budget = self.find(team)?;
        if let Some(reservation) = reserve_held(&budget, worst)? {
            return Ok(reservation);
        }
        let _permit = admit_update(&budget).await?;
        if let Some(reservation) = reserve_held(&budget, worst)? {
            return Ok(reservation);
        }
        let taken = self.take_slice(&budget, worst).await;
        taken.map(|window_start| budget.reservation(window_start, worst))
    }

    /// Returns what this entry has spent and reserved of a team's window; zero for a window that it does not know.
    pub fn spent_and_reserved(&self, team: &TeamName, window_start: TimeMillis) -> MicroUnits {
        self.find(team)
            .map_or(MicroUnits::ZERO, |budget| budget.ledger().used(window_start))
    }

    /// Settles a reservation exactly. What exceeds the reservation is charged to the team as well and appears
    /// in the report.
    pub fn settle(&self, reservation: &BudgetReservation, charged: MicroUnits) {
        if let Ok(budget) = self.find(reservation.team()) {
            budget.ledger().settle(reservation, charged);
        }
    }

    /// Writes spent amounts back and returns slices that were idle since the latest flush, once there is enough
    /// of either to be worth a write.
    ///
    /// # Errors
    ///
    /// Returns the first failure of the object API; the other teams are flushed all the same.
    pub async fn flush(&self) -> Result<(), CallError> {
        self.flush_all(FlushKind::Periodic).await
    }

    /// Writes spent amounts back and returns everything that no call under way has reserved.
    ///
    /// # Errors
    ///
    /// Returns the first failure of the object API; the other teams are flushed all the same.
    pub async fn close(&self) -> Result<(), CallError> {
        self.flush_all(FlushKind::Final).await
    }

    /// Takes over the slices of a sealed incarnation.
    ///
    /// Each successor calls this with the same proofs, worked out from the whole sealed journal; the first update of
    /// an object closes the slice and the others find it closed. A window without a proof counts as spent whole.
    ///
    /// # Errors
    ///
    /// Returns the first failure of the object API; the call is repeated until it succeeds.
    pub async fn adopt_slice(&self, from: IncarnationId, proven: &[ProvenSpend]) -> Result<(), CallError> {
        let mut outcome = Ok(());
        for budget in self.shared.budgets.load_full().iter() {
            self.inherit_open(budget, from, proven);
            let _permit = admit_update(budget).await?;
            let change = |object: &mut BudgetObject, _| budget.adopt_slices(object, from, proven);
            outcome = outcome.and(self.shared.store.update(budget, change, |_, ()| ()).await);
        }
        outcome
    }

    /// Reads a team's budget in the present window.
    ///
    /// # Errors
    ///
    /// Returns 3012 when the object API does not answer, 3002 for an unknown team.
    pub async fn report(&self, team: &TeamName) -> Result<BudgetReport, CallError> {
        let budget = self.find(team)?;
        let mut read = self.shared.store.read(&budget).await?;
        let ledger = budget.ledger();
        let (limit, window_ms) = (ledger.limit, ledger.window_ms);
        let account = read.object.advance_window(read.date, window_ms);
        let window = ledger.windows.last();
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
            excess: ledger.excess,
        })
    }

    fn find(&self, team: &TeamName) -> Result<Arc<TeamBudget>, CallError> {
        let budgets = self.shared.budgets.load();
        let found = budgets.binary_search_by(|budget| budget.team.cmp(team));
        if let Ok(index) = found {
            return Ok(Arc::clone(&budgets[index]));
        }
        let message = format!("team {team} has no budget");
        Err(CallError::not_run(ResultCode::BudgetExhausted, message))
    }

    async fn take_slice(&self, budget: &TeamBudget, worst: MicroUnits) -> Result<TimeMillis, CallError> {
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let change = |object: &mut BudgetObject, date| budget.take_slice(object, date, worst);
            let commit = |ledger: &mut TeamLedger, outcome| finish_take(ledger, outcome, worst);
            match self.shared.store.update(budget, change, commit).await {
                Ok(Ok(Some(window_start))) => return Ok(window_start),
                // Smaller calls were faster and used the new slice up.
                Ok(Ok(None)) => {}
                Ok(Err(refusal)) => return Err(refusal),
                Err(error) => {
                    let retry_ms = self
                        .shared
                        .store
                        .draw_ms(OUTAGE_RECHECK_MS..=2 * OUTAGE_RECHECK_MS);
                    return Err(refuse_for_a_while(budget, error, retry_ms));
                }
            }
        }
        let message = "smaller calls use each new slice of the budget up";
        Err(CallError::not_run(ResultCode::PlatformUnavailable, message)
            .with_retry_after_ms(OUTAGE_RECHECK_MS))
    }

    async fn flush_all(&self, kind: FlushKind) -> Result<(), CallError> {
        let mut outcome = Ok(());
        for budget in self.shared.budgets.load_full().iter() {
            if kind == FlushKind::Periodic && !budget.ledger().needs_flush() {
                budget.ledger().begin_period();
            } else {
                outcome = outcome.and(self.flush_team(budget, kind).await);
            }
        }
        outcome
    }

    async fn flush_team(&self, budget: &TeamBudget, kind: FlushKind) -> Result<(), CallError> {
        let _permit = admit_update(budget).await?;
        let change = |object: &mut BudgetObject, date| {
            let limit = budget.ledger().limit;
            let is_changed = budget.flush_slices(object, date, kind);
            let outcome = (limit, object.clone());
            if is_changed {
                Change::Changed(outcome)
            } else {
                Change::Unchanged(outcome)
            }
        };
        let commit = |ledger: &mut TeamLedger, (limit, object): (MicroUnits, BudgetObject)| {
            ledger.slice_limit = limit;
            ledger.finish_flush(&object);
        };
        self.shared.store.update(budget, change, commit).await
    }

    fn inherit_open(&self, budget: &TeamBudget, from: IncarnationId, proven: &[ProvenSpend]) {
        let mut ledger = budget.ledger();
        for proof in proven.iter().filter(|proof| proof.team == budget.team) {
            let own = proof
                .open
                .iter()
                .find(|share| share.successor == self.shared.incarnation);
            if let Some(share) = own {
                ledger.inherit(from, proof.window_start, share.reserved);
            }
        }
    }
}

fn reserve_held(budget: &TeamBudget, worst: MicroUnits) -> Result<Option<BudgetReservation>, CallError> {
    let mut ledger = budget.ledger();
    if let Some(window_start) = ledger.try_reserve(worst) {
        return Ok(Some(budget.reservation(window_start, worst)));
    }
    if worst == MicroUnits::ZERO {
        let window_start = ledger.present().map(|window| window.window_start);
        return Ok(Some(budget.reservation(window_start.unwrap_or_default(), worst)));
    }
    match ledger.standing_refusal(worst, Instant::now()) {
        Some(refusal) => Err(refusal),
        None => Ok(None),
    }
}

/// Reserves from a slice that was taken; `None` when other calls were faster.
fn finish_take(
    ledger: &mut TeamLedger,
    outcome: TakeOutcome,
    worst: MicroUnits,
) -> Result<Option<TimeMillis>, CallError> {
    match outcome {
        TakeOutcome::Reserved(window_start) => Ok(Some(window_start)),
        TakeOutcome::Granted(limit) => {
            ledger.slice_limit = limit;
            Ok(ledger.try_reserve(worst))
        }
        TakeOutcome::Refused(limit, error) => {
            ledger.slice_limit = limit;
            ledger.refusal = Some(StandingRefusal {
                until: Instant::now() + Duration::from_millis(EXHAUSTED_RECHECK_MS),
                from: worst,
                error: error.clone(),
            });
            Err(error)
        }
    }
}

/// Refuses every amount that the held slice does not cover until the object API is worth another call.
fn refuse_for_a_while(budget: &TeamBudget, error: CallError, retry_ms: u64) -> CallError {
    let error = error.with_retry_after_ms(retry_ms);
    budget.ledger().refusal = Some(StandingRefusal {
        until: Instant::now() + Duration::from_millis(retry_ms),
        from: MicroUnits::ZERO,
        error: error.clone(),
    });
    error
}

async fn admit_update(budget: &TeamBudget) -> Result<SemaphorePermit<'_>, CallError> {
    let admitted = budget.updates.acquire().await;
    admitted.map_err(|closed| CallError::not_run(ResultCode::Internal, closed.to_string()))
}
