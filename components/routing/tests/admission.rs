//! Admission control of new programs as the turns on the engines grow longer.

use googletest::prelude::*;
use routing::{AdmissionControl, EngineLoad};

/// A load, and whether a program with the given draw is admitted by an entry that has observed nothing yet.
struct LoadCase {
    name: &'static str,
    draw: u32,
    open_turns: u64,
    slots: u64,
    engines: u64,
    admitted: bool,
}

const LOWEST: u32 = 0;
const MIDDLE: u32 = u32::MAX / 2;
const HIGHEST: u32 = u32::MAX;

fn load_of(open_turns: u64, slots: u64, engines: u64) -> EngineLoad {
    EngineLoad {
        open_turns,
        slots,
        engines,
    }
}

/// Decides on one program without any observation.
fn admits(draw: u32, load: EngineLoad) -> bool {
    AdmissionControl::default().admit(draw, None, load).is_ok()
}

#[gtest]
fn new_programs_are_rejected_in_the_order_of_their_draws() {
    let case = |name, draw, open_turns, (slots, engines), admitted| LoadCase {
        name,
        draw,
        open_turns,
        slots,
        engines,
        admitted,
    };
    // Two engines that are slowed by many requests, and 62 that are full with six.
    let (many_slots, few_slots) = ((100, 2), (372, 62));
    let cases = [
        case("idle", LOWEST, 0, many_slots, true),
        case("below half", LOWEST, 49, many_slots, true),
        case("half, lowest draw", LOWEST, 50, many_slots, false),
        case("half, highest draw", HIGHEST, 50, many_slots, true),
        case("two thirds, middle draw", MIDDLE, 66, many_slots, false),
        case("four fifths, highest draw", HIGHEST, 80, many_slots, false),
        case("more turns than slots", HIGHEST, 300, many_slots, false),
        case("no engine", HIGHEST, 0, (0, 0), true),
        case("few slots, half of them used", LOWEST, 186, few_slots, true),
        case("few slots, all used", LOWEST, 372, few_slots, true),
        case("few slots, a queue of a tenth", LOWEST, 420, few_slots, true),
        case(
            "few slots, a queue of a quarter, lowest draw",
            LOWEST,
            480,
            few_slots,
            false,
        ),
        case(
            "few slots, a queue of a quarter, highest draw",
            HIGHEST,
            480,
            few_slots,
            true,
        ),
        case("few slots, a queue of half", HIGHEST, 540, few_slots, false),
    ];
    for case in cases {
        let load = load_of(case.open_turns, case.slots, case.engines);
        expect_that!(admits(case.draw, load), eq(case.admitted), "{}", case.name);
    }
}

/// Number of engines that share a hundred slots, and the open turns at which the lowest and the highest draw are
/// first refused.
struct BoundsCase {
    engines: u64,
    lowest: usize,
    highest: usize,
}

#[gtest]
fn a_program_admitted_at_one_load_is_admitted_at_every_lower_one() {
    let case = |engines, lowest, highest| BoundsCase {
        engines,
        lowest,
        highest,
    };
    for case in [
        case(2, 50, 80),
        case(4, 50, 80),
        case(16, 117, 138),
        case(50, 133, 157),
    ] {
        let engines = case.engines;
        let decisions =
            |draw: u32| (0..300).map(move |open_turns| admits(draw, load_of(open_turns, 100, engines)));
        for step in 0..=64_u32 {
            let draw = (u32::MAX / 64).saturating_mul(step);
            let mut decisions = decisions(draw);
            let first_refusal = decisions.position(|admitted| !admitted);
            let bounds = all![ge(case.lowest), le(case.highest)];
            expect_that!(first_refusal, some(bounds), "draw {draw}, {engines} engines");
            expect_that!(
                decisions.any(|admitted| admitted),
                eq(false),
                "draw {draw}, {engines} engines"
            );
        }
        for (draw, bound) in [(LOWEST, case.lowest), (HIGHEST, case.highest)] {
            let first_refusal = decisions(draw).position(|admitted| !admitted);
            expect_that!(first_refusal, some(eq(bound)), "draw {draw}, {engines} engines");
        }
    }
}

/// Load pattern: a burst on a fleet of engines with few slots (62 of six). At 110 % of the slots a turn takes a
/// third longer than on an idle engine, which is within the aim of most programs; a bound by occupied slots alone
/// refused all new programs there.
#[gtest]
fn a_short_queue_on_engines_with_few_slots_rejects_nobody() {
    let load = load_of(410, 372, 62);
    expect_that!(load.turn_permille(), all![ge(1_300), le(1_400)]);
    for draw in [LOWEST, MIDDLE, HIGHEST] {
        expect_that!(admits(draw, load), eq(true), "draw {draw}");
    }
}

/// The decision depends on ratios: it is the same for a fleet of any size at the same load of each engine.
#[gtest]
fn the_decision_is_the_same_for_fleets_of_every_size() {
    for turns_per_engine in [1, 8, 12, 16, 20, 64, 100] {
        for draw in [LOWEST, MIDDLE, HIGHEST] {
            let decide =
                |engines: u64| admits(draw, load_of(turns_per_engine * engines, 64 * engines, engines));
            let expected = decide(10);
            for engines in [1, 100] {
                expect_that!(
                    decide(engines),
                    eq(expected),
                    "{turns_per_engine} turns, {engines} engines"
                );
            }
        }
    }
}

/// Decides on a program of every draw each 100 ms, while `load` lasts, and returns the share of the admitted ones in
/// thousandths at the end.
fn admitted_after(
    control: &mut AdmissionControl,
    load: EngineLoad,
    begin_ms: u64,
    duration_ms: u64,
) -> usize {
    let mut admitted = 0;
    for now_ms in (begin_ms..=begin_ms + duration_ms).step_by(100) {
        admitted = 0;
        control.observe(load, now_ms);
        for draw in 0..1_000_u32 {
            let draw = draw * (u32::MAX / 1_000);
            admitted += usize::from(control.admit(draw, Some(2_000), load).is_ok());
        }
    }
    admitted
}

/// Load pattern: a burst that ends before programs become late, and one that goes on. Turns take more than twice their
/// time on engines with many slots.
#[gtest]
fn the_longer_an_overload_lasts_the_fewer_programs_are_admitted() {
    let engines = |turns_per_engine: u64| load_of(turns_per_engine * 9, 64 * 9, 9);
    let mut control = AdmissionControl::default();
    let burst = engines(30);
    let at_first = admitted_after(&mut control, burst, 0, 0);
    expect_that!(at_first, all![gt(600), lt(850)]);
    expect_that!(admitted_after(&mut control, burst, 100, 10_000), eq(0));
    // What the lasting bound allows is still admitted, and it is enough to end the overload.
    expect_that!(admitted_after(&mut control, engines(9), 10_200, 0), eq(1_000));
    // After a calm time as long as programs take, a burst is met as the first one was.
    expect_that!(admitted_after(&mut control, engines(2), 10_300, 2_500), eq(1_000));
    expect_that!(admitted_after(&mut control, burst, 12_800, 0), eq(at_first));
}

/// Load pattern: a burst that refuses hardly anybody. It does not tighten the bound, however long it lasts.
#[gtest]
fn a_slight_overload_does_not_tighten_the_bound() {
    let slight = load_of(26 * 9, 64 * 9, 9);
    let mut control = AdmissionControl::default();
    let before = admitted_after(&mut control, slight, 0, 0);
    expect_that!(before, gt(900));
    expect_that!(admitted_after(&mut control, slight, 100, 20_000), eq(before));
}
