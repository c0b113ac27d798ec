//! The log on the disk.

mod support;

use std::fs::OpenOptions;
use std::io::Write as _;

use googletest::prelude::*;
use ledger::{DiskLog, LedgerRecord, ProgramKey, TurnKey};
use tokio::time::{Duration, timeout};

const fn record(turn: u128) -> LedgerRecord {
    LedgerRecord::Settled {
        program: ProgramKey(1),
        turn: TurnKey(turn),
        tokens: 7,
    }
}

#[gtest]
#[tokio::test]
async fn synced_records_are_there_after_a_restart_and_unsynced_ones_follow() {
    let folder = tempfile::tempdir().expect("a folder");
    let (log, records) = DiskLog::open(folder.path()).expect("a writable folder");
    expect_that!(records, is_empty());
    log.write(&[record(1)]).expect("an open log");
    log.write_synced(&[record(2)]).await.expect("a sound disk");
    let (_, records) = DiskLog::open(folder.path()).expect("a readable folder");
    expect_that!(records, eq(&[record(1), record(2)]));
    log.write(&[record(3)]).expect("an open log");
    drop(log);
    let all = async {
        loop {
            let (_, records) = DiskLog::open(folder.path()).expect("a readable folder");
            if records.len() == 3 {
                return records;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let records = timeout(Duration::from_secs(20), all)
        .await
        .expect("written at the end");
    expect_that!(records, eq(&[record(1), record(2), record(3)]));
}

/// Damage at the end of a file.
struct DamageCase {
    name: &'static str,
    tail: &'static [u8],
}

#[gtest]
#[tokio::test]
async fn a_torn_end_hides_nothing_that_was_synced() {
    let cases = [
        DamageCase {
            name: "zeros",
            tail: &[0; 64],
        },
        DamageCase {
            name: "half a header",
            tail: &[9, 0, 0],
        },
        DamageCase {
            name: "a header without its record",
            tail: &[200, 0, 0, 0, 1, 2, 3, 4, 5],
        },
        DamageCase {
            name: "a wrong checksum",
            tail: &[2, 0, 0, 0, 0, 0, 0, 0, 1, 1],
        },
        DamageCase {
            name: "a huge length",
            tail: &[255; 16],
        },
    ];
    for case in cases {
        let folder = tempfile::tempdir().expect("a folder");
        let (log, _) = DiskLog::open(folder.path()).expect("a writable folder");
        log.write_synced(&[record(1)]).await.expect("a sound disk");
        drop(log);
        let file = std::fs::read_dir(folder.path())
            .expect("a readable folder")
            .next()
            .expect("one file");
        let path = file.expect("a readable entry").path();
        let mut file = OpenOptions::new()
            .append(true)
            .open(path)
            .expect("a writable file");
        file.write_all(case.tail).expect("a writable file");
        let (log, records) = DiskLog::open(folder.path()).expect("a readable folder");
        expect_that!(records, eq(&[record(1)]), "{}", case.name);
        log.write_synced(&[record(2)]).await.expect("a sound disk");
        let (_, records) = DiskLog::open(folder.path()).expect("a readable folder");
        expect_that!(records, eq(&[record(1), record(2)]), "{} and after it", case.name);
    }
}
