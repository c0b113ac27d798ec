//! What the agent knows of its engine's model, and when it refuses calls for the lack of it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use domain::ModelState;
use errors::{CallError, ResultCode, RunState};
use tokio::time::Instant;

use crate::shared::AgentShared;

/// Time after which a load that the engine does not list is taken for failed.
const LONGEST_LOAD: Duration = Duration::from_mins(10);

/// Orders of the model that are under way.
#[derive(Debug, Default)]
pub(crate) struct ModelGate {
    load_began: Mutex<Option<Instant>>,
    /// Odd while an order to unload is under way, so that an earlier listing does not undo it.
    epoch: AtomicU64,
}

impl ModelGate {
    fn load_began(&self) -> MutexGuard<'_, Option<Instant>> {
        self.load_began.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state_of(&self, known: ModelState, listed: Result<bool, CallError>) -> ModelState {
        let mut began = self.load_began();
        match listed {
            Ok(true) => {
                *began = None;
                ModelState::Loaded
            }
            Ok(false) => {
                *began = began.filter(|began| began.elapsed() < LONGEST_LOAD);
                if began.is_some() {
                    ModelState::Loading
                } else {
                    ModelState::Absent
                }
            }
            Err(error) if error.code == ResultCode::BackendFailed => ModelState::Fixed,
            Err(_) => known,
        }
    }
}

/// Asks the engine for its models and refuses calls while the service's model is not among them.
pub(crate) async fn probe_model(shared: &AgentShared, known: ModelState, healthy: bool) -> ModelState {
    let gate = &shared.model;
    if !healthy {
        // A dead engine must not occupy one of the loads in progress.
        *gate.load_began() = None;
        return if known == ModelState::Loading {
            ModelState::Absent
        } else {
            known
        };
    }
    let epoch = gate.epoch.load(Ordering::SeqCst);
    let listed = shared.engine.list_models().await;
    let listed = listed.map(|models| models.contains(&shared.options.service));
    let state = gate.state_of(known, listed);
    let mut table = shared.call_table();
    if epoch.is_multiple_of(2) && gate.epoch.load(Ordering::SeqCst) == epoch {
        table.set_suspended(!state.is_serving());
    }
    state
}

impl AgentShared {
    /// Notes that the engine may be about to load the model.
    pub(crate) fn begin_load(&self) {
        *self.model.load_began() = Some(Instant::now());
        self.show_model(ModelState::Loading);
    }

    /// Notes that the engine did not take the order to load.
    pub(crate) fn fail_load(&self) {
        *self.model.load_began() = None;
        self.show_model(ModelState::Absent);
    }

    /// Refuses calls before an unload.
    ///
    /// # Errors
    ///
    /// Returns 3001, not run, while calls wait or run.
    pub(crate) fn begin_unload(&self) -> Result<(), CallError> {
        let mut table = self.call_table();
        self.model.epoch.fetch_add(1, Ordering::SeqCst);
        if table.suspend_if_idle() {
            return Ok(());
        }
        self.model.epoch.fetch_add(1, Ordering::SeqCst);
        Err(CallError::not_run(
            ResultCode::QueueFull,
            "calls wait or run at the engine",
        ))
    }

    /// Takes calls again when the engine certainly kept the model.
    pub(crate) fn end_unload(&self, result: &Result<(), CallError>) {
        let mut table = self.call_table();
        match result {
            Err(error) if error.run == RunState::NotRun => table.set_suspended(false),
            _ => *self.model.load_began() = None,
        }
        self.model.epoch.fetch_add(1, Ordering::SeqCst);
    }

    fn show_model(&self, model: ModelState) {
        let mut report = **self.backend.load();
        report.model = model;
        self.backend.store(std::sync::Arc::new(report));
        self.announced.notify_one();
    }
}
