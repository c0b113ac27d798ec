//! One team's budget at one entry: the ledger and the updates of the object.

use std::sync::{Mutex, MutexGuard, PoisonError};

use domain::{IncarnationId, MicroUnits, TeamName, TimeMillis};
use errors::{CallError, ResultCode};
use policy::next_slice;
use store::ObjectVersion;
use tokio::sync::Semaphore;

use crate::account::BudgetObject;
use crate::ledger::TeamLedger;
use crate::reservation::{BudgetReservation, ProvenSpend};

/// Time in milliseconds within which other owners return what they do not use.
const RETURN_RETRY_MS: u64 = 2_000;

/// How a change of the object went on the copy that was read.
#[derive(Debug)]
pub(crate) enum Change<T> {
    /// The object stays as it is.
    Unchanged(T),
    /// The changed copy is to be written.
    Changed(T),
}

/// How an attempt to take a slice went.
#[derive(Debug)]
pub(crate) enum TakeOutcome {
    /// The held slice sufficed meanwhile and the amount is reserved.
    Reserved(TimeMillis),
    /// What is left of the budget does not suffice under the limit.
    Refused(MicroUnits, CallError),
    /// The copy of the object holds a slice that suffices, under the limit.
    Granted(MicroUnits),
}

/// Which slices a flush gives back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FlushKind {
    /// What was not in use since the latest flush.
    Periodic,
    /// Everything but the reservations of calls under way.
    Final,
}

/// One team's budget at one entry.
#[derive(Debug)]
pub(crate) struct TeamBudget {
    pub(crate) team: TeamName,
    pub(crate) incarnation: IncarnationId,
    /// Admits one update of the object at a time, so that waiting calls share a slice.
    pub(crate) updates: Semaphore,
    /// Version on which a write without an answer was based; it may still take effect on this version only.
    pub(crate) unresolved: Mutex<Option<ObjectVersion>>,
    ledger: Mutex<TeamLedger>,
}

impl TeamBudget {
    pub(crate) fn new(team: TeamName, incarnation: IncarnationId) -> Self {
        Self {
            team,
            incarnation,
            updates: Semaphore::new(1),
            unresolved: Mutex::default(),
            ledger: Mutex::default(),
        }
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, TeamLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn object_key(&self) -> String {
        format!("budgets/{}", self.team)
    }

    /// Sets limit and window; a lowered limit makes the next reservation renew the slice.
    pub(crate) fn configure(&self, limit: MicroUnits, window_ms: u64, owners: u32) {
        let mut ledger = self.ledger();
        if limit != ledger.limit || window_ms != ledger.window_ms {
            ledger.refusal = None;
        }
        ledger.limit = limit;
        ledger.window_ms = window_ms;
        ledger.owners = owners;
    }

    pub(crate) fn reservation(&self, window_start: TimeMillis, amount: MicroUnits) -> BudgetReservation {
        BudgetReservation::new(self.team.clone(), window_start, amount)
    }

    /// Takes a slice that covers `worst` on a copy of the object.
    ///
    /// After a lowered limit the held slice is given back in the same change.
    pub(crate) fn take_slice(
        &self,
        object: &mut BudgetObject,
        date: TimeMillis,
        worst: MicroUnits,
    ) -> Change<TakeOutcome> {
        let mut ledger = self.ledger();
        let (limit, window_ms, owners) = (ledger.limit, ledger.window_ms, ledger.owners);
        let account = object.advance_window(date, window_ms);
        account.limit = limit;
        let frozen = ledger.is_frozen();
        let window = ledger.open_window(account.window_start);
        if frozen {
            window.give_back(true);
        }
        let available = window.available();
        window.fill(account.slice_mut(self.incarnation));
        if let Some(window_start) = ledger.try_reserve(worst) {
            return Change::Unchanged(TakeOutcome::Reserved(window_start));
        }
        let left = limit.saturating_sub(account.committed());
        let wanted = worst.saturating_sub(available);
        let slice = next_slice(left, owners, wanted);
        if slice < wanted || left == MicroUnits::ZERO {
            let rest_ms = account.window_start.plus(window_ms).since(date);
            let unspent = limit.saturating_sub(account.reported_spent());
            let may_return = unspent >= worst;
            let retry_ms = if may_return {
                rest_ms.min(RETURN_RETRY_MS)
            } else {
                rest_ms
            };
            let refused = TakeOutcome::Refused(limit, refuse_budget(&self.team, limit, worst, retry_ms));
            return if frozen {
                Change::Changed(refused)
            } else {
                Change::Unchanged(refused)
            };
        }
        let record = account.slice_mut(self.incarnation);
        record.granted = record.granted.saturating_add(slice);
        Change::Changed(TakeOutcome::Granted(limit))
    }

    /// Writes spent amounts into a copy of the object, gives idle slices back, and returns whether the copy
    /// changed.
    pub(crate) fn flush_slices(&self, object: &mut BudgetObject, date: TimeMillis, kind: FlushKind) -> bool {
        let before = object.clone();
        let mut ledger = self.ledger();
        let present = object.advance_window(date, ledger.window_ms).window_start;
        ledger.open_window(present);
        let everything = ledger.is_frozen() || kind == FlushKind::Final;
        for window in &mut ledger.windows {
            let Some(account) = object.account_mut(window.window_start) else {
                continue;
            };
            if account.slice(self.incarnation).is_none() {
                continue;
            }
            let is_over = window.window_start < present || kind == FlushKind::Final;
            if is_over && window.reserved == MicroUnits::ZERO {
                window.close();
                account.close_slice(self.incarnation, window.spent);
            } else {
                window.give_back(everything || is_over);
                window.fill(account.slice_mut(self.incarnation));
            }
        }
        *object != before
    }

    /// Closes the slices of a sealed incarnation in a copy of the object.
    pub(crate) fn adopt_slices(
        &self,
        object: &mut BudgetObject,
        from: IncarnationId,
        proven: &[ProvenSpend],
    ) -> Change<()> {
        let mut changed = false;
        for account in &mut object.windows {
            let window_start = account.window_start;
            let proof = proven
                .iter()
                .find(|proof| proof.team == self.team && proof.window_start == window_start);
            changed |= account.adopt_slice(from, proof);
        }
        if changed {
            Change::Changed(())
        } else {
            Change::Unchanged(())
        }
    }
}

fn refuse_budget(team: &TeamName, limit: MicroUnits, worst: MicroUnits, retry_ms: u64) -> CallError {
    let message = format!("the budget of team {team} does not cover {worst} micro-units");
    let refusal = CallError::not_run(ResultCode::BudgetExhausted, message);
    if worst > limit {
        refusal
    } else {
        refusal.with_retry_after_ms(retry_ms.max(1))
    }
}
