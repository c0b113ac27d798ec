//! Records of a journal and their effect on one program.

use domain::{
    CallKey, ChatMessage, FinishedCall, HostName, IncarnationId, IntentRecord, MicroUnits, ProgramKey,
    ProgramPhase, ProgramState, TeamName, TimeMillis, TokenCount,
};
use serde::{Deserialize, Serialize};

/// Part of a team's budget that one incarnation holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetSlice {
    /// Team that pays.
    pub team: TeamName,
    /// Start of the budget window.
    pub window_start: TimeMillis,
    /// Budget held in the window.
    pub held: MicroUnits,
    /// Budget spent of what is held.
    pub spent: MicroUnits,
}

impl BudgetSlice {
    /// Tells whether another state of the same team's slice is later: of a later window, or with more spent.
    pub fn is_superseded_by(&self, other: &Self) -> bool {
        (self.window_start, self.spent) < (other.window_start, other.spent)
    }
}

/// One change that the journal keeps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JournalRecord {
    /// A program started here or was adopted: its whole state.
    Started(ProgramState),
    /// A call was handed out.
    Intent(IntentRecord),
    /// An intent, or a call of unknown outcome, was proven not to have run.
    Dropped(CallKey),
    /// A call has its outcome.
    Finished {
        /// Call with its outcome.
        finished: FinishedCall,
        /// Messages that go behind the history.
        new_messages: Vec<ChatMessage>,
        /// Host whose engine may hold cache of the program.
        host: Option<HostName>,
        /// Tokens of the prompt and the answer.
        served_tokens: TokenCount,
        /// Time of the outcome.
        at: TimeMillis,
    },
    /// The program ended.
    Ended {
        /// Program.
        program: ProgramKey,
        /// Phase in which it stays.
        phase: ProgramPhase,
        /// Time of the end.
        at: TimeMillis,
    },
    /// An engine's cache of an ended program was released.
    Released {
        /// Program.
        program: ProgramKey,
        /// Host of the engine.
        host: HostName,
    },
    /// All programs of a sealed incarnation that fell to this one stand in this journal.
    Adopted {
        /// Sealed incarnation.
        from: IncarnationId,
    },
    /// A slice of a team's budget changed hands.
    Slice {
        /// Team that pays.
        team: TeamName,
        /// Start of the budget window.
        window_start: TimeMillis,
        /// Total held by this incarnation from now on.
        held: MicroUnits,
        /// Spent of what is held.
        spent: MicroUnits,
    },
}

impl JournalRecord {
    /// Returns the budget slice that the record states.
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

    /// Returns the program that the record changes.
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

/// Applies a record to the program that it concerns; a record of another program changes nothing.
///
/// A journal may be applied again from its start to any state that it led to: the result is the state at its end.
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

/// States whether the call, or a later one with the same idempotency key, has its outcome.
fn is_finished(state: &ProgramState, call: CallKey, idempotency_key: &str) -> bool {
    let finished = state.finished_call(idempotency_key);
    finished.is_some_and(|finished| finished.call.sequence >= call.sequence)
}

fn apply_intent(state: &mut ProgramState, intent: &IntentRecord) {
    let call = intent.attempt.call;
    // Also of a finished call: an earlier `Released` that is applied again has removed the host.
    state.insert_holder(&intent.host);
    if is_finished(state, call, &intent.request.idempotency_key) {
        return;
    }
    state.next_call = state.next_call.max(call.sequence + 1);
    let found = state
        .intents
        .binary_search_by_key(&call, |present| present.attempt.call);
    match found {
        Ok(index) if state.intents[index].attempt < intent.attempt => state.intents[index] = intent.clone(),
        Ok(_) => {}
        Err(index) => state.intents.insert(index, intent.clone()),
    }
}
