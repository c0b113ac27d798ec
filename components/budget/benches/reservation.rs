//! Cost of admitting, reserving and settling a call from a held slice, for three numbers of teams.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use budget::BudgetManager;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use domain::{CallLimits, IncarnationId, MicroUnits, ServicePrices, TeamConfig, TimeMillis, TokenUsage};
use futures::FutureExt as _;
use policy::{AdmissionFacts, admit_call, exact_price, worst_case_price};
use store::MemoryStore;

const TEAMS: [usize; 3] = [4, 40, 400];
const NOW: TimeMillis = TimeMillis(1_800_000_000_000);
const FACTS: AdmissionFacts = AdmissionFacts {
    now: NOW,
    deadline: Some(TimeMillis(NOW.0 + 60_000)),
    started: NOW,
    turns: 10,
    repetitions: 1,
    dependencies_up: true,
    live_servers: 10,
    predicted_ms: 2_000,
    wait_ms: 500,
};
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
const PRICES: ServicePrices = ServicePrices {
    per_call: MicroUnits(10),
    per_prompt_token: MicroUnits(3),
    per_cached_token: MicroUnits(1),
    per_completion_token: MicroUnits(15),
};

fn team(number: usize) -> TeamConfig {
    TeamConfig {
        name: format!("team-{number:04}").parse().expect("the name is valid"),
        key_sha256: "0".repeat(64),
        budget: MicroUnits(u64::MAX / 2),
        window_s: 86_400,
        weight: 1,
    }
}

fn bench_admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit_reserve_and_settle");
    let usage = TokenUsage {
        prompt_tokens: 8_000,
        cached_tokens: 7_000,
        completion_tokens: 200,
    };
    for count in TEAMS {
        let teams: Vec<TeamConfig> = (0..count).map(team).collect();
        let manager = BudgetManager::new(Arc::new(MemoryStore::new()), IncarnationId(1));
        manager.set_teams(&teams, 1);
        let payer = &teams[count / 2].name;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                admit_call(black_box(&FACTS), &LIMITS).expect("the facts allow the call");
                let worst_case = worst_case_price(&PRICES, usage.prompt_tokens, 400);
                let reserved = manager.reserve(payer, worst_case).now_or_never();
                let reservation = reserved
                    .expect("the store answers at once")
                    .expect("the budget suffices");
                manager.settle(&reservation, exact_price(&PRICES, &usage));
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
    targets = bench_admission
}
criterion_main!(benches);
