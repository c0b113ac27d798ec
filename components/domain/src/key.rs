//! Small `Copy` keys that identify incarnations, programs, calls and attempts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

macro_rules! number_key {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the following number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number_key! {
    /// Identifies one incarnation of an entry, that is, one start of its process.
    ///
    /// Each start takes the next number from the member table, so that a restarted entry never reuses the
    /// number of its earlier process.
    IncarnationId
}
number_key! {
    /// Fencing token of a program's owner: 1 for the first owner, increased by one at each adoption.
    ///
    /// Agents reject a dispatch with a smaller number than the largest that they have received for the
    /// program, so that a former owner cannot start calls.
    TenureNumber
}
number_key! {
    /// Number of an attempt within its call, from 1.
    AttemptNumber
}
number_key! {
    /// Version of the configuration text or of the member table; zero means that there is none yet.
    Generation
}

/// Identifies a program by the incarnation that started it and a sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ProgramKey {
    /// Incarnation in which the program started.
    pub incarnation: IncarnationId,
    /// Number of the program within its incarnation, from 1.
    pub sequence: u64,
}

impl fmt::Display for ProgramKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p-{}-{}", self.incarnation, self.sequence)
    }
}

impl FromStr for ProgramKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parsed = text
            .strip_prefix("p-")
            .and_then(|rest| rest.split_once('-'))
            .and_then(|(left, right)| {
                let incarnation = IncarnationId(left.parse().ok()?);
                Some(Self {
                    incarnation,
                    sequence: right.parse().ok()?,
                })
            });
        parsed.ok_or_else(|| "a program id has the form p-N-N".to_owned())
    }
}

impl TryFrom<String> for ProgramKey {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl From<ProgramKey> for String {
    fn from(program: ProgramKey) -> Self {
        program.to_string()
    }
}

/// Identifies one call of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallKey {
    /// Program to which the call belongs.
    pub program: ProgramKey,
    /// Number of the call within its program, from 1.
    pub sequence: u64,
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.program, self.sequence)
    }
}

/// Identifies one attempt at a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptKey {
    /// Call to which the attempt belongs.
    pub call: CallKey,
    /// Tenure of the owner that started the attempt.
    pub tenure: TenureNumber,
    /// Number of the attempt within the call, from 1.
    pub attempt: AttemptNumber,
}

impl fmt::Display for AttemptKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}.{}", self.call, self.tenure, self.attempt)
    }
}
