//! Release of the engine's cache of programs that have ended.

use domain::{ProgramKey, TenureNumber};
use googletest::prelude::*;
use standins::{EngineSettings, ModelEngine, ServerHandle};

use crate::support::{TestAgent, any_port, attempt, chat, context, eventually, program};

async fn engine() -> ServerHandle {
    ModelEngine::start(any_port(), EngineSettings::default())
        .await
        .expect("started")
}

async fn run_chat(agent: &TestAgent, program: ProgramKey) {
    let first = attempt(program, 1, 1);
    agent.dispatch(chat(first, "match", "")).await.expect("taken");
    agent.read(first).await;
}

async fn has_cache(agent: &TestAgent, program: ProgramKey) -> bool {
    agent
        .backend("GET", "/cache", "")
        .await
        .contains(&format!("\"{program}\""))
}

async fn await_release(agent: &TestAgent, program: ProgramKey) {
    eventually("the release", || async { !has_cache(agent, program).await }).await;
}

#[gtest]
#[tokio::test]
async fn releases_the_cache_after_the_message_of_the_owner_was_lost() {
    let engine = engine().await;
    let agent = TestAgent::start("matcher", engine.address()).await;
    run_chat(&agent, program(1)).await;
    run_chat(&agent, program(2)).await;
    expect_that!(has_cache(&agent, program(1)).await, eq(true));
    agent.entries[0].state().ended = vec![program(1)];
    await_release(&agent, program(1)).await;
    let query = (program(2), TenureNumber(1));
    let is_queried = || async { agent.entries[0].state().queries.contains(&query) };
    eventually("the query about the running program", is_queried).await;
    expect_that!(has_cache(&agent, program(2)).await, eq(true));
    // The answer to a query only releases cache. The program can continue, in case the answer was wrong.
    let again = agent.dispatch(chat(attempt(program(1), 2, 1), "match", "")).await;
    expect_that!(again, ok(anything()));
    agent.read(attempt(program(1), 2, 1)).await;
    await_release(&agent, program(1)).await;
}

#[gtest]
#[tokio::test]
async fn releases_cache_that_an_earlier_start_of_the_agent_left_behind() {
    let engine = engine().await;
    let before = TestAgent::start("matcher", engine.address()).await;
    run_chat(&before, program(1)).await;
    before.running.abort();
    let agent = TestAgent::start("matcher", engine.address()).await;
    agent.entries[0].state().ended = vec![program(1)];
    await_release(&agent, program(1)).await;
}

#[gtest]
#[tokio::test]
async fn releases_the_cache_once_a_frozen_engine_answers_again() {
    let engine = engine().await;
    let agent = TestAgent::start("matcher", engine.address()).await;
    run_chat(&agent, program(1)).await;
    agent
        .backend("POST", "/control/faults", r#"{"freeze":true}"#)
        .await;
    agent
        .connect()
        .await
        .release_program(context(), program(1), TenureNumber(1))
        .await
        .expect("answered")
        .expect("ended");
    agent
        .wait_for_heartbeat(|heartbeat| heartbeat.load.as_ref().is_some_and(|load| !load.healthy))
        .await;
    agent
        .backend("POST", "/control/faults", r#"{"freeze":false}"#)
        .await;
    await_release(&agent, program(1)).await;
    let refused = agent.dispatch(chat(attempt(program(1), 2, 1), "match", "")).await;
    expect_that!(refused.map_err(|error| error.code.number()), err(eq(1007)));
}

#[gtest]
#[tokio::test]
async fn any_live_entry_is_queried_when_the_creating_incarnation_is_not_live() {
    let engine = engine().await;
    let agent = TestAgent::start("matcher", engine.address()).await;
    let orphan = ProgramKey {
        incarnation: domain::IncarnationId(9),
        sequence: 1,
    };
    run_chat(&agent, orphan).await;
    agent.entries[0].state().ended = vec![orphan];
    await_release(&agent, orphan).await;
}
