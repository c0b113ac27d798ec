//! Faults of an INI text.

use std::fmt;

use errors::ResultCode;
use serde::{Deserialize, Serialize};

const MAX_FAULTS: usize = 1_000;
const MAX_ECHO_CHARS: usize = 80;

/// One fault of a settings file or a configuration text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TextFault {
    /// Line of the fault, from 1.
    pub line: u32,
    /// Section with its name, as in `service matcher`; empty outside of every section.
    pub section: String,
    /// Key; empty when the fault is not that of one key.
    pub key: String,
    /// Cause.
    pub code: ResultCode,
    /// Explanation for people.
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

/// Faults found so far.
#[derive(Debug, Default)]
pub(crate) struct FaultList {
    faults: Vec<TextFault>,
}

impl FaultList {
    /// Adds a fault.
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

    /// Returns the value when there is no fault, and the faults in the order of their lines otherwise.
    ///
    /// # Panics
    ///
    /// Panics when neither a value nor a fault was found, which is a defect of the parser.
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

/// Returns the text without control characters and at a length that fits a line.
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
