//! Helpers of the tests over real processes.

#![allow(dead_code, reason = "each test file uses a part of it")]

use googletest::prelude::*;
use serde_json::json;
use standins::{
    Deployment, KELANIMATCH_KEY, ProgramSession, PromptMessage, TeamCaller, Testbed, TurnRequest,
    expected_answer, prompt_hash,
};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Hosts of the engines in Kelanimatch's deployment.
pub const ENGINES: [&str; 2] = ["matcher-1", "matcher-2"];

// Each testbed runs about a dozen processes. More than 2 testbeds at the same time starve each other.
static TESTBEDS: Semaphore = Semaphore::const_new(2);

/// Waits until fewer than 2 other testbeds of this test binary run and starts the deployment.
pub async fn start(deployment: Deployment) -> (Testbed, SemaphorePermit<'static>) {
    let permit = TESTBEDS.acquire().await.unwrap();
    (Testbed::start(deployment).await.unwrap(), permit)
}

/// Creates a caller of Kelanimatch that sends its requests to the entry at the index `preferred` first.
pub fn caller(testbed: &Testbed, preferred: usize) -> TeamCaller {
    TeamCaller::new(testbed.entry_urls(), preferred, KELANIMATCH_KEY)
}

/// Starts a program at the entry at the index `preferred`.
pub async fn session(testbed: &Testbed, preferred: usize) -> ProgramSession {
    let started = ProgramSession::start(caller(testbed, preferred), "matcher", "interactive", None).await;
    started.unwrap()
}

/// Creates the request for the first turn of a program.
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

/// Returns the answer of `tokens` tokens that is expected for a first turn.
pub fn first_answer(turn: &TurnRequest, tokens: u64) -> String {
    expected_answer(&prompt_hash(&turn.messages), tokens)
}

/// Expects that a program is consistent: a further notice runs once, a further turn is answered, and the
/// history that the entry returns equals the caller's.
pub async fn expect_consistent_program(testbed: &Testbed, mut session: ProgramSession) {
    let note = json!({"last-note-of": session.program()});
    session.call_service("notices/notes", &note).await.unwrap();
    session.turn("user", "last turn", 5).await.unwrap();
    session.finish().await.unwrap();
    let calls = testbed.service_calls("notices-1").await.unwrap();
    let runs = calls.iter().filter(|call| call.body == note).count();
    expect_that!(runs, eq(1));
}

/// Expects that no idempotency key ran twice at a service.
pub async fn expect_single_runs(testbed: &Testbed, host: &str) {
    let runs = testbed.service_runs(host).await.unwrap();
    expect_that!(
        runs.iter().filter(|row| row.runs > 1).collect::<Vec<_>>(),
        is_empty()
    );
}
