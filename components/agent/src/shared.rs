//! State that the tasks of one agent share.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};
use std::sync::{Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use domain::{AppliedConfiguration, ModelState, ServiceKind};
use engine::{EngineClient, EngineLoad};
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

use crate::call_table::CallTable;
use crate::heartbeat::EntryRecord;
use crate::model::ModelOrders;
use crate::options::AgentOptions;
use crate::orders::PendingOrder;

/// Result of the last probe of the backend server.
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
    /// Random number that identifies this start of the agent.
    pub(crate) start: u64,
    pub(crate) engine: EngineClient,
    pub(crate) call_table: Mutex<CallTable>,
    /// Wakes the runner after a change of the call table or its limits.
    pub(crate) work: Notify,
    /// Wakes the sweeper when the cache of an ended program may be released.
    pub(crate) released: Notify,
    /// Wakes the publisher for a heartbeat outside the interval.
    pub(crate) publish_now: Notify,
    pub(crate) configuration: ArcSwapOption<AppliedConfiguration>,
    pub(crate) entries: ArcSwap<Vec<EntryRecord>>,
    /// Number of entries listed as live, `usize::MAX` before the list was fetched.
    ///
    /// The list lags behind and may count entries that have failed.
    pub(crate) listed_entries: AtomicUsize,
    pub(crate) backend: ArcSwap<BackendReport>,
    pub(crate) orders: mpsc::Sender<PendingOrder>,
    /// Largest term of a controller received with an engine order.
    pub(crate) largest_term: AtomicU64,
    pub(crate) model: ModelOrders,
    /// Cancelled when a planned stop starts.
    pub(crate) draining: CancellationToken,
    /// Whether the host list shows this host as leaving.
    pub(crate) listed_leaving: AtomicBool,
}

impl AgentShared {
    /// Locks the call table; no guard lives across an await.
    pub(crate) fn call_table(&self) -> MutexGuard<'_, CallTable> {
        self.call_table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the kind of the agent's service, `None` until a configuration with the service is applied.
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
