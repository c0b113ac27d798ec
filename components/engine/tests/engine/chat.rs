//! Tests of chat requests over connections that break or stall and streams that repeat or skip text.

use std::time::Duration;

use domain::{ChatMessage, ChatRole, ProgramKey};
use engine::{ChatOrder, EngineClient, EngineOptions};
use errors::{CallError, RunState};
use googletest::prelude::*;

use crate::support::Reaction::{self, Answer, Close, Events, Hang};
use crate::support::{ScriptedBackend, StreamEnd};

const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
const ANSWER_LIMIT: usize = 1_000;
const POST: &str = "POST /v1/chat/completions";
const STREAMS: &str = include_str!("fixtures/streams.txt");
const FAILURES: &str = include_str!("fixtures/failures.txt");

/// One line of a table: the name of the case, the reaction to each connection, and the expected results.
struct ScriptCase {
    name: &'static str,
    script: Vec<Reaction>,
    expected: Vec<&'static str>,
}

fn parse_cases(table: &'static str) -> Vec<ScriptCase> {
    let lines = table.lines().filter(|line| !line.starts_with('#'));
    let parse = |line: &'static str| {
        let mut cells = line.split('|').map(str::trim);
        let name = cells.next().expect("a name");
        let script = cells
            .next()
            .expect("a script")
            .split("; ")
            .map(parse_reaction)
            .collect();
        ScriptCase {
            name,
            script,
            expected: cells.collect(),
        }
    };
    lines.map(parse).collect()
}

fn parse_reaction(text: &str) -> Reaction {
    match text {
        "close" => return Close,
        "hang" => return Hang,
        _ => {}
    }
    if let Ok(status) = text.parse() {
        return Answer(status, String::new());
    }
    let stalls = text.split(' ').any(|word| word == "stall");
    let end = if stalls {
        StreamEnd::Stall
    } else {
        StreamEnd::Close
    };
    Events(text.split(' ').map(event).collect(), end)
}

fn event(word: &str) -> String {
    let text = |text: &str| {
        format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
    };
    let usage = r#"{"prompt_tokens":5,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":4}}"#;
    match word {
        "done" => format!("data: {{\"choices\":[],\"usage\":{usage}}}\n\ndata: [DONE]\n\n"),
        "error" => "event: error\ndata: {}\n\n".to_owned(),
        "broken" => "data: {\n\n".to_owned(),
        "bare" => text("x"),
        "large" => format!("id: 2000\n{}", text(&"x".repeat(2_000))),
        "stall" => String::new(),
        _ => {
            let (end, content) = word.split_once('=').expect("N=TEXT");
            format!("id: {end}\n{}", text(content))
        }
    }
}

fn order(timeout: Duration) -> ChatOrder {
    let message = ChatMessage {
        role: ChatRole::User,
        content: "match".to_owned(),
    };
    ChatOrder::builder()
        .model("matcher".parse().expect("a name"))
        .messages(vec![message])
        .max_tokens(16)
        .request_id("p-1-1/3@1.2".to_owned())
        .program("p-1-1".parse::<ProgramKey>().expect("a key"))
        .priority(7)
        .timeout(timeout)
        .build()
}

/// Result of a chat: requests that the server received, number of generated tokens or an error, and the text.
struct ChatResult {
    requests: Vec<String>,
    tokens: std::result::Result<u64, CallError>,
    text: String,
}

async fn run(script: Vec<Reaction>, timeout: Duration) -> ChatResult {
    let backend = ScriptedBackend::start(script).await;
    let options = EngineOptions::builder()
        .address(backend.address)
        .idle_timeout(IDLE_TIMEOUT);
    let client = EngineClient::new(options.answer_limit(ANSWER_LIMIT).build());
    let mut text = String::new();
    let usage = client
        .run_chat(order(timeout), &mut |piece| text.push_str(piece))
        .await;
    let tokens = usage.map(|usage| usage.completion_tokens);
    ChatResult {
        requests: backend.request_lines(),
        tokens,
        text,
    }
}

fn resumed(offset: &str) -> String {
    format!("GET /requests/p-1-1%2F3%401.2/stream?offset={offset}")
}

#[gtest]
#[tokio::test]
async fn delivers_each_byte_once_over_unreliable_connections() {
    for case in parse_cases(STREAMS) {
        let result = run(case.script, LONG_TIMEOUT).await;
        let offsets = case.expected[0].split_whitespace().map(resumed);
        let expected: Vec<_> = std::iter::once(POST.to_owned()).chain(offsets).collect();
        expect_that!(result.tokens, ok(eq(&3)), "{}", case.name);
        expect_that!(result.text, eq("re-onetwo"), "{}", case.name);
        expect_that!(result.requests, eq(&expected), "{}", case.name);
    }
}

#[gtest]
#[tokio::test]
async fn posts_again_when_the_engine_has_no_record_of_the_request() {
    let result = run(
        ["hang", "404", "3=re- done"].map(parse_reaction).to_vec(),
        LONG_TIMEOUT,
    )
    .await;
    expect_that!(result.tokens, ok(eq(&3)));
    expect_that!(result.text, eq("re-"));
    expect_that!(
        result.requests,
        eq(&vec![POST.to_owned(), resumed("0"), POST.to_owned()])
    );
}

#[gtest]
#[tokio::test]
async fn reports_whether_a_failed_request_ran() {
    for case in parse_cases(FAILURES) {
        let result = run(case.script, LONG_TIMEOUT).await;
        let error = result.tokens.expect_err(case.name);
        let retry = if error.retry_after_ms.is_some() {
            " retry"
        } else {
            ""
        };
        let shown = format!("{} {:?}{retry}", error.code.number(), error.run);
        expect_that!(shown, eq(case.expected[0]), "{}", case.name);
        let posts = result.requests.iter().filter(|line| *line == POST).count();
        expect_that!(posts.to_string(), eq(case.expected[1]), "{}", case.name);
    }
}

#[gtest]
#[tokio::test]
async fn reports_a_request_without_a_response_as_unknown_and_cancels_it() {
    let result = run(vec![Hang; 64], IDLE_TIMEOUT * 3).await;
    expect_that!(
        result.tokens.expect_err("no response").run,
        eq(RunState::OutcomeUnknown)
    );
    let cancel = "POST /requests/p-1-1%2F3%401.2/cancel".to_owned();
    expect_that!(result.requests.last(), some(eq(&cancel)));
}

#[gtest]
#[tokio::test]
async fn reports_a_request_to_an_unreachable_engine_as_not_run() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = closed.local_addr().expect("bound");
    drop(closed);
    let client = EngineClient::new(
        EngineOptions::builder()
            .address(address)
            .idle_timeout(IDLE_TIMEOUT)
            .build(),
    );
    let error = client
        .run_chat(order(LONG_TIMEOUT), &mut |_| {})
        .await
        .expect_err("refused");
    expect_that!(error.code.number(), eq(3008));
    expect_that!(error.run, eq(RunState::NotRun));
    expect_that!(error.retry_after_ms, some(anything()));
}
