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

use std::ops::RangeInclusive;

use crate::pace::STEP_GROWTH_PERMILLE;

/// Percentage of occupied slots from which some programs are refused, and from which all are, when an overload begins.
const BURST_SLOTS_PERCENT: [u64; 2] = [50, 80];
/// Range in thousandths in which the predicted duration of a turn lies from which some programs are refused then, in
/// relation to the duration on an idle engine: on engines with few slots a short queue costs little, and on those with
/// many, turns end late long before the slots are taken.
const BURST_START_PERMILLE: RangeInclusive<u64> = 1_420..=1_880;
/// The same for the duration from which all programs are refused.
const BURST_ALL_PERMILLE: RangeInclusive<u64> = 1_670..=2_410;
/// Duration from which some programs are refused while an overload lasts, in thousandths.
const LASTING_START_PERMILLE: u64 = 1_356;
/// Duration from which all programs are refused while an overload lasts, in thousandths.
const LASTING_ALL_PERMILLE: u64 = 1_744;
/// Highest pressure.
const MAX_PRESSURE: u64 = 1_000_000;
/// Weight of refused programs in the pressure, against that of admitted ones: the pressure rises while more than one of
/// nine programs is refused.
const REFUSAL_WEIGHT: u64 = 8;
/// Range of the time in milliseconds within which programs are to end.
const HORIZON_MS: RangeInclusive<u64> = 500..=20_000;
/// The same until the first program has stated its deadline.
const START_HORIZON_MS: u64 = 3_000;
/// Divisor of the weight of a new program in the mean horizon.
const HORIZON_SHARE: u64 = 16;

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

/// Predicted durations of a turn that decide on new programs, in thousandths of the duration on an idle engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionBounds {
    /// Duration from which some programs are refused.
    pub lowest: u64,
    /// Duration from which all programs are refused.
    pub highest: u64,
}

/// Decides on new programs.
///
/// A short or slight burst is admitted, since the time that programs have to spare absorbs it. In a strong one that lasts,
/// turns that wait behind all others end late: while many programs are refused, a pressure rises within the time in which
/// programs are to end, and the bound falls with it.
#[derive(Debug, Clone)]
pub struct AdmissionControl {
    /// From 0 in a calm time to [`MAX_PRESSURE`] in an overload that lasts.
    pressure: u64,
    /// Mean time until the deadline of a new program, in milliseconds.
    horizon_ms: u64,
    observed_at_ms: u64,
}

impl Default for AdmissionControl {
    fn default() -> Self {
        Self {
            pressure: 0,
            horizon_ms: START_HORIZON_MS,
            observed_at_ms: 0,
        }
    }
}

impl AdmissionControl {
    /// Decides whether a new program may start. `draw` is a number that stays the same for a program and is uniformly
    /// distributed over its range; `left_ms` is the time until the program's deadline, if that is known. Without any
    /// slots, every program is admitted here.
    ///
    /// # Errors
    ///
    /// Fails with the bounds of the decision if the program is refused.
    pub fn admit(
        &mut self,
        draw: u32,
        left_ms: Option<u64>,
        load: EngineLoad,
    ) -> Result<(), AdmissionBounds> {
        // A program that is late already says nothing about the time that programs have.
        if let Some(left_ms) = left_ms.filter(|left_ms| *left_ms > 0) {
            let horizon_ms = (self.horizon_ms * (HORIZON_SHARE - 1) + left_ms) / HORIZON_SHARE;
            self.horizon_ms = horizon_ms.clamp(*HORIZON_MS.start(), *HORIZON_MS.end());
        }
        if load.slots == 0 {
            return Ok(());
        }
        let bounds = self.bounds(load);
        let AdmissionBounds { lowest, highest } = bounds;
        let bound = lowest + (highest - lowest) * u64::from(draw) / u64::from(u32::MAX);
        let turn_permille = load.turn_permille();
        // A program that is late already would make others late.
        let is_too_late = left_ms == Some(0) && turn_permille >= lowest;
        if turn_permille < bound && !is_too_late {
            return Ok(());
        }
        Err(bounds)
    }

    /// Records the load at the beginning of a turn of any program. The pressure follows the share of all new programs that
    /// the load refuses: decisions on single programs would tell an entry less, since one of many entries makes few.
    pub fn observe(&mut self, load: EngineLoad, now_ms: u64) {
        let AdmissionBounds { lowest, highest } = self.bounds(load);
        let excess = load.turn_permille().clamp(lowest, highest) - lowest;
        let refused_permille = excess * 1_000 / (highest - lowest);
        let elapsed_ms = now_ms.saturating_sub(self.observed_at_ms).min(self.horizon_ms);
        self.observed_at_ms = now_ms;
        let change = elapsed_ms * MAX_PRESSURE / self.horizon_ms;
        let rise = change * refused_permille * REFUSAL_WEIGHT / 1_000;
        let fall = change * (1_000 - refused_permille) / 1_000;
        self.pressure = (self.pressure + rise).saturating_sub(fall).min(MAX_PRESSURE);
    }

    /// Returns the bounds on such engines. A burst may fill a share of the slots; the pressure takes that back.
    fn bounds(&self, engines: EngineLoad) -> AdmissionBounds {
        let [start_percent, all_percent] = BURST_SLOTS_PERCENT;
        let bound = |slots_percent: u64, burst: RangeInclusive<u64>, lasting: u64| {
            let filled = EngineLoad {
                open_turns: engines.slots * slots_percent / 100,
                ..engines
            };
            let burst = filled.turn_permille().clamp(*burst.start(), *burst.end());
            burst - burst.saturating_sub(lasting) * self.pressure / MAX_PRESSURE
        };
        AdmissionBounds {
            lowest: bound(start_percent, BURST_START_PERMILLE, LASTING_START_PERMILLE),
            highest: bound(all_percent, BURST_ALL_PERMILLE, LASTING_ALL_PERMILLE),
        }
    }
}
