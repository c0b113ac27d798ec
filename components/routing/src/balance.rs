//! Choice of the backend server for a request.
//!
//! Load pattern: many sessions, each with a long prompt that one server already holds, over servers of unequal
//! speed. A session stays where its prompt is cached unless that server has clearly more work than the least
//! loaded one; then the least loaded one takes it.

use std::collections::HashMap;
use std::sync::Arc;

use crate::directory::{BackendServer, ServerDirectory, ServerKey};

/// Requests by which a server may exceed the least loaded one before a session moves away from it.
const STICKY_SLACK: u32 = 4;
/// Requests by which a server in another failure domain counts as more loaded than it is.
const DOMAIN_PENALTY: u32 = 2;
/// Part of a server's capacity, as a divisor, up to which the entry's own requests leave it lightly loaded. Above
/// it, and on small servers, load alone decides: failure domains have unequal numbers of entries and servers.
const LIGHT_LOAD_DIVISOR: u32 = 16;
/// Time in milliseconds for which a server that failed is chosen only when no other is left.
const AVOID_MS: u64 = 1_000;

/// What one entry knows of the load of a server.
#[derive(Debug, Clone, Copy, Default)]
struct ServerLoad {
    in_flight: u32,
    avoid_until_ms: u64,
}

/// The entry's own requests at each server and its recent failures.
#[derive(Debug, Default)]
pub struct LoadTracker {
    loads: HashMap<ServerKey, ServerLoad>,
}

impl LoadTracker {
    /// Counts a request that is being sent to a server.
    pub fn begin(&mut self, key: ServerKey) {
        self.loads.entry(key).or_default().in_flight += 1;
    }

    /// Counts a request that has ended at a server.
    pub fn end(&mut self, key: ServerKey) {
        if let Some(load) = self.loads.get_mut(&key) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Notes a refusal or a failure of a server.
    pub fn avoid(&mut self, key: ServerKey, now_ms: u64) {
        self.loads.entry(key).or_default().avoid_until_ms = now_ms + AVOID_MS;
    }

    /// Forgets servers that are no longer listed and have no request of this entry.
    pub fn remove_unlisted(&mut self, directory: &ServerDirectory) {
        let mut keys: Vec<ServerKey> = directory.all().map(|(key, _)| key).collect();
        keys.sort_unstable();
        self.loads
            .retain(|key, load| load.in_flight > 0 || keys.binary_search(key).is_ok());
    }

    /// Returns the entry's requests at a server.
    pub fn in_flight(&self, key: ServerKey) -> u32 {
        self.load(key).in_flight
    }

    fn load(&self, key: ServerKey) -> ServerLoad {
        self.loads.get(&key).copied().unwrap_or_default()
    }
}

/// What a request asks of the choice.
#[derive(Debug, Clone, Copy)]
pub struct ServerQuery<'a> {
    /// Service of the route.
    pub service: &'a str,
    /// Failure domain of this entry.
    pub failure_domain: &'a str,
    /// Server that served the session or object last.
    pub preferred: Option<ServerKey>,
    /// Servers already tried for this request.
    pub tried: &'a [ServerKey],
    /// Random number that separates equal servers.
    pub draw: u64,
    /// Now, in milliseconds of a steady clock.
    pub now_ms: u64,
}

/// A chosen server.
#[derive(Debug, Clone, Copy)]
pub struct ServerPick<'a> {
    /// Key of the incarnation.
    pub key: ServerKey,
    /// The incarnation.
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
    let mut spread = query.draw;
    for (key, server) in directory.ready(query.service) {
        if query.tried.contains(&key) {
            continue;
        }
        let load = tracker.load(key);
        let is_avoided = load.avoid_until_ms > query.now_ms;
        let is_remote = server.failure_domain != query.failure_domain;
        let light = server.capacity / LIGHT_LOAD_DIVISOR;
        let weight = if is_remote {
            (load.in_flight + DOMAIN_PENALTY).min(light).max(load.in_flight)
        } else {
            load.in_flight
        };
        let pick = ServerPick { key, server };
        // A multiplicative generator step gives each server its own rank among equals.
        spread = spread
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let cost = u64::from(is_avoided) << 48 | u64::from(weight) << 16 | spread >> 48;
        if !is_avoided {
            least = least.min(weight);
            if query.preferred == Some(key) {
                preferred = Some((weight, pick));
            }
        }
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, pick));
        }
    }
    if let Some((weight, pick)) = preferred
        && weight <= least.saturating_add(STICKY_SLACK)
    {
        return Some(pick);
    }
    best.map(|(_, pick)| pick)
}
