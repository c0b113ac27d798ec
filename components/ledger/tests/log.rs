//! The log on the disk: restarts, damaged files and indexes, several files.

mod support;

use std::fs::OpenOptions;
use std::io::Write as _;
use std::path::Path;

use googletest::prelude::*;
use ledger::{DiskLog, IndexedRecord, LedgerRecord, ProgramKey, TurnKey};
use support::turn_record;
use tokio::time::{Duration, timeout};

const fn record(turn: u128) -> LedgerRecord {
    LedgerRecord::Settled {
        program: ProgramKey(1),
        turn: TurnKey(turn),
        tokens: 7,
    }
}

/// Opens a log and returns it with the records that it reads.
fn open(folder: &Path) -> (DiskLog, Vec<LedgerRecord>) {
    let mut entries: Vec<IndexedRecord> = Vec::new();
    let log = DiskLog::open(folder, |entry| entries.push(entry)).expect("a readable and writable folder");
    let records = entries
        .iter()
        .map(|entry| log.read(entry.place).expect("a readable file"));
    let records = records.collect();
    (log, records)
}

#[gtest]
#[tokio::test]
async fn synced_records_survive_a_restart_and_unsynced_ones_are_written_on_close() {
    let folder = tempfile::tempdir().expect("a folder");
    let (log, records) = open(folder.path());
    expect_that!(records, is_empty());
    log.write(&[record(1)]).expect("an open log");
    log.write_synced(&[record(2)]).await.expect("a working disk");
    let (_, records) = open(folder.path());
    expect_that!(records, eq(&[record(1), record(2)]));
    log.write(&[record(3)]).expect("an open log");
    drop(log);
    let all = async {
        loop {
            let (_, records) = open(folder.path());
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

/// Bytes that a torn write left at the end of a file.
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
        let (log, _) = open(folder.path());
        log.write_synced(&[record(1)]).await.expect("a working disk");
        drop(log);
        let path = folder.path().join("ledger-00000000.log");
        let mut file = OpenOptions::new()
            .append(true)
            .open(path)
            .expect("a writable file");
        file.write_all(case.tail).expect("a writable file");
        let (log, records) = open(folder.path());
        expect_that!(records, eq(&[record(1)]), "{}", case.name);
        log.write_synced(&[record(2)]).await.expect("a working disk");
        let (_, records) = open(folder.path());
        expect_that!(records, eq(&[record(1), record(2)]), "{} and after it", case.name);
    }
}

/// Damage to the index of a closed file.
struct IndexCase {
    name: &'static str,
    damage: fn(&Path),
}

#[gtest]
#[tokio::test]
async fn a_missing_or_damaged_index_hides_nothing() {
    let cases = [
        IndexCase {
            name: "intact",
            damage: |_| {},
        },
        IndexCase {
            name: "missing",
            damage: |path| std::fs::remove_file(path).expect("a file"),
        },
        IndexCase {
            name: "empty",
            damage: |path| std::fs::write(path, b"").expect("a writable file"),
        },
        IndexCase {
            name: "torn",
            damage: |path| {
                let bytes = std::fs::read(path).expect("a readable file");
                std::fs::write(path, &bytes[..bytes.len() / 2]).expect("a writable file");
            },
        },
        IndexCase {
            name: "zeros",
            damage: |path| std::fs::write(path, [0; 64]).expect("a writable file"),
        },
    ];
    for case in cases {
        let folder = tempfile::tempdir().expect("a folder");
        let (log, _) = open(folder.path());
        let records = [record(1), turn_record(2, 100), record(3)];
        log.write_synced(&records).await.expect("a working disk");
        drop(log);
        // The second start writes the index of the file that the first start has closed.
        let (_, found) = open(folder.path());
        expect_that!(found, eq(&records), "{}", case.name);
        (case.damage)(&folder.path().join("ledger-00000000.index"));
        let (_, found) = open(folder.path());
        expect_that!(found, eq(&records), "{}", case.name);
    }
}

#[gtest]
#[tokio::test]
async fn locations_of_written_turns_are_correct_across_several_files() {
    let folder = tempfile::tempdir().expect("a folder");
    let (log, _) = open(folder.path());
    // Each batch exceeds the size limit of a file, so that the next batch starts a new file.
    for number in 0..3 {
        let records = [record(number), turn_record(number + 10, 9 * 1024 * 1024)];
        log.write_synced(&records).await.expect("a working disk");
    }
    let written = log.take_written();
    let turns: Vec<u128> = written.iter().map(|(turn, _)| turn.0).collect();
    expect_that!(turns, eq(&[10, 11, 12]));
    let files: Vec<u64> = written.iter().map(|(_, place)| place.file).collect();
    expect_that!(files, eq(&[0, 1, 2]));
    for (turn, place) in written {
        let read = log.read(place).expect("a readable file");
        expect_that!(read, eq(&turn_record(turn.0, 9 * 1024 * 1024)));
    }
    expect_that!(log.take_written(), is_empty());
}
