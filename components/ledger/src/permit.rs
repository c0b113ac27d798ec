//! Permits to send requests to backend servers that limit them.
//!
//! Load pattern: up to hundreds of entries send requests to a server that takes a few each second from all of them
//! together. One ledger host hands out the server's permits, so that an entry with many callers may use what the others
//! leave. Permits are handed out at equal intervals (the generic cell rate algorithm), with a credit for the intervals
//! of a short time without requests. All of it is in memory: a host that starts anew begins without credit to lose.

use domain::{InstanceKey, RequestRate};
use serde::{Deserialize, Serialize};

/// Time without requests for which a server's permits are still handed out later, in microseconds.
const CREDIT_US: u64 = 500_000;
/// Time after its last use after which a server is forgotten, in microseconds: longer than any wait for a permit.
const RETENTION_US: u64 = 60_000_000;
/// Smallest rate at which permits are handed out, in thousandths of a request per second. Without any request an entry
/// would never learn that a limit has been lifted.
const MIN_RATE: RequestRate = RequestRate(250);
/// Microseconds of a second, times the thousandths of a request in which a rate is stated.
const RATE_UNIT_US: u64 = 1_000_000 * 1_000;

/// An entry's request for the permit to send one request to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitRequest {
    /// Start of the server that limits its requests.
    pub instance: InstanceKey,
    /// Limit that the server has named.
    pub rate: RequestRate,
    /// Time since the server named it, in milliseconds.
    pub heard_ms_ago: u64,
    /// Longest time for which the entry waits before it sends the request, in milliseconds.
    pub max_wait_ms: u64,
}

/// Answer to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PermitAnswer {
    /// The request may be sent after this time in milliseconds.
    Granted {
        /// Time to wait.
        wait_ms: u64,
        /// Time until the next permit, in milliseconds.
        next_wait_ms: u64,
    },
    /// Earlier requests have used the limit. Nothing is reserved.
    Refused {
        /// Time until the next permit, in milliseconds.
        wait_ms: u64,
    },
    /// The server has lifted its limit since the entry heard of it.
    Lifted,
}

/// A server whose permits the host hands out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PacedServer {
    instance: InstanceKey,
    /// Latest limit that the server has named; `None` after it has lifted it.
    rate: Option<RequestRate>,
    /// When the server named or lifted it.
    heard_at_us: u64,
    /// When the next permit is due.
    next_us: u64,
    used_at_us: u64,
}

/// The servers whose permits a host hands out, sorted by their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PermitTable {
    servers: Vec<PacedServer>,
}

impl PermitTable {
    /// Decides on a request for a permit. `now_us` is the time in microseconds of a monotonic clock.
    pub fn decide(&mut self, request: PermitRequest, now_us: u64) -> PermitAnswer {
        let heard_at_us = now_us.saturating_sub(request.heard_ms_ago.saturating_mul(1_000));
        let server = self.heard(request.instance, Some(request.rate), heard_at_us, now_us);
        let Some(rate) = server.rate else {
            return PermitAnswer::Lifted;
        };
        let interval_us = RATE_UNIT_US / rate.max(MIN_RATE).0;
        let due_us = server.next_us.max(now_us.saturating_sub(CREDIT_US));
        let wait_ms = due_us.saturating_sub(now_us).div_ceil(1_000);
        if wait_ms > request.max_wait_ms {
            return PermitAnswer::Refused { wait_ms };
        }
        server.next_us = due_us + interval_us;
        let next_wait_ms = server.next_us.saturating_sub(now_us).div_ceil(1_000);
        PermitAnswer::Granted {
            wait_ms,
            next_wait_ms,
        }
    }

    /// Records that a server has lifted its limit some milliseconds ago.
    pub fn lift(&mut self, instance: InstanceKey, heard_ms_ago: u64, now_us: u64) {
        let heard_at_us = now_us.saturating_sub(heard_ms_ago.saturating_mul(1_000));
        self.heard(instance, None, heard_at_us, now_us);
    }

    /// Removes the servers that have not been asked for a while.
    pub fn prune(&mut self, now_us: u64) {
        self.servers
            .retain(|server| server.used_at_us + RETENTION_US > now_us);
    }

    /// Returns a server after what it has said at `heard_at_us`, unless something later is known.
    fn heard(
        &mut self,
        instance: InstanceKey,
        rate: Option<RequestRate>,
        heard_at_us: u64,
        now_us: u64,
    ) -> &mut PacedServer {
        let found = self
            .servers
            .binary_search_by_key(&instance, |server| server.instance);
        let index = found.unwrap_or_else(|index| {
            let server = PacedServer {
                instance,
                rate,
                heard_at_us,
                next_us: now_us,
                used_at_us: now_us,
            };
            self.servers.insert(index, server);
            index
        });
        let server = &mut self.servers[index];
        server.used_at_us = now_us;
        if heard_at_us > server.heard_at_us {
            server.heard_at_us = heard_at_us;
            server.rate = rate;
        }
        server
    }
}
