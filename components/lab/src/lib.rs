//! Experiments with policies under load: programs, entries and engines as a model in simulated time.
//!
//! Entries choose servers with the code that the gateway uses. Engines share their steps among the requests that they
//! run. Everything follows from the site description and a seed.

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
