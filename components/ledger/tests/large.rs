//! Turns of megabytes: they are stored and fetched beside small ones, and bounded at the hosts.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use googletest::prelude::*;
use ledger::{
    LARGE_PAYLOAD_BYTES, LedgerClient, LedgerHosts, LedgerPortClient, MessageGate, ProgramKey, TurnKey,
    TurnRecord, connect_host, serve_gated_port,
};
use support::{RunningHost, addresses, client_of, open_host, silent_log, start_hosts, turn_record};
use tarpc::context;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const PROGRAM: ProgramKey = ProgramKey(1);
const NAMES: [&str; 3] = ["a", "b", "c"];
/// Time after which a call counts as stuck.
const STUCK_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a turn whose input tells it from the others.
fn turn(number: u128, size: usize) -> TurnRecord {
    let letter = b'a' + u8::try_from(number % 26).expect("below 26");
    TurnRecord {
        program: PROGRAM,
        turn: TurnKey(number),
        previous: (number > 0).then(|| TurnKey(number - 1)),
        input: Bytes::from(vec![letter; size]),
        output: Bytes::from_static(b"out"),
        retention_ms: 60_000,
    }
}

/// What one of three hosts does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ThirdHost {
    Answers,
    /// Its listener is closed.
    Lost,
    /// It accepts connections and reads nothing.
    Hangs,
}

/// Sizes of the turns of a chain in bytes.
struct ChainCase {
    name: &'static str,
    sizes: Vec<usize>,
    third: ThirdHost,
}

/// Starts a listener that accepts connections and reads nothing.
async fn start_hanging() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
        }
    });
    address
}

async fn client(hosts: &[RunningHost], third: ThirdHost) -> LedgerClient {
    let mut listed = addresses(hosts);
    match third {
        ThirdHost::Answers => {}
        ThirdHost::Lost => hosts[2].task.abort(),
        ThirdHost::Hangs => listed[2].1 = start_hanging().await,
    }
    client_of(1, &LedgerHosts::new(listed)).await
}

#[gtest]
#[tokio::test]
async fn large_turns_are_stored_beside_small_ones_and_fetched_whole() {
    const MEGABYTE: usize = 1024 * 1024;
    let case = |name, sizes, third| ChainCase { name, sizes, third };
    let cases = [
        case("many of some kilobytes", vec![20_000; 60], ThirdHost::Answers),
        case("large ones", vec![MEGABYTE; 6], ThirdHost::Answers),
        case(
            "large and small ones",
            vec![10, 2 * MEGABYTE, 10, 10, MEGABYTE, 10],
            ThirdHost::Answers,
        ),
        case(
            "at the size that counts as large",
            vec![LARGE_PAYLOAD_BYTES - 3, LARGE_PAYLOAD_BYTES - 2],
            ThirdHost::Answers,
        ),
        case("one host lost", vec![10, MEGABYTE, MEGABYTE], ThirdHost::Lost),
        case("one host hangs", vec![10, MEGABYTE, MEGABYTE], ThirdHost::Hangs),
    ];
    for case in cases {
        let folder = tempfile::tempdir().expect("a folder");
        let hosts = start_hosts(&NAMES, folder.path()).await;
        let client = client(&hosts, case.third).await;
        let turns: Vec<TurnRecord> = (0..)
            .zip(&case.sizes)
            .map(|(number, size)| turn(number, *size))
            .collect();
        let storing = join_all(turns.iter().map(|turn| client.store_turn(turn.clone())));
        let stored = timeout(STUCK_TIMEOUT, storing).await.expect("not stuck");
        let failed = stored.iter().filter(|stored| stored.is_err()).count();
        expect_that!(failed, eq(0), "{}", case.name);
        let newest = TurnKey(turns.len() as u128 - 1);
        let fetching = client.fetch_chain(newest, Some(PROGRAM));
        let chain = timeout(STUCK_TIMEOUT, fetching).await.expect("not stuck");
        let chain = chain.expect("two hosts have it");
        let is_whole = chain.iter().eq(turns.iter().rev());
        expect_that!(is_whole, eq(true), "{}: {} turns", case.name, chain.len());
        // The connection of the link may just be replaced after a large part.
        let small = client.store_turn(turn(1_000, 10)).await;
        expect_that!(small.is_ok(), eq(true), "{}", case.name);
    }
}

/// Starts a host that has room for large messages of this many bytes, and returns its address.
async fn start_gated(folder: &std::path::Path, gate: MessageGate) -> SocketAddr {
    let host = open_host(folder, 1);
    host.finish_copying();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_gated_port(stream, host.clone(), gate.clone()));
        }
    });
    address
}

async fn connect(host: SocketAddr) -> LedgerPortClient {
    connect_host(TcpStream::connect(host).await.expect("a host that listens"))
}

async fn write(client: &LedgerPortClient, turn: u128, size: usize) -> bool {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + STUCK_TIMEOUT;
    let written = client.write(context, vec![turn_record(turn, size)], true).await;
    written.is_ok_and(|written| written.is_ok())
}

#[gtest]
#[tokio::test]
async fn large_messages_wait_for_room_and_those_that_stop_short_give_it_back() {
    const SIZE: usize = 700_000;
    const WRITERS: u128 = 8;
    let folder = tempfile::tempdir().expect("a folder");
    let gate = MessageGate::of_memory(0, silent_log());
    let limit_bytes = gate.limit_bytes();
    let host = start_gated(folder.path(), gate).await;
    // Each of these takes the whole room and stops short.
    let mut short = Vec::new();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(host).await.expect("a host that listens");
        let length = u32::try_from(limit_bytes).expect("a length").to_be_bytes();
        stream.write_all(&length).await.expect("an open connection");
        stream.write_all(&[0; 1_000]).await.expect("an open connection");
        short.push(stream);
    }
    let writing = (0..WRITERS).map(async |number| {
        let client = connect(host).await;
        // A connection that has had a large message still takes others.
        write(&client, number, SIZE).await && write(&client, WRITERS + number, 10).await
    });
    let written = timeout(STUCK_TIMEOUT, join_all(writing))
        .await
        .expect("not stuck");
    expect_that!(written, each(eq(&true)));
    for stream in &mut short {
        let mut rest = [0; 1];
        let closed = timeout(STUCK_TIMEOUT, stream.read(&mut rest))
            .await
            .expect("not stuck");
        expect_that!(closed.unwrap_or(0), eq(0));
    }
    let client = connect(host).await;
    expect_that!(write(&client, 100, limit_bytes + 1).await, eq(false));
    let client = connect(host).await;
    expect_that!(write(&client, 101, 10).await, eq(true));
}
