//! Admission control of new programs.
//!
//! Load pattern: a burst brings more programs than the engines can serve in time. Engines share their steps
//! among all requests that they run and queue the rest, so that all programs end late once the load exceeds
//! what their aims allow. New programs are therefore rejected as the turns grow longer; programs that have
//! started always continue. Which programs are rejected first depends only on a number that belongs to the
//! program, so that an admitted program passes at its first attempt and at every entry. With a new random number
//! for each attempt, nearly all programs would be rejected once and therefore end late.
//!
//! An engine with many slots slows all its requests long before the slots are full; one with few slots hardly
//! slows them, and a short queue costs little, because a slot becomes free soon. The load is therefore judged by
//! the predicted duration of a turn and not only by the share of occupied slots.

use crate::pace::STEP_GROWTH_PERMILLE;

/// Percentage of occupied slots below which no program is rejected.
const SHED_START_PERCENT: u64 = 50;
/// Percentage of occupied slots below which some programs are admitted.
const SHED_ALL_PERCENT: u64 = 80;
/// Predicted duration of a turn, in thousandths of its duration on an idle engine, below which no program is
/// rejected.
const SHED_START_PERMILLE: u64 = 1_420;
/// Predicted duration of a turn, in thousandths of its duration on an idle engine, below which some programs are
/// admitted.
const SHED_ALL_PERMILLE: u64 = 1_670;

/// Load of all engines that serve the programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLoad {
    /// Turns that are in progress or wait.
    pub open_turns: u64,
    /// Requests that all engines can run at the same time.
    pub slots: u64,
    /// Number of engines.
    pub engines: u64,
}

/// Requests that one engine can run at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSlots {
    /// Slots of the engine.
    pub capacity: u32,
    /// Slots that the requests occupy that the engine's limit allows; `None` if it has no limit.
    pub limited: Option<u32>,
}

impl EngineLoad {
    /// Returns the load of the engines without a limit, of which those with a limit have taken the turns that they
    /// allow. If every engine has a limit, returns their load.
    pub fn of_engines(open_turns: u64, engines: &[EngineSlots]) -> Self {
        let is_free = |engine: &&EngineSlots| engine.limited.is_none();
        let free = engines.iter().filter(is_free);
        let (slots, count) = free.fold((0, 0), |(slots, count), engine| {
            (slots + u64::from(engine.capacity), count + 1)
        });
        let limited: u64 = engines
            .iter()
            .filter_map(|engine| engine.limited)
            .map(u64::from)
            .sum();
        if count == 0 {
            return Self {
                open_turns,
                slots: limited,
                engines: engines.len() as u64,
            };
        }
        Self {
            open_turns: open_turns.saturating_sub(limited),
            slots,
            engines: count,
        }
    }

    /// Returns the share of the slots that are in use, in thousandths; more than 1,000 if turns wait.
    pub const fn slots_permille(self) -> u64 {
        if self.slots == 0 {
            return 0;
        }
        self.open_turns.saturating_mul(1_000) / self.slots
    }

    /// Returns the predicted duration of a turn in thousandths of its duration on an idle engine. Running
    /// requests make the steps longer; turns beyond the slots wait until others have ended.
    pub fn turn_permille(self) -> u64 {
        if self.slots == 0 || self.engines == 0 {
            return 1_000;
        }
        let running = self.open_turns.min(self.slots);
        let step = 1_000 + STEP_GROWTH_PERMILLE * running / self.engines;
        step * self.open_turns.max(self.slots) / self.slots
    }
}

/// Returns whether a new program may start. `draw` is a number that stays the same for a program and is uniformly
/// distributed over its range. Without any slots, every program is admitted here.
pub fn admits_program(draw: u32, load: EngineLoad) -> bool {
    if load.slots == 0 {
        return true;
    }
    let between = |start: u64, all: u64| start + (all - start) * u64::from(draw) / u64::from(u32::MAX);
    let has_free_slots = load.open_turns * 100 < load.slots * between(SHED_START_PERCENT, SHED_ALL_PERCENT);
    has_free_slots || load.turn_permille() < between(SHED_START_PERMILLE, SHED_ALL_PERMILLE)
}
