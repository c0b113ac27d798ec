//! The object API's outage in mid-program, and one note sent through two entries at once.

mod common;

use common::{caller, expect_in_order, expect_single_runs, session, start};
use googletest::prelude::*;
use serde_json::{Value, json};
use standins::Deployment;

/// Keys that are each sent twice at once.
const DOUBLED_KEYS: usize = 20;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn program_goes_on_after_an_outage_of_the_object_api() {
    let (testbed, _permit) = start(Deployment::kelanimatch()).await;
    let mut session = session(&testbed, 0).await;
    session.turn("user", "opening", 5).await.unwrap();
    testbed
        .set_faults("object-api", &json!({"outage": true}))
        .await
        .unwrap();
    let turn = tokio::spawn(async move {
        let played = session.turn("user", "during the outage", 5).await;
        (session, played)
    });
    testbed.wait_object_refusals(3).await.unwrap();
    testbed.set_faults("object-api", &json!({})).await.unwrap();
    let (session, played) = turn.await.unwrap();
    played.unwrap();
    expect_in_order(&testbed, session).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn note_in_an_outage_is_refused_as_not_run_with_a_time_to_come_back() {
    let (testbed, _permit) = start(Deployment::kelanimatch()).await;
    let mut hasty = caller(&testbed, 0).with_patience_ms(0);
    let program = hasty.start_program("interactive", None).await.unwrap();
    testbed
        .set_faults("object-api", &json!({"outage": true}))
        .await
        .unwrap();
    let note = json!({"note": "in the outage"});
    let (reply, _) = hasty
        .call_service(&program, "note", "notices/notes", &note)
        .await
        .unwrap();
    println!("status {} body {}", reply.status, reply.text());
    expect_that!(reply.status, eq(503));
    expect_that!(reply.header("azuretide-run"), some(eq("not-run")));
    expect_that!(reply.header("retry-after"), some(anything()));
    expect_that!(testbed.service_calls("notices-1").await.unwrap(), is_empty());
    testbed.set_faults("object-api", &json!({})).await.unwrap();
    let (reply, _) = caller(&testbed, 0)
        .call_service(&program, "note", "notices/notes", &note)
        .await
        .unwrap();
    expect_that!(reply.status, eq(200));
    expect_that!(testbed.service_calls("notices-1").await.unwrap().len(), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_object_api_lose_no_turn() {
    let (testbed, _permit) = start(Deployment::kelanimatch()).await;
    let mut session = session(&testbed, 0).await;
    for faults in [
        json!({"lose_answers": 1}),
        json!({"lose_requests": 1}),
        json!({"lose_answers": 3}),
    ] {
        println!("faults {faults}");
        testbed.set_faults("object-api", &faults).await.unwrap();
        session.turn("user", "opening", 5).await.unwrap();
    }
    expect_in_order(&testbed, session).await;
    expect_single_runs(&testbed, "notices-1").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn note_sent_through_two_entries_at_once_runs_once() {
    let (testbed, _permit) = start(Deployment::kelanimatch()).await;
    let program = caller(&testbed, 0)
        .start_program("interactive", None)
        .await
        .unwrap();
    for number in 0..DOUBLED_KEYS {
        let key = format!("note-{number}");
        let note = json!({"note": number});
        let (mut left, mut right) = (caller(&testbed, 0), caller(&testbed, 1));
        let (left, right) = tokio::join!(
            left.call_service(&program, &key, "notices/notes", &note),
            right.call_service(&program, &key, "notices/notes", &note),
        );
        for (reply, _) in [left.unwrap(), right.unwrap()] {
            expect_that!(reply.status, eq(200), "{}", reply.text());
            expect_that!(reply.decode::<Value>().unwrap()["echo"], eq(&note));
        }
    }
    expect_that!(
        testbed.service_calls("notices-1").await.unwrap().len(),
        eq(DOUBLED_KEYS)
    );
    expect_single_runs(&testbed, "notices-1").await;
}
