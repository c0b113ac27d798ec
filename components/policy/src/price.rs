//! Prices of calls, in integers.

use domain::{MicroUnits, ServicePrices, TokenCount, TokenUsage};

/// Returns the highest price that a call can have.
///
/// Prompt tokens are charged at the higher of their two prices, because the number of cached ones is not
/// known before the call.
pub fn worst_case_price(
    prices: &ServicePrices,
    prompt_tokens: TokenCount,
    max_tokens: TokenCount,
) -> MicroUnits {
    let higher = prices.per_prompt_token.max(prices.per_cached_token);
    prices
        .per_call
        .saturating_add(tokens_price(higher, prompt_tokens))
        .saturating_add(tokens_price(prices.per_completion_token, max_tokens))
}

/// Returns the price of a finished call.
pub fn exact_price(prices: &ServicePrices, usage: &TokenUsage) -> MicroUnits {
    let cached = usage.cached_tokens.min(usage.prompt_tokens);
    let computed = usage.prompt_tokens - cached;
    prices
        .per_call
        .saturating_add(tokens_price(prices.per_prompt_token, computed))
        .saturating_add(tokens_price(prices.per_cached_token, cached))
        .saturating_add(tokens_price(prices.per_completion_token, usage.completion_tokens))
}

const fn tokens_price(per_token: MicroUnits, tokens: TokenCount) -> MicroUnits {
    MicroUnits(per_token.0.saturating_mul(tokens))
}
