//! Cache of programs that have ended.

use domain::{ProgramKey, TenureNumber};
use googletest::prelude::*;
use standins::{EngineSettings, ModelEngine, ServerHandle};

use crate::support::{Bench, any_port, attempt, chat, context, eventually, program};

async fn engine() -> ServerHandle {
    ModelEngine::start(any_port(), EngineSettings::default())
        .await
        .expect("started")
}

async fn run_chat(bench: &Bench, program: ProgramKey) {
    let first = attempt(program, 1, 1);
    bench.dispatch(chat(first, "match", "")).await.expect("taken");
    bench.read(first).await;
}

async fn holds(bench: &Bench, program: ProgramKey) -> bool {
    bench
        .backend("GET", "/cache", "")
        .await
        .contains(&format!("\"{program}\""))
}

async fn released(bench: &Bench, program: ProgramKey) {
    eventually("the release", || async { !holds(bench, program).await }).await;
}

#[gtest]
#[tokio::test]
async fn releases_the_cache_although_the_owners_message_was_lost() {
    let engine = engine().await;
    let bench = Bench::start("matcher", engine.address()).await;
    run_chat(&bench, program(1)).await;
    run_chat(&bench, program(2)).await;
    expect_that!(holds(&bench, program(1)).await, eq(true));
    bench.entries[0].state().ended = vec![program(1)];
    released(&bench, program(1)).await;
    let question = (program(2), TenureNumber(1));
    let asked = || async { bench.entries[0].state().questions.contains(&question) };
    eventually("the question about the running program", asked).await;
    expect_that!(holds(&bench, program(2)).await, eq(true));
    // The answer to a question frees memory only: had it been wrong, the program could go on.
    let again = bench.dispatch(chat(attempt(program(1), 2, 1), "match", "")).await;
    expect_that!(again, ok(anything()));
    bench.read(attempt(program(1), 2, 1)).await;
    released(&bench, program(1)).await;
}

#[gtest]
#[tokio::test]
async fn releases_cache_that_an_earlier_start_of_the_agent_left_behind() {
    let engine = engine().await;
    let before = Bench::start("matcher", engine.address()).await;
    run_chat(&before, program(1)).await;
    before.running.abort();
    let bench = Bench::start("matcher", engine.address()).await;
    bench.entries[0].state().ended = vec![program(1)];
    released(&bench, program(1)).await;
}

#[gtest]
#[tokio::test]
async fn releases_the_cache_once_a_frozen_engine_answers_again() {
    let engine = engine().await;
    let bench = Bench::start("matcher", engine.address()).await;
    run_chat(&bench, program(1)).await;
    bench
        .backend("POST", "/control/faults", r#"{"freeze":true}"#)
        .await;
    bench
        .connect()
        .await
        .release_program(context(), program(1), TenureNumber(1))
        .await
        .expect("answered")
        .expect("ended");
    bench
        .hear(|heartbeat| heartbeat.load.as_ref().is_some_and(|load| !load.healthy))
        .await;
    bench
        .backend("POST", "/control/faults", r#"{"freeze":false}"#)
        .await;
    released(&bench, program(1)).await;
    let refused = bench.dispatch(chat(attempt(program(1), 2, 1), "match", "")).await;
    expect_that!(refused.map_err(|error| error.code.number()), err(eq(1007)));
}

#[gtest]
#[tokio::test]
async fn asks_any_live_entry_when_the_birth_incarnation_is_dead() {
    let engine = engine().await;
    let bench = Bench::start("matcher", engine.address()).await;
    let orphan = ProgramKey {
        incarnation: domain::IncarnationId(9),
        sequence: 1,
    };
    run_chat(&bench, orphan).await;
    bench.entries[0].state().ended = vec![orphan];
    released(&bench, orphan).await;
}
