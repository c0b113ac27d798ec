//! The choice of a server where some limit the requests that they take.

mod support;

use domain::RequestRate;
use googletest::prelude::*;
use routing::{
    EngineLoad, EngineSlots, LimitQuery, LimitTracker, LoadTracker, PaceSample, PaceTracker, PromptQuery,
    ServerKey, ServerQuery, choose_backend, limited_slots,
};
use support::{SERVICE, fleet};

const RATE: RequestRate = RequestRate(4_500);
const NOW_MS: u64 = 10_000;
/// Time between two events on the server without a limit, which has the work of all others, and on the limited ones.
const BUSY_EVENT_US: u64 = 90_000;
const LIMITED_EVENT_US: u64 = 20_000;

/// Two limited servers beside one that has to take what they do not, and a turn.
struct WaitCase {
    name: &'static str,
    events: u64,
    /// Time until the next permit of the limited servers, in milliseconds.
    waits_ms: [u64; 2],
    max_wait_ms: Option<u64>,
    /// Chosen server by index; the third one has no limit.
    chosen: u32,
}

fn paces() -> PaceTracker {
    let mut paces = PaceTracker::default();
    for _ in 0..50 {
        for (key, event_us) in [(0, LIMITED_EVENT_US), (1, LIMITED_EVENT_US), (2, BUSY_EVENT_US)] {
            paces.record(ServerKey(key), PaceSample { event_us, events: 10 }, NOW_MS);
        }
    }
    paces
}

fn query<'a>(events: u64, limits: LimitQuery<'a>, paces: &'a PaceTracker) -> ServerQuery<'a> {
    ServerQuery {
        service: SERVICE,
        failure_domain: "hall-0",
        preferred: None,
        tried: &[],
        build: None,
        prompt: Some(PromptQuery {
            prefix_tokens: 0,
            session_tokens: 0,
            prefix_servers: None,
            stream_tokens: Some(events),
            tokens_per_event: 1,
            load_permille: 0,
            paces,
        }),
        limits: Some(limits),
        memory: None,
        risks: &[],
        left_ms: 0,
        draw: 7,
        now_ms: NOW_MS,
    }
}

/// Load pattern: a limit counts requests, whatever their length. Long turns gain most from a server that is little used,
/// and wait for it; short ones go where they are served at once.
#[gtest]
fn a_turn_waits_for_a_limited_server_while_it_ends_sooner_there() {
    let case = |name, events, waits_ms, max_wait_ms, chosen| WaitCase {
        name,
        events,
        waits_ms,
        max_wait_ms,
        chosen,
    };
    let cases = [
        case("a permit is free", 10, [0, 900], Some(1_000), 0),
        case("short, no permit is free", 4, [600, 500], Some(1_000), 2),
        case("long, no permit is free", 30, [600, 500], Some(1_000), 1),
        case("long, longer than it can wait", 30, [600, 500], Some(400), 2),
        case("refused too often", 30, [0, 0], None, 2),
    ];
    let directory = fleet(3);
    let paces = paces();
    for case in cases {
        let mut limits = LimitTracker::default();
        for (key, wait_ms) in (0..).zip(case.waits_ms) {
            limits.record_limited(ServerKey(key), RATE, NOW_MS);
            limits.record_next(ServerKey(key), NOW_MS + wait_ms);
        }
        let limits = LimitQuery {
            limits: &limits,
            max_wait_ms: case.max_wait_ms,
        };
        let loads = LoadTracker::default();
        let pick = choose_backend(&directory, &loads, &query(case.events, limits, &paces));
        expect_that!(
            pick.map(|pick| pick.key),
            some(eq(ServerKey(case.chosen))),
            "{}",
            case.name
        );
    }
}

#[gtest]
fn the_time_by_which_a_request_may_wait_longer_is_that_to_the_next_choice() {
    let directory = fleet(3);
    let paces = paces();
    let mut limits = LimitTracker::default();
    for key in [ServerKey(0), ServerKey(1)] {
        limits.record_limited(key, RATE, NOW_MS);
    }
    limits.record_next(ServerKey(1), NOW_MS + 300);
    let limits = LimitQuery {
        limits: &limits,
        max_wait_ms: Some(1_000),
    };
    let loads = LoadTracker::default();
    let pick = choose_backend(&directory, &loads, &query(30, limits, &paces)).expect("a server");
    expect_that!((pick.key, pick.wait_ms), eq((ServerKey(0), 0)));
    expect_that!(pick.spare_ms, some(all![ge(250), le(350)]));
}

/// An answer, in milliseconds, and the limit after it.
struct AnswerCase {
    name: &'static str,
    sent_at_ms: u64,
    names: Option<RequestRate>,
    limit: Option<RequestRate>,
}

#[gtest]
fn an_answer_lifts_a_limit_only_if_its_request_was_sent_after_the_limit_was_named() {
    const HEARD_AT_MS: u64 = 1_000;
    let case = |name, sent_at_ms, names, limit| AnswerCase {
        name,
        sent_at_ms,
        names,
        limit,
    };
    let cases = [
        case("sent before, none named", 999, None, Some(RATE)),
        case("sent after, none named", 1_000, None, None),
        case(
            "sent before, another one",
            999,
            Some(RequestRate(9)),
            Some(RequestRate(9)),
        ),
    ];
    for case in cases {
        let mut limits = LimitTracker::default();
        let key = ServerKey(0);
        expect_that!(limits.record_limited(key, RATE, HEARD_AT_MS), eq(true));
        match case.names {
            Some(rate) => drop(limits.record_limited(key, rate, HEARD_AT_MS + 50)),
            None => drop(limits.record_unlimited(key, case.sent_at_ms)),
        }
        let limit = limits.limit(key).map(|limit| limit.rate);
        expect_that!(limit, eq(case.limit), "{}", case.name);
    }
}

/// Engines with 48 slots, the turns that are in progress, and the load by which new programs are admitted.
struct EngineCase {
    name: &'static str,
    limited: usize,
    free: usize,
    open_turns: u64,
    load: EngineLoad,
}

/// Load pattern: eight of twelve servers take two turns each, and the other four all the rest.
#[gtest]
fn new_programs_are_admitted_by_the_load_of_the_servers_without_a_limit() {
    let load = |open_turns, slots, engines| EngineLoad {
        open_turns,
        slots,
        engines,
    };
    let case = |name, limited, free, open_turns, load| EngineCase {
        name,
        limited,
        free,
        open_turns,
        load,
    };
    let cases = [
        case("none limited", 0, 12, 100, load(100, 576, 12)),
        case("eight limited", 8, 4, 100, load(84, 192, 4)),
        case("all limited", 12, 0, 30, load(30, 24, 12)),
        case("fewer turns than the limits allow", 8, 4, 10, load(0, 192, 4)),
    ];
    let limited = limited_slots(48, RATE, 500_000);
    expect_that!(limited, eq(2));
    for case in cases {
        let slots = |limited| EngineSlots {
            capacity: 48,
            limited,
        };
        let mut engines = vec![slots(Some(limited)); case.limited];
        engines.extend(vec![slots(None); case.free]);
        let load = EngineLoad::of_engines(case.open_turns, &engines);
        expect_that!(load, eq(case.load), "{}", case.name);
    }
}
