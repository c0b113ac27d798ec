//! Admission control, prices, budget slices and cache retention.

use domain::{CallLimits, MicroUnits, PolicyWeights, ServicePrices, TimeMillis, TokenUsage};
use errors::RunState;
use googletest::prelude::*;
use policy::{
    AdmissionFacts, REPETITION_LIMIT, RetentionChoice, RetentionFacts, admit_call, choose_retention,
    exact_price, next_slice, worst_case_price,
};
use proptest::prelude::*;

const NOW: TimeMillis = TimeMillis(1_800_000_000_000);
const LIMITS: CallLimits = CallLimits {
    max_turns: 390,
    call_timeout_ms: 60_000,
    program_time_s: 3_600,
    idle_time_s: 600,
    queue_length: 100,
    concurrency: 16,
    max_tokens: 4_096,
    context_tokens: 840_000,
};
const FACTS: AdmissionFacts = AdmissionFacts {
    now: NOW,
    deadline: Some(TimeMillis(NOW.0 + 10_000)),
    started: NOW,
    turns: 389,
    repetitions: REPETITION_LIMIT - 1,
    dependencies_up: true,
    live_servers: 1,
    predicted_ms: 10_000,
    wait_ms: 4_000,
};

struct AdmissionCase {
    change: fn(&mut AdmissionFacts),
    /// Number of the result code and the Retry-After delay in milliseconds.
    refused: (u16, Option<u64>),
}

const fn case(change: fn(&mut AdmissionFacts), code: u16, retry_ms: Option<u64>) -> AdmissionCase {
    let refused = (code, retry_ms);
    AdmissionCase { change, refused }
}

#[gtest]
fn a_call_that_cannot_finish_is_refused_with_a_delay_where_a_retry_helps() {
    let cases = [
        case(|facts| facts.turns = 390, 3005, None),
        case(|facts| facts.started = TimeMillis(NOW.0 - 3_600_000), 3006, None),
        case(|facts| facts.repetitions = REPETITION_LIMIT, 3007, None),
        case(|facts| facts.dependencies_up = false, 3004, Some(2_000)),
        case(|facts| facts.live_servers = 0, 3008, Some(2_000)),
        case(|facts| facts.deadline = Some(NOW), 3014, None),
        case(|facts| facts.predicted_ms = 12_000, 3003, Some(2_000)),
        case(
            |facts| (facts.predicted_ms, facts.wait_ms) = (12_000, 0),
            3003,
            None,
        ),
    ];
    expect_that!(admit_call(&FACTS, &LIMITS), ok(anything()));
    for case in cases {
        let mut facts = FACTS;
        (case.change)(&mut facts);
        let refusal = admit_call(&facts, &LIMITS).expect_err("the facts forbid the call");
        expect_that!((refusal.code.number(), refusal.retry_after_ms), eq(case.refused));
        expect_that!(refusal.run, eq(RunState::NotRun));
    }
    let mut without_deadline = FACTS;
    (without_deadline.deadline, without_deadline.predicted_ms) = (None, u64::MAX);
    expect_that!(admit_call(&without_deadline, &LIMITS), ok(anything()));
}

#[gtest]
fn the_cache_is_kept_while_there_is_room_and_exported_or_dropped_otherwise() {
    let weights = PolicyWeights {
        program_latency: 1_000,
        wasted_cache: 500,
    };
    let facts = RetentionFacts {
        held_tokens: 10_000,
        cache_used: 1_000_000,
        cache_size: 1_000_000,
        inflow_tokens_per_s: 50_000,
        pause_ms: 2_000,
        return_chance: 900,
        prefill_us_per_token: 200,
        transfer_us_per_token: Some(20),
    };
    let choose = |change: fn(&mut RetentionFacts)| {
        let mut facts = facts;
        change(&mut facts);
        choose_retention(&facts, &weights)
    };
    expect_that!(choose(|_| {}), eq(RetentionChoice::Export));
    expect_that!(
        choose(|facts| facts.cache_used = 500_000),
        eq(RetentionChoice::Keep)
    );
    expect_that!(choose(|facts| facts.pause_ms = 1), eq(RetentionChoice::Keep));
    expect_that!(
        choose(|facts| facts.transfer_us_per_token = None),
        eq(RetentionChoice::Drop)
    );
    expect_that!(choose(|facts| facts.return_chance = 0), eq(RetentionChoice::Drop));
}

/// Generates counts of usual sizes and of sizes at which prices saturate.
fn any_count() -> impl Strategy<Value = u64> {
    prop_oneof![0..1_u64 << 20, any::<u64>()]
}

proptest! {
    #[test]
    fn exact_price_never_exceeds_the_worst_case(
        prices in (any::<u64>(), any::<u64>(), any::<u64>(), any::<u64>()),
        bounds in (any_count(), any_count()),
        used in (any_count(), any_count(), any_count()),
    ) {
        let prices = ServicePrices {
            per_call: MicroUnits(prices.0 >> 2),
            per_prompt_token: MicroUnits(prices.1 >> 40),
            per_cached_token: MicroUnits(prices.2 >> 40),
            per_completion_token: MicroUnits(prices.3 >> 40),
        };
        let usage = TokenUsage {
            prompt_tokens: used.0.min(bounds.0),
            cached_tokens: used.1,
            completion_tokens: used.2.min(bounds.1),
        };
        prop_assert!(exact_price(&prices, &usage) <= worst_case_price(&prices, bounds.0, bounds.1));
    }

    #[test]
    fn a_slice_covers_what_is_wanted_and_never_exceeds_what_is_left(
        left in any::<u64>(),
        owners in any::<u32>(),
        wanted in any::<u64>(),
    ) {
        let slice = next_slice(MicroUnits(left), owners, MicroUnits(wanted)).0;
        prop_assert!(slice <= left);
        prop_assert_eq!(slice >= wanted, wanted <= left);
    }
}
