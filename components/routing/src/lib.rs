//! Routing of requests: routes by host and path, the directory of backend servers and the choice among them.
//!
//! The crate does no input or output; times are passed in.

mod access;
mod admission;
mod assignment;
mod balance;
mod departure;
mod directory;
mod expiry;
mod health;
mod limit;
mod memory;
mod outcome;
mod pace;
mod prefix;
mod reading;
mod route;
mod stream;
mod workspace;

pub use access::{AccessBounds, AccessDecision, KeyHolder, RefreshGate, RefreshStep};
pub use admission::{AdmissionBounds, AdmissionControl, EngineLoad, EngineSlots};
pub use assignment::AssignmentTable;
pub use balance::{LoadTracker, PromptQuery, ServerPick, ServerQuery, choose_backend, may_be_full};
pub use directory::{BackendServer, ServerDirectory, ServerKey, ServerState};
pub use expiry::{ExpiryEvidence, expiry_grace_ms};
pub use health::{HealthTracker, RunOutcome, ServerRisk};
pub use limit::{LimitQuery, LimitTracker, ServerLimit, limited_slots};
pub use memory::{MemoryDemand, MemoryFit, MemoryQuery, MemoryTracker};
pub use outcome::{AttemptLimits, AttemptOutcome, NextStep, next_step};
pub use pace::{PaceSample, PaceTracker, StartSample};
pub use prefix::{PrefixTracker, PromptPrefix, prefix_servers};
pub use route::{
    RequestLimits, RouteAccess, RouteMatch, RouteTable, RunPolicy, ServiceProfile, ServiceRoute,
    WeightedService,
};
pub use stream::{EventAssembler, StreamEvent};
pub use workspace::{KeyDigest, KeyedWorkspace, Workspace, WorkspaceTable};
