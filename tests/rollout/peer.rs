//! Fake entry that announces one generation in heartbeats and serves another one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use config::parse_configuration;
use domain::{
    AppliedConfiguration, CallKey, CallOutcome, Generation, Heartbeat, HostRole, IncarnationId, ProgramKey,
    ProgramState, TeamName, TenureNumber,
};
use errors::{CallError, ResultCode};
use futures::StreamExt as _;
use serde_json::{Value, json};
use standins::{Testbed, send_json};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel as _};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use wire::{
    CallAttachment, ClusterSecret, HeartbeatPublisher, OutputChunk, OutputRequest, OwnerPort, PeerListener,
    PortResult, ProgramSummary, SubmittedCall,
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
const WAIT_TIMEOUT: Duration = Duration::from_secs(45);

/// A fake entry that is registered in the host list of a testbed.
#[derive(Debug)]
pub struct FakePeer {
    fetches: Arc<AtomicUsize>,
    _tasks: JoinSet<()>,
}

#[derive(Debug, Clone)]
struct FakeServer {
    applied: Arc<Mutex<AppliedConfiguration>>,
    fetches: Arc<AtomicUsize>,
}

impl FakePeer {
    /// Starts a fake entry and registers it; it announces one generation and serves the text under another.
    pub async fn start(testbed: &Testbed, announced: u64, served: u64, text: &str) -> Self {
        let secret = ClusterSecret::from_file(&testbed.folder().join("cluster.key")).expect("a key");
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = PeerListener::bind(loopback, secret.clone())
            .await
            .expect("a port");
        let heartbeat_address = free_address();
        let publisher = HeartbeatPublisher::bind(heartbeat_address, secret).expect("a port");
        let heartbeat = Heartbeat {
            host: "entry-0".parse().expect("a name"),
            role: HostRole::Entry,
            failure_domain: "colombo-3".parse().expect("a name"),
            start: u64::from(u32::MAX),
            sequence: 0,
            address: listener.local_address().expect("an address"),
            generation: Generation(announced),
            members: Generation(0),
            leaving: false,
            load: None,
        };
        let content = parse_configuration(text).expect("a valid text");
        let applied = AppliedConfiguration {
            generation: Generation(served),
            text: text.to_owned(),
            content,
        };
        let fetches = Arc::new(AtomicUsize::new(0));
        let server = FakeServer {
            applied: Arc::new(Mutex::new(applied)),
            fetches: Arc::clone(&fetches),
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, server));
        tasks.spawn(publish(publisher, heartbeat));
        list_host(testbed, heartbeat_address).await;
        Self {
            fetches,
            _tasks: tasks,
        }
    }

    /// Waits until the processes have fetched the configuration so many times.
    pub async fn wait_fetches(&self, count: usize) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.fetches.load(Ordering::Acquire) < count {
            assert!(
                Instant::now() < deadline,
                "only {:?} fetches of {count}",
                self.fetches
            );
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

async fn publish(publisher: HeartbeatPublisher, mut heartbeat: Heartbeat) {
    loop {
        heartbeat.sequence += 1;
        publisher.publish(&heartbeat).expect("an open socket");
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn serve(listener: PeerListener, server: FakeServer) {
    let accept = move |transport| {
        let answers = BaseChannel::with_defaults(transport).execute(server.clone().serve());
        tokio::spawn(answers.for_each(|answer| async {
            tokio::spawn(answer);
        }));
    };
    listener.accept_all(accept).await;
}

async fn list_host(testbed: &Testbed, heartbeat: SocketAddr) {
    let directory = testbed.standin_url("host-list");
    let key = std::fs::read_to_string(testbed.folder().join("platform.key")).expect("a key");
    let bearer = format!("Bearer {}", key.trim());
    let listed = standins::send_request(
        "GET",
        &format!("{directory}/hosts"),
        &[("authorization", &bearer)],
        "",
    )
    .await;
    let mut hosts: Vec<Value> = listed.expect("a list").decode().expect("a list");
    let fake = json!({"name": "entry-0", "role": "entry", "failure_domain": "colombo-3", "heartbeat": heartbeat,
        "state": "live"});
    hosts.push(fake);
    let changed = send_json(
        "PUT",
        &format!("{directory}/control/hosts"),
        &Value::from(hosts).to_string(),
    )
    .await;
    assert_eq!(changed.expect("an answer").status, 204);
}

fn refusal() -> CallError {
    CallError::not_run(ResultCode::NotOwner, "the fake entry owns no programs")
}

impl OwnerPort for FakeServer {
    async fn submit_call(self, _: Context, _: SubmittedCall) -> PortResult<CallAttachment> {
        Err(refusal())
    }

    async fn read_output(self, _: Context, _: OutputRequest) -> PortResult<OutputChunk> {
        Err(refusal())
    }

    async fn read_program(self, _: Context, _: Option<TeamName>, _: ProgramKey) -> PortResult<ProgramState> {
        Err(refusal())
    }

    async fn end_program(self, _: Context, _: Option<TeamName>, _: ProgramKey) -> PortResult<ProgramSummary> {
        Err(refusal())
    }

    async fn call_outcome(self, _: Context, _: TeamName, _: CallKey) -> PortResult<Option<CallOutcome>> {
        Err(refusal())
    }

    async fn list_programs(self, _: Context) -> PortResult<Vec<ProgramSummary>> {
        Ok(Vec::new())
    }

    async fn released_programs(
        self,
        _: Context,
        _: Vec<(ProgramKey, TenureNumber)>,
    ) -> PortResult<Vec<ProgramKey>> {
        Ok(Vec::new())
    }

    async fn fetch_configuration(self, _: Context) -> PortResult<Option<AppliedConfiguration>> {
        self.fetches.fetch_add(1, Ordering::AcqRel);
        Ok(Some(self.applied.lock().expect("no panic").clone()))
    }

    async fn await_adoption(self, _: Context, _: Generation, _: IncarnationId) -> PortResult<bool> {
        Err(refusal())
    }

    async fn drain_host(self, _: Context) -> PortResult<()> {
        Err(refusal())
    }
}
