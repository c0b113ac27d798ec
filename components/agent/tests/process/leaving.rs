//! Planned stops and hosts that are taken away.

use domain::{CallOutcome, HostState};
use errors::RunState;
use googletest::prelude::*;
use standins::{PlainService, ServiceFaults};

use crate::support::{Bench, any_port, attempt, context, program};

const SLOW: ServiceFaults = ServiceFaults {
    delay_ms: 1_000,
    silent_next: 0,
    fail_next: 0,
    hang_next: 0,
};

fn not_run(outcome: &CallOutcome, number: u16) -> bool {
    matches!(outcome, CallOutcome::Failed(error) if error.run == RunState::NotRun && error.code.number() == number)
}

async fn cuts_off_nothing(bench: Bench, begin: impl AsyncFnOnce(&Bench)) {
    // Five calls run; the next two wait.
    for call in 1..=7 {
        bench
            .dispatch(bench.notice(attempt(program(1), call, 1), 20_000))
            .await
            .expect("taken");
    }
    bench
        .hear(|heartbeat| {
            heartbeat
                .load
                .as_ref()
                .is_some_and(|load| (load.running, load.queued) == (5, 2))
        })
        .await;
    begin(&bench).await;
    bench.hear(|heartbeat| heartbeat.leaving).await;
    let late = bench
        .dispatch(bench.notice(attempt(program(1), 8, 1), 20_000))
        .await;
    expect_that!(
        late.map_err(|error| (error.code.number(), error.run)),
        err(eq((3009, RunState::NotRun)))
    );
    for call in 1..=7 {
        let (_, outcome) = bench.read(attempt(program(1), call, 1)).await;
        let answered = matches!(outcome, CallOutcome::Answered(_));
        expect_that!(
            if call <= 5 {
                answered
            } else {
                not_run(&outcome, 3009)
            },
            eq(true),
            "call {call}"
        );
    }
    expect_that!(bench.running.await.expect("no panic"), ok(anything()));
}

async fn slow_bench() -> (standins::ServerHandle, Bench) {
    let service = PlainService::start(any_port(), SLOW).await.expect("started");
    let bench = Bench::start("notices", service.address()).await;
    bench.hear(|heartbeat| heartbeat.generation.0 == 1).await;
    (service, bench)
}

#[gtest]
#[tokio::test]
async fn cuts_off_no_call_at_a_planned_stop() {
    let (_service, bench) = slow_bench().await;
    cuts_off_nothing(bench, async |bench: &Bench| bench.stop.cancel()).await;
}

#[gtest]
#[tokio::test]
async fn cuts_off_no_call_when_an_operator_drains_the_host() {
    let (_service, bench) = slow_bench().await;
    cuts_off_nothing(bench, async |bench: &Bench| {
        bench
            .connect()
            .await
            .drain_host(context())
            .await
            .expect("answered")
            .expect("draining");
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn takes_no_calls_while_the_host_list_shows_the_host_as_leaving() {
    let (_service, bench) = slow_bench().await;
    bench.list_as(HostState::Leaving).await;
    bench.hear(|heartbeat| heartbeat.leaving).await;
    let refused = bench
        .dispatch(bench.notice(attempt(program(1), 1, 1), 20_000))
        .await;
    expect_that!(refused.map_err(|error| error.code.number()), err(eq(3009)));
    bench.list_as(HostState::Live).await;
    bench.hear(|heartbeat| !heartbeat.leaving).await;
    expect_that!(
        bench
            .dispatch(bench.notice(attempt(program(1), 2, 1), 20_000))
            .await,
        ok(anything())
    );
}
