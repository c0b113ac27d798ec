//! Chat requests over connections that break, go silent, repeat and skip.

use std::time::Duration;

use crate::support::Reaction::{self, Answer, Close, Events, Silent};
use crate::support::{ScriptedBackend, StreamEnd};
use domain::{ChatMessage, ChatRole, ProgramKey};
use engine::{ChatOrder, EngineClient, EngineOptions};
use errors::{CallError, RunState};
use googletest::prelude::*;

const SILENCE: Duration = Duration::from_millis(300);
const ANSWER_LIMIT: usize = 1_000;

fn order(timeout: Duration) -> ChatOrder {
    ChatOrder::builder()
        .model("matcher".parse().expect("a name"))
        .messages(vec![ChatMessage {
            role: ChatRole::User,
            content: "match".to_owned(),
        }])
        .max_tokens(16)
        .request_id("p-1-1/3@1.2".to_owned())
        .program("p-1-1".parse::<ProgramKey>().expect("a key"))
        .priority(7)
        .timeout(timeout)
        .build()
}

async fn run(
    script: Vec<Reaction>,
    timeout: Duration,
) -> (ScriptedBackend, std::result::Result<u64, CallError>, String) {
    let backend = ScriptedBackend::start(script).await;
    let options = EngineOptions::builder()
        .address(backend.address)
        .silence(SILENCE)
        .answer_limit(ANSWER_LIMIT);
    let client = EngineClient::new(options.build());
    let mut text = String::new();
    let usage = client
        .run_chat(order(timeout), &mut |piece| text.push_str(piece))
        .await;
    (backend, usage.map(|usage| usage.completion_tokens), text)
}

fn text_event(end: usize, text: &str) -> String {
    format!("id: {end}\ndata: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
}

fn last_events() -> Vec<String> {
    let usage = r#"{"prompt_tokens":5,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":4}}"#;
    let finish = r#"{"index":0,"delta":{},"finish_reason":"stop"}"#;
    vec![
        format!("data: {{\"choices\":[{finish}],\"usage\":{usage}}}\n\n"),
        "data: [DONE]\n\n".to_owned(),
    ]
}

fn events(texts: &[(usize, &str)], done: bool, end: StreamEnd) -> Reaction {
    let mut events: Vec<_> = texts.iter().map(|(end, text)| text_event(*end, text)).collect();
    if done {
        events.extend(last_events());
    }
    Events(events, end)
}

struct StreamCase {
    name: &'static str,
    script: Vec<Reaction>,
    requests: &'static [&'static str],
}

const POST: &str = "POST /v1/chat/completions";

fn resumed(offset: &'static str) -> String {
    format!("GET /requests/p-1-1%2F3%401.2/stream?offset={offset}")
}

#[gtest]
#[tokio::test]
async fn delivers_each_byte_once_whatever_the_connection_does() {
    let whole = || events(&[(3, "re-"), (6, "one"), (9, "two")], true, StreamEnd::Close);
    let rest = || events(&[(9, "two")], true, StreamEnd::Close);
    let half = |end| events(&[(3, "re-"), (6, "one")], false, end);
    let cases = [
        StreamCase {
            name: "whole",
            script: vec![whole()],
            requests: &[],
        },
        StreamCase {
            name: "silent",
            script: vec![half(StreamEnd::Silent), rest()],
            requests: &["6"],
        },
        StreamCase {
            name: "closed",
            script: vec![half(StreamEnd::Close), rest()],
            requests: &["6"],
        },
        StreamCase {
            name: "lost twice",
            script: vec![half(StreamEnd::Close), Close, rest()],
            requests: &["6", "6"],
        },
        StreamCase {
            name: "repeats",
            script: vec![half(StreamEnd::Close), whole()],
            requests: &["6"],
        },
        StreamCase {
            name: "overlaps",
            script: vec![
                half(StreamEnd::Close),
                events(&[(9, "netwo")], true, StreamEnd::Close),
            ],
            requests: &["6"],
        },
        StreamCase {
            name: "skips",
            script: vec![events(&[(3, "re-"), (9, "two")], true, StreamEnd::Close), whole()],
            requests: &["3"],
        },
        StreamCase {
            name: "silent head",
            script: vec![Silent, whole()],
            requests: &["0"],
        },
        StreamCase {
            name: "without end",
            script: vec![
                events(&[(9, "re-onetwo")], false, StreamEnd::Close),
                events(&[], true, StreamEnd::Close),
            ],
            requests: &["9"],
        },
    ];
    for case in cases {
        let (backend, usage, text) = run(case.script, Duration::from_secs(20)).await;
        let expected: Vec<_> = std::iter::once(POST.to_owned())
            .chain(case.requests.iter().map(|offset| resumed(offset)))
            .collect();
        expect_that!(usage, ok(eq(&3)), "{}", case.name);
        expect_that!(text, eq("re-onetwo"), "{}", case.name);
        expect_that!(backend.request_lines(), eq(&expected), "{}", case.name);
    }
}

#[gtest]
#[tokio::test]
async fn posts_again_when_the_engine_never_got_the_request() {
    let script = vec![
        Silent,
        Answer(404, String::new()),
        events(&[(3, "re-")], true, StreamEnd::Close),
    ];
    let (backend, usage, text) = run(script, Duration::from_secs(20)).await;
    expect_that!(usage, ok(eq(&3)));
    expect_that!(text, eq("re-"));
    expect_that!(
        backend.request_lines(),
        eq(&vec![POST.to_owned(), resumed("0"), POST.to_owned()])
    );
}

struct FailureCase {
    name: &'static str,
    script: Vec<Reaction>,
    code: u16,
    run: RunState,
    retry: bool,
    posts: usize,
}

#[gtest]
#[tokio::test]
async fn says_whether_a_failed_request_ran() {
    let half = || events(&[(3, "re-")], false, StreamEnd::Close);
    let error = || Events(vec!["event: error\ndata: {}\n\n".to_owned()], StreamEnd::Close);
    let case = |name, script, code, run, retry, posts| FailureCase {
        name,
        script,
        code,
        run,
        retry,
        posts,
    };
    let cases = [
        case(
            "busy",
            vec![Answer(429, String::new())],
            3001,
            RunState::NotRun,
            true,
            1,
        ),
        case(
            "model not loaded",
            vec![Answer(404, String::new())],
            3008,
            RunState::NotRun,
            true,
            1,
        ),
        case(
            "malformed",
            vec![Answer(400, String::new())],
            1001,
            RunState::NotRun,
            false,
            1,
        ),
        case(
            "failed",
            vec![Answer(500, String::new())],
            4003,
            RunState::Ran,
            false,
            1,
        ),
        case(
            "refused after a lost post",
            vec![Close, Answer(404, String::new()), Answer(429, String::new())],
            4001,
            RunState::OutcomeUnknown,
            false,
            2,
        ),
        case("error event", vec![error()], 4003, RunState::Ran, false, 1),
        case(
            "no JSON",
            vec![Events(vec!["data: {\n\n".to_owned()], StreamEnd::Close)],
            4003,
            RunState::Ran,
            false,
            1,
        ),
        case(
            "text without offset",
            vec![Events(
                vec![text_event(9, "x").replace("id: 9\n", "")],
                StreamEnd::Close,
            )],
            4003,
            RunState::Ran,
            false,
            1,
        ),
        case(
            "restarted after text",
            vec![half(), Answer(404, String::new())],
            4001,
            RunState::OutcomeUnknown,
            true,
            1,
        ),
        case(
            "too large",
            vec![events(&[(2_000, &"x".repeat(2_000))], false, StreamEnd::Silent)],
            4004,
            RunState::Ran,
            false,
            1,
        ),
    ];
    for case in cases {
        let (backend, usage, _) = run(case.script, Duration::from_secs(20)).await;
        let error = usage.expect_err(case.name);
        expect_that!(error.code.number(), eq(case.code), "{}", case.name);
        expect_that!(error.run, eq(case.run), "{}", case.name);
        expect_that!(error.retry_after_ms.is_some(), eq(case.retry), "{}", case.name);
        let posts = backend
            .request_lines()
            .iter()
            .filter(|line| *line == POST)
            .count();
        expect_that!(posts, eq(case.posts), "{}", case.name);
    }
}

#[gtest]
#[tokio::test]
async fn ends_a_request_that_stays_silent_as_unknown_and_cancels_it() {
    let (backend, usage, _) = run(vec![Silent; 64], SILENCE * 3).await;
    expect_that!(
        usage.map_err(|error| error.run),
        err(eq(RunState::OutcomeUnknown))
    );
    let cancel = "POST /requests/p-1-1%2F3%401.2/cancel".to_owned();
    expect_that!(backend.request_lines().last(), some(eq(&cancel)));
}

#[gtest]
#[tokio::test]
async fn calls_a_request_to_an_unreachable_engine_not_run() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0")
        .expect("a free port")
        .local_addr()
        .expect("bound");
    let client = EngineClient::new(EngineOptions::builder().address(closed).silence(SILENCE).build());
    let error = client
        .run_chat(order(Duration::from_secs(20)), &mut |_| {})
        .await
        .expect_err("refused");
    expect_that!(error.code.number(), eq(3008));
    expect_that!(error.run, eq(RunState::NotRun));
    expect_that!(error.retry_after_ms, some(anything()));
}
