//! Scheduling decisions as pure functions: no clock, no I/O, no randomness except a generator that the caller
//! passes in.

mod admission;
mod baseline;
mod order;
mod placement;
mod price;
mod queue;
mod retention;
mod server;
mod slice;

pub use admission::{AdmissionFacts, REPETITION_LIMIT, admit_call};
pub use baseline::{PolicyKind, call_priority_by, choose_server_by};
pub use order::{CallFacts, ageing_bound_ms, call_priority};
pub use placement::{EngineView, PlacementLimits, PlacementOrder, ServiceDemand, place_models};
pub use price::{exact_price, worst_case_price};
pub use queue::{CallQueue, QueueKey};
pub use retention::{RetentionChoice, RetentionFacts, choose_retention};
pub use server::{CallShape, ServerChoice, ServerCosts, ServerView, choose_server};
pub use slice::next_slice;
