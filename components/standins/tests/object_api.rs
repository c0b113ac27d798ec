//! Tests of the stand-in of the object API with the client of azuretide.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use standins::{ObjectApi, ServerHandle};
use store::{ObjectStore as _, PlatformError, RemoteStore, WriteCondition};

async fn start() -> (ServerHandle, RemoteStore) {
    let server = ObjectApi::start("127.0.0.1:0".parse().unwrap(), Some("secret".to_owned())).await;
    let server = server.unwrap();
    let store = RemoteStore::new(&format!("http://{}", server.address()), "secret");
    (server, store)
}

async fn set_faults(server: &ServerHandle, faults: &str) {
    let url = format!("http://{}/control/faults", server.address());
    let reply = standins::send_json("POST", &url, faults).await.unwrap();
    assert_that!(reply.status, eq(204));
}

#[gtest]
#[tokio::test]
async fn updates_only_under_their_condition() {
    let (_server, store) = start().await;
    let first = store
        .write("a/b", Bytes::from("1"), WriteCondition::Absent)
        .await
        .unwrap();
    let again = store.write("a/b", Bytes::from("2"), WriteCondition::Absent).await;
    expect_that!(again, err(eq(&PlatformError::Conflict)));
    let second = store
        .write("a/b", Bytes::from("2"), WriteCondition::Version(first))
        .await
        .unwrap();
    expect_that!(second, gt(first));
    let stale = store
        .write("a/b", Bytes::from("3"), WriteCondition::Version(first))
        .await;
    expect_that!(stale, err(eq(&PlatformError::Conflict)));
    expect_that!(
        store.delete("a/b", first).await,
        err(eq(&PlatformError::Conflict))
    );
    let object = store.read("a/b").await.unwrap().unwrap();
    expect_that!(object.value, eq(&Bytes::from("2")));
    expect_that!(object.date.0, gt(1_600_000_000_000));
    expect_that!(store.list("a/").await, ok(eq(&vec![("a/b".to_owned(), second)])));
    expect_that!(store.delete("a/b", second).await, ok(anything()));
    expect_that!(store.read("a/b").await, ok(none()));
}

#[gtest]
#[tokio::test]
async fn watch_ends_at_a_change_or_its_timeout() {
    let (_server, store) = start().await;
    let waiting = store.watch("k", None, Duration::from_secs(10));
    let writing = store.write("k", Bytes::from("1"), WriteCondition::Absent);
    let (watched, version) = tokio::join!(waiting, writing);
    let version = version.unwrap();
    expect_that!(watched.unwrap().unwrap().version, eq(version));
    expect_that!(
        store.watch("k", Some(version), Duration::from_millis(10)).await,
        ok(none())
    );
}

#[gtest]
#[tokio::test]
async fn loses_answers_after_and_requests_before_the_change() {
    let (server, store) = start().await;
    set_faults(&server, r#"{"lose_answers":1}"#).await;
    let lost = store.write("k", Bytes::from("1"), WriteCondition::Absent).await;
    expect_that!(lost, err(matches_pattern!(PlatformError::NoAnswer(_))));
    expect_that!(store.read("k").await.unwrap(), some(anything()));
    set_faults(&server, r#"{"lose_requests":1}"#).await;
    let lost = store.write("l", Bytes::from("1"), WriteCondition::Absent).await;
    expect_that!(lost, err(matches_pattern!(PlatformError::NoAnswer(_))));
    expect_that!(store.read("l").await, ok(none()));
}

#[gtest]
#[tokio::test]
async fn refuses_in_an_outage_and_without_the_key_and_counts() {
    let (server, store) = start().await;
    set_faults(&server, r#"{"outage":true}"#).await;
    let refused = store.write("k", Bytes::from("1"), WriteCondition::Absent).await;
    expect_that!(refused, err(matches_pattern!(PlatformError::Unavailable(_))));
    set_faults(&server, "{}").await;
    expect_that!(store.read("k").await, ok(none()));
    let unauthorized = RemoteStore::new(&format!("http://{}", server.address()), "guess");
    expect_that!(unauthorized.read("k").await, err(anything()));
    let counts = standins::send_json("GET", &format!("http://{}/control/counts", server.address()), "").await;
    let counts: standins::ObjectCounts = counts.unwrap().decode().unwrap();
    expect_that!((counts.reads, counts.writes, counts.refused), eq((1, 0, 1)));
}
