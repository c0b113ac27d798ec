//! Reservations and reports of budgets, and proofs of the spending of sealed incarnations.

use domain::{IncarnationId, MicroUnits, TeamName, TimeMillis};
use serde::{Deserialize, Serialize};

/// Amount of a team's budget that is reserved for the worst-case price of one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetReservation {
    team: TeamName,
    window_start: TimeMillis,
    amount: MicroUnits,
}

impl BudgetReservation {
    /// Creates a reservation that a manager already counts: one of its own, or one inherited with a proof.
    pub const fn new(team: TeamName, window_start: TimeMillis, amount: MicroUnits) -> Self {
        Self {
            team,
            window_start,
            amount,
        }
    }

    /// Returns the team whose budget is charged.
    pub const fn team(&self) -> &TeamName {
        &self.team
    }

    /// Returns the start of the window to which the call is charged.
    pub const fn window_start(&self) -> TimeMillis {
        self.window_start
    }

    /// Returns the reserved amount.
    pub const fn amount(&self) -> MicroUnits {
        self.amount
    }
}

/// Budget of a team in the current window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetReport {
    /// Start of the window.
    pub window_start: TimeMillis,
    /// Limit of the window in the configuration in force.
    pub limit: MicroUnits,
    /// Amount spent as of the latest write of each owner.
    pub spent: MicroUnits,
    /// Amount that owners hold in slices: reserved by running calls or not used yet.
    pub reserved: MicroUnits,
    /// Amount that is available for new slices.
    pub left: MicroUnits,
    /// Amount by which settled calls of this entry exceeded their reservations.
    pub excess: MicroUnits,
}

/// Proof of a sealed incarnation's spending in one window of a team, derived from its journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProvenSpend {
    /// Team whose budget was spent.
    pub team: TeamName,
    /// Start of the window.
    pub window_start: TimeMillis,
    /// Sum of the exact prices of all calls that the incarnation finished in the window.
    pub spent: MicroUnits,
    /// Reservations of the calls that are still open, one item for each successor that takes over some,
    /// sorted.
    pub open: Vec<InheritedReservations>,
}

/// Reservations of open calls that pass to one successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InheritedReservations {
    /// Successor: the incarnation that the seal names as the next owner of the calls.
    #[serde(rename = "heir")]
    pub successor: IncarnationId,
    /// Sum of the reservations that pass to it.
    pub reserved: MicroUnits,
}
