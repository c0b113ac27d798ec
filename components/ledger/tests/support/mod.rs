//! Ledger hosts on loopback.
#![allow(dead_code, reason = "each test binary uses its own part of the support")]

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use ledger::{
    HostOptions, LedgerClient, LedgerHost, LedgerHosts, LedgerRecord, ProgramKey, TurnKey, TurnRecord,
    serve_port,
};
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Duration, timeout};

pub fn silent_log() -> Logger {
    Logger::root(Discard, o!())
}

/// Returns a completed turn with an input of `size` bytes.
pub fn turn_record(turn: u128, size: usize) -> LedgerRecord {
    LedgerRecord::Turn(TurnRecord {
        program: ProgramKey(1),
        turn: TurnKey(turn),
        previous: None,
        input: Bytes::from(vec![b'i'; size]),
        output: Bytes::from_static(b"out"),
        retention_ms: 1_000,
    })
}

/// A host with its listener's task. Aborting the task closes the listener and all connections.
pub struct RunningHost {
    pub name: String,
    pub address: SocketAddr,
    pub host: LedgerHost,
    pub task: JoinHandle<()>,
}

pub fn open_host(folder: &Path, epoch: u64) -> LedgerHost {
    let options = HostOptions {
        folder: folder.to_owned(),
        epoch,
        payload_cache_limit_bytes: 1024 * 1024,
        log: silent_log(),
    };
    LedgerHost::open(options, 0).expect("a writable folder")
}

pub async fn start_host(name: &str, folder: &Path) -> RunningHost {
    let running = start_copying_host(name, folder).await;
    running.host.finish_copying();
    running
}

/// Starts a host that has not copied the records of the other hosts.
pub async fn start_copying_host(name: &str, folder: &Path) -> RunningHost {
    let host = open_host(&folder.join(name), 1);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let task = tokio::spawn(serve(listener, host.clone()));
    RunningHost {
        name: name.to_owned(),
        address,
        host,
        task,
    }
}

pub async fn serve(listener: TcpListener, host: LedgerHost) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(serve_port(stream, host.clone()));
    }
}

pub async fn start_hosts(names: &[&str], folder: &Path) -> Vec<RunningHost> {
    let mut hosts = Vec::new();
    for name in names {
        hosts.push(start_host(name, folder).await);
    }
    hosts
}

/// Starts hosts that have not copied the records of the other hosts.
pub async fn start_copying_hosts(names: &[&str], folder: &Path) -> Vec<RunningHost> {
    let mut hosts = Vec::new();
    for name in names {
        hosts.push(start_copying_host(name, folder).await);
    }
    hosts
}

pub fn addresses(hosts: &[RunningHost]) -> Vec<(String, SocketAddr)> {
    hosts
        .iter()
        .map(|host| (host.name.clone(), host.address))
        .collect()
}

/// Returns a client that is connected to more than `tolerated_failures` of the hosts.
pub async fn client_of(tolerated_failures: usize, hosts: &LedgerHosts) -> LedgerClient {
    let client = LedgerClient::new(tolerated_failures, silent_log());
    client.set_hosts(hosts);
    let waiting = async {
        while !client.is_reachable() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(std::time::Duration::from_secs(20), waiting)
        .await
        .expect("the hosts are reached");
    client
}

/// A listener whose queue of new connections is full, so that the kernel drops connection requests like those to
/// a host without power.
pub struct SilentListener {
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl SilentListener {
    /// Starts a listener and fills its queue.
    pub async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .bind("127.0.0.1:0".parse().expect("an address"))
            .expect("a free port");
        let listener = socket.listen(1).expect("a listener");
        let address = listener.local_addr().expect("a bound address");
        let mut queued = Vec::new();
        while let Ok(stream) = timeout(Duration::from_millis(100), TcpStream::connect(address)).await {
            queued.push(stream.expect("queued"));
        }
        Self { listener, queued }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("a bound address")
    }

    /// Empties the queue, so that connection requests are answered again.
    pub async fn answer(&self) {
        for _ in &self.queued {
            drop(self.listener.accept().await.expect("a queued connection"));
        }
    }
}

/// A proxy in front of a host that counts the bytes in each direction.
pub struct CountingProxy {
    pub address: SocketAddr,
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

/// Copies bytes until either side ends, and counts them.
async fn copy_counted(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    counter: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        counter.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

impl CountingProxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (sent, received) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let counters = (Arc::clone(&sent), Arc::clone(&received));
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let (sent, received) = counters.clone();
                tokio::spawn(async move {
                    let host = TcpStream::connect(target).await.expect("the host is running");
                    let (from_client, to_client) = client.into_split();
                    let (from_host, to_host) = host.into_split();
                    tokio::spawn(copy_counted(from_client, to_host, received));
                    copy_counted(from_host, to_client, sent).await;
                });
            }
        });
        Self {
            address,
            sent,
            received,
        }
    }

    /// Returns the number of bytes that the host has sent.
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that the host has received.
    pub fn received_bytes(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}
