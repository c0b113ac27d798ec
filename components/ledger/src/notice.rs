//! How far an entry knows what a host tells all entries: crashes of backend servers, or their limits.

use serde::{Deserialize, Serialize};

/// State of one kind of notices of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NoticeVersion {
    /// Identifies the start of the host.
    pub epoch: u64,
    /// Number of changes since then.
    pub changes: u64,
}
