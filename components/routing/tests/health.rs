//! Servers at fault, found from their answers and their silence.

mod support;

use std::ops::RangeInclusive;

use googletest::prelude::*;
use routing::{
    BackendServer, HealthTracker, LoadTracker, RunOutcome, ServerDirectory, ServerKey, ServerQuery,
    choose_backend,
};
use support::{SERVICE, fleet};

const SERVERS: usize = 40;
const USUAL: RunOutcome = RunOutcome::Answered { after_ms: 40 };
const TIME_LIMIT_MS: u64 = 3_000;

fn keys(directory: &ServerDirectory) -> Vec<ServerKey> {
    directory.all().map(|(key, _)| key).collect()
}

/// Returns a tracker that knows the usual time of an answer.
fn tracker(directory: &ServerDirectory) -> HealthTracker {
    let mut tracker = HealthTracker::default();
    for key in keys(directory) {
        tracker.record(key, USUAL, 0);
    }
    tracker
}

/// What was observed of one server, and the risk that it has some time later, in thousandths.
struct RiskCase {
    name: &'static str,
    outcomes: &'static [RunOutcome],
    /// How long a request has been waiting.
    silent_ms: Option<u64>,
    later_ms: u64,
    permille: RangeInclusive<u64>,
}

#[gtest]
fn the_risk_of_a_server_follows_its_answers_and_fades() {
    const FAILED: RunOutcome = RunOutcome::Failed;
    let case = |name, outcomes, silent_ms, later_ms, permille| RiskCase {
        name,
        outcomes,
        silent_ms,
        later_ms,
        permille,
    };
    let cases = [
        case("answers only", &[USUAL, USUAL][..], None, 0, 0..=0),
        case("one failure", &[FAILED], None, 0, 300..=350),
        case(
            "one failure among answers",
            &[FAILED, USUAL, USUAL, USUAL],
            None,
            0,
            150..=180,
        ),
        case(
            "failures only",
            &[FAILED, FAILED, FAILED, FAILED],
            None,
            0,
            600..=700,
        ),
        case("one failure, a half-life ago", &[FAILED], None, 2_500, 190..=210),
        case("one failure, long ago", &[FAILED], None, 30_000, 0..=0),
        case("a request that waits as usual", &[], Some(40), 0, 0..=0),
        case("a silent request", &[], Some(500), 0, 300..=350),
        case(
            "a silent request beside a failure",
            &[FAILED],
            Some(500),
            0,
            450..=500,
        ),
    ];
    let directory = fleet(SERVERS);
    let key = keys(&directory)[3];
    for case in cases {
        let mut tracker = tracker(&directory);
        let mut now_ms = 10_000;
        for outcome in case.outcomes {
            tracker.record(key, *outcome, now_ms);
        }
        now_ms += case.later_ms;
        if let Some(silent_ms) = case.silent_ms {
            tracker.begin(key, now_ms - silent_ms);
        }
        let risks = tracker.risks(&directory, SERVICE, now_ms);
        let found = risks.iter().find(|risk| risk.key == key);
        let permille = found.map_or(0, |risk| risk.permille);
        expect_that!(
            case.permille.contains(&permille),
            eq(true),
            "{}: {permille}",
            case.name
        );
    }
}

/// Failing servers, and how many of them are held to be at fault.
struct ShareCase {
    name: &'static str,
    is_failing: fn(&BackendServer) -> bool,
    held: usize,
}

#[gtest]
fn never_all_servers_of_a_failure_domain_or_service_are_held_at_fault() {
    let cases = [
        ShareCase {
            name: "a few",
            is_failing: |server| server.name.ends_with("-3") || server.name.ends_with("-17"),
            held: 2,
        },
        ShareCase {
            name: "a whole failure domain",
            is_failing: |server| server.failure_domain == "hall-0",
            held: 4,
        },
        ShareCase {
            name: "the whole service",
            is_failing: |_| true,
            held: 13,
        },
    ];
    let directory = fleet(SERVERS);
    for case in cases {
        let mut tracker = tracker(&directory);
        let failing = directory.all().filter(|(_, server)| (case.is_failing)(server));
        for (key, _) in failing {
            tracker.record(key, RunOutcome::Failed, 1_000);
        }
        let risks = tracker.risks(&directory, SERVICE, 1_000);
        expect_that!(risks.len(), eq(case.held), "{}", case.name);
    }
}

/// Load pattern: of forty servers, eight leave two requests in five without an answer for seven seconds, after which
/// they serve well. Thirty requests a second come to the entry.
#[gtest]
fn grey_servers_get_fewer_requests_until_they_answer_again() {
    let directory = fleet(SERVERS);
    let mut tracker = tracker(&directory);
    let loads = LoadTracker::default();
    let grey = &keys(&directory)[..8];
    let mut open: Vec<(ServerKey, u64, u64, Option<RunOutcome>)> = Vec::new();
    let (mut hung, mut blind, mut later) = (0, 0, 0);
    for turn in 0..600_u64 {
        let now_ms = 1_000 + turn * 33;
        let (ended, waiting): (Vec<_>, Vec<_>) = open.into_iter().partition(|run| run.2 <= now_ms);
        open = waiting;
        for (key, sent_at_ms, ends_at_ms, outcome) in ended {
            tracker.end(key, sent_at_ms, outcome, ends_at_ms);
        }
        let risks = tracker.risks(&directory, SERVICE, now_ms);
        let draw = turn.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let query = ServerQuery {
            service: SERVICE,
            failure_domain: "hall-0",
            preferred: None,
            tried: &[],
            build: None,
            prompt: None,
            limits: None,
            memory: None,
            risks: &risks,
            left_ms: TIME_LIMIT_MS,
            draw,
            now_ms,
        };
        let Some(pick) = choose_backend(&directory, &loads, &query) else {
            continue;
        };
        let is_grey = grey.contains(&pick.key);
        let is_fault = now_ms < 8_000 && turn % 5 < 2;
        blind += usize::from(is_fault && turn % 5 == 0);
        later += usize::from(is_grey && now_ms > 16_000);
        let ends_at_ms = if is_grey && is_fault {
            hung += 1;
            now_ms + TIME_LIMIT_MS
        } else {
            now_ms + 40
        };
        let outcome = (ends_at_ms == now_ms + 40).then_some(USUAL);
        tracker.begin(pick.key, now_ms);
        open.push((pick.key, now_ms, ends_at_ms, outcome));
    }
    // Without observation a fifth of the requests goes to the grey servers, of which two in five hang.
    let expected_blind = blind * 2 / 5;
    expect_that!(hung, lt(expected_blind * 2 / 3));
    expect_that!(later, ge(12));
}
