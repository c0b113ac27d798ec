//! Copying of records between hosts.

mod support;

use bytes::Bytes;
use googletest::prelude::*;
use ledger::{CopyLoop, DiskLog, LedgerRecord, ProgramKey, TurnKey, TurnRecord};
use support::{RunningHost, addresses, open_host, serve, silent_log, start_hosts};
use tokio::net::TcpListener;

const PROGRAM: ProgramKey = ProgramKey(1);

fn turn(number: u128, size: usize) -> LedgerRecord {
    LedgerRecord::Turn(TurnRecord {
        program: PROGRAM,
        turn: TurnKey(number),
        previous: None,
        input: Bytes::from(vec![b'x'; size]),
        output: Bytes::new(),
        retention_ms: u64::MAX / 4,
    })
}

/// Peers of a starting host, and whether the host is complete after one round.
struct StartCase {
    name: &'static str,
    unreachable: usize,
    max_unreachable: usize,
    is_complete: bool,
}

#[gtest]
#[tokio::test]
async fn a_host_answers_once_enough_others_were_copied() {
    let cases = [
        StartCase {
            name: "all reachable",
            unreachable: 0,
            max_unreachable: 0,
            is_complete: true,
        },
        StartCase {
            name: "one unreachable, none tolerated",
            unreachable: 1,
            max_unreachable: 0,
            is_complete: false,
        },
        StartCase {
            name: "one unreachable, one tolerated",
            unreachable: 1,
            max_unreachable: 1,
            is_complete: true,
        },
        StartCase {
            name: "two unreachable, one tolerated",
            unreachable: 2,
            max_unreachable: 1,
            is_complete: false,
        },
    ];
    for case in cases {
        let folder = tempfile::tempdir().expect("a folder");
        let hosts = start_hosts(&["a", "b"], folder.path()).await;
        hosts[1]
            .host
            .write_copied(vec![turn(1, 10)], 0)
            .await
            .expect("a working disk");
        let peers = addresses(&hosts);
        for host in &hosts[..case.unreachable] {
            host.task.abort();
        }
        tokio::task::yield_now().await;
        let host = open_host(&folder.path().join("new"), 2);
        let mut copies = CopyLoop::new(host.clone(), "new".to_owned(), silent_log());
        let reached = copies.round(&peers, case.max_unreachable).await;
        expect_that!(reached.len(), eq(2 - case.unreachable), "{}", case.name);
        expect_that!(host.is_copying(), eq(!case.is_complete), "{}", case.name);
        expect_that!(
            host.sizes().1,
            eq(usize::from(case.unreachable < 2)),
            "{}",
            case.name
        );
    }
}

#[gtest]
#[tokio::test]
async fn records_beyond_one_response_are_all_copied_and_only_new_ones_later() {
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = start_hosts(&["a"], folder.path()).await;
    let records: Vec<LedgerRecord> = (0..30).map(|number| turn(number, 200_000)).collect();
    hosts[0]
        .host
        .write_copied(records, 0)
        .await
        .expect("a working disk");
    let host = open_host(&folder.path().join("new"), 2);
    let mut copies = CopyLoop::new(host.clone(), "new".to_owned(), silent_log());
    copies.round(&addresses(&hosts), 0).await;
    expect_that!(host.sizes().1, eq(30));
    hosts[0]
        .host
        .write_copied(vec![turn(100, 10)], 0)
        .await
        .expect("a working disk");
    expect_that!(hosts[0].host.is_copied_by(&["new".to_owned()]), eq(false));
    copies.round(&addresses(&hosts), 0).await;
    copies.round(&addresses(&hosts), 0).await;
    expect_that!(host.sizes().1, eq(31));
    expect_that!(hosts[0].host.is_copied_by(&["new".to_owned()]), eq(true));
}

#[gtest]
#[tokio::test]
async fn an_empty_host_fetches_each_record_from_one_source_only() {
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = start_hosts(&["a", "b", "c"], folder.path()).await;
    let records: Vec<LedgerRecord> = (0..3_000).map(|number| turn(number, 100)).collect();
    for host in &hosts {
        host.host
            .write_copied(records.clone(), 0)
            .await
            .expect("a working disk");
    }
    let own = folder.path().join("new");
    let host = open_host(&own, 2);
    let mut copies = CopyLoop::new(host.clone(), "new".to_owned(), silent_log());
    copies.round(&addresses(&hosts), 0).await;
    expect_that!(host.sizes().1, eq(3_000));
    let mut written = 0;
    DiskLog::open(&own, |_| written += 1).expect("a readable folder");
    expect_that!(written, eq(3_000));
}

#[gtest]
#[tokio::test]
async fn a_restarted_source_is_compared_again() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut hosts = start_hosts(&["a"], folder.path()).await;
    let write_copied = async |source: &RunningHost, number| {
        let written = source.host.write_copied(vec![turn(number, 10)], 0).await;
        written.expect("a working disk");
    };
    for number in 0..3 {
        write_copied(&hosts[0], number).await;
    }
    let host = open_host(&folder.path().join("new"), 2);
    let mut copies = CopyLoop::new(host.clone(), "new".to_owned(), silent_log());
    copies.round(&addresses(&hosts), 0).await;
    expect_that!(host.sizes().1, eq(3));
    // The source restarts at its address with an empty disk and receives a new record. The reader's position
    // exceeds the source's number of records.
    hosts[0].task.abort();
    copies.round(&addresses(&hosts), 0).await;
    let again = open_host(&folder.path().join("wiped"), 3);
    let listener = TcpListener::bind(hosts[0].address)
        .await
        .expect("the port is free again");
    hosts[0].task = tokio::spawn(serve(listener, again.clone()));
    hosts[0].host = again;
    write_copied(&hosts[0], 10).await;
    copies.round(&addresses(&hosts), 0).await;
    copies.round(&addresses(&hosts), 0).await;
    expect_that!(host.sizes().1, eq(4));
}

#[gtest]
#[tokio::test]
async fn a_host_answers_without_waiting_for_tolerated_unreachable_sources() {
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = start_hosts(&["a"], folder.path()).await;
    // This source accepts connections and never responds.
    let stalled = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut peers = addresses(&hosts);
    peers.push((
        "stalled".to_owned(),
        stalled.local_addr().expect("a bound address"),
    ));
    let host = open_host(&folder.path().join("new"), 2);
    let mut copies = CopyLoop::new(host.clone(), "new".to_owned(), silent_log());
    let mut round = std::pin::pin!(copies.round(&peers, 1));
    let answering = async {
        while host.is_copying() {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        _ = &mut round => panic!("the round ended before the call to the stalled source timed out"),
        () = answering => {}
    }
}
