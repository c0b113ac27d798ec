//! Budgets of teams. Each team has one object in the object API that holds its accounts. An entry takes
//! slices of a budget from that object, reserves the worst case of a call before the call and settles the
//! price after it.

mod account;
mod balance;
mod manager;
mod reservation;
mod store;
mod team;

pub use account::{BudgetObject, SliceRecord, WindowAccount};
pub use manager::BudgetManager;
pub use reservation::{BudgetReport, BudgetReservation, InheritedReservations, ProvenSpend};
