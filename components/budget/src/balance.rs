//! In-memory balance of one team's budget at one entry: amounts held, reserved and spent in each window.

use domain::{IncarnationId, MicroUnits, TimeMillis};
use errors::CallError;
use tokio::time::Instant;

use crate::account::{BudgetObject, SliceRecord};
use crate::reservation::BudgetReservation;

/// Number of flush periods for which an owner retains budget at its latest rate of use. Only the amount
/// beyond that counts as idle and is returned.
const RETAINED_PERIODS: u64 = 64;

/// Balance of one budget window at this entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct WindowBalance {
    pub(crate) window_start: TimeMillis,
    /// Amounts taken, less the amounts returned. Never exceeds the amount granted in the stored object.
    pub(crate) granted: MicroUnits,
    /// Sum of the reservations inherited from sealed incarnations.
    pub(crate) inherited: MicroUnits,
    /// Sum of the reservations of running calls.
    pub(crate) reserved: MicroUnits,
    /// Sum of the exact prices of settled calls.
    pub(crate) spent: MicroUnits,
    /// Amount spent that the stored object already contains.
    pub(crate) written: MicroUnits,
    /// Amount reserved since the latest flush.
    pub(crate) reserved_since_flush: MicroUnits,
    /// Whether a flush has closed the slice.
    is_closed: bool,
}

impl WindowBalance {
    pub(crate) fn available(&self) -> MicroUnits {
        let held = self.granted.saturating_add(self.inherited);
        held.saturating_sub(self.reserved).saturating_sub(self.spent)
    }

    /// Returns the available amount beyond the need of [`RETAINED_PERIODS`] periods at the rate of use since
    /// the latest flush, and at most the granted amount.
    pub(crate) fn idle(&self) -> MicroUnits {
        let retained = MicroUnits(self.reserved_since_flush.0.saturating_mul(RETAINED_PERIODS));
        self.available().saturating_sub(retained).min(self.granted)
    }

    /// Returns whether the spent or idle amount justifies a write of the object.
    ///
    /// After a period without reservations, any difference does. Otherwise the difference must exceed both
    /// half of the slice and the use of several periods, so that a busy owner does not write at each flush.
    fn needs_write(&self) -> bool {
        let unwritten = self.spent.saturating_sub(self.written);
        let difference = unwritten.max(self.idle());
        if self.reserved_since_flush == MicroUnits::ZERO {
            return difference > MicroUnits::ZERO;
        }
        let half = self.granted.saturating_sub(self.written).0 / 2;
        let recent = self.reserved_since_flush.0.saturating_mul(RETAINED_PERIODS / 4);
        difference > MicroUnits(half.max(recent))
    }

    /// Returns the idle amount to the budget, or everything that no running call has reserved.
    pub(crate) fn return_unused(&mut self, everything: bool) {
        let unused = self.available().min(self.granted);
        let amount = if everything { unused } else { self.idle() };
        self.granted = self.granted.saturating_sub(amount);
    }

    /// Reduces the balance to the spent amount, so that no call can reserve from a slice that is being
    /// closed.
    pub(crate) fn close(&mut self) {
        self.granted = self.spent;
        self.inherited = MicroUnits::ZERO;
        self.is_closed = true;
    }

    pub(crate) fn copy_to(&self, slice: &mut SliceRecord) {
        slice.granted = self.granted;
        slice.spent = self.spent;
    }
}

/// Refusal that is repeated until it expires, so that not every refused call causes a call to the object API.
#[derive(Debug, Clone)]
pub(crate) struct CachedRefusal {
    pub(crate) expires_at: Instant,
    /// Smallest amount to which the refusal applies.
    pub(crate) min_amount: MicroUnits,
    pub(crate) error: CallError,
}

/// Balance of one team's budget at this entry, with the limit in force.
#[derive(Debug, Default)]
pub(crate) struct TeamBalance {
    pub(crate) limit: MicroUnits,
    pub(crate) window_ms: u64,
    pub(crate) owners: u32,
    /// Windows in ascending order. The last one is the current window.
    pub(crate) windows: Vec<WindowBalance>,
    /// Limit under which the held slices were taken.
    pub(crate) slice_limit: MicroUnits,
    pub(crate) refusal: Option<CachedRefusal>,
    pub(crate) excess: MicroUnits,
    /// Incarnations and windows whose open reservations were inherited, sorted.
    adopted: Vec<(IncarnationId, TimeMillis)>,
}

impl TeamBalance {
    pub(crate) fn current_window(&mut self) -> Option<&mut WindowBalance> {
        self.windows.last_mut()
    }

    /// Returns whether the limit was lowered after the slice was taken. The slice must then be renewed before
    /// the next reservation.
    pub(crate) fn is_frozen(&self) -> bool {
        self.limit < self.slice_limit
    }

    /// Reserves from the held slice and returns the start of the window, or `None` if the slice is too small.
    pub(crate) fn try_reserve(&mut self, worst_case: MicroUnits) -> Option<TimeMillis> {
        if self.is_frozen() {
            return None;
        }
        let window = self.windows.last_mut()?;
        if window.available() < worst_case {
            return None;
        }
        window.reserved = window.reserved.saturating_add(worst_case);
        window.reserved_since_flush = window.reserved_since_flush.saturating_add(worst_case);
        Some(window.window_start)
    }

    /// Returns the refusal that applies to an amount and has not expired.
    pub(crate) fn cached_refusal(&self, worst_case: MicroUnits, now: Instant) -> Option<CallError> {
        let refusal = self.refusal.as_ref()?;
        (refusal.expires_at > now && refusal.min_amount <= worst_case).then(|| refusal.error.clone())
    }

    /// Settles a reservation. A charge above the reserved amount is counted as spent in full.
    pub(crate) fn settle(&mut self, reservation: &BudgetReservation, charged: MicroUnits) {
        let excess = charged.saturating_sub(reservation.amount());
        self.excess = self.excess.saturating_add(excess);
        if let Some(window) = self.window_mut(reservation.window_start()) {
            window.reserved = window.reserved.saturating_sub(reservation.amount());
            window.spent = window.spent.saturating_add(charged);
        }
    }

    /// Adds the open reservations of a sealed incarnation. A repeated call for the same window has no effect.
    pub(crate) fn inherit(&mut self, from: IncarnationId, window_start: TimeMillis, reserved: MicroUnits) {
        let Err(index) = self.adopted.binary_search(&(from, window_start)) else {
            return;
        };
        self.adopted.insert(index, (from, window_start));
        let window = self.open_window(window_start);
        window.inherited = window.inherited.saturating_add(reserved);
        window.reserved = window.reserved.saturating_add(reserved);
    }

    /// Copies the slices from an object that no outstanding write can change any more.
    ///
    /// A slice that is missing there was closed by this entry or by the successors that adopted it.
    pub(crate) fn reconcile(&mut self, object: &BudgetObject, incarnation: IncarnationId) {
        for window in &mut self.windows {
            let account = object.account(window.window_start);
            let slice = account.and_then(|account| account.slice(incarnation));
            window.granted = slice.map_or(MicroUnits::ZERO, |slice| slice.granted);
            if let Some(slice) = slice {
                window.written = slice.spent;
                window.is_closed = false;
            }
        }
    }

    /// Removes the windows that a flush has closed or the object has dropped, and starts a new period of use.
    pub(crate) fn finish_flush(&mut self, object: &BudgetObject) {
        self.windows.retain(|window| {
            let is_over = window.is_closed || object.account(window.window_start).is_none();
            !is_over || window.reserved > MicroUnits::ZERO
        });
        self.begin_period();
    }

    pub(crate) fn open_window(&mut self, window_start: TimeMillis) -> &mut WindowBalance {
        let found = self.find(window_start);
        let index = found.unwrap_or_else(|index| {
            let opened = WindowBalance {
                window_start,
                ..WindowBalance::default()
            };
            self.windows.insert(index, opened);
            index
        });
        &mut self.windows[index]
    }

    /// Returns the sum of the spent and the reserved amount in a window; zero for an unknown window.
    pub(crate) fn used(&self, window_start: TimeMillis) -> MicroUnits {
        let window = self.find(window_start).ok().map(|index| &self.windows[index]);
        window.map_or(MicroUnits::ZERO, |window| {
            window.spent.saturating_add(window.reserved)
        })
    }

    pub(crate) fn window_mut(&mut self, window_start: TimeMillis) -> Option<&mut WindowBalance> {
        self.find(window_start).ok().map(|index| &mut self.windows[index])
    }

    /// Returns whether a periodic flush should write the object.
    pub(crate) fn needs_flush(&self) -> bool {
        let current = self.windows.last().map(|window| window.window_start);
        let is_over = |window: &WindowBalance| Some(window.window_start) != current;
        let mut windows = self.windows.iter();
        self.is_frozen() || windows.any(|window| is_over(window) || window.needs_write())
    }

    /// Resets the amounts reserved since the latest flush.
    pub(crate) fn begin_period(&mut self) {
        for window in &mut self.windows {
            window.reserved_since_flush = MicroUnits::ZERO;
        }
    }

    fn find(&self, window_start: TimeMillis) -> Result<usize, usize> {
        self.windows
            .binary_search_by_key(&window_start, |window| window.window_start)
    }
}
