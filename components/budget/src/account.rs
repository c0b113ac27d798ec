//! The object of a team's budget and its transitions.

use domain::{IncarnationId, MicroUnits, TimeMillis};
use serde::{Deserialize, Serialize};

use crate::reservation::ProvenSpend;

/// Number of windows that the object keeps; late settlements of older ones are dropped.
const MAX_WINDOWS: usize = 4;

/// What one incarnation holds of a window's budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceRecord {
    /// Incarnation; it alone changes `granted` and `spent` until its journal is sealed.
    pub incarnation: IncarnationId,
    /// Sum of the slices taken, less what was returned.
    pub granted: MicroUnits,
    /// Sum of the reservations inherited from sealed incarnations.
    pub inherited: MicroUnits,
    /// Amount spent as of the latest update by the incarnation.
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

    /// Returns the amount that counts against the limit.
    pub fn committed(&self) -> MicroUnits {
        self.granted.saturating_add(self.inherited).max(self.spent)
    }
}

/// Account of one window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowAccount {
    /// Start of the window.
    pub window_start: TimeMillis,
    /// Limit, as the latest writer knew it.
    pub limit: MicroUnits,
    /// Amount spent from slices that are closed.
    pub spent: MicroUnits,
    /// Open slices in ascending order of their incarnations.
    pub slices: Vec<SliceRecord>,
}

impl WindowAccount {
    /// Returns the amount that is spent or may be spent by a holder of a slice.
    pub fn committed(&self) -> MicroUnits {
        let held = self.slices.iter().map(SliceRecord::committed);
        held.fold(self.spent, MicroUnits::saturating_add)
    }

    /// Returns the amount spent as far as the holders have written it back.
    pub fn reported_spent(&self) -> MicroUnits {
        let spent = self.slices.iter().map(|slice| slice.spent);
        spent.fold(self.spent, MicroUnits::saturating_add)
    }

    /// Returns the slice of an incarnation.
    pub fn slice(&self, incarnation: IncarnationId) -> Option<&SliceRecord> {
        let found = self.find(incarnation);
        found.ok().map(|index| &self.slices[index])
    }

    /// Returns the slice of an incarnation and opens an empty one when there is none.
    pub fn slice_mut(&mut self, incarnation: IncarnationId) -> &mut SliceRecord {
        let index = self.find(incarnation).unwrap_or_else(|index| {
            self.slices.insert(index, SliceRecord::empty(incarnation));
            index
        });
        &mut self.slices[index]
    }

    /// Closes the slice of an incarnation at the amount spent; without effect when there is none.
    pub fn close_slice(&mut self, incarnation: IncarnationId, spent: MicroUnits) {
        if let Ok(index) = self.find(incarnation) {
            let slice = self.slices.remove(index);
            self.spent = self.spent.saturating_add(spent.max(slice.spent));
        }
    }

    /// Closes the slice of a sealed incarnation and returns whether there was one.
    ///
    /// With a proof, the proven amount counts as spent, the reservations of open calls pass to the
    /// successors, and the rest is free again. Without one, the whole slice counts as spent.
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

/// The object `budgets/<team>`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetObject {
    /// Accounts in ascending order of their windows; the last one is the present window's.
    pub windows: Vec<WindowAccount>,
}

impl BudgetObject {
    /// Opens the account of the window in which `date` lies, unless a later one is open already, and returns
    /// the present account.
    ///
    /// Windows never turn back: a date before the present window leaves it in force.
    pub fn advance_window(&mut self, date: TimeMillis, window_ms: u64) -> &mut WindowAccount {
        let window_start = TimeMillis(date.0 - date.0 % window_ms.max(1));
        let present = self.windows.last().map(|account| account.window_start);
        if present.is_none_or(|present| present < window_start) {
            self.windows.push(WindowAccount {
                window_start,
                ..WindowAccount::default()
            });
            self.drop_old_windows();
        }
        let last = self.windows.len() - 1;
        &mut self.windows[last]
    }

    /// Returns the account of a window.
    pub fn account(&self, window_start: TimeMillis) -> Option<&WindowAccount> {
        let found = self.find(window_start);
        found.ok().map(|index| &self.windows[index])
    }

    /// Returns the account of a window to change it.
    pub fn account_mut(&mut self, window_start: TimeMillis) -> Option<&mut WindowAccount> {
        let found = self.find(window_start);
        found.ok().map(|index| &mut self.windows[index])
    }

    fn find(&self, window_start: TimeMillis) -> Result<usize, usize> {
        self.windows
            .binary_search_by_key(&window_start, |account| account.window_start)
    }

    fn drop_old_windows(&mut self) {
        let present = self.windows.len() - 1;
        let mut index = 0;
        self.windows.retain(|account| {
            let keep = index == present || !account.slices.is_empty();
            index += 1;
            keep
        });
        let surplus = self.windows.len().saturating_sub(MAX_WINDOWS);
        self.windows.drain(..surplus);
    }
}
