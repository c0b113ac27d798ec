//! Faults of a settings file or a configuration text, with their lines.

use std::fmt;

use errors::ResultCode;
use serde::{Deserialize, Serialize};

const MAX_FAULTS: usize = 1_000;
const MAX_ECHO_CHARS: usize = 80;

/// One fault of a settings file or a configuration text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TextFault {
    /// Line number of the fault, from 1.
    pub line: u32,
    /// Title of the section, as in `service matcher`; empty when the line belongs to no valid section.
    pub section: String,
    /// Key; empty when the fault does not concern a single key.
    pub key: String,
    /// Cause of the fault.
    pub code: ResultCode,
    /// Explanatory text for people.
    pub message: String,
}

impl fmt::Display for TextFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}", self.line)?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {} {}", self.code.number(), self.message)
    }
}

/// Faults collected while a text is parsed.
#[derive(Debug, Default)]
pub(crate) struct FaultList {
    faults: Vec<TextFault>,
}

impl FaultList {
    /// Adds a fault; section and key are shortened for display.
    pub(crate) fn push(
        &mut self,
        line: u32,
        section: &str,
        key: &str,
        code: ResultCode,
        message: impl Into<String>,
    ) {
        self.faults.push(TextFault {
            line,
            section: shorten(section),
            key: shorten(key),
            code,
            message: message.into(),
        });
    }

    /// Returns the value when no fault was reported, otherwise the faults in the order of their lines.
    ///
    /// At most `MAX_FAULTS` faults are returned; the last one states how many were left out.
    ///
    /// # Panics
    ///
    /// Panics when there is neither a value nor a fault, which is a defect of the parser.
    pub(crate) fn finish<T>(mut self, value: Option<T>) -> Result<T, Vec<TextFault>> {
        if self.faults.is_empty() {
            return Ok(value.expect("a parser without a value reports a fault"));
        }
        self.faults.sort_by_key(|fault| fault.line);
        let count = self.faults.len();
        if count > MAX_FAULTS {
            self.faults.truncate(MAX_FAULTS);
            let last = self.faults.last_mut().expect("the list was longer");
            let hidden = count - MAX_FAULTS;
            last.message = format!("{}; {hidden} further faults are not listed", last.message);
        }
        Err(self.faults)
    }
}

/// Returns the text for use in a message, limited to `MAX_ECHO_CHARS` characters.
///
/// Control characters become `?`, and a truncated text ends with an ellipsis.
pub(crate) fn shorten(text: &str) -> String {
    let mut short: String = text
        .chars()
        .take(MAX_ECHO_CHARS)
        .map(|c| if c.is_control() { '?' } else { c })
        .collect();
    if text.chars().nth(MAX_ECHO_CHARS).is_some() {
        short.push('…');
    }
    short
}
