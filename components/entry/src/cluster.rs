//! State of the cluster that background tasks write and the request path reads.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use domain::{AppliedConfiguration, Generation, ListedHost, MemberTable};
use errors::{CallError, ResultCode};
use tokio::sync::watch;

use crate::fleet::FleetView;

/// Retry-After delay in milliseconds of an entry without a configuration; it reads one when it starts.
const NOT_CONFIGURED_RETRY_MS: u64 = 1_000;

/// The member table with its version in the object API.
#[derive(Debug, Clone, Default)]
pub(crate) struct MemberView {
    /// Version of the object; zero before the first read.
    pub(crate) version: Generation,
    /// Member table.
    pub(crate) table: MemberTable,
}

/// State of the cluster as this entry has received it. Each field is replaced as one value, so that readers
/// take no lock.
#[derive(Debug)]
pub(crate) struct ClusterView {
    configuration: ArcSwapOption<AppliedConfiguration>,
    fleet: ArcSwap<FleetView>,
    listed: ArcSwap<Vec<ListedHost>>,
    members: ArcSwap<MemberView>,
    members_changed: watch::Sender<Generation>,
    leaving: AtomicBool,
}

impl ClusterView {
    /// Creates an empty view: no configuration, no peers, member table of version zero.
    pub(crate) fn new() -> Self {
        Self {
            configuration: ArcSwapOption::empty(),
            fleet: ArcSwap::default(),
            listed: ArcSwap::default(),
            members: ArcSwap::default(),
            members_changed: watch::channel(Generation(0)).0,
            leaving: AtomicBool::new(false),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn configuration(&self) -> Option<Arc<AppliedConfiguration>> {
        self.configuration.load_full()
    }

    /// Returns the configuration in force, for a request that cannot be judged without one.
    ///
    /// # Errors
    ///
    /// Returns 3021, not run, with a time to retry: an entry that has just started has not read the
    /// configuration yet.
    pub(crate) fn require_configuration(&self) -> Result<Arc<AppliedConfiguration>, CallError> {
        self.configuration().ok_or_else(|| {
            let refusal = CallError::not_run(ResultCode::NotConfigured, "no configuration is in force");
            refusal.with_retry_after_ms(NOT_CONFIGURED_RETRY_MS)
        })
    }

    /// Returns the generation in force; zero before the first.
    pub(crate) fn generation(&self) -> Generation {
        self.configuration
            .load()
            .as_ref()
            .map_or(Generation(0), |applied| applied.generation)
    }

    /// Puts a configuration in force and returns `true`, unless one of the same or a later generation is in
    /// force.
    pub(crate) fn advance_configuration(&self, applied: &Arc<AppliedConfiguration>) -> bool {
        let mut advanced = false;
        self.configuration.rcu(|current| {
            let newer = current
                .as_ref()
                .is_none_or(|current| applied.generation > current.generation);
            advanced = newer;
            if newer {
                Some(Arc::clone(applied))
            } else {
                current.clone()
            }
        });
        advanced
    }

    /// Returns the latest heartbeats of the other processes.
    pub(crate) fn fleet(&self) -> Arc<FleetView> {
        self.fleet.load_full()
    }

    /// Replaces the latest heartbeats of the other processes.
    pub(crate) fn set_fleet(&self, fleet: FleetView) {
        self.fleet.store(Arc::new(fleet));
    }

    /// Returns the host list as last read.
    pub(crate) fn listed(&self) -> Arc<Vec<ListedHost>> {
        self.listed.load_full()
    }

    /// Replaces the host list.
    pub(crate) fn set_listed(&self, listed: Vec<ListedHost>) {
        self.listed.store(Arc::new(listed));
    }

    /// Returns the member table as last read.
    pub(crate) fn members(&self) -> Arc<MemberView> {
        self.members.load_full()
    }

    /// Replaces the member table unless the current one has the same or a later version.
    pub(crate) fn advance_members(&self, view: MemberView) {
        let version = view.version;
        let view = Arc::new(view);
        self.members.rcu(|current| {
            if view.version > current.version {
                Arc::clone(&view)
            } else {
                Arc::clone(current)
            }
        });
        self.members_changed.send_if_modified(|latest| {
            let newer = version > *latest;
            *latest = (*latest).max(version);
            newer
        });
    }

    /// Returns a receiver that is notified of each later version of the member table.
    pub(crate) fn watch_members(&self) -> watch::Receiver<Generation> {
        self.members_changed.subscribe()
    }

    /// Returns whether this entry is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Marks this entry as leaving.
    pub(crate) fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }
}
