//! One team's budget at one entry: its balance, and the changes that it makes to the stored object.

use std::sync::{Mutex, MutexGuard, PoisonError};

use domain::{IncarnationId, MicroUnits, TeamName, TimeMillis};
use errors::{CallError, ResultCode};
use policy::next_slice;
use store::ObjectVersion;
use tokio::sync::Semaphore;

use crate::account::BudgetObject;
use crate::balance::TeamBalance;
use crate::reservation::{BudgetReservation, ProvenSpend};

/// Retry delay in milliseconds if other owners hold unspent amounts. They return idle amounts within this
/// time.
const RETURN_RETRY_MS: u64 = 2_000;

/// Result of a change that was applied to a copy of the object.
#[derive(Debug)]
pub(crate) enum Change<T> {
    /// The copy equals the object, so that no write is needed.
    Unchanged(T),
    /// The copy differs and must be written.
    Changed(T),
}

/// Result of an attempt to take a slice. Amounts are the limit under which it was made.
#[derive(Debug)]
pub(crate) enum TakeOutcome {
    /// The held slice became sufficient in the meantime. The amount is reserved in the window with this
    /// start.
    Reserved(TimeMillis),
    /// The remaining budget is too small under this limit.
    Refused(MicroUnits, CallError),
    /// The copy of the object contains a sufficient slice, taken under this limit.
    Granted(MicroUnits),
}

/// Which amounts a flush returns to the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FlushKind {
    /// Amounts that were idle since the latest flush.
    Periodic,
    /// Everything except the reservations of running calls.
    Final,
}

/// One team's budget at one entry.
#[derive(Debug)]
pub(crate) struct TeamBudget {
    pub(crate) team: TeamName,
    pub(crate) incarnation: IncarnationId,
    /// Allows one update of the object at a time, so that calls that wait for a slice share the next one.
    pub(crate) updates: Semaphore,
    /// Version on which an unanswered write was based. The write can still take effect, but on this version
    /// only.
    pub(crate) unresolved: Mutex<Option<ObjectVersion>>,
    balance: Mutex<TeamBalance>,
}

impl TeamBudget {
    pub(crate) fn new(team: TeamName, incarnation: IncarnationId) -> Self {
        Self {
            team,
            incarnation,
            updates: Semaphore::new(1),
            unresolved: Mutex::default(),
            balance: Mutex::default(),
        }
    }

    pub(crate) fn balance(&self) -> MutexGuard<'_, TeamBalance> {
        self.balance.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn object_key(&self) -> String {
        format!("budgets/{}", self.team)
    }

    /// Sets the limit and the window. After a lowered limit, the next reservation renews the slice.
    pub(crate) fn configure(&self, limit: MicroUnits, window_ms: u64, owners: u32) {
        let mut balance = self.balance();
        if limit != balance.limit || window_ms != balance.window_ms {
            balance.refusal = None;
        }
        balance.limit = limit;
        balance.window_ms = window_ms;
        balance.owners = owners;
    }

    pub(crate) fn reservation(&self, window_start: TimeMillis, amount: MicroUnits) -> BudgetReservation {
        BudgetReservation::new(self.team.clone(), window_start, amount)
    }

    /// Takes a slice that covers `worst_case` in a copy of the object.
    ///
    /// After a lowered limit, the unused part of the held slice is returned in the same change.
    pub(crate) fn take_slice(
        &self,
        object: &mut BudgetObject,
        date: TimeMillis,
        worst_case: MicroUnits,
    ) -> Change<TakeOutcome> {
        let mut balance = self.balance();
        let (limit, window_ms, owners) = (balance.limit, balance.window_ms, balance.owners);
        let account = object.advance_window(date, window_ms);
        account.limit = limit;
        let is_frozen = balance.is_frozen();
        let window = balance.open_window(account.window_start);
        if is_frozen {
            window.return_unused(true);
        }
        let available = window.available();
        window.copy_to(account.slice_mut(self.incarnation));
        if let Some(window_start) = balance.try_reserve(worst_case) {
            return Change::Unchanged(TakeOutcome::Reserved(window_start));
        }
        let left = limit.saturating_sub(account.committed());
        let shortfall = worst_case.saturating_sub(available);
        let slice = next_slice(left, owners, shortfall);
        if slice < shortfall || left == MicroUnits::ZERO {
            let remaining_ms = account.window_start.plus(window_ms).since(date);
            let unspent = limit.saturating_sub(account.reported_spent());
            let may_return = unspent >= worst_case;
            let retry_ms = if may_return {
                remaining_ms.min(RETURN_RETRY_MS)
            } else {
                remaining_ms
            };
            let refused = TakeOutcome::Refused(limit, refuse_budget(&self.team, limit, worst_case, retry_ms));
            return if is_frozen {
                Change::Changed(refused)
            } else {
                Change::Unchanged(refused)
            };
        }
        let record = account.slice_mut(self.incarnation);
        record.granted = record.granted.saturating_add(slice);
        Change::Changed(TakeOutcome::Granted(limit))
    }

    /// Writes spent amounts into a copy of the object and returns idle amounts to the budget. Returns whether
    /// the copy changed.
    pub(crate) fn flush_slices(&self, object: &mut BudgetObject, date: TimeMillis, kind: FlushKind) -> bool {
        let before = object.clone();
        let mut balance = self.balance();
        let current = object.advance_window(date, balance.window_ms).window_start;
        balance.open_window(current);
        let everything = balance.is_frozen() || kind == FlushKind::Final;
        for window in &mut balance.windows {
            let Some(account) = object.account_mut(window.window_start) else {
                continue;
            };
            if account.slice(self.incarnation).is_none() {
                continue;
            }
            let is_over = window.window_start < current || kind == FlushKind::Final;
            if is_over && window.reserved == MicroUnits::ZERO {
                window.close();
                account.close_slice(self.incarnation, window.spent);
            } else {
                window.return_unused(everything || is_over);
                window.copy_to(account.slice_mut(self.incarnation));
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

fn refuse_budget(team: &TeamName, limit: MicroUnits, worst_case: MicroUnits, retry_ms: u64) -> CallError {
    let message =
        format!("the budget of team {team} does not cover the worst case of {worst_case} micro-units");
    let refusal = CallError::not_run(ResultCode::BudgetExhausted, message);
    if worst_case > limit {
        refusal
    } else {
        refusal.with_retry_after_ms(retry_ms.max(1))
    }
}
