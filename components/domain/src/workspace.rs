//! Workspaces: customers that share the system, each with its own callers.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::rate::RequestRate;

/// Identifies a workspace by the 64-bit XXH3 hash of its name, which is the same in every process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkspaceKey(pub u64);

impl WorkspaceKey {
    /// Returns the key of the workspace with this name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Requests that a workspace may send through all entries together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestQuota {
    /// Rate at which the quota is replenished.
    pub rate: RequestRate,
    /// Requests that may exceed the rate after a pause.
    pub burst: u32,
}
