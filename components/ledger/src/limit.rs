//! Limits of backend servers that entries tell one another.
//!
//! Load pattern: a server among hundreds of entries gets a request of each of them every few seconds or minutes. Until all
//! have heard of its limit from its own answers, they would send as much as before.

use domain::{InstanceKey, RequestRate};
use serde::{Deserialize, Serialize};

/// Time after the latest report for which a limit is remembered, in milliseconds.
const LIMIT_RETENTION_MS: u64 = 180_000;
/// Time for which it is remembered that a limit was lifted, in milliseconds; longer than any answer is on its way.
const LIFT_RETENTION_MS: u64 = 30_000;

/// What a server has said of the requests that it takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitReport {
    /// Start of the server.
    pub instance: InstanceKey,
    /// The limit; `None` if it has been lifted.
    pub rate: Option<RequestRate>,
    /// Time since the server said so, in milliseconds.
    pub heard_ms_ago: u64,
}

/// A report with the time of the server's statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeardLimit {
    instance: InstanceKey,
    rate: Option<RequestRate>,
    heard_at_ms: u64,
}

impl HeardLimit {
    const fn retention_ms(&self) -> u64 {
        if self.rate.is_some() {
            LIMIT_RETENTION_MS
        } else {
            LIFT_RETENTION_MS
        }
    }
}

/// The limits that a host has heard of, sorted by the server.
#[derive(Debug, Clone, Default)]
pub struct LimitTable {
    limits: Vec<HeardLimit>,
    changes: u64,
}

impl LimitTable {
    /// Records reports unless something later is known. `now_ms` is the time in milliseconds of a monotonic clock.
    pub fn record(&mut self, reports: &[LimitReport], now_ms: u64) {
        for report in reports {
            let heard = HeardLimit {
                instance: report.instance,
                rate: report.rate,
                heard_at_ms: now_ms.saturating_sub(report.heard_ms_ago),
            };
            match self
                .limits
                .binary_search_by_key(&heard.instance, |limit| limit.instance)
            {
                Ok(index) => {
                    let limit = &mut self.limits[index];
                    if heard.heard_at_ms < limit.heard_at_ms {
                        continue;
                    }
                    // Entries that know the limit hear each new rate from the server or with a permit.
                    if limit.rate.is_some() != heard.rate.is_some() {
                        self.changes += 1;
                    }
                    *limit = heard;
                }
                Err(index) => {
                    self.limits.insert(index, heard);
                    self.changes += 1;
                }
            }
        }
        self.prune(now_ms);
    }

    /// Forgets limits that no entry has reported for a while.
    pub fn prune(&mut self, now_ms: u64) {
        self.limits
            .retain(|limit| limit.heard_at_ms + limit.retention_ms() > now_ms);
    }

    /// Returns all limits, sorted by the server.
    pub fn reports(&self, now_ms: u64) -> Vec<LimitReport> {
        let reports = self.limits.iter().map(|limit| LimitReport {
            instance: limit.instance,
            rate: limit.rate,
            heard_ms_ago: now_ms.saturating_sub(limit.heard_at_ms),
        });
        reports.collect()
    }

    /// Returns the number of limits that were named first or lifted.
    pub const fn changes(&self) -> u64 {
        self.changes
    }
}
