//! Tests of the stand-in of a model engine.

use googletest::prelude::*;
use serde_json::{Value, json};
use standins::{
    CachedProgram, EngineSettings, LoadReport, ModelEngine, PromptMessage, RequestRecord, ServerHandle,
    expected_answer, prompt_hash, send_json,
};

async fn start(settings: EngineSettings) -> (ServerHandle, String) {
    let engine = ModelEngine::start("127.0.0.1:0".parse().unwrap(), settings)
        .await
        .unwrap();
    let base = format!("http://{}", engine.address());
    (engine, base)
}

fn completion(id: &str, program: &str, contents: &[&str], prefix: &str) -> String {
    let messages: Vec<_> = contents
        .iter()
        .map(|content| json!({"role": "user", "content": content}))
        .collect();
    json!({"model": "m", "messages": messages, "max_tokens": 100, "stream": true, "request_id": id,
        "program": program, "priority": 1, "prefix": prefix})
    .to_string()
}

fn hash(contents: &[&str]) -> String {
    let messages: Vec<_> = contents
        .iter()
        .map(|content| PromptMessage {
            role: "user".to_owned(),
            content: (*content).to_owned(),
        })
        .collect();
    prompt_hash(&messages)
}

fn joined_text(events: &str) -> String {
    let data = events.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|chunk| {
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect()
}

async fn complete(base: &str, body: &str) -> String {
    let url = format!("{base}/v1/chat/completions");
    send_json("POST", &url, body).await.unwrap().text()
}

async fn records(base: &str) -> Vec<RequestRecord> {
    let reply = send_json("GET", &format!("{base}/control/records"), "").await;
    reply.unwrap().decode().unwrap()
}

#[gtest]
#[tokio::test]
async fn answers_by_the_prompt_and_attaches_and_resumes() {
    let (_engine, base) = start(EngineSettings::default()).await;
    let contents = ["one two", "three [tokens=4]"];
    let expected = expected_answer(&hash(&contents), 4);
    let events = complete(&base, &completion("a/1", "p", &contents, "")).await;
    expect_that!(joined_text(&events), eq(&expected));
    expect_that!(events, ends_with("data: [DONE]\n\n"));
    expect_that!(
        joined_text(&complete(&base, &completion("a/1", "p", &contents, "")).await),
        eq(&expected)
    );
    let resumed = complete(&base, &completion("a/2", "p", &contents, &expected[..22])).await;
    expect_that!(joined_text(&resumed), eq(&expected[22..]));
    let tail = send_json("GET", &format!("{base}/requests/a%2F1/stream?offset=5"), "")
        .await
        .unwrap();
    expect_that!(joined_text(&tail.text()), eq(&expected[5..]));
    let unknown = send_json("GET", &format!("{base}/requests/a%2F9/stream?offset=0"), "")
        .await
        .unwrap();
    expect_that!(unknown.status, eq(404));
    expect_that!(records(&base).await.len(), eq(2));
}

#[gtest]
#[tokio::test]
async fn caches_prefixes_by_program_and_evicts_the_oldest() {
    let settings = EngineSettings {
        cache_tokens: 20,
        ..EngineSettings::default()
    };
    let (_engine, base) = start(settings).await;
    let first = ["a b c [tokens=2]"];
    let answer = joined_text(&complete(&base, &completion("1", "p", &first, "")).await);
    let second = [first[0], answer.as_str(), "d [tokens=1]"];
    complete(&base, &completion("2", "p", &second, "")).await;
    let other = ["x x x x x x x x x x [tokens=1]"];
    complete(&base, &completion("3", "q", &other, "")).await;
    let rows: Vec<_> = records(&base).await;
    let cached: Vec<_> = rows
        .iter()
        .map(|row| (row.prompt_tokens, row.cached_tokens))
        .collect();
    expect_that!(cached, eq(&vec![(4, 0), (8, 6), (11, 0)]));
    let held = send_json("GET", &format!("{base}/cache"), "").await.unwrap();
    let q = CachedProgram {
        program: "q".to_owned(),
        tokens: 12,
    };
    expect_that!(held.decode::<Vec<CachedProgram>>().unwrap(), eq(&vec![q]));
    let release = format!("{base}/cache/release");
    expect_that!(
        send_json("POST", &release, r#"{"program":"q"}"#)
            .await
            .unwrap()
            .status,
        eq(204)
    );
    let load: LoadReport = send_json("GET", &format!("{base}/load"), "")
        .await
        .unwrap()
        .decode()
        .unwrap();
    expect_that!((load.cache_used, load.running), eq((0, 0)));
}

#[gtest]
#[tokio::test]
async fn moves_a_cached_prefix_by_its_handle() {
    let (_left, left) = start(EngineSettings::default()).await;
    let (_right, right) = start(EngineSettings::default()).await;
    let first = ["a b c [tokens=2]"];
    let answer = joined_text(&complete(&left, &completion("1", "p", &first, "")).await);
    let exported = send_json("POST", &format!("{left}/cache/export"), r#"{"program":"p"}"#).await;
    let exported: Value = exported.unwrap().decode().unwrap();
    let import = json!({"program": "p", "handle": exported["handle"]}).to_string();
    expect_that!(
        send_json("POST", &format!("{right}/cache/import"), &import)
            .await
            .unwrap()
            .status,
        eq(204)
    );
    complete(&right, &completion("2", "p", &[first[0], &answer, "d"], "")).await;
    expect_that!(records(&right).await[0].cached_tokens, eq(6));
}

#[gtest]
#[tokio::test]
async fn runs_in_the_order_of_priority_and_cancels() {
    let settings = EngineSettings {
        capacity: 1,
        step_us: 1_000,
        ..EngineSettings::default()
    };
    let (_engine, base) = start(settings).await;
    let freeze = format!("{base}/control/faults");
    send_json("POST", &freeze, r#"{"silent_next":3}"#).await.unwrap();
    let mut open = Vec::new();
    for (id, priority) in [("long", 0), ("late", 9), ("soon", 3)] {
        let body = completion(id, "", &["[tokens=60]"], "")
            .replace("\"priority\":1", &format!("\"priority\":{priority}"));
        let url = format!("{base}/v1/chat/completions");
        open.push(standins::open_request("POST", &url, &[], &body).await.unwrap());
    }
    send_json("POST", &format!("{base}/requests/long/cancel"), "")
        .await
        .unwrap();
    let stream = send_json("GET", &format!("{base}/requests/soon/stream?offset=0"), "")
        .await
        .unwrap();
    expect_that!(stream.text(), ends_with("data: [DONE]\n\n"));
    let rows: Vec<_> = records(&base).await;
    let finished: Vec<_> = rows
        .iter()
        .map(|row| (row.request_id.as_str(), row.finished))
        .collect();
    expect_that!(
        finished,
        eq(&vec![("long", false), ("late", false), ("soon", true)])
    );
}

#[gtest]
#[tokio::test]
async fn refuses_old_fencing_numbers_and_a_busy_weight_store() {
    let settings = EngineSettings {
        check_fencing: true,
        load_ms: 60_000,
        models: vec!["m".to_owned()],
        ..EngineSettings::default()
    };
    let (_engine, base) = start(settings).await;
    let mut statuses = Vec::new();
    for (fencing, command, model) in [
        (5, "load", "n"),
        (5, "load", "o"),
        (4, "unload", "m"),
        (6, "unload", "m"),
    ] {
        let order = json!({"fencing": fencing, "command": command, "model": model}).to_string();
        statuses.push(
            send_json("POST", &format!("{base}/orders"), &order)
                .await
                .unwrap()
                .status,
        );
    }
    expect_that!(statuses, eq(&vec![204, 429, 409, 204]));
    let models = send_json("GET", &format!("{base}/models"), "").await.unwrap();
    expect_that!(models.decode::<Vec<String>>().unwrap(), is_empty());
}
