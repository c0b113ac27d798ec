//! Routes by host and longest path prefix.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// What may be done again with a request whose outcome is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
    /// The request runs at most once, but its event stream may go on at another backend server.
    Resumable,
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

/// A route: which requests it takes and how they are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRoute {
    /// Name, for logs.
    pub name: String,
    /// Host that the request names, in lowercase.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub run_policy: RunPolicy,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Whether turns and their chains are kept.
    pub keeps_turns: bool,
    /// How long a turn is kept, in milliseconds.
    pub retention_ms: u64,
    /// Whether a backend server that served the same object or session is faster.
    pub sticky: bool,
    /// Longest time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Latency within which an answer earns its full credit, in milliseconds.
    pub target_latency_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Services with their shares.
    pub services: Vec<WeightedService>,
}

impl ServiceRoute {
    /// Returns the service for a request, by a number that is the same for all attempts of one request.
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

/// What the configuration says of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceProfile {
    /// Name.
    pub name: String,
    /// Tokens that one event of a stream stands for at most; present for model services.
    pub tokens_per_event: Option<u64>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestLimits {
    /// Largest header section in bytes.
    pub max_header_bytes: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a header section, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Result of a lookup.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RouteMatch<'a> {
    /// The request belongs to the route.
    Found(&'a ServiceRoute),
    /// No route takes the request.
    Unknown,
}

/// One configuration in force, indexed for lookups.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    version: u64,
    routes: Vec<ServiceRoute>,
    services: Vec<ServiceProfile>,
    limits: RequestLimits,
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
        for (place, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(place);
        }
        for places in by_host.values_mut() {
            places.sort_by_key(|&place| std::cmp::Reverse(routes[place].path_prefix.len()));
        }
        Self {
            version,
            routes,
            services,
            limits,
            by_host,
        }
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
        let place = self
            .services
            .binary_search_by(|profile| profile.name.as_str().cmp(name));
        place.ok().map(|place| &self.services[place])
    }

    /// Finds the route of a request: the longest prefix among the host's routes that begins the path.
    pub fn find(&self, host: &str, path: &str) -> RouteMatch<'_> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let lowered;
        let name = if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
            lowered = name.to_ascii_lowercase();
            lowered.as_str()
        } else {
            name
        };
        let Some(places) = self.by_host.get(name) else {
            return RouteMatch::Unknown;
        };
        let routes = places.iter().map(|&place| &self.routes[place]);
        let mut matching = routes.filter(|route| path.starts_with(&route.path_prefix));
        matching.next().map_or(RouteMatch::Unknown, RouteMatch::Found)
    }
}
