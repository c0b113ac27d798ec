//! The directory of backend servers and the choice among them.

use std::net::{Ipv4Addr, SocketAddr};

use googletest::prelude::*;
use routing::{
    BackendServer, LoadTracker, ServerDirectory, ServerKey, ServerQuery, ServerState, choose_backend,
};

fn server(name: &str, port: u16, domain: &str, capacity: u32) -> BackendServer {
    BackendServer {
        name: name.to_owned(),
        started_at_ms: None,
        service: "models".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        failure_domain: domain.to_owned(),
        software_version: "v1".to_owned(),
        capacity,
        state: ServerState::Ready,
    }
}

const fn query(tried: &[ServerKey]) -> ServerQuery<'_> {
    ServerQuery {
        prompt: None,
        service: "models",
        failure_domain: "one",
        preferred: None,
        tried,
        build: None,
        limits: None,
        memory: None,
        risks: &[],
        left_ms: 0,
        draw: 7,
        now_ms: 0,
    }
}

fn directory(servers: &[BackendServer]) -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    directory.replace_all(servers.to_vec(), None);
    directory
}

fn key_of(directory: &ServerDirectory, name: &str) -> ServerKey {
    directory
        .all()
        .find(|(_, server)| server.name == name)
        .expect("listed")
        .0
}

#[gtest]
fn a_restart_under_the_same_name_is_a_new_incarnation() {
    let mut directory = directory(&[server("a", 1, "one", 8)]);
    let first = key_of(&directory, "a");
    let mut updated = server("a", 1, "one", 8);
    updated.state = ServerState::Leaving;
    directory.upsert(updated);
    expect_that!(key_of(&directory, "a"), eq(first));
    expect_that!(directory.ready("models").count(), eq(0));
    let mut restarted = server("a", 1, "one", 8);
    restarted.started_at_ms = Some(5);
    directory.upsert(restarted);
    expect_that!(key_of(&directory, "a"), not(eq(first)));
    let second = key_of(&directory, "a");
    let mut updated = server("a", 1, "one", 8);
    updated.started_at_ms = Some(5);
    updated.software_version = "v2".to_owned();
    directory.upsert(updated);
    expect_that!(key_of(&directory, "a"), not(eq(second)));
    expect_that!(directory.is_ready(second), eq(false));
    directory.replace_all(vec![server("b", 2, "one", 8)], None);
    expect_that!(
        directory
            .all()
            .map(|(_, server)| server.name.as_str())
            .collect::<Vec<_>>(),
        eq(&["b"])
    );
    directory.remove("b");
    expect_that!(directory.is_empty(), eq(true));
}

/// Servers with the number of the entry's own requests on each, and the name of the chosen one.
struct ChoiceCase {
    name: &'static str,
    servers: Vec<(BackendServer, u32)>,
    preferred: Option<&'static str>,
    avoided: Option<&'static str>,
    chosen: &'static str,
}

#[gtest]
fn the_least_loaded_server_is_chosen_unless_another_holds_the_prompt() {
    let cases = [
        ChoiceCase {
            name: "least loaded",
            servers: vec![(server("a", 1, "one", 48), 5), (server("b", 2, "one", 48), 4)],
            preferred: None,
            avoided: None,
            chosen: "b",
        },
        ChoiceCase {
            name: "a session stays on its server",
            servers: vec![(server("a", 1, "one", 48), 8), (server("b", 2, "one", 48), 4)],
            preferred: Some("a"),
            avoided: None,
            chosen: "a",
        },
        ChoiceCase {
            name: "a session moves from a server with clearly more work",
            servers: vec![(server("a", 1, "one", 48), 9), (server("b", 2, "one", 48), 4)],
            preferred: Some("a"),
            avoided: None,
            chosen: "b",
        },
        ChoiceCase {
            name: "a server that has just failed is chosen last",
            servers: vec![(server("a", 1, "one", 48), 0), (server("b", 2, "one", 48), 20)],
            preferred: Some("a"),
            avoided: Some("a"),
            chosen: "b",
        },
        ChoiceCase {
            name: "own failure domain while load is light",
            servers: vec![(server("a", 1, "two", 48), 0), (server("b", 2, "one", 48), 1)],
            preferred: None,
            avoided: None,
            chosen: "b",
        },
        ChoiceCase {
            name: "any failure domain under load",
            servers: vec![(server("a", 1, "two", 48), 6), (server("b", 2, "one", 48), 7)],
            preferred: None,
            avoided: None,
            chosen: "a",
        },
        ChoiceCase {
            name: "any failure domain for small servers",
            servers: vec![(server("a", 1, "two", 6), 0), (server("b", 2, "one", 6), 1)],
            preferred: None,
            avoided: None,
            chosen: "a",
        },
    ];
    for case in cases {
        let servers: Vec<BackendServer> = case.servers.iter().map(|(server, _)| server.clone()).collect();
        let directory = directory(&servers);
        let mut tracker = LoadTracker::default();
        for (server, in_flight) in &case.servers {
            for _ in 0..*in_flight {
                tracker.begin(key_of(&directory, &server.name));
            }
        }
        if let Some(avoided) = case.avoided {
            tracker.avoid(key_of(&directory, avoided), 0);
        }
        let mut query = query(&[]);
        query.preferred = case.preferred.map(|name| key_of(&directory, name));
        let pick = choose_backend(&directory, &tracker, &query).expect("servers are ready");
        expect_that!(pick.server.name.as_str(), eq(case.chosen), "{}", case.name);
    }
}

#[gtest]
fn tried_and_leaving_servers_are_not_chosen() {
    let mut leaving = server("c", 3, "one", 8);
    leaving.state = ServerState::Leaving;
    let directory = directory(&[server("a", 1, "one", 8), server("b", 2, "one", 8), leaving]);
    let tracker = LoadTracker::default();
    let tried = [key_of(&directory, "a")];
    let pick = choose_backend(&directory, &tracker, &query(&tried)).expect("one is left");
    expect_that!(pick.server.name.as_str(), eq("b"));
    let tried = [key_of(&directory, "a"), key_of(&directory, "b")];
    expect_that!(
        choose_backend(&directory, &tracker, &query(&tried)).is_none(),
        eq(true)
    );
}

#[gtest]
fn equal_servers_are_chosen_equally_often() {
    let names = ["a", "b", "c", "d"];
    let servers: Vec<BackendServer> = names
        .iter()
        .zip(1..)
        .map(|(name, port)| server(name, port, "one", 8))
        .collect();
    let directory = directory(&servers);
    let tracker = LoadTracker::default();
    for name in names {
        let chosen = (0..1_000_u64).filter(|draw| {
            let mut query = query(&[]);
            query.draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            choose_backend(&directory, &tracker, &query).is_some_and(|pick| pick.server.name == name)
        });
        expect_that!(chosen.count(), all!(ge(150), le(350)), "{name}");
    }
}

#[gtest]
fn a_missing_server_stays_until_its_removal_time_unless_it_is_listed_again() {
    let servers = [server("a", 1, "one", 8), server("b", 2, "one", 8)];
    let mut directory = directory(&servers);
    let key = key_of(&directory, "a");
    directory.replace_all(Vec::new(), Some(100));
    directory.remove_at("b", 200);
    directory.expire(99);
    expect_that!(directory.ready("models").count(), eq(2));
    directory.upsert(server("a", 1, "one", 8));
    directory.expire(100);
    expect_that!(directory.ready("models").count(), eq(1));
    expect_that!(key_of(&directory, "a"), eq(key));
}

/// Number of servers missing at the same time, and whether a mass expiry of registrations is suspected.
struct MassExpiryCase {
    listed: usize,
    missing: usize,
    is_suspected: bool,
}

#[gtest]
fn many_missing_servers_are_suspected_to_be_a_mass_expiry() {
    let cases = [
        MassExpiryCase {
            listed: 18,
            missing: 18,
            is_suspected: true,
        },
        MassExpiryCase {
            listed: 18,
            missing: 5,
            is_suspected: true,
        },
        MassExpiryCase {
            listed: 18,
            missing: 4,
            is_suspected: false,
        },
        MassExpiryCase {
            listed: 3,
            missing: 3,
            is_suspected: true,
        },
        MassExpiryCase {
            listed: 2,
            missing: 2,
            is_suspected: false,
        },
        MassExpiryCase {
            listed: 18,
            missing: 0,
            is_suspected: false,
        },
    ];
    for case in cases {
        let names: Vec<String> = (0..case.listed).map(|number| format!("s{number:02}")).collect();
        let servers: Vec<BackendServer> = names.iter().map(|name| server(name, 1, "one", 8)).collect();
        let is_suspected = directory(&servers).is_mass_expiry_suspected(&names[..case.missing]);
        expect_that!(
            is_suspected,
            eq(case.is_suspected),
            "{} of {}",
            case.missing,
            case.listed
        );
    }
}

/// A registration that follows the first one of a server, and whether it counts as a change.
struct ListingCase {
    name: &'static str,
    server: BackendServer,
    is_change: bool,
}

/// Load pattern: each time the object store forgets its history, and with each heartbeat, a process receives the
/// registrations of all servers again.
#[gtest]
fn an_unchanged_registration_is_no_change() {
    let listed = || server("a", 1, "one", 8);
    let leaving = BackendServer {
        state: ServerState::Leaving,
        ..listed()
    };
    let cases = [
        ListingCase {
            name: "unchanged",
            server: listed(),
            is_change: false,
        },
        ListingCase {
            name: "leaving",
            server: leaving,
            is_change: true,
        },
        ListingCase {
            name: "another address",
            server: server("a", 2, "one", 8),
            is_change: true,
        },
        ListingCase {
            name: "another server",
            server: server("b", 3, "one", 8),
            is_change: true,
        },
    ];
    for case in cases {
        let mut directory = ServerDirectory::default();
        expect_that!(directory.replace_all(vec![listed()], None).len(), eq(1));
        expect_that!(directory.replace_all(vec![listed()], None).len(), eq(0));
        let changed = directory.upsert(case.server.clone());
        let expected = case.is_change.then_some(case.server);
        expect_that!(
            changed.map(|server| (*server).clone()),
            eq(&expected),
            "{}",
            case.name
        );
    }
}

/// A registration that follows after a server has said that it leaves.
struct DepartureCase {
    name: &'static str,
    is_removed_before: bool,
    /// Start time that the server stated before.
    started_at_ms: Option<u64>,
    server: BackendServer,
    is_ready: bool,
}

/// Load pattern: servers are replaced one after the other while the discovery service shows old registrations.
#[gtest]
fn a_server_that_says_that_it_leaves_is_not_ready_again_before_it_restarts() {
    let case = |name, is_removed_before, started_at_ms, server, is_ready| DepartureCase {
        name,
        is_removed_before,
        started_at_ms,
        server,
        is_ready,
    };
    let listed = || server("a", 1, "one", 8);
    let restarted = BackendServer {
        started_at_ms: Some(5),
        ..listed()
    };
    let cases = [
        case("listed again", false, None, listed(), false),
        case("removed and listed again", true, None, listed(), false),
        case("more slots", false, None, server("a", 1, "one", 9), false),
        case("restarted", false, None, restarted.clone(), true),
        case("restarted again", false, Some(4), restarted.clone(), true),
        case("the same start", true, Some(5), restarted.clone(), false),
        case("without its start time", true, Some(5), listed(), false),
        case("removed and restarted", true, None, restarted, true),
        case("another address", true, None, server("a", 2, "one", 8), true),
    ];
    for case in cases {
        let before = BackendServer {
            started_at_ms: case.started_at_ms,
            ..listed()
        };
        let mut directory = directory(&[before]);
        let key = key_of(&directory, "a");
        let left = directory.record_departure(key);
        expect_that!(left.map(|server| server.name.clone()), some(eq("a")));
        expect_that!(directory.record_departure(key), none());
        expect_that!(directory.ready("models").count(), eq(0), "{}", case.name);
        if case.is_removed_before {
            directory.remove("a");
        }
        directory.replace_all(vec![case.server], None);
        let ready = directory.ready("models").count();
        expect_that!(ready, eq(usize::from(case.is_ready)), "{}", case.name);
    }
}

#[gtest]
fn the_oldest_departures_are_forgotten_first() {
    const REMEMBERED: usize = 1_024;
    let mut directory = ServerDirectory::default();
    let leaving = |number: usize| server(&format!("s{number}"), 1, "one", 8);
    for number in 0..=REMEMBERED {
        directory.upsert(leaving(number));
        directory.record_departure(key_of(&directory, &format!("s{number}")));
        directory.remove(&format!("s{number}"));
    }
    for number in [0, 1, REMEMBERED] {
        directory.upsert(leaving(number));
    }
    let ready: Vec<&str> = directory
        .ready("models")
        .map(|(_, server)| server.name.as_str())
        .collect();
    expect_that!(ready, eq(&["s0"]));
}

/// A registration that follows one with sequence 9 that says that the server leaves.
struct SequenceCase {
    name: &'static str,
    server: BackendServer,
    sequence: u64,
    is_superseded: bool,
}

#[gtest]
fn an_old_registration_is_superseded_by_the_one_that_says_that_the_server_leaves() {
    let case = |name, server, sequence, is_superseded| SequenceCase {
        name,
        server,
        sequence,
        is_superseded,
    };
    let listed = || server("a", 1, "one", 8);
    let leaving = || BackendServer {
        state: ServerState::Leaving,
        ..listed()
    };
    let restarted = BackendServer {
        started_at_ms: Some(5),
        ..listed()
    };
    let cases = [
        case("older", listed(), 8, true),
        case("the same number", listed(), 9, false),
        case("newer", listed(), 10, false),
        case("older and leaving", leaving(), 8, true),
        case("restarted", restarted, 1, false),
        case("another server", server("b", 1, "one", 8), 1, false),
    ];
    for case in cases {
        let mut directory = ServerDirectory::default();
        expect_that!(directory.is_superseded(&leaving(), 9), eq(false));
        let is_superseded = directory.is_superseded(&case.server, case.sequence);
        expect_that!(is_superseded, eq(case.is_superseded), "{}", case.name);
        // The notice stands whatever follows.
        expect_that!(directory.is_superseded(&listed(), 8), eq(true), "{}", case.name);
    }
}

/// A registration that arrives while the start at 5 ms is listed, or after it has left.
struct StartCase {
    name: &'static str,
    server: BackendServer,
    sequence: u64,
    /// Start that is listed in the end, and whether it is ready.
    listed: (Option<u64>, bool),
}

/// Load pattern: servers start again under their old names while heartbeats of their earlier starts are still on the way.
#[gtest]
fn a_late_registration_of_an_earlier_start_changes_nothing() {
    let start = |started_at_ms, state| BackendServer {
        started_at_ms,
        state,
        ..server("a", 1, "one", 8)
    };
    let (ready, leaving) = (ServerState::Ready, ServerState::Leaving);
    let case = |name, started_at_ms, state, sequence, listed| StartCase {
        name,
        server: start(started_at_ms, state),
        sequence,
        listed,
    };
    let cases = [
        case("earlier", Some(4), ready, 90, (Some(5), true)),
        case("earlier and leaving", Some(4), leaving, 91, (Some(5), true)),
        case("the same", Some(5), ready, 2, (Some(5), true)),
        case("later", Some(6), ready, 1, (Some(6), true)),
        case("later and leaving", Some(6), leaving, 1, (Some(6), false)),
    ];
    for case in cases {
        let mut directory = directory(&[start(Some(4), leaving)]);
        directory.is_superseded(&start(Some(4), leaving), 89);
        directory.upsert(start(Some(5), ready));
        let key = key_of(&directory, "a");
        directory.is_superseded(&case.server, case.sequence);
        directory.upsert(case.server.clone());
        let listed = directory
            .all()
            .map(|(key, server)| (server.started_at_ms, directory.is_ready(key)));
        expect_that!(
            listed.collect::<Vec<_>>(),
            eq(&vec![case.listed]),
            "{}",
            case.name
        );
        let is_same = case.listed.0 == Some(5);
        expect_that!(key_of(&directory, "a") == key, eq(is_same), "{}", case.name);
        // The start at 5 ms is superseded by no number of the one before.
        let is_superseded = directory.is_superseded(&start(Some(5), ready), 1);
        expect_that!(is_superseded, eq(false), "{}", case.name);
    }
    let mut directory = directory(&[start(Some(5), ready)]);
    directory.record_departure(key_of(&directory, "a"));
    directory.remove("a");
    directory.upsert(start(Some(4), ready));
    expect_that!(directory.ready("models").count(), eq(0));
}

/// Servers by service and version, and the one that is chosen for the software of the first.
struct BuildCase {
    name: &'static str,
    others: &'static [(&'static str, &'static str)],
    tried: usize,
    chosen: Option<usize>,
}

/// Load pattern: servers of two versions serve side by side, and the cheapest one runs the other version.
#[gtest]
fn a_stream_is_sent_only_to_servers_with_its_software() {
    let case = |name, others, tried, chosen| BuildCase {
        name,
        others,
        tried,
        chosen,
    };
    let cases = [
        case("the only one", &[("models", "v2")][..], 0, Some(0)),
        case("the only one was tried", &[("models", "v2")], 1, None),
        case(
            "another one of its version",
            &[("models", "v2"), ("models", "v1")],
            1,
            Some(2),
        ),
        case("its version of another service", &[("others", "v1")], 1, None),
    ];
    for case in cases {
        let all = std::iter::once(&("models", "v1")).chain(case.others).enumerate();
        let servers: Vec<BackendServer> = all
            .map(|(index, (service, version))| BackendServer {
                service: (*service).to_owned(),
                software_version: (*version).to_owned(),
                ..server(&format!("s{index}"), 1, "one", 8)
            })
            .collect();
        let directory = directory(&servers);
        let first = key_of(&directory, "s0");
        let mut tracker = LoadTracker::default();
        (0..4).for_each(|_| tracker.begin(first));
        let tried: Vec<ServerKey> = std::iter::repeat_n(first, case.tried).collect();
        let query = ServerQuery {
            build: Some(servers[0].build()),
            ..query(&tried)
        };
        let pick = choose_backend(&directory, &tracker, &query);
        let chosen = case.chosen.map(|index| format!("s{index}"));
        expect_that!(
            pick.map(|pick| pick.server.name.clone()),
            eq(&chosen),
            "{}",
            case.name
        );
    }
}
