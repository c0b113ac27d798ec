//! Calls whose agent is killed or whose backend server stops answering.

mod common;

use common::{
    ENGINES, caller, expect_consistent_program, expect_single_runs, first_answer, first_turn, session, start,
};
use googletest::prelude::*;
use serde_json::{Value, json};
use standins::{Deployment, TeamCaller};

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_continues_at_another_engine_after_its_agent_is_killed() {
    let (mut testbed, _permit) = start(Deployment::kelanimatch().with_step_us(20_000)).await;
    let mut session = session(&testbed, 0).await;
    let program = session.program().to_owned();
    let turn = tokio::spawn(async move {
        let result = session.stream("user", "long", 100).await;
        (session, result)
    });
    let host = testbed.wait_generating(&ENGINES, &program, 10).await.unwrap();
    testbed.kill(&host).await.unwrap();
    let (session, result) = turn.await.unwrap();
    result.unwrap();
    expect_that!(session.tally().retried, eq(0), "the caller had to retry");
    expect_consistent_program(&testbed, session).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stalled_engine_connection_loses_no_token() {
    let (testbed, _permit) = start(Deployment::kelanimatch()).await;
    for engine in ENGINES {
        testbed
            .set_faults(engine, &json!({"silent_next": 1}))
            .await
            .unwrap();
    }
    let mut caller = caller(&testbed, 0);
    let program = caller.start_program("interactive", None).await.unwrap();
    let turn = first_turn(&program, "quiet [tokens=30]");
    let answer = caller.take_turn(&turn).await.unwrap();
    expect_that!(answer.text, eq(&first_answer(&turn, 30)));
    expect_that!(answer.usage["completion_tokens"], eq(&json!(30)));
}

/// A fault of the service `notices` that leaves a call without an answer, and how often the call runs in
/// spite of it.
struct UnansweredCase {
    faults: Value,
    runs: usize,
}

fn unanswered_cases() -> [UnansweredCase; 2] {
    let silent = UnansweredCase {
        faults: json!({"silent_next": 1}),
        runs: 1,
    };
    let hung = UnansweredCase {
        faults: json!({"hang_next": 1}),
        runs: 0,
    };
    [silent, hung]
}

async fn send_note(caller: &mut TeamCaller, program: &str, note: &Value) -> (u16, Option<String>, Value) {
    let (reply, _) = caller
        .call_service(program, "note", "notices/notes", note)
        .await
        .unwrap();
    let run = reply.header("azuretide-run").map(str::to_owned);
    (reply.status, run, reply.decode().unwrap_or_default())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unconfirmed_note_has_an_unknown_outcome_and_never_runs_again() {
    let deployment = Deployment::kelanimatch()
        .with_configuration_replaced("call-timeout-ms = 60000", "call-timeout-ms = 2000");
    let (testbed, _permit) = start(deployment).await;
    for case in unanswered_cases() {
        println!("faults {}", case.faults);
        let before = testbed.service_calls("notices-1").await.unwrap().len();
        testbed.set_faults("notices-1", &case.faults).await.unwrap();
        let mut caller = caller(&testbed, 0).with_retry_period_ms(8_000);
        let program = caller.start_program("interactive", None).await.unwrap();
        let note = json!({"note": case.faults});
        for _ in 0..2 {
            let (status, run, body) = send_note(&mut caller, &program, &note).await;
            expect_that!(status, eq(504));
            expect_that!(run.as_deref(), some(eq("outcome-unknown")));
            expect_that!(body["error"]["code"], eq(&json!(4001)));
        }
        let after = testbed.service_calls("notices-1").await.unwrap().len();
        expect_that!(after - before, eq(case.runs));
    }
    expect_single_runs(&testbed, "notices-1").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn note_whose_agent_is_killed_after_dispatch_runs_once() {
    let mut deployment = Deployment::kelanimatch();
    for backend in &mut deployment.backends {
        if backend.name == "notices-1" {
            backend.kind = standins::BackendKind::Service(1_000);
        }
    }
    let (mut testbed, _permit) = start(deployment).await;
    let mut caller = caller(&testbed, 0).with_retry_period_ms(10_000);
    let program = caller.start_program("interactive", None).await.unwrap();
    let note = json!({"note": "once"});
    let sending = tokio::spawn({
        let (note, program) = (note.clone(), program.clone());
        async move { send_note(&mut caller, &program, &note).await }
    });
    testbed.wait_service_calls("notices-1", 1).await.unwrap();
    testbed.kill("notices-1").await.unwrap();
    testbed.start_host("notices-1").unwrap();
    let (status, run, body) = sending.await.unwrap();
    println!("status {status} run {run:?} body {body}");
    expect_that!(status, eq(504));
    expect_that!(run.as_deref(), some(eq("outcome-unknown")));
    expect_that!(testbed.service_calls("notices-1").await.unwrap().len(), eq(1));
    testbed.wait_ready().await.unwrap();
    let session = session(&testbed, 1).await;
    expect_consistent_program(&testbed, session).await;
    expect_single_runs(&testbed, "notices-1").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn note_refused_as_not_run_has_not_run() {
    let (mut testbed, _permit) = start(Deployment::kelanimatch()).await;
    let mut caller = caller(&testbed, 0).with_retry_period_ms(0);
    let program = caller.start_program("interactive", None).await.unwrap();
    testbed.kill("notices-1").await.unwrap();
    let note = json!({"note": "agent down"});
    let (status, run, body) = send_note(&mut caller, &program, &note).await;
    println!("status {status} run {run:?} body {body}");
    expect_that!(status, eq(503));
    expect_that!(run.as_deref(), some(eq("not-run")));
    expect_that!(testbed.service_calls("notices-1").await.unwrap(), is_empty());
    testbed.start_host("notices-1").unwrap();
    testbed.wait_ready().await.unwrap();
    // After a refusal, the same key may be retried, and then runs once.
    let mut retrying_caller = common::caller(&testbed, 0);
    let (status, _, _) = send_note(&mut retrying_caller, &program, &note).await;
    expect_that!(status, eq(200));
    expect_that!(testbed.service_calls("notices-1").await.unwrap().len(), eq(1));
}

/// Number of refusals of one key. It exceeds the limit at which repeated equal calls of a program are refused
/// as a loop.
const REFUSALS: usize = 30;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn key_refused_as_not_run_many_times_still_runs_once() {
    let (mut testbed, _permit) = start(Deployment::kelanimatch()).await;
    let mut no_retry_caller = caller(&testbed, 0).with_retry_period_ms(0);
    let program = no_retry_caller.start_program("interactive", None).await.unwrap();
    testbed.kill("notices-1").await.unwrap();
    let note = json!({"note": "patience"});
    for _ in 0..REFUSALS {
        let (status, run, body) = send_note(&mut no_retry_caller, &program, &note).await;
        expect_that!((status, run.as_deref()), eq((503, Some("not-run"))), "{body}");
    }
    testbed.start_host("notices-1").unwrap();
    testbed.wait_ready().await.unwrap();
    let (status, _, body) = send_note(&mut caller(&testbed, 0), &program, &note).await;
    expect_that!(status, eq(200), "{body}");
    expect_that!(testbed.service_calls("notices-1").await.unwrap().len(), eq(1));
}
