//! How the quota of a workspace is divided among ledger hosts.
//!
//! Load pattern: tens of workspaces, of which few send most of the requests and one may send several times its usual number
//! for seconds, at tens of entries that see uneven parts of it. Any hosts that answer hand out permits, and no entry, cut
//! off or not, sends a request without one. The shares are such that all hosts together stay within the tolerance, also
//! while some entries reach only some of them.

use domain::{RequestQuota, RequestRate, WorkspaceKey};
use serde::{Deserialize, Serialize};

/// Time after which a permit that was not used has expired, in milliseconds: many times the duration of an attempt's
/// preparations.
pub const PERMIT_VALIDITY_MS: u64 = 250;
/// Thousandths of a request.
const REQUEST_SCALE: u64 = 1_000;
/// Milliseconds of a second.
const SECOND_MS: u64 = 1_000;
/// Part of a quota's rate in percent that the hosts hand out together while one of them is away, if the tolerance allows
/// it: more than workspaces usually use.
const NEEDED_RATE_PERCENT: u64 = 70;
/// Divisor of a quota's rate that gives the smallest rate of all parts together. Below it, the parts are of less use than a
/// single host.
const MIN_RATE_DIVISOR: u64 = 2;

/// What the platform tolerates beyond a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaBounds {
    /// Length of the sliding window in which requests are counted, in milliseconds.
    pub window_ms: u64,
    /// Tolerated excess in thousandths of the quota of a window.
    pub overshoot_permille: u64,
    /// Requests that are tolerated in a window besides.
    pub slack: u64,
}

/// Permits that one host may hand out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitTerms {
    /// Rate of the permits.
    pub rate: RequestRate,
    /// Permits that may be handed out at once after a pause, in thousandths; a host hands out at least one.
    pub burst: u64,
}

impl Default for QuotaBounds {
    /// Returns the bounds of a platform that tolerates nothing beyond a quota.
    fn default() -> Self {
        Self {
            window_ms: 5_000,
            overshoot_permille: 0,
            slack: 0,
        }
    }
}

/// How the hosts of a workspace hand out its permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaShares {
    /// The first host hands out all permits; nobody does while an entry cannot reach it.
    Single(PermitTerms),
    /// Each host hands out its part.
    Split {
        /// An even part, while an entry reaches all hosts.
        even: PermitTerms,
        /// The largest part with which all hosts together stay within the tolerance, while it does not.
        most: PermitTerms,
    },
}

impl QuotaShares {
    /// Divides a quota among `hosts` hosts.
    ///
    /// The hosts together stay within the tolerance also while a further one that replaces one of them begins with its
    /// whole burst, and while permits are used up to [`PERMIT_VALIDITY_MS`] after they were handed out. The tolerance goes
    /// first to the rates that the others need while one host is away, and what small quotas leave of it to their bursts,
    /// as callers send the requests of a program in groups.
    pub fn new(quota: RequestQuota, bounds: QuotaBounds, hosts: usize) -> Self {
        let count = hosts.max(1) as u64;
        let rate = quota.rate.0;
        let burst = (u64::from(quota.burst) * REQUEST_SCALE).max(REQUEST_SCALE);
        let single = Self::Single(PermitTerms {
            rate: quota.rate,
            burst,
        });
        if count == 1 {
            return single;
        }
        let usable = usable_requests(quota, bounds, count);
        let of_window = rate.saturating_mul(bounds.window_ms) / SECOND_MS;
        let wanted = of_window * count * NEEDED_RATE_PERCENT / (100 * (count - 1));
        let spare_burst = usable.saturating_sub(wanted) / (count + 1);
        let burst_part = spare_burst.max(burst / count).max(REQUEST_SCALE);
        let left = usable.saturating_sub((count + 1) * burst_part);
        if left * MIN_RATE_DIVISOR < of_window {
            return single;
        }
        let most = u128::from(rate) * u128::from(left) / u128::from(count * of_window.max(1));
        let most = u64::try_from(most).unwrap_or(u64::MAX).min(rate);
        let part = |rate| PermitTerms {
            rate: RequestRate(rate),
            burst: burst_part,
        };
        Self::Split {
            even: part(most.min(rate / count)),
            most: part(most),
        }
    }
}

/// Returns the thousandths of requests that `count` hosts may hand out in a window, with a margin for permits that are used
/// late and for one request of each host.
fn usable_requests(quota: RequestQuota, bounds: QuotaBounds, count: u64) -> u64 {
    let rate = quota.rate.0;
    let of_window =
        rate.saturating_mul(bounds.window_ms) / SECOND_MS + u64::from(quota.burst) * REQUEST_SCALE;
    let factor = REQUEST_SCALE + bounds.overshoot_permille;
    let tolerated = of_window.saturating_mul(factor) / REQUEST_SCALE + bounds.slack * REQUEST_SCALE;
    let margin = rate * PERMIT_VALIDITY_MS / SECOND_MS + (count + 1) * REQUEST_SCALE;
    tolerated.saturating_sub(margin)
}

/// Whether a request begins something.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaClass {
    /// It begins a program, and leaves a part of the burst to those under way.
    New,
    /// It belongs to a program that is under way.
    UnderWay,
}

/// An entry's request for the permit to send one request of a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaRequest {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Version of the configuration that the terms come from.
    pub version: u64,
    /// The host's part while all hosts of the workspace are reached.
    pub even: PermitTerms,
    /// The host's largest part.
    pub most: PermitTerms,
    /// Whether the entry cannot reach some host of the workspace.
    pub is_degraded: bool,
    /// Class of the request.
    pub class: QuotaClass,
    /// Longest time for which the request waits for its permit, in milliseconds.
    pub max_wait_ms: u64,
}
