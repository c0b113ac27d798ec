//! Ceilings: durable upper bounds of the spending of teams. From them, successors derive a team's spending
//! without a journal record for each call.
//!
//! A call is dispatched only while the spending and the reservations of its team do not exceed the ceiling in
//! the journal. A successor counts the ceiling as spent and returns the remainder of the slice.

use std::sync::{Arc, Mutex, PoisonError};

use budget::{BudgetReservation, ProvenSpend};
use domain::{MicroUnits, TeamName, TimeMillis};
use errors::CallError;
use journal::{BudgetSlice, JournalRecord};

use crate::owner::core::OwnerCore;

/// Margin of a new ceiling above the current spending and reservations, as a multiple of the worst-case price
/// of the call that needs it.
const CALLS_PER_CEILING: u64 = 8;

/// Durable spending ceilings, sorted by team.
#[derive(Debug, Default)]
pub(crate) struct CeilingTable {
    rows: Mutex<Vec<BudgetSlice>>,
}

impl CeilingTable {
    /// Returns all ceilings in the order of the teams.
    pub(crate) fn rows(&self) -> Vec<BudgetSlice> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records a ceiling that has become durable. Ignores a lower ceiling and one of an earlier window.
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
    /// Ensures that the durable ceiling covers a reservation before its call is dispatched. Raises the
    /// ceiling if it does not.
    ///
    /// # Errors
    ///
    /// Returns 3011 if the journal is sealed, and 3012, not run, if it does not store the ceiling in time.
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

/// Returns the proven spending by the ceilings of a sealed journal. The ceilings include calls that are still
/// open.
pub(crate) fn proven_spend(ceilings: &[BudgetSlice]) -> Vec<ProvenSpend> {
    let proven = ceilings.iter().map(|ceiling| ProvenSpend {
        team: ceiling.team.clone(),
        window_start: ceiling.window_start,
        spent: ceiling.spent,
        open: Vec::new(),
    });
    proven.collect()
}
