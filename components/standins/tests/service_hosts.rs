//! Tests of the stand-ins of a plain service and of the host list.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::Value;
use standins::{HostList, HostListSettings, KeyRuns, PlainService, ServiceFaults, send_json, send_request};
use store::HostDirectory;

/// A fault of a plain service, the status that the caller receives, and how often the call runs.
struct FaultCase {
    faults: &'static str,
    answered: Option<u16>,
    runs: u64,
}

const FAULT_CASES: [FaultCase; 4] = [
    FaultCase {
        faults: "{}",
        answered: Some(200),
        runs: 1,
    },
    FaultCase {
        faults: r#"{"fail_next":1}"#,
        answered: Some(500),
        runs: 0,
    },
    FaultCase {
        faults: r#"{"silent_next":1}"#,
        answered: None,
        runs: 1,
    },
    FaultCase {
        faults: r#"{"hang_next":1}"#,
        answered: None,
        runs: 0,
    },
];

#[gtest]
#[tokio::test]
async fn counts_the_runs_of_each_key_under_faults() {
    for case in FAULT_CASES {
        let service = PlainService::start("127.0.0.1:0".parse().unwrap(), ServiceFaults::default()).await;
        let service = service.unwrap();
        let base = format!("http://{}", service.address());
        send_json("POST", &format!("{base}/control/faults"), case.faults)
            .await
            .unwrap();
        let headers = [("idempotency-key", "k"), ("azuretide-program", "p-1-1")];
        let url = format!("{base}/notes?draft=no");
        let call = send_request("POST", &url, &headers, r#"{"a":1}"#);
        // A call that is never answered is abandoned after 300 ms; one that is answered may take up to
        // 30 s.
        let timeout_ms = if case.answered.is_some() { 30_000 } else { 300 };
        let reply = tokio::time::timeout(Duration::from_millis(timeout_ms), call).await;
        let status = reply.ok().map(|reply| reply.unwrap().status);
        expect_that!(status, eq(case.answered), "{}", case.faults);
        let runs = send_json("GET", &format!("{base}/control/runs"), "")
            .await
            .unwrap();
        let runs: Vec<KeyRuns> = runs.decode().unwrap();
        expect_that!(
            runs.iter().map(|row| row.runs).sum::<u64>(),
            eq(case.runs),
            "{}",
            case.faults
        );
    }
}

#[gtest]
#[tokio::test]
async fn echoes_path_and_body() {
    let service = PlainService::start("127.0.0.1:0".parse().unwrap(), ServiceFaults::default()).await;
    let base = format!("http://{}", service.unwrap().address());
    // The handle is dropped at the end of the statement above, which stops the server.
    expect_that!(send_json("GET", &base, "").await.is_err(), eq(true));
    let service = PlainService::start("127.0.0.1:0".parse().unwrap(), ServiceFaults::default())
        .await
        .unwrap();
    let url = format!("http://{}/notes?draft=no", service.address());
    let reply = send_request("POST", &url, &[("idempotency-key", "k")], r#"{"a":1}"#)
        .await
        .unwrap();
    let expected = serde_json::json!({"ran": 1, "key": "k", "path": "/notes?draft=no", "echo": {"a": 1}});
    expect_that!(reply.decode::<Value>().unwrap(), eq(&expected));
}

#[gtest]
#[tokio::test]
async fn host_list_shows_a_change_after_its_lag() {
    let settings = HostListSettings {
        lag: Duration::from_millis(200),
        ..HostListSettings::default()
    };
    let server = HostList::start("127.0.0.1:0".parse().unwrap(), settings)
        .await
        .unwrap();
    let base = format!("http://{}", server.address());
    let directory = HostDirectory::new(&base, "");
    let hosts = r#"[{"name":"entry-1","role":"entry","failure_domain":"colombo-1","heartbeat":"127.0.0.1:9","state":"live"}]"#;
    expect_that!(
        send_json("PUT", &format!("{base}/control/hosts"), hosts)
            .await
            .unwrap()
            .status,
        eq(204)
    );
    expect_that!(directory.fetch_hosts().await.unwrap(), is_empty());
    while directory.fetch_hosts().await.unwrap().is_empty() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    expect_that!(
        directory.fetch_hosts().await.unwrap()[0].name.to_string(),
        eq("entry-1")
    );
}
