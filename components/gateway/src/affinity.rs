//! What an entry remembers of sessions: the backend server that holds their prompts.

use std::collections::HashMap;

use ledger::ProgramKey;
use routing::ServerKey;

/// Capacity of each of the two maps of an [`AffinityMap`], in sessions and programs.
const AFFINITY_CAPACITY: usize = 20_000;

/// Last backend server of each session and program, in two maps: when `newer` is full, it replaces `older`.
#[derive(Debug, Default)]
pub(crate) struct AffinityMap {
    newer: HashMap<u64, ServerKey>,
    older: HashMap<u64, ServerKey>,
}

impl AffinityMap {
    /// Records the server of a session and of its program. Returns the session's server before.
    pub(crate) fn record(
        &mut self,
        session: Option<u64>,
        program: Option<ProgramKey>,
        key: ServerKey,
    ) -> Option<ServerKey> {
        let before = session.and_then(|session| self.get(session));
        for session in session.into_iter().chain(program.map(program_affinity)) {
            self.set(session, key);
        }
        before
    }

    /// Returns the last server of a session, or else of its program.
    pub(crate) fn last_server(&self, session: Option<u64>, program: Option<ProgramKey>) -> Option<ServerKey> {
        let of_session = session.and_then(|session| self.get(session));
        of_session.or_else(|| program.and_then(|program| self.get(program_affinity(program))))
    }

    fn get(&self, session: u64) -> Option<ServerKey> {
        let found = self.newer.get(&session).or_else(|| self.older.get(&session));
        found.copied()
    }

    fn set(&mut self, session: u64, key: ServerKey) {
        if self.newer.len() >= AFFINITY_CAPACITY {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(session, key);
    }
}

/// Returns the key under which the server of a program's sessions is remembered.
#[expect(
    clippy::cast_possible_truncation,
    reason = "any half of the hash will do as a key"
)]
pub(crate) const fn program_affinity(program: ProgramKey) -> u64 {
    program.0 as u64
}
