//! Controller that orders engines to load and unload models. A lease in the object API elects the entry that
//! runs it.

mod lease;
mod planner;

pub use lease::{ControllerLease, LeaseOptions, LeaseRecord};
pub use planner::{AgentStatus, EngineAction, OrderPlanner, OrderTarget, OrderTiming};
