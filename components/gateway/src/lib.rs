//! Data path of an entry: forwards callers' requests to backend servers and returns their answers.
//!
//! The names of the headers on both sides are defined by a [`WireDialect`].

mod access;
mod admission;
mod affinity;
mod answer;
mod body;
mod caller_stream;
mod chains;
mod crash;
mod dialect;
mod dispatch;
mod exchange;
mod front;
mod holders;
mod homes;
mod knowledge;
mod limits;
mod linger;
mod log;
mod long_answer;
mod memory;
mod metrics;
mod models;
mod net;
mod outgoing;
mod permits;
mod pool;
mod quota;
mod read_ahead;
mod relay;
mod runs;
mod state;

pub use dialect::{
    AnswerKind, AttemptContext, CallerIdentity, HeaderFault, LimitNotice, RequestFacts, WireDialect,
    remove_connection_headers,
};
pub use front::{PageHandler, serve_callers, serve_pages};
pub use holders::{
    BodyClaim, HeldUse, HolderKey, HolderTable, LateBody, LetGo, MemoryBounds, NoRoom, ReceivePace, RoomMade,
};
pub use log::{LogGuard, open_log};
pub use metrics::ProcessMetrics;
pub use net::{connect, set_connection_timeouts};
pub use state::{EntryState, StopPhase, whole_millis};
