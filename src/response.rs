//! Response bodies of the operators' interface of an entry.

use domain::{
    ChatMessage, FailureDomain, Generation, HostName, HostRole, LoadDigest, MemberTable, MicroUnits,
    ProgramKey, ProgramPhase, TeamName, TenureNumber, TimeMillis, UrgencyClass,
};
use errors::CallError;
use serde::{Deserialize, Serialize};

use crate::output::format_time;

/// Body of a refused request.
#[derive(Debug, Deserialize)]
pub(crate) struct ErrorResponse {
    /// Result code, run state and message of the refusal.
    pub(crate) error: CallError,
}

/// Body of a refused configuration text.
#[derive(Debug, Deserialize)]
pub(crate) struct FaultsResponse {
    /// All faults of the text, ordered by line.
    pub(crate) faults: Vec<config::TextFault>,
}

/// Body of a successful apply.
#[derive(Debug, Deserialize)]
pub(crate) struct GenerationResponse {
    /// Generation under which the text was applied.
    pub(crate) generation: Generation,
}

/// State of the system as reported by one entry.
#[derive(Debug, Deserialize)]
pub(crate) struct StatusResponse {
    /// Configuration generation in force at the entry.
    pub(crate) generation: Generation,
    /// Entries and agents that the entry lists.
    pub(crate) hosts: Vec<HostRow>,
    /// Table of the entries that own programs, live and sealed.
    pub(crate) members: MemberTable,
    /// Budgets of the teams in the current window.
    pub(crate) budgets: Vec<BudgetRow>,
}

/// One process, an entry or an agent.
#[derive(Debug, Deserialize)]
pub(crate) struct HostRow {
    /// Name of the host on which the process runs.
    pub(crate) name: HostName,
    /// Whether the process is an entry or an agent.
    pub(crate) role: HostRole,
    /// Failure domain of the host.
    pub(crate) failure_domain: FailureDomain,
    /// Configuration generation in force at the process.
    pub(crate) generation: Generation,
    /// Whether the process drains and accepts no new work.
    pub(crate) leaving: bool,
    /// Time since the last received heartbeat in milliseconds.
    pub(crate) heard_ms: u64,
    /// Load of the agent's backend server; `None` for an entry.
    pub(crate) load: Option<LoadDigest>,
}

/// Budget of a team in the current window.
#[derive(Debug, Deserialize)]
pub(crate) struct BudgetRow {
    /// Name of the team.
    pub(crate) team: TeamName,
    /// Start of the window; `None` when the entry does not report it.
    #[serde(default)]
    pub(crate) window_start: Option<TimeMillis>,
    /// Budget for the window in micro-units.
    pub(crate) limit: MicroUnits,
    /// Amount charged in the window in micro-units.
    pub(crate) spent: MicroUnits,
    /// Amount reserved by running calls and slices in micro-units; `None` when the entry does not report it.
    #[serde(default)]
    pub(crate) reserved: Option<MicroUnits>,
    /// Amount that is neither charged nor reserved in micro-units.
    pub(crate) left: MicroUnits,
}

/// One program.
#[derive(Debug, Deserialize)]
pub(crate) struct ProgramRow {
    /// Key of the program.
    pub(crate) program: ProgramKey,
    /// Team whose budget is charged.
    pub(crate) team: TeamName,
    /// Program that started this one, if there is one.
    pub(crate) parent: Option<ProgramKey>,
    /// Urgency class of the program.
    pub(crate) urgency: UrgencyClass,
    /// Time by which the program must finish, if it has a deadline.
    pub(crate) deadline: Option<TimeMillis>,
    /// Phase of the program's life cycle.
    pub(crate) phase: ProgramPhase,
    /// Number of owners so far.
    pub(crate) tenure: TenureNumber,
    /// Number of calls that have an outcome.
    pub(crate) finished_calls: u64,
    /// Number of calls in progress.
    pub(crate) open_calls: u64,
    /// Sum of the exact prices of its calls in micro-units.
    pub(crate) charged: MicroUnits,
    /// Number of messages in the history.
    pub(crate) messages: u64,
}

/// History of a program.
#[derive(Debug, Deserialize)]
pub(crate) struct HistoryResponse {
    /// Messages, oldest first.
    pub(crate) messages: Vec<ChatMessage>,
}

/// One change in the audit trail.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct AuditRow {
    /// Position in the audit trail.
    pub(crate) number: u64,
    /// Time of the change.
    pub(crate) time: TimeMillis,
    /// Operator who made the change, or the host that made it automatically.
    pub(crate) operator: String,
    /// Kind of change, for example `apply` or `drain`.
    pub(crate) action: String,
    /// Object of the change, for example a generation or a host.
    pub(crate) subject: String,
    /// Details that depend on the action; may be empty.
    pub(crate) detail: String,
}

impl AuditRow {
    /// Returns the time of the change in UTC as text.
    pub(crate) fn format_time(&self) -> String {
        format_time(self.time)
    }
}
