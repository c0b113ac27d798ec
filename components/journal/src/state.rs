//! Programs, adoptions and budget slices that a journal has led to.

use domain::{IncarnationId, ProgramKey, ProgramState};
use serde::{Deserialize, Serialize};

use crate::record::{BudgetSlice, JournalRecord, apply_to_program};

/// State at the end of a journal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JournalState {
    /// In the order of their keys.
    programs: Vec<ProgramState>,
    /// Sorted.
    adopted: Vec<IncarnationId>,
    /// In the order of their teams.
    slices: Vec<BudgetSlice>,
}

impl JournalState {
    /// Creates a state of these parts.
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

    /// Applies a record; applying a journal again changes nothing.
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

    /// Returns the programs in the order of their keys.
    pub fn programs(&self) -> &[ProgramState] {
        &self.programs
    }

    /// States whether the programs of a sealed incarnation that fell to this one stand in the journal.
    pub fn has_adopted(&self, from: IncarnationId) -> bool {
        self.adopted.binary_search(&from).is_ok()
    }

    /// Returns the sealed incarnations whose programs stand in the journal, sorted.
    pub fn adopted(&self) -> &[IncarnationId] {
        &self.adopted
    }

    /// Returns the budget slices in the order of their teams.
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
            .binary_search_by(|present| present.team.cmp(&slice.team))
        {
            Ok(index) if self.slices[index].is_superseded_by(&slice) => self.slices[index] = slice,
            Ok(_) => {}
            Err(index) => self.slices.insert(index, slice),
        }
    }
}
