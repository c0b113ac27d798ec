//! Calls through the agent under faults.

use domain::{CallOutcome, CallReply, TenureNumber};
use errors::RunState;
use googletest::prelude::*;
use standins::{EngineSettings, KeyRuns, ModelEngine, PlainService, ServerHandle, ServiceFaults};
use wire::{EngineCommand, EngineOrder, SettledCall};

use crate::support::{Bench, any_port, attempt, chat, context, eventually, program};

async fn engine(settings: EngineSettings) -> (ServerHandle, Bench) {
    let engine = ModelEngine::start(any_port(), settings).await.expect("started");
    let bench = Bench::start("matcher", engine.address()).await;
    (engine, bench)
}

async fn service(faults: ServiceFaults) -> (ServerHandle, Bench) {
    let service = PlainService::start(any_port(), faults).await.expect("started");
    let bench = Bench::start("notices", service.address()).await;
    (service, bench)
}

async fn runs(bench: &Bench) -> Vec<u64> {
    let text = bench.backend("GET", "/control/runs", "").await;
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
    let (_engine, bench) = engine(EngineSettings::default()).await;
    let first = attempt(program(1), 1, 1);
    bench
        .dispatch(chat(first, "match [tokens=200]", ""))
        .await
        .expect("taken");
    let (left, right) = tokio::join!(bench.read(first), bench.read(first));
    expect_that!(left, eq(&right));
    expect_that!(answer(&left.1), eq((left.0.as_str(), 200)));
    let expected: Vec<_> = (1..200).map(|word| format!("w{word}")).collect();
    expect_that!(words(&left.0), eq(&expected));
}

#[gtest]
#[tokio::test]
async fn resumes_a_stream_whose_connection_went_silent() {
    let (_engine, bench) = engine(EngineSettings::default()).await;
    bench
        .backend("POST", "/control/faults", r#"{"silent_next":1}"#)
        .await;
    let first = attempt(program(1), 1, 1);
    bench
        .dispatch(chat(first, "match [tokens=50]", ""))
        .await
        .expect("taken");
    let (text, outcome) = bench.read(first).await;
    expect_that!(answer(&outcome), eq((text.as_str(), 50)));
    let records = bench.backend("GET", "/control/records", "").await;
    expect_that!(records.matches("request_id").count(), eq(1));
}

#[gtest]
#[tokio::test]
async fn continues_the_text_that_a_caller_already_holds() {
    let (_engine, bench) = engine(EngineSettings::default()).await;
    let whole = attempt(program(1), 1, 1);
    bench
        .dispatch(chat(whole, "match [tokens=9]", ""))
        .await
        .expect("taken");
    let (text, _) = bench.read(whole).await;
    let prefix = &text[..text.find("w5").expect("nine words")];
    let resumed = attempt(program(2), 1, 2);
    bench
        .dispatch(chat(resumed, "match [tokens=9]", prefix))
        .await
        .expect("taken");
    let (again, outcome) = bench.read(resumed).await;
    expect_that!(again, eq(&text));
    expect_that!(answer(&outcome).0, eq(&text));
}

#[gtest]
#[tokio::test]
async fn runs_a_notice_once_however_often_it_is_dispatched() {
    let (_service, bench) = service(ServiceFaults {
        delay_ms: 100,
        ..ServiceFaults::default()
    })
    .await;
    let clients = [bench.connect().await, bench.connect().await];
    let orders = (0..20).map(|copy| {
        let order = bench.notice(attempt(program(1), 1, 1 + copy % 3), 20_000);
        clients[usize::try_from(copy % 2).expect("small")].dispatch_call(context(), order)
    });
    futures::future::join_all(orders).await;
    let (_, outcome) = bench.read(attempt(program(1), 1, 1)).await;
    expect_that!(matches!(outcome, CallOutcome::Answered(_)), eq(true));
    expect_that!(runs(&bench).await, eq(&vec![1]));
}

#[gtest]
#[tokio::test]
async fn does_not_know_the_outcome_of_a_notice_that_stays_silent_and_never_runs_it_again() {
    let (_service, bench) = service(ServiceFaults {
        silent_next: 1,
        ..ServiceFaults::default()
    })
    .await;
    let first = attempt(program(1), 1, 1);
    let start = bench.dispatch(bench.notice(first, 300)).await.expect("taken");
    let (_, outcome) = bench.read(first).await;
    expect_that!(
        matches!(&outcome, CallOutcome::Failed(error) if error.run == RunState::OutcomeUnknown),
        eq(true)
    );
    bench
        .dispatch(bench.notice(attempt(program(1), 1, 2), 300))
        .await
        .expect("attached");
    let settled = bench
        .connect()
        .await
        .settle_call(context(), first.call, TenureNumber(1), start)
        .await;
    expect_that!(
        settled.expect("answered"),
        ok(eq(&SettledCall::Finished(outcome)))
    );
    expect_that!(runs(&bench).await, eq(&vec![1]));
}

#[gtest]
#[tokio::test]
async fn never_runs_a_notice_that_it_has_promised_to_refuse() {
    let (_service, bench) = service(ServiceFaults::default()).await;
    let start = bench
        .dispatch(bench.notice(attempt(program(1), 9, 1), 20_000))
        .await
        .expect("taken");
    bench.read(attempt(program(1), 9, 1)).await;
    for call in 1..=20 {
        let (first, client) = (attempt(program(1), call, 1), bench.connect().await);
        // The first five dispatches are lost; the others arrive while or after their connection is lost.
        if call > 5 {
            let dispatched = client.dispatch_call(context(), bench.notice(first, 20_000));
            let limit = std::time::Duration::from_micros(call * 20);
            drop(tokio::time::timeout(limit, dispatched).await);
        }
        drop(client);
        let settled = bench
            .connect()
            .await
            .settle_call(context(), first.call, TenureNumber(1), start)
            .await;
        let refused = settled.expect("answered") == Ok(SettledCall::Refused);
        let again = bench.dispatch(bench.notice(first, 20_000)).await;
        expect_that!(again.is_err(), eq(refused), "call {call}");
        if !refused {
            bench.read(first).await;
        }
        let ran = runs(&bench).await.len();
        let keys = bench.backend("GET", "/control/runs", "").await;
        expect_that!(
            keys.contains(&format!("\"p-1-1/{call}\"")),
            eq(!refused),
            "call {call} of {ran}"
        );
    }
    expect_that!(runs(&bench).await, each(eq(&1)));
}

#[gtest]
#[tokio::test]
async fn does_not_run_a_notice_that_was_meant_for_an_earlier_start() {
    let (_service, mut bench) = service(ServiceFaults::default()).await;
    bench.start += 1;
    let refused = bench
        .dispatch(bench.notice(attempt(program(1), 1, 1), 20_000))
        .await;
    expect_that!(refused.map_err(|error| error.code.number()), err(eq(3017)));
    expect_that!(runs(&bench).await, is_empty());
}

#[gtest]
#[tokio::test]
async fn cancels_a_running_chat_at_the_engine() {
    let slow = EngineSettings {
        step_us: 5_000,
        ..EngineSettings::default()
    };
    let (_engine, bench) = engine(slow).await;
    let first = attempt(program(1), 1, 1);
    bench
        .dispatch(chat(first, "match [tokens=9000]", ""))
        .await
        .expect("taken");
    bench
        .connect()
        .await
        .read_attempt(context(), first, 0, 5_000)
        .await
        .expect("answered")
        .expect("known");
    let cancelled = bench
        .connect()
        .await
        .cancel_call(context(), first.call, TenureNumber(1))
        .await;
    expect_that!(cancelled.expect("answered"), ok(anything()));
    let (_, outcome) = bench.read(first).await;
    expect_that!(
        matches!(outcome, CallOutcome::Failed(error) if error.code.number() == 3013),
        eq(true)
    );
    eventually("the end at the engine", || async {
        bench.backend("GET", "/load", "").await.contains("\"running\":0")
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn passes_no_order_on_whose_term_is_old() {
    let settings = EngineSettings {
        models: vec!["matcher".to_owned()],
        ..EngineSettings::default()
    };
    let (_engine, bench) = engine(settings).await;
    let client = bench.connect().await;
    let order = |term, command| {
        let order = EngineOrder {
            term,
            generation: domain::Generation(1),
            agent_start: bench.start,
            command,
        };
        let sent = client.order_engine(context(), order);
        async { sent.await.expect("answered").map_err(|error| error.code.number()) }
    };
    let model = || "matcher".parse().expect("a name");
    expect_that!(order(6, EngineCommand::Load(model())).await, ok(anything()));
    expect_that!(order(5, EngineCommand::Unload(model())).await, err(eq(3015)));
    expect_that!(
        bench.backend("GET", "/models", "").await,
        contains_substring("matcher")
    );
}
