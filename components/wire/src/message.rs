//! Messages of the process ports.

use domain::{
    AttemptKey, CallKey, CallOutcome, CallRequest, ChatMessage, Generation, MicroUnits, PlainRequest,
    ProgramKey, ProgramPhase, ProgramState, ServiceName, TeamName, TenureNumber, TimeMillis, TokenCount,
    UrgencyClass,
};
use errors::CallError;
use serde::{Deserialize, Serialize};

/// Start of a program, as a caller asks for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramStart {
    /// Team that pays.
    pub team: TeamName,
    /// Program whose sub-agent the new one is.
    pub parent: Option<ProgramKey>,
    /// Urgency.
    pub urgency: UrgencyClass,
    /// Time by which the program must finish.
    pub deadline: Option<TimeMillis>,
}

/// A call on its way to the owner of its program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmittedCall {
    /// Team whose key came with the request.
    pub team: TeamName,
    /// Program.
    pub program: ProgramKey,
    /// Request.
    pub request: CallRequest,
    /// Text that the caller already holds from an attempt whose owner was lost; empty otherwise.
    pub delivered: String,
}

/// Answer of the owner to a submitted call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallAttachment {
    /// Identity of the call.
    pub call: CallKey,
    /// Whether the call was known before.
    pub attached: bool,
}

/// Request for the output of a call behind an offset; the answer waits until there is some.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutputRequest {
    /// Call.
    pub call: CallKey,
    /// Offset in bytes into the output text.
    pub offset: u64,
    /// Longest wait in milliseconds.
    pub wait_ms: u64,
}

/// A piece of a call's output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutputChunk {
    /// Offset in bytes of the text; equal to the requested one.
    pub offset: u64,
    /// Text from the offset on; empty when the wait ran out or the call is not a model's.
    pub text: String,
    /// Final state, once the text is complete.
    pub outcome: Option<CallOutcome>,
}

/// One program in a listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramSummary {
    /// Identity.
    pub key: ProgramKey,
    /// Team.
    pub team: TeamName,
    /// Parent program.
    pub parent: Option<ProgramKey>,
    /// Urgency.
    pub urgency: UrgencyClass,
    /// Deadline.
    pub deadline: Option<TimeMillis>,
    /// Phase.
    pub phase: ProgramPhase,
    /// Number of owners so far.
    pub tenure: TenureNumber,
    /// Finished calls.
    pub finished_calls: u64,
    /// Calls under way or waiting.
    pub open_calls: u64,
    /// Sum of the exact prices.
    pub charged: MicroUnits,
    /// Messages in the history.
    pub messages: u64,
}

impl ProgramSummary {
    /// Summarizes a program's durable state; `open_calls` are those under way or waiting.
    pub fn new(program: &ProgramState, open_calls: usize) -> Self {
        Self {
            key: program.key,
            team: program.team.clone(),
            parent: program.parent,
            urgency: program.urgency,
            deadline: program.deadline,
            phase: program.phase,
            tenure: program.tenure,
            finished_calls: program.finished.len() as u64,
            open_calls: open_calls as u64,
            charged: program.charged,
            messages: program.history.len() as u64,
        }
    }
}

/// What an agent is to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatchOrder {
    /// Continue a history.
    Chat {
        /// Attempt.
        attempt: AttemptKey,
        /// Service.
        service: ServiceName,
        /// Whole history with the new messages.
        messages: Vec<ChatMessage>,
        /// Text that the answer must begin with; empty for a fresh answer.
        prefix: String,
        /// Largest number of tokens to generate.
        max_tokens: TokenCount,
        /// Place in the order of waiting calls; smaller goes first.
        priority: u64,
        /// Time after which the call is not started any more.
        start_before: Option<TimeMillis>,
        /// Longest time of the call at the backend server in milliseconds.
        timeout_ms: u64,
    },
    /// Pass a request on.
    Plain {
        /// Attempt.
        attempt: AttemptKey,
        /// Service.
        service: ServiceName,
        /// Request.
        request: PlainRequest,
        /// Key that the backend server may use to recognise the call.
        idempotency_key: String,
        /// Whether the call may run more than once.
        repeatable: bool,
        /// Start of the agent for which the intent was written; another start refuses a call that may not be
        /// repeated.
        agent_start: u64,
        /// Place in the order of waiting calls; smaller goes first.
        priority: u64,
        /// Time after which the call is not started any more.
        start_before: Option<TimeMillis>,
        /// Longest time of the call at the backend server in milliseconds.
        timeout_ms: u64,
    },
}

impl DispatchOrder {
    /// Returns the attempt.
    pub const fn attempt(&self) -> AttemptKey {
        match self {
            Self::Chat { attempt, .. } | Self::Plain { attempt, .. } => *attempt,
        }
    }

    /// Returns the place in the order of waiting calls.
    pub const fn priority(&self) -> u64 {
        match self {
            Self::Chat { priority, .. } | Self::Plain { priority, .. } => *priority,
        }
    }
}

/// An agent's word that it holds an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DispatchReceipt {
    /// Start of the agent.
    pub agent_start: u64,
}

/// What an agent can prove about a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SettledCall {
    /// The call waits or runs as this attempt.
    Running(AttemptKey),
    /// The call has this outcome.
    Finished(CallOutcome),
    /// The call was never started and the agent will never start it.
    Refused,
    /// The agent started after the intent was written and can prove nothing.
    Unknown,
}

/// Order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// Term of the controller; an agent refuses a smaller one than the largest it has seen.
    pub term: u64,
    /// Generation of the configuration that the order follows from.
    pub generation: Generation,
    /// Start of the agent that the order is meant for; a later start refuses it.
    pub agent_start: u64,
    /// What to do.
    pub command: EngineCommand,
}

/// Command to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineCommand {
    /// Nothing but to refuse smaller terms from now on.
    Announce,
    /// Load a model.
    Load(ServiceName),
    /// Unload a model.
    Unload(ServiceName),
}

/// Result of a call to a process port.
pub type PortResult<T> = Result<T, CallError>;
