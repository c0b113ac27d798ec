//! Names chosen by operators: 1 to 64 ASCII letters, digits, `-`, `_` and `.`.

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
        return Err(format!(
            "a name cannot contain {bad:?}, only ASCII letters, digits, -, _ and ."
        ));
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
    /// Name of a team, whose budget is charged for the calls of its programs.
    TeamName
}
checked_name! {
    /// Name of a service in the configuration.
    ServiceName
}
checked_name! {
    /// Name of a host in the platform's host list.
    HostName
}
checked_name! {
    /// Name of a failure domain, that is, of a group of hosts that may fail together.
    FailureDomain
}
