//! Starts of backend servers.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Identifies one start of a backend server, by the 64-bit XXH3 hash of its name and its start time. The key is the
/// same in every process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct InstanceKey(pub u64);

impl InstanceKey {
    /// Returns the key of a start of a server; `started_at_ms` is its start time in Unix milliseconds, if it states
    /// one.
    pub fn from_start(name: &str, started_at_ms: Option<u64>) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&started_at_ms.unwrap_or_default().to_le_bytes());
        hasher.update(name.as_bytes());
        Self(hasher.digest())
    }
}
