//! Memory of model servers: what the requests at a server need, against what the server has.
//!
//! Load pattern: requests of very different sizes on servers with a dozen or two slots each. A few long prompts fill a
//! server's memory long before its slots, and a server whose requests exceed its memory crashes with all of them. Each
//! request counts with the tokens of its prompt, of which a prefix that several requests share counts once for a server,
//! and with all tokens that it may still generate. An entry knows its own requests; those of the others are estimated
//! from the number of all open turns.

use crate::directory::ServerKey;
use crate::prefix::PromptPrefix;

/// Divisor of the weight of one request in the average size of a request.
const MEAN_DIVISOR: u64 = 16;
/// Limit on the stated size of a request or server, in tokens; it keeps the sums below from overflowing.
const MAX_TOKENS: u64 = 1 << 32;

/// Memory that a request needs at a model server, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryDemand {
    /// Leading part of the prompt that other requests share.
    pub prefix: Option<PromptPrefix>,
    /// Tokens of the prompt beyond the prefix, and the tokens that the request may generate.
    pub own_tokens: u64,
}

impl MemoryDemand {
    /// Returns the demand of a request with a prompt of `prompt_tokens` that may generate `output_tokens`.
    pub fn new(prefix: Option<PromptPrefix>, prompt_tokens: u64, output_tokens: u64) -> Self {
        let prefix_tokens = prefix.map_or(0, |prefix| prefix.tokens);
        let session_tokens = prompt_tokens.saturating_sub(prefix_tokens).min(MAX_TOKENS);
        Self {
            prefix,
            own_tokens: session_tokens + output_tokens.min(MAX_TOKENS),
        }
    }

    fn prefix_tokens(self) -> u64 {
        self.prefix.map_or(0, |prefix| prefix.tokens.min(MAX_TOKENS))
    }
}

/// Whether a server has the memory for one more request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryFit {
    /// It has, as far as can be expected.
    Fits,
    /// It has not, if the other entries' requests are as large as those of this entry.
    MayExceed,
    /// It has not, whatever the other entries have sent.
    Exceeds,
}

/// A prefix that requests at a server share.
#[derive(Debug, Clone, Copy)]
struct HeldPrefix {
    prefix: PromptPrefix,
    requests: u32,
}

/// This entry's requests at a server.
#[derive(Debug, Clone, Default)]
struct ServerUse {
    requests: u64,
    own_tokens: u64,
    /// Sorted by key.
    prefixes: Vec<HeldPrefix>,
}

impl ServerUse {
    fn prefix_tokens(&self) -> u64 {
        let tokens = self
            .prefixes
            .iter()
            .map(|held| held.prefix.tokens.min(MAX_TOKENS));
        tokens.sum()
    }

    fn position_of(&self, prefix: PromptPrefix) -> Result<usize, usize> {
        self.prefixes
            .binary_search_by_key(&prefix.key, |held| held.prefix.key)
    }

    fn begin(&mut self, demand: MemoryDemand) {
        self.requests += 1;
        self.own_tokens += demand.own_tokens;
        let Some(prefix) = demand.prefix else { return };
        match self.position_of(prefix) {
            Ok(index) => self.prefixes[index].requests += 1,
            Err(index) => self.prefixes.insert(index, HeldPrefix { prefix, requests: 1 }),
        }
    }

    fn end(&mut self, demand: MemoryDemand) {
        self.requests = self.requests.saturating_sub(1);
        self.own_tokens = self.own_tokens.saturating_sub(demand.own_tokens);
        let Some(index) = demand.prefix.and_then(|prefix| self.position_of(prefix).ok()) else {
            return;
        };
        let held = &mut self.prefixes[index];
        held.requests -= 1;
        if held.requests == 0 {
            self.prefixes.remove(index);
        }
    }
}

/// Tracks the memory that this entry's requests need at the servers of one service.
#[derive(Debug, Clone, Default)]
pub struct MemoryTracker {
    /// Sorted by key.
    servers: Vec<(ServerKey, ServerUse)>,
    /// Requests at all servers.
    requests: u64,
    /// Average tokens of a request without its prefix, and of a prefix.
    mean: Option<(u64, u64)>,
}

impl MemoryTracker {
    /// Counts a request that is sent to a server.
    pub fn begin(&mut self, key: ServerKey, demand: MemoryDemand) {
        let index = self.position_of(key).unwrap_or_else(|index| {
            self.servers.insert(index, (key, ServerUse::default()));
            index
        });
        self.servers[index].1.begin(demand);
        self.requests += 1;
        let sample = (demand.own_tokens, demand.prefix_tokens());
        let (own, prefix) = self.mean.unwrap_or(sample);
        let average = |mean: u64, sample: u64| (mean * (MEAN_DIVISOR - 1) + sample).div_ceil(MEAN_DIVISOR);
        self.mean = Some((average(own, sample.0), average(prefix, sample.1)));
    }

    /// Removes a request that has ended.
    pub fn end(&mut self, key: ServerKey, demand: MemoryDemand) {
        let Ok(index) = self.position_of(key) else { return };
        let server_use = &mut self.servers[index].1;
        server_use.end(demand);
        if server_use.requests == 0 {
            self.servers.remove(index);
        }
        self.requests = self.requests.saturating_sub(1);
    }

    /// Returns the number of requests of average size for which a server has memory; `None` before the first request.
    pub fn mean_slots(&self, server_tokens: u64) -> Option<u64> {
        let (own, prefix) = self.mean?;
        Some(server_tokens.saturating_sub(prefix) / own.max(1))
    }

    fn position_of(&self, key: ServerKey) -> Result<usize, usize> {
        self.servers.binary_search_by_key(&key, |(key, _)| *key)
    }
}

/// Inputs to the question whether a server has the memory for a request.
#[derive(Debug, Clone, Copy)]
pub struct MemoryQuery<'a> {
    /// This entry's requests.
    pub tracker: &'a MemoryTracker,
    /// What the request needs.
    pub demand: MemoryDemand,
    /// Memory of each server in tokens.
    pub server_tokens: u64,
    /// Open turns of all entries at all servers of the service.
    pub open_turns: u64,
    /// Slots of all servers of the service.
    pub slots: u64,
}

impl MemoryQuery<'_> {
    /// Returns whether a server with this number of slots has the memory for the request.
    pub fn fit(&self, key: ServerKey, capacity: u32) -> MemoryFit {
        let index = self.tracker.position_of(key).ok();
        let server_use = index.map(|index| &self.tracker.servers[index].1);
        let shares_prefix = |server_use: &ServerUse| {
            let prefix = self.demand.prefix;
            prefix.is_some_and(|prefix| server_use.position_of(prefix).is_ok())
        };
        let lacked_prefix = if server_use.is_some_and(shares_prefix) {
            0
        } else {
            self.demand.prefix_tokens()
        };
        let held = server_use.map_or(0, |held| held.own_tokens + held.prefix_tokens());
        let known = held + self.demand.own_tokens + lacked_prefix;
        if known > self.server_tokens {
            return MemoryFit::Exceeds;
        }
        if known + self.others_tokens(capacity) > self.server_tokens {
            return MemoryFit::MayExceed;
        }
        MemoryFit::Fits
    }

    /// Returns the expected tokens of the other entries' requests at a server. They are taken to share this entry's
    /// prefixes.
    fn others_tokens(&self, capacity: u32) -> u64 {
        let others = self.open_turns.saturating_sub(self.tracker.requests);
        let mean_tokens = self.tracker.mean.map_or(0, |(own, _)| own);
        let tokens = others
            .saturating_mul(mean_tokens)
            .saturating_mul(u64::from(capacity));
        tokens / self.slots.max(1)
    }
}
