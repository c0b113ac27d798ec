//! State of a program as held in memory by its owner and restored from the journal.

use serde::{Deserialize, Serialize};

use crate::{
    AttemptKey, CallKey, CallOutcome, CallRequest, ChatMessage, HostName, IncarnationId, MicroUnits,
    ProgramKey, TeamName, TenureNumber, TimeMillis, TokenCount,
};

/// Urgency that the caller sets at the start of a program; a smaller variant has precedence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UrgencyClass {
    /// People are in danger or a harbor is blocked.
    Emergency,
    /// A person is waiting for the answer.
    Interactive,
    /// No person is waiting for the answer.
    #[default]
    Ordinary,
    /// The program may be delayed for hours.
    Background,
}

/// Phase in the life cycle of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ProgramPhase {
    /// The program accepts calls.
    Running,
    /// The program was ended by its caller, by a limit or after its idle timeout.
    Ended,
    /// The operator or the caller cancelled the program.
    Cancelled,
}

/// A call that was assigned to an agent and has no outcome yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentRecord {
    /// Attempt that the agent runs.
    pub attempt: AttemptKey,
    /// Request as submitted by the caller.
    pub request: CallRequest,
    /// Host of the agent.
    pub host: HostName,
    /// Start of the agent: after a restart, the agent has another number and has lost its table of calls.
    pub agent_start: u64,
    /// Budget reserved for the highest possible price of the call.
    pub reserved: MicroUnits,
}

/// A call with its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FinishedCall {
    /// Identity of the call.
    pub call: CallKey,
    /// Idempotency key of the call.
    pub idempotency_key: String,
    /// Hash of the request, which detects that the idempotency key is reused for another request.
    pub fingerprint: u64,
    /// Final state of the call.
    pub outcome: CallOutcome,
    /// Amount charged to the team for the call.
    pub charged: MicroUnits,
    /// Agent that may still report the outcome; `None` unless the outcome is unknown.
    pub unsettled: Option<UnsettledAttempt>,
}

/// Agent that became unreachable during a call that may run only once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UnsettledAttempt {
    /// Host of the agent.
    pub host: HostName,
    /// Start of the agent: after a restart, the agent has no record of the call.
    pub agent_start: u64,
}

/// State of one program, as stored in the journal of its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramState {
    /// Key of the program.
    pub key: ProgramKey,
    /// Team whose budget is charged.
    pub team: TeamName,
    /// Program that started this one as its sub-agent.
    pub parent: Option<ProgramKey>,
    /// Urgency of the program's calls.
    pub urgency: UrgencyClass,
    /// Deadline by which the program must have finished; `None` when it has none.
    pub deadline: Option<TimeMillis>,
    /// Time at which the program started.
    pub started: TimeMillis,
    /// Time of the latest activity: the start of the program or its latest call.
    pub touched: TimeMillis,
    /// Tenure of the current owner, which is the number of owners so far.
    pub tenure: TenureNumber,
    /// Whether the program accepts calls.
    pub phase: ProgramPhase,
    /// Messages, oldest first.
    pub history: Vec<ChatMessage>,
    /// Sequence number for the next call.
    pub next_call: u64,
    /// Calls in progress, sorted by their keys.
    pub intents: Vec<IntentRecord>,
    /// Finished calls, sorted by idempotency key.
    pub finished: Vec<FinishedCall>,
    /// Sum of the amounts charged for the finished calls.
    pub charged: MicroUnits,
    /// Prompt and answer tokens of all answered model calls so far.
    pub served_tokens: TokenCount,
    /// Hosts whose engines may hold prefix cache of the program, sorted.
    pub held_by: Vec<HostName>,
    /// Incarnations that owned the program before the current owner, oldest first.
    pub past_owners: Vec<IncarnationId>,
}

impl ProgramState {
    /// Creates a running program without calls, owned by the incarnation that started it.
    pub fn new(key: ProgramKey, team: TeamName, urgency: UrgencyClass, started: TimeMillis) -> Self {
        Self {
            key,
            team,
            parent: None,
            urgency,
            deadline: None,
            started,
            touched: started,
            tenure: TenureNumber(1),
            phase: ProgramPhase::Running,
            history: Vec::new(),
            next_call: 1,
            intents: Vec::new(),
            finished: Vec::new(),
            charged: MicroUnits::ZERO,
            served_tokens: 0,
            held_by: Vec::new(),
            past_owners: Vec::new(),
        }
    }

    /// Returns the finished call with the idempotency key.
    pub fn finished_call(&self, idempotency_key: &str) -> Option<&FinishedCall> {
        let found = self
            .finished
            .binary_search_by(|call| call.idempotency_key.as_str().cmp(idempotency_key));
        found.ok().map(|index| &self.finished[index])
    }

    /// Returns the call in progress with the idempotency key.
    pub fn open_intent(&self, idempotency_key: &str) -> Option<&IntentRecord> {
        self.intents
            .iter()
            .find(|intent| intent.request.idempotency_key == idempotency_key)
    }

    /// Inserts a finished call, or replaces the one with the same idempotency key.
    pub fn insert_finished(&mut self, finished: FinishedCall) {
        match self
            .finished
            .binary_search_by(|call| call.idempotency_key.cmp(&finished.idempotency_key))
        {
            Ok(index) => self.finished[index] = finished,
            Err(index) => self.finished.insert(index, finished),
        }
    }

    /// Removes a finished call whose outcome is unknown and subtracts its charge.
    pub fn remove_unsettled(&mut self, call: CallKey) {
        let found = self
            .finished
            .iter()
            .position(|finished| finished.call == call && finished.unsettled.is_some());
        if let Some(index) = found {
            let removed = self.finished.remove(index);
            self.charged = self.charged.saturating_sub(removed.charged);
        }
    }

    /// Records that the engine of a host may hold prefix cache of the program.
    pub fn insert_holder(&mut self, host: &HostName) {
        if let Err(index) = self.held_by.binary_search(host) {
            self.held_by.insert(index, host.clone());
        }
    }
}
