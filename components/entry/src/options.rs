//! What an entry needs to start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use cadence::StatsdClient;
use domain::{FailureDomain, HostName};
use slog::Logger;
use store::{HostDirectory, ObjectStore};
use wire::ClusterSecret;

/// Time for which an ended program stays in memory by default.
const DEFAULT_ARCHIVE_DELAY: Duration = Duration::from_hours(1);

/// Options of an entry.
#[derive(Debug, Clone, Builder)]
pub struct EntryOptions {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Address of the callers' and operators' port.
    pub http: SocketAddr,
    /// Address of the process port.
    pub process: SocketAddr,
    /// Address of the heartbeats.
    pub heartbeat: SocketAddr,
    /// Key of the process ports and heartbeats.
    pub secret: ClusterSecret,
    /// SHA-256 of the operators' key, as hexadecimal digits.
    pub operator_key_sha256: String,
    /// Object API.
    pub store: Arc<dyn ObjectStore>,
    /// Host list.
    pub hosts: HostDirectory,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Silence after which a process is suspected.
    pub suspect_after: Duration,
    /// Shortest time between two appends to the journal.
    pub append_spacing: Duration,
    /// Longest time that a planned stop waits for running calls.
    pub stop_grace: Duration,
    /// Time for which an ended program stays in memory before it is archived.
    #[builder(default = DEFAULT_ARCHIVE_DELAY)]
    pub archive_delay: Duration,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Largest number of connections of callers and operators.
    pub connections: usize,
    /// Longest time for the headers of a request.
    pub header_timeout: Duration,
    /// Metrics.
    pub metrics: Arc<StatsdClient>,
    /// Log.
    pub log: Logger,
}
