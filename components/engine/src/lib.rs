//! Client of a backend server: streams that survive lost connections, plain calls that are sent once.

mod backoff;
mod chat;
mod client;
mod connection;
mod control;
mod plain;
mod progress;
mod sse;

pub use chat::ChatOrder;
pub use client::{EngineClient, EngineOptions, parse_backend_address};
pub use control::{CacheEvent, CacheEventKind, CachedProgram, EngineLoad, OrderCommand};
pub use plain::PlainOrder;
pub use sse::{SseEvent, SseParser};
