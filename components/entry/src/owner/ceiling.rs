//! Ceilings of spending: what the journal tells successors about a team's budget without a record for each
//! call.
//!
//! No call is handed out while its team's spending and reservations exceed the ceiling that the journal
//! holds. A successor takes the ceiling for spent and returns the rest of the slice.

use std::sync::{Arc, Mutex, PoisonError};

use budget::{BudgetReservation, ProvenSpend};
use domain::{MicroUnits, TeamName, TimeMillis};
use errors::CallError;
use journal::{BudgetSlice, JournalRecord};

use crate::owner::core::OwnerCore;

/// Worst cases by which a new ceiling lies above the present use.
const CALLS_PER_CEILING: u64 = 8;

/// Ceilings that the journal holds, in the order of the teams.
#[derive(Debug, Default)]
pub(crate) struct CeilingTable {
    rows: Mutex<Vec<BudgetSlice>>,
}

impl CeilingTable {
    /// Returns every ceiling.
    pub(crate) fn rows(&self) -> Vec<BudgetSlice> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Notes a ceiling that has become durable; one of an earlier window or a lower one changes nothing.
    pub(crate) fn raise(&self, durable: &BudgetSlice) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        match rows.binary_search_by(|row| row.team.cmp(&durable.team)) {
            Ok(index) if rows[index].is_superseded_by(durable) => rows[index] = durable.clone(),
            Ok(_) => {}
            Err(index) => rows.insert(index, durable.clone()),
        }
    }

    fn covers(&self, team: &TeamName, window_start: TimeMillis, used: MicroUnits) -> bool {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let found = rows.binary_search_by(|row| row.team.cmp(team));
        found.is_ok_and(|index| rows[index].window_start == window_start && used <= rows[index].spent)
    }
}

impl OwnerCore {
    /// Makes sure that the journal's ceiling covers a reservation before its call is handed out.
    ///
    /// # Errors
    ///
    /// Returns 3011 when the journal is sealed and 3012, not run, when it does not take the ceiling in time.
    pub(crate) async fn cover_spending(
        self: &Arc<Self>,
        reservation: &BudgetReservation,
    ) -> Result<(), CallError> {
        if reservation.amount() == MicroUnits::ZERO {
            return Ok(());
        }
        let (team, window_start) = (reservation.team(), reservation.window_start());
        let used = self.budget().spent_and_reserved(team, window_start);
        if self.ceilings.covers(team, window_start, used) {
            return Ok(());
        }
        let margin = MicroUnits(reservation.amount().0.saturating_mul(CALLS_PER_CEILING));
        let ceiling = used.saturating_add(margin);
        let record = JournalRecord::Slice {
            team: team.clone(),
            window_start,
            held: ceiling,
            spent: ceiling,
        };
        self.commit_or_undo(vec![record], Vec::new()).await
    }
}

/// Returns what the ceilings of a sealed journal prove; calls that are still open lie below them.
pub(crate) fn proven_spend(ceilings: &[BudgetSlice]) -> Vec<ProvenSpend> {
    let proven = ceilings.iter().map(|ceiling| ProvenSpend {
        team: ceiling.team.clone(),
        window_start: ceiling.window_start,
        spent: ceiling.spent,
        open: Vec::new(),
    });
    proven.collect()
}
