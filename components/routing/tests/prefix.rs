//! Placement of shared prompt prefixes on a share of the servers.

mod support;

use googletest::prelude::*;
use routing::{
    LoadTracker, PaceTracker, PrefixTracker, PromptPrefix, PromptQuery, ServerQuery, choose_backend,
    prefix_servers,
};
use support::{SERVICE, fleet};

const SERVERS: usize = 62;
const CACHE_TOKENS: u64 = 172_512;
const PREFIX_TOKENS: u64 = 12_600;

fn prefix(key: u64) -> PromptPrefix {
    PromptPrefix {
        key,
        tokens: PREFIX_TOKENS,
    }
}

/// Requests of each prefix, and the servers on which the first prefix is placed.
struct CopiesCase {
    name: &'static str,
    requests: &'static [u64],
    cache_tokens: u64,
    copies: Option<usize>,
}

#[gtest]
fn a_prefix_is_placed_on_as_many_servers_as_its_load_asks() {
    let cases = [
        CopiesCase {
            name: "all prefixes fit into each cache",
            requests: &[20, 20, 20],
            cache_tokens: CACHE_TOKENS,
            copies: None,
        },
        CopiesCase {
            name: "sixteen equal prefixes, room for three and a half",
            requests: &[20; 16],
            cache_tokens: CACHE_TOKENS,
            copies: Some(14),
        },
        CopiesCase {
            name: "a popular prefix",
            requests: &[200, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20],
            cache_tokens: CACHE_TOKENS,
            copies: Some(SERVERS),
        },
        CopiesCase {
            name: "a rare prefix",
            requests: &[1, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 80],
            cache_tokens: CACHE_TOKENS,
            copies: Some(2),
        },
    ];
    for case in cases {
        let mut tracker = PrefixTracker::default();
        for (key, requests) in (0..).zip(case.requests) {
            for _ in 0..*requests {
                tracker.record(prefix(key), 1_000);
            }
        }
        let copies = tracker.copies(prefix(0), SERVERS, case.cache_tokens);
        expect_that!(copies, eq(case.copies), "{}", case.name);
    }
}

#[gtest]
fn forgets_prefixes_that_are_no_longer_requested() {
    let mut tracker = PrefixTracker::default();
    for key in 0..16 {
        tracker.record(prefix(key), 0);
    }
    expect_that!(tracker.copies(prefix(3), SERVERS, CACHE_TOKENS), some(anything()));
    tracker.record(prefix(3), 60_000);
    expect_that!(tracker.copies(prefix(3), SERVERS, CACHE_TOKENS), none());
}

#[gtest]
fn more_copies_keep_the_servers_of_fewer() {
    let directory = fleet(SERVERS);
    let mut before = Vec::new();
    for copies in 1..=SERVERS {
        let servers = prefix_servers(&directory, SERVICE, prefix(7), copies);
        expect_that!(servers.len(), eq(copies));
        let kept = before.iter().all(|key| servers.binary_search(key).is_ok());
        expect_that!(kept, eq(true), "{copies} copies");
        before = servers;
    }
}

#[gtest]
fn the_loss_of_a_server_moves_a_prefix_from_that_server_only() {
    let mut directory = fleet(SERVERS);
    let before = prefix_servers(&directory, SERVICE, prefix(7), 15);
    let lost = directory
        .all()
        .find(|(key, _)| before.binary_search(key).is_ok())
        .map(|(key, server)| (key, server.name.clone()));
    let (lost, name) = lost.expect("a server of the prefix");
    directory.remove(&name);
    let after = prefix_servers(&directory, SERVICE, prefix(7), 15);
    let kept = before.iter().filter(|key| after.binary_search(key).is_ok());
    expect_that!(kept.count(), eq(14));
    expect_that!(after.binary_search(&lost).is_err(), eq(true));
}

/// A query whose prefix is placed on some servers, and the servers that may be chosen.
struct ChoiceCase {
    name: &'static str,
    /// Own requests at each server of the prefix.
    in_flight: u32,
    /// Whether the session was served last by a server without the prefix.
    is_resumed: bool,
    /// Whether a server of the prefix is chosen.
    chooses_prefix_server: bool,
}

/// Load pattern: sixteen prefixes of 12,600 tokens on servers whose cache holds thirteen beside no request at all.
#[gtest]
fn a_new_session_goes_to_a_server_of_its_prefix_unless_these_have_more_work() {
    let directory = fleet(SERVERS);
    let paces = PaceTracker::default();
    let servers = prefix_servers(&directory, SERVICE, prefix(7), 15);
    let others: Vec<_> = directory
        .all()
        .map(|(key, _)| key)
        .filter(|key| servers.binary_search(key).is_err())
        .collect();
    let cases = [
        ChoiceCase {
            name: "idle",
            in_flight: 0,
            is_resumed: false,
            chooses_prefix_server: true,
        },
        ChoiceCase {
            name: "one request more",
            in_flight: 1,
            is_resumed: false,
            chooses_prefix_server: true,
        },
        ChoiceCase {
            name: "six requests more",
            in_flight: 6,
            is_resumed: false,
            chooses_prefix_server: false,
        },
        ChoiceCase {
            name: "a session whose prompt another server holds",
            in_flight: 0,
            is_resumed: true,
            chooses_prefix_server: false,
        },
    ];
    for case in cases {
        let mut tracker = LoadTracker::default();
        for key in &servers {
            (0..case.in_flight).for_each(|_| tracker.begin(*key));
        }
        for draw in 0..50 {
            let query = ServerQuery {
                service: SERVICE,
                failure_domain: "hall-a",
                preferred: case.is_resumed.then(|| others[0]),
                tried: &[],
                build: None,
                prompt: Some(PromptQuery {
                    prefix_tokens: PREFIX_TOKENS,
                    session_tokens: 1_680,
                    prefix_servers: Some(&servers),
                    stream_tokens: None,
                    tokens_per_event: 27,
                    load_permille: 500,
                    paces: &paces,
                }),
                limits: None,
                memory: None,
                risks: &[],
                left_ms: 0,
                draw: u64::wrapping_mul(draw, 0x9e37_79b9_7f4a_7c15),
                now_ms: 0,
            };
            let pick = choose_backend(&directory, &tracker, &query).expect("servers are ready");
            let is_prefix_server = servers.binary_search(&pick.key).is_ok();
            expect_that!(is_prefix_server, eq(case.chooses_prefix_server), "{}", case.name);
        }
    }
}
