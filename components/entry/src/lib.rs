//! Entry: the process that serves callers and operators over HTTP and owns programs.

mod adoption;
mod audit;
mod cluster;
mod configuration;
mod context;
mod fleet;
mod http;
mod link;
mod member;
mod metrics;
mod options;
mod orders;
mod owner;
mod pool;
mod process;
mod relay;
mod upkeep;

pub use options::EntryOptions;
pub use process::EntryProcess;
