//! Admission control of new programs.
//!
//! Load pattern: a burst brings more programs than the engines can serve in time. Engines share their steps
//! among all requests that they run, so that all programs end late once every slot is taken. New programs are
//! therefore rejected as the slots fill up; programs that have started always continue. Which programs are
//! rejected first depends only on a number that belongs to the program, so that an admitted program passes at
//! its first attempt and at every entry. With a new random number for each attempt, nearly all programs would
//! be rejected once and therefore end late.

/// Percentage of occupied slots from which the first new programs are rejected. While less than half of the
/// slots are occupied, a turn takes little longer than on an idle engine.
const SHED_START_PERCENT: u64 = 50;
/// Percentage of occupied slots from which every new program is rejected. The remaining slots are reserved
/// for the next turns of programs that have started.
const SHED_ALL_PERCENT: u64 = 80;

/// Returns whether a new program may start while `open_turns` turns are open on engines with `slots` slots in
/// all. `draw` is a number that stays the same for a program and is uniformly distributed over its range.
/// Without any slots, every program is admitted here.
pub fn admits_program(draw: u32, open_turns: u64, slots: u64) -> bool {
    if slots == 0 {
        return true;
    }
    let spread = (SHED_ALL_PERCENT - SHED_START_PERCENT) * u64::from(draw) / u64::from(u32::MAX);
    open_turns * 100 < slots * (SHED_START_PERCENT + spread)
}
