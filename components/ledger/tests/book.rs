//! Counting and reading back, whatever the order of the records.

use bytes::Bytes;
use googletest::prelude::*;
use ledger::{LedgerBook, LedgerRecord, ProgramKey, TurnKey, TurnRecord};

const PROGRAM: ProgramKey = ProgramKey(1);

const fn reserved(turn: u128, tokens: u64) -> LedgerRecord {
    LedgerRecord::Reserved {
        program: PROGRAM,
        turn: TurnKey(turn),
        tokens,
        retention_ms: 300_000,
    }
}

const fn settled(turn: u128, tokens: u64) -> LedgerRecord {
    LedgerRecord::Settled {
        program: PROGRAM,
        turn: TurnKey(turn),
        tokens,
    }
}

fn kept(turn: u128, previous: Option<u128>) -> LedgerRecord {
    LedgerRecord::Turn(TurnRecord {
        program: PROGRAM,
        turn: TurnKey(turn),
        previous: previous.map(TurnKey),
        input: Bytes::from(format!("in{turn}")),
        output: Bytes::from(format!("out{turn}")),
        retention_ms: 1_000,
    })
}

/// Records and what they count for.
struct CountCase {
    name: &'static str,
    records: Vec<LedgerRecord>,
    committed: u64,
}

#[gtest]
fn tokens_count_once_in_every_order() {
    let cases = [
        CountCase {
            name: "open",
            records: vec![reserved(1, 40)],
            committed: 40,
        },
        CountCase {
            name: "settled",
            records: vec![reserved(1, 40), settled(1, 10)],
            committed: 10,
        },
        CountCase {
            name: "settled first",
            records: vec![settled(1, 10), reserved(1, 40)],
            committed: 10,
        },
        CountCase {
            name: "twice",
            records: vec![reserved(1, 40), reserved(1, 40)],
            committed: 40,
        },
        CountCase {
            name: "given back",
            records: vec![reserved(1, 40), settled(1, 0)],
            committed: 0,
        },
        CountCase {
            name: "several",
            records: vec![reserved(1, 40), reserved(2, 5), settled(1, 3)],
            committed: 8,
        },
    ];
    for case in cases {
        let mut forwards = LedgerBook::default();
        let mut backwards = LedgerBook::default();
        for record in &case.records {
            forwards.apply(record, 0);
        }
        for record in case.records.iter().rev() {
            backwards.apply(record, 0);
        }
        expect_that!(forwards.committed(PROGRAM), eq(case.committed), "{}", case.name);
        expect_that!(
            backwards.committed(PROGRAM),
            eq(case.committed),
            "{} backwards",
            case.name
        );
        expect_that!(
            forwards.committed(ProgramKey(2)),
            eq(0),
            "{} of another program",
            case.name
        );
    }
}

#[gtest]
fn a_chain_is_read_as_far_as_it_is_known() {
    let mut book = LedgerBook::default();
    for record in [
        kept(3, Some(2)),
        kept(1, None),
        kept(4, Some(1)),
        kept(9, Some(8)),
    ] {
        book.apply(&record, 0);
    }
    let turns = |book: &LedgerBook, turn| -> Vec<u128> {
        book.chain(TurnKey(turn))
            .iter()
            .map(|record| record.turn.0)
            .collect()
    };
    expect_that!(turns(&book, 3), eq(&[3]));
    book.apply(&kept(2, Some(1)), 0);
    expect_that!(turns(&book, 3), eq(&[3, 2, 1]));
    expect_that!(turns(&book, 4), eq(&[4, 1]));
    expect_that!(turns(&book, 9), eq(&[9]));
    expect_that!(turns(&book, 7), is_empty());
}

#[gtest]
fn a_second_record_of_a_turn_changes_nothing() {
    let mut book = LedgerBook::default();
    expect_that!(book.apply(&kept(1, None), 0), eq(true));
    expect_that!(book.apply(&kept(1, Some(5)), 0), eq(false));
    expect_that!(book.chain(TurnKey(1))[0].previous, none());
}

#[gtest]
fn arrivals_are_numbered_through_pruning() {
    let mut book = LedgerBook::default();
    book.apply(&kept(1, None), 0);
    book.apply(&kept(2, Some(1)), 50_000);
    let (keys, next) = book.arrivals_since(0, 10);
    expect_that!((keys.len(), next), eq((2, 2)));
    // The first turn outlives its retention and the slack, the second does not yet.
    book.prune(61_001);
    expect_that!(book.chain(TurnKey(1)), is_empty());
    expect_that!(book.chain(TurnKey(2)).len(), eq(1));
    let (keys, next) = book.arrivals_since(0, 10);
    expect_that!((keys.len(), next), eq((1, 2)));
    expect_that!(book.arrivals_since(2, 10).0, is_empty());
    expect_that!(book.next_number(), eq(2));
}

#[gtest]
fn an_account_is_kept_as_long_as_its_program_may_pause() {
    let mut book = LedgerBook::default();
    book.apply(&reserved(1, 40), 0);
    book.apply(&settled(1, 30), 100);
    // The reservation keeps the account for five minutes and the slack.
    book.prune(359_999);
    expect_that!(book.committed(PROGRAM), eq(30));
    book.prune(360_001);
    expect_that!(book.committed(PROGRAM), eq(0));
}
