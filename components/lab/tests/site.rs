//! Parsing of valid and invalid site descriptions.

use googletest::prelude::*;
use lab::SiteModel;

const EXAMPLE: &str = include_str!("../../../examples/lab-burst.ini");

/// A change of the example and a part of the expected error message.
struct FaultCase {
    name: &'static str,
    replaced: &'static str,
    by: &'static str,
    message: &'static str,
}

#[gtest]
fn invalid_descriptions_are_refused_with_their_location() {
    let cases = [
        FaultCase {
            name: "missing key",
            replaced: "slots = 24",
            by: "",
            message: "[engines] has no slots",
        },
        FaultCase {
            name: "not a number",
            replaced: "entries = 20",
            by: "entries = many",
            message: "entries = many in [site]",
        },
        FaultCase {
            name: "zero",
            replaced: "per_second = 58",
            by: "per_second = 0",
            message: "per_second = 0 in [program plan]",
        },
        FaultCase {
            name: "infinite",
            replaced: "factor = 2.6",
            by: "factor = inf",
            message: "factor = inf in [burst]",
        },
        FaultCase {
            name: "missing section",
            replaced: "[site]",
            by: "[place]",
            message: "[site] has no section",
        },
        FaultCase {
            name: "invalid INI syntax",
            replaced: "[site]",
            by: "[site",
            message: "site description",
        },
    ];
    for case in cases {
        let text = EXAMPLE.replace(case.replaced, case.by);
        let error = SiteModel::from_text(&text).expect_err(case.name).to_string();
        expect_that!(error, contains_substring(case.message), "{}", case.name);
        expect_that!(error, starts_with("6006"), "{}", case.name);
    }
    let without_programs = EXAMPLE.replace("[program ", "[kind ");
    let error = SiteModel::from_text(&without_programs).expect_err("no programs");
    expect_that!(error.to_string(), contains_substring("no section [program NAME]"));
}

#[gtest]
fn the_example_is_parsed_completely() {
    let site = SiteModel::from_text(EXAMPLE).expect("a valid description");
    expect_that!((site.entries, site.engines, site.engine.slots), eq((20, 42, 24)));
    expect_that!(site.engine.step_us, eq(1_080));
    expect_that!(site.burst.map(|burst| burst.at_us), some(eq(5_600_000)));
    let names: Vec<&str> = site.kinds.iter().map(|kind| kind.name.as_str()).collect();
    expect_that!(names, eq(&["survey", "plan"]));
}
