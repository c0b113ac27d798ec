//! Budgets of teams: slices taken from one object for each team, reserved before and settled after each call.

mod account;
mod ledger;
mod manager;
mod reservation;
mod store;
mod team;

pub use account::{BudgetObject, SliceRecord, WindowAccount};
pub use manager::BudgetManager;
pub use reservation::{BudgetReport, BudgetReservation, InheritedReservations, ProvenSpend};
