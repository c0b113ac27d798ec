//! Heartbeats of the agent and of the entries, probes of the backend server, and the host list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use domain::{Heartbeat, HostName, HostRole, HostState, ListedHost, LoadDigest, ServiceKind};
use slog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::{HeartbeatPublisher, HeartbeatSubscriber};

use crate::model::probe_model;
use crate::process::apply_listed_leaving;
use crate::shared::{AgentShared, BackendReport};

const HOST_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the agent looks whether it has its first configuration, which names the kind of its service.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Latest heartbeat of an entry.
#[derive(Debug, Clone)]
pub(crate) struct EntryRecord {
    pub(crate) heartbeat: Heartbeat,
    pub(crate) arrival: Instant,
}

/// Publishes the agent's heartbeat at its interval, and at once when the agent starts to leave, its model's state
/// changes through an order or the health of its backend server changes.
pub(crate) async fn publish_heartbeats(
    shared: Arc<AgentShared>,
    publisher: HeartbeatPublisher,
    address: SocketAddr,
) {
    let mut sequence = 0;
    loop {
        sequence += 1;
        if let Err(error) = publisher.publish(&own_heartbeat(&shared, address, sequence)) {
            warn!(shared.options.log, "heartbeat not published"; "cause" => %error);
        }
        let publish_now = shared.publish_now.notified();
        // The timeout is the normal case: the interval has passed.
        let _ = tokio::time::timeout(shared.options.heartbeat_interval, publish_now).await;
    }
}

fn own_heartbeat(shared: &AgentShared, address: SocketAddr, sequence: u64) -> Heartbeat {
    let options = &shared.options;
    let applied = shared.configuration.load();
    let BackendReport { load, healthy, model } = **shared.backend.load();
    let table = shared.call_table();
    Heartbeat {
        host: options.host.clone(),
        role: HostRole::Agent,
        failure_domain: options.failure_domain.clone(),
        start: shared.start,
        sequence,
        address,
        generation: applied
            .as_ref()
            .map(|applied| applied.generation)
            .unwrap_or_default(),
        members: domain::Generation::default(),
        leaving: table.is_leaving(),
        load: Some(LoadDigest {
            service: options.service.clone(),
            queued: u32::try_from(table.queue().len()).unwrap_or(u32::MAX),
            running: table.running(),
            capacity: table.limits().concurrency,
            pending_tokens: load.pending_tokens + table.waiting_tokens(),
            cache_used: load.cache_used,
            cache_size: load.cache_size,
            healthy,
            model,
        }),
    }
}

/// Fetches the load of the backend server at the heartbeat interval, or tests whether it accepts connections. Probes
/// it at once when the kind of the service becomes known.
pub(crate) async fn probe_backend(shared: Arc<AgentShared>) {
    loop {
        let report = probe_once(&shared).await;
        let before = shared.backend.swap(Arc::new(report));
        if before.healthy != report.healthy {
            info!(shared.options.log, "backend server"; "healthy" => report.healthy);
            shared.publish_now.notify_one();
        }
        if before.model != report.model {
            info!(shared.options.log, "model"; "state" => ?report.model);
        }
        let interval = shared.options.heartbeat_interval;
        tokio::time::sleep(match shared.service_kind() {
            None => interval.min(CONFIGURATION_POLL_INTERVAL),
            Some(_) => interval,
        })
        .await;
    }
}

async fn probe_once(shared: &AgentShared) -> BackendReport {
    match shared.service_kind() {
        // Whether the backend server serves a model is not known yet, so that it takes no calls.
        None => BackendReport::default(),
        Some(ServiceKind::Model) => probe_engine(shared).await,
        Some(ServiceKind::Tool | ServiceKind::Plain) => BackendReport {
            healthy: shared.engine.accepts_connections().await,
            ..BackendReport::default()
        },
    }
}

/// Probes a model engine. It counts as healthy once its models have been listed.
async fn probe_engine(shared: &AgentShared) -> BackendReport {
    let previous = **shared.backend.load();
    let load = shared.engine.fetch_load().await;
    let model = probe_model(shared, previous.model, load.is_ok()).await;
    BackendReport {
        healthy: load.is_ok() && (model.is_some() || previous.healthy),
        model: model.unwrap_or(previous.model),
        load: load.unwrap_or(previous.load),
    }
}

/// Polls the host list, subscribes to the entries in it and applies the agent's own state in it.
pub(crate) async fn poll_host_list(shared: Arc<AgentShared>, subscriber: Arc<HeartbeatSubscriber>) {
    loop {
        match shared.options.hosts.fetch_hosts().await {
            Ok(hosts) => {
                dial_entries(&shared, &subscriber, &hosts);
                apply_listed_leaving(&shared, is_leaving(&hosts, &shared.options.host));
            }
            Err(error) => warn!(shared.options.log, "host list not fetched"; "cause" => %error),
        }
        tokio::time::sleep(HOST_LIST_INTERVAL.min(shared.options.heartbeat_interval * 4)).await;
    }
}

fn is_leaving(hosts: &[ListedHost], name: &HostName) -> bool {
    hosts
        .iter()
        .any(|host| host.name == *name && host.role == HostRole::Agent && host.state == HostState::Leaving)
}

fn dial_entries(shared: &AgentShared, subscriber: &HeartbeatSubscriber, hosts: &[ListedHost]) {
    let entries = || hosts.iter().filter(|host| host.role == HostRole::Entry);
    let live = entries().filter(|host| host.state == HostState::Live).count();
    shared.listed_entries.store(live, Ordering::Relaxed);
    for host in entries() {
        if let Err(error) = subscriber.dial(host.heartbeat) {
            warn!(shared.options.log, "not subscribed to entry"; "host" => %host.name, "cause" => %error);
        }
    }
}

/// Records the heartbeats of the entries and drops entries without one for `suspect_after`.
pub(crate) async fn track_entries(shared: Arc<AgentShared>, mut heartbeats: mpsc::Receiver<Heartbeat>) {
    while let Some(heartbeat) = heartbeats.recv().await {
        if heartbeat.role != HostRole::Entry {
            continue;
        }
        let arrival = Instant::now();
        let mut entries: Vec<_> = shared.entries.load().iter().cloned().collect();
        entries.retain(|entry| arrival.duration_since(entry.arrival) < shared.options.suspect_after);
        match entries.binary_search_by(|entry| entry.heartbeat.host.cmp(&heartbeat.host)) {
            Ok(index) => entries[index] = EntryRecord { heartbeat, arrival },
            Err(index) => entries.insert(index, EntryRecord { heartbeat, arrival }),
        }
        shared.entries.store(Arc::new(entries));
    }
}

impl AgentShared {
    /// Returns the latest heartbeats of the entries that sent one within `suspect_after`.
    pub(crate) fn live_entries(&self) -> Vec<Heartbeat> {
        let entries = self.entries.load();
        let live = entries
            .iter()
            .filter(|entry| entry.arrival.elapsed() < self.options.suspect_after);
        live.map(|entry| entry.heartbeat.clone()).collect()
    }
}
