//! The controller that orders engines to load and unload models, and its lease.

mod lease;
mod planner;

pub use lease::{ControllerLease, LeaseOptions, LeaseRecord};
pub use planner::{AgentStatus, EngineAction, OrderPlanner, OrderTarget, OrderTiming};
