//! Simulation of scheduling policies under load: programs, entries and engines in simulated time.
//!
//! Entries choose servers with the same code as the gateway. An engine shares each of its steps among the
//! requests that it runs. The result is determined by the site description and a seed.

mod engine;
mod report;
mod site;
mod workload;
mod world;

pub use engine::{EngineModel, EngineQueue, FinishedStep, TurnWork};
pub use report::{ExperimentReport, PolicyResult, draw_plot};
pub use site::{BurstModel, ProgramKind, SiteError, SiteModel};
pub use workload::{Arrival, arrivals};
pub use world::{LabPolicy, run_policy};
