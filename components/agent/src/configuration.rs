//! Configuration fetched from the entries: the highest generation, never lower than the applied one.

use std::cmp::Reverse;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use domain::{AppliedConfiguration, Generation, Heartbeat};
use errors::{CallError, ResultCode};
use slog::{info, warn};
use tarpc::client::Config;
use tokio::time::Instant;
use wire::{OwnerPortClient, PortResult};

use crate::call_table::CallLimits;
use crate::shared::AgentShared;

/// Fetches and applies newer generations as the heartbeats of the entries announce them.
pub(crate) async fn update_configuration(shared: Arc<AgentShared>) {
    let mut first_live_at = None;
    loop {
        tokio::time::sleep(shared.options.heartbeat_interval / 2).await;
        let mut entries = shared.live_entries();
        if entries.is_empty() {
            continue;
        }
        let live_since: Instant = *first_live_at.get_or_insert_with(Instant::now);
        // A newly started agent waits for heartbeats of all listed entries. Otherwise a lagging entry could
        // give it an older generation than its previous start had applied.
        let complete = entries.len() >= shared.listed_entries.load(Ordering::Relaxed);
        if shared.generation() == Generation(0)
            && !complete
            && live_since.elapsed() < shared.options.suspect_after
        {
            continue;
        }
        entries.sort_by_key(|entry| Reverse(entry.generation));
        fetch_newer(&shared, &entries).await;
    }
}

/// Fetches the highest generation that an entry returns.
///
/// An entry that fails or returns a lower generation than announced does not end the search.
async fn fetch_newer(shared: &AgentShared, entries: &[Heartbeat]) {
    for entry in entries {
        if entry.generation <= shared.generation() {
            return;
        }
        match fetch_configuration(shared, entry.address).await {
            Ok(applied) => shared.apply_configuration(applied),
            Err(error) => {
                warn!(shared.options.log, "configuration not fetched"; "host" => %entry.host, "cause" => %error);
            }
        }
    }
}

async fn fetch_configuration(
    shared: &AgentShared,
    address: std::net::SocketAddr,
) -> PortResult<AppliedConfiguration> {
    let client = connect_entry(shared, address).await?;
    let answer = client.fetch_configuration(call_context(shared)).await;
    let fetched = answer.map_err(|error| unreachable(&error.to_string()))??;
    fetched.ok_or_else(|| CallError::not_run(ResultCode::NoConfiguration, "the entry has no configuration"))
}

/// Opens a connection to an entry.
pub(crate) async fn connect_entry(
    shared: &AgentShared,
    address: std::net::SocketAddr,
) -> PortResult<OwnerPortClient> {
    let transport = wire::connect_peer(address, &shared.options.secret).await;
    let transport = transport.map_err(|error| unreachable(&format!("{error:#}")))?;
    Ok(OwnerPortClient::new(Config::default(), transport).spawn())
}

/// Returns a call context with a deadline after `suspect_after`, at least 100 ms.
pub(crate) fn call_context(shared: &AgentShared) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline =
        std::time::Instant::now() + shared.options.suspect_after.max(Duration::from_millis(100));
    context
}

/// Creates the error for an entry that does not answer.
pub(crate) fn unreachable(cause: &str) -> CallError {
    CallError::not_run(ResultCode::PeerUnreachable, cause)
}

impl AgentShared {
    /// Returns the applied generation, 0 before the first one.
    pub(crate) fn generation(&self) -> Generation {
        let applied = self.configuration.load();
        applied
            .as_ref()
            .map(|applied| applied.generation)
            .unwrap_or_default()
    }

    fn apply_configuration(&self, applied: AppliedConfiguration) {
        if applied.generation <= self.generation() {
            return;
        }
        info!(self.options.log, "configuration applied"; "generation" => %applied.generation);
        if let Some(service) = applied.content.service(&self.options.service) {
            self.call_table().set_limits(CallLimits {
                concurrency: service.limits.concurrency,
                queue_length: service.limits.queue_length,
            });
        }
        self.configuration.store(Some(Arc::new(applied)));
        self.work.notify_waiters();
    }
}
