//! Types of the settings of a process.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use bon::Builder;
use domain::{FailureDomain, HostName, HostRole, ServiceName};
use serde::{Deserialize, Serialize};

use crate::rule;

/// Settings of a process, one field for each section of the settings file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Identity, role and location of the process.
    pub host: HostSettings,
    /// Ports on which the process listens.
    pub ports: PortSettings,
    /// Addresses and API key of the platform.
    pub platform: PlatformSettings,
    /// Keys of the azuretide cluster.
    pub cluster: ClusterSettings,
    /// Backend server to which the agent forwards calls; `None` for an entry.
    pub backend: Option<BackendSettings>,
    /// Storage for bulk data.
    #[builder(default)]
    pub data: DataSettings,
    /// Intervals and timeouts.
    #[builder(default)]
    pub timing: TimingSettings,
    /// Limits on requests and connections of clients.
    #[builder(default)]
    pub limits: LimitSettings,
    /// Destination of the metrics.
    #[builder(default)]
    pub metrics: MetricsSettings,
    /// Verbosity of the log.
    #[builder(default)]
    pub log: LogSettings,
}

/// Identity, role and location of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host.
    pub name: HostName,
    /// Role of the process.
    pub role: HostRole,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Address on which the process listens and at which its peers reach it.
    pub ip: IpAddr,
}

/// Ports on which a process listens; 0 selects any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PortSettings {
    /// Port for remote procedure calls from other azuretide processes.
    pub process: u16,
    /// Port on which the process publishes its heartbeats.
    pub heartbeat: u16,
    /// Port for callers and operators; `None` for an agent.
    pub http: Option<u16>,
}

/// Addresses and API key of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URL of the object API, without a trailing slash.
    pub object_api: String,
    /// Base URL of the host list, without a trailing slash.
    pub host_list: String,
    /// File with the key for the object API and the host list.
    pub key_file: PathBuf,
}

/// Keys of the azuretide cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSettings {
    /// File with the key that all azuretide processes share.
    pub key_file: PathBuf,
    /// File with the key of the operators; `None` for an agent.
    pub operator_key_file: Option<PathBuf>,
}

/// Backend server to which an agent forwards calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Base URL of the backend server, without a trailing slash.
    pub address: String,
}

/// Storage for bulk data.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataSettings {
    /// Folder for the data; `None` on a host without a data disk.
    pub folder: Option<PathBuf>,
}

/// Intervals and timeouts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct TimingSettings {
    /// Interval between heartbeats in milliseconds.
    #[builder(default = default_of(rule::HEARTBEAT_MS))]
    pub heartbeat_ms: u64,
    /// Time without a heartbeat after which a process is suspected to have failed, in milliseconds.
    #[builder(default = default_of(rule::SUSPECT_MS))]
    pub suspect_ms: u64,
    /// Shortest interval between two appends to the journal in milliseconds.
    #[builder(default = default_of(rule::APPEND_SPACING_MS))]
    pub append_spacing_ms: u64,
    /// Grace period for running calls at a planned stop, in seconds.
    #[builder(default = default_of(rule::STOP_GRACE_S))]
    pub stop_grace_s: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Limits on requests and connections of clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest request body in bytes.
    #[builder(default = default_of(rule::BODY_BYTES))]
    pub body_bytes: u64,
    /// Memory for the bodies of all requests that are not answered yet, in bytes.
    #[builder(default = default_of(rule::BODIES_BYTES))]
    #[serde(default = "default_bodies_bytes")]
    pub bodies_bytes: u64,
    /// Largest number of open connections at the HTTP port.
    #[builder(default = default_of(rule::CONNECTIONS))]
    pub connections: u64,
    /// Timeout for receiving the header of a request, in milliseconds.
    #[builder(default = default_of(rule::HEADER_TIMEOUT_MS))]
    pub header_timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

fn default_bodies_bytes() -> u64 {
    default_of(rule::BODIES_BYTES)
}

/// Destination of the metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// UDP address of the metrics collector; `None` disables metrics.
    pub address: Option<SocketAddr>,
}

/// Verbosity of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest severity that is logged.
    pub level: LogLevel,
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// A guarantee is violated or at risk.
    Error,
    /// A failure that the process handled.
    Warning,
    /// A change of state.
    #[default]
    Info,
    /// Progress of individual calls.
    Debug,
    /// Individual steps within a call.
    Trace,
}

impl LogLevel {
    const ALL: [Self; 5] = [Self::Error, Self::Warning, Self::Info, Self::Debug, Self::Trace];

    /// Returns the name of the level in the settings.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for LogLevel {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|level| level.as_str() == text);
        found.ok_or_else(|| "expected error, warning, info, debug or trace".to_owned())
    }
}

fn default_of(rule: rule::NumberRule) -> u64 {
    rule.default.unwrap_or(rule.min)
}
