//! State of a program as its owner keeps it and the journal restores it.

use serde::{Deserialize, Serialize};

use crate::{
    AttemptKey, CallKey, CallOutcome, CallRequest, ChatMessage, HostName, IncarnationId, MicroUnits,
    ProgramKey, TeamName, TenureNumber, TimeMillis, TokenCount,
};

/// Urgency that the caller states at the start of a program; the smaller variant goes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UrgencyClass {
    /// Somebody is in danger or a harbor is blocked.
    Emergency,
    /// A person waits for the answer.
    Interactive,
    /// Nobody waits at this moment.
    #[default]
    Ordinary,
    /// May wait for hours.
    Background,
}

/// Phase of a program's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ProgramPhase {
    /// The program takes calls.
    Running,
    /// The program ended by its caller's word, a limit or its idle time.
    Ended,
    /// The operator or the caller cancelled the program.
    Cancelled,
}

/// A call that was handed to a backend server and has no outcome yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentRecord {
    /// Attempt that the agent runs.
    pub attempt: AttemptKey,
    /// Request as its caller made it.
    pub request: CallRequest,
    /// Host of the agent.
    pub host: HostName,
    /// Start of the agent; a restarted agent has another one and has lost its table of calls.
    pub agent_start: u64,
    /// Budget reserved for the worst case.
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
    /// Fingerprint of the request, to recognise a reused key.
    pub fingerprint: u64,
    /// Final state.
    pub outcome: CallOutcome,
    /// Exact price.
    pub charged: MicroUnits,
    /// Agent that may still prove the outcome, when it is not known.
    pub unsettled: Option<UnsettledAttempt>,
}

/// Agent that was lost during a call which may run only once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UnsettledAttempt {
    /// Host of the agent.
    pub host: HostName,
    /// Start of the agent; another start can prove nothing.
    pub agent_start: u64,
}

/// Everything that an owner knows of one program and the journal keeps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramState {
    /// Identity.
    pub key: ProgramKey,
    /// Team that pays.
    pub team: TeamName,
    /// Program that started this one as its sub-agent.
    pub parent: Option<ProgramKey>,
    /// Urgency.
    pub urgency: UrgencyClass,
    /// Time by which the program must have finished.
    pub deadline: Option<TimeMillis>,
    /// Time of the start.
    pub started: TimeMillis,
    /// Time of the latest call or start.
    pub touched: TimeMillis,
    /// Number of owners so far.
    pub tenure: TenureNumber,
    /// Phase.
    pub phase: ProgramPhase,
    /// Messages in their order.
    pub history: Vec<ChatMessage>,
    /// Number that the next call gets.
    pub next_call: u64,
    /// Calls under way, in the order of their keys.
    pub intents: Vec<IntentRecord>,
    /// Finished calls in the order of their idempotency keys.
    pub finished: Vec<FinishedCall>,
    /// Sum of the exact prices.
    pub charged: MicroUnits,
    /// Tokens of prompts and answers so far.
    pub served_tokens: TokenCount,
    /// Hosts whose engines may hold cache of the program, sorted.
    pub held_by: Vec<HostName>,
    /// Incarnations that owned the program before, oldest first.
    pub past_owners: Vec<IncarnationId>,
}

impl ProgramState {
    /// Creates a program that has just started.
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

    /// Returns the call under way with the idempotency key.
    pub fn open_intent(&self, idempotency_key: &str) -> Option<&IntentRecord> {
        self.intents
            .iter()
            .find(|intent| intent.request.idempotency_key == idempotency_key)
    }

    /// Adds a finished call at its place in the order, or replaces the one with the same key.
    pub fn insert_finished(&mut self, finished: FinishedCall) {
        match self
            .finished
            .binary_search_by(|call| call.idempotency_key.cmp(&finished.idempotency_key))
        {
            Ok(index) => self.finished[index] = finished,
            Err(index) => self.finished.insert(index, finished),
        }
    }

    /// Removes a finished call whose outcome is not known, and its price.
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

    /// Adds a host to those whose engines may hold cache of the program.
    pub fn insert_holder(&mut self, host: &HostName) {
        if let Err(index) = self.held_by.binary_search(host) {
            self.held_by.insert(index, host.clone());
        }
    }
}
