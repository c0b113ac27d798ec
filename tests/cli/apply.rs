//! `azuretide apply`: conflicts, lost responses and concurrent operators.

use std::net::SocketAddr;

use crate::fake_entry::{FakeEntry, FakeFault, ToolFolder, ToolOutput, closed_address};
use googletest::prelude::*;

const OLD: &str = "[cluster]\nfailure-domains = a\nprogram-latency-weight = 600\nwasted-cache-weight = 400\n";

fn text_with(loads: u32) -> String {
    format!("{OLD}loads-in-progress = {loads}\n")
}

#[gtest]
fn applies_a_text_whose_base_is_current() {
    let (entry, folder) = (FakeEntry::start(7, OLD), ToolFolder::new());
    let file = folder.file("new.ini", &text_with(3));
    let output = folder.apply(&[entry.address], 7, &file);
    expect_that!(output.status, eq(0), "{output:?}");
    expect_that!(output.stdout, eq("applied as generation 8\n"));
    expect_that!(entry.state().text, eq(&text_with(3)));
    expect_that!(
        entry.state().requests,
        elements_are![eq("PUT configuration?base=7 by ana")]
    );
}

#[gtest]
fn does_not_send_a_text_with_faults() {
    let (entry, folder) = (FakeEntry::start(7, OLD), ToolFolder::new());
    let file = folder.file("new.ini", &text_with(0));
    let output = folder.apply(&[entry.address], 7, &file);
    expect_that!(output.status, eq(3));
    expect_that!(
        output.stderr,
        contains_substring("line 5 [cluster] loads-in-progress: 6007")
    );
    expect_that!(entry.state().requests, is_empty());
}

#[gtest]
fn reports_the_conflicting_change() {
    let (entry, folder) = (FakeEntry::start(7, OLD), ToolFolder::new());
    let first = folder.file("first.ini", &text_with(3));
    expect_that!(folder.apply(&[entry.address], 7, &first).status, eq(0));
    let second = folder.file("second.ini", &text_with(4));
    let output = folder.apply(&[entry.address], 7, &second);
    expect_that!(output.status, eq(4));
    let expected = expect_test::expect![[r"
        azuretide: conflict: generation 8 is in force, the text was edited from 7
        generation 8 was applied by ana at 2026-12-03T20:33:20.000Z
        --- in force, generation 8
        +++ yours
        @@ -4,2 +4,2 @@
         wasted-cache-weight = 400
        -loads-in-progress = 3
        +loads-in-progress = 4
    "]];
    expected.assert_eq(&output.stderr);
    expect_that!(entry.state().text, eq(&text_with(3)));
}

/// Faults of successive change requests, and the expected exit status and number of changes that took effect.
struct LossCase {
    faults: &'static [FakeFault],
    status: i32,
    changes: u32,
}

const LOSS_CASES: &[LossCase] = &[
    LossCase {
        faults: &[FakeFault::LostRequest],
        status: 0,
        changes: 1,
    },
    LossCase {
        faults: &[FakeFault::LostResponse],
        status: 0,
        changes: 1,
    },
    LossCase {
        faults: &[FakeFault::DelayedEffect],
        status: 0,
        changes: 1,
    },
    LossCase {
        faults: &[FakeFault::LostRequest, FakeFault::DelayedEffect],
        status: 0,
        changes: 1,
    },
    LossCase {
        faults: &[FakeFault::OutcomeUnknown],
        status: 0,
        changes: 1,
    },
    LossCase {
        faults: &[FakeFault::Leaving, FakeFault::LostResponse],
        status: 0,
        changes: 1,
    },
    LossCase {
        faults: &[FakeFault::Leaving, FakeFault::Leaving],
        status: 1,
        changes: 0,
    },
    LossCase {
        faults: &[FakeFault::Overtaken],
        status: 4,
        changes: 2,
    },
    LossCase {
        faults: &[FakeFault::LostRequest; 6],
        status: 5,
        changes: 0,
    },
];

#[gtest]
fn finds_the_outcome_of_a_lost_response_by_fetching_the_configuration() {
    for LossCase {
        faults,
        status,
        changes,
    } in LOSS_CASES
    {
        let (entry, folder) = (FakeEntry::start(7, OLD), ToolFolder::new());
        entry.state().faults.extend(*faults);
        let file = folder.file("new.ini", &text_with(3));
        let output = folder.apply(&[entry.address, entry.start_second().address], 7, &file);
        expect_that!(output.status, eq(*status), "{faults:?} {output:?}");
        expect_that!(entry.state().changes, eq(*changes), "{faults:?}");
        expect_that!(entry.state().text == text_with(3), eq(*status == 0), "{faults:?}");
    }
}

#[gtest]
fn tries_the_next_entry_when_one_is_unreachable() {
    let (entry, folder) = (FakeEntry::start(7, OLD), ToolFolder::new());
    let file = folder.file("new.ini", &text_with(3));
    let output = folder.apply(&[closed_address(), entry.address], 7, &file);
    expect_that!(output.status, eq(0), "{output:?}");
    let output = folder.apply(&[closed_address(), closed_address()], 8, &file);
    expect_that!(output.status, eq(5), "{output:?}");
}

#[gtest]
fn one_of_two_concurrent_operators_gets_a_conflict() {
    const RACES: u64 = 8;
    let (entry, folder) = (FakeEntry::start(1, OLD), ToolFolder::new());
    let second = entry.start_second();
    let files = [3, 4].map(|loads| folder.file(&format!("{loads}.ini"), &text_with(loads)));
    for base in 1..=RACES {
        let run = |place: usize, at: SocketAddr| folder.apply(&[at], base, &files[place]);
        let (left, right) = std::thread::scope(|scope| {
            let left = scope.spawn(|| run(0, entry.address));
            let right = scope.spawn(|| run(1, second.address));
            (
                left.join().expect("the tool ends"),
                right.join().expect("the tool ends"),
            )
        });
        let mut statuses = [left.status, right.status];
        let winner = if left.status == 0 {
            text_with(3)
        } else {
            text_with(4)
        };
        statuses.sort_unstable();
        expect_that!(statuses, eq([0, 4]), "{left:?} {right:?}");
        expect_that!(entry.state().generation, eq(base + 1));
        expect_that!(entry.state().text, eq(&winner));
    }
}

#[gtest]
fn reports_a_conflict_as_json_for_scripts() {
    let (entry, folder) = (FakeEntry::start(7, OLD), ToolFolder::new());
    let file = folder.file("new.ini", &text_with(3));
    let mut command = folder.tool("apply", &[entry.address]);
    let output = ToolOutput::run(command.args(["--json", "--base", "5"]).arg(&file));
    expect_that!(output.status, eq(4));
    let printed: serde_json::Value = serde_json::from_str(&output.stdout).expect("an object");
    expect_that!(printed["conflict"]["base"], eq(5));
    expect_that!(printed["conflict"]["generation"], eq(7));
}
