//! What the tests over real processes share.

#![allow(dead_code, reason = "each test file uses a part of it")]

use googletest::prelude::*;
use serde_json::json;
use standins::{
    Deployment, KELANIMATCH_KEY, ProgramSession, PromptMessage, TeamCaller, Testbed, TurnRequest,
    expected_answer, prompt_hash,
};
use tokio::sync::{Semaphore, SemaphorePermit};

pub const ENGINES: [&str; 2] = ["matcher-1", "matcher-2"];

// Each testbed is a dozen processes; more at a time than this starve each other.
static TESTBEDS: Semaphore = Semaphore::const_new(2);

/// Waits for a place and starts the deployment.
pub async fn start(deployment: Deployment) -> (Testbed, SemaphorePermit<'static>) {
    let permit = TESTBEDS.acquire().await.unwrap();
    (Testbed::start(deployment).await.unwrap(), permit)
}

/// Creates Kelanimatch's caller that tries the entry at `preferred` first.
pub fn caller(testbed: &Testbed, preferred: usize) -> TeamCaller {
    TeamCaller::new(testbed.entry_urls(), preferred, KELANIMATCH_KEY)
}

/// Starts a program at the entry at `preferred`.
pub async fn session(testbed: &Testbed, preferred: usize) -> ProgramSession {
    let started = ProgramSession::start(caller(testbed, preferred), "matcher", "interactive", None).await;
    started.unwrap()
}

/// Creates the request for a program's first turn.
pub fn first_turn(program: &str, text: &str) -> TurnRequest {
    TurnRequest {
        program: program.to_owned(),
        key: "first".to_owned(),
        model: "matcher".to_owned(),
        messages: vec![PromptMessage {
            role: "user".to_owned(),
            content: text.to_owned(),
        }],
        max_tokens: 400,
    }
}

/// Returns the answer to a first turn.
pub fn first_answer(turn: &TurnRequest, tokens: u64) -> String {
    expected_answer(&prompt_hash(&turn.messages), tokens)
}

/// Takes a notice and a turn and compares the history: the program is in order.
pub async fn expect_in_order(testbed: &Testbed, mut session: ProgramSession) {
    let note = json!({"last-note-of": session.program()});
    session.call_service("notices/notes", &note).await.unwrap();
    session.turn("user", "last turn", 5).await.unwrap();
    session.finish().await.unwrap();
    let calls = testbed.service_calls("notices-1").await.unwrap();
    let runs = calls.iter().filter(|call| call.body == note).count();
    expect_that!(runs, eq(1));
}

/// Expects that no key ran twice at a service.
pub async fn expect_single_runs(testbed: &Testbed, host: &str) {
    let runs = testbed.service_runs(host).await.unwrap();
    expect_that!(
        runs.iter().filter(|row| row.runs > 1).collect::<Vec<_>>(),
        is_empty()
    );
}
