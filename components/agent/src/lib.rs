//! The agent, a process beside each backend server through which all calls to the server pass.

mod call_table;
mod configuration;
mod heartbeat;
mod model;
mod options;
mod orders;
mod output;
mod port;
mod process;
mod programs;
mod queue;
mod row;
mod runner;
mod shared;
mod sweeper;

pub use call_table::{CallLimits, CallTable, StartedCall};
pub use options::AgentOptions;
pub use output::CallOutput;
pub use process::AgentProcess;
pub use programs::{CacheState, IdleQuery, ProgramTable};
pub use queue::{CallQueue, QueuedCall};
