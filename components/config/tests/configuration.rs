//! Tests of the configuration text: values, defaults and each kind of fault.

use std::fmt::Write as _;

use config::parse_configuration;
use domain::{FailureDomain, MicroUnits, ServiceKind, ServiceName};
use googletest::prelude::*;

const CLUSTER: &str = include_str!("fixtures/cluster.ini");

fn faults_of(text: &str) -> Vec<String> {
    let faults = parse_configuration(text).expect_err("the text has a fault");
    faults.iter().map(ToString::to_string).collect()
}

fn service_names(names: &[&str]) -> Vec<ServiceName> {
    names.iter().map(|name| name.parse().expect("a name")).collect()
}

#[gtest]
fn a_configuration_is_parsed_and_sorted() {
    let configuration = parse_configuration(CLUSTER).expect("the fixture has no fault");
    let domains: Vec<&str> = configuration
        .failure_domains
        .iter()
        .map(FailureDomain::as_str)
        .collect();
    expect_that!(domains, eq(&["colombo-1", "colombo-2"]));
    expect_that!(configuration.weights.program_latency, eq(600));
    expect_that!(configuration.weights.wasted_cache, eq(400));
    expect_that!(configuration.loads_in_progress, eq(2));
    let teams: Vec<_> = configuration
        .teams
        .iter()
        .map(|team| (team.name.as_str(), team.budget.0))
        .collect();
    expect_that!(teams, eq(&[("auditors", 10), ("kelanimatch", 50_000_000)]));
    let team = &configuration.teams[1];
    expect_that!(team.key_sha256, eq(&"a".repeat(64)));
    expect_that!((team.window_s, team.weight), eq((86_400, 1)));
    let names: Vec<ServiceName> = configuration
        .services
        .iter()
        .map(|service| service.name.clone())
        .collect();
    expect_that!(names, eq(&service_names(&["ledger", "matcher", "notices"])));
}

#[gtest]
fn a_model_is_parsed_with_its_prices_and_limits() {
    let configuration = parse_configuration(CLUSTER).expect("the fixture has no fault");
    let matcher = &configuration.services[1];
    expect_that!(matcher.kind, eq(ServiceKind::Model));
    expect_that!(matcher.depends, eq(&service_names(&["ledger", "notices"])));
    expect_that!(
        (matcher.replicas, matcher.repeatable, matcher.fencing_checked),
        eq((12, true, true))
    );
    expect_that!(matcher.prices.per_call, eq(MicroUnits::ZERO));
    expect_that!(matcher.prices.per_prompt_token, eq(MicroUnits(2)));
    expect_that!(matcher.prices.per_cached_token, eq(MicroUnits(1)));
    expect_that!(matcher.prices.per_completion_token, eq(MicroUnits(3)));
    let limits = matcher.limits;
    expect_that!((limits.max_turns, limits.call_timeout_ms), eq((10, 60_000)));
    expect_that!((limits.program_time_s, limits.idle_time_s), eq((86_400, 3_600)));
    expect_that!((limits.queue_length, limits.concurrency), eq((64, 8)));
    expect_that!((limits.max_tokens, limits.context_tokens), eq((4_096, 840_000)));
}

#[gtest]
fn tools_and_plain_services_are_not_repeatable_by_default() {
    let configuration = parse_configuration(CLUSTER).expect("the fixture has no fault");
    let repeatable = |index: usize| {
        (
            configuration.services[index].kind,
            configuration.services[index].repeatable,
        )
    };
    expect_that!(repeatable(0), eq((ServiceKind::Tool, true)));
    expect_that!(repeatable(2), eq((ServiceKind::Plain, false)));
}

#[gtest]
fn accepts_a_byte_order_mark_and_carriage_returns() {
    let text = format!("\u{feff}{}", CLUSTER.replace('\n', "\r\n"));
    expect_that!(parse_configuration(&text), eq(&parse_configuration(CLUSTER)));
}

/// One change of the fixture and the beginning of the only fault that it causes; empty when it causes none.
struct FaultCase {
    from: &'static str,
    to: &'static str,
    fault: &'static str,
}

const fn case(from: &'static str, to: &'static str, fault: &'static str) -> FaultCase {
    FaultCase { from, to, fault }
}

#[rustfmt::skip]
const FAULT_CASES: &[FaultCase] = &[
    case("max-turns = 10", "max-turns 10", "line 22 [service matcher]: 6002"),
    case("[team auditors]", "[squad auditors]", "line 8 [squad auditors]: 6003"),
    case("[team auditors]", "[team]", "line 8 [team]: 6003"),
    case("max-turns", "most-turns", "line 22 [service matcher] most-turns: 6004"),
    case("repeatable = yes", "max-tokens = 5", "line 25 [service ledger] max-tokens: 6004"),
    case("failure-domains = colombo-2, colombo-1\n", "", "line 1 [cluster] failure-domains: 6005"),
    case("program-latency-weight = 600\n", "", "line 1 [cluster] program-latency-weight: 6005"),
    case("budget = 10\n", "", "line 8 [team auditors] budget: 6005"),
    case("kind = tool\n", "", "line 23 [service ledger] kind: 6005"),
    case("[team auditors]", "[team audi tors]", "line 8 [team audi tors]: 6006"),
    case("colombo-2, colombo-1", "colombo-1,,colombo-2", "line 2 [cluster] failure-domains: 6006"),
    case("colombo-2, colombo-1", "colombo-1, colombo-1", "line 2 [cluster] failure-domains: 6006"),
    case("= AAAA", "= GAAA", "line 6 [team kelanimatch] key-sha256: 6006"),
    case("= AAAA", "= AAA", "line 6 [team kelanimatch] key-sha256: 6006"),
    case("budget = 10\n", "budget = ten\n", "line 10 [team auditors] budget: 6006"),
    case("kind = model", "kind = oracle", "line 14 [service matcher] kind: 6006"),
    case("repeatable = yes", "repeatable = true", "line 25 [service ledger] repeatable: 6006"),
    case("weight = 3", "weight = 0", "line 12 [team auditors] weight: 6007"),
    case("replicas = 12", "replicas = 10001", "line 16 [service matcher] replicas: 6007"),
    case("[service notices]", "[service ledger]\nkind=tool\nprice-per-call=1\n[service notices]", "line 27 [service ledger]: 6008"),
    case("max-turns = 10", "max-turns = 10\nmax-turns = 9", "line 23 [service matcher] max-turns: 6009"),
    case("depends = notices", "depends = courier", "line 15 [service matcher] depends: 7001"),
    case("depends = notices", "depends = matcher", "line 15 [service matcher] depends: 7002"),
    case("kind = plain", "kind = plain\ndepends = matcher", "line 15 [service matcher] depends: 7002"),
    case("price-per-call = 5\n", "", "line 23 [service ledger] price-per-call: 7003"),
    case("price-per-cached-token = 1\n", "", "line 13 [service matcher] price-per-cached-token: 7003"),
    case("cached-token = 1", "cached-token = 3", "line 20 [service matcher] price-per-cached-token: 7004"),
    case("weight = 400", "weight = 500", "line 4 [cluster] wasted-cache-weight: 7004"),
    case("max-turns = 10", "program-time-s = 3599", "line 13 [service matcher] idle-time-s: 7004"),
    case("call-timeout-ms = 1000", "call-timeout-ms = 86400000", ""),
    case("max-turns = 10", "context-tokens = 4096", "line 13 [service matcher] max-tokens: 7004"),
    case("call-timeout-ms = 1000", "call-timeout-ms = 9001\nprogram-time-s = 9\nidle-time-s = 9", "line 30 [service notices] call-timeout-ms: 7004"),
    case("failure-domains = colombo-1", "failure-domains = galle", "line 17 [service matcher] failure-domains: 7005"),
    case("bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "line 9 [team auditors] key-sha256: 7008"),
];

#[gtest]
fn names_line_section_key_and_code_of_each_fault() {
    for FaultCase { from, to, fault } in FAULT_CASES {
        expect_that!(CLUSTER.contains(from), eq(true), "{from}");
        let changed = CLUSTER.replacen(from, to, 1);
        if fault.is_empty() {
            expect_that!(parse_configuration(&changed), ok(anything()), "{from} > {to}");
        } else {
            expect_that!(
                faults_of(&changed),
                elements_are![starts_with(*fault)],
                "{from} > {to}"
            );
        }
    }
}

#[gtest]
fn the_message_lists_a_dependency_cycle() {
    let text = CLUSTER.replace("kind = tool", "kind = tool\ndepends = notices");
    let text = text.replace("kind = plain", "kind = plain\ndepends = ledger");
    expect_that!(
        faults_of(&text),
        elements_are![eq(
            "line 25 [service ledger] depends: 7002 the dependencies form a cycle: ledger > notices > ledger"
        )]
    );
}

#[gtest]
fn reports_every_fault_in_the_order_of_the_lines() {
    let text = CLUSTER
        .replace("depends = notices", "depends = courier")
        .replace("price-per-call = 0\n", "")
        .replace("[cluster]\n", "");
    expect_that!(
        faults_of(&text),
        elements_are![
            starts_with("line 1 failure-domains: 6002"),
            starts_with("line 2 program-latency-weight: 6002"),
            starts_with("line 3 wasted-cache-weight: 6002"),
            starts_with("line 14 [service matcher] depends: 7001"),
            starts_with("line 26 [service notices] price-per-call: 7003"),
            starts_with("line 28 [cluster] failure-domains: 6005"),
            starts_with("line 28 [cluster] program-latency-weight: 6005"),
            starts_with("line 28 [cluster] wasted-cache-weight: 6005"),
        ]
    );
}

#[gtest]
fn keys_after_a_malformed_header_do_not_join_the_previous_section() {
    let text = CLUSTER
        .replace("[service ledger]", "[service ledger")
        .replace("[team auditors]", "[]");
    expect_that!(
        faults_of(&text),
        elements_are![
            starts_with("line 8 [team kelanimatch]: 6002"),
            starts_with("line 15 [service matcher] depends: 7001"),
            starts_with("line 23 [service matcher]: 6002"),
        ]
    );
}

#[gtest]
fn refuses_a_text_above_the_size_limit() {
    let text = format!("{CLUSTER}; {}\n", "x".repeat(256 * 1024));
    expect_that!(
        faults_of(&text),
        elements_are![starts_with("line 1: 6007 the text has ")]
    );
}

#[gtest]
fn the_list_of_faults_is_limited() {
    let faults = faults_of(&"x\n".repeat(100_000));
    expect_that!(faults.len(), eq(1_000));
    expect_that!(
        faults.last(),
        some(ends_with("; 99003 further faults are not listed"))
    );
}

#[gtest]
fn a_chain_of_thousands_of_services_is_checked() {
    let mut text = CLUSTER.to_owned();
    for number in 0..3_000 {
        let next = number + 1;
        write!(
            text,
            "[service s{number}]\nkind=tool\nprice-per-call=0\ndepends=s{next}\n"
        )
        .expect("a string takes every text");
    }
    let open_end = faults_of(&text);
    expect_that!(
        open_end,
        elements_are![contains_substring("[service s2999] depends: 7001")]
    );
    let closed = faults_of(&text.replace("depends=s3000", "depends=s0"));
    expect_that!(
        closed,
        elements_are![contains_substring("[service s0] depends: 7002")]
    );
}
