//! What an entry knows of the limits that backend servers name, and tells the other entries.

use domain::{InstanceKey, RequestRate};
use ledger::{FactReport, LimitReport};
use routing::{BackendServer, ServerKey, ServerLimit};
use slog::info;

use crate::dialect::LimitNotice;
use crate::state::{EntryState, lock};

/// The answer from which the entry learns something about a backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerTrace<'a> {
    /// Id of the request that was answered.
    pub(crate) request: &'a str,
    /// When the request was sent, in milliseconds since the start of the entry.
    pub(crate) sent_at_ms: u64,
}

impl EntryState {
    /// Records what an answer of a backend server says of the requests that it takes.
    pub(crate) fn record_limit(
        &self,
        key: ServerKey,
        server: &BackendServer,
        notice: LimitNotice,
        answer: AnswerTrace<'_>,
    ) {
        let mut limits = lock(&self.limits);
        let instance = server.instance();
        match notice {
            LimitNotice::Limited(rate) => {
                let before = limits.limit(key).map(|limit| limit.rate.0);
                if limits.record_limited(key, rate, self.now_ms()) {
                    info!(self.log, "backend server limits its requests"; "server" => &server.name,
                        "per_second_thousandths" => rate.0, "before" => before, "request" => answer.request);
                }
                if limits.must_report(key, self.now_ms()) {
                    self.report_limit(instance, Some(rate));
                }
            }
            LimitNotice::Unlimited => {
                if let Some(lifted) = limits.record_unlimited(key, answer.sent_at_ms) {
                    info!(self.log, "backend server lifts its limit"; "server" => &server.name,
                        "before" => lifted.rate.0, "heard_ms_ago" => self.now_ms() - lifted.heard_at_ms,
                        "request" => answer.request);
                    let ledger = self.ledger.clone();
                    tokio::spawn(async move { ledger.report_lifted(instance, 0).await });
                    self.report_limit(instance, None);
                }
            }
            LimitNotice::Malformed => {
                if self.line_limiter.try_acquire() {
                    info!(self.log, "limit of a backend server cannot be read, ignored"; "server" => &server.name,
                        "request" => answer.request);
                }
            }
        }
    }

    /// Tells the other entries that a server has just named a limit, or lifted it.
    fn report_limit(&self, instance: InstanceKey, rate: Option<RequestRate>) {
        let ledger = self.ledger.clone();
        let report = LimitReport {
            instance,
            rate,
            heard_ms_ago: 0,
        };
        tokio::spawn(async move { ledger.report_facts(vec![FactReport::Limit(report)]).await });
    }

    /// Adopts the limits of backend servers that other entries have reported.
    pub(crate) fn apply_limits(&self, reports: &[LimitReport]) {
        let now_ms = self.now_ms();
        let directory = lock(&self.directory);
        let mut limits = lock(&self.limits);
        for (key, server) in directory.all() {
            let found = reports.binary_search_by_key(&server.instance(), |report| report.instance);
            let Ok(index) = found else { continue };
            let report = reports[index];
            let heard_at_ms = now_ms.saturating_sub(report.heard_ms_ago);
            let is_changed = match report.rate {
                Some(rate) => limits.adopt(key, rate, heard_at_ms),
                None => limits.record_unlimited(key, heard_at_ms).is_some(),
            };
            if is_changed {
                info!(self.log, "limit of a backend server learned from another entry"; "server" => &server.name,
                    "per_second_thousandths" => report.rate.map(|rate| rate.0), "heard_ms_ago" => report.heard_ms_ago);
            }
        }
    }

    /// Returns the limit of a server, as an answer named it last.
    pub(crate) fn limit(&self, key: ServerKey) -> Option<ServerLimit> {
        lock(&self.limits).limit(key)
    }

    /// Records that a limited server takes the next request after `wait_ms` milliseconds.
    pub(crate) fn record_next_permit(&self, key: ServerKey, wait_ms: u64) {
        lock(&self.limits).record_next(key, self.now_ms() + wait_ms);
    }

    /// Forgets the limit of a server, which has lifted it in an answer to another entry.
    pub(crate) fn forget_limit(&self, key: ServerKey, server: &str) {
        lock(&self.limits).remove(key);
        info!(self.log, "backend server has lifted its limit towards another entry"; "server" => server);
    }
}
