//! Planned stops, drained hosts and hosts that are listed as leaving.

use domain::{CallOutcome, HostState};
use errors::RunState;
use googletest::prelude::*;
use standins::{PlainService, ServiceFaults};

use crate::support::{TestAgent, any_port, attempt, context, program};

const SLOW: ServiceFaults = ServiceFaults {
    delay_ms: 1_000,
    silent_next: 0,
    fail_next: 0,
    hang_next: 0,
};

fn not_run(outcome: &CallOutcome, number: u16) -> bool {
    matches!(outcome, CallOutcome::Failed(error) if error.run == RunState::NotRun && error.code.number() == number)
}

async fn check_no_running_call_is_aborted(agent: TestAgent, start_leaving: impl AsyncFnOnce(&TestAgent)) {
    // The concurrency limit is 5: five calls run and the next two wait.
    for call in 1..=7 {
        agent
            .dispatch(agent.notice(attempt(program(1), call, 1), 20_000))
            .await
            .expect("taken");
    }
    agent
        .wait_for_heartbeat(|heartbeat| {
            heartbeat
                .load
                .as_ref()
                .is_some_and(|load| (load.running, load.queued) == (5, 2))
        })
        .await;
    start_leaving(&agent).await;
    agent.wait_for_heartbeat(|heartbeat| heartbeat.leaving).await;
    let late = agent
        .dispatch(agent.notice(attempt(program(1), 8, 1), 20_000))
        .await;
    expect_that!(
        late.map_err(|error| (error.code.number(), error.run)),
        err(eq((3009, RunState::NotRun)))
    );
    for call in 1..=7 {
        let (_, outcome) = agent.read(attempt(program(1), call, 1)).await;
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
    expect_that!(agent.running.await.expect("no panic"), ok(anything()));
}

async fn slow_agent() -> (standins::ServerHandle, TestAgent) {
    let service = PlainService::start(any_port(), SLOW).await.expect("started");
    let agent = TestAgent::start("notices", service.address()).await;
    agent
        .wait_for_heartbeat(|heartbeat| heartbeat.generation.0 == 1)
        .await;
    (service, agent)
}

#[gtest]
#[tokio::test]
async fn a_planned_stop_aborts_no_running_call() {
    let (_service, agent) = slow_agent().await;
    check_no_running_call_is_aborted(agent, async |agent: &TestAgent| agent.stop.cancel()).await;
}

#[gtest]
#[tokio::test]
async fn draining_the_host_aborts_no_running_call() {
    let (_service, agent) = slow_agent().await;
    check_no_running_call_is_aborted(agent, async |agent: &TestAgent| {
        agent
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
async fn refuses_calls_while_the_host_list_shows_the_host_as_leaving() {
    let (_service, agent) = slow_agent().await;
    agent.set_listed_state(HostState::Leaving).await;
    agent.wait_for_heartbeat(|heartbeat| heartbeat.leaving).await;
    let refused = agent
        .dispatch(agent.notice(attempt(program(1), 1, 1), 20_000))
        .await;
    expect_that!(refused.map_err(|error| error.code.number()), err(eq(3009)));
    agent.set_listed_state(HostState::Live).await;
    agent.wait_for_heartbeat(|heartbeat| !heartbeat.leaving).await;
    expect_that!(
        agent
            .dispatch(agent.notice(attempt(program(1), 2, 1), 20_000))
            .await,
        ok(anything())
    );
}
