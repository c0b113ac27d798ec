//! Software versions of backend servers.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Identifies the software that a backend server runs, by the 64-bit XXH3 hash of the names of its service and its
/// version. The key is the same in every process and in stored records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BuildKey(pub u64);

impl BuildKey {
    /// Returns the key of a version of a service's software.
    pub fn from_names(service: &str, version: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(service.as_bytes());
        // No name contains a line feed, so that different pairs of names give different inputs.
        hasher.update(b"\n");
        hasher.update(version.as_bytes());
        Self(hasher.digest())
    }
}
