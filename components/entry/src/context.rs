//! Everything that the tasks of one entry share.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use budget::BudgetManager;
use domain::{Generation, Heartbeat, HostRole, IncarnationId};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::cluster::ClusterView;
use crate::metrics::EntryMetrics;
use crate::options::EntryOptions;
use crate::owner::OwnerCore;
use crate::pool::PeerPool;

/// Shared state of one entry.
#[derive(Debug)]
pub(crate) struct EntryContext {
    /// Options.
    pub(crate) options: EntryOptions,
    /// Bound address of the process port.
    pub(crate) process_address: SocketAddr,
    /// Sections that controllers write.
    pub(crate) cluster: ClusterView,
    /// Connections to peers.
    pub(crate) pool: PeerPool,
    /// Wakes the planned stop.
    pub(crate) drain: Notify,
    started: Instant,
    announced_configuration: watch::Sender<Option<(Generation, SocketAddr)>>,
    announced_members: watch::Sender<Generation>,
    owner: ArcSwap<OwnerCore>,
    effects: Mutex<()>,
}

impl EntryContext {
    /// Creates the context of an entry whose first incarnation has joined.
    pub(crate) fn new(
        options: EntryOptions,
        process_address: SocketAddr,
        cluster: ClusterView,
        owner: Arc<OwnerCore>,
    ) -> Self {
        let pool = PeerPool::new(options.secret.clone());
        Self {
            options,
            process_address,
            cluster,
            pool,
            drain: Notify::new(),
            started: Instant::now(),
            announced_configuration: watch::channel(None).0,
            announced_members: watch::channel(Generation(0)).0,
            owner: ArcSwap::new(owner),
            effects: Mutex::new(()),
        }
    }

    /// Returns the present incarnation's owner of programs.
    pub(crate) fn owner(&self) -> Arc<OwnerCore> {
        self.owner.load_full()
    }

    /// Orders the effects of configurations; the guard is never held across an await or on the path of a request.
    pub(crate) fn lock_effects(&self) -> MutexGuard<'_, ()> {
        self.effects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a new incarnation in the place of a sealed one.
    pub(crate) fn replace_owner(&self, owner: Arc<OwnerCore>) {
        self.owner.store(owner);
    }

    /// Tells whether the entry has run long enough to have heard every process that is alive.
    pub(crate) fn is_fleet_view_complete(&self) -> bool {
        self.started.elapsed() > self.options.suspect_after * 2
    }

    /// Returns the metrics.
    pub(crate) fn metrics(&self) -> EntryMetrics<'_> {
        EntryMetrics::new(&self.options.metrics, &self.options.log)
    }

    /// Returns the present incarnation.
    pub(crate) fn incarnation(&self) -> IncarnationId {
        self.owner.load().incarnation()
    }

    /// Returns the budget slices of the present incarnation.
    pub(crate) fn budget(&self) -> BudgetManager {
        self.owner.load().budget().clone()
    }

    /// Notes a later configuration or member table that a heartbeat announces.
    pub(crate) fn record_announced_generations(&self, heartbeat: &Heartbeat) {
        if heartbeat.role != HostRole::Entry {
            return;
        }
        if heartbeat.generation > self.cluster.generation() {
            self.announced_configuration
                .send_replace(Some((heartbeat.generation, heartbeat.address)));
        }
        self.record_announced_members(heartbeat.members);
    }

    /// Notes a later member table that a peer announces.
    pub(crate) fn record_announced_members(&self, members: Generation) {
        self.announced_members.send_if_modified(|latest| {
            let newer = members > *latest;
            *latest = (*latest).max(members);
            newer
        });
    }

    /// Returns a receiver of the peer that has announced a later configuration.
    pub(crate) fn watch_announced_configuration(&self) -> watch::Receiver<Option<(Generation, SocketAddr)>> {
        self.announced_configuration.subscribe()
    }

    /// Returns a receiver of the latest member table that a peer has announced.
    pub(crate) fn watch_announced_members(&self) -> watch::Receiver<Generation> {
        self.announced_members.subscribe()
    }
}
