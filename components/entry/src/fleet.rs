//! Heartbeats: publishing those of this entry, recording those of other processes.

use std::sync::Arc;
use std::time::Duration;

use domain::{Heartbeat, HostName, HostRole, HostState, ServiceName};
use slog::{debug, info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};
use wire::{HeartbeatPublisher, HeartbeatSubscriber};

use crate::context::EntryContext;

const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);
const RECORD_RETENTION: Duration = Duration::from_mins(10);

/// The latest heartbeat of one process.
#[derive(Debug, Clone)]
pub(crate) struct PeerRecord {
    /// Latest heartbeat received from the process.
    pub(crate) heartbeat: Heartbeat,
    /// Time at which it was received, or the end of a later pause of this process.
    pub(crate) received_at: Instant,
}

/// Latest heartbeat of every process, sorted by host name.
#[derive(Debug, Clone, Default)]
pub(crate) struct FleetView {
    peers: Vec<PeerRecord>,
}

impl FleetView {
    /// Returns every record.
    pub(crate) fn peers(&self) -> &[PeerRecord] {
        &self.peers
    }

    /// Returns the record of a host.
    pub(crate) fn peer(&self, host: &HostName) -> Option<&PeerRecord> {
        let found = self.peers.binary_search_by(|peer| peer.heartbeat.host.cmp(host));
        found.ok().map(|index| &self.peers[index])
    }

    /// Returns the record of an entry's incarnation.
    pub(crate) fn entry(&self, incarnation: u64) -> Option<&PeerRecord> {
        let mut entries = self
            .peers
            .iter()
            .filter(|peer| peer.heartbeat.role == HostRole::Entry);
        entries.find(|peer| peer.heartbeat.start == incarnation)
    }

    /// Returns the agents of a service.
    pub(crate) fn agents<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a PeerRecord> {
        self.peers.iter().filter(move |peer| {
            let load = peer.heartbeat.load.as_ref();
            load.is_some_and(|load| load.service == *service)
        })
    }

    /// Records a heartbeat. Ignores one of the same start whose sequence number is not larger than the
    /// recorded one.
    fn record(&mut self, heartbeat: Heartbeat, now: Instant) {
        match self
            .peers
            .binary_search_by(|peer| peer.heartbeat.host.cmp(&heartbeat.host))
        {
            Ok(index) => {
                let peer = &mut self.peers[index];
                let same_start = peer.heartbeat.start == heartbeat.start;
                if !same_start || heartbeat.sequence > peer.heartbeat.sequence {
                    *peer = PeerRecord {
                        heartbeat,
                        received_at: now,
                    };
                }
            }
            Err(index) => self.peers.insert(
                index,
                PeerRecord {
                    heartbeat,
                    received_at: now,
                },
            ),
        }
    }

    /// Sets the receive time of every heartbeat to `now`, so that a pause of this process does not make the
    /// other processes appear unreachable.
    fn reset_received_at(&mut self, now: Instant) {
        for peer in &mut self.peers {
            peer.received_at = now;
        }
    }
}

/// Publishes the entry's own heartbeats until the entry stops.
pub(crate) async fn publish_heartbeats(context: Arc<EntryContext>, publisher: HeartbeatPublisher) {
    let mut ticks = interval(context.options.heartbeat_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sequence = 0;
    loop {
        ticks.tick().await;
        sequence += 1;
        let heartbeat = own_heartbeat(&context, sequence);
        if let Err(error) = publisher.publish(&heartbeat) {
            warn!(context.options.log, "heartbeat not sent"; "error" => %error);
        }
    }
}

fn own_heartbeat(context: &EntryContext, sequence: u64) -> Heartbeat {
    let options = &context.options;
    Heartbeat {
        host: options.host.clone(),
        role: HostRole::Entry,
        failure_domain: options.failure_domain.clone(),
        start: context.owner().incarnation().0,
        sequence,
        address: context.process_address,
        generation: context.cluster.generation(),
        members: context.cluster.members().version,
        leaving: context.cluster.is_leaving(),
        load: None,
    }
}

/// Records received heartbeats in the cluster view until the subscriber ends.
pub(crate) async fn record_heartbeats(context: Arc<EntryContext>, mut heartbeats: mpsc::Receiver<Heartbeat>) {
    let mut view = FleetView::default();
    let mut last = Instant::now();
    let mut ticks = interval(context.options.heartbeat_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let heartbeat = tokio::select! {
            heartbeat = heartbeats.recv() => heartbeat,
            _ = ticks.tick() => {
                let now = Instant::now();
                if now.duration_since(last) > context.options.suspect_after / 2 {
                    info!(context.options.log, "process was paused"; "pause_ms" => now.duration_since(last).as_millis());
                    view.reset_received_at(now);
                    context.cluster.set_fleet(view.clone());
                }
                last = now;
                continue;
            }
        };
        let Some(heartbeat) = heartbeat else {
            return;
        };
        context.record_announced_generations(&heartbeat);
        let now = Instant::now();
        view.record(heartbeat, now);
        view.peers
            .retain(|peer| now.duration_since(peer.received_at) < RECORD_RETENTION);
        context.cluster.set_fleet(view.clone());
    }
}

/// Fetches the host list periodically and subscribes to the heartbeats of each host, until the entry stops.
pub(crate) async fn follow_host_list(context: Arc<EntryContext>, subscriber: Arc<HeartbeatSubscriber>) {
    let mut ticks = interval(HOST_LIST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let listed = match context.options.hosts.fetch_hosts().await {
            Ok(listed) => listed,
            Err(error) => {
                debug!(context.options.log, "host list not fetched"; "error" => %error);
                continue;
            }
        };
        for host in &listed {
            if let Err(error) = subscriber.dial(host.heartbeat) {
                warn!(context.options.log, "not subscribed to host"; "host" => %host.name, "error" => %error);
            }
        }
        context.cluster.set_listed(listed);
    }
}

/// Returns whether the host list shows a host as leaving.
pub(crate) fn is_listed_leaving(context: &EntryContext, host: &HostName) -> bool {
    let listed = context.cluster.listed();
    listed
        .iter()
        .any(|row| row.name == *host && row.state == HostState::Leaving)
}
