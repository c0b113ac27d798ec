//! Log files whose retention has expired, and the records in them that are still retained.

mod support;

use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use googletest::prelude::*;
use ledger::{
    CopyLoop, LedgerHost, LedgerPort as _, LedgerRecord, ProgramKey, ReclaimLoop, TurnKey, TurnRecord,
};
use support::{addresses, open_host, silent_log, start_host};
use tarpc::context;

const PROGRAM: ProgramKey = ProgramKey(1);
const RETENTION_MS: u64 = 1_000;
/// Time after which a turn expires that none continues: its retention and the slack.
const EXPIRY_MS: u64 = 61_000;
/// Time after which every closed file has expired.
const FILE_EXPIRY: Duration = Duration::from_mins(10);
/// Size of a turn with which a file is full.
const FULL_FILE_BYTES: usize = 5 * 1024 * 1024;

fn turn(number: u128, previous: Option<u128>, size: usize) -> LedgerRecord {
    LedgerRecord::Turn(TurnRecord {
        program: PROGRAM,
        turn: TurnKey(number),
        previous: previous.map(TurnKey),
        input: Bytes::from(vec![u8::try_from(number % 256).unwrap_or_default(); size]),
        output: Bytes::from_static(b"out"),
        retention_ms: RETENTION_MS,
    })
}

const fn reserved(number: u128, tokens: u64) -> LedgerRecord {
    LedgerRecord::Reserved {
        program: PROGRAM,
        turn: TurnKey(number),
        tokens,
        retention_ms: RETENTION_MS,
    }
}

const fn settled(number: u128, tokens: u64) -> LedgerRecord {
    LedgerRecord::Settled {
        program: PROGRAM,
        turn: TurnKey(number),
        tokens,
    }
}

async fn write(host: &LedgerHost, records: Vec<LedgerRecord>, now_ms: u64) {
    host.write_copied(records, now_ms).await.expect("a working disk");
    host.evict_payloads();
}

/// Returns the numbers of the turns of a chain with the sizes of their inputs, the newest first.
async fn chain(host: &LedgerHost, turn: u128) -> Vec<(u128, usize)> {
    let mut turns = Vec::new();
    let mut next = Some(TurnKey(turn));
    while let Some(turn) = next {
        // A host sends large chains in parts.
        let part = host.clone().chain(context::current(), turn).await;
        let part = part.expect("a working disk");
        next = part.last().and_then(|oldest| oldest.previous);
        turns.extend(part.iter().map(|turn| (turn.turn.0, turn.input.len())));
    }
    turns
}

/// Returns the tokens that the program has committed, of which a further reservation is told.
async fn committed(host: &LedgerHost) -> u64 {
    let receipts = host
        .clone()
        .write(context::current(), vec![reserved(999, 0)], false)
        .await;
    receipts.expect("a working disk")[0].committed
}

/// Returns the numbers of the log files in a folder.
fn files(folder: &Path) -> Vec<u64> {
    let names = std::fs::read_dir(folder).expect("a folder").map(|entry| {
        let name = entry.expect("an entry").file_name();
        name.to_string_lossy().into_owned()
    });
    let numbers = names.filter_map(|name| {
        let number = name.strip_prefix("ledger-")?.strip_suffix(".log")?;
        number.parse().ok()
    });
    let mut numbers: Vec<u64> = numbers.collect();
    numbers.sort_unstable();
    numbers
}

/// The first turns of a session that went on were gone with their log file, and so were the tokens that they had spent.
#[gtest]
#[tokio::test]
async fn what_is_retained_outlives_its_log_file_and_a_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    let host = open_host(folder.path(), 1);
    host.finish_copying();
    write(
        &host,
        vec![reserved(1, 40), settled(1, 30), turn(1, None, FULL_FILE_BYTES)],
        0,
    )
    .await;
    write(&host, vec![turn(7, None, FULL_FILE_BYTES)], 0).await;
    write(
        &host,
        vec![reserved(2, 40), settled(2, 20), turn(2, Some(1), FULL_FILE_BYTES)],
        50_000,
    )
    .await;
    host.prune(EXPIRY_MS + 1);
    let mut reclaim = ReclaimLoop::new(host.clone(), silent_log());
    let expired = Instant::now() + FILE_EXPIRY;
    // A file is removed in the round after the one that has rewritten its records.
    reclaim.round(expired).await;
    expect_that!(files(folder.path()), eq(&[0, 1, 2, 3]));
    for _ in 0..2 {
        reclaim.round(expired).await;
    }
    // The file that receives records is never one of them.
    expect_that!(files(folder.path()).first(), some(ge(&2)));
    let expected = [(2, FULL_FILE_BYTES), (1, FULL_FILE_BYTES)];
    expect_that!(chain(&host, 2).await, eq(&expected));
    drop((host, reclaim));

    let host = open_host(folder.path(), 2);
    host.finish_copying();
    expect_that!(chain(&host, 2).await, eq(&expected));
    expect_that!(chain(&host, 7).await, is_empty());
    expect_that!(committed(&host).await, eq(50));
}

/// Each round rewrites what the round before has written, so that the number of files does not grow.
#[gtest]
#[tokio::test]
async fn a_disk_holds_what_is_retained_and_no_more() {
    const ROUNDS: u64 = 12;
    let folder = tempfile::tempdir().expect("a folder");
    let host = open_host(folder.path(), 1);
    host.finish_copying();
    let mut reclaim = ReclaimLoop::new(host.clone(), silent_log());
    let mut most = 0;
    for round in 0..ROUNDS {
        let now_ms = round * 50_000;
        let number = u128::from(round) + 1;
        let previous = number.checked_sub(1).filter(|previous| *previous > 0);
        write(&host, vec![turn(number, previous, 1_000)], now_ms).await;
        write(&host, vec![turn(1_000 + number, None, FULL_FILE_BYTES)], now_ms).await;
        host.prune(now_ms);
        reclaim.round(Instant::now() + FILE_EXPIRY).await;
        most = most.max(files(folder.path()).len());
    }
    // The current file, those that the last two rounds have closed, and those that wait for their removal.
    expect_that!(most, le(6));
    let newest = u128::from(ROUNDS);
    let expected: Vec<(u128, usize)> = (1..=newest).rev().map(|number| (number, 1_000)).collect();
    expect_that!(chain(&host, newest).await, eq(&expected));
}

/// A host that was cut off from the others did not learn that a session went on, and dropped its first turns for good.
#[gtest]
#[tokio::test]
async fn a_host_that_was_cut_off_copies_the_turns_that_it_has_dropped_meanwhile() {
    let folder = tempfile::tempdir().expect("a folder");
    let source = start_host("a", folder.path()).await;
    let target = open_host(&folder.path().join("b"), 1);
    target.finish_copying();
    let sources = addresses(std::slice::from_ref(&source));
    let mut copies =
        CopyLoop::new(target.clone(), "b".to_owned(), silent_log()).with_max_gap(Duration::from_millis(200));
    write(&source.host, vec![turn(1, None, 10)], 0).await;
    copies.round(&sources, 0).await;
    expect_that!(chain(&target, 1).await, eq(&[(1, 10)]));
    // No round succeeds for a while, and the session goes on at the source.
    write(&source.host, vec![turn(2, Some(1), 10)], 50_000).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let now_ms = ledger::wall_clock_ms() + EXPIRY_MS + 1;
    target.prune(now_ms);
    expect_that!(target.sizes().1, eq(0));
    copies.round(&sources, 0).await;
    expect_that!(chain(&target, 2).await, eq(&[(2, 10), (1, 10)]));
}
