//! Tests of control requests and of the parser of server-sent events.

use crate::support::Reaction::{self, Answer, Close};
use crate::support::ScriptedBackend;
use engine::{EngineClient, EngineOptions, OrderCommand, SseParser};
use errors::RunState;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

async fn client(script: Vec<Reaction>) -> (ScriptedBackend, EngineClient) {
    let backend = ScriptedBackend::start(script).await;
    let client = EngineClient::new(EngineOptions::builder().address(backend.address).build());
    (backend, client)
}

struct OrderCase {
    reaction: Reaction,
    result: std::result::Result<(), (u16, RunState)>,
}

#[gtest]
#[tokio::test]
async fn maps_the_engines_response_to_an_order() {
    let answer = |status| Answer(status, String::new());
    let cases = [
        OrderCase {
            reaction: answer(204),
            result: Ok(()),
        },
        OrderCase {
            reaction: answer(409),
            result: Err((3015, RunState::NotRun)),
        },
        OrderCase {
            reaction: answer(429),
            result: Err((3001, RunState::NotRun)),
        },
        OrderCase {
            reaction: answer(500),
            result: Err((4003, RunState::Ran)),
        },
        OrderCase {
            reaction: Close,
            result: Err((4001, RunState::OutcomeUnknown)),
        },
    ];
    for case in cases {
        let name = format!("{:?}", case.reaction);
        let (backend, client) = client(vec![case.reaction]).await;
        let result = client
            .send_order(6, OrderCommand::Load, &"matcher".parse().expect("a name"))
            .await;
        let result = result.map_err(|error| (error.code.number(), error.run));
        expect_that!(result, eq(case.result), "{name}");
        expect_that!(
            backend.requests().concat(),
            ends_with(r#"{"fencing":6,"command":"load","model":"matcher"}"#)
        );
    }
}

#[gtest]
#[tokio::test]
async fn decodes_load_cache_and_events() {
    let load = r#"{"running":1,"waiting":2,"capacity":8,"pending_tokens":90,"cache_used":5,"cache_size":50}"#;
    let cache = r#"[{"program":"p-1-1","tokens":5}]"#;
    let events = r#"[{"number":4,"program":"p-1-2","tokens":0,"kind":"removed"}]"#;
    let script = [load, cache, events, "[{"].map(|body| Answer(200, body.to_owned()));
    let (_, client) = client(script.to_vec()).await;
    expect_that!(
        client.fetch_load().await.map(|load| load.pending_tokens),
        ok(eq(&90))
    );
    expect_that!(client.list_cache().await.map(|cache| cache[0].tokens), ok(eq(&5)));
    expect_that!(
        client.fetch_cache_events(3).await.map(|events| events[0].number),
        ok(eq(&4))
    );
    expect_that!(
        client.list_cache().await.map_err(|error| error.code.number()),
        err(eq(&4003))
    );
}

#[gtest]
fn parses_the_same_events_for_any_split_of_the_bytes() {
    const SEED: u64 = 7;
    println!("seed {SEED}");
    let text = ": comment\r\nid: 3\r\ndata: r\u{e9}\r\n\r\nevent: error\ndata: a\ndata:b\n\n\n\nid: 9\n\ndata: last\n\n";
    let expected = SseParser::new().push(text.as_bytes());
    let shown: Vec<_> = expected
        .iter()
        .map(|event| (event.name.as_str(), event.id.as_deref(), event.data.as_str()))
        .collect();
    expect_that!(
        shown,
        eq(&vec![
            ("", Some("3"), "r\u{e9}"),
            ("error", None, "a\nb"),
            ("", None, "last")
        ])
    );
    let mut rng = StdRng::seed_from_u64(SEED);
    for _ in 0..1_000 {
        let mut parser = SseParser::new();
        let mut rest = text.as_bytes();
        let mut events = Vec::new();
        while !rest.is_empty() {
            let (piece, tail) = rest.split_at(rng.random_range(1..=rest.len()));
            events.extend(parser.push(piece));
            rest = tail;
        }
        assert_eq!(events, expected);
    }
}
