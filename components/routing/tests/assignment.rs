//! Home servers that change little when servers do.

use std::net::{Ipv4Addr, SocketAddr};

use googletest::prelude::*;
use routing::{AssignmentTable, BackendServer, ServerDirectory, ServerKey, ServerState};

const SERVICE: &str = "models";
const KEYS: u64 = 10_000;
/// Sizes of the servers, in turn.
const SIZES: [u32; 4] = [6, 12, 24, 48];
/// Largest load of a server in percent of its share.
const MAX_LOAD_PERCENT: u64 = 125;
/// Divisor of the keys that gives how many more than the least possible may move with bounded load: one caller in a
/// hundred.
const CASCADE_DIVISOR: u64 = 100;

/// Returns five standard deviations of a number of keys.
const fn deviation(keys: u64) -> u64 {
    5 * (keys.isqrt() + 1)
}

fn server(index: usize, capacity: u32) -> BackendServer {
    BackendServer {
        name: format!("server-{index}"),
        started_at_ms: Some(1),
        service: SERVICE.to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 80)),
        failure_domain: "hall-a".to_owned(),
        software_version: "v1".to_owned(),
        capacity,
        state: ServerState::Ready,
    }
}

fn fleet(servers: usize) -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    for (index, size) in (0..servers).zip(SIZES.into_iter().cycle()) {
        directory.upsert(server(index, size));
    }
    directory
}

/// Returns the capacity of all servers.
fn total_size(directory: &ServerDirectory) -> u64 {
    let ready = directory.ready(SERVICE);
    ready.map(|(_, server)| u64::from(server.capacity)).sum()
}

/// Returns the index of the server of each key. If bounded, each key is a request under way; all of them choose a server
/// once while the load grows, and again under the whole load.
fn servers_of_keys(directory: &ServerDirectory, is_bounded: bool) -> Vec<usize> {
    let table = AssignmentTable::of_service(directory, SERVICE);
    let mut indexes = vec![0; 2 * directory.len() + 2];
    for (key, server) in directory.all() {
        let index = server
            .name
            .strip_prefix("server-")
            .expect("a server of the fleet");
        indexes[key.0 as usize] = index.parse().expect("an index");
    }
    let index_of = |server: Option<ServerKey>| server.expect("servers are ready").0 as usize;
    let mut homes: Vec<usize> = Vec::new();
    if is_bounded {
        let mut loads = vec![0_u32; indexes.len()];
        for key in 0..KEYS {
            let home = table.bounded_home(key, |server| loads[server.0 as usize], |_| true);
            homes.push(index_of(home));
            loads[index_of(home)] += 1;
        }
        for (key, before) in (0..KEYS).zip(&mut homes) {
            loads[*before] -= 1;
            let home = table.bounded_home(key, |server| loads[server.0 as usize], |_| true);
            *before = index_of(home);
            loads[*before] += 1;
        }
    } else {
        homes.extend((0..KEYS).map(|key| index_of(table.home(key, |_| true))));
    }
    homes.into_iter().map(|home| indexes[home]).collect()
}

/// A change of the servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FleetChange {
    Add,
    Remove,
    Double,
    Halve,
    Restart,
}

impl FleetChange {
    /// Applies the change to the third server, or adds one of its size. Returns the size that is gained or lost.
    fn apply(self, directory: &mut ServerDirectory) -> u64 {
        let (index, size) = (2, SIZES[2]);
        let changed = match self {
            Self::Add => server(directory.len(), size),
            Self::Remove => {
                directory.remove(&server(index, size).name);
                return u64::from(size);
            }
            Self::Double => server(index, size * 2),
            Self::Halve => server(index, size / 2),
            Self::Restart => BackendServer {
                started_at_ms: Some(2),
                ..server(index, size)
            },
        };
        directory.upsert(changed);
        match self {
            Self::Add | Self::Remove | Self::Double => u64::from(size),
            Self::Halve => u64::from(size / 2),
            Self::Restart => 0,
        }
    }
}

/// Load pattern: servers are added, removed, resized and restarted under 10,000 sessions. The least possible number of
/// moves is the share of the size that changes.
#[gtest]
fn a_change_of_a_server_moves_little_more_than_its_share() {
    let changes = [
        FleetChange::Add,
        FleetChange::Remove,
        FleetChange::Double,
        FleetChange::Halve,
        FleetChange::Restart,
    ];
    for servers in [10, 100, 1_000] {
        let fleet = fleet(servers);
        for is_bounded in [false, true] {
            let before = servers_of_keys(&fleet, is_bounded);
            for change in changes {
                let mut changed = fleet.clone();
                let size = change.apply(&mut changed);
                let after = servers_of_keys(&changed, is_bounded);
                let pairs = before.iter().zip(&after);
                let moved = pairs.filter(|(before, after)| before != after).count() as u64;
                let total = total_size(&fleet).max(total_size(&changed));
                let least = KEYS * size / total;
                let allowed = if is_bounded {
                    least + KEYS / CASCADE_DIVISOR
                } else {
                    least + deviation(least)
                };
                let name = format!("{change:?}, {servers} servers, bounded: {is_bounded}, least {least}");
                expect_that!(moved, le(allowed), "{name}");
                expect_that!(change == FleetChange::Restart && moved > 0, eq(false), "{name}");
            }
        }
    }
}

/// Load pattern: servers of very unequal sizes, with more keys than each can take by chance.
#[gtest]
fn shares_follow_the_sizes() {
    for servers in [10, 100, 1_000] {
        let fleet = fleet(servers);
        for is_bounded in [false, true] {
            let keys = servers_of_keys(&fleet, is_bounded);
            for (index, size) in (0..servers).zip(SIZES.into_iter().cycle()) {
                let count = keys.iter().filter(|key| **key == index).count() as u64;
                let share = KEYS * u64::from(size) / total_size(&fleet);
                let name = format!("server {index} of {servers}, bounded: {is_bounded}");
                if is_bounded {
                    let bound =
                        (MAX_LOAD_PERCENT * KEYS * u64::from(size)).div_ceil(100 * total_size(&fleet));
                    expect_that!(count, le(bound), "{name}");
                } else {
                    expect_that!(count.abs_diff(share), le(deviation(share)), "{name}");
                }
            }
        }
    }
}

/// A server that has more than its share of the requests under way.
#[gtest]
fn a_key_leaves_a_busy_home_for_the_next_of_its_ranking_and_returns() {
    let fleet = fleet(100);
    let table = AssignmentTable::of_service(&fleet, SERVICE);
    for key in 0..100 {
        let home = table.home(key, |_| true).expect("servers are ready");
        let next = table.home(key, |server| server != home);
        let busy = |server: ServerKey| if server == home { 100 } else { 0 };
        expect_that!(table.bounded_home(key, busy, |_| true), eq(next), "{key}");
        expect_that!(table.bounded_home(key, |_| 0, |_| true), some(eq(home)), "{key}");
        // Others are no choice: the home takes it whatever its load.
        let only = table.bounded_home(key, busy, |server| server == home);
        expect_that!(only, some(eq(home)), "{key}");
    }
}

/// A change of the servers of a prefix, and the largest number of servers that it adds or removes.
struct PrefixCase {
    name: &'static str,
    change: Option<FleetChange>,
    copies: usize,
    moved: usize,
}

/// Load pattern: prefixes that together exceed the cache of one server, while servers come and go.
#[gtest]
fn a_change_adds_or_removes_single_servers_of_a_prefix() {
    let case = |name, change, copies, moved| PrefixCase {
        name,
        change,
        copies,
        moved,
    };
    let cases = [
        case("one copy more", None, 16, 1),
        case("one copy less", None, 14, 1),
        case("a server more", Some(FleetChange::Add), 15, 1),
        case("a server less", Some(FleetChange::Remove), 15, 1),
        case("a larger server", Some(FleetChange::Double), 15, 1),
        case("a restarted server", Some(FleetChange::Restart), 15, 0),
    ];
    let fleet = fleet(100);
    let names = |directory: &ServerDirectory, key: u64, copies: usize| -> Vec<String> {
        let mut table = AssignmentTable::of_service(directory, SERVICE);
        let keys = table.first(key, copies);
        let servers = directory
            .all()
            .filter(|(listed, _)| keys.binary_search(listed).is_ok());
        servers.map(|(_, server)| server.name.clone()).collect()
    };
    for case in cases {
        let mut changed = fleet.clone();
        if let Some(change) = case.change {
            change.apply(&mut changed);
        }
        for key in 0..50 {
            let before = names(&fleet, key, 15);
            let after = names(&changed, key, case.copies);
            expect_that!(after.len(), eq(case.copies), "{}", case.name);
            let lost = before.iter().filter(|name| !after.contains(name)).count();
            expect_that!(lost, le(case.moved), "{}", case.name);
        }
    }
}
