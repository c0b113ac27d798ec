//! Calls through the agent under faults.

use domain::{CallOutcome, CallReply, TenureNumber};
use errors::RunState;
use googletest::prelude::*;
use standins::{EngineSettings, KeyRuns, ModelEngine, PlainService, ServerHandle, ServiceFaults};
use wire::{EngineCommand, EngineOrder, SettledCall};

use crate::support::{TestAgent, any_port, attempt, chat, context, eventually, program};

async fn engine(settings: EngineSettings) -> (ServerHandle, TestAgent) {
    let engine = ModelEngine::start(any_port(), settings).await.expect("started");
    let agent = TestAgent::start("matcher", engine.address()).await;
    (engine, agent)
}

async fn service(faults: ServiceFaults) -> (ServerHandle, TestAgent) {
    let service = PlainService::start(any_port(), faults).await.expect("started");
    let agent = TestAgent::start("notices", service.address()).await;
    (service, agent)
}

async fn runs(agent: &TestAgent) -> Vec<u64> {
    let text = agent.backend("GET", "/control/runs", "").await;
    let runs: Vec<KeyRuns> = serde_json::from_str(&text).expect("decoded");
    runs.into_iter().map(|runs| runs.runs).collect()
}

fn words(text: &str) -> Vec<&str> {
    text.split_whitespace().skip(1).collect()
}

/// Returns the text and the generated tokens of an answer.
fn answer(outcome: &CallOutcome) -> (&str, u64) {
    match outcome {
        CallOutcome::Answered(CallReply::Chat { text, usage }) => (text, usage.completion_tokens),
        other => panic!("not an answer: {other:?}"),
    }
}

#[gtest]
#[tokio::test]
async fn streams_one_answer_to_every_reader() {
    let (_engine, agent) = engine(EngineSettings::default()).await;
    let first = attempt(program(1), 1, 1);
    agent
        .dispatch(chat(first, "match [tokens=200]", ""))
        .await
        .expect("taken");
    let (left, right) = tokio::join!(agent.read(first), agent.read(first));
    expect_that!(left, eq(&right));
    expect_that!(answer(&left.1), eq((left.0.as_str(), 200)));
    let expected: Vec<_> = (1..200).map(|word| format!("w{word}")).collect();
    expect_that!(words(&left.0), eq(&expected));
}

#[gtest]
#[tokio::test]
async fn resumes_a_stream_whose_connection_stalled() {
    let (_engine, agent) = engine(EngineSettings::default()).await;
    agent
        .backend("POST", "/control/faults", r#"{"silent_next":1}"#)
        .await;
    let first = attempt(program(1), 1, 1);
    agent
        .dispatch(chat(first, "match [tokens=50]", ""))
        .await
        .expect("taken");
    let (text, outcome) = agent.read(first).await;
    expect_that!(answer(&outcome), eq((text.as_str(), 50)));
    let records = agent.backend("GET", "/control/records", "").await;
    expect_that!(records.matches("request_id").count(), eq(1));
}

#[gtest]
#[tokio::test]
async fn continues_the_text_that_a_caller_already_received() {
    let (_engine, agent) = engine(EngineSettings::default()).await;
    let complete = attempt(program(1), 1, 1);
    agent
        .dispatch(chat(complete, "match [tokens=9]", ""))
        .await
        .expect("taken");
    let (text, _) = agent.read(complete).await;
    let prefix = &text[..text.find("w5").expect("nine words")];
    let resumed = attempt(program(2), 1, 2);
    agent
        .dispatch(chat(resumed, "match [tokens=9]", prefix))
        .await
        .expect("taken");
    let (again, outcome) = agent.read(resumed).await;
    expect_that!(again, eq(&text));
    expect_that!(answer(&outcome).0, eq(&text));
}

#[gtest]
#[tokio::test]
async fn runs_a_notice_once_however_often_it_is_dispatched() {
    let (_service, agent) = service(ServiceFaults {
        delay_ms: 100,
        ..ServiceFaults::default()
    })
    .await;
    let clients = [agent.connect().await, agent.connect().await];
    let orders = (0..20).map(|copy| {
        let order = agent.notice(attempt(program(1), 1, 1 + copy % 3), 20_000);
        clients[usize::try_from(copy % 2).expect("small")].dispatch_call(context(), order)
    });
    futures::future::join_all(orders).await;
    let (_, outcome) = agent.read(attempt(program(1), 1, 1)).await;
    expect_that!(matches!(outcome, CallOutcome::Answered(_)), eq(true));
    expect_that!(runs(&agent).await, eq(&vec![1]));
}

#[gtest]
#[tokio::test]
async fn a_notice_without_an_answer_has_an_unknown_outcome_and_never_runs_again() {
    let (_service, agent) = service(ServiceFaults {
        silent_next: 1,
        ..ServiceFaults::default()
    })
    .await;
    let first = attempt(program(1), 1, 1);
    let start = agent.dispatch(agent.notice(first, 300)).await.expect("taken");
    let (_, outcome) = agent.read(first).await;
    expect_that!(
        matches!(&outcome, CallOutcome::Failed(error) if error.run == RunState::OutcomeUnknown),
        eq(true)
    );
    agent
        .dispatch(agent.notice(attempt(program(1), 1, 2), 300))
        .await
        .expect("attached");
    let settled = agent
        .connect()
        .await
        .settle_call(context(), first.call, TenureNumber(1), start)
        .await;
    expect_that!(
        settled.expect("answered"),
        ok(eq(&SettledCall::Finished(outcome)))
    );
    expect_that!(runs(&agent).await, eq(&vec![1]));
}

#[gtest]
#[tokio::test]
async fn a_notice_settled_as_refused_never_runs() {
    let (_service, agent) = service(ServiceFaults::default()).await;
    let start = agent
        .dispatch(agent.notice(attempt(program(1), 9, 1), 20_000))
        .await
        .expect("taken");
    agent.read(attempt(program(1), 9, 1)).await;
    for call in 1..=20 {
        let (first, client) = (attempt(program(1), call, 1), agent.connect().await);
        // The first five dispatches are lost; the others arrive while or after their connection is lost.
        if call > 5 {
            let dispatched = client.dispatch_call(context(), agent.notice(first, 20_000));
            let limit = std::time::Duration::from_micros(call * 20);
            drop(tokio::time::timeout(limit, dispatched).await);
        }
        drop(client);
        let settled = agent
            .connect()
            .await
            .settle_call(context(), first.call, TenureNumber(1), start)
            .await;
        let refused = settled.expect("answered") == Ok(SettledCall::Refused);
        let again = agent.dispatch(agent.notice(first, 20_000)).await;
        expect_that!(again.is_err(), eq(refused), "call {call}");
        if !refused {
            agent.read(first).await;
        }
        let ran = runs(&agent).await.len();
        let keys = agent.backend("GET", "/control/runs", "").await;
        expect_that!(
            keys.contains(&format!("\"p-1-1/{call}\"")),
            eq(!refused),
            "call {call} of {ran}"
        );
    }
    expect_that!(runs(&agent).await, each(eq(&1)));
}

#[gtest]
#[tokio::test]
async fn does_not_run_a_notice_dispatched_for_an_earlier_start() {
    let (_service, mut agent) = service(ServiceFaults::default()).await;
    agent.start += 1;
    let refused = agent
        .dispatch(agent.notice(attempt(program(1), 1, 1), 20_000))
        .await;
    expect_that!(refused.map_err(|error| error.code.number()), err(eq(3017)));
    expect_that!(runs(&agent).await, is_empty());
}

#[gtest]
#[tokio::test]
async fn cancels_a_running_chat_at_the_engine() {
    let slow = EngineSettings {
        step_us: 5_000,
        ..EngineSettings::default()
    };
    let (_engine, agent) = engine(slow).await;
    let first = attempt(program(1), 1, 1);
    agent
        .dispatch(chat(first, "match [tokens=9000]", ""))
        .await
        .expect("taken");
    agent
        .connect()
        .await
        .read_attempt(context(), first, 0, 5_000)
        .await
        .expect("answered")
        .expect("known");
    let cancelled = agent
        .connect()
        .await
        .cancel_call(context(), first.call, TenureNumber(1))
        .await;
    expect_that!(cancelled.expect("answered"), ok(anything()));
    let (_, outcome) = agent.read(first).await;
    expect_that!(
        matches!(outcome, CallOutcome::Failed(error) if error.code.number() == 3013),
        eq(true)
    );
    eventually("the end at the engine", || async {
        agent.backend("GET", "/load", "").await.contains("\"running\":0")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn refuses_an_engine_order_of_an_older_term() {
    let settings = EngineSettings {
        models: vec!["matcher".to_owned()],
        ..EngineSettings::default()
    };
    let (_engine, agent) = engine(settings).await;
    let client = agent.connect().await;
    let order = |term, command| {
        let order = EngineOrder {
            term,
            generation: domain::Generation(1),
            agent_start: agent.start,
            command,
        };
        let sent = client.order_engine(context(), order);
        async { sent.await.expect("answered").map_err(|error| error.code.number()) }
    };
    let model = || "matcher".parse().expect("a name");
    expect_that!(order(6, EngineCommand::Load(model())).await, ok(anything()));
    expect_that!(order(5, EngineCommand::Unload(model())).await, err(eq(3015)));
    expect_that!(
        agent.backend("GET", "/models", "").await,
        contains_substring("matcher")
    );
}
