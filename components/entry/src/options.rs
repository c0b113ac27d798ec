//! Options of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use cadence::StatsdClient;
use domain::{FailureDomain, HostName};
use slog::Logger;
use store::{HostDirectory, ObjectStore};
use wire::ClusterSecret;

/// Default of [`EntryOptions::archive_delay`].
const DEFAULT_ARCHIVE_DELAY: Duration = Duration::from_hours(1);

/// Default of [`EntryOptions::bodies_bytes`].
const DEFAULT_BODIES_BYTES: usize = 32 * 1024 * 1024;

/// Addresses, limits, intervals and clients with which an entry is started.
#[derive(Debug, Clone, Builder)]
pub struct EntryOptions {
    /// Name of the host, unique in the cluster.
    pub host: HostName,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Address of the HTTP port for callers and operators.
    pub http: SocketAddr,
    /// Address of the process port, which serves RPC calls of peers.
    pub process: SocketAddr,
    /// Address at which the entry publishes its heartbeats.
    pub heartbeat: SocketAddr,
    /// Shared key of the process ports and heartbeats.
    pub secret: ClusterSecret,
    /// SHA-256 of the operators' key, as lower-case hexadecimal digits.
    pub operator_key_sha256: String,
    /// Client of the object API.
    pub store: Arc<dyn ObjectStore>,
    /// Client of the host list.
    pub hosts: HostDirectory,
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a process is suspected to have failed.
    pub suspect_after: Duration,
    /// Minimum interval between two appends to the journal.
    pub append_spacing: Duration,
    /// Longest time that a planned stop waits for running calls.
    pub stop_grace: Duration,
    /// Time for which an ended program stays in memory before it is archived; 1 hour by default.
    #[builder(default = DEFAULT_ARCHIVE_DELAY)]
    pub archive_delay: Duration,
    /// Limit of the size of a request body, in bytes.
    pub body_bytes: usize,
    /// Limit of the memory for the bodies of all requests that are not answered yet, in bytes; 32 MiB by default.
    #[builder(default = DEFAULT_BODIES_BYTES)]
    pub bodies_bytes: usize,
    /// Limit of the number of open connections of callers and operators. Further ones are closed at once.
    pub connections: usize,
    /// Timeout for receiving the headers of a request.
    pub header_timeout: Duration,
    /// Client of the `StatsD` server that receives the metrics.
    pub metrics: Arc<StatsdClient>,
    /// Logger of the entry.
    pub log: Logger,
}
