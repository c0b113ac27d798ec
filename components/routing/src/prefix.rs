//! Backend servers that hold a shared prompt prefix.
//!
//! Load pattern: the programs share a few long prefixes that together exceed the cache of one server. Spread
//! over all servers, they evict one another, and a server reads a prefix again for nearly every program. Each
//! prefix is therefore placed on a share of the servers, in proportion to its load, so that the prefixes of a
//! server fit into its cache.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::directory::{ServerDirectory, ServerKey};

/// Percentage of a server's cache for shared prefixes. The rest is left to running requests and to the
/// sessions between two turns.
const PREFIX_CACHE_PERCENT: u64 = 25;
/// Smallest number of servers for a prefix; with one, its loss would make every program of the prefix slow.
const MIN_COPIES: usize = 2;
/// Interval in milliseconds after which the requests counted for a prefix lose half of their weight.
const HALF_LIFE_MS: u64 = 10_000;
/// Weight of one request.
const REQUEST_WEIGHT: u64 = 1_000;
/// Weight that every prefix has beside its requests. It keeps the number of servers of a prefix steady while
/// an entry has seen only a few requests.
const BASE_WEIGHT: u64 = 4 * REQUEST_WEIGHT;
/// Limit on the stated size of a prefix, in tokens; it keeps the sums below from overflowing.
const MAX_PREFIX_TOKENS: u64 = 1 << 24;
/// Limit on the stated size of a cache, in tokens.
const MAX_CACHE_TOKENS: u64 = 1 << 32;
/// Limit on the number of prefixes of one service; the one with the fewest requests is dropped.
const MAX_PREFIXES: usize = 256;

/// The leading part of a prompt, which other programs' prompts begin with, too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PromptPrefix {
    /// Hash of the prefix's id.
    pub key: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// A prefix and its recent requests.
#[derive(Debug, Clone, Copy)]
struct PrefixLoad {
    prefix: PromptPrefix,
    weight: u64,
}

/// Prefixes of the requests for one service that an entry has recently received, sorted by key.
#[derive(Debug, Clone, Default)]
pub struct PrefixTracker {
    loads: Vec<PrefixLoad>,
    halved_at_ms: u64,
}

impl PrefixTracker {
    /// Counts a request that begins with a prefix.
    pub fn record(&mut self, prefix: PromptPrefix, now_ms: u64) {
        self.halve_weights(now_ms);
        let prefix = PromptPrefix {
            tokens: prefix.tokens.min(MAX_PREFIX_TOKENS),
            ..prefix
        };
        match self
            .loads
            .binary_search_by_key(&prefix.key, |load| load.prefix.key)
        {
            Ok(index) => {
                let load = &mut self.loads[index];
                load.prefix = prefix;
                load.weight += REQUEST_WEIGHT;
            }
            Err(index) => {
                let load = PrefixLoad {
                    prefix,
                    weight: REQUEST_WEIGHT,
                };
                self.loads.insert(index, load);
                self.limit_prefixes();
            }
        }
    }

    /// Returns the number of servers on which a prefix is placed, or `None` if the prefixes of all programs
    /// fit into the cache of each server, so that every server can serve every prefix.
    pub fn copies(&self, prefix: PromptPrefix, servers: usize, cache_tokens: u64) -> Option<usize> {
        let budget = cache_tokens.min(MAX_CACHE_TOKENS) * PREFIX_CACHE_PERCENT / 100;
        let total: u64 = self.loads.iter().map(|load| load.prefix.tokens).sum();
        if total <= budget {
            return None;
        }
        let index = self
            .loads
            .binary_search_by_key(&prefix.key, |load| load.prefix.key)
            .ok()?;
        let share = |load: &PrefixLoad| load.weight + BASE_WEIGHT;
        let demand: u64 = self
            .loads
            .iter()
            .map(|load| share(load) * load.prefix.tokens)
            .sum();
        let room = budget * servers as u64;
        let copies = room
            .saturating_mul(share(&self.loads[index]))
            .div_ceil(demand.max(1));
        Some(
            usize::try_from(copies)
                .unwrap_or(usize::MAX)
                .clamp(MIN_COPIES, servers.max(MIN_COPIES)),
        )
    }

    fn halve_weights(&mut self, now_ms: u64) {
        while now_ms.saturating_sub(self.halved_at_ms) >= HALF_LIFE_MS {
            self.halved_at_ms += HALF_LIFE_MS;
            self.loads.retain_mut(|load| {
                load.weight /= 2;
                load.weight > REQUEST_WEIGHT / 4
            });
            if self.loads.is_empty() {
                self.halved_at_ms = now_ms;
            }
        }
    }

    fn limit_prefixes(&mut self) {
        if self.loads.len() <= MAX_PREFIXES {
            return;
        }
        let lightest = (0..self.loads.len()).min_by_key(|index| self.loads[*index].weight);
        if let Some(index) = lightest {
            self.loads.remove(index);
        }
    }
}

/// Returns the `copies` servers of a service on which a prefix is placed, sorted by key. The choice depends only
/// on the prefix and on the names of the servers, so that all entries agree on it; another number of copies
/// adds or removes single servers.
pub fn prefix_servers(
    directory: &ServerDirectory,
    service: &str,
    prefix: PromptPrefix,
    copies: usize,
) -> Vec<ServerKey> {
    let mut ranked: Vec<(u64, ServerKey)> = directory
        .ready(service)
        .map(|(key, server)| (xxh3_64_with_seed(server.name.as_bytes(), prefix.key), key))
        .collect();
    if copies < ranked.len() {
        ranked.select_nth_unstable(copies);
        ranked.truncate(copies);
    }
    let mut keys: Vec<ServerKey> = ranked.into_iter().map(|(_, key)| key).collect();
    keys.sort_unstable();
    keys
}
