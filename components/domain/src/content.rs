//! Content of requests.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Identifies what a request asks for, whichever attempt, program or session it belongs to: the 64-bit XXH3 hash of its
/// method, host, path and body. The key is the same in every process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentKey(pub u64);

impl ContentKey {
    /// Returns the key of a request. `target` is its path with the query.
    pub fn from_request(method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [method, host, target] {
            hasher.update(part.as_bytes());
            // No part contains a line feed, so that different parts give different inputs.
            hasher.update(b"\n");
        }
        hasher.update(body);
        Self(hasher.digest())
    }
}

impl fmt::Display for ContentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
