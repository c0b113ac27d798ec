//! State of the engine's model, and refusal of calls while the engine does not serve it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use domain::ModelState;
use errors::{CallError, ResultCode, RunState};
use tokio::time::Instant;

use crate::shared::AgentShared;

/// Time after which a load has failed if the engine still does not list the model.
const LOAD_TIMEOUT: Duration = Duration::from_mins(10);

/// Orders to load or unload the model that are in progress.
#[derive(Debug, Default)]
pub(crate) struct ModelOrders {
    load_started_at: Mutex<Option<Instant>>,
    /// Odd while an order to unload is in progress; raised at its start and its end.
    ///
    /// A listing requested before the order must not end the refusal of calls. It is recognised by the epoch.
    unload_epoch: AtomicU64,
}

impl ModelOrders {
    fn load_started_at(&self) -> MutexGuard<'_, Option<Instant>> {
        self.load_started_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state that a listing shows; `None` if the engine has not answered.
    fn derive_state(&self, listed: Result<bool, CallError>) -> Option<ModelState> {
        let mut started_at = self.load_started_at();
        match listed {
            Ok(true) => {
                *started_at = None;
                Some(ModelState::Loaded)
            }
            Ok(false) => {
                *started_at = started_at.filter(|started_at| started_at.elapsed() < LOAD_TIMEOUT);
                let is_loading = started_at.is_some();
                Some(if is_loading {
                    ModelState::Loading
                } else {
                    ModelState::Absent
                })
            }
            Err(error) if error.code == ResultCode::BackendFailed => Some(ModelState::Fixed),
            Err(_) => None,
        }
    }
}

/// Lists the engine's models and refuses calls while the service's model is not among them. Returns the state of the
/// model; `None` if the engine has not answered.
pub(crate) async fn probe_model(
    shared: &AgentShared,
    previous: ModelState,
    healthy: bool,
) -> Option<ModelState> {
    let orders = &shared.model;
    if !healthy {
        // An engine that has failed must not count against the limit of loads in progress.
        *orders.load_started_at() = None;
        return Some(if previous == ModelState::Loading {
            ModelState::Absent
        } else {
            previous
        });
    }
    let unload_epoch = orders.unload_epoch.load(Ordering::SeqCst);
    let listed = shared.engine.list_models().await;
    let listed = listed.map(|models| models.contains(&shared.options.service));
    let state = orders.derive_state(listed);
    let is_serving = state.unwrap_or(previous).is_serving();
    let mut table = shared.call_table();
    if unload_epoch.is_multiple_of(2) && orders.unload_epoch.load(Ordering::SeqCst) == unload_epoch {
        table.set_suspended(!is_serving);
    }
    state
}

impl AgentShared {
    /// Records an order to load the model before it is sent to the engine.
    pub(crate) fn begin_load(&self) {
        *self.model.load_started_at() = Some(Instant::now());
        self.publish_model_state(ModelState::Loading);
    }

    /// Records that the engine did not accept the order to load.
    pub(crate) fn fail_load(&self) {
        *self.model.load_started_at() = None;
        self.publish_model_state(ModelState::Absent);
    }

    /// Starts to refuse calls before an unload.
    ///
    /// # Errors
    ///
    /// Returns 3001 with run state `NotRun` while calls wait or run.
    pub(crate) fn begin_unload(&self) -> Result<(), CallError> {
        let mut table = self.call_table();
        self.model.unload_epoch.fetch_add(1, Ordering::SeqCst);
        if table.suspend_if_idle() {
            return Ok(());
        }
        self.model.unload_epoch.fetch_add(1, Ordering::SeqCst);
        Err(CallError::not_run(
            ResultCode::QueueFull,
            "the model was not unloaded: calls wait or run at the engine",
        ))
    }

    /// Records the end of an unload, and accepts calls again if the order certainly had no effect.
    pub(crate) fn end_unload(&self, result: &Result<(), CallError>) {
        let mut table = self.call_table();
        match result {
            Err(error) if error.run == RunState::NotRun => table.set_suspended(false),
            _ => *self.model.load_started_at() = None,
        }
        self.model.unload_epoch.fetch_add(1, Ordering::SeqCst);
    }

    fn publish_model_state(&self, model: ModelState) {
        let mut report = **self.backend.load();
        report.model = model;
        self.backend.store(std::sync::Arc::new(report));
        self.publish_now.notify_one();
    }
}
