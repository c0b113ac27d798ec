//! Budgets of teams: slices taken from one object for each team, reserved before and settled after each call.

mod account;
mod keeper;
mod ledger;
mod reservation;
mod store;
mod team;

pub use account::{BudgetObject, SliceRecord, WindowAccount};
pub use keeper::BudgetKeeper;
pub use reservation::{BudgetReport, BudgetReservation, OpenShare, ProvenSpend};
