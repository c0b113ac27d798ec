//! Options of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use domain::{FailureDomain, HostName, ServiceName};

/// Options of an agent.
#[derive(Debug, bon::Builder)]
pub struct AgentOptions {
    /// Name of the host.
    pub(crate) host: HostName,
    /// Failure domain of the host.
    pub(crate) failure_domain: FailureDomain,
    /// Service of the backend server.
    pub(crate) service: ServiceName,
    /// Address of the backend server, `http://IP:PORT`.
    pub(crate) backend: String,
    /// Address of the process port; port 0 takes any free port.
    pub(crate) process: SocketAddr,
    /// Address on which heartbeats are published; port 0 takes any free port.
    pub(crate) heartbeat: SocketAddr,
    /// Key shared by the processes.
    pub(crate) secret: wire::ClusterSecret,
    /// Client of the host list.
    pub(crate) hosts: store::HostDirectory,
    /// Time between two heartbeats.
    pub(crate) heartbeat_interval: Duration,
    /// Silence after which a peer or a stream's connection is taken for lost.
    pub(crate) suspect_after: Duration,
    /// Longest time that a planned stop waits for running calls and their readers.
    pub(crate) stop_grace: Duration,
    /// Log.
    pub(crate) log: slog::Logger,
}
