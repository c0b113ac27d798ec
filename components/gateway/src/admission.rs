//! Who may begin: the load of the engines as an entry knows it, and the decision on new programs.

use std::sync::atomic::Ordering;
use std::time::Duration;

use ledger::ProgramKey;
use routing::{
    AdmissionBounds, EngineLoad, EngineSlots, ServerDirectory, ServerLimit, limited_slots, may_be_full,
};

use crate::models::ModelObservation;
use crate::state::{EntryState, lock, whole_millis};

/// Largest load in thousandths of the slots that the choice of a server distinguishes.
const MAX_LOAD_PERMILLE: u64 = 2_000;

impl EntryState {
    /// Records the open turns of all entries that the ledger hosts have reported, and returns the load of the services'
    /// servers that follows.
    pub(crate) fn record_open_turns<'a>(
        &self,
        open_turns: u64,
        services: impl Iterator<Item = &'a str>,
    ) -> EngineLoad {
        self.open_turns.store(open_turns, Ordering::Relaxed);
        let load = self.engine_load(services, open_turns);
        lock(&self.admission).observe(load, self.now_ms());
        load
    }

    /// Decides whether a new program may start that has this time left, if that is known.
    ///
    /// # Errors
    ///
    /// Fails with the bounds of the decision if the program is refused.
    pub(crate) fn admit_program(
        &self,
        program: ProgramKey,
        left: Option<Duration>,
        load: EngineLoad,
    ) -> Result<(), AdmissionBounds> {
        let left_ms = left.map(whole_millis);
        lock(&self.admission).admit(program.uniform_hash(), left_ms, load)
    }

    /// Returns the load of all ready servers of the services while `open_turns` turns are in progress.
    fn engine_load<'a>(&self, services: impl Iterator<Item = &'a str>, open_turns: u64) -> EngineLoad {
        let directory = lock(&self.directory);
        let mut models = lock(&self.models);
        let engines = services.flat_map(|service| {
            let model = models.of_service(service);
            self.engine_slots(&directory, model, service)
        });
        EngineLoad::of_engines(open_turns, &engines.collect::<Vec<_>>())
    }

    /// Returns whether a server with this capacity may have no free slot at the present load of its service.
    pub(crate) fn may_be_full(&self, service: &str, capacity: u32) -> bool {
        let directory = lock(&self.directory);
        let mut models = lock(&self.models);
        may_be_full(
            self.load_permille(&directory, models.of_service(service), service),
            capacity,
        )
    }

    /// Returns the share of the slots of a service that are in use, in thousandths.
    pub(crate) fn load_permille(
        &self,
        directory: &ServerDirectory,
        model: &ModelObservation,
        service: &str,
    ) -> u64 {
        let engines = self.engine_slots(directory, model, service);
        let load = EngineLoad::of_engines(self.open_turns.load(Ordering::Relaxed), &engines);
        load.slots_permille().min(MAX_LOAD_PERMILLE)
    }

    /// Returns the slots of the servers of a service, as far as their memory allows requests of average size.
    fn engine_slots(
        &self,
        directory: &ServerDirectory,
        model: &ModelObservation,
        service: &str,
    ) -> Vec<EngineSlots> {
        let limits = lock(&self.limits);
        let now_ms = self.now_ms();
        let memory_slots = self
            .server_tokens(service)
            .and_then(|server_tokens| model.memory.mean_slots(server_tokens))
            .map_or(u32::MAX, |slots| u32::try_from(slots).unwrap_or(u32::MAX).max(1));
        let servers = directory.ready(service).map(|(key, server)| {
            let slots_of =
                |limit: ServerLimit| limited_slots(server.capacity, limit.rate, model.stream_us(key, now_ms));
            EngineSlots {
                capacity: server.capacity.min(memory_slots),
                limited: limits.limit(key).map(slots_of),
            }
        });
        servers.collect()
    }
}
