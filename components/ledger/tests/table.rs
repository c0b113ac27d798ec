//! The record table: token counts, chains, retention, cached payloads, open turns and digests.

use bytes::Bytes;
use domain::BuildKey;
use googletest::prelude::*;
use ledger::{
    FoundRecord, IndexedRecord, LedgerRecord, ProgramKey, RecordPlace, RecordTable, StreamBuild, TurnKey,
    TurnRecord,
};

const PROGRAM: ProgramKey = ProgramKey(1);
/// Limit of the payloads in memory; the payload of one turn has seven bytes.
const CACHE_LIMIT_BYTES: usize = 1_000;

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

const fn begun(turn: u128, build: u64) -> LedgerRecord {
    LedgerRecord::Begun {
        program: PROGRAM,
        turn: TurnKey(turn),
        tokens: 40,
        retention_ms: 300_000,
        build: BuildKey(build),
    }
}

const fn moved(turn: u128, build: u64) -> LedgerRecord {
    LedgerRecord::Moved {
        program: PROGRAM,
        turn: TurnKey(turn),
        build: BuildKey(build),
    }
}

fn turn_record(turn: u128, previous: Option<u128>) -> LedgerRecord {
    LedgerRecord::Turn(TurnRecord {
        program: PROGRAM,
        turn: TurnKey(turn),
        previous: previous.map(TurnKey),
        input: Bytes::from(format!("in{turn}")),
        output: Bytes::from(format!("out{turn}")),
        retention_ms: 1_000,
    })
}

/// Returns the turns of a chain whose payloads are all in memory.
fn chain_of(table: &RecordTable, turn: u128) -> Vec<TurnRecord> {
    let turns = table.chain(TurnKey(turn)).into_iter().map(|found| match found {
        FoundRecord::InMemory(LedgerRecord::Turn(turn)) => turn,
        other => panic!("not a turn in memory: {other:?}"),
    });
    turns.collect()
}

/// Records and the tokens that they commit.
struct CountCase {
    name: &'static str,
    records: Vec<LedgerRecord>,
    committed: u64,
}

#[gtest]
fn tokens_count_once_in_every_order() {
    let cases = [
        CountCase {
            name: "unsettled",
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
            name: "released",
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
        let mut forwards = RecordTable::new(CACHE_LIMIT_BYTES);
        let mut backwards = RecordTable::new(CACHE_LIMIT_BYTES);
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
fn a_chain_is_returned_up_to_the_first_unknown_turn() {
    let mut table = RecordTable::new(CACHE_LIMIT_BYTES);
    for record in [
        turn_record(3, Some(2)),
        turn_record(1, None),
        turn_record(4, Some(1)),
        turn_record(9, Some(8)),
    ] {
        table.apply(&record, 0);
    }
    let turns = |table: &RecordTable, turn| -> Vec<u128> {
        chain_of(table, turn).iter().map(|record| record.turn.0).collect()
    };
    expect_that!(turns(&table, 3), eq(&[3]));
    table.apply(&turn_record(2, Some(1)), 0);
    expect_that!(turns(&table, 3), eq(&[3, 2, 1]));
    expect_that!(turns(&table, 4), eq(&[4, 1]));
    expect_that!(turns(&table, 9), eq(&[9]));
    expect_that!(turns(&table, 7), is_empty());
}

#[gtest]
fn a_second_record_of_a_turn_changes_nothing() {
    let mut table = RecordTable::new(CACHE_LIMIT_BYTES);
    expect_that!(table.apply(&turn_record(1, None), 0), eq(true));
    expect_that!(table.apply(&turn_record(1, Some(5)), 0), eq(false));
    expect_that!(chain_of(&table, 1)[0].previous, none());
}

#[gtest]
fn arrivals_retain_their_sequence_numbers_after_pruning() {
    let mut table = RecordTable::new(CACHE_LIMIT_BYTES);
    table.apply(&turn_record(1, None), 0);
    table.apply(&turn_record(2, Some(1)), 50_000);
    let (keys, next) = table.arrivals_since(0, 10);
    expect_that!((keys.len(), next), eq((2, 2)));
    // The retention and the slack of the first turn have expired, those of the second have not.
    table.prune(61_001);
    expect_that!(table.chain(TurnKey(1)), is_empty());
    expect_that!(table.chain(TurnKey(2)).len(), eq(1));
    let (keys, next) = table.arrivals_since(0, 10);
    expect_that!((keys.len(), next), eq((1, 2)));
    expect_that!(table.arrivals_since(2, 10).0, is_empty());
    expect_that!(table.next_sequence(), eq(2));
}

#[gtest]
fn an_account_is_retained_as_long_as_its_program_may_pause() {
    let mut table = RecordTable::new(CACHE_LIMIT_BYTES);
    table.apply(&reserved(1, 40), 0);
    table.apply(&settled(1, 30), 100);
    // The reservation retains the account for five minutes and the slack.
    table.prune(359_999);
    expect_that!(table.committed(PROGRAM), eq(30));
    table.prune(360_001);
    expect_that!(table.committed(PROGRAM), eq(0));
}

#[gtest]
fn payloads_on_the_disk_are_evicted_above_the_limit() {
    let mut table = RecordTable::new(7);
    let place = |offset| RecordPlace {
        file: 0,
        offset,
        length: 9,
    };
    table.apply(&turn_record(1, None), 0);
    table.apply(&turn_record(2, Some(1)), 0);
    // Neither turn is on the disk yet, so that both payloads stay above the limit.
    expect_that!(table.cached_bytes(), eq(14));
    expect_that!(chain_of(&table, 2).len(), eq(2));
    table.set_place(TurnKey(1), place(0));
    expect_that!(table.cached_bytes(), eq(7));
    let chain = table.chain(TurnKey(2));
    expect_that!(chain[1], eq(&FoundRecord::OnDisk(place(0))));
    expect_that!(matches!(chain[0], FoundRecord::InMemory(_)), eq(true));
    table.set_place(TurnKey(2), place(9));
    table.apply(&turn_record(3, Some(2)), 0);
    expect_that!(table.chain(TurnKey(3))[1], eq(&FoundRecord::OnDisk(place(9))));
    table.prune(61_001);
    expect_that!((table.cached_bytes(), table.sizes().1), eq((0, 0)));
}

#[gtest]
fn a_turn_read_from_an_index_is_found_at_its_place() {
    let mut table = RecordTable::new(CACHE_LIMIT_BYTES);
    let place = RecordPlace {
        file: 3,
        offset: 40,
        length: 9,
    };
    let indexed = IndexedRecord::new(&turn_record(1, None), place);
    expect_that!(table.apply_indexed(&indexed, 0), eq(true));
    expect_that!(table.apply(&turn_record(1, None), 0), eq(false));
    expect_that!(table.chain(TurnKey(1)), eq(&[FoundRecord::OnDisk(place)]));
    expect_that!(table.cached_bytes(), eq(0));
}

#[gtest]
fn turns_are_open_from_their_reservation_to_their_settlement() {
    let mut table = RecordTable::new(CACHE_LIMIT_BYTES);
    for record in [reserved(1, 40), reserved(1, 40), reserved(2, 40)] {
        table.apply_written(&record, 0);
    }
    expect_that!(table.open_turns(0), eq(2));
    table.apply_written(&settled(1, 10), 10);
    table.apply_written(&settled(1, 10), 10);
    expect_that!(table.open_turns(10), eq(1));
    // The settlement arrives before the reservation.
    table.apply_written(&settled(3, 10), 20);
    table.apply_written(&reserved(3, 40), 20);
    expect_that!(table.open_turns(20), eq(1));
    // A copied reservation may be old and does not open a turn.
    table.apply(&reserved(4, 40), 20);
    expect_that!(table.open_turns(20), eq(1));
    // The entry of the second turn died: the turn ends by its timeout, and a late settlement does not count
    // again.
    expect_that!(table.open_turns(4_999), eq(1));
    expect_that!(table.open_turns(5_000), eq(0));
    table.apply_written(&settled(2, 10), 6_000);
    expect_that!(table.open_turns(6_000), eq(0));
    expect_that!(table.committed(PROGRAM), eq(10 + 10 + 10 + 40));
}

#[gtest]
fn digests_are_equal_for_equal_records_and_locate_differing_programs() {
    let of_program = |program: u128, turn: u128| LedgerRecord::Settled {
        program: ProgramKey(program << 100),
        turn: TurnKey(turn),
        tokens: 1,
    };
    let records: Vec<LedgerRecord> = (0..200)
        .map(|number| of_program(number * 1_000_003, number))
        .collect();
    let mut forwards = RecordTable::new(CACHE_LIMIT_BYTES);
    let mut backwards = RecordTable::new(CACHE_LIMIT_BYTES);
    for record in &records {
        forwards.apply(record, 0);
    }
    for record in records.iter().rev().chain(&records[..20]) {
        backwards.apply(record, 0);
    }
    expect_that!(forwards.digests().differing(backwards.digests()), is_empty());
    let extra = of_program(77_777_777, 999);
    backwards.apply(&extra, 0);
    let differing = forwards.digests().differing(backwards.digests());
    expect_that!(differing.len(), eq(1));
    expect_that!(backwards.keys_in(&differing), contains(eq(&extra.key())));
    // Expired records are removed from the digests.
    backwards.prune(60_001);
    expect_that!(
        RecordTable::new(CACHE_LIMIT_BYTES)
            .digests()
            .differing(backwards.digests()),
        is_empty()
    );
}

/// Records of a turn, and the software that produces its events.
struct BuildCase {
    name: &'static str,
    records: Vec<LedgerRecord>,
    build: Option<(u64, bool)>,
    committed: u64,
}

#[gtest]
fn the_software_of_a_stream_is_the_same_in_every_order_and_on_every_host() {
    let case = |name, records, build, committed| BuildCase {
        name,
        records,
        build,
        committed,
    };
    let cases = [
        case("no stream", vec![reserved(1, 40)], None, 40),
        case("begun", vec![begun(1, 5)], Some((5, false)), 40),
        case("settled", vec![begun(1, 5), settled(1, 10)], Some((5, false)), 10),
        case("moved", vec![begun(1, 5), moved(1, 6)], Some((6, true)), 40),
        case("moved first", vec![moved(1, 6), begun(1, 5)], Some((6, true)), 40),
        case(
            "twice",
            vec![begun(1, 5), moved(1, 6), begun(1, 5), moved(1, 6)],
            Some((6, true)),
            40,
        ),
        case("another turn", vec![begun(2, 5)], None, 40),
    ];
    for case in cases {
        let mut table = RecordTable::new(CACHE_LIMIT_BYTES);
        for record in &case.records {
            table.apply_written(record, 0);
        }
        let expected = case.build.map(|(build, is_moved)| StreamBuild {
            build: BuildKey(build),
            is_moved,
        });
        // Another host copies the records in the opposite order.
        let mut copy = RecordTable::new(CACHE_LIMIT_BYTES);
        let (keys, _) = table.arrivals_since(0, usize::MAX);
        for key in keys.iter().rev() {
            let Some(FoundRecord::InMemory(record)) = table.record(key) else {
                panic!("{}: not in memory: {key:?}", case.name);
            };
            copy.apply(&record, 0);
        }
        for table in [&table, &copy] {
            let found = table.stream_build(PROGRAM, TurnKey(1));
            expect_that!(found, eq(expected), "{}", case.name);
            expect_that!(table.committed(PROGRAM), eq(case.committed), "{}", case.name);
        }
        expect_that!(copy.digests(), eq(table.digests()), "{}", case.name);
    }
}
