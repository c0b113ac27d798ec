//! Types of the parsed and validated configuration text.

use serde::{Deserialize, Serialize};

use crate::{FailureDomain, Generation, MicroUnits, ServiceName, TeamName, TokenCount};

/// Kind of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// A model engine that generates the next turn of a program's history.
    Model,
    /// A tool that an agent program calls.
    Tool,
    /// Any other HTTP service.
    Plain,
}

/// A team, whose budget is charged for the calls of its programs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamConfig {
    /// Name of the team.
    pub name: TeamName,
    /// SHA-256 of the team's API key, as 64 lowercase hexadecimal digits.
    pub key_sha256: String,
    /// Budget of the team in each window.
    pub budget: MicroUnits,
    /// Length of a budget window in seconds.
    pub window_s: u64,
    /// Share of the capacity, relative to the weights of the other teams.
    pub weight: u32,
}

/// Prices of a service.
///
/// A service other than a model has only a price per call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePrices {
    /// Price of one call.
    pub per_call: MicroUnits,
    /// Price of one prompt token that the engine computes.
    pub per_prompt_token: MicroUnits,
    /// Price of one prompt token that the engine finds in its prefix cache.
    pub per_cached_token: MicroUnits,
    /// Price of one generated token.
    pub per_completion_token: MicroUnits,
}

/// Limits of a service's calls and of the programs that use it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallLimits {
    /// Limit on the turns of a program: once it has finished this many calls, to any service, its calls to
    /// this service are refused.
    pub max_turns: u64,
    /// Timeout of one call in milliseconds.
    pub call_timeout_ms: u64,
    /// Longest time from the start of a program to a call, in seconds.
    ///
    /// A program without open calls ends after the largest value of all services.
    pub program_time_s: u64,
    /// Idle timeout of a program in seconds.
    ///
    /// A program without open calls ends after the largest value of all services.
    pub idle_time_s: u64,
    /// Largest number of calls queued at the agent of one backend server.
    pub queue_length: u32,
    /// Largest number of concurrent calls at one backend server.
    pub concurrency: u32,
    /// Largest number of tokens that one call may generate.
    pub max_tokens: TokenCount,
    /// Largest number of tokens of a program's history, including the answer of the call.
    pub context_tokens: TokenCount,
}

/// A service and the backend servers that it needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: ServiceName,
    /// Kind of its backend servers.
    pub kind: ServiceKind,
    /// Services that must be available for calls to this one, sorted.
    pub depends: Vec<ServiceName>,
    /// Desired number of backend servers.
    pub replicas: u32,
    /// Failure domains of the backend servers, sorted; empty for all.
    pub failure_domains: Vec<FailureDomain>,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// Whether the backend servers check fencing tokens themselves.
    pub fencing_checked: bool,
    /// Prices of its calls.
    pub prices: ServicePrices,
    /// Limits of its calls and of the programs that use it.
    pub limits: CallLimits,
}

/// Weights of the two goals of the scheduling decisions, in thousandths; they add up to 1,000.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyWeights {
    /// Weight of a low program latency.
    pub program_latency: u32,
    /// Weight of little wasted cache.
    pub wasted_cache: u32,
}

/// Validated content of one configuration text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterConfiguration {
    /// Declared failure domains, sorted.
    pub failure_domains: Vec<FailureDomain>,
    /// Teams, sorted by name.
    pub teams: Vec<TeamConfig>,
    /// Services, sorted by name.
    pub services: Vec<ServiceConfig>,
    /// Weights of the scheduling decisions.
    pub weights: PolicyWeights,
    /// Largest number of model loads in progress, as the rate limit of the weight store allows.
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
    /// Text as the operator applied it.
    pub text: String,
    /// Validated content of the text.
    pub content: ClusterConfiguration,
}
