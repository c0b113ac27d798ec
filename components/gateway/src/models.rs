//! What an entry observes of the services: the prefixes of prompts, and the pace and the failures of the servers.

use routing::{
    AssignmentTable, HealthTracker, MemoryDemand, MemoryTracker, PaceSample, PaceTracker, PrefixTracker,
    PromptPrefix, PromptQuery, ServerDirectory, ServerKey, ServerRisk, StartSample, prefix_servers,
};

/// Prompt of a turn, as the request and the configuration describe it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TurnPrompt {
    /// Leading part that other programs share.
    pub(crate) prefix: Option<PromptPrefix>,
    /// Tokens of the whole prompt.
    pub(crate) tokens: u64,
    /// Number of output tokens that the caller expects.
    pub(crate) stream_tokens: Option<u64>,
    /// Largest number of output tokens.
    pub(crate) max_tokens: u64,
    /// Largest number of tokens in one event of the service's streams.
    pub(crate) tokens_per_event: u64,
    /// Tokens that a server of the service can hold in its cache, if the configuration states them.
    pub(crate) cache_tokens: Option<u64>,
}

impl TurnPrompt {
    /// Returns the memory that the turn needs at its server.
    pub(crate) fn demand(self) -> MemoryDemand {
        let output_tokens = self.stream_tokens.unwrap_or(self.max_tokens);
        MemoryDemand::new(self.prefix, self.tokens, output_tokens)
    }
}

/// Change of a server's standing.
#[derive(Debug, Clone, Copy)]
pub(crate) enum FaultChange {
    /// The server is held to be at fault from now on.
    Begun(ServerRisk),
    /// The server counts as sound again, or is no longer listed.
    Ended(ServerKey),
}

/// What the entry has observed of a service.
#[derive(Debug, Default)]
pub(crate) struct ModelObservation {
    /// Failures and silence of the servers.
    pub(crate) health: HealthTracker,
    /// Servers that are held to be at fault, sorted.
    faulty: Vec<ServerKey>,
    prefixes: PrefixTracker,
    paces: PaceTracker,
    /// Memory that the entry's requests need at the servers.
    pub(crate) memory: MemoryTracker,
}

impl ModelObservation {
    /// Counts a turn that begins with a prefix.
    pub(crate) fn record_prefix(&mut self, prefix: PromptPrefix, now_ms: u64) {
        self.prefixes.record(prefix, now_ms);
    }

    /// Returns the servers that are held to be at fault, sorted by key, and those for which that has changed since the
    /// last call.
    pub(crate) fn risks(
        &mut self,
        directory: &ServerDirectory,
        service: &str,
        now_ms: u64,
    ) -> (Vec<ServerRisk>, Vec<FaultChange>) {
        let risks = self.health.risks(directory, service, now_ms);
        let began = risks
            .iter()
            .filter(|risk| self.faulty.binary_search(&risk.key).is_err());
        let began = began.map(|risk| FaultChange::Begun(*risk));
        let is_held = |key: &ServerKey| risks.binary_search_by_key(key, |risk| risk.key).is_ok();
        let ended = self.faulty.iter().filter(|key| !is_held(key));
        let changes = began.chain(ended.map(|key| FaultChange::Ended(*key))).collect();
        self.faulty = risks.iter().map(|risk| risk.key).collect();
        (risks, changes)
    }

    /// Records the pace of a stream that a backend server has sent.
    pub(crate) fn record_pace(&mut self, key: ServerKey, sample: PaceSample, now_ms: u64) {
        self.paces.record(key, sample, now_ms);
    }

    /// Records the pace of a stream for the service as a whole.
    pub(crate) fn record_mean_pace(&mut self, sample: PaceSample) {
        self.paces.record_mean(sample);
    }

    /// Records the beginning of a stream of a backend server.
    pub(crate) fn record_start(&mut self, key: ServerKey, sample: StartSample, now_ms: u64) {
        self.paces.record_start(key, sample, now_ms);
    }

    /// Returns the expected time of a whole stream of a server in microseconds.
    pub(crate) fn stream_us(&self, key: ServerKey, now_ms: u64) -> u64 {
        self.paces.stream_us(key, None, now_ms)
    }

    /// Returns the sorted servers on which the prefix of a turn is placed, or `None` if every server can hold it. With
    /// a table, servers are chosen in proportion to their sizes.
    pub(crate) fn prefix_servers(
        &self,
        directory: &ServerDirectory,
        service: &str,
        prompt: TurnPrompt,
        table: Option<&mut AssignmentTable>,
    ) -> Option<Vec<ServerKey>> {
        let prefix = prompt.prefix?;
        let servers = directory.ready(service).count();
        let copies = self.prefixes.copies(prefix, servers, prompt.cache_tokens?)?;
        Some(match table {
            Some(table) => table.first(prefix.key, copies),
            None => prefix_servers(directory, service, prefix, copies),
        })
    }

    /// Returns the inputs to the choice of a server for a turn.
    pub(crate) fn prompt_query<'a>(
        &'a self,
        prompt: TurnPrompt,
        prefix_servers: Option<&'a [ServerKey]>,
        load_permille: u64,
    ) -> PromptQuery<'a> {
        let prefix_tokens = prompt.prefix.map_or(0, |prefix| prefix.tokens);
        PromptQuery {
            prefix_tokens,
            session_tokens: prompt.tokens.saturating_sub(prefix_tokens),
            prefix_servers,
            stream_tokens: prompt.stream_tokens,
            tokens_per_event: prompt.tokens_per_event,
            load_permille,
            paces: &self.paces,
        }
    }
}

/// Observations of the model services, sorted by the name of the service.
#[derive(Debug, Default)]
pub(crate) struct ModelObservations {
    services: Vec<(String, ModelObservation)>,
}

impl ModelObservations {
    /// Returns the observation of a service, which is empty at first.
    pub(crate) fn of_service(&mut self, service: &str) -> &mut ModelObservation {
        let found = self
            .services
            .binary_search_by(|(name, _)| name.as_str().cmp(service));
        let index = found.unwrap_or_else(|index| {
            self.services
                .insert(index, (service.to_owned(), ModelObservation::default()));
            index
        });
        &mut self.services[index].1
    }

    /// Removes the paces of servers that are no longer listed.
    pub(crate) fn remove_unlisted(&mut self, directory: &ServerDirectory) {
        for (_, model) in &mut self.services {
            model.paces.remove_unlisted(directory);
            model.health.remove_unlisted(directory);
        }
    }
}
