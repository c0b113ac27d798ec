//! Choice of the backend server for a request.
//!
//! Load pattern: many sessions, each with a long prompt that one server already holds, over servers of
//! unequal speed, of which an entry loads and observes only a part. Each server has a predicted cost in time:
//! its pace, the requests of the entry that it runs, and the tokens of the prompt that it has to read. A session
//! stays on the server that caches its prompt until another one is cheaper by more than the reading. Equal
//! servers are chosen at random, so that the entries do not send their requests to the same one.

use std::collections::HashMap;
use std::sync::Arc;

use domain::BuildKey;

use crate::directory::{BackendServer, ServerDirectory, ServerKey};
use crate::health::ServerRisk;
use crate::limit::LimitQuery;
use crate::memory::{MemoryFit, MemoryQuery};
use crate::pace::{PaceTracker, STEP_GROWTH_PERMILLE};

/// Requests by which a server may exceed the least loaded one before a session of unknown size moves to another
/// server.
const STICKY_MARGIN_REQUESTS: u64 = 4;
/// Requests that are added to the load of a lightly loaded server in another failure domain.
const REMOTE_PENALTY_REQUESTS: u32 = 2;
/// Divisor of a server's capacity that gives the number of the entry's own requests up to which the server
/// counts as lightly loaded. Above it, and on small servers, only the load decides, because failure domains
/// have unequal numbers of entries and servers.
const LIGHT_LOAD_DIVISOR: u32 = 16;
/// Time in milliseconds during which a server that failed is chosen only if there is no other untried server.
const AVOID_MS: u64 = 1_000;
/// Cost in microseconds of one more request on a server whose requests have no measured duration.
const PLAIN_REQUEST_US: u64 = 1_000;
/// Number of prompt tokens that an engine reads in the time in which it generates one token, until the entry has
/// observed it.
const PROMPT_TOKENS_PER_STEP: u64 = 160;
/// Number of turns in which a session saves time at a faster server, for one prompt that is read there.
const TURNS_PER_READING: u64 = 4;
/// Divisor of the duration of a stream that gives the largest difference in cost between servers that count as
/// equal.
const EQUAL_COST_DIVISOR: u64 = 8;

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

/// Prompt of a request to a model service, and what is expected of the service's servers.
#[derive(Debug, Clone, Copy)]
pub struct PromptQuery<'a> {
    /// Tokens of the prefix that other programs share.
    pub prefix_tokens: u64,
    /// Tokens of the prompt that belong to the session alone.
    pub session_tokens: u64,
    /// Sorted servers on which the prefix is placed; `None` if every server holds it.
    pub prefix_servers: Option<&'a [ServerKey]>,
    /// Number of tokens that the stream is expected to have, if the caller has estimated it.
    pub stream_tokens: Option<u64>,
    /// Largest number of tokens in one event.
    pub tokens_per_event: u64,
    /// Share of the slots of all servers that are in use, in thousandths; more than 1,000 if requests wait.
    pub load_permille: u64,
    /// Observed pace of the servers.
    pub paces: &'a PaceTracker,
}

impl PromptQuery<'_> {
    /// Returns the number of tokens that a server lacks unless it has served the session last.
    fn missing_tokens(&self, key: ServerKey) -> u64 {
        let has_prefix = self
            .prefix_servers
            .is_none_or(|servers| servers.binary_search(&key).is_ok());
        let prefix_tokens = if has_prefix { 0 } else { self.prefix_tokens };
        self.session_tokens.saturating_add(prefix_tokens)
    }

    /// Returns the cost in microseconds of the tokens that a server has to read. The reading delays the requests that
    /// run there as much as the turn itself, but only once for several turns of the session.
    fn read_cost_us(&self, key: ServerKey, tokens: u64, capacity: u32, now_ms: u64) -> u64 {
        let Some(read_us) = self.paces.read_us(key, tokens, now_ms) else {
            return self.default_read_us(tokens);
        };
        let running_permille = u64::from(capacity) * self.load_permille.min(1_000);
        let others_us = read_us.saturating_mul(running_permille) / 1_000 / TURNS_PER_READING;
        read_us.saturating_add(others_us)
    }

    /// Returns the cost in microseconds of some tokens until the entry has observed how fast they are read.
    fn default_read_us(&self, tokens: u64) -> u64 {
        let per_event = self
            .tokens_per_event
            .max(1)
            .saturating_mul(PROMPT_TOKENS_PER_STEP);
        tokens.saturating_mul(self.paces.mean_event_us()) / per_event
    }

    /// Returns the time in microseconds by which one more request on a server delays the others: the steps grow
    /// longer, and the fewer slots a server has and the more of them are in use, the longer a request waits for
    /// one.
    const fn request_us(&self, capacity: u32) -> u64 {
        let slots = if capacity == 0 { 1 } else { capacity as u64 };
        let wait_permille = self.load_permille.saturating_mul(self.load_permille) / 1_000 / slots;
        let delay_permille = STEP_GROWTH_PERMILLE.saturating_add(wait_permille);
        self.paces.mean_stream_us().saturating_mul(delay_permille) / 1_000
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
    /// Software that the server must run; `None` if any will do.
    pub build: Option<BuildKey>,
    /// Prompt of the request; `None` for services without a model.
    pub prompt: Option<PromptQuery<'a>>,
    /// Limits of the servers; `None` if no server has one.
    pub limits: Option<LimitQuery<'a>>,
    /// Memory of the servers; `None` if it is not counted.
    pub memory: Option<MemoryQuery<'a>>,
    /// Servers that are held to be at fault, sorted by key.
    pub risks: &'a [ServerRisk],
    /// Time in milliseconds until the deadline of the request, which a server at fault may cost.
    pub left_ms: u64,
    /// Random number that breaks ties between servers of equal cost.
    pub draw: u64,
    /// Current time in milliseconds of a monotonic clock.
    pub now_ms: u64,
}

impl ServerQuery<'_> {
    /// Returns the predicted cost of a server in microseconds, and the largest random amount that is added to it.
    fn cost_us(&self, key: ServerKey, server: &BackendServer, in_flight: u32) -> (u64, u64) {
        let is_remote = server.failure_domain != self.failure_domain;
        let light_load = server.capacity / LIGHT_LOAD_DIVISOR;
        let requests = if is_remote {
            (in_flight + REMOTE_PENALTY_REQUESTS)
                .min(light_load)
                .max(in_flight)
        } else {
            in_flight
        };
        let is_preferred = self.preferred == Some(key);
        let Some(prompt) = &self.prompt else {
            let margin = if is_preferred { 0 } else { STICKY_MARGIN_REQUESTS };
            return (
                (u64::from(requests) + margin) * PLAIN_REQUEST_US,
                PLAIN_REQUEST_US - 1,
            );
        };
        let request_us = prompt.request_us(server.capacity);
        let events = prompt
            .stream_tokens
            .map(|tokens| tokens.div_ceil(prompt.tokens_per_event.max(1)));
        let stream_us = prompt.paces.stream_us(key, events, self.now_ms);
        let read_tokens = self.read_tokens(key);
        let read_us = prompt.read_cost_us(key, read_tokens, server.capacity, self.now_ms);
        let start_us = prompt.paces.start_us(key, self.now_ms);
        let equal_us = (prompt.paces.mean_stream_us() / EQUAL_COST_DIVISOR).min(request_us);
        let queue_us = u64::from(requests).saturating_mul(request_us);
        let first_us = start_us.saturating_add(read_us);
        let cost_us = stream_us.saturating_add(queue_us).saturating_add(first_us);
        (cost_us, equal_us)
    }

    /// Returns the time in microseconds that the request is expected to lose by a failure of a server.
    fn risk_us(&self, key: ServerKey) -> u64 {
        let found = self.risks.binary_search_by_key(&key, |risk| risk.key);
        let permille = found.map_or(0, |index| self.risks[index].permille);
        self.left_ms.saturating_mul(permille)
    }

    /// Returns the number of prompt tokens that a server is expected to read for the request.
    fn read_tokens(&self, key: ServerKey) -> u64 {
        let prompt = self.prompt.as_ref().filter(|_| self.preferred != Some(key));
        prompt.map_or(0, |prompt| prompt.missing_tokens(key))
    }
}

/// A chosen server.
#[derive(Debug, Clone, Copy)]
pub struct ServerPick<'a> {
    /// Key of the chosen incarnation.
    pub key: ServerKey,
    /// The chosen incarnation.
    pub server: &'a Arc<BackendServer>,
    /// Time until the server is expected to take the request, in milliseconds.
    pub wait_ms: u64,
    /// Time in milliseconds by which the request may wait longer until another server is the better choice; `None` if
    /// there is no other one.
    pub spare_ms: Option<u64>,
    /// Number of prompt tokens that the server is expected to read.
    pub read_tokens: u64,
}

/// Cost of a server for a request. Servers that are the last choice come after all others, then those whose memory may
/// not hold the request, then those that failed lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ServerCost {
    is_last_choice: bool,
    may_exceed_memory: bool,
    is_avoided: bool,
    cost_us: u64,
}

impl ServerCost {
    /// Returns by how much a later choice costs more, in milliseconds; `None` if it costs more than time.
    fn spare_ms(self, later: Self) -> Option<u64> {
        let kind = |cost: Self| (cost.is_last_choice, cost.may_exceed_memory, cost.is_avoided);
        let is_same_kind = kind(self) == kind(later);
        is_same_kind.then(|| later.cost_us.saturating_sub(self.cost_us) / 1_000)
    }
}

/// Chooses the server for a request, or `None` when the service has no untried server that takes new work. The time
/// until a limited server takes the request is part of its cost.
pub fn choose_backend<'a>(
    directory: &'a ServerDirectory,
    tracker: &LoadTracker,
    query: &ServerQuery<'_>,
) -> Option<ServerPick<'a>> {
    let mut best: Option<(ServerCost, ServerPick<'a>)> = None;
    let mut second: Option<ServerCost> = None;
    let mut random_state = query.draw;
    for (key, server) in directory.ready(query.service) {
        let is_other_build = query.build.is_some_and(|build| build != server.build());
        if is_other_build || query.tried.contains(&key) {
            continue;
        }
        let fit = query
            .memory
            .map_or(MemoryFit::Fits, |memory| memory.fit(key, server.capacity));
        if fit == MemoryFit::Exceeds {
            continue;
        }
        let load = tracker.load(key);
        let is_avoided = load.avoid_until_ms > query.now_ms;
        let (cost_us, equal_us) = query.cost_us(key, server, load.in_flight);
        // One step of a linear congruential generator gives each server its own random amount.
        random_state = random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let is_preferred = query.preferred == Some(key);
        let random_us = if is_preferred {
            0
        } else {
            ((random_state >> 32) * equal_us) >> 32
        };
        let limits = query.limits.as_ref();
        let wait_ms = limits.map_or(0, |limits| limits.wait_ms(key, query.now_ms));
        let cost = ServerCost {
            is_last_choice: limits.is_some_and(|limits| limits.is_last_choice(key, query.now_ms)),
            may_exceed_memory: fit == MemoryFit::MayExceed,
            is_avoided,
            cost_us: cost_us
                .saturating_add(random_us)
                .saturating_add(query.risk_us(key))
                .saturating_add(wait_ms.saturating_mul(1_000)),
        };
        let Some((lowest, _)) = best else {
            best = Some((cost, pick_of(key, server, wait_ms)));
            continue;
        };
        if cost < lowest {
            second = Some(lowest);
            best = Some((cost, pick_of(key, server, wait_ms)));
        } else if second.is_none_or(|second| cost < second) {
            second = Some(cost);
        }
    }
    let (lowest, pick) = best?;
    let spare_ms = second.and_then(|second| lowest.spare_ms(second));
    let read_tokens = query.read_tokens(pick.key);
    Some(ServerPick {
        spare_ms,
        read_tokens,
        ..pick
    })
}

const fn pick_of(key: ServerKey, server: &Arc<BackendServer>, wait_ms: u64) -> ServerPick<'_> {
    ServerPick {
        key,
        server,
        wait_ms,
        spare_ms: None,
        read_tokens: 0,
    }
}

/// Returns whether a server may have no free slot while the servers of its service have `load_permille` thousandths
/// of their slots in use on average.
///
/// Load pattern: sixty entries that do not know of one another's requests send them to the same servers. With
/// randomly placed requests, the number at one server has about the mean as its variance; a server is expected to
/// have a free slot while its capacity is at least three standard deviations above the mean.
pub fn may_be_full(load_permille: u64, capacity: u32) -> bool {
    let slots = u64::from(capacity) * 1_000;
    let mean = u64::from(capacity).saturating_mul(load_permille);
    let free = slots.saturating_sub(mean);
    free.saturating_mul(free) <= mean.saturating_mul(9 * 1_000)
}
