//! The stored object of a team's budget and its state transitions.

use domain::{IncarnationId, MicroUnits, TimeMillis};
use serde::{Deserialize, Serialize};

use crate::reservation::ProvenSpend;

/// Number of windows that the object retains. A settlement that belongs to an older window is dropped.
const MAX_WINDOWS: usize = 4;

/// Slice of a window's budget: the part that one incarnation of an entry holds and may spend without another
/// update of the object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceRecord {
    /// Holder. Only the holder changes `granted` and `spent` until its journal is sealed.
    pub incarnation: IncarnationId,
    /// Sum of the amounts taken, less the amounts returned.
    pub granted: MicroUnits,
    /// Sum of the reservations inherited from sealed incarnations.
    pub inherited: MicroUnits,
    /// Amount spent as of the holder's latest update.
    pub spent: MicroUnits,
}

impl SliceRecord {
    const fn empty(incarnation: IncarnationId) -> Self {
        Self {
            incarnation,
            granted: MicroUnits::ZERO,
            inherited: MicroUnits::ZERO,
            spent: MicroUnits::ZERO,
        }
    }

    /// Returns the amount that counts against the limit: the amount held, or the amount spent if that is
    /// larger.
    pub fn committed(&self) -> MicroUnits {
        self.granted.saturating_add(self.inherited).max(self.spent)
    }
}

/// Account of one budget window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowAccount {
    /// Start of the window, a multiple of its length since the epoch.
    pub window_start: TimeMillis,
    /// Limit that was in force at the entry that took a slice last.
    pub limit: MicroUnits,
    /// Amount spent from closed slices.
    pub spent: MicroUnits,
    /// Open slices in ascending order of their incarnations; each incarnation has at most one.
    pub slices: Vec<SliceRecord>,
}

impl WindowAccount {
    /// Returns the amount that is spent or that a holder of a slice may still spend.
    pub fn committed(&self) -> MicroUnits {
        let held = self.slices.iter().map(SliceRecord::committed);
        held.fold(self.spent, MicroUnits::saturating_add)
    }

    /// Returns the amount spent as of the latest write of each holder.
    pub fn reported_spent(&self) -> MicroUnits {
        let spent = self.slices.iter().map(|slice| slice.spent);
        spent.fold(self.spent, MicroUnits::saturating_add)
    }

    /// Returns the open slice of an incarnation, if it has one.
    pub fn slice(&self, incarnation: IncarnationId) -> Option<&SliceRecord> {
        let found = self.find(incarnation);
        found.ok().map(|index| &self.slices[index])
    }

    /// Returns the slice of an incarnation. Opens an empty slice if there is none.
    pub fn slice_mut(&mut self, incarnation: IncarnationId) -> &mut SliceRecord {
        let index = self.find(incarnation).unwrap_or_else(|index| {
            self.slices.insert(index, SliceRecord::empty(incarnation));
            index
        });
        &mut self.slices[index]
    }

    /// Closes the slice of an incarnation and counts `spent` as spent, or the recorded amount if that is
    /// larger. Has no effect if there is no slice.
    pub fn close_slice(&mut self, incarnation: IncarnationId, spent: MicroUnits) {
        if let Ok(index) = self.find(incarnation) {
            let slice = self.slices.remove(index);
            self.spent = self.spent.saturating_add(spent.max(slice.spent));
        }
    }

    /// Closes the slice of a sealed incarnation. Returns whether there was a slice.
    ///
    /// With a proof, the proven amount counts as spent, the reservations of open calls pass to the
    /// successors, and the remainder becomes available again. Without a proof, the entire slice counts as
    /// spent.
    pub fn adopt_slice(&mut self, from: IncarnationId, proof: Option<&ProvenSpend>) -> bool {
        let Some(slice) = self.slice(from).copied() else {
            return false;
        };
        match proof {
            Some(proof) => {
                self.close_slice(from, proof.spent);
                for share in &proof.open {
                    let successor = self.slice_mut(share.successor);
                    successor.inherited = successor.inherited.saturating_add(share.reserved);
                }
            }
            None => self.close_slice(from, slice.committed()),
        }
        true
    }

    fn find(&self, incarnation: IncarnationId) -> Result<usize, usize> {
        self.slices
            .binary_search_by_key(&incarnation, |slice| slice.incarnation)
    }
}

/// Content of the object `budgets/<team>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetObject {
    /// Accounts in ascending order of their windows. The last account belongs to the current window.
    pub windows: Vec<WindowAccount>,
}

impl BudgetObject {
    /// Opens the account of the window that contains `date`, unless a later window is open already. Returns
    /// the account of the current window.
    ///
    /// The current window never moves back: a date before its start has no effect.
    pub fn advance_window(&mut self, date: TimeMillis, window_ms: u64) -> &mut WindowAccount {
        let window_start = TimeMillis(date.0 - date.0 % window_ms.max(1));
        let current = self.windows.last().map(|account| account.window_start);
        if current.is_none_or(|current| current < window_start) {
            self.windows.push(WindowAccount {
                window_start,
                ..WindowAccount::default()
            });
            self.drop_old_windows();
        }
        let last = self.windows.len() - 1;
        &mut self.windows[last]
    }

    /// Returns the account of the window with this start.
    pub fn account(&self, window_start: TimeMillis) -> Option<&WindowAccount> {
        let found = self.find(window_start);
        found.ok().map(|index| &self.windows[index])
    }

    /// Returns the account of the window with this start for a change.
    pub fn account_mut(&mut self, window_start: TimeMillis) -> Option<&mut WindowAccount> {
        let found = self.find(window_start);
        found.ok().map(|index| &mut self.windows[index])
    }

    fn find(&self, window_start: TimeMillis) -> Result<usize, usize> {
        self.windows
            .binary_search_by_key(&window_start, |account| account.window_start)
    }

    fn drop_old_windows(&mut self) {
        let current = self.windows.len() - 1;
        let mut index = 0;
        self.windows.retain(|account| {
            let keep = index == current || !account.slices.is_empty();
            index += 1;
            keep
        });
        let surplus = self.windows.len().saturating_sub(MAX_WINDOWS);
        self.windows.drain(..surplus);
    }
}
