//! Lookups in the routing table.

use googletest::prelude::*;
use routing::{RequestLimits, RouteAccess, RouteMatch, RouteTable, RunPolicy, ServiceRoute, WeightedService};

fn route(name: &str, host: &str, prefix: &str, shares: &[(&str, u32)]) -> ServiceRoute {
    let service = |&(service, weight): &(&str, u32)| WeightedService {
        service: service.to_owned(),
        weight,
    };
    ServiceRoute {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        run_policy: RunPolicy::AtMostOnce,
        streaming: false,
        keeps_turns: false,
        retention_ms: 0,
        sticky: false,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        max_attempts: 2,
        access: RouteAccess::Workspaces,
        services: shares.iter().map(service).collect(),
    }
}

/// A request and the name of the route that matches it.
struct LookupCase {
    host: &'static str,
    path: &'static str,
    found: Option<&'static str>,
}

#[gtest]
fn the_longest_matching_prefix_of_the_host_is_chosen() {
    let routes = vec![
        route("all", "one.example", "/", &[("s", 1)]),
        route("short", "one.example", "/a/", &[("s", 1)]),
        route("long", "one.example", "/a/b/", &[("s", 1)]),
        route("other", "two.example", "/a/", &[("s", 1)]),
    ];
    let limits = RequestLimits {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout_ms: 1,
        idle_timeout_ms: 1,
    };
    let table = RouteTable::new(3, routes, Vec::new(), limits);
    let cases = [
        LookupCase {
            host: "one.example",
            path: "/a/b/c",
            found: Some("long"),
        },
        LookupCase {
            host: "one.example",
            path: "/a/bc",
            found: Some("short"),
        },
        LookupCase {
            host: "one.example",
            path: "/a",
            found: Some("all"),
        },
        LookupCase {
            host: "ONE.example:8080",
            path: "/a/b/",
            found: Some("long"),
        },
        LookupCase {
            host: "two.example",
            path: "/a/x",
            found: Some("other"),
        },
        LookupCase {
            host: "two.example",
            path: "/b",
            found: None,
        },
        LookupCase {
            host: "three.example",
            path: "/a/",
            found: None,
        },
        LookupCase {
            host: "",
            path: "/",
            found: None,
        },
    ];
    for case in cases {
        let found = match table.find(case.host, case.path) {
            RouteMatch::Found(route) => Some(route.name.as_str()),
            RouteMatch::Unknown => None,
        };
        expect_that!(found, eq(case.found), "{}{}", case.host, case.path);
    }
}

#[gtest]
fn services_are_chosen_in_proportion_to_their_weights() {
    let split = route("split", "h", "/", &[("main", 90), ("trial", 10)]);
    let trial = (0..1_000)
        .filter(|draw| split.service_for(*draw) == Some("trial"))
        .count();
    expect_that!(trial, eq(100));
    expect_that!(
        route("zero", "h", "/", &[("only", 0)]).service_for(7),
        some(eq("only"))
    );
    expect_that!(route("none", "h", "/", &[]).service_for(7), none());
}
