//! Policies under the load of the example's burst.

use googletest::prelude::*;
use lab::{ExperimentReport, LabPolicy, PolicyResult, SiteModel, arrivals, draw_plot, run_policy};

const SEED: u64 = 1;

fn example() -> SiteModel {
    let text = include_str!("../../../examples/lab-burst.ini");
    SiteModel::from_text(text).expect("a good description")
}

fn play(site: &SiteModel, policy: LabPolicy) -> PolicyResult {
    run_policy(site, &arrivals(site, SEED), policy, SEED)
}

#[gtest]
fn without_a_burst_nearly_every_program_ends_in_its_aim() {
    let mut site = example();
    site.burst = None;
    let result = play(&site, LabPolicy::Open);
    expect_that!(result.worth_share, gt(0.95));
    let all: u64 = result
        .kinds
        .iter()
        .map(|kind| kind.in_aim + kind.late + kind.failed)
        .sum();
    expect_that!(usize::try_from(all), ok(eq(arrivals(&site, SEED).len())));
}

#[gtest]
fn in_a_burst_a_bound_on_the_engines_serves_more_programs_in_time_than_any_order() {
    let site = example();
    let open = play(&site, LabPolicy::Open);
    let stages = play(&site, LabPolicy::Stages);
    let bound = play(&site, LabPolicy::Bound(16));
    let in_aim = |result: &PolicyResult| -> u64 { result.kinds.iter().map(|kind| kind.in_aim).sum() };
    expect_that!(in_aim(&bound), gt(in_aim(&open)));
    expect_that!(in_aim(&bound), gt(in_aim(&stages)));
    expect_that!(bound.worth_share, gt(open.worth_share));
    expect_that!(open.refusals, eq(0));
    expect_that!(bound.refusals, gt(0));
}

#[gtest]
fn a_seed_gives_the_same_result_again_and_another_seed_another_one() {
    let site = example();
    let first = arrivals(&site, SEED);
    expect_that!(arrivals(&site, SEED), eq(&first));
    expect_that!(arrivals(&site, SEED + 1), not(eq(&first)));
    let result = run_policy(&site, &first, LabPolicy::Bound(16), SEED);
    expect_that!(run_policy(&site, &first, LabPolicy::Bound(16), SEED), eq(&result));
}

#[gtest]
fn a_report_is_written_as_a_plot() {
    let mut site = example();
    site.length_us = 2_000_000;
    let report = ExperimentReport {
        seed: SEED,
        programs: arrivals(&site, SEED).len(),
        results: vec![play(&site, LabPolicy::Open), play(&site, LabPolicy::Bound(8))],
    };
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("plot.svg");
    draw_plot(&report, &path).expect("a writable folder");
    let text = std::fs::read_to_string(&path).expect("a readable file");
    expect_that!(text, contains_substring("<svg"));
    expect_that!(text, contains_substring("Bound(8)"));
}
