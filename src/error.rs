//! Why the tool did not do what it was asked to, and the exit status for it.

use std::fmt::Write as _;
use std::process::ExitCode;

use config::TextFault;
use domain::Generation;
use errors::CallError;
use serde_json::{Value, json};

use crate::answer::AuditRow;
use crate::output::printable;

/// Exit status of the tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ExitStatus {
    /// Done.
    Done = 0,
    /// The system refused the request.
    Refused = 1,
    /// The command line or a file that it names cannot be used.
    Usage = 2,
    /// The configuration text has faults.
    Faults = 3,
    /// Another change was applied since the base generation.
    Conflict = 4,
    /// No entry answered.
    Unreachable = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// The change that stands in the way of an apply.
#[derive(Debug)]
pub(crate) struct ConflictReport {
    /// Generation that the text was edited from.
    pub(crate) base: Generation,
    /// Generation in force.
    pub(crate) present: Generation,
    /// Applies since the base.
    pub(crate) changes: Vec<AuditRow>,
    /// Differences from the text in force to the operator's own.
    pub(crate) diff: String,
}

/// Reason for an exit status other than zero.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ToolError {
    /// The system refused the request.
    #[error("refused: {0}")]
    Refused(CallError),
    /// An entry answered outside its interface.
    #[error("the entry's answer cannot be read: {0}")]
    Protocol(String),
    /// The command line or a file that it names cannot be used.
    #[error("{0}")]
    Usage(String),
    /// The configuration text has faults.
    #[error("{} faults in the text", .0.len())]
    Faults(Vec<TextFault>),
    /// Another change was applied since the base generation.
    #[error("conflict: generation {} is in force, the text was edited from {}", .0.present, .0.base)]
    Conflict(ConflictReport),
    /// No entry answered; nothing was changed.
    #[error("no entry answered: {0}")]
    Unreachable(String),
    /// A change was sent and no entry says what became of it.
    #[error("the change was sent, but no entry says whether it took effect ({0}); see `azuretide show`")]
    Unsettled(String),
}

impl ToolError {
    /// Returns the exit status for the error.
    pub(crate) const fn status(&self) -> ExitStatus {
        match self {
            Self::Refused(_) | Self::Protocol(_) => ExitStatus::Refused,
            Self::Usage(_) => ExitStatus::Usage,
            Self::Faults(_) => ExitStatus::Faults,
            Self::Conflict(_) => ExitStatus::Conflict,
            Self::Unreachable(_) | Self::Unsettled(_) => ExitStatus::Unreachable,
        }
    }

    /// Returns the lines for people.
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
                        &format!("{subject} was applied by {operator} at {}", change.time_text()),
                    );
                }
                text.push_str(&conflict.diff);
            }
            _ => {}
        }
        printable(&text)
    }

    /// Returns the object for scripts.
    pub(crate) fn to_json(&self) -> Value {
        match self {
            Self::Refused(error) => json!({ "error": error }),
            Self::Faults(faults) => json!({ "faults": faults }),
            Self::Conflict(conflict) => json!({ "conflict": {
                "base": conflict.base,
                "generation": conflict.present,
                "changes": conflict.changes,
                "diff": conflict.diff,
            } }),
            other => json!({ "error": { "message": other.to_string() } }),
        }
    }
}

fn push_line(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("a string takes every text");
}
