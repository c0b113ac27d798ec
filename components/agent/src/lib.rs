//! The process beside each backend server: the only way to it.

mod configuration;
mod heartbeat;
mod ledger;
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

pub use ledger::{CallLedger, LedgerLimits, StartedCall};
pub use options::AgentOptions;
pub use output::CallOutput;
pub use process::AgentProcess;
pub use programs::{CacheHold, ProgramTable, QuietQuery};
pub use queue::{CallQueue, QueuedCall};
