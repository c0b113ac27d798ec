//! Bodies of the entries' answers to operators.

use domain::{
    ChatMessage, FailureDomain, Generation, HostName, HostRole, LoadDigest, MemberTable, MicroUnits,
    ProgramKey, ProgramPhase, TeamName, TenureNumber, TimeMillis, UrgencyClass,
};
use errors::CallError;
use serde::{Deserialize, Serialize};

use crate::output::time_text;

/// Refusal.
#[derive(Debug, Deserialize)]
pub(crate) struct ErrorAnswer {
    /// Error.
    pub(crate) error: CallError,
}

/// Faults of a text.
#[derive(Debug, Deserialize)]
pub(crate) struct FaultsAnswer {
    /// Faults in the order of their lines.
    pub(crate) faults: Vec<config::TextFault>,
}

/// Result of an apply.
#[derive(Debug, Deserialize)]
pub(crate) struct GenerationAnswer {
    /// Generation of the text.
    pub(crate) generation: Generation,
}

/// The system as one entry sees it.
#[derive(Debug, Deserialize)]
pub(crate) struct StatusAnswer {
    /// Generation in force at the entry.
    pub(crate) generation: Generation,
    /// Processes.
    pub(crate) hosts: Vec<HostRow>,
    /// Owners of programs.
    pub(crate) members: MemberTable,
    /// Budgets.
    pub(crate) budgets: Vec<BudgetRow>,
}

/// One process.
#[derive(Debug, Deserialize)]
pub(crate) struct HostRow {
    /// Host.
    pub(crate) name: HostName,
    /// Role.
    pub(crate) role: HostRole,
    /// Failure domain.
    pub(crate) failure_domain: FailureDomain,
    /// Generation in force at the process.
    pub(crate) generation: Generation,
    /// Whether the process is leaving.
    pub(crate) leaving: bool,
    /// Time since its latest heartbeat in milliseconds.
    pub(crate) heard_ms: u64,
    /// Load of its backend server; `None` for an entry.
    pub(crate) load: Option<LoadDigest>,
}

/// Budget of a team in the present window.
#[derive(Debug, Deserialize)]
pub(crate) struct BudgetRow {
    /// Team.
    pub(crate) team: TeamName,
    /// Start of the window.
    #[serde(default)]
    pub(crate) window_start: Option<TimeMillis>,
    /// Budget of the window.
    pub(crate) limit: MicroUnits,
    /// Charged so far.
    pub(crate) spent: MicroUnits,
    /// Reserved by running calls and slices.
    #[serde(default)]
    pub(crate) reserved: Option<MicroUnits>,
    /// Not yet charged or reserved.
    pub(crate) left: MicroUnits,
}

/// One program.
#[derive(Debug, Deserialize)]
pub(crate) struct ProgramRow {
    /// Identity.
    pub(crate) program: ProgramKey,
    /// Team that pays.
    pub(crate) team: TeamName,
    /// Program that started this one.
    pub(crate) parent: Option<ProgramKey>,
    /// Urgency.
    pub(crate) urgency: UrgencyClass,
    /// Time by which the program must have finished.
    pub(crate) deadline: Option<TimeMillis>,
    /// Phase.
    pub(crate) phase: ProgramPhase,
    /// Number of owners so far.
    pub(crate) tenure: TenureNumber,
    /// Calls with an outcome.
    pub(crate) finished_calls: u64,
    /// Calls under way.
    pub(crate) open_calls: u64,
    /// Sum of the exact prices.
    pub(crate) charged: MicroUnits,
    /// Messages of the history.
    pub(crate) messages: u64,
}

/// History of a program.
#[derive(Debug, Deserialize)]
pub(crate) struct HistoryAnswer {
    /// Messages in their order.
    pub(crate) messages: Vec<ChatMessage>,
}

/// One change in the audit trail.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct AuditRow {
    /// Number in the trail.
    pub(crate) number: u64,
    /// Time of the change.
    pub(crate) time: TimeMillis,
    /// Operator, or the host that acted by itself.
    pub(crate) operator: String,
    /// What was done.
    pub(crate) action: String,
    /// To what it was done.
    pub(crate) subject: String,
    /// Details.
    pub(crate) detail: String,
}

impl AuditRow {
    /// Returns the time for people.
    pub(crate) fn time_text(&self) -> String {
        time_text(self.time)
    }
}
