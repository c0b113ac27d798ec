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
    table.apply(&turn_record(2, None), 50_000);
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

/// Returns the turn of a program with its predecessor.
fn turn_of(program: u128, turn: u128, previous: Option<u128>) -> LedgerRecord {
    let LedgerRecord::Turn(record) = turn_record(turn, previous) else {
        unreachable!("a turn");
    };
    LedgerRecord::Turn(TurnRecord {
        program: ProgramKey(program),
        ..record
    })
}

/// Records with the times in milliseconds at which they arrive, and what is left of them.
struct RetentionCase {
    name: &'static str,
    records: Vec<(u64, LedgerRecord)>,
    /// When the table is looked at, in milliseconds. It is pruned every five seconds until then.
    end_ms: u64,
    /// Turns that are retained.
    retained: &'static [u128],
}

/// A session that went on for longer than the retention of its first turn lost its beginning.
#[gtest]
fn a_turn_is_retained_as_long_as_one_that_continues_it() {
    const PRUNE_INTERVAL_MS: u64 = 5_000;
    /// Time after which a turn expires that none continues: its retention and the slack.
    const EXPIRY_MS: u64 = 61_000;
    let case = |name, records, end_ms, retained| RetentionCase {
        name,
        records,
        end_ms,
        retained,
    };
    let session = || {
        vec![
            (0, turn_of(1, 1, None)),
            (50_000, turn_of(1, 2, Some(1))),
            (100_000, turn_of(1, 3, Some(2))),
        ]
    };
    let with = |mut records: Vec<(u64, LedgerRecord)>, more: Vec<(u64, LedgerRecord)>| {
        records.extend(more);
        records
    };
    let cases = [
        case(
            "nobody goes on",
            vec![(0, turn_of(1, 1, None))],
            EXPIRY_MS + PRUNE_INTERVAL_MS,
            &[],
        ),
        case("a session goes on", session(), 155_000, &[1, 2, 3]),
        case(
            "a session has ended",
            session(),
            100_000 + EXPIRY_MS + PRUNE_INTERVAL_MS,
            &[],
        ),
        case(
            "another program goes on",
            with(session(), vec![(150_000, turn_of(2, 4, Some(3)))]),
            205_000,
            &[1, 2, 3, 4],
        ),
        case(
            "one of two branches goes on",
            with(
                session(),
                vec![
                    (60_000, turn_of(1, 20, Some(2))),
                    (60_000, turn_of(1, 21, Some(20))),
                ],
            ),
            155_000,
            &[1, 2, 3],
        ),
        case(
            "another turn is not continued",
            with(session(), vec![(0, turn_of(1, 9, None))]),
            155_000,
            &[1, 2, 3],
        ),
        case(
            "a host copies the latest turn first",
            vec![
                (0, turn_of(1, 3, Some(2))),
                (100, turn_of(1, 1, None)),
                (200, turn_of(1, 2, Some(1))),
                (55_000, turn_of(1, 4, Some(3))),
            ],
            110_000,
            &[1, 2, 3, 4],
        ),
        case(
            "turns name one another",
            vec![
                (0, turn_of(1, 1, Some(2))),
                (0, turn_of(1, 2, Some(1))),
                (0, turn_of(1, 3, Some(3))),
            ],
            EXPIRY_MS + PRUNE_INTERVAL_MS,
            &[],
        ),
        case(
            "a session goes on after turns that name one another",
            vec![
                (0, turn_of(1, 1, Some(2))),
                (0, turn_of(1, 2, Some(1))),
                (50_000, turn_of(1, 3, Some(2))),
            ],
            105_000,
            &[1, 2, 3],
        ),
    ];
    for case in cases {
        let mut table = RecordTable::new(CACHE_LIMIT_BYTES);
        let mut records = case.records;
        records.sort_by_key(|(at_ms, _)| *at_ms);
        let mut records = records.into_iter().peekable();
        let mut now_ms = 0;
        while now_ms <= case.end_ms {
            while let Some((at_ms, record)) = records.next_if(|(at_ms, _)| *at_ms <= now_ms) {
                table.apply(&record, at_ms);
            }
            table.prune(now_ms);
            now_ms += PRUNE_INTERVAL_MS;
        }
        let all = [1, 2, 3, 4, 9, 20, 21];
        let retained = all
            .into_iter()
            .filter(|turn| table.record(&turn_of(1, *turn, None).key()).is_some());
        expect_that!(
            retained.collect::<Vec<u128>>(),
            eq(case.retained),
            "{}",
            case.name
        );
        // Whoever copies the table gets the same turns.
        let (keys, _) = table.arrivals_since(0, usize::MAX);
        let stored = keys.iter().filter(|key| table.contains(key)).count();
        expect_that!(stored, eq(case.retained.len()), "{}", case.name);
        expect_that!(keys.len(), eq(case.retained.len()), "{}", case.name);
        let digests = RecordTable::new(CACHE_LIMIT_BYTES)
            .digests()
            .differing(table.digests())
            .len();
        expect_that!(digests == 0, eq(case.retained.is_empty()), "{}", case.name);
    }
}

/// The keys of all later records stayed in memory while one session went on.
#[gtest]
fn a_long_session_retains_no_keys_of_other_programs() {
    const ROUND_MS: u64 = 5_000;
    const ROUNDS: u64 = 120;
    const TURNS_IN_ROUND: u64 = 1_000;
    /// Rounds after which the turns of a round have expired: the retention, the slack and one round.
    const LIVE_ROUNDS: u64 = 61_000 / ROUND_MS + 2;
    let mut table = RecordTable::new(CACHE_LIMIT_BYTES);
    for round in 0..ROUNDS {
        let now_ms = round * ROUND_MS;
        let previous = round.checked_sub(1).map(|round| u128::from(round) + 1);
        table.apply(&turn_of(1, u128::from(round) + 1, previous), now_ms);
        for number in 0..TURNS_IN_ROUND {
            let turn = u128::from(1_000_000 + round * TURNS_IN_ROUND + number);
            table.apply(&turn_of(turn, turn, None), now_ms);
        }
        table.prune(now_ms);
    }
    expect_that!(table.chain(TurnKey(u128::from(ROUNDS))).len() as u64, eq(ROUNDS));
    let live = LIVE_ROUNDS * TURNS_IN_ROUND + ROUNDS;
    expect_that!(table.sizes().1 as u64, le(live));
    // Twice the live ones, and the segments that are being filled and visited.
    expect_that!(table.arrival_count() as u64, le(2 * live + 2 * 4_096));
    let (keys, next) = table.arrivals_since(0, usize::MAX);
    expect_that!(next, eq(ROUNDS * (TURNS_IN_ROUND + 1)));
    let stored = keys.iter().filter(|key| table.contains(key)).count();
    expect_that!(stored, eq(table.sizes().1));
    // A reader that goes on from any sequence number sees the same keys.
    let (mut paged, mut from) = (Vec::new(), 0);
    while from < next {
        let (page, after) = table.arrivals_since(from, 997);
        paged.extend(page);
        from = after;
    }
    expect_that!(paged == keys, eq(true));
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
