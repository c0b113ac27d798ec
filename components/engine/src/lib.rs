//! Client of a backend server: chat streams that resume after a lost connection, plain requests that are sent
//! at most once unless they are repeatable, and control requests to engines.

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
