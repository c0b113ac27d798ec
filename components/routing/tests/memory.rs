//! Replay of requests of uneven sizes on servers that crash when their memory is exceeded.

mod support;

use googletest::prelude::*;
use routing::{
    LoadTracker, MemoryDemand, MemoryFit, MemoryQuery, MemoryTracker, PromptPrefix, ServerKey, ServerQuery,
    choose_backend,
};
use support::{SERVICE, fleet};

const PREFIX: PromptPrefix = PromptPrefix {
    key: 7,
    tokens: 12_600,
};

/// Steps of a replay.
const STEPS: u64 = 400;

/// A request of the replay while it runs.
struct RunningRequest {
    entry: usize,
    key: ServerKey,
    demand: MemoryDemand,
    ends_at: u64,
}

/// What the entries of a replay know.
#[derive(Default)]
struct EntryView {
    loads: LoadTracker,
    memory: MemoryTracker,
}

/// Servers with this memory and number of slots, and the requests that come to them.
struct SizeCase {
    name: &'static str,
    server_tokens: u64,
    capacity: u32,
    entries: usize,
    /// Requests of each step, and the number of steps for which one runs.
    arrivals: u64,
    steps: u64,
    /// One of so many requests has a long prompt.
    long_every: u64,
    long_tokens: u64,
}

/// Results of a replay.
#[derive(Debug)]
struct ReplayResult {
    /// Requests after which their server had more tokens than memory.
    exceeding: u64,
    unplaced: u64,
}

/// Returns the tokens of all requests at a server, of which the prefix counts once.
fn tokens_at(running: &[RunningRequest], key: ServerKey) -> u64 {
    let here = running.iter().filter(|request| request.key == key);
    here.map(|request| request.demand.own_tokens).sum::<u64>() + PREFIX.tokens
}

fn replay(case: &SizeCase, counts_memory: bool) -> ReplayResult {
    const SERVERS: usize = 8;
    let mut directory = fleet(0);
    for server in fleet(SERVERS).all().map(|(_, server)| server.as_ref().clone()) {
        directory.upsert(routing::BackendServer {
            capacity: case.capacity,
            ..server
        });
    }
    let slots = SERVERS as u64 * u64::from(case.capacity);
    let mut views: Vec<EntryView> = (0..case.entries).map(|_| EntryView::default()).collect();
    let mut running: Vec<RunningRequest> = Vec::new();
    let mut result = ReplayResult {
        exceeding: 0,
        unplaced: 0,
    };
    let mut random = 1_u64;
    for step in 0..STEPS {
        running.retain(|request| {
            let is_running = request.ends_at > step;
            if !is_running {
                let view = &mut views[request.entry];
                view.loads.end(request.key);
                view.memory.end(request.key, request.demand);
            }
            is_running
        });
        for _ in 0..case.arrivals {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let draw = random >> 33;
            let is_long = draw.is_multiple_of(case.long_every);
            let session_tokens = if is_long { case.long_tokens } else { 1_680 };
            let demand = MemoryDemand::new(Some(PREFIX), PREFIX.tokens + session_tokens, 400);
            let entry = usize::try_from(draw).expect("31 bits") % case.entries;
            let view = &mut views[entry];
            let memory = MemoryQuery {
                tracker: &view.memory,
                demand,
                server_tokens: case.server_tokens,
                open_turns: running.len() as u64,
                slots,
            };
            let pick = choose_backend(
                &directory,
                &view.loads,
                &query(counts_memory.then_some(memory), draw),
            );
            let Some(key) = pick.map(|pick| pick.key) else {
                result.unplaced += 1;
                continue;
            };
            view.loads.begin(key);
            view.memory.begin(key, demand);
            running.push(RunningRequest {
                entry,
                key,
                demand,
                ends_at: step + case.steps,
            });
            if tokens_at(&running, key) > case.server_tokens {
                result.exceeding += 1;
            }
        }
    }
    result
}

fn query(memory: Option<MemoryQuery<'_>>, draw: u64) -> ServerQuery<'_> {
    ServerQuery {
        service: SERVICE,
        failure_domain: "hall-0",
        preferred: None,
        tried: &[],
        build: None,
        prompt: None,
        limits: None,
        memory,
        risks: &[],
        left_ms: 0,
        draw,
        now_ms: 0,
    }
}

/// Load pattern: about ten of the running requests have prompts of two fifths of a server's memory, on eight servers.
#[gtest]
fn requests_of_uneven_sizes_do_not_exceed_the_memory_of_a_server() {
    let case = |name, server_tokens, capacity, entries| SizeCase {
        name,
        server_tokens,
        capacity,
        entries,
        arrivals: u64::from(capacity) / 4,
        steps: 20,
        long_every: u64::from(capacity) / 2,
        long_tokens: server_tokens * 2 / 5,
    };
    let cases = [
        case("12 slots, one entry", 292_238, 12, 1),
        case("24 slots, one entry", 472_982, 24, 1),
        case("12 slots, four entries", 292_238, 12, 4),
        case("24 slots, four entries", 472_982, 24, 4),
    ];
    for case in cases {
        let blind = replay(&case, false);
        let counted = replay(&case, true);
        expect_that!(blind.exceeding, gt(0), "{}", case.name);
        let most_unplaced = case.arrivals * STEPS / 100;
        expect_that!(counted.unplaced, le(most_unplaced), "{}", case.name);
        if case.entries == 1 {
            expect_that!(counted.exceeding, eq(0), "{}", case.name);
        } else {
            expect_that!(counted.exceeding, lt(blind.exceeding), "{}", case.name);
        }
    }
}

/// A request at a server with this memory that runs `held` already.
struct FitCase {
    name: &'static str,
    held: Vec<MemoryDemand>,
    demand: MemoryDemand,
    open_turns: u64,
    fit: MemoryFit,
}

#[gtest]
fn a_shared_prefix_counts_once_and_the_requests_of_other_entries_are_estimated() {
    const SERVER_TOKENS: u64 = 30_000;
    let directory = fleet(1);
    let key = directory.all().next().expect("a server").0;
    let shared = |session, output| MemoryDemand::new(Some(PREFIX), PREFIX.tokens + session, output);
    let case = |name, held, demand, open_turns, fit| FitCase {
        name,
        held,
        demand,
        open_turns,
        fit,
    };
    let cases = [
        case("an idle server", vec![], shared(1_000, 500), 0, MemoryFit::Fits),
        case(
            "larger than any server",
            vec![],
            shared(20_000, 0),
            0,
            MemoryFit::Exceeds,
        ),
        case(
            "output that is still to come",
            vec![],
            shared(17_000, 500),
            0,
            MemoryFit::Exceeds,
        ),
        case(
            "a shared prefix",
            vec![shared(8_000, 0)],
            shared(9_000, 0),
            1,
            MemoryFit::Fits,
        ),
        case(
            "another prefix",
            vec![shared(8_000, 0)],
            MemoryDemand::new(Some(PromptPrefix { key: 8, ..PREFIX }), PREFIX.tokens + 1_000, 0),
            1,
            MemoryFit::Exceeds,
        ),
        case(
            "turns of others",
            vec![shared(5_000, 0)],
            shared(5_000, 0),
            3,
            MemoryFit::MayExceed,
        ),
    ];
    for case in cases {
        let mut tracker = MemoryTracker::default();
        for demand in &case.held {
            tracker.begin(key, *demand);
        }
        let query = MemoryQuery {
            tracker: &tracker,
            demand: case.demand,
            server_tokens: SERVER_TOKENS,
            open_turns: case.open_turns,
            slots: 6,
        };
        expect_that!(query.fit(key, 6), eq(case.fit), "{}", case.name);
        for demand in &case.held {
            tracker.end(key, *demand);
        }
        let idle = MemoryQuery {
            tracker: &tracker,
            demand: shared(17_000, 0),
            server_tokens: SERVER_TOKENS,
            open_turns: 0,
            slots: 6,
        };
        expect_that!(idle.fit(key, 6), eq(MemoryFit::Fits), "{}", case.name);
    }
}
