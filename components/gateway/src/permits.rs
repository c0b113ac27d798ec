//! Permits that a request needs before it is sent to a backend server that limits its requests.

use std::time::{Duration, Instant};

use errors::{CallError, ResultCode, RunState};
use ledger::{PermitAnswer, PermitRequest};
use routing::BackendServer;
use slog::info;
use tokio::time::sleep;

use crate::dispatch::Dispatcher;
use crate::state::{PickedServer, whole_millis};

/// Part of the time until the deadline for which a request waits at most for a limited server, as a divisor. The rest is
/// left for the request itself.
const PERMIT_WAIT_DIVISOR: u32 = 4;
/// Longest time for which a request waits for a limited server.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(1);
/// Limit on the refused permits of one request. More servers are not asked, as they are likely to refuse it too.
const MAX_REFUSED_PERMITS: u32 = 4;
/// Time in milliseconds for which a limited server is passed over while no ledger host answers, and shortest Retry-After
/// delay of a request that is refused because of limits.
const NO_PERMIT_MS: u64 = 200;

/// Permits that one request was refused.
#[derive(Debug)]
pub(crate) struct PermitAttempts {
    refused: u32,
}

impl PermitAttempts {
    pub(crate) const fn new() -> Self {
        Self { refused: 0 }
    }

    /// Returns whether further limited servers are asked.
    pub(crate) const fn may_ask(&self) -> bool {
        self.refused < MAX_REFUSED_PERMITS
    }

    /// Makes limited servers the last choice.
    pub(crate) const fn stop_asking(&mut self) {
        self.refused = MAX_REFUSED_PERMITS;
    }
}

/// Whether a request may be sent to the chosen server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PermitOutcome {
    /// It may be sent now.
    Ready,
    /// Another server is to be chosen.
    TryAnother,
    /// Every server that could take the request has reached its limit, or none of the others has been asked for a while.
    LimitReached {
        /// Time until the chosen server is expected to take a request, in milliseconds.
        expected_ms: u64,
    },
}

impl Dispatcher {
    /// Obtains the permit to send the request to a server that limits its requests, and waits until it is due.
    pub(crate) async fn obtain_permit(&mut self, picked: &PickedServer) -> PermitOutcome {
        let Some(limit) = self.entry.limit(picked.key) else {
            return PermitOutcome::Ready;
        };
        let longest_ms = self.max_permit_wait_ms();
        if picked.wait_ms > longest_ms || !self.permits.may_ask() {
            return PermitOutcome::LimitReached {
                expected_ms: picked.wait_ms,
            };
        }
        // Beyond this time the next best server is the better choice.
        let best_ms = picked
            .spare_ms
            .map(|spare_ms| picked.wait_ms.saturating_add(spare_ms));
        let request = PermitRequest {
            instance: picked.server.instance(),
            rate: limit.rate,
            heard_ms_ago: self.entry.now_ms().saturating_sub(limit.heard_at_ms),
            max_wait_ms: best_ms.map_or(longest_ms, |best_ms| best_ms.min(longest_ms)),
        };
        let answer = self.entry.ledger.request_permit(request).await;
        self.log_permit(&picked.server, request, answer);
        let wait_ms = match answer {
            Some(PermitAnswer::Lifted) => {
                self.entry.forget_limit(picked.key, &picked.server.name);
                return PermitOutcome::Ready;
            }
            Some(PermitAnswer::Granted {
                wait_ms,
                next_wait_ms,
            }) => {
                self.entry.record_next_permit(picked.key, next_wait_ms);
                sleep(Duration::from_millis(wait_ms)).await;
                if self.entry.takes_work(picked.key) {
                    return PermitOutcome::Ready;
                }
                return PermitOutcome::TryAnother;
            }
            Some(PermitAnswer::Refused { wait_ms }) => wait_ms,
            Some(PermitAnswer::Unavailable) | None => NO_PERMIT_MS,
        };
        self.permits.refused += 1;
        self.entry.record_next_permit(picked.key, wait_ms);
        PermitOutcome::TryAnother
    }

    /// Returns the longest time in milliseconds for which the request can wait for a limited server.
    pub(crate) fn max_permit_wait_ms(&self) -> u64 {
        let left = self.plan.deadline.saturating_duration_since(Instant::now());
        whole_millis((left / PERMIT_WAIT_DIVISOR).min(MAX_PERMIT_WAIT))
    }

    /// Returns the error of a request that no server takes within its limit for `expected_ms` milliseconds.
    pub(crate) fn limit_reached(&self, expected_ms: u64) -> CallError {
        let error = self.give_up("every backend server that could take the request has reached its limit");
        if error.run != RunState::NotRun {
            return error;
        }
        // Callers that were refused together do not return together.
        let expected_ms = expected_ms.max(NO_PERMIT_MS);
        let retry_after_ms = expected_ms + rand::random_range(0..=expected_ms);
        CallError::not_run(ResultCode::ServerLimited, error.message).with_retry_after_ms(retry_after_ms)
    }

    fn log_permit(&self, server: &BackendServer, request: PermitRequest, answer: Option<PermitAnswer>) {
        let (label, wait_ms) = match answer {
            Some(PermitAnswer::Granted { wait_ms, .. }) => ("granted", wait_ms),
            Some(PermitAnswer::Refused { wait_ms }) => ("refused", wait_ms),
            Some(PermitAnswer::Lifted) => ("lifted", 0),
            Some(PermitAnswer::Unavailable) | None => ("unanswered", NO_PERMIT_MS),
        };
        self.entry.metrics.permits.with_label_values(&[label]).inc();
        if self.entry.line_limiter.try_acquire() {
            info!(self.entry.log, "permit for a limited backend server"; "request" => &self.plan.attempt_id,
                "server" => &server.name, "outcome" => label, "wait_ms" => wait_ms, "max_wait_ms" => request.max_wait_ms,
                "per_second_thousandths" => request.rate.0, "heard_ms_ago" => request.heard_ms_ago);
        }
    }
}
