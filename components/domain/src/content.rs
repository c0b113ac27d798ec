//! Content of requests.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Bytes of a body from which the key of similar requests is taken.
const LEADING_BYTES: usize = 1_024;

/// Identifies what a request asks for by a 64-bit XXH3 hash, which is the same in every process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentKey(pub u64);

/// What a request asks for, whichever attempt, program or session it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestContent {
    /// Key of the method, the host, the path and the whole body.
    pub whole: ContentKey,
    /// Key of the method, the host, the path and the beginning of the body. Requests share it whose bodies grow with
    /// what was said before.
    pub leading: ContentKey,
}

impl RequestContent {
    /// Returns the content of a request. `target` is its path with the query.
    pub fn new(method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [method, host, target] {
            hasher.update(part.as_bytes());
            // No part contains a line feed, so that different parts give different inputs.
            hasher.update(b"\n");
        }
        let (leading, rest) = body.split_at(body.len().min(LEADING_BYTES));
        hasher.update(leading);
        let leading = ContentKey(hasher.digest());
        hasher.update(rest);
        Self {
            whole: ContentKey(hasher.digest()),
            leading,
        }
    }

    /// Returns both keys; they are equal for a short body.
    pub const fn keys(self) -> [ContentKey; 2] {
        [self.whole, self.leading]
    }
}

impl fmt::Display for ContentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
