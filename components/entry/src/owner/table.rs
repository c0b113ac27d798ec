//! Table of the programs of one owner.

use std::sync::{Arc, PoisonError, RwLock};

use domain::ProgramKey;

use crate::owner::cell::ProgramCell;

/// Programs of one owner, sorted by key.
#[derive(Debug, Default)]
pub(crate) struct ProgramTable {
    cells: RwLock<Vec<Arc<ProgramCell>>>,
}

impl ProgramTable {
    /// Returns the program with the key; `None` if the owner does not hold it in memory.
    pub(crate) fn find(&self, key: ProgramKey) -> Option<Arc<ProgramCell>> {
        let cells = self.cells.read().unwrap_or_else(PoisonError::into_inner);
        cells
            .binary_search_by_key(&key, |cell| cell.key)
            .ok()
            .map(|index| Arc::clone(&cells[index]))
    }

    /// Adds a program. A program with the same key that is already in the table stays unchanged.
    pub(crate) fn insert(&self, cell: Arc<ProgramCell>) {
        let mut cells = self.cells.write().unwrap_or_else(PoisonError::into_inner);
        if let Err(index) = cells.binary_search_by_key(&cell.key, |existing| existing.key) {
            cells.insert(index, cell);
        }
    }

    /// Removes a program, if it is in the table.
    pub(crate) fn remove(&self, key: ProgramKey) {
        let mut cells = self.cells.write().unwrap_or_else(PoisonError::into_inner);
        if let Ok(index) = cells.binary_search_by_key(&key, |cell| cell.key) {
            cells.remove(index);
        }
    }

    /// Returns all programs in the order of their keys.
    pub(crate) fn all(&self) -> Vec<Arc<ProgramCell>> {
        self.cells.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
