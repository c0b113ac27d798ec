//! The configuration that operators edit, after its text has been checked.

use serde::{Deserialize, Serialize};

use crate::{FailureDomain, Generation, MicroUnits, ServiceName, TeamName, TokenCount};

/// Kind of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// A model engine that continues a program's history.
    Model,
    /// A tool that an agent program calls.
    Tool,
    /// A plain service.
    Plain,
}

/// A team that pays for its programs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamConfig {
    /// Name.
    pub name: TeamName,
    /// SHA-256 of the team's API key, as 64 hexadecimal digits.
    pub key_sha256: String,
    /// Budget of one window.
    pub budget: MicroUnits,
    /// Length of a budget window in seconds.
    pub window_s: u64,
    /// Share of the capacity relative to other teams.
    pub weight: u32,
}

/// Prices of a service in micro-units.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePrices {
    /// Price of one call.
    pub per_call: MicroUnits,
    /// Price of one prompt token that is computed.
    pub per_prompt_token: MicroUnits,
    /// Price of one prompt token that the cache held.
    pub per_cached_token: MicroUnits,
    /// Price of one generated token.
    pub per_completion_token: MicroUnits,
}

/// Limits of a service's calls and of the programs that use it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallLimits {
    /// Largest number of calls of one program to the service.
    pub max_turns: u64,
    /// Longest time of one call in milliseconds.
    pub call_timeout_ms: u64,
    /// Longest life of a program in seconds.
    pub program_time_s: u64,
    /// Longest time without a call before a program ends, in seconds.
    pub idle_time_s: u64,
    /// Largest number of calls waiting at one backend server.
    pub queue_length: u32,
    /// Largest number of calls running at one backend server.
    pub concurrency: u32,
    /// Largest number of generated tokens of one call.
    pub max_tokens: TokenCount,
    /// Largest number of tokens of a program's history.
    pub context_tokens: TokenCount,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Name.
    pub name: ServiceName,
    /// Kind.
    pub kind: ServiceKind,
    /// Services that must be up for this one, sorted.
    pub depends: Vec<ServiceName>,
    /// Backend servers wanted.
    pub replicas: u32,
    /// Failure domains in which they stand, sorted; empty for all.
    pub failure_domains: Vec<FailureDomain>,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// Whether the backend servers check fencing numbers themselves.
    pub fencing_checked: bool,
    /// Prices.
    pub prices: ServicePrices,
    /// Limits.
    pub limits: CallLimits,
}

/// Weights of the decisions, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyWeights {
    /// Weight of program latency.
    pub program_latency: u32,
    /// Weight of wasted cache.
    pub wasted_cache: u32,
}

/// The checked content of one configuration text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterConfiguration {
    /// Failure domains, sorted.
    pub failure_domains: Vec<FailureDomain>,
    /// Teams in the order of their names.
    pub teams: Vec<TeamConfig>,
    /// Services in the order of their names.
    pub services: Vec<ServiceConfig>,
    /// Weights of the decisions.
    pub weights: PolicyWeights,
    /// Largest number of model loads in progress, from the weight store's rate limit.
    pub loads_in_progress: u32,
}

impl ClusterConfiguration {
    /// Returns the team with the name.
    pub fn team(&self, name: &TeamName) -> Option<&TeamConfig> {
        self.teams
            .binary_search_by(|team| team.name.cmp(name))
            .ok()
            .map(|index| &self.teams[index])
    }

    /// Returns the service with the name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        self.services
            .binary_search_by(|service| service.name.cmp(name))
            .ok()
            .map(|index| &self.services[index])
    }
}

/// A configuration with its text and generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppliedConfiguration {
    /// Version of the text.
    pub generation: Generation,
    /// Text as the operator wrote it.
    pub text: String,
    /// Checked content.
    pub content: ClusterConfiguration,
}
