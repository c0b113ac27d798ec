//! A disk that temporarily refuses writes. The limit applies to the entire process, so that this file has
//! only one test.

mod support;

use std::path::Path;

use googletest::prelude::*;
use ledger::DiskLog;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use support::turn_record;
use tokio::signal::unix::{SignalKind, signal};

/// SIGXFSZ: a write would exceed the limit of the file size.
const FILE_TOO_LARGE: i32 = 25;

fn limit_file_size(bytes: Option<u64>) {
    let maximum = getrlimit(Resource::Fsize).maximum;
    let limit = Rlimit {
        current: bytes,
        maximum,
    };
    setrlimit(Resource::Fsize, limit).expect("a lower limit");
}

fn turns_in(folder: &Path) -> Vec<u128> {
    let mut turns = Vec::new();
    DiskLog::open(folder, |entry| turns.push(entry.record.key().turn.0)).expect("a readable folder");
    turns
}

#[gtest]
#[tokio::test]
async fn a_refused_write_is_reported_and_hides_no_record_before_or_after_it() {
    // With a signal handler the process survives the signal, and the write fails.
    let _handler = signal(SignalKind::from_raw(FILE_TOO_LARGE)).expect("a known signal");
    let folder = tempfile::tempdir().expect("a folder");
    let log = DiskLog::open(folder.path(), |_| {}).expect("a writable folder");
    log.write_synced(&[turn_record(1, 100)])
        .await
        .expect("a working disk");
    limit_file_size(Some(1_000));
    for turn in 2..4 {
        let refused = log.write_synced(&[turn_record(turn, 5_000)]).await;
        expect_that!(refused.is_err(), eq(true), "turn {turn}");
    }
    limit_file_size(None);
    log.write_synced(&[turn_record(4, 100)])
        .await
        .expect("a working disk again");
    let places = log.take_written();
    let turns: Vec<u128> = places.iter().map(|(turn, _)| turn.0).collect();
    expect_that!(turns, eq(&[1, 4]));
    for (turn, place) in places {
        expect_that!(
            log.read(place).expect("a readable file"),
            eq(&turn_record(turn.0, 100))
        );
    }
    drop(log);
    expect_that!(turns_in(folder.path()), eq(&[1, 4]));
}
