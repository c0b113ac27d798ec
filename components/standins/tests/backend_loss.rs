//! Agents that die and backend servers that fall silent.

mod common;

use common::{
    ENGINES, caller, expect_in_order, expect_single_runs, first_answer, first_turn, session, start,
};
use googletest::prelude::*;
use serde_json::{Value, json};
use standins::{Deployment, TeamCaller};

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_at_another_engine_after_its_agent_is_killed() {
    let (mut testbed, _permit) = start(Deployment::kelanimatch().with_step_us(20_000)).await;
    let mut session = session(&testbed, 0).await;
    let program = session.program().to_owned();
    let turn = tokio::spawn(async move {
        let played = session.stream("user", "long", 100).await;
        (session, played)
    });
    let host = testbed.wait_generating(&ENGINES, &program, 10).await.unwrap();
    testbed.kill(&host).await.unwrap();
    let (session, played) = turn.await.unwrap();
    played.unwrap();
    expect_that!(session.tally().retried, eq(0), "the caller noticed the loss");
    expect_in_order(&testbed, session).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn silent_engine_connection_loses_no_token() {
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

/// A fault of the notices' service and how often a call may have run behind it.
struct SilenceCase {
    faults: Value,
    runs: usize,
}

fn silence_cases() -> [SilenceCase; 2] {
    let silent = SilenceCase {
        faults: json!({"silent_next": 1}),
        runs: 1,
    };
    let hung = SilenceCase {
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
async fn unproved_note_is_outcome_unknown_and_never_runs_again() {
    let deployment = Deployment::kelanimatch()
        .with_configuration_replaced("call-timeout-ms = 60000", "call-timeout-ms = 2000");
    let (testbed, _permit) = start(deployment).await;
    for case in silence_cases() {
        println!("faults {}", case.faults);
        let before = testbed.service_calls("notices-1").await.unwrap().len();
        testbed.set_faults("notices-1", &case.faults).await.unwrap();
        let mut caller = caller(&testbed, 0).with_patience_ms(8_000);
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
    let mut caller = caller(&testbed, 0).with_patience_ms(10_000);
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
    expect_in_order(&testbed, session).await;
    expect_single_runs(&testbed, "notices-1").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn note_refused_as_not_run_has_not_run() {
    let (mut testbed, _permit) = start(Deployment::kelanimatch()).await;
    let mut caller = caller(&testbed, 0).with_patience_ms(0);
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
    // The same key may be tried again after a refusal and then runs once.
    let mut patient = common::caller(&testbed, 0);
    let (status, _, _) = send_note(&mut patient, &program, &note).await;
    expect_that!(status, eq(200));
    expect_that!(testbed.service_calls("notices-1").await.unwrap().len(), eq(1));
}

/// Refusals of one key, more than the repetition limit of a program that runs in circles.
const REFUSALS: usize = 30;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn key_refused_as_not_run_many_times_still_runs_once() {
    let (mut testbed, _permit) = start(Deployment::kelanimatch()).await;
    let mut hasty = caller(&testbed, 0).with_patience_ms(0);
    let program = hasty.start_program("interactive", None).await.unwrap();
    testbed.kill("notices-1").await.unwrap();
    let note = json!({"note": "patience"});
    for _ in 0..REFUSALS {
        let (status, run, body) = send_note(&mut hasty, &program, &note).await;
        expect_that!((status, run.as_deref()), eq((503, Some("not-run"))), "{body}");
    }
    testbed.start_host("notices-1").unwrap();
    testbed.wait_ready().await.unwrap();
    let (status, _, body) = send_note(&mut caller(&testbed, 0), &program, &note).await;
    expect_that!(status, eq(200), "{body}");
    expect_that!(testbed.service_calls("notices-1").await.unwrap().len(), eq(1));
}
