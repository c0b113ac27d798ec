//! State that results from the records of a journal: programs, adoptions and budget slices.

use domain::{IncarnationId, ProgramKey, ProgramState};
use serde::{Deserialize, Serialize};

use crate::record::{BudgetSlice, JournalRecord, apply_to_program};

/// State that results from applying the records of a journal in order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JournalState {
    /// Sorted by key.
    programs: Vec<ProgramState>,
    /// Sorted.
    adopted: Vec<IncarnationId>,
    /// Sorted by team.
    slices: Vec<BudgetSlice>,
}

impl JournalState {
    /// Creates a state from its parts, which may be in any order.
    pub fn new(
        mut programs: Vec<ProgramState>,
        mut adopted: Vec<IncarnationId>,
        mut slices: Vec<BudgetSlice>,
    ) -> Self {
        programs.sort_unstable_by_key(|program| program.key);
        adopted.sort_unstable();
        slices.sort_unstable_by(|left, right| left.team.cmp(&right.team));
        Self {
            programs,
            adopted,
            slices,
        }
    }

    /// Applies a record. Replaying the complete journal onto a state that it produced has no effect.
    pub fn apply(&mut self, record: &JournalRecord) {
        match record {
            JournalRecord::Adopted { from } => self.insert_adopted(*from),
            _ => match record.slice() {
                Some(slice) => self.insert_slice(slice),
                None => self.apply_to_programs(record),
            },
        }
    }

    /// Returns the program with the key.
    pub fn program(&self, key: ProgramKey) -> Option<&ProgramState> {
        let found = self.programs.binary_search_by_key(&key, |program| program.key);
        found.ok().map(|index| &self.programs[index])
    }

    /// Returns the programs, sorted by key.
    pub fn programs(&self) -> &[ProgramState] {
        &self.programs
    }

    /// Returns whether adoption from the sealed incarnation `from` is complete.
    pub fn has_adopted(&self, from: IncarnationId) -> bool {
        self.adopted.binary_search(&from).is_ok()
    }

    /// Returns the sealed incarnations from which adoption is complete, sorted.
    pub fn adopted(&self) -> &[IncarnationId] {
        &self.adopted
    }

    /// Returns the budget slices, sorted by team.
    pub fn slices(&self) -> &[BudgetSlice] {
        &self.slices
    }

    fn apply_to_programs(&mut self, record: &JournalRecord) {
        let Some(key) = record.program() else { return };
        let found = self.programs.binary_search_by_key(&key, |program| program.key);
        match (found, record) {
            (Ok(index), _) => apply_to_program(&mut self.programs[index], record),
            (Err(index), JournalRecord::Started(state)) => self.programs.insert(index, state.clone()),
            (Err(_), _) => {}
        }
    }

    fn insert_adopted(&mut self, from: IncarnationId) {
        if let Err(index) = self.adopted.binary_search(&from) {
            self.adopted.insert(index, from);
        }
    }

    fn insert_slice(&mut self, slice: BudgetSlice) {
        match self
            .slices
            .binary_search_by(|existing| existing.team.cmp(&slice.team))
        {
            Ok(index) if self.slices[index].is_superseded_by(&slice) => self.slices[index] = slice,
            Ok(_) => {}
            Err(index) => self.slices.insert(index, slice),
        }
    }
}
