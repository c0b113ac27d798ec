//! Stand-ins for the outside systems of azuretide (platform, engines and services), and a testbed that runs
//! them with the real daemons, for development, measurement and tests.

mod caller;
mod cli;
mod client;
mod demo;
mod engine;
mod hosts;
mod http;
mod measure;
mod object;
mod service;
mod session;
mod testbed;

pub use caller::{TeamCaller, TurnAnswer, TurnRequest};
pub use cli::{StandinCommand, standin_command};
pub use client::{HttpReply, open_request, send_json, send_request};
pub use demo::run_demo;
pub use engine::{
    CacheChange, CacheEvent, CachedProgram, EngineFaults, EngineSettings, LoadReport, ModelEngine,
    OrderRecord, PromptMessage, RequestRecord, count_tokens, expected_answer, prompt_hash,
};
pub use hosts::{HostList, HostListSettings};
pub use http::ServerHandle;
pub use measure::{MeasureOptions, run_measure};
pub use object::{ObjectApi, ObjectCounts, ObjectFaults};
pub use service::{KeyRuns, PlainService, ServiceCall, ServiceFaults};
pub use session::{ProgramSession, SessionTally};
pub use testbed::{BackendKind, BackendPlan, Deployment, EntryPlan, KELANIMATCH_KEY, SALISH_KEY, Testbed};
