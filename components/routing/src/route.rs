//! Routes by host and longest path prefix.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::workspace::WorkspaceTable;

/// What may be repeated for a request whose outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
    /// The request runs at most once, but its event stream may continue at another backend server.
    Resumable,
}

/// Who may send requests on a route of a configuration with workspaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteAccess {
    /// Callers with an API key of a workspace.
    Workspaces,
    /// Everyone.
    Public,
}

/// One service of a route with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share relative to the other services of the route.
    pub weight: u32,
}

/// A route: the requests that it matches and how they are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRoute {
    /// Name of the route, for logs.
    pub name: String,
    /// Host name of the request, in lowercase.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated when the outcome of a request is unknown.
    pub run_policy: RunPolicy,
    /// Whether the answer is an event stream.
    pub streaming: bool,
    /// Whether turns and their chains are stored on the ledger hosts.
    pub keeps_turns: bool,
    /// Retention period of a stored turn, in milliseconds.
    pub retention_ms: u64,
    /// Whether a backend server that served the same object or session before is faster, and therefore
    /// preferred.
    pub sticky: bool,
    /// Timeout for the complete answer, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency in milliseconds, up to which an answer earns full credit.
    pub target_latency_ms: u64,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Largest number of backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Who may send requests, if the configuration has workspaces.
    pub access: RouteAccess,
    /// Services with their shares.
    pub services: Vec<WeightedService>,
}

impl ServiceRoute {
    /// Returns the service for a request. `draw` is a number that is the same for all attempts of one
    /// request; it selects a service in proportion to the weights. Returns `None` if the route has no
    /// service.
    pub fn service_for(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return self.services.first().map(|share| share.service.as_str());
        }
        let mut point = draw % total;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}

/// Properties of a service in the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceProfile {
    /// Name of the service.
    pub name: String,
    /// Largest number of tokens in one event of a stream; set only for model services.
    pub tokens_per_event: Option<u64>,
    /// Tokens that one server of the service can hold in its cache; set only for model services.
    pub cache_tokens: Option<u64>,
}

/// Limits on the size and timing of a caller's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestLimits {
    /// Largest size of a header section, in bytes.
    pub max_header_bytes: usize,
    /// Largest size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a header section, in milliseconds.
    pub header_timeout_ms: u64,
    /// Timeout of an idle connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Result of a route lookup.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RouteMatch<'a> {
    /// The route matches the request.
    Found(&'a ServiceRoute),
    /// No route matches the request.
    Unknown,
}

/// Routes, services and limits of one configuration version, indexed for lookups.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    version: u64,
    routes: Vec<ServiceRoute>,
    services: Vec<ServiceProfile>,
    limits: RequestLimits,
    /// `None` if callers are not told apart.
    workspaces: Option<WorkspaceTable>,
    #[serde(skip)]
    by_host: HashMap<String, Vec<usize>>,
}

impl RouteTable {
    /// Creates the table of a configuration version.
    pub fn new(
        version: u64,
        routes: Vec<ServiceRoute>,
        mut services: Vec<ServiceProfile>,
        limits: RequestLimits,
    ) -> Self {
        services.sort_by(|left, right| left.name.cmp(&right.name));
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|&index| std::cmp::Reverse(routes[index].path_prefix.len()));
        }
        Self {
            version,
            routes,
            services,
            limits,
            workspaces: None,
            by_host,
        }
    }

    /// Returns the table with workspaces, whose callers identify themselves by API keys.
    #[must_use]
    pub fn with_workspaces(mut self, workspaces: WorkspaceTable) -> Self {
        self.workspaces = Some(workspaces);
        self
    }

    /// Returns the workspaces; `None` if callers are not told apart.
    pub const fn workspaces(&self) -> Option<&WorkspaceTable> {
        self.workspaces.as_ref()
    }

    /// Returns the configuration's version.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests.
    pub const fn limits(&self) -> RequestLimits {
        self.limits
    }

    /// Returns the number of routes.
    pub const fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the names of the services whose servers are engines.
    pub fn model_services(&self) -> impl Iterator<Item = &str> {
        let models = self
            .services
            .iter()
            .filter(|service| service.tokens_per_event.is_some());
        models.map(|service| service.name.as_str())
    }

    /// Returns the profile of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceProfile> {
        let index = self
            .services
            .binary_search_by(|profile| profile.name.as_str().cmp(name));
        index.ok().map(|index| &self.services[index])
    }

    /// Finds the route of a request: of the host's routes, the one with the longest prefix of the path. The
    /// port of `host` is ignored, and so is the case of its letters.
    pub fn find(&self, host: &str, path: &str) -> RouteMatch<'_> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let lowercase;
        let name = if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
            lowercase = name.to_ascii_lowercase();
            lowercase.as_str()
        } else {
            name
        };
        let Some(indices) = self.by_host.get(name) else {
            return RouteMatch::Unknown;
        };
        let routes = indices.iter().map(|&index| &self.routes[index]);
        let mut matching = routes.filter(|route| path.starts_with(&route.path_prefix));
        matching.next().map_or(RouteMatch::Unknown, RouteMatch::Found)
    }
}
