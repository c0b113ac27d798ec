//! Programs whose entry is killed, frozen or replaced while they run.

mod common;

use common::{
    ENGINES, caller, expect_consistent_program, expect_single_runs, first_answer, first_turn, session, start,
};
use futures::future::join_all;
use googletest::prelude::*;
use serde_json::{Value, json};
use standins::{Deployment, ProgramSession, TeamCaller};

/// State of a program when its entry is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LossMoment {
    BetweenTurns,
    MidCall,
    MidStream,
}

const LOSS_MOMENTS: [LossMoment; 3] = [
    LossMoment::BetweenTurns,
    LossMoment::MidCall,
    LossMoment::MidStream,
];

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn programs_continue_after_their_entry_is_killed() {
    for moment in LOSS_MOMENTS {
        println!("killed at {moment:?}");
        let (mut testbed, _permit) = start(Deployment::kelanimatch().with_step_us(20_000)).await;
        let mut session = session(&testbed, 0).await;
        session.turn("user", "opening", 5).await.unwrap();
        let program = session.program().to_owned();
        let turn = tokio::spawn(async move {
            let result = match moment {
                LossMoment::BetweenTurns => Ok(String::new()),
                LossMoment::MidCall => session.turn("user", "long", 100).await,
                LossMoment::MidStream => session.stream("user", "long", 100).await,
            };
            (session, result)
        });
        if moment != LossMoment::BetweenTurns {
            testbed.wait_generating(&ENGINES, &program, 10).await.unwrap();
        }
        testbed.kill("entry-1").await.unwrap();
        let (session, result) = turn.await.unwrap();
        result.unwrap();
        expect_consistent_program(&testbed, session).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn resumed_entry_yields_to_the_successor_that_sealed_its_journal() {
    let (mut testbed, _permit) = start(Deployment::kelanimatch().with_step_us(20_000)).await;
    let mut old_caller = caller(&testbed, 0);
    let mut new_caller = caller(&testbed, 1);
    let program = old_caller.start_program("interactive", None).await.unwrap();
    let turn = first_turn(&program, "long [tokens=100]");
    let held = tokio::spawn({
        let turn = turn.clone();
        async move { old_caller.stream_turn(&turn).await }
    });
    testbed.wait_generating(&ENGINES, &program, 10).await.unwrap();
    testbed.freeze("entry-1").unwrap();
    let (first, second) = (
        json!({"sent": "to the successor"}),
        json!({"sent": "to the frozen entry"}),
    );
    let stale = tokio::spawn({
        let (mut caller, program, second) = (caller(&testbed, 0), program.clone(), second.clone());
        async move {
            caller
                .call_service(&program, "note-2", "notices/notes", &second)
                .await
        }
    });
    let answer = new_caller.stream_turn(&turn).await.unwrap();
    let (reply, _) = new_caller
        .call_service(&program, "note-1", "notices/notes", &first)
        .await
        .unwrap();
    expect_that!(
        reply.decode::<Value>().unwrap()["echo"],
        eq(&first),
        "{}",
        reply.text()
    );
    testbed.resume("entry-1").unwrap();
    let (reply, _) = stale.await.unwrap().unwrap();
    expect_that!(
        reply.decode::<Value>().unwrap()["echo"],
        eq(&second),
        "{}",
        reply.text()
    );
    let expected = first_answer(&turn, 100);
    expect_that!(answer.text, eq(&expected));
    expect_that!(held.await.unwrap().unwrap().text, eq(&expected));
    // The same note through the resumed entry is the same call and must not run again.
    let mut resumed = caller(&testbed, 0);
    let (reply, _) = resumed
        .call_service(&program, "note-1", "notices/notes", &first)
        .await
        .unwrap();
    expect_that!(
        reply.decode::<Value>().unwrap()["echo"],
        eq(&first),
        "{}",
        reply.text()
    );
    // The resumed entry received no heartbeats while it was frozen itself, and must not seal others because
    // of that.
    let log = testbed.log("entry-1");
    expect_that!(log, not(contains_substring("member sealed")));
    expect_that!(log, not(contains_substring("seal failed")));
    expect_that!(testbed.service_calls("notices-1").await.unwrap().len(), eq(2));
    expect_single_runs(&testbed, "notices-1").await;
    let history = resumed.fetch_history(&program).await.unwrap();
    let contents: Vec<_> = history.iter().map(|message| message.content.as_str()).collect();
    expect_that!(contents, eq(&vec!["long [tokens=100]", expected.as_str()]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn programs_survive_all_entries_killed_at_once() {
    let (mut testbed, _permit) = start(Deployment::kelanimatch().with_step_us(20_000)).await;
    let mut sessions = Vec::new();
    for number in 0..4 {
        let mut session = session(&testbed, number % 2).await;
        session
            .turn("user", &format!("opening {number}"), 5)
            .await
            .unwrap();
        let note = json!({"opening-note": number});
        session.call_service("notices/notes", &note).await.unwrap();
        sessions.push(session);
    }
    let waiting = sessions[0].program().to_owned();
    let mut first = sessions.remove(0);
    let turn = tokio::spawn(async move {
        let result = first.turn("user", "long", 100).await;
        (first, result)
    });
    testbed.wait_generating(&ENGINES, &waiting, 10).await.unwrap();
    let (left, right) = (testbed.kill("entry-1").await, testbed.kill("entry-2").await);
    left.and(right).unwrap();
    for entry in testbed.entry_names() {
        testbed.start_host(&entry).unwrap();
    }
    testbed.wait_ready().await.unwrap();
    let (first, result) = turn.await.unwrap();
    result.unwrap();
    sessions.push(first);
    for session in sessions {
        expect_consistent_program(&testbed, session).await;
    }
    expect_single_runs(&testbed, "notices-1").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn entries_are_replaced_one_at_a_time_under_load() {
    let (mut testbed, _permit) = start(Deployment::kelanimatch().with_step_us(5_000)).await;
    let callers = (0..6).map(|number| caller(&testbed, number % 2));
    let load: Vec<_> = callers
        .map(|caller| tokio::spawn(play_load(caller, 20)))
        .collect();
    for entry in testbed.entry_names() {
        testbed.terminate(&entry).unwrap();
        let status = testbed.wait_exit(&entry).await.unwrap();
        expect_that!(status.success(), eq(true), "{entry} ended with {status}");
        testbed.start_host(&entry).unwrap();
        testbed.wait_ready().await.unwrap();
    }
    for result in join_all(load).await {
        result.unwrap().unwrap();
    }
    expect_single_runs(&testbed, "notices-1").await;
    expect_consistent_program(&testbed, session(&testbed, 0).await).await;
}

async fn play_load(caller: TeamCaller, turns: u64) -> anyhow::Result<()> {
    let mut session = ProgramSession::start(caller, "matcher", "interactive", None).await?;
    for number in 0..turns {
        session.turn("user", &format!("turn {number}"), 10).await?;
        let note = json!({"program": session.program(), "number": number});
        session.call_service("notices/notes", &note).await?;
    }
    session.finish().await.map(drop)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_off_no_running_turn() {
    let (mut testbed, _permit) = start(Deployment::kelanimatch().with_step_us(20_000)).await;
    for preferred in 0..2 {
        let entry = testbed.entry_names()[preferred].clone();
        let mut caller = caller(&testbed, preferred);
        let program = caller.start_program("interactive", None).await.unwrap();
        let turn = first_turn(&program, "long [tokens=100]");
        let running = tokio::spawn({
            let turn = turn.clone();
            async move { caller.stream_turn(&turn).await }
        });
        testbed.wait_generating(&ENGINES, &program, 10).await.unwrap();
        testbed.terminate(&entry).unwrap();
        let answer = running.await.unwrap().unwrap();
        expect_that!(answer.text, eq(&first_answer(&turn, 100)));
        expect_that!(
            answer.retried,
            eq(false),
            "the stop of {entry} interrupted the stream"
        );
        let status = testbed.wait_exit(&entry).await.unwrap();
        expect_that!(status.success(), eq(true), "{entry} ended with {status}");
        testbed.start_host(&entry).unwrap();
        testbed.wait_ready().await.unwrap();
    }
}
