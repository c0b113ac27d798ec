//! Settings of one process.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use bon::Builder;
use domain::{FailureDomain, HostName, HostRole, ServiceName};
use serde::{Deserialize, Serialize};

use crate::rule;

/// Settings of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Identity and place of the process.
    pub host: HostSettings,
    /// Ports on which the process listens.
    pub ports: PortSettings,
    /// Addresses and key of the platform.
    pub platform: PlatformSettings,
    /// Keys of azuretide itself.
    pub cluster: ClusterSettings,
    /// Backend server beside an agent; `None` for an entry.
    pub backend: Option<BackendSettings>,
    /// Place for bulk data.
    #[builder(default)]
    pub data: DataSettings,
    /// Intervals and timeouts.
    #[builder(default)]
    pub timing: TimingSettings,
    /// Limits on what a client may send.
    #[builder(default)]
    pub limits: LimitSettings,
    /// Destination of the metrics.
    #[builder(default)]
    pub metrics: MetricsSettings,
    /// Amount of logging.
    #[builder(default)]
    pub log: LogSettings,
}

/// Identity and place of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host.
    pub name: HostName,
    /// Role of the process.
    pub role: HostRole,
    /// Failure domain in which the host stands.
    pub failure_domain: FailureDomain,
    /// Address on which the process listens and under which its peers reach it.
    pub ip: IpAddr,
}

/// Ports on which a process listens; 0 stands for any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PortSettings {
    /// Port for calls of other processes of azuretide.
    pub process: u16,
    /// Port on which the process publishes its heartbeats.
    pub heartbeat: u16,
    /// Port for callers and operators; `None` for an agent.
    pub http: Option<u16>,
}

/// Addresses and key of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base address of the object API, without a slash at its end.
    pub object_api: String,
    /// Base address of the host list, without a slash at its end.
    pub host_list: String,
    /// File that holds the key for both.
    pub key_file: PathBuf,
}

/// Keys of azuretide itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSettings {
    /// File that holds the key shared by the processes.
    pub key_file: PathBuf,
    /// File that holds the operators' key; `None` for an agent.
    pub operator_key_file: Option<PathBuf>,
}

/// Backend server beside an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Base address of the backend server, without a slash at its end.
    pub address: String,
}

/// Place for bulk data.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataSettings {
    /// Folder; `None` on a host without a disk for data.
    pub folder: Option<PathBuf>,
}

/// Intervals and timeouts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct TimingSettings {
    /// Time between two heartbeats in milliseconds.
    #[builder(default = default_of(rule::HEARTBEAT_MS))]
    pub heartbeat_ms: u64,
    /// Silence after which a process is suspected, in milliseconds.
    #[builder(default = default_of(rule::SUSPECT_MS))]
    pub suspect_ms: u64,
    /// Least time between two appends to the journal in milliseconds.
    #[builder(default = default_of(rule::APPEND_SPACING_MS))]
    pub append_spacing_ms: u64,
    /// Time that a planned stop leaves to running calls, in seconds.
    #[builder(default = default_of(rule::STOP_GRACE_S))]
    pub stop_grace_s: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Limits on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Builder)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest body of a request in bytes.
    #[builder(default = default_of(rule::BODY_BYTES))]
    pub body_bytes: u64,
    /// Largest number of open connections at one port.
    #[builder(default = default_of(rule::CONNECTIONS))]
    pub connections: u64,
    /// Time that a client has for the header of its request, in milliseconds.
    #[builder(default = default_of(rule::HEADER_TIMEOUT_MS))]
    pub header_timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Destination of the metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// Address of the collector (UDP); `None` for no metrics.
    pub address: Option<SocketAddr>,
}

/// Amount of logging.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// A promise is in danger or broken.
    Error,
    /// Something failed and was dealt with.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Each call.
    Debug,
    /// Each step.
    Trace,
}

impl LogLevel {
    const ALL: [Self; 5] = [Self::Error, Self::Warning, Self::Info, Self::Debug, Self::Trace];

    /// Returns the word that stands for the level in the settings.
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
        found.ok_or_else(|| "a level is error, warning, info, debug or trace".to_owned())
    }
}

fn default_of(rule: rule::NumberRule) -> u64 {
    rule.default.unwrap_or(rule.min)
}
