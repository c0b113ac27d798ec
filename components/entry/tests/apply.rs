//! Guards against an apply that reports `not-run` although its text can still come into force. This happens
//! when the object API loses the answer to a write or performs the write later.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use entry::{EntryOptions, EntryProcess};
use googletest::prelude::*;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use sha2::{Digest as _, Sha256};
use store::{
    HostDirectory, MemoryStore, ObjectStore, ObjectVersion, PlatformError, StoreResult, VersionedObject,
    WriteCondition,
};
use tokio_util::sync::CancellationToken;

const KEY: &str = "config/text";
const TEXT: &str = include_str!("fixtures/cluster.ini");

/// Fault of the first write of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstWrite {
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// The write is in transit until the test delivers it.
    Delayed,
    /// As `Delayed`, and later writes fail in an outage.
    DelayedInOutage,
    /// The write takes effect, its answer is lost, and another operator replaces its text.
    Replaced,
}

#[derive(Debug, Default)]
struct FaultState {
    first: Option<FirstWrite>,
    delayed: Option<(Bytes, WriteCondition)>,
    outage: bool,
}

/// An in-memory store whose first write of the configuration has a fault.
#[derive(Debug, Default)]
struct FaultyStore {
    inner: MemoryStore,
    state: Mutex<FaultState>,
}

impl FaultyStore {
    /// Performs the delayed write, if there is one.
    async fn deliver(&self) -> Option<StoreResult<ObjectVersion>> {
        let (value, condition) = self.state.lock().unwrap().delayed.take()?;
        Some(self.inner.write(KEY, value, condition).await)
    }

    async fn stored_text(&self) -> Option<Bytes> {
        self.inner.read(KEY).await.unwrap().map(|object| object.value)
    }
}

#[async_trait]
impl ObjectStore for FaultyStore {
    async fn read(&self, key: &str) -> StoreResult<Option<VersionedObject>> {
        self.inner.read(key).await
    }

    async fn write(&self, key: &str, value: Bytes, condition: WriteCondition) -> StoreResult<ObjectVersion> {
        if key != KEY {
            return self.inner.write(key, value, condition).await;
        }
        let lost = || Err(PlatformError::NoAnswer("lost".to_owned()));
        let first = self.state.lock().unwrap().first.take();
        match first {
            None if self.state.lock().unwrap().outage => Err(PlatformError::Unavailable("outage".to_owned())),
            None => self.inner.write(key, value, condition).await,
            Some(FirstWrite::AnswerLost) => {
                self.inner.write(key, value, condition).await?;
                lost()
            }
            Some(FirstWrite::Replaced) => {
                let version = self.inner.write(key, value, condition).await?;
                let other = Bytes::from(format!("; another operator's\n{TEXT}"));
                let condition = WriteCondition::Version(version);
                self.inner.write(key, other, condition).await?;
                lost()
            }
            Some(fault) => {
                let mut state = self.state.lock().unwrap();
                state.delayed = Some((value, condition));
                state.outage = fault == FirstWrite::DelayedInOutage;
                lost()
            }
        }
    }

    async fn delete(&self, key: &str, version: ObjectVersion) -> StoreResult<()> {
        self.inner.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> StoreResult<Vec<(String, ObjectVersion)>> {
        self.inner.list(prefix).await
    }

    async fn watch(
        &self,
        key: &str,
        known_version: Option<ObjectVersion>,
        wait: Duration,
    ) -> StoreResult<Option<VersionedObject>> {
        self.inner.watch(key, known_version, wait).await
    }
}

async fn start_entry(store: Arc<FaultyStore>) -> EntryProcess {
    let any = "127.0.0.1:0".parse().unwrap();
    let options = EntryOptions::builder()
        .host("entry-1".parse().unwrap())
        .failure_domain("a".parse().unwrap())
        .http(any)
        .process(any)
        .heartbeat(any)
        .secret(wire::ClusterSecret::from_bytes(&[7; 32]).unwrap())
        .operator_key_sha256(hex::encode(Sha256::digest(b"operator")))
        .store(store)
        .hosts(HostDirectory::new("http://127.0.0.1:9", ""))
        .heartbeat_interval(Duration::from_millis(100))
        .suspect_after(Duration::from_secs(1))
        .append_spacing(Duration::from_millis(20))
        .stop_grace(Duration::from_secs(1))
        .body_bytes(1 << 20)
        .connections(16)
        .header_timeout(Duration::from_secs(10))
        .metrics(Arc::new(cadence::StatsdClient::from_sink(
            "test",
            cadence::NopMetricSink,
        )))
        .log(slog::Logger::root(slog::Discard, slog::o!()))
        .build();
    EntryProcess::start(options).await.unwrap()
}

/// Applies the text on the condition that there is no configuration, and returns the HTTP status and the run
/// state.
async fn apply(address: std::net::SocketAddr) -> (u16, Option<String>) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::builder()
        .method(Method::PUT)
        .uri(format!("http://{address}/admin/configuration?base=0"))
        .header("authorization", "Bearer operator")
        .body(Full::new(Bytes::from(TEXT)))
        .unwrap();
    let reply = client.request(request).await.unwrap();
    let run = reply.headers().get("azuretide-run");
    let run = run.map(|run| run.to_str().unwrap().to_owned());
    let status = reply.status().as_u16();
    println!(
        "{status} {:?}",
        reply.into_body().collect().await.unwrap().to_bytes()
    );
    (status, run)
}

struct ApplyCase {
    first: FirstWrite,
    status: u16,
    run: Option<&'static str>,
    /// Whether the delayed write takes effect when it is delivered after the apply.
    takes_effect: bool,
}

#[gtest]
#[tokio::test]
async fn an_apply_says_not_run_only_when_the_text_can_never_be_in_force() {
    let unknown = Some("outcome-unknown");
    let cases = [
        ApplyCase {
            first: FirstWrite::AnswerLost,
            status: 200,
            run: None,
            takes_effect: false,
        },
        ApplyCase {
            first: FirstWrite::Delayed,
            status: 200,
            run: None,
            takes_effect: false,
        },
        ApplyCase {
            first: FirstWrite::DelayedInOutage,
            status: 504,
            run: unknown,
            takes_effect: true,
        },
        ApplyCase {
            first: FirstWrite::Replaced,
            status: 504,
            run: unknown,
            takes_effect: false,
        },
    ];
    for case in cases {
        println!("{:?}", case.first);
        let store = Arc::new(FaultyStore::default());
        let entry = start_entry(Arc::clone(&store)).await;
        let address = entry.http_address().unwrap();
        let stop = CancellationToken::new();
        let serving = tokio::spawn(entry.run(stop.clone()));
        store.state.lock().unwrap().first = Some(case.first);
        let (status, run) = apply(address).await;
        expect_that!(status, eq(case.status));
        expect_that!(run.as_deref(), eq(case.run));
        let before = store.stored_text().await;
        let delivered = store.deliver().await;
        expect_that!(
            delivered.is_some_and(|delivered| delivered.is_ok()),
            eq(case.takes_effect)
        );
        if status == 200 {
            expect_that!(before.as_deref(), some(eq(TEXT.as_bytes())));
        }
        stop.cancel();
        serving.abort();
    }
}
