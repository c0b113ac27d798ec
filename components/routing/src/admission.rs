//! Admission of new programs.
//!
//! Load pattern: a burst brings more programs than the engines can serve in time. Engines share their steps among all
//! requests that they run, so that with every slot taken all programs end late. New programs are therefore turned away
//! as the slots fill up; programs under way always go on. Which ones are turned away first depends on the program
//! alone: those that pass do so at their first try, at every entry. Were it drawn anew at each try, nearly all would
//! be turned away once, and end late.

/// Part of the slots, in percent, from which the first new programs are turned away. Below half of the slots a turn
/// takes little longer than alone.
const FIRST_PERCENT: u64 = 50;
/// Part of the slots, in percent, from which every new program is turned away; the rest is for the next turns of those
/// under way.
const LAST_PERCENT: u64 = 80;

/// Returns whether a new program may begin while so many turns are under way on engines with so many slots. `draw` is
/// a number that a program keeps, uniform over its range. Where no engine is known nothing is turned away here.
pub fn admits_program(draw: u32, open_turns: u64, slots: u64) -> bool {
    if slots == 0 {
        return true;
    }
    let spread = (LAST_PERCENT - FIRST_PERCENT) * u64::from(draw) / u64::from(u32::MAX);
    open_turns * 100 < slots * (FIRST_PERCENT + spread)
}
