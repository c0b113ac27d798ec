//! Crowds of callers that do not behave, against the daemon of an entry.
//!
//! Checked is only what does not depend on the speed of the machine: the process lives, its memory stays within the target
//! of docs/CAPACITY.md, and an ordinary request is answered.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{session, start};
use googletest::prelude::*;
use standins::{Deployment, KELANIMATCH_KEY, Testbed};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Memory of a node in kilobytes: the target for its control.
const MEMORY_KB: u64 = 128 * 1024;
/// Largest body of the default settings in bytes, and the default number of connections.
const BODY_BYTES: usize = 1024 * 1024;
const CONNECTIONS: usize = 1_024;
/// Time in which the connections of a crowd are opened and have sent what they send.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Pause before a member opens a new connection.
const RETURN_PAUSE: Duration = Duration::from_millis(50);
const ENTRY: &str = "entry-1";

/// A crowd of callers of one shape.
struct CrowdCase {
    name: &'static str,
    size: usize,
    request: Vec<u8>,
}

/// Opens connections one after the other, sends on each and keeps it until the entry closes it.
async fn act(entry: SocketAddr, request: &[u8]) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(entry).await
            && stream.write_all(request).await.is_ok()
        {
            let mut answer = vec![0; 4096];
            while let Ok(1..) = stream.read(&mut answer).await {}
        }
        sleep(RETURN_PAUSE).await;
    }
}

fn peak_memory_kb(testbed: &Testbed) -> Option<u64> {
    let process = testbed.process_id(ENTRY)?;
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Returns a request whose body lacks a byte.
fn short_request(key: &str) -> Vec<u8> {
    let mut request = format!(
        "POST /v1/programs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    )
    .into_bytes();
    request.extend(vec![b' '; BODY_BYTES - 1]);
    request
}

async fn expect_program_served(testbed: &Testbed, name: &str) {
    let serving = async {
        let mut session = session(testbed, 0).await;
        session.turn("user", "opening", 5).await.unwrap();
        session.finish().await.unwrap();
    };
    let served = timeout(Duration::from_mins(1), serving).await;
    expect_that!(served.is_ok(), eq(true), "{name}");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crowds_at_the_daemon_of_an_entry_are_withstood() {
    let cases = [
        CrowdCase {
            name: "bodies of strangers that stop short",
            size: 300,
            request: short_request("a key that nobody has"),
        },
        CrowdCase {
            name: "bodies of a team that stop short",
            size: 300,
            request: short_request(KELANIMATCH_KEY),
        },
        CrowdCase {
            name: "heads that stop short",
            size: CONNECTIONS + 100,
            request: b"POST /v1/programs HTTP/1.1\r\nHost: x\r\nX-Long: x".to_vec(),
        },
    ];
    for case in cases {
        let (testbed, _permit) = start(Deployment::kelanimatch()).await;
        let entry = SocketAddr::new(testbed.address(ENTRY).into(), 7_100);
        let mut crowd = JoinSet::new();
        for _ in 0..case.size {
            let request = case.request.clone();
            crowd.spawn(async move { act(entry, &request).await });
        }
        sleep(SETTLE_TIME).await;
        expect_program_served(&testbed, case.name).await;
        crowd.shutdown().await;
        expect_program_served(&testbed, case.name).await;
        let peak_kb = peak_memory_kb(&testbed);
        println!("{}: {peak_kb:?} KB", case.name);
        expect_that!(peak_kb, some(le(MEMORY_KB)), "{}", case.name);
    }
}
