//! Reservations, reports and proofs of spending.

use domain::{IncarnationId, MicroUnits, TeamName, TimeMillis};
use serde::{Deserialize, Serialize};

/// Budget set aside for the worst case of one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetReservation {
    team: TeamName,
    window_start: TimeMillis,
    amount: MicroUnits,
}

impl BudgetReservation {
    /// Creates a reservation that a keeper holds already: one of its own, or one inherited with a proof.
    pub const fn new(team: TeamName, window_start: TimeMillis, amount: MicroUnits) -> Self {
        Self {
            team,
            window_start,
            amount,
        }
    }

    /// Returns the team that pays.
    pub const fn team(&self) -> &TeamName {
        &self.team
    }

    /// Returns the start of the window to which the call is charged.
    pub const fn window_start(&self) -> TimeMillis {
        self.window_start
    }

    /// Returns the amount.
    pub const fn amount(&self) -> MicroUnits {
        self.amount
    }
}

/// Budget of a team in the present window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetReport {
    /// Start of the window.
    pub window_start: TimeMillis,
    /// Limit of the window.
    pub limit: MicroUnits,
    /// Amount spent, as far as the owners have written it back.
    pub spent: MicroUnits,
    /// Amount that owners hold in slices: reserved by calls under way or not used yet.
    pub reserved: MicroUnits,
    /// Amount from which new slices can be taken.
    pub left: MicroUnits,
    /// Amount by which calls of this entry cost more than they had reserved.
    pub excess: MicroUnits,
}

/// What the journal of a sealed incarnation proves about its spending from one team's window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProvenSpend {
    /// Team.
    pub team: TeamName,
    /// Start of the window.
    pub window_start: TimeMillis,
    /// Sum of the exact prices of every call that the incarnation finished in the window.
    pub spent: MicroUnits,
    /// Reservations of the calls that are still open, by the successor that the seal gives them to, sorted.
    pub open: Vec<InheritedReservations>,
}

/// Reservations of open calls that one successor takes over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InheritedReservations {
    /// Successor named by the seal.
    #[serde(rename = "heir")]
    pub successor: IncarnationId,
    /// Sum of the reservations.
    pub reserved: MicroUnits,
}
