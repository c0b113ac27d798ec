//! State that the tasks of one agent share.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};
use std::sync::{Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use domain::{AppliedConfiguration, ModelState, ServiceKind};
use engine::{EngineClient, EngineLoad};
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

use crate::call_table::CallTable;
use crate::heartbeat::KnownEntry;
use crate::model::ModelGate;
use crate::options::AgentOptions;
use crate::orders::PendingOrder;

/// What the agent last heard of its backend server.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct BackendReport {
    pub(crate) load: EngineLoad,
    pub(crate) healthy: bool,
    pub(crate) model: ModelState,
}

/// State that the tasks of one agent share.
#[derive(Debug)]
pub(crate) struct AgentShared {
    pub(crate) options: AgentOptions,
    pub(crate) start: u64,
    pub(crate) engine: EngineClient,
    pub(crate) call_table: Mutex<CallTable>,
    /// Wakes the runner after a change of the call table.
    pub(crate) work: Notify,
    /// Wakes the sweeper when a program has ended.
    pub(crate) released: Notify,
    /// Wakes the publisher when the agent starts to leave.
    pub(crate) announced: Notify,
    pub(crate) configuration: ArcSwapOption<AppliedConfiguration>,
    pub(crate) entries: ArcSwap<Vec<KnownEntry>>,
    /// Number of live entries in the host list; it lags and counts the dead.
    pub(crate) listed_entries: AtomicUsize,
    pub(crate) backend: ArcSwap<BackendReport>,
    pub(crate) orders: mpsc::Sender<PendingOrder>,
    pub(crate) largest_term: AtomicU64,
    pub(crate) model: ModelGate,
    /// Whether a planned stop is under way.
    pub(crate) draining: CancellationToken,
    /// Whether the host list shows this host as leaving.
    pub(crate) listed_leaving: AtomicBool,
}

impl AgentShared {
    /// Locks the call table; no guard lives across an await.
    pub(crate) fn call_table(&self) -> MutexGuard<'_, CallTable> {
        self.call_table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the kind of the agent's service once the configuration is known.
    pub(crate) fn service_kind(&self) -> Option<ServiceKind> {
        let applied = self.configuration.load();
        let applied = applied.as_ref()?;
        applied
            .content
            .service(&self.options.service)
            .map(|service| service.kind)
    }

    /// Returns whether the backend server is a model engine.
    pub(crate) fn serves_model(&self) -> bool {
        self.service_kind() == Some(ServiceKind::Model)
    }
}
