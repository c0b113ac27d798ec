//! Errors of the tool and their exit statuses.

use std::fmt::Write as _;
use std::process::ExitCode;

use config::TextFault;
use domain::Generation;
use errors::CallError;
use serde_json::{Value, json};

use crate::output::printable;
use crate::response::AuditRow;

/// Exit status of the tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The system refused the request.
    Refused = 1,
    /// The command line or a file that it names cannot be used.
    Usage = 2,
    /// The configuration text has faults.
    Faults = 3,
    /// Another change was applied since the base generation.
    Conflict = 4,
    /// No entry responded, or the outcome of a change is not known.
    Unreachable = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Description of a conflict: the base generation of an apply is not the current generation.
#[derive(Debug)]
pub(crate) struct ConflictReport {
    /// Generation that the text was edited from.
    pub(crate) base: Generation,
    /// Generation in force.
    pub(crate) current: Generation,
    /// Audit events of the applies since the base; empty when the audit trail cannot be fetched.
    pub(crate) changes: Vec<AuditRow>,
    /// Unified diff from the current text to the operator's text.
    pub(crate) diff: String,
}

/// Error that ends the tool with an exit status other than zero.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ToolError {
    /// The system refused the request.
    #[error("refused: {0}")]
    Refused(CallError),
    /// The response of an entry does not have the form that its interface defines.
    #[error("the entry's answer cannot be read: {0}")]
    Protocol(String),
    /// The command line or a file that it names cannot be used.
    #[error("{0}")]
    Usage(String),
    /// The configuration text has faults.
    #[error("the configuration text has {} faults", .0.len())]
    Faults(Vec<TextFault>),
    /// Another change was applied since the base generation.
    #[error("conflict: generation {} is in force, the text was edited from {}", .0.current, .0.base)]
    Conflict(ConflictReport),
    /// No entry responded; nothing was changed.
    #[error("no entry answered: {0}")]
    Unreachable(String),
    /// A change was sent, but its outcome is not known.
    #[error("the change was sent, but no entry says whether it took effect ({0}); see `azuretide show`")]
    OutcomeUnknown(String),
}

impl ToolError {
    /// Returns the exit status for the error.
    pub(crate) const fn status(&self) -> ExitStatus {
        match self {
            Self::Refused(_) | Self::Protocol(_) => ExitStatus::Refused,
            Self::Usage(_) => ExitStatus::Usage,
            Self::Faults(_) => ExitStatus::Faults,
            Self::Conflict(_) => ExitStatus::Conflict,
            Self::Unreachable(_) | Self::OutcomeUnknown(_) => ExitStatus::Unreachable,
        }
    }

    /// Returns the lines that are printed on standard error.
    pub(crate) fn to_text(&self) -> String {
        let mut text = format!("azuretide: {self}\n");
        match self {
            Self::Faults(faults) => faults
                .iter()
                .for_each(|fault| push_line(&mut text, &fault.to_string())),
            Self::Conflict(conflict) => {
                for change in &conflict.changes {
                    let AuditRow {
                        operator, subject, ..
                    } = change;
                    push_line(
                        &mut text,
                        &format!("{subject} was applied by {operator} at {}", change.format_time()),
                    );
                }
                text.push_str(&conflict.diff);
            }
            _ => {}
        }
        printable(&text)
    }

    /// Returns the JSON object that `--json` prints.
    pub(crate) fn to_json(&self) -> Value {
        match self {
            Self::Refused(error) => json!({ "error": error }),
            Self::Faults(faults) => json!({ "faults": faults }),
            Self::Conflict(conflict) => json!({ "conflict": {
                "base": conflict.base,
                "generation": conflict.current,
                "changes": conflict.changes,
                "diff": conflict.diff,
            } }),
            other => json!({ "error": { "message": other.to_string() } }),
        }
    }
}

fn push_line(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("writing to a string does not fail");
}
