//! Parsers for the settings file of a process and the configuration text of the cluster, both in INI format.

mod cluster;
mod dependency;
mod document;
mod fault;
mod reader;
mod rule;
mod service;
mod settings;
mod settings_text;

pub use cluster::parse_configuration;
pub use fault::TextFault;
pub use rule::{NumberRule, number_rules};
pub use settings::{
    BackendSettings, ClusterSettings, DaemonSettings, DataSettings, HostSettings, LimitSettings, LogLevel,
    LogSettings, MetricsSettings, PlatformSettings, PortSettings, TimingSettings,
};
