//! Names that operators choose: letters, digits, `-`, `_` and `.`, at most 64 bytes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

const MAX_NAME_BYTES: usize = 64;

fn check_name(text: &str) -> Result<(), String> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(format!("a name has 1 to {MAX_NAME_BYTES} bytes"));
    }
    if let Some(bad) = text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !"-_.".contains(*c))
    {
        return Err(format!("a name holds no {bad:?}"));
    }
    Ok(())
}

macro_rules! checked_name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = String;

            fn from_str(text: &str) -> Result<Self, String> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = String;

            fn try_from(text: String) -> Result<Self, String> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

checked_name! {
    /// Names a team that pays for its programs.
    TeamName
}
checked_name! {
    /// Names a service of the configuration.
    ServiceName
}
checked_name! {
    /// Names a host.
    HostName
}
checked_name! {
    /// Names a failure domain.
    FailureDomain
}
