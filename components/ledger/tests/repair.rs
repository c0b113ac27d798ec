//! Copying between hosts.

mod support;

use bytes::Bytes;
use googletest::prelude::*;
use ledger::{CopyLoop, LedgerRecord, ProgramKey, TurnKey, TurnRecord};
use support::{addresses, open_host, silent_log, start_hosts};

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

/// A start of a host and whether it may answer after one round.
struct StartCase {
    name: &'static str,
    away: usize,
    may_lack: usize,
    answers: bool,
}

#[gtest]
#[tokio::test]
async fn a_host_answers_once_enough_others_were_copied() {
    let cases = [
        StartCase {
            name: "all there",
            away: 0,
            may_lack: 0,
            answers: true,
        },
        StartCase {
            name: "one away, none may lack",
            away: 1,
            may_lack: 0,
            answers: false,
        },
        StartCase {
            name: "one away, one may lack",
            away: 1,
            may_lack: 1,
            answers: true,
        },
        StartCase {
            name: "two away, one may lack",
            away: 2,
            may_lack: 1,
            answers: false,
        },
    ];
    for case in cases {
        let folder = tempfile::tempdir().expect("a folder");
        let hosts = start_hosts(&["a", "b"], folder.path()).await;
        hosts[1]
            .host
            .adopt(vec![turn(1, 10)], 0)
            .await
            .expect("a sound disk");
        let peers = addresses(&hosts);
        for host in &hosts[..case.away] {
            host.task.abort();
        }
        tokio::task::yield_now().await;
        let host = open_host(&folder.path().join("new"), 2);
        let mut copies = CopyLoop::new(host.clone(), "new".to_owned(), silent_log());
        let reached = copies.round(&peers, case.may_lack).await;
        expect_that!(reached.len(), eq(2 - case.away), "{}", case.name);
        expect_that!(host.is_copying(), eq(!case.answers), "{}", case.name);
        expect_that!(host.sizes().1, eq(usize::from(case.away < 2)), "{}", case.name);
    }
}

#[gtest]
#[tokio::test]
async fn records_larger_than_one_answer_are_copied_whole_and_only_new_ones_later() {
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = start_hosts(&["a"], folder.path()).await;
    let records: Vec<LedgerRecord> = (0..30).map(|number| turn(number, 200_000)).collect();
    hosts[0].host.adopt(records, 0).await.expect("a sound disk");
    let host = open_host(&folder.path().join("new"), 2);
    let mut copies = CopyLoop::new(host.clone(), "new".to_owned(), silent_log());
    copies.round(&addresses(&hosts), 0).await;
    expect_that!(host.sizes().1, eq(30));
    hosts[0]
        .host
        .adopt(vec![turn(100, 10)], 0)
        .await
        .expect("a sound disk");
    expect_that!(hosts[0].host.is_copied_by(&["new".to_owned()]), eq(false));
    copies.round(&addresses(&hosts), 0).await;
    copies.round(&addresses(&hosts), 0).await;
    expect_that!(host.sizes().1, eq(31));
    expect_that!(hosts[0].host.is_copied_by(&["new".to_owned()]), eq(true));
}
