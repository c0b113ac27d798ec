//! Stand-ins for the platform, the engines and the services, for development and tests.

mod cli;
mod client;
mod engine;
mod hosts;
mod http;
mod object;
mod service;

pub use cli::{StandinCommand, standin_command};
pub use client::{HttpReply, open_request, send_json, send_request};
pub use engine::{
    CacheChange, CacheEvent, CachedProgram, EngineFaults, EngineHandle, EngineSettings, LoadReport,
    ModelEngine, PromptMessage, RequestRecord, count_tokens, expected_answer, prompt_hash,
};
pub use hosts::{HostList, HostListSettings};
pub use http::ServerHandle;
pub use object::{ObjectApi, ObjectCounts, ObjectFaults};
pub use service::{KeyRuns, PlainService, ServiceCall, ServiceFaults};
