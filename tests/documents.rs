//! Compares tables in the documents with the code, and checks the example configurations.

use config::{NumberRule, number_rules, parse_configuration};
use domain::{ClusterConfiguration, ServiceKind};
use errors::ResultCode;
use googletest::prelude::*;

const CODES: &str = include_str!("../docs/CODES.md");
const CONFIGURATION: &str = include_str!("../docs/operators/configuration.md");
const RUN_STATES: [&str; 4] = ["not run", "outcome unknown", "ran", "any"];

fn cells(row: &str) -> Vec<&str> {
    row.trim_matches('|').split('|').map(str::trim).collect()
}

#[gtest]
fn lists_every_result_code_with_its_status() {
    let rows: Vec<Vec<&str>> = CODES
        .lines()
        .map(cells)
        .filter(|row| row[0].parse::<u16>().is_ok())
        .collect();
    let listed: Vec<String> = rows.iter().map(|row| row[..3].join(" ")).collect();
    let expected = ResultCode::ALL.iter();
    let expected = expected.map(|code| format!("{} {code:?} {}", code.number(), code.http_status()));
    expect_that!(listed, eq(&expected.collect::<Vec<_>>()));
    for row in rows {
        expect_that!(RUN_STATES.contains(&row[3]), eq(true), "{row:?}");
        expect_that!(row[4], not(eq("")), "{row:?}");
    }
}

#[gtest]
fn lists_every_number_with_its_range_and_default() {
    for rule in number_rules() {
        let NumberRule {
            section,
            key,
            min,
            max,
            default,
        } = rule;
        let default = default.map_or_else(|| "required".to_owned(), |default| default.to_string());
        let sections = CONFIGURATION
            .split("\n### [")
            .filter(|part| part.starts_with(section));
        let mut rows = sections.flat_map(str::lines).map(cells);
        let row = rows.find(|row| row[0] == format!("`{key}`"));
        let numbers = row.map(|row| row[2..].join(" "));
        expect_that!(
            numbers,
            some(eq(&format!("{min} to {max} {default}"))),
            "[{section}] {key}"
        );
    }
}

/// An example configuration and the sizes of the deployment that it describes.
struct ExampleCase {
    text: &'static str,
    failure_domains: usize,
    model_replicas: u32,
    application_replicas: u32,
}

const KELANIMATCH: ExampleCase = ExampleCase {
    text: include_str!("../examples/kelanimatch.ini"),
    failure_domains: 3,
    model_replicas: 12,
    application_replicas: 6,
};
const SALISH: ExampleCase = ExampleCase {
    text: include_str!("../examples/salish.ini"),
    failure_domains: 4,
    model_replicas: 12,
    application_replicas: 6,
};

fn example(case: &ExampleCase) -> ClusterConfiguration {
    parse_configuration(case.text).expect("an example has no fault")
}

#[gtest]
fn examples_have_the_sizes_of_the_deployments() {
    for case in [KELANIMATCH, SALISH] {
        let configuration = example(&case);
        let replicas = |model: bool| -> u32 {
            let services = configuration.services.iter();
            let services = services.filter(|service| (service.kind == ServiceKind::Model) == model);
            services.map(|service| service.replicas).sum()
        };
        expect_that!(configuration.failure_domains.len(), eq(case.failure_domains));
        expect_that!(replicas(true), eq(case.model_replicas));
        expect_that!(replicas(false), eq(case.application_replicas));
    }
}

#[gtest]
fn examples_set_the_weights_of_the_deployments() {
    let (kelanimatch, salish) = (example(&KELANIMATCH).weights, example(&SALISH).weights);
    expect_that!(kelanimatch.program_latency, gt(kelanimatch.wasted_cache));
    expect_that!(salish.program_latency, gt(kelanimatch.program_latency));
    expect_that!(kelanimatch.wasted_cache, gt(salish.wasted_cache));
}

#[gtest]
fn examples_run_notices_at_most_once() {
    let once = |configuration: ClusterConfiguration, name: &str| {
        let service = configuration
            .services
            .into_iter()
            .find(|service| service.name.as_str() == name);
        service.map(|service| service.repeatable)
    };
    expect_that!(once(example(&KELANIMATCH), "dispute-notes"), some(eq(false)));
    expect_that!(once(example(&SALISH), "invoice-notices"), some(eq(false)));
}
