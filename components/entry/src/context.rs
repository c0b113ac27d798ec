//! State shared by the tasks of one entry.

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
    /// Options with which the entry was started.
    pub(crate) options: EntryOptions,
    /// Bound address of the process port.
    pub(crate) process_address: SocketAddr,
    /// State of the cluster that background tasks write.
    pub(crate) cluster: ClusterView,
    /// Connections to other entries and to agents.
    pub(crate) pool: PeerPool,
    /// Starts the planned stop when it is notified.
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

    /// Returns the owner of programs of the current incarnation.
    pub(crate) fn owner(&self) -> Arc<OwnerCore> {
        self.owner.load_full()
    }

    /// Locks the effects of configurations, so that they are applied in the order of generations. The guard
    /// is never held across an await or on the request path.
    pub(crate) fn lock_effects(&self) -> MutexGuard<'_, ()> {
        self.effects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the owner of a sealed incarnation by that of a new one.
    pub(crate) fn replace_owner(&self, owner: Arc<OwnerCore>) {
        self.owner.store(owner);
    }

    /// Returns whether the entry has run long enough to have received a heartbeat of every live process.
    pub(crate) fn is_fleet_view_complete(&self) -> bool {
        self.started.elapsed() > self.options.suspect_after * 2
    }

    /// Returns the metrics of this entry, which log a failure to send.
    pub(crate) fn metrics(&self) -> EntryMetrics<'_> {
        EntryMetrics::new(&self.options.metrics, &self.options.log)
    }

    /// Returns the current incarnation.
    pub(crate) fn incarnation(&self) -> IncarnationId {
        self.owner.load().incarnation()
    }

    /// Returns the manager of the budget slices of the current incarnation.
    pub(crate) fn budget(&self) -> BudgetManager {
        self.owner.load().budget().clone()
    }

    /// Records a later configuration or member table that the heartbeat of an entry announces.
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

    /// Records a later version of the member table that a peer announces.
    pub(crate) fn record_announced_members(&self, members: Generation) {
        self.announced_members.send_if_modified(|latest| {
            let newer = members > *latest;
            *latest = (*latest).max(members);
            newer
        });
    }

    /// Returns a receiver of the announced generations that are later than the one in force, each with the
    /// address of the peer that announced it.
    pub(crate) fn watch_announced_configuration(&self) -> watch::Receiver<Option<(Generation, SocketAddr)>> {
        self.announced_configuration.subscribe()
    }

    /// Returns a receiver of the latest version of the member table that a peer has announced.
    pub(crate) fn watch_announced_members(&self) -> watch::Receiver<Generation> {
        self.announced_members.subscribe()
    }
}
