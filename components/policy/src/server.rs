//! Choice of the backend server for a call.

use domain::{PolicyWeights, TokenCount, UrgencyClass};
use rand::{Rng, RngExt as _};

const MICROS_PER_MILLI: u64 = 1_000;
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
    pub holds_tokens: TokenCount,
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
    let mut candidates = Vec::with_capacity(views.len());
    let eligible = views.iter().filter(|view| view.is_eligible());
    candidates.extend(eligible.map(|view| (pricing.cost(view), view)));
    let best = candidates.iter().min_by_key(|(cost, _)| *cost)?;
    if best.1.holds_tokens > 0 {
        return Some(pricing.choice(best.1));
    }
    let drawn = draw_half(&candidates, generator);
    let chosen = draw_near_best(&drawn, &pricing, generator).unwrap_or(best.1);
    Some(pricing.choice(chosen))
}

/// Keeps every server that holds the program's cache or has a fresh report, and a random half of the others.
fn draw_half<'a>(
    candidates: &[(u64, &'a ServerView)],
    generator: &mut impl Rng,
) -> Vec<(u64, &'a ServerView)> {
    let mut coins = 0_u64;
    let mut drawn = Vec::with_capacity(candidates.len());
    for (index, candidate) in candidates.iter().enumerate() {
        if index % 64 == 0 {
            coins = generator.next_u64();
        }
        let heads = coins & 1 == 1;
        coins >>= 1;
        let view = candidate.1;
        if heads || view.holds_tokens > 0 || view.report_age_ms <= FRESH_REPORT_MS {
            drawn.push(*candidate);
        }
    }
    if drawn.is_empty() {
        drawn.extend_from_slice(candidates);
    }
    drawn
}

fn draw_near_best<'a>(
    drawn: &[(u64, &'a ServerView)],
    pricing: &CostPricing<'_>,
    generator: &mut impl Rng,
) -> Option<&'a ServerView> {
    let (least, _) = drawn.iter().min_by_key(|(cost, _)| *cost)?;
    let chance = |(cost, view): &(u64, &ServerView)| pricing.tolerance(view).saturating_sub(cost - least);
    let total = drawn
        .iter()
        .fold(0_u64, |total, candidate| total.saturating_add(chance(candidate)));
    if total == 0 {
        return None;
    }
    let mut point = generator.random_range(0..total);
    for candidate in drawn {
        let width = chance(candidate);
        if point < width {
            return Some(candidate.1);
        }
        point -= width;
    }
    None
}

/// Prices of one call at any of the servers, in microseconds times a weight in thousandths.
struct CostPricing<'a> {
    shape: &'a CallShape,
    costs: &'a ServerCosts,
    latency_weight: u64,
    cache_weight: u64,
    most_held: TokenCount,
}

impl<'a> CostPricing<'a> {
    fn new(
        views: &[ServerView],
        shape: &'a CallShape,
        costs: &'a ServerCosts,
        weights: PolicyWeights,
    ) -> Self {
        let held = views.iter().map(|view| view.holds_tokens).max();
        Self {
            shape,
            costs,
            latency_weight: u64::from(weights.program_latency.max(1)),
            cache_weight: u64::from(weights.wasted_cache),
            most_held: held.unwrap_or_default().min(shape.prompt_tokens),
        }
    }

    fn cost(&self, view: &ServerView) -> u64 {
        let latency_us = self.wait_us(view).saturating_add(self.prefill_us(view));
        let lost = self.most_held.saturating_sub(view.holds_tokens);
        let thrown_away = lost.saturating_add(self.evicted_tokens(view));
        let cache_us = thrown_away.saturating_mul(self.costs.prefill_us_per_token);
        let latency_cost = latency_us.saturating_mul(self.latency_weight);
        latency_cost.saturating_add(cache_us.saturating_mul(self.cache_weight))
    }

    /// Returns the cost difference that the report's age and the call's own length make meaningless.
    fn tolerance(&self, view: &ServerView) -> u64 {
        let doubt_us = view.report_age_ms.min(MAX_DOUBT_MS) * MICROS_PER_MILLI / DOUBT_DIVISOR;
        let service_us = self.decode_us().saturating_add(self.prefill_us(view));
        let tolerance_us = (service_us / TOLERANCE_DIVISOR).saturating_add(doubt_us);
        tolerance_us.saturating_mul(self.latency_weight).saturating_add(1)
    }

    fn choice(&self, view: &ServerView) -> ServerChoice {
        let wait_us = self.wait_us(view);
        let service_us = self.prefill_us(view).saturating_add(self.decode_us());
        ServerChoice {
            key: view.key,
            predicted_ms: wait_us.saturating_add(service_us) / MICROS_PER_MILLI,
            wait_ms: wait_us / MICROS_PER_MILLI,
        }
    }

    /// Predicts the wait: the work not done, shared by the server's slots, as far as the slots are occupied.
    fn wait_us(&self, view: &ServerView) -> u64 {
        let decode_us = self.costs.decode_us_per_token.max(1);
        let age_us = view.report_age_ms.saturating_mul(MICROS_PER_MILLI);
        let done = u64::from(view.running).saturating_mul(age_us / decode_us);
        let reported = view.pending_tokens.saturating_sub(done);
        let ahead = self.share_ahead(view, reported);
        let pending = ahead.saturating_add(view.own_in_flight_tokens);
        let slots = u64::from(view.capacity.max(1));
        let calls = u64::from(view.running) + u64::from(view.queued) + u64::from(view.own_in_flight);
        let occupied = calls.min(slots);
        let work_us = pending.saturating_mul(decode_us) / slots;
        work_us.saturating_mul(occupied) / slots
    }

    /// Returns the part of the reported work that goes first; an emergency overtakes the calls that wait.
    fn share_ahead(&self, view: &ServerView, reported: TokenCount) -> TokenCount {
        let calls = u64::from(view.running) + u64::from(view.queued);
        if self.shape.urgency != UrgencyClass::Emergency || calls == 0 {
            return reported;
        }
        reported.saturating_mul(u64::from(view.running)) / calls
    }

    fn prefill_us(&self, view: &ServerView) -> u64 {
        let missing = self.shape.prompt_tokens.saturating_sub(view.holds_tokens);
        missing.saturating_mul(self.costs.prefill_us_per_token)
    }

    fn decode_us(&self) -> u64 {
        self.shape
            .max_tokens
            .saturating_mul(self.costs.decode_us_per_token)
    }

    /// Returns the tokens of other programs that the call would push out of the cache.
    fn evicted_tokens(&self, view: &ServerView) -> TokenCount {
        let growth = self.shape.prompt_tokens.saturating_add(self.shape.max_tokens);
        let needed = growth.saturating_sub(view.holds_tokens);
        let free = view.cache_size.saturating_sub(view.cache_used);
        needed.saturating_sub(free).min(view.cache_used)
    }
}
