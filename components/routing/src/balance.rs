//! Choice of the backend server for a request.
//!
//! Load pattern: many sessions, each with a long prompt that one server already holds, over servers of
//! unequal speed. A session stays on the server that caches its prompt unless that server has clearly more
//! work than the least loaded one. In that case the least loaded server is chosen. A session without a server
//! goes to one of the servers on which its prefix is placed, unless these have more work than others.

use std::collections::HashMap;
use std::sync::Arc;

use crate::directory::{BackendServer, ServerDirectory, ServerKey};

/// Requests by which a server may exceed the least loaded one before a session moves to another server.
const STICKY_MARGIN_REQUESTS: u32 = 4;
/// Requests that are added to the load of a lightly loaded server in another failure domain.
const REMOTE_PENALTY_REQUESTS: u32 = 2;
/// Requests that are added to the load of a server on which the request's prefix is not placed: the time in
/// which a server reads a long prefix, in requests that it serves in that time.
const MISSING_PREFIX_REQUESTS: u32 = 2;
/// Divisor of a server's capacity that gives the number of the entry's own requests up to which the server
/// counts as lightly loaded. Above it, and on small servers, only the load decides, because failure domains
/// have unequal numbers of entries and servers.
const LIGHT_LOAD_DIVISOR: u32 = 16;
/// Time in milliseconds during which a server that failed is chosen only if there is no other untried server.
const AVOID_MS: u64 = 1_000;

/// Load of a server, as far as this entry causes or observes it.
#[derive(Debug, Clone, Copy, Default)]
struct ServerLoad {
    in_flight: u32,
    avoid_until_ms: u64,
}

/// Tracks this entry's requests on each server and the recent failures of each server.
#[derive(Debug, Default)]
pub struct LoadTracker {
    loads: HashMap<ServerKey, ServerLoad>,
}

impl LoadTracker {
    /// Records that a request is being sent to a server.
    pub fn begin(&mut self, key: ServerKey) {
        self.loads.entry(key).or_default().in_flight += 1;
    }

    /// Records that a request to a server has ended.
    pub fn end(&mut self, key: ServerKey) {
        if let Some(load) = self.loads.get_mut(&key) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Records a refusal or a failure of a server, which is then avoided for a short time.
    pub fn avoid(&mut self, key: ServerKey, now_ms: u64) {
        self.loads.entry(key).or_default().avoid_until_ms = now_ms + AVOID_MS;
    }

    /// Removes the servers that are no longer listed and have no request of this entry.
    pub fn remove_unlisted(&mut self, directory: &ServerDirectory) {
        let mut keys: Vec<ServerKey> = directory.all().map(|(key, _)| key).collect();
        keys.sort_unstable();
        self.loads
            .retain(|key, load| load.in_flight > 0 || keys.binary_search(key).is_ok());
    }

    /// Returns the number of this entry's requests that are in flight at a server.
    pub fn in_flight(&self, key: ServerKey) -> u32 {
        self.load(key).in_flight
    }

    fn load(&self, key: ServerKey) -> ServerLoad {
        self.loads.get(&key).copied().unwrap_or_default()
    }
}

/// Inputs to the choice of a server for one request.
#[derive(Debug, Clone, Copy)]
pub struct ServerQuery<'a> {
    /// Name of the requested service.
    pub service: &'a str,
    /// Failure domain of this entry.
    pub failure_domain: &'a str,
    /// Server that served the session or object last.
    pub preferred: Option<ServerKey>,
    /// Servers already tried for this request.
    pub tried: &'a [ServerKey],
    /// Sorted servers on which the prefix of the request is placed; `None` if every server can hold it.
    pub prefix_servers: Option<&'a [ServerKey]>,
    /// Random number that breaks ties between equally loaded servers.
    pub draw: u64,
    /// Current time in milliseconds of a monotonic clock.
    pub now_ms: u64,
}

/// A chosen server.
#[derive(Debug, Clone, Copy)]
pub struct ServerPick<'a> {
    /// Key of the chosen incarnation.
    pub key: ServerKey,
    /// The chosen incarnation.
    pub server: &'a Arc<BackendServer>,
}

/// Chooses the server for a request, or `None` when the service has no untried server that takes new work.
pub fn choose_backend<'a>(
    directory: &'a ServerDirectory,
    tracker: &LoadTracker,
    query: &ServerQuery<'_>,
) -> Option<ServerPick<'a>> {
    let mut best: Option<(u64, ServerPick<'a>)> = None;
    let mut preferred: Option<(u32, ServerPick<'a>)> = None;
    let mut least = u32::MAX;
    let mut random_state = query.draw;
    for (key, server) in directory.ready(query.service) {
        if query.tried.contains(&key) {
            continue;
        }
        let load = tracker.load(key);
        let is_avoided = load.avoid_until_ms > query.now_ms;
        let is_remote = server.failure_domain != query.failure_domain;
        let light_load = server.capacity / LIGHT_LOAD_DIVISOR;
        let is_preferred = query.preferred == Some(key);
        let lacks_prefix = !is_preferred
            && query
                .prefix_servers
                .is_some_and(|servers| servers.binary_search(&key).is_err());
        let mut weight = if is_remote {
            (load.in_flight + REMOTE_PENALTY_REQUESTS)
                .min(light_load)
                .max(load.in_flight)
        } else {
            load.in_flight
        };
        if lacks_prefix {
            weight += MISSING_PREFIX_REQUESTS;
        }
        let pick = ServerPick { key, server };
        // One step of a linear congruential generator gives each server its own random rank among equals.
        random_state = random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let cost = u64::from(is_avoided) << 48 | u64::from(weight) << 16 | random_state >> 48;
        if !is_avoided {
            least = least.min(weight);
            if is_preferred {
                preferred = Some((weight, pick));
            }
        }
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, pick));
        }
    }
    if let Some((weight, pick)) = preferred
        && weight <= least.saturating_add(STICKY_MARGIN_REQUESTS)
    {
        return Some(pick);
    }
    best.map(|(_, pick)| pick)
}
