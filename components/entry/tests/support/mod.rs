//! An entry in the test process, and journals of incarnations whose processes have ended.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cadence::{NopMetricSink, StatsdClient};
use domain::{
    CallKey, CallOutcome, CallReply, ChatMessage, ChatRole, FinishedCall, Generation, Heartbeat, HostRole,
    HostState, IncarnationId, ListedHost, MemberRecord, MemberState, MemberTable, MicroUnits, ProgramKey,
    ProgramState, TimeMillis, TokenUsage, UrgencyClass,
};
use entry::{EntryOptions, EntryProcess};
use journal::{JournalRecord, JournalWriter};
use sha2::{Digest, Sha256};
use store::{HostDirectory, ObjectStore, WriteCondition};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use wire::{ClusterSecret, HeartbeatPublisher};

const OPERATOR_KEY: &str = "operator-key-of-the-tests";
const TEAM_KEY: &str = "team-key-of-the-tests";
const LOOPBACK: &str = "127.0.0.1:0";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
const APPEND_SPACING: Duration = Duration::from_millis(1);
const BUFFER_BYTES: usize = 1 << 20;

/// An entry that is stopped when it is dropped.
#[derive(Debug)]
pub struct RunningEntry {
    http: SocketAddr,
    stop: CancellationToken,
}

impl Drop for RunningEntry {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl RunningEntry {
    /// Starts an entry with the given process address and without a host list, so that it receives no
    /// heartbeats.
    pub async fn start(store: Arc<dyn ObjectStore>, process: SocketAddr, suspect_after: Duration) -> Self {
        Self::start_with_hosts(store, process, suspect_after, unreachable_address()).await
    }

    /// Starts an entry that fetches the host list from an address.
    pub async fn start_with_hosts(
        store: Arc<dyn ObjectStore>,
        process: SocketAddr,
        suspect_after: Duration,
        hosts: SocketAddr,
    ) -> Self {
        let options = EntryOptions::builder()
            .host("entry-test".parse().expect("host"))
            .failure_domain("east".parse().expect("failure domain"))
            .http(any_address())
            .process(process)
            .heartbeat(any_address())
            .secret(cluster_secret())
            .operator_key_sha256(hex::encode(Sha256::digest(OPERATOR_KEY)))
            .store(store)
            .hosts(HostDirectory::new(&format!("http://{hosts}"), "unused"))
            .heartbeat_interval(HEARTBEAT_INTERVAL)
            .suspect_after(suspect_after)
            .append_spacing(APPEND_SPACING)
            .stop_grace(Duration::from_millis(100))
            .archive_delay(Duration::ZERO)
            .body_bytes(1 << 20)
            .connections(16)
            .header_timeout(Duration::from_secs(5))
            .metrics(Arc::new(StatsdClient::from_sink("", NopMetricSink)))
            .log(slog::Logger::root(slog::Discard, slog::o!()))
            .build();
        let process = EntryProcess::start(options).await.expect("start");
        let http = process.http_address().expect("address");
        let stop = CancellationToken::new();
        tokio::spawn(process.run(stop.clone()));
        Self { http, stop }
    }

    /// Returns the address of the HTTP port.
    pub const fn http_address(&self) -> SocketAddr {
        self.http
    }

    /// Returns the contents of the messages in a program's history, read as an operator, or the body of the
    /// refusal.
    pub async fn history(&self, program: ProgramKey) -> Result<Vec<String>, String> {
        let path = format!("/admin/programs/{program}/history");
        let body = self.request("GET", &path, OPERATOR_KEY, "").await?;
        let messages = body["messages"].as_array().expect("messages").iter();
        let contents = messages.map(|message| message["content"].as_str().expect("content").to_owned());
        Ok(contents.collect())
    }

    /// Returns whether the entry has received a heartbeat of a host.
    pub async fn has_received_heartbeat(&self, host: &str) -> bool {
        let status = self.request("GET", "/admin/status", OPERATOR_KEY, "").await;
        let status = status.expect("status");
        let mut hosts = status["hosts"].as_array().expect("hosts").iter();
        hosts.any(|row| row["name"] == host)
    }

    /// Starts a program of the team and returns its id, or the body of the refusal.
    pub async fn start_program(&self) -> Result<String, String> {
        let body = r#"{"urgency":"ordinary","deadline":null,"parent":null}"#;
        let program = self.request("POST", "/v1/programs", TEAM_KEY, body).await?;
        Ok(program["program"].as_str().expect("program").to_owned())
    }

    /// Returns whether the entry lists a program among those in memory.
    pub async fn lists(&self, program: ProgramKey) -> bool {
        let programs = self
            .request("GET", "/admin/programs", OPERATOR_KEY, "")
            .await
            .expect("programs");
        let mut rows = programs.as_array().expect("rows").iter();
        rows.any(|row| row["program"] == program.to_string())
    }

    /// Ends a program of the team.
    pub async fn end_program(&self, program: &str) {
        let ended = self
            .request("DELETE", &format!("/v1/programs/{program}"), TEAM_KEY, "")
            .await;
        ended.expect("ended");
    }

    /// Applies a configuration with one team.
    pub async fn apply_configuration(&self) {
        let key = hex::encode(Sha256::digest(TEAM_KEY));
        let text = format!(
            "[cluster]\nfailure-domains = east\nprogram-latency-weight = 500\nwasted-cache-weight = 500\n\
             [team hulls]\nkey-sha256 = {key}\nbudget = 1000\n\
             [service notices]\nkind = plain\nprice-per-call = 0\n"
        );
        let applied = self
            .request("PUT", "/admin/configuration?base=0", OPERATOR_KEY, &text)
            .await;
        applied.expect("configuration");
    }

    async fn request(
        &self,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Result<serde_json::Value, String> {
        let mut connection = TcpStream::connect(self.http).await.expect("connect");
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nAuthorization: Bearer {key}\r\n\
             Azuretide-Operator: test\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        connection.write_all(request.as_bytes()).await.expect("request");
        let mut answer = String::new();
        connection.read_to_string(&mut answer).await.expect("answer");
        let (head, body) = answer.split_once("\r\n\r\n").expect("head");
        if !head.starts_with("HTTP/1.1 20") {
            return Err(body.to_owned());
        }
        Ok(serde_json::from_str(body).expect("body"))
    }
}

fn cluster_secret() -> ClusterSecret {
    ClusterSecret::from_bytes(&[7; 32]).expect("secret")
}

/// Publishes heartbeats of a live member until the test ends, and returns the address of a host list that
/// shows it.
pub async fn publish_member(member: MemberRecord) -> SocketAddr {
    let heartbeat = free_address();
    let publisher = HeartbeatPublisher::bind(heartbeat, cluster_secret()).expect("publisher");
    let row = ListedHost {
        name: member.host.clone(),
        role: HostRole::Entry,
        failure_domain: member.failure_domain.clone(),
        heartbeat,
        state: HostState::Live,
    };
    tokio::spawn(async move {
        for sequence in 1.. {
            publisher
                .publish(&heartbeat_of(&member, sequence))
                .expect("publish");
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    });
    serve_hosts(&[row]).await
}

fn heartbeat_of(member: &MemberRecord, sequence: u64) -> Heartbeat {
    Heartbeat {
        host: member.host.clone(),
        role: HostRole::Entry,
        failure_domain: member.failure_domain.clone(),
        start: member.incarnation.0,
        sequence,
        address: member.address,
        generation: Generation(0),
        members: Generation(0),
        leaving: false,
        load: None,
    }
}

async fn serve_hosts(rows: &[ListedHost]) -> SocketAddr {
    let body = serde_json::to_string(rows).expect("rows");
    let length = body.len();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}");
    let listener = tokio::net::TcpListener::bind(LOOPBACK).await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let mut request = [0; 4096];
            // A request without a body arrives in one read over loopback.
            let _ = connection.read(&mut request).await;
            let _ = connection.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Returns the loopback address with port 0, for which the system chooses a free port.
pub fn any_address() -> SocketAddr {
    LOOPBACK.parse().expect("address")
}

/// Returns a loopback address that refuses connections.
pub fn unreachable_address() -> SocketAddr {
    "127.0.0.1:1".parse().expect("address")
}

/// Returns a loopback address with a free port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(LOOPBACK).expect("bind");
    listener.local_addr().expect("address")
}

/// Returns the record of a member, which publishes no heartbeats unless a test calls [`publish_member`].
pub fn member(incarnation: u64, address: SocketAddr, state: MemberState) -> MemberRecord {
    MemberRecord {
        incarnation: IncarnationId(incarnation),
        host: format!("entry-{incarnation}").parse().expect("host"),
        failure_domain: "east".parse().expect("failure domain"),
        address,
        joined: TimeMillis(1),
        state,
    }
}

pub fn sealed_for(successors: &[u64]) -> MemberState {
    MemberState::Sealed {
        successors: successors.iter().copied().map(IncarnationId).collect(),
    }
}

pub async fn read_members(store: &dyn ObjectStore) -> MemberTable {
    let object = store.read("members").await.expect("read").expect("members");
    serde_json::from_slice(&object.value).expect("table")
}

/// Writes the member table. The next entry joins as incarnation `next`.
pub async fn write_members(store: &dyn ObjectStore, next: u64, members: Vec<MemberRecord>) {
    let next = IncarnationId(next);
    let table = serde_json::to_vec(&MemberTable { next, members }).expect("table");
    let condition = match store.read("members").await.expect("read") {
        Some(object) => WriteCondition::Version(object.version),
        None => WriteCondition::Absent,
    };
    store
        .write("members", Bytes::from(table), condition)
        .await
        .expect("write");
}

pub fn open_journal(store: &Arc<dyn ObjectStore>, incarnation: u64) -> JournalWriter {
    JournalWriter::open(
        Arc::clone(store),
        IncarnationId(incarnation),
        APPEND_SPACING,
        BUFFER_BYTES,
    )
}

pub fn program_key(incarnation: u64, sequence: u64) -> ProgramKey {
    let incarnation = IncarnationId(incarnation);
    ProgramKey {
        incarnation,
        sequence,
    }
}

pub fn new_program(key: ProgramKey) -> ProgramState {
    let team = "hulls".parse().expect("team");
    ProgramState::new(key, team, UrgencyClass::Ordinary, TimeMillis::now())
}

/// Returns a turn whose answer is the call's number.
pub fn turn(program: ProgramKey, sequence: u64) -> JournalRecord {
    let usage = TokenUsage::default();
    let text = sequence.to_string();
    JournalRecord::Finished {
        new_messages: vec![ChatMessage {
            role: ChatRole::Assistant,
            content: text.clone(),
        }],
        finished: FinishedCall {
            call: CallKey { program, sequence },
            idempotency_key: format!("key-{sequence}"),
            fingerprint: sequence,
            outcome: CallOutcome::Answered(CallReply::Chat { text, usage }),
            charged: MicroUnits::ZERO,
            unsettled: None,
        },
        host: None,
        served_tokens: 0,
        at: TimeMillis::now(),
    }
}
