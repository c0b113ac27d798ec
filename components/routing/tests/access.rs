//! Decisions on API keys: who holds a key, how old the configuration may be, and how often a newer one is asked for.

use domain::WorkspaceKey;
use googletest::prelude::*;
use routing::{
    AccessBounds, AccessDecision, KeyDigest, KeyHolder, KeyedWorkspace, RefreshGate, RefreshStep,
    RequestLimits, RouteAccess, RouteTable, RunPolicy, ServiceRoute, Workspace, WorkspaceTable,
};

fn workspace(name: &str) -> Workspace {
    Workspace {
        key: WorkspaceKey::from_name(name),
        name: name.to_owned(),
        priority: None,
        quota: None,
    }
}

fn keyed(name: &str, keys: &[&str]) -> KeyedWorkspace {
    KeyedWorkspace {
        workspace: workspace(name),
        keys: keys.iter().map(|key| KeyDigest::of_key(key.as_bytes())).collect(),
    }
}

fn route(access: RouteAccess) -> ServiceRoute {
    ServiceRoute {
        name: "route".to_owned(),
        host: "calls.example".to_owned(),
        path_prefix: "/".to_owned(),
        run_policy: RunPolicy::AtMostOnce,
        streaming: false,
        keeps_turns: false,
        retention_ms: 0,
        sticky: false,
        timeout_ms: 1_000,
        target_latency_ms: 0,
        priority: 0,
        max_attempts: 1,
        access,
        services: Vec::new(),
    }
}

fn table(workspaces: Option<Vec<KeyedWorkspace>>) -> RouteTable {
    let limits = RequestLimits {
        max_header_bytes: 0,
        max_body_bytes: 0,
        header_timeout_ms: 0,
        idle_timeout_ms: 0,
    };
    let table = RouteTable::new(1, Vec::new(), Vec::new(), limits);
    match workspaces {
        None => table,
        Some(workspaces) => table.with_workspaces(WorkspaceTable::new(workspaces)),
    }
}

/// A request and whose it is.
struct HolderCase {
    name: &'static str,
    has_workspaces: bool,
    access: RouteAccess,
    api_key: Option<&'static str>,
    holder: fn() -> KeyHolder,
}

#[gtest]
fn a_caller_is_known_by_its_api_key() {
    let case = |name, has_workspaces, access, api_key, holder| HolderCase {
        name,
        has_workspaces,
        access,
        api_key,
        holder,
    };
    let (keyed_route, public) = (RouteAccess::Workspaces, RouteAccess::Public);
    let cases: [HolderCase; 8] = [
        case("no workspaces", false, keyed_route, Some("a-1"), || {
            KeyHolder::Untold
        }),
        case("first key", true, keyed_route, Some("a-1"), || {
            KeyHolder::Member(workspace("a").into())
        }),
        case("second key", true, keyed_route, Some("a-2"), || {
            KeyHolder::Member(workspace("a").into())
        }),
        case(
            "a key of two workspaces",
            true,
            keyed_route,
            Some("shared"),
            || KeyHolder::Member(workspace("a").into()),
        ),
        case("unknown", true, keyed_route, Some("a-3"), || KeyHolder::Unknown),
        case("no key", true, keyed_route, None, || KeyHolder::Missing),
        case("public", true, public, None, || KeyHolder::Anonymous),
        case("public, with a key", true, public, Some("a-1"), || {
            KeyHolder::Anonymous
        }),
    ];
    for case in cases {
        let workspaces = vec![
            keyed("a", &["a-1", "a-2", "shared"]),
            keyed("b", &["shared", "b-1"]),
        ];
        let table = table(case.has_workspaces.then_some(workspaces));
        let holder = KeyHolder::of_request(&table, &route(case.access), case.api_key.map(str::as_bytes));
        expect_that!(holder, eq(&(case.holder)()), "{}", case.name);
    }
}

/// Priorities of a workspace and of a route, and that of a request.
struct PriorityCase {
    workspace: Option<u32>,
    route: u32,
    request: u32,
}

#[gtest]
fn the_priority_of_a_workspace_goes_before_that_of_its_route() {
    let case = |workspace, route, request| PriorityCase {
        workspace,
        route,
        request,
    };
    let cases = [case(None, 3, 3), case(Some(0), 3, 0), case(Some(5), 3, 5)];
    for case in cases {
        let member = KeyHolder::Member(
            Workspace {
                priority: case.workspace,
                ..workspace("a")
            }
            .into(),
        );
        let route = ServiceRoute {
            priority: case.route,
            ..route(RouteAccess::Workspaces)
        };
        expect_that!(member.priority(&route), eq(case.request), "{:?}", case.workspace);
        expect_that!(KeyHolder::Anonymous.priority(&route), eq(case.route));
    }
}

/// Who sent a request, the age of the configuration, and what is decided in both kinds of bounds.
struct AgeCase {
    holder: KeyHolder,
    age_ms: Option<u64>,
    lenient: AccessDecision,
    strict: AccessDecision,
}

#[gtest]
fn a_configuration_that_may_be_out_of_date_refuses_no_key_as_unknown() {
    use AccessDecision::{Granted, Refused, Undecided};
    let case = |holder, age_ms, lenient, strict| AgeCase {
        holder,
        age_ms,
        lenient,
        strict,
    };
    let member = || KeyHolder::Member(workspace("a").into());
    let cases = [
        case(member(), Some(5_000), Granted, Granted),
        case(member(), Some(5_001), Granted, Undecided),
        case(member(), None, Granted, Undecided),
        case(KeyHolder::Unknown, Some(3_000), Refused, Refused),
        case(KeyHolder::Unknown, Some(3_001), Undecided, Undecided),
        case(KeyHolder::Missing, Some(3_001), Undecided, Undecided),
        case(KeyHolder::Unknown, None, Undecided, Undecided),
        case(KeyHolder::Anonymous, None, Granted, Granted),
        case(KeyHolder::Untold, None, Granted, Granted),
    ];
    let lenient = AccessBounds {
        refusal_age_ms: 3_000,
        grant_age_ms: None,
    };
    let strict = AccessBounds {
        grant_age_ms: Some(5_000),
        ..lenient
    };
    for case in cases {
        let name = format!("{:?} after {:?}", case.holder, case.age_ms);
        expect_that!(
            lenient.decide(&case.holder, case.age_ms),
            eq(case.lenient),
            "{name}"
        );
        expect_that!(
            strict.decide(&case.holder, case.age_ms),
            eq(case.strict),
            "{name}, strict"
        );
    }
}

/// A thousand requests a second with unknown keys for ten seconds, while each question is answered after some time.
struct FloodCase {
    answer_ms: Option<u64>,
    /// Largest number of questions.
    asked: u32,
    /// Longest time for which a request waits, in milliseconds.
    waited_ms: u64,
}

#[gtest]
fn a_flood_of_unknown_keys_asks_no_more_often_and_waits_for_a_short_time() {
    let cases = [
        FloodCase {
            answer_ms: Some(5),
            asked: 20,
            waited_ms: 5,
        },
        FloodCase {
            answer_ms: None,
            asked: 20,
            waited_ms: 150,
        },
    ];
    for case in cases {
        let mut gate = RefreshGate::default();
        let (mut asked, mut longest) = (0, 0);
        let mut answered_at = None;
        for now_ms in 0..10_000 {
            if answered_at == Some(now_ms) {
                gate.finish();
            }
            let until_ms = match gate.step(now_ms) {
                RefreshStep::Ask(until_ms) => {
                    asked += 1;
                    answered_at = case.answer_ms.map(|answer_ms| now_ms + answer_ms);
                    until_ms
                }
                RefreshStep::Join(until_ms) => until_ms,
                RefreshStep::Skip => continue,
            };
            let end = answered_at.map_or(until_ms, |answered_at| until_ms.min(answered_at));
            longest = longest.max(end - now_ms);
        }
        expect_that!(asked, le(case.asked), "answered after {:?}", case.answer_ms);
        expect_that!(longest, le(case.waited_ms), "answered after {:?}", case.answer_ms);
    }
}

#[gtest]
fn debug_output_does_not_disclose_keys() {
    let digest = KeyDigest::of_key(b"secret-key");
    let whole = String::from(digest);
    let shown = format!("{:?} {digest:?}", keyed("a", &["secret-key"]));
    expect_that!(shown, not(contains_substring("secret-key")));
    expect_that!(shown, not(contains_substring(&whole[..8])));
    expect_that!(KeyDigest::try_from(whole), ok(eq(digest)));
    expect_that!(KeyDigest::try_from("12".to_owned()), err(anything()));
}
