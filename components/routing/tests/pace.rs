//! Choice of a server by its observed pace and by what it has to read.

mod support;

use std::ops::RangeInclusive;

use googletest::prelude::*;
use routing::{
    LoadTracker, PaceSample, PaceTracker, PrefixTracker, PromptPrefix, PromptQuery, ServerDirectory,
    ServerKey, ServerQuery, StartSample, choose_backend, may_be_full,
};
use support::{SERVICE, fleet};

const FAST: PaceSample = PaceSample {
    event_us: 30_000,
    events: 10,
};
const SLOW: PaceSample = PaceSample {
    event_us: 39_000,
    events: 10,
};
const SERVERS: usize = 6;

fn keys(directory: &ServerDirectory) -> Vec<ServerKey> {
    directory.all().map(|(key, _)| key).collect()
}

/// Returns the paces of servers of which every third is slow, after a number of samples of each.
fn paces(directory: &ServerDirectory, samples: usize, at_ms: u64) -> PaceTracker {
    let mut paces = PaceTracker::default();
    for _ in 0..samples {
        for (index, key) in keys(directory).into_iter().enumerate() {
            let sample = if index % 3 == 2 { SLOW } else { FAST };
            paces.record(key, sample, at_ms);
        }
    }
    paces
}

/// State of the servers, and the share of requests that the slow third receives.
struct PaceCase {
    name: &'static str,
    samples: usize,
    age_ms: u64,
    /// Own requests at each fast server.
    fast_in_flight: u32,
    /// Smallest and largest number of requests of a hundred that a slow server receives.
    slow_percent: (usize, usize),
}

/// Load pattern: every third engine needs 30 % longer for each event; programs may take 40 % longer than on an
/// idle engine.
#[gtest]
fn slow_servers_are_chosen_only_while_the_fast_ones_are_busy() {
    let cases = [
        PaceCase {
            name: "not observed",
            samples: 0,
            age_ms: 0,
            fast_in_flight: 0,
            slow_percent: (20, 50),
        },
        PaceCase {
            name: "observed",
            samples: 4,
            age_ms: 0,
            fast_in_flight: 0,
            slow_percent: (0, 0),
        },
        PaceCase {
            name: "observed once, a turn ago",
            samples: 1,
            age_ms: 500,
            fast_in_flight: 0,
            slow_percent: (0, 0),
        },
        PaceCase {
            name: "observed long ago",
            samples: 4,
            age_ms: 40_000,
            fast_in_flight: 0,
            slow_percent: (20, 50),
        },
        PaceCase {
            name: "observed, the fast ones are busy",
            samples: 4,
            age_ms: 0,
            fast_in_flight: 6,
            slow_percent: (100, 100),
        },
    ];
    let directory = fleet(SERVERS);
    for case in cases {
        let paces = paces(&directory, case.samples, 1_000);
        let mut tracker = LoadTracker::default();
        for key in keys(&directory)
            .into_iter()
            .enumerate()
            .filter(|(index, _)| index % 3 != 2)
        {
            (0..case.fast_in_flight).for_each(|_| tracker.begin(key.1));
        }
        let picks = (0..100).map(|draw: u64| {
            let query = query(&paces, None, draw, 1_000 + case.age_ms);
            choose_backend(&directory, &tracker, &query)
                .expect("servers are ready")
                .key
        });
        let slow = keys(&directory)
            .into_iter()
            .skip(2)
            .step_by(3)
            .collect::<Vec<_>>();
        let percent = picks.filter(|key| slow.contains(key)).count();
        let (least, most) = case.slow_percent;
        expect_that!(percent, all![ge(least), le(most)], "{}", case.name);
    }
}

/// Load pattern: an entry gets an answer of each server about once a second.
#[gtest]
fn samples_that_come_one_by_one_add_up() {
    let directory = fleet(SERVERS);
    let mut paces = PaceTracker::default();
    for second in 1..=10 {
        for (index, key) in keys(&directory).into_iter().enumerate() {
            let sample = if index % 3 == 2 { SLOW } else { FAST };
            paces.record(key, sample, second * 1_000);
        }
    }
    let event_us = |index: usize| paces.stream_us(keys(&directory)[index], Some(1), 11_000);
    expect_that!(event_us(0), all![ge(30_000), le(31_000)]);
    expect_that!(event_us(2), all![ge(37_500), le(39_000)]);
}

/// Engines that read prompts at different speeds, and the time that an entry expects for 10,000 tokens.
struct ReadCase {
    name: &'static str,
    token_ns: u64,
    samples: u64,
    expected_us: Option<RangeInclusive<u64>>,
}

/// Load pattern: turns read between a hundred and fifteen thousand tokens, and wait up to 20 ms for a slot beside.
#[gtest]
fn reading_time_is_learnt_from_first_events() {
    let case = |name, token_ns, samples, expected_us| ReadCase {
        name,
        token_ns,
        samples,
        expected_us,
    };
    let cases = [
        case("few observations", 3_000, 20, None),
        case("a fast engine", 3_000, 400, Some(24_000..=36_000)),
        case("a slow engine", 7_000, 400, Some(60_000..=80_000)),
        case("prompts cost nothing", 0, 400, Some(0..=6_000)),
    ];
    let directory = fleet(SERVERS);
    let key = keys(&directory)[0];
    for case in cases {
        let mut paces = PaceTracker::default();
        for index in 0..case.samples {
            let read_tokens = index * 7_919 % 15_000 + 100;
            let wait_us = index * 104_729 % 20_000;
            let first_us = 20_000 + wait_us + read_tokens * case.token_ns / 1_000;
            let sample = StartSample {
                first_us,
                read_tokens,
            };
            paces.record_start(key, sample, index * 40);
        }
        let read_us = paces.read_us(key, 10_000, case.samples * 40);
        let is_expected = match (&case.expected_us, read_us) {
            (None, None) => true,
            (Some(range), Some(read_us)) => range.contains(&read_us),
            _ => false,
        };
        expect_that!(is_expected, eq(true), "{}: {read_us:?}", case.name);
    }
}

/// Load of a service, and whether a session of 5,000 tokens leaves a slow server for a fast one.
struct ReadingCase {
    load_permille: u64,
    moves: bool,
}

/// Load pattern: a burst fills the fast servers with sessions of slow ones, and they read prompts instead of generating.
#[gtest]
fn sessions_move_while_a_reading_delays_few_others() {
    let cases = [
        ReadingCase {
            load_permille: 100,
            moves: true,
        },
        ReadingCase {
            load_permille: 950,
            moves: false,
        },
    ];
    let directory = fleet(SERVERS);
    let mut paces = paces(&directory, 4, 1_000);
    for index in 0..400 {
        let read_tokens = index * 7_919 % 15_000 + 100;
        let sample = StartSample {
            first_us: 20_000 + read_tokens * 10,
            read_tokens,
        };
        let servers = keys(&directory);
        // The fast servers observe it: their speed is close to the mean.
        paces.record_start(servers[(index % 2) as usize], sample, 1_000);
    }
    let slow = keys(&directory)[2];
    for case in cases {
        // Long after the last delay of a first event, and while the paces still count.
        let mut query = query(&paces, Some(slow), 5, 5_000);
        if let Some(prompt) = &mut query.prompt {
            prompt.session_tokens = 5_000;
            prompt.load_permille = case.load_permille;
        }
        let pick = choose_backend(&directory, &LoadTracker::default(), &query);
        let has_moved = pick.is_some_and(|pick| pick.key != slow);
        expect_that!(has_moved, eq(case.moves), "{} permille", case.load_permille);
    }
}

/// Load pattern: requests queue at some servers, and their turns begin late.
#[gtest]
fn servers_at_which_turns_begin_late_are_avoided_for_a_while() {
    let directory = fleet(SERVERS);
    let mut paces = PaceTracker::default();
    for (index, key) in keys(&directory).into_iter().enumerate() {
        let first_us = if index % 3 == 2 { 400_000 } else { 40_000 };
        let sample = StartSample {
            first_us,
            read_tokens: 0,
        };
        paces.record_start(key, sample, 1_000);
    }
    let tracker = LoadTracker::default();
    for (age_ms, least, most) in [(100, 0, 0), (4_000, 20, 50)] {
        let picks = (0..100).filter_map(|draw: u64| {
            let query = query(&paces, None, draw, 1_000 + age_ms);
            choose_backend(&directory, &tracker, &query).map(|pick| pick.key)
        });
        let is_queued = |key: &ServerKey| {
            keys(&directory)
                .iter()
                .position(|of| of == key)
                .is_some_and(|index| index % 3 == 2)
        };
        let queued = picks.filter(is_queued).count();
        expect_that!(queued, all![ge(least), le(most)], "after {age_ms} ms");
    }
}

/// A session on a slow server, and whether it moves.
struct MoveCase {
    name: &'static str,
    session_tokens: u64,
    /// Own requests at the session's server.
    in_flight: u32,
    moves: bool,
}

#[gtest]
fn a_session_moves_when_the_rest_of_its_prompt_is_read_sooner_than_its_server_is_free() {
    let cases = [
        MoveCase {
            name: "a short prompt",
            session_tokens: 1_000,
            in_flight: 0,
            moves: true,
        },
        MoveCase {
            name: "a long prompt",
            session_tokens: 40_000,
            in_flight: 0,
            moves: false,
        },
        MoveCase {
            name: "a long prompt, many requests",
            session_tokens: 40_000,
            in_flight: 20,
            moves: true,
        },
    ];
    let directory = fleet(SERVERS);
    let paces = paces(&directory, 4, 1_000);
    let slow = keys(&directory)[2];
    for case in cases {
        let mut tracker = LoadTracker::default();
        (0..case.in_flight).for_each(|_| tracker.begin(slow));
        let mut query = query(&paces, Some(slow), 5, 1_000);
        if let Some(prompt) = &mut query.prompt {
            prompt.session_tokens = case.session_tokens;
        }
        let pick = choose_backend(&directory, &tracker, &query).expect("servers are ready");
        expect_that!(pick.key != slow, eq(case.moves), "{}", case.name);
    }
}

fn query(paces: &PaceTracker, preferred: Option<ServerKey>, draw: u64, now_ms: u64) -> ServerQuery<'_> {
    ServerQuery {
        service: SERVICE,
        failure_domain: "hall-a",
        preferred,
        tried: &[],
        build: None,
        prompt: Some(PromptQuery {
            prefix_tokens: 0,
            session_tokens: 0,
            prefix_servers: None,
            stream_tokens: None,
            tokens_per_event: 27,
            load_permille: 500,
            paces,
        }),
        limits: None,
        memory: None,
        risks: &[],
        left_ms: 0,
        draw: draw.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        now_ms,
    }
}

/// Load of a service, and whether one of its servers may have no free slot.
struct FullCase {
    capacity: u32,
    load_permille: u64,
    may_be_full: bool,
}

#[gtest]
fn servers_with_few_slots_may_be_full_at_a_lower_load() {
    let case = |capacity, load_permille, may_be_full| FullCase {
        capacity,
        load_permille,
        may_be_full,
    };
    let cases = [
        case(6, 0, false),
        case(6, 250, false),
        case(6, 400, true),
        case(6, 1_500, true),
        case(48, 400, false),
        case(48, 600, false),
        case(48, 700, true),
        case(64, 600, false),
        case(64, 1_000, true),
    ];
    for case in cases {
        let may_be_full = may_be_full(case.load_permille, case.capacity);
        expect_that!(
            may_be_full,
            eq(case.may_be_full),
            "{} slots at {} permille",
            case.capacity,
            case.load_permille
        );
    }
}

/// A session with a prompt of 12,000 tokens on a slow server, and whether a turn of this length moves.
struct LengthCase {
    stream_tokens: u64,
    moves: bool,
}

/// Load pattern: a route's timeout is lowered to little more than the longest turns need on a fast server.
#[gtest]
fn long_turns_leave_a_slow_server_and_short_ones_stay() {
    let cases = [
        LengthCase {
            stream_tokens: 54,
            moves: false,
        },
        LengthCase {
            stream_tokens: 567,
            moves: true,
        },
    ];
    let directory = fleet(SERVERS);
    let paces = paces(&directory, 4, 1_000);
    let slow = keys(&directory)[2];
    for case in cases {
        let mut query = query(&paces, Some(slow), 5, 1_000);
        if let Some(prompt) = &mut query.prompt {
            prompt.session_tokens = 12_000;
            prompt.stream_tokens = Some(case.stream_tokens);
        }
        let pick = choose_backend(&directory, &LoadTracker::default(), &query);
        let pick = pick.expect("servers are ready");
        expect_that!(pick.key != slow, eq(case.moves), "{} tokens", case.stream_tokens);
    }
}

/// Sizes that a caller or a registration states.
struct ExtremeCase {
    name: &'static str,
    prefix_tokens: u64,
    session_tokens: u64,
    stream_tokens: u64,
    capacity: u32,
}

#[gtest]
fn absurd_sizes_do_not_stop_the_choice() {
    let usual = || ExtremeCase {
        name: "usual",
        prefix_tokens: 12_600,
        session_tokens: 1_680,
        stream_tokens: 270,
        capacity: 6,
    };
    let cases = [
        usual(),
        ExtremeCase {
            name: "prefix",
            prefix_tokens: u64::MAX,
            ..usual()
        },
        ExtremeCase {
            name: "session",
            session_tokens: u64::MAX,
            ..usual()
        },
        ExtremeCase {
            name: "stream",
            stream_tokens: u64::MAX,
            ..usual()
        },
        ExtremeCase {
            name: "capacity",
            capacity: u32::MAX,
            ..usual()
        },
    ];
    let paces = PaceTracker::default();
    for case in cases {
        let mut directory = fleet(SERVERS);
        let registered: Vec<_> = directory.all().map(|(_, server)| (**server).clone()).collect();
        for mut server in registered {
            server.capacity = case.capacity;
            directory.upsert(server);
        }
        let mut tracker = PrefixTracker::default();
        for key in 0..300 {
            let tokens = case.prefix_tokens;
            tracker.record(PromptPrefix { key, tokens }, 0);
        }
        let prefix = PromptPrefix {
            key: 299,
            tokens: case.prefix_tokens,
        };
        for cache_tokens in [1, 172_512, u64::MAX] {
            let copies = tracker.copies(prefix, SERVERS, cache_tokens);
            expect_that!(copies.unwrap_or(2), all![ge(2), le(SERVERS)], "{}", case.name);
        }
        let mut query = query(&paces, None, 5, 1_000);
        if let Some(prompt) = &mut query.prompt {
            prompt.prefix_tokens = case.prefix_tokens;
            prompt.session_tokens = case.session_tokens;
            prompt.stream_tokens = Some(case.stream_tokens);
            prompt.prefix_servers = Some(&[]);
        }
        let pick = choose_backend(&directory, &LoadTracker::default(), &query);
        expect_that!(pick.is_some(), eq(true), "{}", case.name);
        for load_permille in [0, 1_000, u64::MAX] {
            // Whatever the answer is, it must not stop the entry.
            let _ = may_be_full(load_permille, case.capacity);
        }
    }
}
