//! Admission control of new programs as the slots of the engines fill up.

use googletest::prelude::*;
use routing::admits_program;

/// A load, and whether a program with the given draw is admitted.
struct LoadCase {
    name: &'static str,
    draw: u32,
    open_turns: u64,
    slots: u64,
    admitted: bool,
}

#[gtest]
fn new_programs_are_rejected_in_the_order_of_their_draws() {
    let cases = [
        LoadCase {
            name: "idle",
            draw: 0,
            open_turns: 0,
            slots: 100,
            admitted: true,
        },
        LoadCase {
            name: "below half",
            draw: 0,
            open_turns: 49,
            slots: 100,
            admitted: true,
        },
        LoadCase {
            name: "half, lowest draw",
            draw: 0,
            open_turns: 50,
            slots: 100,
            admitted: false,
        },
        LoadCase {
            name: "half, highest draw",
            draw: u32::MAX,
            open_turns: 50,
            slots: 100,
            admitted: true,
        },
        LoadCase {
            name: "two thirds, middle draw",
            draw: u32::MAX / 2,
            open_turns: 66,
            slots: 100,
            admitted: false,
        },
        LoadCase {
            name: "four fifths, highest draw",
            draw: u32::MAX,
            open_turns: 80,
            slots: 100,
            admitted: false,
        },
        LoadCase {
            name: "more turns than slots",
            draw: u32::MAX,
            open_turns: 300,
            slots: 100,
            admitted: false,
        },
        LoadCase {
            name: "no engine",
            draw: u32::MAX,
            open_turns: 0,
            slots: 0,
            admitted: true,
        },
    ];
    for case in cases {
        let admitted = admits_program(case.draw, case.open_turns, case.slots);
        expect_that!(admitted, eq(case.admitted), "{}", case.name);
    }
}

#[gtest]
fn a_program_admitted_at_one_load_is_admitted_at_every_lower_one() {
    for step in 0..=64_u32 {
        let draw = (u32::MAX / 64).saturating_mul(step);
        let mut decisions = (0..100).map(|open_turns| admits_program(draw, open_turns, 100));
        let first_refusal = decisions.position(|admitted| !admitted);
        expect_that!(first_refusal, some(all![ge(50), le(80)]), "draw {draw}");
        expect_that!(decisions.any(|admitted| admitted), eq(false), "draw {draw}");
    }
}
