//! What one entry holds and has spent of a team's budget, in memory.

use domain::{IncarnationId, MicroUnits, TimeMillis};
use errors::CallError;
use tokio::time::Instant;

use crate::account::{BudgetObject, SliceRecord};
use crate::reservation::BudgetReservation;

/// Periods between flushes for which an owner in use keeps its slice.
const KEPT_PERIODS: u64 = 64;

/// One window as this entry sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct WindowLedger {
    pub(crate) window_start: TimeMillis,
    /// Slices taken, less what was returned; never more than the object says.
    pub(crate) granted: MicroUnits,
    /// Reservations inherited from sealed incarnations.
    pub(crate) inherited: MicroUnits,
    /// Reservations of calls under way.
    pub(crate) reserved: MicroUnits,
    /// Exact prices of settled calls.
    pub(crate) spent: MicroUnits,
    /// Amount spent as the object knows it.
    pub(crate) written: MicroUnits,
    /// Amount reserved since the latest flush.
    pub(crate) used: MicroUnits,
    /// Whether a flush closed the slice.
    closed: bool,
}

impl WindowLedger {
    pub(crate) fn available(&self) -> MicroUnits {
        let held = self.granted.saturating_add(self.inherited);
        held.saturating_sub(self.reserved).saturating_sub(self.spent)
    }

    /// Returns the part of what is available that lies idle at the rate of use since the latest flush.
    pub(crate) fn idle(&self) -> MicroUnits {
        let kept = MicroUnits(self.used.0.saturating_mul(KEPT_PERIODS));
        self.available().saturating_sub(kept).min(self.granted)
    }

    /// Returns whether the object should learn of the present state: in a quiet period of any difference, else
    /// only once half of the slice and several periods' use are spent or idle, so that a busy owner does not write
    /// at each flush.
    fn has_news(&self) -> bool {
        let unwritten = self.spent.saturating_sub(self.written);
        let news = unwritten.max(self.idle());
        if self.used == MicroUnits::ZERO {
            return news > MicroUnits::ZERO;
        }
        let half = self.granted.saturating_sub(self.written).0 / 2;
        let recent = self.used.0.saturating_mul(KEPT_PERIODS / 4);
        news > MicroUnits(half.max(recent))
    }

    /// Gives back what is idle, or everything that no call under way has reserved.
    pub(crate) fn give_back(&mut self, everything: bool) {
        let unused = self.available().min(self.granted);
        let amount = if everything { unused } else { self.idle() };
        self.granted = self.granted.saturating_sub(amount);
    }

    /// Leaves nothing to reserve from, before the slice is closed at what was spent.
    pub(crate) fn close(&mut self) {
        self.granted = self.spent;
        self.inherited = MicroUnits::ZERO;
        self.closed = true;
    }

    pub(crate) fn fill(&self, slice: &mut SliceRecord) {
        slice.granted = self.granted;
        slice.spent = self.spent;
    }
}

/// A refusal that holds for a while, so that refused calls cost no call of the object API each.
#[derive(Debug, Clone)]
pub(crate) struct StandingRefusal {
    pub(crate) until: Instant,
    /// Smallest amount that is refused.
    pub(crate) from: MicroUnits,
    pub(crate) error: CallError,
}

/// Everything that this entry knows of one team's budget.
#[derive(Debug, Default)]
pub(crate) struct TeamLedger {
    pub(crate) limit: MicroUnits,
    pub(crate) window_ms: u64,
    pub(crate) owners: u32,
    /// Windows in ascending order; the last one is the present one.
    pub(crate) windows: Vec<WindowLedger>,
    /// Limit under which the held slices were taken.
    pub(crate) slice_limit: MicroUnits,
    pub(crate) refusal: Option<StandingRefusal>,
    pub(crate) excess: MicroUnits,
    /// Slices whose open reservations were taken over, sorted.
    adopted: Vec<(IncarnationId, TimeMillis)>,
}

impl TeamLedger {
    pub(crate) fn present(&mut self) -> Option<&mut WindowLedger> {
        self.windows.last_mut()
    }

    /// Returns whether the limit was lowered since, so that the slice must be renewed before it is used.
    pub(crate) fn is_frozen(&self) -> bool {
        self.limit < self.slice_limit
    }

    /// Reserves from the held slice if it suffices and returns the start of the window.
    pub(crate) fn try_reserve(&mut self, worst: MicroUnits) -> Option<TimeMillis> {
        if self.is_frozen() {
            return None;
        }
        let window = self.windows.last_mut()?;
        if window.available() < worst {
            return None;
        }
        window.reserved = window.reserved.saturating_add(worst);
        window.used = window.used.saturating_add(worst);
        Some(window.window_start)
    }

    /// Returns the refusal that still stands for an amount.
    pub(crate) fn standing_refusal(&self, worst: MicroUnits, now: Instant) -> Option<CallError> {
        let refusal = self.refusal.as_ref()?;
        (refusal.until > now && refusal.from <= worst).then(|| refusal.error.clone())
    }

    /// Settles a reservation and charges what exceeds it as well.
    pub(crate) fn settle(&mut self, reservation: &BudgetReservation, charged: MicroUnits) {
        let excess = charged.saturating_sub(reservation.amount());
        self.excess = self.excess.saturating_add(excess);
        if let Some(window) = self.window_mut(reservation.window_start()) {
            window.reserved = window.reserved.saturating_sub(reservation.amount());
            window.spent = window.spent.saturating_add(charged);
        }
    }

    /// Takes the open reservations of a sealed incarnation over, once.
    pub(crate) fn inherit(&mut self, from: IncarnationId, window_start: TimeMillis, reserved: MicroUnits) {
        let Err(place) = self.adopted.binary_search(&(from, window_start)) else {
            return;
        };
        self.adopted.insert(place, (from, window_start));
        let window = self.open_window(window_start);
        window.inherited = window.inherited.saturating_add(reserved);
        window.reserved = window.reserved.saturating_add(reserved);
    }

    /// Takes the slices over from an object that no outstanding write can change any more.
    ///
    /// A slice that is missing there was closed, by this entry or by the successors of its sealed journal.
    pub(crate) fn synchronise(&mut self, object: &BudgetObject, incarnation: IncarnationId) {
        for window in &mut self.windows {
            let account = object.account(window.window_start);
            let slice = account.and_then(|account| account.slice(incarnation));
            window.granted = slice.map_or(MicroUnits::ZERO, |slice| slice.granted);
            if let Some(slice) = slice {
                window.written = slice.spent;
                window.closed = false;
            }
        }
    }

    /// Forgets the windows that a flush has closed or the object has dropped, and begins to count use anew.
    pub(crate) fn finish_flush(&mut self, object: &BudgetObject) {
        self.windows.retain(|window| {
            let is_over = window.closed || object.account(window.window_start).is_none();
            !is_over || window.reserved > MicroUnits::ZERO
        });
        self.begin_period();
    }

    pub(crate) fn open_window(&mut self, window_start: TimeMillis) -> &mut WindowLedger {
        let found = self.find(window_start);
        let index = found.unwrap_or_else(|index| {
            let opened = WindowLedger {
                window_start,
                ..WindowLedger::default()
            };
            self.windows.insert(index, opened);
            index
        });
        &mut self.windows[index]
    }

    /// Returns the sum of what is spent and reserved in a window.
    pub(crate) fn used(&self, window_start: TimeMillis) -> MicroUnits {
        let window = self.find(window_start).ok().map(|index| &self.windows[index]);
        window.map_or(MicroUnits::ZERO, |window| {
            window.spent.saturating_add(window.reserved)
        })
    }

    pub(crate) fn window_mut(&mut self, window_start: TimeMillis) -> Option<&mut WindowLedger> {
        self.find(window_start).ok().map(|index| &mut self.windows[index])
    }

    /// Returns whether a flush has anything worth a write.
    pub(crate) fn needs_flush(&self) -> bool {
        let present = self.windows.last().map(|window| window.window_start);
        let is_over = |window: &WindowLedger| Some(window.window_start) != present;
        let mut windows = self.windows.iter();
        self.is_frozen() || windows.any(|window| is_over(window) || window.has_news())
    }

    /// Begins to count anew what is in use.
    pub(crate) fn begin_period(&mut self) {
        for window in &mut self.windows {
            window.used = MicroUnits::ZERO;
        }
    }

    fn find(&self, window_start: TimeMillis) -> Result<usize, usize> {
        self.windows
            .binary_search_by_key(&window_start, |window| window.window_start)
    }
}
