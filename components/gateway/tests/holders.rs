//! Replays of callers that read slowly, send slowly or leave connections idle.

use gateway::{HeldUse, HolderKey, HolderTable, MemoryBounds};
use googletest::prelude::*;

const MEGABYTE: u64 = 1024 * 1024;
/// Memory of the smallest entry in megabytes, and its file descriptors.
const SMALLEST_HOST: (u64, u64) = (88, 4_100);

/// Callers of one kind, whose answers arrive at the same pace.
struct CallerGroup {
    callers: u64,
    priority: u32,
    /// Bytes of each answer.
    answer_bytes: u64,
    /// Bytes that each caller takes in a step.
    taken_bytes: u64,
    /// Share of the callers that may be let go, in percent.
    most_let_go: u64,
}

/// Groups of callers at the same time.
struct ReaderCase {
    name: &'static str,
    groups: Vec<CallerGroup>,
    is_anyone_let_go: bool,
}

/// A caller during a replay.
struct ReplayedCaller {
    group: usize,
    key: HolderKey,
    arrived: u64,
    taken: u64,
    is_let_go: bool,
}

/// Replays the groups in steps of 100 ms and returns how many callers of each are let go. The bytes of those are
/// released in the next step.
fn replay(groups: &[CallerGroup]) -> Vec<u64> {
    const STEP_MS: u64 = 100;
    const STEPS: u64 = 100;
    const STEP_BYTES: u64 = 64 * 1024;
    let bounds = MemoryBounds::of_host(SMALLEST_HOST.0, SMALLEST_HOST.1);
    let mut table = HolderTable::new(bounds);
    let mut callers = Vec::new();
    for (group, load) in groups.iter().enumerate() {
        for _ in 0..load.callers {
            let (key, _) = table.open(0).expect("room for the connection");
            table.begin_request(key);
            table.set_priority(key, load.priority);
            callers.push(ReplayedCaller {
                group,
                key,
                arrived: 0,
                taken: 0,
                is_let_go: false,
            });
        }
    }
    for step in 0..STEPS {
        let now_ms = step * STEP_MS;
        for index in 0..callers.len() {
            let caller = &mut callers[index];
            let load = &groups[caller.group];
            if caller.is_let_go {
                table.release(
                    caller.key,
                    caller.arrived - caller.taken,
                    HeldUse::Waiting,
                    now_ms,
                );
                caller.taken = caller.arrived;
                continue;
            }
            let taken = load.taken_bytes.min(caller.arrived - caller.taken);
            if taken > 0 {
                table.release(caller.key, taken, HeldUse::Waiting, now_ms);
                caller.taken += taken;
            }
            let arriving = STEP_BYTES.min(load.answer_bytes - caller.arrived);
            caller.arrived += arriving;
            let room = table.hold(caller.key, arriving, HeldUse::Waiting, now_ms);
            for let_go in room.let_go {
                let victim = callers.iter_mut().find(|caller| caller.key == let_go.key);
                victim.expect("an open connection").is_let_go = true;
            }
        }
        // What was let go in favor of one step's bytes is released in the next step.
        let most = bounds.bytes + callers.len() as u64 * STEP_BYTES;
        assert!(table.held() <= most, "{} at {now_ms} ms", table.held());
    }
    let count = |group: usize| {
        callers
            .iter()
            .filter(move |caller| caller.group == group && caller.is_let_go)
    };
    (0..groups.len())
        .map(|group| count(group).count() as u64)
        .collect()
}

#[gtest]
fn slow_readers_are_let_go_only_without_room_and_the_least_urgent_first() {
    let group = |callers, priority, answer_bytes, taken_bytes, most_let_go| CallerGroup {
        callers,
        priority,
        answer_bytes,
        taken_bytes,
        most_let_go,
    };
    let cases = [
        ReaderCase {
            name: "answers that fit",
            groups: vec![group(200, 1, MEGABYTE / 16, 1, 0)],
            is_anyone_let_go: false,
        },
        ReaderCase {
            name: "200 answers of a megabyte, taken a byte now and then",
            groups: vec![group(200, 1, MEGABYTE, 1, 95)],
            is_anyone_let_go: true,
        },
        ReaderCase {
            name: "slow readers beside fast ones",
            groups: vec![
                group(200, 1, MEGABYTE, 1, 95),
                group(20, 1, 4 * MEGABYTE, 64 * 1024, 0),
            ],
            is_anyone_let_go: true,
        },
        ReaderCase {
            name: "urgent slow readers beside others",
            groups: vec![group(100, 9, MEGABYTE, 1, 100), group(20, 0, MEGABYTE, 1, 0)],
            is_anyone_let_go: true,
        },
    ];
    for case in cases {
        let let_go = replay(&case.groups);
        expect_that!(
            let_go.iter().sum::<u64>() > 0,
            eq(case.is_anyone_let_go),
            "{}",
            case.name
        );
        for (load, let_go) in case.groups.iter().zip(let_go) {
            let most = load.callers * load.most_let_go / 100;
            expect_that!(let_go, le(most), "{} of priority {}", case.name, load.priority);
        }
    }
}

/// A request that comes when the memory is in use.
struct AdmissionCase {
    name: &'static str,
    /// Priority of the slow readers that hold all the memory, and for how long they have taken nothing.
    reader_priority: u32,
    stalled_ms: u64,
    priority: u32,
    is_admitted: bool,
}

#[gtest]
fn a_request_without_room_is_refused_unless_a_stalled_reader_that_is_not_more_urgent_yields() {
    let case = |name, reader_priority, stalled_ms, priority, is_admitted| AdmissionCase {
        name,
        reader_priority,
        stalled_ms,
        priority,
        is_admitted,
    };
    let cases = [
        case("readers that have just begun", 5, 100, 1, false),
        case("stalled readers of the same urgency", 1, 5_000, 1, true),
        case("stalled readers that are more urgent", 0, 5_000, 1, false),
    ];
    for case in cases {
        let bounds = MemoryBounds {
            bytes: 10 * MEGABYTE,
            connections: 100,
        };
        let mut table = HolderTable::new(bounds);
        for _ in 0..8 {
            let (reader, _) = table.open(0).expect("room for the connection");
            table.begin_request(reader);
            table.set_priority(reader, case.reader_priority);
            let room = table.hold(reader, MEGABYTE, HeldUse::Waiting, 0);
            expect_that!(room.let_go, is_empty(), "{}", case.name);
        }
        let (key, _) = table.open(0).unwrap_or_else(|_| panic!("room for {}", case.name));
        table.begin_request(key);
        table.set_priority(key, case.priority);
        let before = table.held();
        let claimed = table.claim(key, MEGABYTE, case.stalled_ms);
        expect_that!(claimed.is_ok(), eq(case.is_admitted), "{}", case.name);
        match claimed {
            Ok(room) => expect_that!(room.let_go.len(), eq(1), "{}", case.name),
            Err(_) => expect_that!(table.held(), eq(before), "{}", case.name),
        }
    }
}

#[gtest]
fn requests_that_wait_for_a_server_are_not_let_go() {
    let mut table = HolderTable::new(MemoryBounds {
        bytes: 10 * MEGABYTE,
        connections: 100,
    });
    for _ in 0..8 {
        let (key, _) = table.open(0).expect("room for the connection");
        table.begin_request(key);
        table.claim(key, MEGABYTE, 0).expect("room for the request");
    }
    let (key, _) = table.open(0).expect("room for the connection");
    table.begin_request(key);
    expect_that!(table.claim(key, MEGABYTE, 60_000), err(anything()));
}

#[gtest]
fn the_longest_idle_connections_make_room_and_late_heads_are_closed() {
    let mut table = HolderTable::new(MemoryBounds {
        bytes: 100 * MEGABYTE,
        connections: 3,
    });
    let (busy, _) = table.open(0).expect("room for the connection");
    table.begin_request(busy);
    let (older, _) = table.open(10).expect("room for the connection");
    let (newer, _) = table.open(20).expect("room for the connection");
    let (heading, room) = table.open(30).expect("an idle connection yields");
    expect_that!(room.idle, elements_are![eq(&older)]);
    table.close(older);
    table.record_bytes(heading, 40);
    expect_that!(table.close_late_heads(1_000, 1_040), is_empty());
    expect_that!(table.close_late_heads(1_000, 1_041), elements_are![eq(&heading)]);
    table.close(heading);
    let (last, _) = table.open(2_000).expect("room for the connection");
    table.begin_request(last);
    table.begin_request(newer);
    expect_that!(table.open(2_001), err(anything()));
    for key in [busy, newer, last] {
        table.close(key);
    }
    expect_that!(table.held(), eq(0));
    expect_that!(table.open_connections(), eq(0));
}

/// What connections that hold the whole room do, and whether they yield to a small request after some time.
struct OccupantCase {
    name: &'static str,
    occupant: Occupant,
    elapsed_ms: u64,
    yields: bool,
}

/// What a connection that holds room does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Occupant {
    /// Sends half of a head.
    HalfHead,
    /// Announces a body, and sends this many bytes a second of it.
    Sender { body_bytes: u64, bytes_per_s: u64 },
    /// Has its request at a server.
    Waiter,
}

/// Opens connections that do the same until no further one gets what it asks for, and returns their keys.
fn occupy(table: &mut HolderTable, occupant: Occupant) -> Vec<HolderKey> {
    const REQUEST_BYTES: u64 = 64 * 1024;
    let mut keys = Vec::new();
    while table.open_connections() < table.bounds().connections {
        let Ok((key, _)) = table.open(0) else { break };
        table.record_bytes(key, 0);
        let is_held = match occupant {
            Occupant::HalfHead => true,
            Occupant::Sender { body_bytes, .. } => {
                table.begin_request(key);
                let is_admitted = table.claim(key, REQUEST_BYTES, 0).is_ok();
                table.begin_body(key, 0);
                is_admitted && table.claim_body(key, body_bytes, 0).outcome.is_ok()
            }
            Occupant::Waiter => {
                table.begin_request(key);
                table.claim(key, REQUEST_BYTES, 0).is_ok()
            }
        };
        if !is_held {
            table.close(key);
            break;
        }
        keys.push(key);
    }
    keys
}

#[gtest]
fn requests_that_do_not_come_yield_to_those_that_do() {
    let case = |name, occupant, elapsed_ms, yields| OccupantCase {
        name,
        occupant,
        elapsed_ms,
        yields,
    };
    let sender = |body_bytes, bytes_per_s| Occupant::Sender {
        body_bytes,
        bytes_per_s,
    };
    let cases = [
        case("half heads", Occupant::HalfHead, 600, true),
        case("small bodies that stop", sender(1_000, 0), 1_500, true),
        case("small bodies that have just begun", sender(1_000, 0), 500, false),
        case("small bodies a byte at a time", sender(1_000, 10), 1_500, true),
        case("bodies that stop", sender(60_000, 0), 1_500, true),
        case("bodies at pace", sender(60_000, 400_000), 1_100, false),
        case("requests at servers", Occupant::Waiter, 60_000, false),
    ];
    for case in cases {
        let mut table = HolderTable::new(MemoryBounds::of_host(SMALLEST_HOST.0, SMALLEST_HOST.1));
        let occupants = occupy(&mut table, case.occupant);
        expect_that!(occupants, not(is_empty()), "{}", case.name);
        if let Occupant::Sender { bytes_per_s, .. } = case.occupant {
            for key in &occupants {
                table.record_body(*key, bytes_per_s * case.elapsed_ms / 1_000);
            }
        }
        let served = table.open(case.elapsed_ms).map(|(key, _)| {
            table.begin_request(key);
            table.claim(key, 64 * 1024, case.elapsed_ms)
        });
        let is_served = served.is_ok_and(|claimed| claimed.is_ok());
        expect_that!(is_served, eq(case.yields), "{}", case.name);
    }
}

#[gtest]
fn large_bodies_that_arrive_leave_room_for_small_requests() {
    const LARGE_BYTES: u64 = 4 * MEGABYTE;
    let mut table = HolderTable::new(MemoryBounds::of_host(SMALLEST_HOST.0, SMALLEST_HOST.1));
    let occupants = occupy(
        &mut table,
        Occupant::Sender {
            body_bytes: LARGE_BYTES,
            bytes_per_s: 0,
        },
    );
    // They have just begun, so that none of them yields.
    let small = (0..100).map(|_| {
        let (key, _) = table.open(0)?;
        table.begin_request(key);
        table.claim(key, 64 * 1024, 0)?;
        table.begin_body(key, 0);
        table.claim_body(key, 1_000, 0).outcome
    });
    let refused = small.filter(Result::is_err).count();
    expect_that!(refused, eq(0));
    expect_that!(occupants.len(), ge(3));
    let (key, _) = table.open(2_000).expect("room for the connection");
    table.begin_request(key);
    table.begin_body(key, 2_000);
    let claim = table.claim_body(key, LARGE_BYTES, 2_000);
    expect_that!(claim.outcome, ok(anything()));
    let room = claim.room;
    expect_that!(room.late_bodies.len(), eq(1));
    let refused = room.late_bodies[0].key;
    expect_that!(
        table.end_body(refused),
        eq(false),
        "the body that has come late is refused"
    );
    expect_that!(table.end_body(key), eq(true));
}

#[gtest]
fn who_yields_to_a_claim_that_fails_is_told_so() {
    const LARGE_BYTES: u64 = 4 * MEGABYTE;
    let mut table = HolderTable::new(MemoryBounds::of_host(SMALLEST_HOST.0, SMALLEST_HOST.1));
    let sender = Occupant::Sender {
        body_bytes: LARGE_BYTES,
        bytes_per_s: 0,
    };
    let senders = occupy(&mut table, sender);
    occupy(&mut table, Occupant::Waiter);
    let (key, room) = table.open(2_000).expect("a late body yields");
    let mut named: Vec<HolderKey> = room.late_bodies.iter().map(|late| late.key).collect();
    table.begin_request(key);
    table.begin_body(key, 2_000);
    // The late bodies together are smaller than this one: nobody yields in vain.
    let claim = table.claim_body(key, 100 * LARGE_BYTES, 2_000);
    expect_that!(claim.outcome, err(anything()));
    expect_that!(claim.room.late_bodies, is_empty());
    // At last, the requests at servers leave no room.
    let mut is_refused = false;
    while !is_refused {
        let claim = table.claim_body(key, LARGE_BYTES, 2_000);
        named.extend(claim.room.late_bodies.iter().map(|late| late.key));
        is_refused = claim.outcome.is_err();
    }
    for sender in senders {
        expect_that!(table.end_body(sender), eq(!named.contains(&sender)));
    }
}
