//! Retention of a program's prefix cache while the program waits for a tool.

use domain::{PolicyWeights, TokenCount};

const MICROS_PER_SECOND: u64 = 1_000_000;
const THOUSAND: u64 = 1_000;

/// What happens to a program's cache during a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetentionChoice {
    /// The cache stays in the engine.
    Keep,
    /// The cache is exported from the engine and imported again at the next turn.
    Export,
    /// The cache is evicted, and the prefix is computed again at the next turn.
    Drop,
}

/// Sizes, rates and costs on which the retention of a program's cache depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetentionFacts {
    /// Tokens of the program that the engine holds.
    pub held_tokens: TokenCount,
    /// Tokens that the whole cache holds.
    pub cache_used: TokenCount,
    /// Tokens that the cache can hold.
    pub cache_size: TokenCount,
    /// Tokens that other programs add to the cache per second.
    pub inflow_tokens_per_s: TokenCount,
    /// Expected length of the pause in milliseconds, from the tool's observed pauses.
    pub pause_ms: u64,
    /// Probability in thousandths that the program continues after the pause.
    pub return_chance: u32,
    /// Time to compute one token of a prompt, in microseconds.
    pub prefill_us_per_token: u64,
    /// Time to export and import one token, in microseconds; `None` when the engine cannot export.
    pub transfer_us_per_token: Option<u64>,
}

/// Chooses what happens to a program's cache during a pause, by the lowest expected cost.
///
/// Keeping the cache costs the tokens of other programs that it displaces: those that arrive during the pause
/// and find no free room. Dropping it costs the computation of the prefix at the next turn, and exporting it
/// costs the transfer. The last two costs arise only if the program continues.
pub fn choose_retention(facts: &RetentionFacts, weights: &PolicyWeights) -> RetentionChoice {
    let keep = displaced_tokens(facts)
        .saturating_mul(facts.prefill_us_per_token)
        .saturating_mul(recompute_weight(*weights))
        .saturating_mul(THOUSAND);
    let drop = expected_cost(facts, facts.prefill_us_per_token, recompute_weight(*weights));
    let latency_weight = u64::from(weights.program_latency);
    let export = facts
        .transfer_us_per_token
        .map(|transfer_us| expected_cost(facts, transfer_us, latency_weight));
    match export {
        Some(export) if export < keep && export < drop => RetentionChoice::Export,
        _ if drop < keep => RetentionChoice::Drop,
        _ => RetentionChoice::Keep,
    }
}

fn recompute_weight(weights: PolicyWeights) -> u64 {
    u64::from(weights.program_latency) + u64::from(weights.wasted_cache)
}

fn displaced_tokens(facts: &RetentionFacts) -> TokenCount {
    let pause_us = facts.pause_ms.saturating_mul(THOUSAND);
    let inflow = facts.inflow_tokens_per_s.saturating_mul(pause_us) / MICROS_PER_SECOND;
    let free = facts.cache_size.saturating_sub(facts.cache_used);
    inflow.saturating_sub(free).min(facts.held_tokens)
}

fn expected_cost(facts: &RetentionFacts, us_per_token: u64, weight: u64) -> u64 {
    facts
        .held_tokens
        .saturating_mul(us_per_token)
        .saturating_mul(weight)
        .saturating_mul(u64::from(facts.return_chance))
}
