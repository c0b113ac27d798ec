//! Benchmarks of the choice of a backend server and of the queue of waiting calls, at three sizes each.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use domain::{PolicyWeights, TimeMillis, UrgencyClass};
use policy::{CallFacts, CallQueue, CallShape, ServerCosts, ServerView, call_priority, choose_server};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

const SERVERS: [u32; 3] = [60, 240, 600];
const PROGRAMS: [u32; 3] = [6_000, 19_000, 57_000];
const NOW: TimeMillis = TimeMillis(1_800_000_000_000);

fn any_server(key: u32, generator: &mut StdRng) -> ServerView {
    ServerView {
        key,
        healthy: generator.random_ratio(98, 100),
        leaving: generator.random_ratio(1, 100),
        queued: generator.random_range(0..30),
        running: generator.random_range(0..16),
        capacity: 16,
        pending_tokens: generator.random_range(0..30_000),
        own_in_flight: generator.random_range(0..4),
        own_in_flight_tokens: generator.random_range(0..4_000),
        cache_used: generator.random_range(0..2_000_000),
        cache_size: 2_000_000,
        held_tokens: 0,
        report_age_ms: generator.random_range(0..2_000),
    }
}

/// Returns a call that is queued `millis` milliseconds after `NOW`. The handicaps spread its priority over
/// the following minute.
fn any_call(millis: u64, generator: &mut StdRng) -> CallFacts {
    let queued_at = NOW.plus(millis);
    CallFacts {
        urgency: UrgencyClass::Ordinary,
        deadline: Some(queued_at.plus(generator.random_range(0..100_000))),
        queued_at,
        served_tokens: generator.random_range(0..840_000),
        predicted_ms: generator.random_range(0..20_000),
    }
}

fn bench_choice(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose_server");
    let (shape, costs) = (
        CallShape {
            prompt_tokens: 8_000,
            max_tokens: 400,
            urgency: UrgencyClass::Ordinary,
        },
        ServerCosts {
            prefill_us_per_token: 200,
            decode_us_per_token: 20_000,
        },
    );
    let weights = PolicyWeights {
        program_latency: 1_000,
        wasted_cache: 300,
    };
    for servers in SERVERS {
        let mut generator = StdRng::seed_from_u64(7);
        let views: Vec<ServerView> = (0..servers).map(|key| any_server(key, &mut generator)).collect();
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter(|| choose_server(black_box(&views), &shape, &costs, &weights, &mut generator));
        });
    }
    group.finish();
}

fn bench_queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue_insert_and_pop");
    for programs in PROGRAMS {
        let mut generator = StdRng::seed_from_u64(7);
        let mut queue = CallQueue::new();
        for call in 0..programs {
            queue.insert(
                call_priority(&any_call(u64::from(call), &mut generator), NOW),
                call,
            );
        }
        let mut millis = u64::from(programs);
        group.bench_function(BenchmarkId::from_parameter(programs), |bencher| {
            bencher.iter(|| {
                millis += 1;
                let facts = any_call(black_box(millis), &mut generator);
                queue.insert(call_priority(&facts, NOW), 0);
                queue.pop()
            });
        });
    }
    group.finish();
}

fn short_runs() -> Criterion {
    let criterion = Criterion::default().warm_up_time(Duration::from_millis(500));
    criterion.measurement_time(Duration::from_secs(2))
}

criterion_group! {
    name = benches;
    config = short_runs();
    targets = bench_choice, bench_queue
}
criterion_main!(benches);
