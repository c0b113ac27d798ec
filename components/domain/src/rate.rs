//! Limits on the requests that a backend server takes.

use serde::{Deserialize, Serialize};

/// Requests per second, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(pub u64);
