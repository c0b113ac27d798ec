//! Tests of plain requests: a request that may not be repeated is sent at most once.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use crate::support::Reaction::{self, Answer, Close, Delayed, Hang};
use crate::support::ScriptedBackend;
use domain::{PlainReply, PlainRequest, ProgramKey};
use engine::{EngineClient, EngineOptions, PlainOrder};
use errors::{CallError, RunState};
use googletest::prelude::*;

const TIMEOUT: Duration = Duration::from_millis(900);
/// Loopback address with a reserved port that no server of a test uses.
const UNREACHABLE_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));

fn order(repeatable: bool) -> PlainOrder {
    let request = PlainRequest {
        method: "PUT".to_owned(),
        path: "notice/7?copy=1".to_owned(),
        content_type: "text/x-notice".to_owned(),
        body: b"dispute".to_vec(),
    };
    PlainOrder::builder()
        .request(request)
        .idempotency_key("note-7".to_owned())
        .program("p-1-1".parse::<ProgramKey>().expect("a key"))
        .repeatable(repeatable)
        .timeout(TIMEOUT)
        .build()
}

async fn run(
    script: Vec<Reaction>,
    repeatable: bool,
) -> (ScriptedBackend, std::result::Result<PlainReply, CallError>) {
    let backend = ScriptedBackend::start(script).await;
    let options = EngineOptions::builder()
        .address(backend.address)
        .answer_limit(1_000)
        .build();
    let reply = EngineClient::new(options).run_plain(&order(repeatable)).await;
    (backend, reply)
}

fn answer(status: u16) -> Reaction {
    Answer(status, "done".to_owned())
}

struct PlainCase {
    name: &'static str,
    repeatable: bool,
    script: Vec<Reaction>,
    /// Status of the response, or the error's code and run state.
    result: std::result::Result<u16, (u16, RunState)>,
    /// Number of requests that the server receives.
    sent: usize,
}

#[gtest]
#[tokio::test]
async fn sends_a_non_repeatable_request_once_and_retries_a_repeatable_one() {
    let unknown = Err((4001, RunState::OutcomeUnknown));
    let failed = Err((4003, RunState::Ran));
    let delayed = || Delayed(Duration::from_millis(100), "done".to_owned());
    let large = || Answer(200, "x".repeat(2_000));
    let case = |name, repeatable, script, result, sent| PlainCase {
        name,
        repeatable,
        script,
        result,
        sent,
    };
    let cases = [
        case("answered", false, vec![answer(200)], Ok(200), 1),
        case("delayed", false, vec![delayed()], Ok(200), 1),
        case("client error", false, vec![answer(409)], Ok(409), 1),
        case("closed", false, vec![Close, answer(200)], unknown, 1),
        case("hangs", false, vec![Hang, answer(200)], unknown, 1),
        case("unavailable", false, vec![answer(503), answer(200)], failed, 1),
        case("failed", false, vec![answer(500)], failed, 1),
        case("too large", false, vec![large()], Err((4004, RunState::Ran)), 1),
        case(
            "repeatable, closed",
            true,
            vec![Close, Close, answer(200)],
            Ok(200),
            3,
        ),
        case("repeatable, hangs", true, vec![Hang, answer(200)], Ok(200), 2),
        case(
            "repeatable, unavailable",
            true,
            vec![answer(503), answer(200)],
            Ok(200),
            2,
        ),
        case(
            "repeatable, failed",
            true,
            vec![answer(500), answer(200)],
            failed,
            1,
        ),
    ];
    for case in cases {
        let (backend, reply) = run(case.script, case.repeatable).await;
        let result = reply
            .map(|reply| reply.status)
            .map_err(|error| (error.code.number(), error.run));
        expect_that!(result, eq(case.result), "{}", case.name);
        expect_that!(backend.requests().len(), eq(case.sent), "{}", case.name);
    }
}

#[gtest]
#[tokio::test]
async fn reports_a_repeatable_request_without_a_response_as_unknown() {
    let (_, reply) = run(vec![Hang; 64], true).await;
    expect_that!(
        reply.map_err(|error| error.run),
        err(eq(&RunState::OutcomeUnknown))
    );
}

#[gtest]
#[tokio::test]
async fn forwards_method_path_headers_and_body() {
    let (backend, reply) = run(vec![answer(200)], false).await;
    let request = backend.requests().concat();
    expect_that!(request, starts_with("PUT /notice/7?copy=1 HTTP/1.1\r\n"));
    for header in [
        "idempotency-key: note-7",
        "azuretide-program: p-1-1",
        "content-type: text/x-notice",
    ] {
        expect_that!(request, contains_substring(header));
    }
    expect_that!(request, ends_with("dispute"));
    let reply = reply.expect("answered");
    expect_that!(reply.content_type, eq("text/plain"));
    expect_that!(reply.body, eq(b"done"));
}

#[gtest]
#[tokio::test]
async fn reports_a_request_to_an_unreachable_server_as_not_run() {
    let options = EngineOptions::builder().address(UNREACHABLE_ADDRESS).build();
    let client = EngineClient::new(options);
    for repeatable in [false, true] {
        let error = client.run_plain(&order(repeatable)).await.expect_err("refused");
        expect_that!((error.code.number(), error.run), eq((3008, RunState::NotRun)));
        expect_that!(error.retry_after_ms, some(anything()));
    }
}

/// Number of requests; the pause of about one in ten ends in the same millisecond as the deadline.
const CUT_REQUESTS: u32 = 300;

/// Load pattern: a server is unreachable for longer than its callers wait, so that each request ends in a
/// pause or in a try that the deadline cuts short. The paused clock makes the rare moment frequent in which
/// the pause and the deadline end together.
#[gtest]
#[tokio::test(start_paused = true)]
async fn keeps_the_proof_of_refused_tries_when_the_deadline_cuts_the_last_one() {
    let options = EngineOptions::builder().address(UNREACHABLE_ADDRESS).build();
    let client = EngineClient::new(options);
    let mut order = order(true);
    order.timeout = Duration::from_millis(15);
    for request in 0..CUT_REQUESTS {
        let error = client.run_plain(&order).await.expect_err("refused");
        let outcome = (error.code.number(), error.run);
        assert_that!(outcome, eq((3008, RunState::NotRun)), "request {request}");
        assert_that!(error.retry_after_ms, some(anything()), "request {request}");
    }
}
