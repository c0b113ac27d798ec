//! Options of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use domain::{FailureDomain, HostName, ServiceName};

/// Options of an agent.
#[derive(Debug, bon::Builder)]
pub struct AgentOptions {
    /// Name of the host.
    pub(crate) host: HostName,
    /// Failure domain of the host, sent in the heartbeats.
    pub(crate) failure_domain: FailureDomain,
    /// Service that the backend server provides.
    pub(crate) service: ServiceName,
    /// Address of the backend server, `http://IP:PORT`.
    pub(crate) backend: String,
    /// Address of the process port; port 0 takes any free port.
    pub(crate) process: SocketAddr,
    /// Address on which heartbeats are published; port 0 takes any free port.
    pub(crate) heartbeat: SocketAddr,
    /// Key shared by the processes of the cluster.
    pub(crate) secret: wire::ClusterSecret,
    /// Client of the host list.
    pub(crate) hosts: store::HostDirectory,
    /// Time between two heartbeats.
    pub(crate) heartbeat_interval: Duration,
    /// Time without a heartbeat after which an entry counts as unreachable.
    ///
    /// Also the idle timeout of the connections to the backend server and the timeout of calls to entries.
    pub(crate) suspect_after: Duration,
    /// Longest time that a planned stop waits for running calls to end and their outcomes to be read.
    pub(crate) stop_grace: Duration,
    /// Logger of the agent.
    pub(crate) log: slog::Logger,
}
