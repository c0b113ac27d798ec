//! Records of a journal and their effect on the state of a program.

use domain::{
    CallKey, ChatMessage, FinishedCall, HostName, IncarnationId, IntentRecord, MicroUnits, ProgramKey,
    ProgramPhase, ProgramState, TeamName, TimeMillis, TokenCount,
};
use serde::{Deserialize, Serialize};

/// Slice of a team's budget: the part that one incarnation holds and may spend in one budget window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetSlice {
    /// Team that the budget belongs to.
    pub team: TeamName,
    /// Start of the budget window.
    pub window_start: TimeMillis,
    /// Amount held by the incarnation in the window.
    pub held: MicroUnits,
    /// Amount that counts as spent of the held amount.
    pub spent: MicroUnits,
}

impl BudgetSlice {
    /// Returns whether `other`, a state of the same team's slice, is newer: it belongs to a later window, or
    /// to the same window with more spent.
    pub fn is_superseded_by(&self, other: &Self) -> bool {
        (self.window_start, self.spent) < (other.window_start, other.spent)
    }
}

/// One change that is stored in the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JournalRecord {
    /// A program was started or adopted by this incarnation; holds its complete state.
    Started(ProgramState),
    /// An attempt at a call was dispatched to an agent, or is about to be.
    Intent(IntentRecord),
    /// A call that had an intent or an unknown outcome is proven not to have run.
    Dropped(CallKey),
    /// A call has finished.
    Finished {
        /// Call with its outcome.
        finished: FinishedCall,
        /// Messages to append to the history of the program.
        new_messages: Vec<ChatMessage>,
        /// Host whose engine may hold cached tokens of the program.
        host: Option<HostName>,
        /// Number of tokens in the prompt and the answer.
        served_tokens: TokenCount,
        /// Time at which it finished.
        at: TimeMillis,
    },
    /// The program ended.
    Ended {
        /// Program that ended.
        program: ProgramKey,
        /// Final phase of the program.
        phase: ProgramPhase,
        /// Time at which it ended.
        at: TimeMillis,
    },
    /// An engine has released its cache of an ended program.
    Released {
        /// Program whose cache was released.
        program: ProgramKey,
        /// Host of the engine.
        host: HostName,
    },
    /// Adoption from a sealed incarnation is complete: all of its programs that were assigned to this
    /// incarnation are in this journal.
    Adopted {
        /// Sealed incarnation.
        from: IncarnationId,
    },
    /// The slice of a team's budget that this incarnation holds has changed.
    Slice {
        /// Team that the budget belongs to.
        team: TeamName,
        /// Start of the budget window.
        window_start: TimeMillis,
        /// Total amount held by this incarnation from this record on.
        held: MicroUnits,
        /// Amount that counts as spent of the held amount.
        spent: MicroUnits,
    },
}

impl JournalRecord {
    /// Returns the budget slice contained in the record, if it is a slice record.
    pub fn slice(&self) -> Option<BudgetSlice> {
        let Self::Slice {
            team,
            window_start,
            held,
            spent,
        } = self
        else {
            return None;
        };
        Some(BudgetSlice {
            team: team.clone(),
            window_start: *window_start,
            held: *held,
            spent: *spent,
        })
    }

    /// Returns the program that the record changes, if any.
    pub fn program(&self) -> Option<ProgramKey> {
        match self {
            Self::Started(state) => Some(state.key),
            Self::Intent(intent) => Some(intent.attempt.call.program),
            Self::Dropped(call) => Some(call.program),
            Self::Finished { finished, .. } => Some(finished.call.program),
            Self::Ended { program, .. } | Self::Released { program, .. } => Some(*program),
            Self::Adopted { .. } | Self::Slice { .. } => None,
        }
    }
}

/// Applies a record to the state of its program. A record of another program is ignored.
///
/// Applying is idempotent for a journal as a whole: replaying it from its start onto any state that a prefix
/// of it produced gives the state at its end.
pub fn apply_to_program(state: &mut ProgramState, record: &JournalRecord) {
    if record.program() != Some(state.key) {
        return;
    }
    match record {
        JournalRecord::Started(started) if started.tenure > state.tenure => *state = started.clone(),
        JournalRecord::Intent(intent) => apply_intent(state, intent),
        JournalRecord::Dropped(call) => {
            state.intents.retain(|intent| intent.attempt.call != *call);
            state.remove_unsettled(*call);
        }
        JournalRecord::Finished {
            finished,
            new_messages,
            host,
            served_tokens,
            at,
        } => {
            if let Some(host) = host {
                state.insert_holder(host);
            }
            if finished.unsettled.is_none() {
                state.remove_unsettled(finished.call);
            }
            if is_finished(state, finished.call, &finished.idempotency_key) {
                return;
            }
            state
                .intents
                .retain(|intent| intent.attempt.call != finished.call);
            state.next_call = state.next_call.max(finished.call.sequence + 1);
            state.history.extend_from_slice(new_messages);
            state.charged = state.charged.saturating_add(finished.charged);
            state.served_tokens = state.served_tokens.saturating_add(*served_tokens);
            state.touched = state.touched.max(*at);
            state.insert_finished(finished.clone());
        }
        JournalRecord::Ended { phase, at, .. } if state.phase == ProgramPhase::Running => {
            state.phase = *phase;
            state.touched = state.touched.max(*at);
        }
        JournalRecord::Released { host, .. } => state.held_by.retain(|holder| holder != host),
        JournalRecord::Started(_)
        | JournalRecord::Ended { .. }
        | JournalRecord::Adopted { .. }
        | JournalRecord::Slice { .. } => {}
    }
}

/// Returns whether the call, or a later call with the same idempotency key, has finished.
fn is_finished(state: &ProgramState, call: CallKey, idempotency_key: &str) -> bool {
    let finished = state.finished_call(idempotency_key);
    finished.is_some_and(|finished| finished.call.sequence >= call.sequence)
}

fn apply_intent(state: &mut ProgramState, intent: &IntentRecord) {
    let call = intent.attempt.call;
    // The host is inserted for a finished call, too: during a replay, a `Released` record that precedes this
    // intent may have removed the host.
    state.insert_holder(&intent.host);
    if is_finished(state, call, &intent.request.idempotency_key) {
        return;
    }
    state.next_call = state.next_call.max(call.sequence + 1);
    let found = state
        .intents
        .binary_search_by_key(&call, |existing| existing.attempt.call);
    match found {
        Ok(index) if state.intents[index].attempt < intent.attempt => state.intents[index] = intent.clone(),
        Ok(_) => {}
        Err(index) => state.intents.insert(index, intent.clone()),
    }
}
