//! Policies under the load of the example site and its burst.

use googletest::prelude::*;
use lab::{ExperimentReport, LabPolicy, PolicyResult, SiteModel, arrivals, draw_plot, run_policy};

const SEED: u64 = 1;

fn example() -> SiteModel {
    let text = include_str!("../../../examples/lab-burst.ini");
    SiteModel::from_text(text).expect("a valid description")
}

fn run_with_seed(site: &SiteModel, policy: LabPolicy) -> PolicyResult {
    run_policy(site, &arrivals(site, SEED), policy, SEED)
}

#[gtest]
fn without_a_burst_nearly_every_program_ends_within_its_aim() {
    let mut site = example();
    site.burst = None;
    let result = run_with_seed(&site, LabPolicy::Open);
    expect_that!(result.worth_share, gt(0.95));
    let all: u64 = result
        .kinds
        .iter()
        .map(|kind| kind.in_aim + kind.late + kind.failed)
        .sum();
    expect_that!(usize::try_from(all), ok(eq(arrivals(&site, SEED).len())));
}

/// A load, as a change of the example, and the least gain of the gateway's admission control.
struct LoadCase {
    name: &'static str,
    factor: f64,
    length_us: u64,
    /// Least gain in the share of worth over no admission control; negative where a small loss is allowed.
    gain: f64,
}

#[gtest]
fn admission_serves_more_under_heavy_load_and_costs_little_under_light_load() {
    let cases = [
        LoadCase {
            name: "light burst",
            factor: 1.5,
            length_us: 6_000_000,
            gain: -0.05,
        },
        LoadCase {
            name: "heavy burst",
            factor: 2.6,
            length_us: 6_000_000,
            gain: 0.05,
        },
        LoadCase {
            name: "sustained overload",
            factor: 2.0,
            length_us: 18_000_000,
            gain: 0.05,
        },
    ];
    for case in cases {
        let mut site = example();
        if let Some(burst) = &mut site.burst {
            burst.factor = case.factor;
            burst.length_us = case.length_us;
        }
        let open = run_with_seed(&site, LabPolicy::Open);
        let admission = run_with_seed(&site, LabPolicy::Admission);
        let gain = admission.worth_share - open.worth_share;
        expect_that!(gain, ge(case.gain), "{}", case.name);
    }
}

#[gtest]
fn a_fixed_bound_serves_fewer_programs_in_time_than_admission() {
    let site = example();
    let in_aim = |result: &PolicyResult| -> u64 { result.kinds.iter().map(|kind| kind.in_aim).sum() };
    let admission = in_aim(&run_with_seed(&site, LabPolicy::Admission));
    for bound in [12, 16, 20] {
        let result = run_with_seed(&site, LabPolicy::Bound(bound));
        expect_that!(in_aim(&result), lt(admission), "bound {bound}");
        expect_that!(result.refusals, gt(0));
    }
}

#[gtest]
fn runs_with_the_same_seed_are_equal_and_other_seeds_differ() {
    let site = example();
    let first = arrivals(&site, SEED);
    expect_that!(arrivals(&site, SEED), eq(&first));
    expect_that!(arrivals(&site, SEED + 1), not(eq(&first)));
    let result = run_policy(&site, &first, LabPolicy::Admission, SEED);
    expect_that!(run_policy(&site, &first, LabPolicy::Admission, SEED), eq(&result));
}

#[gtest]
fn a_report_is_drawn_as_an_svg_plot() {
    let mut site = example();
    site.length_us = 2_000_000;
    let report = ExperimentReport {
        seed: SEED,
        programs: arrivals(&site, SEED).len(),
        results: vec![
            run_with_seed(&site, LabPolicy::Open),
            run_with_seed(&site, LabPolicy::Bound(8)),
        ],
    };
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("plot.svg");
    draw_plot(&report, &path).expect("a writable folder");
    let text = std::fs::read_to_string(&path).expect("a readable file");
    expect_that!(text, contains_substring("<svg"));
    expect_that!(text, contains_substring("Bound(8)"));
}
