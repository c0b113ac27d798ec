//! Choice of the backend server.

use domain::{PolicyWeights, UrgencyClass};
use googletest::prelude::*;
use policy::{CallShape, PolicyKind, ServerCosts, ServerView, choose_server, choose_server_by};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const COSTS: ServerCosts = ServerCosts {
    prefill_us_per_token: 200,
    decode_us_per_token: 20_000,
};
const WEIGHTS: PolicyWeights = PolicyWeights {
    program_latency: 1_000,
    wasted_cache: 200,
};
const SHAPE: CallShape = shape(4_000, UrgencyClass::Ordinary);

const fn shape(prompt_tokens: u64, urgency: UrgencyClass) -> CallShape {
    CallShape {
        prompt_tokens,
        max_tokens: 100,
        urgency,
    }
}

const fn server(key: u32) -> ServerView {
    ServerView {
        key,
        healthy: true,
        leaving: false,
        queued: 0,
        running: 0,
        capacity: 16,
        pending_tokens: 0,
        own_in_flight: 0,
        own_in_flight_tokens: 0,
        cache_used: 0,
        cache_size: 1_000_000,
        held_tokens: 0,
        report_age_ms: 0,
    }
}

const fn loaded(key: u32, queued: u32, running: u32, pending_tokens: u64) -> ServerView {
    let mut view = server(key);
    view.queued = queued;
    view.running = running;
    view.pending_tokens = pending_tokens;
    view
}

const fn busy(key: u32) -> ServerView {
    loaded(key, 20, 16, 7_200)
}

const fn holding(mut view: ServerView, tokens: u64) -> ServerView {
    view.held_tokens = tokens;
    view
}

struct ChoiceCase {
    name: &'static str,
    /// Servers to choose from; the first one must be chosen.
    views: [ServerView; 2],
    shape: CallShape,
}

const fn case(name: &'static str, views: [ServerView; 2], shape: CallShape) -> ChoiceCase {
    ChoiceCase { name, views, shape }
}

#[gtest]
fn chooses_the_least_weighted_cost() {
    let long = shape(120_000, UrgencyClass::Ordinary);
    let urgent = shape(4_000, UrgencyClass::Emergency);
    let (mut sent, mut full) = (server(0), server(0));
    (sent.own_in_flight, sent.own_in_flight_tokens) = (30, 6_000);
    full.cache_used = full.cache_size;
    let cases = [
        case("an idle server before a busy one", [server(1), busy(0)], SHAPE),
        case(
            "the server that holds the prompt, among equal ones",
            [holding(server(1), 3_900), server(0)],
            SHAPE,
        ),
        case(
            "an idle server before a busy one that holds few tokens",
            [server(0), holding(busy(1), 100)],
            SHAPE,
        ),
        case(
            "a busy server that holds many tokens before an idle one",
            [holding(busy(1), 120_000), server(0)],
            long,
        ),
        case(
            "a server without own calls since the report before one with many",
            [server(1), sent],
            SHAPE,
        ),
        case(
            "a server with room in its cache before one that would evict",
            [server(1), full],
            long,
        ),
        case(
            "an emergency does not count the queue that it overtakes",
            [loaded(1, 300, 4, 160_000), loaded(0, 0, 16, 160_000)],
            urgent,
        ),
        case(
            "an interactive call does not count the queue that it overtakes",
            [loaded(1, 300, 4, 160_000), loaded(0, 0, 16, 160_000)],
            shape(4_000, UrgencyClass::Interactive),
        ),
        case(
            "an ordinary call counts the queue",
            [loaded(0, 0, 16, 1_600), loaded(1, 300, 16, 9_000)],
            SHAPE,
        ),
    ];
    for case in cases {
        for seed in 0..20 {
            let mut generator = StdRng::seed_from_u64(seed);
            let choice = choose_server(&case.views, &case.shape, &COSTS, &WEIGHTS, &mut generator);
            let key = choice.map(|choice| choice.key);
            expect_that!(key, some(eq(case.views[0].key)), "{} seed {seed}", case.name);
        }
    }
}

#[gtest]
fn predicts_wait_and_service_and_corrects_for_lag() {
    let mut generator = StdRng::seed_from_u64(1);
    let mut predict = |view| choose_server(&[view], &SHAPE, &COSTS, &WEIGHTS, &mut generator);
    let idle = predict(server(0)).expect("it is eligible");
    expect_that!((idle.wait_ms, idle.predicted_ms), eq((0, 4_000 / 5 + 100 * 20)));
    let fresh = predict(busy(0)).expect("it is eligible");
    expect_that!(
        fresh.wait_ms,
        eq(7_200 * 20 * 21 / (36 * 16)),
        "21 of 36 calls must end"
    );
    let partly = predict(loaded(0, 0, 8, 1_600)).expect("it is eligible");
    expect_that!(
        partly.wait_ms,
        eq(1_600 * 20 * 8 / (16 * 16 * 8)),
        "a slot is free"
    );
    let mut stale = busy(0);
    stale.report_age_ms = 1_000;
    let stale = predict(stale).expect("it is eligible");
    expect_that!(stale.wait_ms, eq((7_200 - 16 * 50) * 20 * 21 / (36 * 16)));
}

#[gtest]
fn choosers_with_the_same_stale_report_spread() {
    const CHOOSERS: u64 = 2_000;
    for (servers, share_percent) in [(12, 60), (600, 30)] {
        let mut views: Vec<ServerView> = (0..servers).map(busy).collect();
        views[7] = server(7);
        for view in &mut views {
            view.report_age_ms = 1_000;
            view.pending_tokens += u64::from(view.key);
        }
        let mut counts = vec![0_u64; views.len()];
        for seed in 0..CHOOSERS {
            let mut generator = StdRng::seed_from_u64(seed);
            let choice = choose_server(&views, &SHAPE, &COSTS, &WEIGHTS, &mut generator);
            counts[choice.expect("all are eligible").key as usize] += 1;
        }
        let used = counts.iter().filter(|count| **count > 0).count();
        println!(
            "{servers} servers: {} of {CHOOSERS} chose the idle one, {used} were chosen",
            counts[7]
        );
        expect_that!(
            counts[7],
            lt(CHOOSERS * share_percent / 100),
            "the other choosers have not sampled the idle server"
        );
        expect_that!(used, gt(views.len() / 2));
    }
}

#[gtest]
fn baselines_choose_in_turn_by_load_and_by_cache() {
    let views = [holding(busy(0), 10), loaded(1, 0, 1, 0), server(2)];
    let mut generator = StdRng::seed_from_u64(1);
    let mut keys = |kind| {
        [0, 1, 2, 3].map(|sequence| {
            let choice = choose_server_by(kind, sequence, &views, &SHAPE, &COSTS, &WEIGHTS, &mut generator);
            choice.expect("all are eligible").key
        })
    };
    expect_that!(keys(PolicyKind::RoundRobin), eq([0, 1, 2, 0]));
    expect_that!(keys(PolicyKind::LeastLoaded), eq([2; 4]));
    expect_that!(keys(PolicyKind::Sticky), eq([0; 4]));
}

prop_compose! {
    fn any_view()(
        healthy in any::<bool>(),
        leaving in any::<bool>(),
        calls in any::<[u32; 4]>(),
        tokens in any::<[u64; 6]>(),
    ) -> ServerView {
        ServerView {
            key: 0,
            healthy,
            leaving,
            queued: calls[0],
            running: calls[1],
            capacity: calls[2],
            own_in_flight: calls[3],
            pending_tokens: tokens[0],
            own_in_flight_tokens: tokens[1],
            cache_used: tokens[2],
            cache_size: tokens[3],
            held_tokens: tokens[4],
            report_age_ms: tokens[5],
        }
    }
}

proptest! {
    #[test]
    fn never_chooses_a_leaving_or_unhealthy_server(
        mut views in prop::collection::vec(any_view(), 0..40),
        seed in any::<u64>(),
        sequence in any::<u64>(),
    ) {
        for (key, view) in (0..).zip(&mut views) {
            view.key = key;
        }
        let takes_work = |key: u32| views[key as usize].healthy && !views[key as usize].leaving;
        let any_takes_work = (0..).zip(&views).any(|(key, _)| takes_work(key));
        let mut generator = StdRng::seed_from_u64(seed);
        for kind in [
            PolicyKind::PredictedFinish,
            PolicyKind::RoundRobin,
            PolicyKind::LeastLoaded,
            PolicyKind::Sticky,
        ] {
            let choice = choose_server_by(kind, sequence, &views, &SHAPE, &COSTS, &WEIGHTS, &mut generator);
            prop_assert_eq!(choice.is_some(), any_takes_work);
            prop_assert!(choice.is_none_or(|choice| takes_work(choice.key)));
        }
    }
}
