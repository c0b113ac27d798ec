//! Permits that a request needs within the quota of its workspace.
//!
//! Load pattern: a workspace sends several times its quota for some seconds. What exceeds it is refused before any other
//! work, so that the requests of the others are served as before.

use std::time::Instant;

use domain::RequestQuota;
use errors::{CallError, ResultCode, RunState};
use ledger::{HeldPermit, PermitMark, QuotaAnswer, QuotaClass, QuotaDemand};
use routing::{AttemptOutcome, ServiceRoute, Workspace};
use slog::info;
use tokio::time::sleep_until;

use crate::dispatch::Dispatcher;
use crate::state::{EntryState, whole_millis};

/// Divisor of a route's target latency that gives the longest wait for a permit of a program that is under way.
const QUOTA_WAIT_DIVISOR: u64 = 4;
/// Permits of a workspace within whose time callers that were refused together return.
const RETURN_SPREAD_PERMITS: u64 = 4;
/// Shortest and longest time in milliseconds over which they return.
const RETURN_SPREAD_MS: (u64, u64) = (100, 2_000);

/// A request of a workspace that has a quota.
#[derive(Debug)]
pub(crate) struct QuotaTicket {
    workspace: String,
    demand: QuotaDemand,
    held: Option<HeldPermit>,
}

impl QuotaTicket {
    /// Creates the ticket of a request; `None` if its workspace has no quota. `max_wait_ms` is the longest time in
    /// milliseconds for which the request waits for its permit.
    pub(crate) fn new(
        workspace: &Workspace,
        version: u64,
        class: QuotaClass,
        max_wait_ms: u64,
    ) -> Option<Self> {
        let demand = QuotaDemand {
            workspace: workspace.key,
            quota: workspace.quota?,
            version,
            class,
            max_wait_ms,
        };
        Some(Self {
            workspace: workspace.name.clone(),
            demand,
            held: None,
        })
    }

    /// Returns a mark for the attempt that uses the permit.
    pub(crate) fn mark(&self) -> Option<PermitMark> {
        self.held.as_ref().map(HeldPermit::mark)
    }

    /// Uses the permit up if an attempt that failed was sent, and keeps it for the next attempt if it has not run.
    fn settle(&mut self, outcome: AttemptOutcome) {
        let Some(held) = &self.held else { return };
        match outcome {
            AttemptOutcome::NotSent | AttemptOutcome::Refused | AttemptOutcome::WrongServer => held.restore(),
            AttemptOutcome::Lost if held.is_used() => self.use_up(),
            AttemptOutcome::Lost => {}
        }
    }

    fn use_up(&mut self) {
        // A further attempt of the request goes on with what has begun.
        self.demand.class = QuotaClass::UnderWay;
        if let Some(held) = self.held.take() {
            held.use_up();
        }
    }
}

/// Returns the longest time in milliseconds for which a request of a program that is under way waits for its permit.
pub(crate) const fn max_quota_wait_ms(route: &ServiceRoute) -> u64 {
    route.target_latency_ms / QUOTA_WAIT_DIVISOR
}

/// Returns the Retry-After delay in milliseconds of a request whose workspace has its next permit after `wait_ms`.
/// Callers that were refused together return over the time of a few permits. `draw` is a random number.
fn quota_retry_after_ms(wait_ms: u64, quota: RequestQuota, draw: u32) -> u64 {
    /// Thousandths of a request and milliseconds of a second.
    const SCALE: u64 = 1_000 * 1_000;
    let (shortest_ms, longest_ms) = RETURN_SPREAD_MS;
    let spread_ms = (RETURN_SPREAD_PERMITS * SCALE / quota.rate.0.max(1)).clamp(shortest_ms, longest_ms);
    wait_ms + spread_ms * u64::from(draw) / u64::from(u32::MAX)
}

impl EntryState {
    /// Refuses a request at once if every host that hands out its workspace's permits is known to have none.
    pub(crate) fn check_quota(&self, ticket: Option<&QuotaTicket>, request: &str) -> Result<(), CallError> {
        let Some(ticket) = ticket else { return Ok(()) };
        match self.ledger.known_quota_wait_ms(ticket.demand) {
            None => Ok(()),
            Some(wait_ms) => Err(self.refuse_quota(ticket, request, wait_ms, None)),
        }
    }

    /// Logs and counts a refusal and returns its error. `host` is the host that refused just now.
    fn refuse_quota(
        &self,
        ticket: &QuotaTicket,
        request: &str,
        wait_ms: u64,
        host: Option<&str>,
    ) -> CallError {
        let demand = ticket.demand;
        let retry_after_ms = quota_retry_after_ms(wait_ms, demand.quota, rand::random());
        let label = if host.is_some() { "refused" } else { "known" };
        self.metrics.quota_permits.with_label_values(&[label]).inc();
        if self.line_limiter.try_acquire() {
            info!(self.log, "quota of a workspace used up"; "request" => request, "workspace" => &ticket.workspace,
                "configuration" => demand.version, "per_second_thousandths" => demand.quota.rate.0,
                "burst" => demand.quota.burst, "class" => ?demand.class, "host" => host, "wait_ms" => wait_ms,
                "max_wait_ms" => demand.max_wait_ms, "retry_after_ms" => retry_after_ms);
        }
        let message = format!(
            "the workspace has used up its quota in configuration {}",
            demand.version
        );
        CallError::not_run(ResultCode::QuotaExceeded, message).with_retry_after_ms(retry_after_ms)
    }
}

impl Drop for Dispatcher {
    /// Logs the permit of a request that ends before its answer, as when its caller leaves.
    fn drop(&mut self) {
        let held = self
            .plan
            .quota
            .as_ref()
            .and_then(|ticket| Some((ticket, ticket.held.as_ref()?)));
        let Some((ticket, held)) = held else { return };
        let is_sent = held.is_used();
        let label = if is_sent { "abandoned" } else { "returned" };
        self.entry.metrics.quota_permits.with_label_values(&[label]).inc();
        if self.entry.line_limiter.try_acquire() {
            info!(self.entry.log, "request with the permit of a workspace ended early"; "request" => &self.plan.attempt_id,
                "workspace" => &ticket.workspace, "sent" => is_sent, "permit" => label);
        }
    }
}

impl Dispatcher {
    /// Obtains the permit of the request's workspace and waits until it is due, unless the request holds one that has not
    /// expired.
    ///
    /// # Errors
    ///
    /// Fails when the workspace has used up its quota, or no host that hands out its permits answers.
    pub(crate) async fn obtain_quota(&mut self) -> Result<(), CallError> {
        let Some(ticket) = &mut self.plan.quota else {
            return Ok(());
        };
        if ticket.held.as_ref().is_some_and(|held| !held.is_expired()) {
            return Ok(());
        }
        // An expired permit goes back.
        ticket.held = None;
        let mut demand = ticket.demand;
        let left = self.plan.deadline.saturating_duration_since(Instant::now());
        demand.max_wait_ms = demand.max_wait_ms.min(whole_millis(left));
        let answer = self.entry.ledger.request_quota(demand).await;
        let (wait_ms, host) = match answer {
            QuotaAnswer::Granted(permit) => {
                self.entry
                    .metrics
                    .quota_permits
                    .with_label_values(&["granted"])
                    .inc();
                sleep_until(permit.due()).await;
                ticket.held = Some(permit);
                return Ok(());
            }
            QuotaAnswer::Refused { wait_ms, host } => (wait_ms, host),
            QuotaAnswer::Unreachable => return Err(self.quota_unreachable()),
        };
        let error = self.give_up("the workspace has used up its quota");
        let refusal = self.plan.quota.as_ref().map(|ticket| {
            self.entry
                .refuse_quota(ticket, &self.plan.attempt_id, wait_ms, Some(&host))
        });
        match refusal {
            Some(refusal) if error.run == RunState::NotRun => Err(refusal),
            Some(_) | None => Err(error),
        }
    }

    /// Decides on the permit of the request's workspace after an attempt that failed.
    pub(crate) fn settle_quota(&mut self, outcome: AttemptOutcome) {
        if let Some(ticket) = &mut self.plan.quota {
            ticket.settle(outcome);
        }
    }

    /// Uses the permit of the request's workspace up: the request may have run.
    pub(crate) fn use_quota(&mut self) {
        if let Some(ticket) = &mut self.plan.quota {
            ticket.use_up();
        }
    }

    fn quota_unreachable(&self) -> CallError {
        self.entry
            .metrics
            .quota_permits
            .with_label_values(&["unreachable"])
            .inc();
        if let Some(ticket) = &self.plan.quota
            && self.entry.line_limiter.try_acquire()
        {
            info!(self.entry.log, "no ledger host hands out permits of a workspace";
                "request" => &self.plan.attempt_id, "workspace" => &ticket.workspace,
                "configuration" => ticket.demand.version);
        }
        let cause = "no ledger host that hands out the workspace's permits answered";
        let error = self.give_up(cause);
        if error.run == RunState::NotRun {
            return CallError::not_run(ResultCode::LedgerUnavailable, cause);
        }
        error
    }
}
