//! Permits to send requests: to backend servers that limit them, and within the quotas of workspaces.
//!
//! Load pattern: up to hundreds of entries send requests to a server that takes a few each second from all of them
//! together, or for a workspace with a quota. Ledger hosts hand out the permits, so that an entry with many callers may use
//! what the others leave. Permits are handed out at equal intervals (the generic cell rate algorithm), with a credit for
//! the intervals of a short time without requests. All of it is in memory: a host that starts anew begins without credit
//! to lose.

use domain::{ContentKey, InstanceKey, RequestRate, WorkspaceKey};
use serde::{Deserialize, Serialize};

use crate::quota::{PermitTerms, QuotaClass, QuotaRequest};

/// Time without requests for which a server's permits are still handed out later, in microseconds.
const CREDIT_US: u64 = 500_000;
/// Divisor of a quota's burst that gives the part which is left to programs that are under way.
const RESERVE_DIVISOR: u64 = 2;
/// Time after its last use after which a server or workspace is forgotten, in microseconds: longer than any wait for a permit.
const RETENTION_US: u64 = 60_000_000;
/// Smallest rate at which permits are handed out, in thousandths of a request per second. Without any request an entry
/// would never learn that a limit has been lifted.
const MIN_RATE: RequestRate = RequestRate(250);
/// Microseconds of a second, times the thousandths of a request in which a rate is stated.
const RATE_UNIT_US: u64 = 1_000_000 * 1_000;

/// What permits are handed out for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PermitKey {
    /// Requests to a start of a backend server.
    Server(InstanceKey),
    /// Requests of a workspace.
    Workspace(WorkspaceKey),
}

/// An entry's request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PermitAsk {
    /// To send one request to a server.
    Server(PermitRequest),
    /// To send one request of a workspace.
    Workspace(QuotaRequest),
    /// To send one request that is on trial, as servers have crashed under it.
    Trial(ContentKey),
}

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

/// Answer to a [`PermitAsk`].
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
    /// The server has lifted its limit since the entry heard of it, or the request is not on trial.
    Lifted,
    /// The host hands out no permits of workspaces: it has lost touch with the other ledger hosts, or retires.
    Unavailable,
}

/// When the next permits of one kind are due.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct PermitPacer {
    /// When the next permit is due without any credit, in microseconds.
    next_us: u64,
}

impl PermitPacer {
    /// Returns when the next permit is due after at most `credit_us` without requests.
    fn due_us(self, credit_us: u64, now_us: u64) -> u64 {
        self.next_us.max(now_us.saturating_sub(credit_us))
    }

    /// Takes the permit that is due at `due_us`.
    const fn take(&mut self, due_us: u64, interval_us: u64) {
        self.next_us = due_us + interval_us;
    }

    const fn give_back(&mut self, interval_us: u64) {
        self.next_us = self.next_us.saturating_sub(interval_us);
    }
}

/// What a server has said of the requests that it takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct NamedLimit {
    /// Latest limit that the server has named; `None` after it has lifted it.
    rate: Option<RequestRate>,
    /// When the server named or lifted it.
    heard_at_us: u64,
}

/// The part of a workspace's quota that the host hands out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldQuota {
    /// Version of the configuration that the terms come from.
    version: u64,
    even: PermitTerms,
    most: PermitTerms,
    /// Permits within the largest part; the row's own pacer counts those within the even part.
    most_pacer: PermitPacer,
}

/// Permits of one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PermitRow {
    key: PermitKey,
    /// Set in the row of a server.
    limit: Option<NamedLimit>,
    /// Set in the row of a workspace.
    quota: Option<HeldQuota>,
    pacer: PermitPacer,
    used_at_us: u64,
}

/// Returns the time between two permits in microseconds.
fn interval_us(rate: RequestRate) -> u64 {
    RATE_UNIT_US / rate.0.max(1)
}

/// Returns the credit in microseconds with which a burst may be handed out at once.
fn credit_us(terms: PermitTerms) -> u64 {
    /// Thousandths of the one permit that needs no credit.
    const ONE_PERMIT: u64 = 1_000;
    let credit = u128::from(interval_us(terms.rate)) * u128::from(terms.burst.saturating_sub(ONE_PERMIT));
    u64::try_from(credit / u128::from(ONE_PERMIT)).unwrap_or(u64::MAX)
}

/// The permits that a host hands out, sorted by their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PermitTable {
    rows: Vec<PermitRow>,
}

impl PermitTable {
    /// Decides on a request for the permit of a server. `now_us` is the time in microseconds of a monotonic clock.
    pub fn decide(&mut self, request: PermitRequest, now_us: u64) -> PermitAnswer {
        let heard_at_us = now_us.saturating_sub(request.heard_ms_ago.saturating_mul(1_000));
        let (limit, pacer) = self.heard(request.instance, Some(request.rate), heard_at_us, now_us);
        let Some(rate) = limit.rate else {
            return PermitAnswer::Lifted;
        };
        let due_us = pacer.due_us(CREDIT_US, now_us);
        let wait_ms = due_us.saturating_sub(now_us).div_ceil(1_000);
        if wait_ms > request.max_wait_ms {
            return PermitAnswer::Refused { wait_ms };
        }
        pacer.take(due_us, interval_us(rate.max(MIN_RATE)));
        PermitAnswer::Granted {
            wait_ms,
            next_wait_ms: pacer.next_us.saturating_sub(now_us).div_ceil(1_000),
        }
    }

    /// Decides on a request for the permit of a workspace. The terms of the newest configuration count. `now_us` is the time
    /// in microseconds since the start of the host.
    pub fn decide_quota(&mut self, request: QuotaRequest, now_us: u64) -> PermitAnswer {
        let (quota, pacer) = self.held_quota(request, now_us);
        let (even, most) = (credit_us(quota.even), credit_us(quota.most));
        let most_due_us = quota.most_pacer.due_us(most, now_us);
        let (due_us, credit) = if request.is_degraded {
            (most_due_us, most)
        } else {
            (most_due_us.max(pacer.due_us(even, now_us)), even)
        };
        let reserve_us = match request.class {
            QuotaClass::New => credit / RESERVE_DIVISOR,
            QuotaClass::UnderWay => 0,
        };
        let wait_ms = (due_us + reserve_us).saturating_sub(now_us).div_ceil(1_000);
        if wait_ms > request.max_wait_ms {
            return PermitAnswer::Refused { wait_ms };
        }
        let even_interval_us = interval_us(quota.even.rate);
        quota.most_pacer.take(most_due_us, interval_us(quota.most.rate));
        let even_due_us = pacer.due_us(even, now_us);
        pacer.take(even_due_us, even_interval_us);
        if request.is_degraded {
            // Entries that reach all hosts are not delayed by what the others get beyond the even part.
            pacer.next_us = pacer.next_us.min(now_us + even_interval_us);
        }
        let next_us = if request.is_degraded {
            quota.most_pacer.next_us
        } else {
            pacer.next_us.max(quota.most_pacer.next_us)
        };
        PermitAnswer::Granted {
            wait_ms,
            next_wait_ms: (next_us + reserve_us).saturating_sub(now_us).div_ceil(1_000),
        }
    }

    /// Takes back the permit of a request that was not sent.
    pub fn give_back(&mut self, key: PermitKey) {
        let Ok(index) = self.position_of(key) else {
            return;
        };
        let row = &mut self.rows[index];
        if let Some(rate) = row.limit.and_then(|limit| limit.rate) {
            row.pacer.give_back(interval_us(rate.max(MIN_RATE)));
        }
        if let Some(quota) = &mut row.quota {
            row.pacer.give_back(interval_us(quota.even.rate));
            quota.most_pacer.give_back(interval_us(quota.most.rate));
        }
    }

    /// Records that a server has lifted its limit some milliseconds ago.
    pub fn lift(&mut self, instance: InstanceKey, heard_ms_ago: u64, now_us: u64) {
        let heard_at_us = now_us.saturating_sub(heard_ms_ago.saturating_mul(1_000));
        self.heard(instance, None, heard_at_us, now_us);
    }

    /// Removes the servers and workspaces that have not been asked for a while.
    pub fn prune(&mut self, now_us: u64) {
        self.rows.retain(|row| row.used_at_us + RETENTION_US > now_us);
    }

    /// Returns a server's limit after what it has said at `heard_at_us`, unless something later is known, and its pacer.
    fn heard(
        &mut self,
        instance: InstanceKey,
        rate: Option<RequestRate>,
        heard_at_us: u64,
        now_us: u64,
    ) -> (NamedLimit, &mut PermitPacer) {
        let named = NamedLimit { rate, heard_at_us };
        let pacer = PermitPacer { next_us: now_us };
        let row = self.row(PermitKey::Server(instance), pacer, now_us);
        let limit = row.limit.get_or_insert(named);
        if heard_at_us > limit.heard_at_us {
            *limit = named;
        }
        (*limit, &mut row.pacer)
    }

    /// Returns the part of a workspace's quota that the host hands out, and its pacer. A new one has the credit of the time
    /// since the start of the host.
    fn held_quota(&mut self, request: QuotaRequest, now_us: u64) -> (&mut HeldQuota, &mut PermitPacer) {
        let QuotaRequest {
            workspace,
            version,
            even,
            most,
            ..
        } = request;
        let most_pacer = PermitPacer::default();
        let told = HeldQuota {
            version,
            even,
            most,
            most_pacer,
        };
        let row = self.row(PermitKey::Workspace(workspace), PermitPacer::default(), now_us);
        let held = row.quota.get_or_insert(told);
        if version > held.version {
            *held = HeldQuota {
                most_pacer: held.most_pacer,
                ..told
            };
        }
        (held, &mut row.pacer)
    }

    /// Returns the row of a key, which begins with `pacer` if there is none yet.
    fn row(&mut self, key: PermitKey, pacer: PermitPacer, now_us: u64) -> &mut PermitRow {
        let index = self.position_of(key).unwrap_or_else(|index| {
            let row = PermitRow {
                key,
                limit: None,
                quota: None,
                pacer,
                used_at_us: now_us,
            };
            self.rows.insert(index, row);
            index
        });
        let row = &mut self.rows[index];
        row.used_at_us = now_us;
        row
    }

    fn position_of(&self, key: PermitKey) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&key, |row| row.key)
    }
}
