//! Choice of the backend server for a call.

use domain::{PolicyWeights, TokenCount, UrgencyClass};
use rand::{Rng, RngExt as _};

const MICROS_PER_MILLI: u64 = 1_000;
/// Divisor of the work of running calls that gives the time by which they slow another one down.
const SLOWDOWN_DIVISOR: u64 = 8;
/// Servers for which one random number is drawn, one bit each.
const BLOCK_SERVERS: usize = 64;
/// Number of servers from which on a quarter of them is enough to draw from.
const LARGE_FLEET_SERVERS: usize = 256;
/// Age of a report in milliseconds up to which it counts as fresh.
const FRESH_REPORT_MS: u64 = 50;
/// Age of a report in milliseconds beyond which the doubt about it grows no further.
const MAX_DOUBT_MS: u64 = 2_000;
/// Divisor of the call's own service time that gives the difference too small to tell servers apart.
const TOLERANCE_DIVISOR: u64 = 8;
/// Divisor of a report's age that gives the doubt about the predicted wait.
const DOUBT_DIVISOR: u64 = 2;

/// A backend server as a chooser sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerView {
    /// Index into the caller's arena.
    pub key: u32,
    /// Whether the backend server answers its agent.
    pub healthy: bool,
    /// Whether the backend server or its agent is leaving.
    pub leaving: bool,
    /// Calls waiting, by the report.
    pub queued: u32,
    /// Calls running, by the report.
    pub running: u32,
    /// Calls that run at a time.
    pub capacity: u32,
    /// Tokens of work not yet done, by the report.
    pub pending_tokens: TokenCount,
    /// Calls that the chooser sent since the report.
    pub own_in_flight: u32,
    /// Tokens of work of the calls that the chooser sent since the report.
    pub own_in_flight_tokens: TokenCount,
    /// Tokens that the prefix cache holds.
    pub cache_used: TokenCount,
    /// Tokens that the prefix cache can hold.
    pub cache_size: TokenCount,
    /// Tokens of the calling program that the prefix cache holds.
    pub held_tokens: TokenCount,
    /// Age of the report in milliseconds.
    pub report_age_ms: u64,
}

/// What a call asks of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallShape {
    /// Tokens of the whole prompt.
    pub prompt_tokens: TokenCount,
    /// Largest number of tokens to generate.
    pub max_tokens: TokenCount,
    /// Urgency of the program.
    pub urgency: UrgencyClass,
}

/// Observed speed of the backend servers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerCosts {
    /// Time to compute one token of a prompt, in microseconds.
    pub prefill_us_per_token: u64,
    /// Time to generate one token of one call, in microseconds.
    pub decode_us_per_token: u64,
}

/// A chosen backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerChoice {
    /// Index into the caller's arena.
    pub key: u32,
    /// Predicted time until the call's finish in milliseconds, waiting included.
    pub predicted_ms: u64,
    /// Part of the predicted time that is waiting, in milliseconds.
    pub wait_ms: u64,
}

impl ServerView {
    /// Returns whether the backend server takes new work.
    pub const fn is_eligible(&self) -> bool {
        self.healthy && !self.leaving
    }
}

/// Chooses the backend server with the least weighted cost, or `None` when none takes new work.
///
/// The cost is the predicted finish (wait corrected for the report's age and the chooser's own calls since,
/// then the prefill of what the cache lacks) and the price of cache that the choice throws away. A server that
/// holds the program's cache wins outright when it is the cheapest. Otherwise the draw is random among a
/// random half of the servers with stale reports, weighted by how little each exceeds the cheapest: choosers
/// that see the same report do not all send to the same server.
pub fn choose_server(
    views: &[ServerView],
    shape: &CallShape,
    costs: &ServerCosts,
    weights: &PolicyWeights,
    generator: &mut impl Rng,
) -> Option<ServerChoice> {
    let pricing = CostPricing::new(views, shape, costs, *weights);
    let drawn = draw_servers(views, &pricing, generator);
    let best = *drawn.iter().min_by_key(|drawn| drawn.cost)?;
    let chosen = if best.view.held_tokens > 0 {
        best.view
    } else {
        draw_near_best(&drawn, best, &pricing, generator)
    };
    Some(pricing.choice(chosen))
}

/// A server that takes part in the draw.
#[derive(Debug, Clone, Copy)]
struct DrawnServer<'a> {
    cost: u64,
    view: &'a ServerView,
}

/// Prices every eligible server that holds the program's cache or has a fresh report, and a random half of
/// the others, a quarter in a large fleet; all of them when that leaves none.
fn draw_servers<'a>(
    views: &'a [ServerView],
    pricing: &CostPricing<'_>,
    generator: &mut impl Rng,
) -> Vec<DrawnServer<'a>> {
    let price = |view| DrawnServer {
        cost: pricing.cost(view),
        view,
    };
    let is_large = views.len() >= LARGE_FLEET_SERVERS;
    let mut drawn = Vec::with_capacity(views.len());
    for block in views.chunks(BLOCK_SERVERS) {
        let mut coins = generator.next_u64();
        if is_large {
            coins &= generator.next_u64();
        }
        let mut chosen = choose_in_block(block, coins);
        while chosen != 0 {
            drawn.push(price(&block[chosen.trailing_zeros() as usize]));
            chosen &= chosen - 1;
        }
    }
    if drawn.is_empty() {
        drawn.extend(views.iter().filter(|view| view.is_eligible()).map(price));
    }
    drawn
}

/// Returns one bit for each server of a block that takes part.
fn choose_in_block(block: &[ServerView], coins: u64) -> u64 {
    let chosen = block.iter().enumerate().map(|(place, view)| {
        let is_certain = view.held_tokens > 0 || view.report_age_ms <= FRESH_REPORT_MS;
        let takes_part = view.is_eligible() && (is_certain || coins >> place & 1 == 1);
        u64::from(takes_part) << place
    });
    chosen.fold(0, |bits, bit| bits | bit)
}

/// Draws among the servers that cost little more than the best one, the cheaper the likelier.
fn draw_near_best<'a>(
    drawn: &[DrawnServer<'a>],
    best: DrawnServer<'a>,
    pricing: &CostPricing<'_>,
    generator: &mut impl Rng,
) -> &'a ServerView {
    let chance = |server: &DrawnServer<'_>| {
        let excess = server.cost - best.cost;
        if excess >= pricing.max_tolerance {
            return 0;
        }
        pricing.tolerance(server.view).saturating_sub(excess)
    };
    let total = drawn
        .iter()
        .fold(0_u64, |total, server| total.saturating_add(chance(server)));
    let mut point = generator.random_range(0..total.max(1));
    for server in drawn {
        let width = chance(server);
        if point < width {
            return server.view;
        }
        point -= width;
    }
    best.view
}

/// Calls that go before another, and their work.
#[derive(Debug, Clone, Copy)]
struct CallsAhead {
    calls: u64,
    work_us: u64,
}

/// Prices of one call at any of the servers, in microseconds times a weight in thousandths.
struct CostPricing<'a> {
    shape: &'a CallShape,
    costs: &'a ServerCosts,
    latency_weight: u64,
    cache_weight: u64,
    most_held: TokenCount,
    decode_us: u64,
    /// Largest tolerance of any server.
    max_tolerance: u64,
}

impl<'a> CostPricing<'a> {
    fn new(
        views: &[ServerView],
        shape: &'a CallShape,
        costs: &'a ServerCosts,
        weights: PolicyWeights,
    ) -> Self {
        let held = views.iter().map(|view| view.held_tokens).max();
        let mut pricing = Self {
            shape,
            costs,
            latency_weight: u64::from(weights.program_latency.max(1)),
            cache_weight: u64::from(weights.wasted_cache),
            most_held: held.unwrap_or_default().min(shape.prompt_tokens),
            decode_us: shape.max_tokens.saturating_mul(costs.decode_us_per_token),
            max_tolerance: 0,
        };
        let whole_prefill_us = shape.prompt_tokens.saturating_mul(costs.prefill_us_per_token);
        pricing.max_tolerance = pricing.tolerance_of(MAX_DOUBT_MS, whole_prefill_us);
        pricing
    }

    fn cost(&self, view: &ServerView) -> u64 {
        let latency_us = self.wait_us(view).saturating_add(self.prefill_us(view));
        let lost = self.most_held.saturating_sub(view.held_tokens);
        let thrown_away = lost.saturating_add(self.evicted_tokens(view));
        let cache_us = thrown_away.saturating_mul(self.costs.prefill_us_per_token);
        let latency_cost = latency_us.saturating_mul(self.latency_weight);
        latency_cost.saturating_add(cache_us.saturating_mul(self.cache_weight))
    }

    /// Returns the cost difference that the report's age and the call's own length make meaningless.
    fn tolerance(&self, view: &ServerView) -> u64 {
        self.tolerance_of(view.report_age_ms.min(MAX_DOUBT_MS), self.prefill_us(view))
    }

    fn tolerance_of(&self, age_ms: u64, prefill_us: u64) -> u64 {
        let doubt_us = age_ms * MICROS_PER_MILLI / DOUBT_DIVISOR;
        let service_us = self.decode_us.saturating_add(prefill_us);
        let tolerance_us = (service_us / TOLERANCE_DIVISOR).saturating_add(doubt_us);
        tolerance_us.saturating_mul(self.latency_weight).saturating_add(1)
    }

    fn choice(&self, view: &ServerView) -> ServerChoice {
        let wait_us = self.wait_us(view);
        let service_us = self.prefill_us(view).saturating_add(self.decode_us);
        ServerChoice {
            key: view.key,
            predicted_ms: wait_us.saturating_add(service_us) / MICROS_PER_MILLI,
            wait_ms: wait_us / MICROS_PER_MILLI,
        }
    }

    /// Predicts the wait: as many calls must end as there are too many for a slot to be free. While one is
    /// free, the calls that run only slow the steps down.
    fn wait_us(&self, view: &ServerView) -> u64 {
        let decode_us = self.costs.decode_us_per_token;
        let age_us = view.report_age_ms.saturating_mul(MICROS_PER_MILLI);
        let done_us = u64::from(view.running).saturating_mul(age_us);
        let reported_us = view
            .pending_tokens
            .saturating_mul(decode_us)
            .saturating_sub(done_us);
        let own_us = view.own_in_flight_tokens.saturating_mul(decode_us);
        let ahead = self.calls_ahead(view, reported_us);
        let work_us = ahead.work_us.saturating_add(own_us);
        let calls = ahead.calls + u64::from(view.own_in_flight);
        let slots = u64::from(view.capacity.max(1));
        if calls < slots {
            return work_us.saturating_mul(calls)
                / slots.saturating_mul(slots).saturating_mul(SLOWDOWN_DIVISOR);
        }
        work_us.saturating_mul(calls - slots + 1) / calls.saturating_mul(slots)
    }

    /// Returns the reported calls that go first; an urgent call overtakes those that wait, since those that
    /// wait long are of the lower classes.
    fn calls_ahead(&self, view: &ServerView, reported_us: u64) -> CallsAhead {
        let (running, queued) = (u64::from(view.running), u64::from(view.queued));
        let is_urgent = self.shape.urgency <= UrgencyClass::Interactive;
        if !is_urgent || queued == 0 {
            return CallsAhead {
                calls: running + queued,
                work_us: reported_us,
            };
        }
        CallsAhead {
            calls: running,
            work_us: reported_us.saturating_mul(running) / (running + queued),
        }
    }

    fn prefill_us(&self, view: &ServerView) -> u64 {
        let missing = self.shape.prompt_tokens.saturating_sub(view.held_tokens);
        missing.saturating_mul(self.costs.prefill_us_per_token)
    }

    /// Returns the tokens of other programs that the call would push out of the cache.
    fn evicted_tokens(&self, view: &ServerView) -> TokenCount {
        let growth = self.shape.prompt_tokens.saturating_add(self.shape.max_tokens);
        let needed = growth.saturating_sub(view.held_tokens);
        let free = view.cache_size.saturating_sub(view.cache_used);
        needed.saturating_sub(free).min(view.cache_used)
    }
}
