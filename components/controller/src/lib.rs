//! The controller that orders engines to load and unload models, and its lease.

mod book;
mod lease;

pub use book::{AgentFacts, EngineAction, OrderBook, OrderTarget, OrderTiming};
pub use lease::{ControllerLease, LeaseOptions, LeaseRecord};
