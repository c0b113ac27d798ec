//! The data path of an entry: callers' requests to backend servers and their answers back.
//!
//! What the headers on either side are called is the matter of a [`WireDialect`].

mod answer;
mod chains;
mod dialect;
mod dispatch;
mod exchange;
mod front;
mod log;
mod metrics;
mod net;
mod pool;
mod relay;
mod state;

pub use dialect::{
    AnswerKind, AttemptContext, HeaderFault, RequestFacts, WireDialect, remove_connection_headers,
};
pub use front::{PageHandler, serve_callers, serve_pages};
pub use log::{LogGuard, open_log};
pub use metrics::ProcessMetrics;
pub use net::{connect, set_connection_timeouts};
pub use state::{EntryState, StopPhase, whole_millis};
