//! Choice of the backend server for a call.

use domain::{PolicyWeights, TokenCount, UrgencyClass};
use rand::{Rng, RngExt as _};

const MICROS_PER_MILLI: u64 = 1_000;
/// Divisor of the work of running calls that gives the delay that they cause for a call in a free slot.
const SLOWDOWN_DIVISOR: u64 = 8;
/// Number of servers that are sampled with one random number, which has one bit for each.
const BLOCK_SERVERS: usize = 64;
/// Number of servers from which on a quarter of the servers with stale reports is sampled instead of half.
const LARGE_FLEET_SERVERS: usize = 256;
/// Age in milliseconds up to which a load report counts as fresh.
const FRESH_REPORT_MS: u64 = 50;
/// Age of a load report in milliseconds above which the uncertainty of its figures is taken as constant.
const MAX_UNCERTAIN_AGE_MS: u64 = 2_000;
/// Divisor of the call's own service time that gives the cost difference within which servers count as equal.
const TOLERANCE_DIVISOR: u64 = 8;
/// Divisor of a load report's age that gives the uncertainty of the predicted wait.
const UNCERTAINTY_DIVISOR: u64 = 2;

/// State of a backend server, from its latest load report and the calls that the chooser has sent since.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerView {
    /// Index into the caller's arena.
    pub key: u32,
    /// Whether the backend server answers its agent.
    pub healthy: bool,
    /// Whether the backend server or its agent is leaving.
    pub leaving: bool,
    /// Calls that wait at the backend server, according to the report.
    pub queued: u32,
    /// Calls that run on the backend server, according to the report.
    pub running: u32,
    /// Largest number of calls that run at the same time.
    pub capacity: u32,
    /// Tokens of outstanding work (prompts to compute and answers to generate), according to the report.
    pub pending_tokens: TokenCount,
    /// Calls that the chooser has sent since the report.
    pub own_in_flight: u32,
    /// Tokens of work of the calls that the chooser has sent since the report.
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

/// Size and urgency of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallShape {
    /// Tokens of the whole prompt.
    pub prompt_tokens: TokenCount,
    /// Largest number of tokens to generate.
    pub max_tokens: TokenCount,
    /// Urgency of the program.
    pub urgency: UrgencyClass,
}

/// Processing times per token of the backend servers of a service.
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

/// Chooses a backend server with a low weighted cost. Returns `None` when no backend server takes new work.
///
/// The cost has two parts. The first is the predicted latency: the wait, corrected for the age of the report
/// and for the calls that the chooser has sent since, and the prefill of the tokens that the cache does not
/// hold. The second is the time to recompute the cached tokens that the choice wastes. If the cheapest server
/// holds cached tokens of the program, it is chosen. Otherwise the choice is random, so that choosers with
/// the same report do not all send to the same server: of the servers with stale reports only a random half
/// takes part, and the less a server's cost exceeds the lowest cost, the more likely it is chosen.
pub fn choose_server(
    views: &[ServerView],
    shape: &CallShape,
    costs: &ServerCosts,
    weights: &PolicyWeights,
    generator: &mut impl Rng,
) -> Option<ServerChoice> {
    let estimator = CostEstimator::new(views, shape, costs, *weights);
    let candidates = sample_candidates(views, &estimator, generator);
    let best = *candidates.iter().min_by_key(|candidate| candidate.cost)?;
    let chosen = if best.view.held_tokens > 0 {
        best.view
    } else {
        choose_near_best(&candidates, best, &estimator, generator)
    };
    Some(estimator.choice(chosen))
}

/// A backend server among which the choice is made, with its cost.
#[derive(Debug, Clone, Copy)]
struct CandidateServer<'a> {
    cost: u64,
    view: &'a ServerView,
}

/// Returns the candidates with their costs: every eligible server that holds cached tokens of the program or
/// has a fresh report, and a random half of the other eligible servers (a quarter in a large fleet). If this
/// selects no server, all eligible servers are candidates.
fn sample_candidates<'a>(
    views: &'a [ServerView],
    estimator: &CostEstimator<'_>,
    generator: &mut impl Rng,
) -> Vec<CandidateServer<'a>> {
    let to_candidate = |view| CandidateServer {
        cost: estimator.cost(view),
        view,
    };
    let is_large = views.len() >= LARGE_FLEET_SERVERS;
    let mut candidates = Vec::with_capacity(views.len());
    for block in views.chunks(BLOCK_SERVERS) {
        let mut random_bits = generator.next_u64();
        if is_large {
            random_bits &= generator.next_u64();
        }
        let mut sampled = sample_block(block, random_bits);
        while sampled != 0 {
            candidates.push(to_candidate(&block[sampled.trailing_zeros() as usize]));
            sampled &= sampled - 1;
        }
    }
    if candidates.is_empty() {
        candidates.extend(views.iter().filter(|view| view.is_eligible()).map(to_candidate));
    }
    candidates
}

/// Returns a bit mask of the servers of a block that become candidates.
fn sample_block(block: &[ServerView], random_bits: u64) -> u64 {
    let sampled = block.iter().enumerate().map(|(index, view)| {
        let is_always_sampled = view.held_tokens > 0 || view.report_age_ms <= FRESH_REPORT_MS;
        let is_sampled = view.is_eligible() && (is_always_sampled || random_bits >> index & 1 == 1);
        u64::from(is_sampled) << index
    });
    sampled.fold(0, |bits, bit| bits | bit)
}

/// Chooses at random among the candidates that cost little more than the best one; the cheaper a candidate
/// is, the more likely it is chosen.
fn choose_near_best<'a>(
    candidates: &[CandidateServer<'a>],
    best: CandidateServer<'a>,
    estimator: &CostEstimator<'_>,
    generator: &mut impl Rng,
) -> &'a ServerView {
    let weight_of = |candidate: &CandidateServer<'_>| {
        let excess = candidate.cost - best.cost;
        if excess >= estimator.max_tolerance {
            return 0;
        }
        estimator.tolerance(candidate.view).saturating_sub(excess)
    };
    let total = candidates
        .iter()
        .fold(0_u64, |sum, candidate| sum.saturating_add(weight_of(candidate)));
    let mut point = generator.random_range(0..total.max(1));
    for candidate in candidates {
        let weight = weight_of(candidate);
        if point < weight {
            return candidate.view;
        }
        point -= weight;
    }
    best.view
}

/// Calls that are served before the call in question, and their remaining work.
#[derive(Debug, Clone, Copy)]
struct CallsAhead {
    calls: u64,
    work_us: u64,
}

/// Estimates the cost of one call on each of the servers, in microseconds times a weight in thousandths.
struct CostEstimator<'a> {
    shape: &'a CallShape,
    costs: &'a ServerCosts,
    latency_weight: u64,
    cache_weight: u64,
    /// Largest number of the prompt's tokens that any server holds.
    most_held: TokenCount,
    decode_us: u64,
    /// Upper bound of the tolerance over all servers.
    max_tolerance: u64,
}

impl<'a> CostEstimator<'a> {
    fn new(
        views: &[ServerView],
        shape: &'a CallShape,
        costs: &'a ServerCosts,
        weights: PolicyWeights,
    ) -> Self {
        let held = views.iter().map(|view| view.held_tokens).max();
        let mut estimator = Self {
            shape,
            costs,
            latency_weight: u64::from(weights.program_latency.max(1)),
            cache_weight: u64::from(weights.wasted_cache),
            most_held: held.unwrap_or_default().min(shape.prompt_tokens),
            decode_us: shape.max_tokens.saturating_mul(costs.decode_us_per_token),
            max_tolerance: 0,
        };
        let full_prefill_us = shape.prompt_tokens.saturating_mul(costs.prefill_us_per_token);
        estimator.max_tolerance = estimator.tolerance_of(MAX_UNCERTAIN_AGE_MS, full_prefill_us);
        estimator
    }

    fn cost(&self, view: &ServerView) -> u64 {
        let latency_us = self.wait_us(view).saturating_add(self.prefill_us(view));
        let unused_tokens = self.most_held.saturating_sub(view.held_tokens);
        let wasted_tokens = unused_tokens.saturating_add(self.evicted_tokens(view));
        let cache_us = wasted_tokens.saturating_mul(self.costs.prefill_us_per_token);
        let latency_cost = latency_us.saturating_mul(self.latency_weight);
        latency_cost.saturating_add(cache_us.saturating_mul(self.cache_weight))
    }

    /// Returns the cost difference within which a server counts as equal to the best one. It grows with the
    /// age of the report and with the service time of the call.
    fn tolerance(&self, view: &ServerView) -> u64 {
        self.tolerance_of(
            view.report_age_ms.min(MAX_UNCERTAIN_AGE_MS),
            self.prefill_us(view),
        )
    }

    fn tolerance_of(&self, age_ms: u64, prefill_us: u64) -> u64 {
        let uncertainty_us = age_ms * MICROS_PER_MILLI / UNCERTAINTY_DIVISOR;
        let service_us = self.decode_us.saturating_add(prefill_us);
        let tolerance_us = (service_us / TOLERANCE_DIVISOR).saturating_add(uncertainty_us);
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

    /// Predicts the wait in microseconds. If every slot is taken, as many calls must finish as are needed to
    /// free one. If a slot is free, the call starts at once, and the running calls only slow down each step.
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

    /// Returns the reported calls that are served before this one. An urgent call is taken to overtake all
    /// waiting calls, because the calls that wait long belong to the lower urgency classes.
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

    /// Returns the tokens of other programs that the call would evict from the cache.
    fn evicted_tokens(&self, view: &ServerView) -> TokenCount {
        let growth = self.shape.prompt_tokens.saturating_add(self.shape.max_tokens);
        let needed = growth.saturating_sub(view.held_tokens);
        let free = view.cache_size.saturating_sub(view.cache_used);
        needed.saturating_sub(free).min(view.cache_used)
    }
}
