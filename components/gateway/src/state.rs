//! State that the tasks of an entry share.

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use domain::BuildKey;
use errors::ResultCode;
use ledger::{LedgerClient, ProgramKey};
use routing::{
    AccessBounds, AdmissionControl, BackendServer, LimitQuery, LimitTracker, LoadTracker, MemoryDemand,
    MemoryQuery, RouteTable, ServerDirectory, ServerKey, ServerQuery, ServerState, choose_backend,
};
use slog::{Logger, info};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::timeout;

use crate::affinity::{AffinityMap, program_affinity};
use crate::chains::ChainCache;
use crate::crash::CrashRegister;
use crate::dialect::WireDialect;
use crate::holders::{MemoryBounds, ReceivePace};
use crate::homes::{HomeServers, home_server};
use crate::knowledge::ConfigurationKnowledge;
use crate::log::LineLimiter;
use crate::memory::MemoryBudget;
use crate::metrics::ProcessMetrics;
use crate::models::{FaultChange, ModelObservation, ModelObservations, TurnPrompt};
use crate::pool::ServerPool;

/// Retry-After delay of a refused request in milliseconds: about the time in which a busy queue serves a few
/// turns.
const RETRY_AFTER_MS: u64 = 200;
/// Retry-After delay in milliseconds while the system may be recovering: the time in which ledger hosts read
/// their logs.
const RECOVERING_RETRY_AFTER_MS: u64 = 700;
/// Range of the Retry-After delay in milliseconds for refused new programs: the time of one or two of the
/// turns that are running. The delay is drawn at random, so that the programs do not retry all at once.
const BUSY_RETRY_AFTER_MS: Range<u64> = 600..1_300;
/// Period after the start of an entry in which the system may be recovering.
const RECOVERY_PERIOD: Duration = Duration::from_secs(3);

/// Longest time for which a request waits for the first configuration after a start of the entry.
const CONFIGURATION_WAIT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time for which a turn waits for the ledger hosts after a start of the entry.
const LEDGER_WAIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Limit on the connections that are open only for a refusal; further ones are reset.
const MAX_REFUSING_CONNECTIONS: usize = 32;
/// Limit on the connections whose callers may go on sending after a refusal; further ones are reset.
const MAX_LINGERING_CONNECTIONS: usize = 64;

/// Phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The entry serves requests and reports itself ready.
    Serving,
    /// The entry still accepts connections and serves requests, but reports itself not ready, so that the
    /// load balancer sends no new connections.
    Leaving,
    /// The entry accepts no connections; each open connection closes after its current request.
    Closing,
}

/// State that the tasks of an entry share.
#[derive(Debug)]
pub struct EntryState {
    pub(crate) dialect: Box<dyn WireDialect>,
    pub(crate) failure_domain: String,
    pub(crate) table: ArcSwapOption<RouteTable>,
    /// Wakes the requests that wait for the first configuration.
    configured: Notify,
    knowledge: ConfigurationKnowledge,
    pub(crate) pool: ServerPool,
    pub(crate) ledger: LedgerClient,
    pub(crate) chains: ChainCache,
    pub(crate) crashes: CrashRegister,
    pub(crate) memory: Arc<MemoryBudget>,
    /// Connections that are open only for a refusal.
    pub(crate) refusing: Semaphore,
    /// Connections that are closed but for what their callers still send.
    pub(crate) lingering: Semaphore,
    pub(crate) metrics: Arc<ProcessMetrics>,
    pub(crate) line_limiter: Arc<LineLimiter>,
    pub(crate) log: Logger,
    pub(crate) phase: watch::Sender<StopPhase>,
    pub(crate) directory: Mutex<ServerDirectory>,
    loads: Mutex<LoadTracker>,
    pub(crate) limits: Mutex<LimitTracker>,
    affinity: Mutex<AffinityMap>,
    /// Home servers; `None` if sessions without a known server go to any.
    homes: Option<Mutex<HomeServers>>,
    pub(crate) models: Mutex<ModelObservations>,
    /// Whether servers are compared by how their runs begin, go on and fail. Where servers cannot fail or slow down
    /// unnoticed by health checks, such differences are mostly chance.
    pub(crate) compares_runs: bool,
    pub(crate) admission: Mutex<AdmissionControl>,
    /// Open turns of all entries at the last reservation.
    pub(crate) open_turns: AtomicU64,
    started: Instant,
}

/// Criteria for the choice of a backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PickRequest<'a> {
    pub(crate) service: &'a str,
    pub(crate) affinity: Option<u64>,
    pub(crate) program: Option<ProgramKey>,
    /// Prompt of a turn; `None` for other requests.
    pub(crate) prompt: Option<TurnPrompt>,
    pub(crate) tried: &'a [ServerKey],
    /// Software that the server must run; `None` if any will do.
    pub(crate) build: Option<BuildKey>,
    /// Longest time for which the request can wait for a limited server, in milliseconds; `None` if such servers are
    /// the last choice.
    pub(crate) max_wait_ms: Option<u64>,
    /// Time until the deadline of the request, in milliseconds.
    pub(crate) left_ms: u64,
}

impl PickRequest<'_> {
    /// Returns the key of which the request is at home at a server: that of its program, since the prompts of a program's
    /// sessions begin alike, or else of its session or object.
    pub(crate) fn home_key(&self) -> Option<u64> {
        self.program.map(program_affinity).or(self.affinity)
    }
}

/// The server that was chosen for a request, and what the directory showed then.
#[derive(Debug)]
pub(crate) struct PickedServer {
    pub(crate) key: ServerKey,
    pub(crate) server: Arc<BackendServer>,
    pub(crate) load: LoadGuard,
    pub(crate) view: DirectoryView,
    /// Time until the server is expected to take the request, in milliseconds.
    pub(crate) wait_ms: u64,
    /// Time in milliseconds by which it may take the request later and stay the best choice; `None` without another.
    pub(crate) spare_ms: Option<u64>,
    /// Number of prompt tokens that the server is expected to read.
    pub(crate) read_tokens: u64,
}

/// State of the directory when a server was chosen. The log shows it, so that a request at a server that had left
/// can be traced to what the entry knew.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DirectoryView {
    /// Revision of the discovery service up to which the directory was complete.
    pub(crate) revision: u64,
    /// Whether the server had a registration.
    pub(crate) is_registered: bool,
}

/// Counts a request as load of a server until the guard is dropped.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    entry: Arc<EntryState>,
    key: ServerKey,
    /// Memory that is counted at the server, and the service of that.
    memory: Option<(String, MemoryDemand)>,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        lock(&self.entry.loads).end(self.key);
        if let Some((service, demand)) = &self.memory {
            let mut models = lock(&self.entry.models);
            models.of_service(service).memory.end(self.key, *demand);
        }
    }
}

impl EntryState {
    /// Creates the state of an entry that has neither a configuration nor backend servers yet.
    pub fn new(
        dialect: Box<dyn WireDialect>,
        failure_domain: String,
        ledger: LedgerClient,
        log: Logger,
    ) -> Self {
        let metrics = Arc::new(ProcessMetrics::new());
        let line_limiter = Arc::new(LineLimiter::new());
        let memory = MemoryBudget::new(Arc::clone(&metrics), Arc::clone(&line_limiter), log.clone());
        Self {
            dialect,
            failure_domain,
            table: ArcSwapOption::empty(),
            configured: Notify::new(),
            knowledge: ConfigurationKnowledge::default(),
            pool: ServerPool::default(),
            ledger,
            chains: ChainCache::default(),
            crashes: CrashRegister::default(),
            memory: Arc::new(memory),
            refusing: Semaphore::new(MAX_REFUSING_CONNECTIONS),
            lingering: Semaphore::new(MAX_LINGERING_CONNECTIONS),
            metrics,
            line_limiter,
            log,
            phase: watch::Sender::new(StopPhase::Serving),
            directory: Mutex::default(),
            loads: Mutex::default(),
            limits: Mutex::default(),
            affinity: Mutex::default(),
            homes: None,
            models: Mutex::default(),
            compares_runs: false,
            admission: Mutex::default(),
            open_turns: AtomicU64::new(0),
            started: Instant::now(),
        }
    }

    /// Has sessions, objects and prefixes stay at home servers, on which all entries agree.
    #[must_use]
    pub fn with_home_servers(mut self) -> Self {
        self.homes = Some(Mutex::new(HomeServers::new(self.failure_domain.clone())));
        self
    }

    /// Has servers compared by how their runs begin, go on and fail, if `compares_runs` is set.
    #[must_use]
    pub const fn with_compared_runs(mut self, compares_runs: bool) -> Self {
        self.compares_runs = compares_runs;
        self
    }

    /// Returns the client of the ledger hosts.
    pub const fn ledger(&self) -> &LedgerClient {
        &self.ledger
    }

    /// Returns the logger to which all tasks of the entry write.
    pub const fn log(&self) -> &Logger {
        &self.log
    }

    /// Returns the metrics that the entry records and that its metrics listener serves.
    pub fn metrics(&self) -> &ProcessMetrics {
        &self.metrics
    }

    /// Bounds what the entry holds for its callers, from the next connection on, and sets the pace at which bodies are to
    /// arrive.
    pub fn bound_memory(&self, bounds: MemoryBounds, pace: ReceivePace) {
        self.memory.set_bounds(bounds, pace);
    }

    /// Sets whether callers may read slowly, and backend servers break off answers that remain unread and crash beyond their
    /// memory. Answers are then read ahead of their callers, and the memory of servers is counted.
    pub fn expect_pressure(&self, expects_pressure: bool) {
        self.memory.expect_pressure(expects_pressure);
    }

    /// Closes connections of callers whose requests do not arrive within the header timeout.
    pub fn close_late_callers(&self) {
        if let Some(table) = &*self.table.load() {
            self.memory.close_late_heads(table.limits().header_timeout_ms);
        }
    }

    /// Puts a configuration in force if it is newer than the current one. Returns the version that was in
    /// force before.
    ///
    /// # Errors
    ///
    /// Fails with the current version when that is as new or newer.
    pub fn put_in_force(&self, table: RouteTable) -> Result<Option<u64>, u64> {
        let current = self.table.load().as_ref().map(|current| current.version());
        if let Some(current) = current
            && current >= table.version()
        {
            return Err(current);
        }
        self.metrics.set_configuration_version(table.version());
        self.table.store(Some(Arc::new(table)));
        self.configured.notify_waiters();
        Ok(current)
    }

    /// Returns the state with bounds for the age of the configuration by which it decides on API keys.
    #[must_use]
    pub const fn with_access_bounds(mut self, bounds: AccessBounds) -> Self {
        self.knowledge.bounds = bounds;
        self
    }

    /// Records that the configuration that has been received was the newest one at a time.
    pub fn confirm_configuration(&self, at: Instant) {
        let latest = self.knowledge.confirm(at);
        self.metrics.set_configuration_confirmed(latest.elapsed());
    }

    /// Waits until a request needs a newer configuration.
    pub async fn refresh_requested(&self) {
        self.knowledge.requested().await;
    }

    /// Records that a newer configuration has been asked for and has been received, if there is one.
    pub fn finish_refresh(&self) {
        self.knowledge.finish_refresh();
    }

    /// Asks for a newer configuration, and returns the one in force then; `None` if it has not been asked for or has not
    /// arrived in a short time.
    pub(crate) async fn refreshed_configuration(&self) -> Option<Arc<RouteTable>> {
        if !self.knowledge.refresh(self.now_ms()).await {
            return None;
        }
        self.table.load_full()
    }

    /// Returns the time since the configuration was last known to be the newest one, in milliseconds; `None` if it never
    /// was.
    pub(crate) fn configuration_age_ms(&self) -> Option<u64> {
        self.knowledge.age_ms()
    }

    /// Returns the bounds for the age of the configuration by which the entry decides on API keys.
    pub(crate) const fn access_bounds(&self) -> AccessBounds {
        self.knowledge.bounds
    }

    /// Enters a phase of the planned stop.
    pub fn enter_phase(&self, phase: StopPhase) {
        self.phase.send_replace(phase);
    }

    /// Closes connections to backend servers whose idle timeout has passed.
    pub fn close_expired_connections(&self) {
        self.pool.close_expired_connections();
    }

    /// Returns whether the entry is ready: no stop has started, a configuration and at least one backend server are known,
    /// and enough ledger hosts are reachable. Soon after a start, also whether one of them has told which requests crash
    /// servers.
    pub fn is_ready(&self) -> bool {
        let is_serving = *self.phase.borrow() == StopPhase::Serving;
        let knows_crashes = self.crashes.is_informed() || self.started.elapsed() >= RECOVERY_PERIOD;
        is_serving
            && knows_crashes
            && self.table.load().is_some()
            && !lock(&self.directory).is_empty()
            && self.ledger.is_reachable()
    }

    /// Chooses a backend server and counts the request as its load.
    pub(crate) fn pick(self: &Arc<Self>, request: PickRequest<'_>) -> Option<PickedServer> {
        let remembered = lock(&self.affinity).last_server(request.affinity, request.program);
        let mut directory = lock(&self.directory);
        for server in directory.expire(self.now_ms()) {
            info!(self.log, "backend server without a registration dropped"; "server" => &server.name,
                "address" => %server.address, "directory" => directory.revision());
        }
        let mut models = lock(&self.models);
        let model = models.of_service(request.service);
        if let Some(prefix) = request.prompt.and_then(|prompt| prompt.prefix)
            && request.tried.is_empty()
        {
            model.record_prefix(prefix, self.now_ms());
        }
        let mut homes = self.homes.as_ref().map(lock);
        let mut table = homes
            .as_mut()
            .map(|homes| homes.of_service(&directory, request.service));
        let placed = request.prompt.and_then(|prompt| {
            let table = table.as_deref_mut().map(|table| &mut table.assignments);
            model.prefix_servers(&directory, request.service, prompt, table)
        });
        let (risks, changes) = model.risks(&directory, request.service, self.now_ms());
        self.report_faults(&directory, &changes);
        let load_permille = self.load_permille(&directory, model, request.service);
        let prompt = request
            .prompt
            .map(|prompt| model.prompt_query(prompt, placed.as_deref(), load_permille));
        let memory = self.memory_query(&directory, model, &request);
        let limits = lock(&self.limits);
        let mut loads = lock(&self.loads);
        // A prompt stays where it is cached; an object goes to the server on which all entries agree.
        let kept = remembered.filter(|key| request.prompt.is_some() && directory.is_ready(*key));
        let home = || home_server(table.as_deref()?, &loads, &request, placed.as_deref());
        let preferred = kept.or_else(home).or(remembered);
        let query = ServerQuery {
            service: request.service,
            failure_domain: &self.failure_domain,
            preferred,
            tried: request.tried,
            build: request.build,
            prompt,
            limits: (!limits.is_empty()).then_some(LimitQuery {
                limits: &limits,
                max_wait_ms: request.max_wait_ms,
            }),
            memory,
            risks: &risks,
            left_ms: request.left_ms,
            draw: rand::random(),
            now_ms: self.now_ms(),
        };
        let Some(pick) = choose_backend(&directory, &loads, &query) else {
            if let Some(memory) = query.memory {
                self.log_unplaced(request.service, memory);
            }
            return None;
        };
        let demand = memory.map(|memory| memory.demand);
        loads.begin(pick.key);
        if let Some(demand) = demand {
            model.memory.begin(pick.key, demand);
        }
        let guard = LoadGuard {
            entry: Arc::clone(self),
            key: pick.key,
            memory: demand.map(|demand| (request.service.to_owned(), demand)),
        };
        Some(PickedServer {
            key: pick.key,
            server: Arc::clone(pick.server),
            load: guard,
            view: DirectoryView {
                revision: directory.revision(),
                is_registered: directory.is_registered(&pick.server.name),
            },
            wait_ms: pick.wait_ms,
            spare_ms: pick.spare_ms,
            read_tokens: pick.read_tokens,
        })
    }

    /// Logs and counts backend servers that are held to be at fault from now on, or no longer.
    fn report_faults(&self, directory: &ServerDirectory, changes: &[FaultChange]) {
        for change in changes {
            let (key, label, permille) = match change {
                FaultChange::Begun(risk) => (risk.key, "begin", risk.permille),
                FaultChange::Ended(key) => (*key, "end", 0),
            };
            self.metrics.server_faults.with_label_values(&[label]).inc();
            let listed = directory.all().find(|(listed, _)| *listed == key);
            if let Some((_, server)) = listed
                && self.line_limiter.try_acquire()
            {
                info!(self.log, "backend server held to be at fault"; "server" => &server.name,
                    "service" => &server.service, "change" => label, "risk_permille" => permille);
            }
        }
    }

    /// Returns whether a chosen server still takes new work.
    pub(crate) fn takes_work(&self, key: ServerKey) -> bool {
        lock(&self.directory).is_ready(key)
    }

    /// Returns whether a server of a service takes new work and runs this software.
    pub(crate) fn serves_build(&self, service: &str, build: BuildKey) -> bool {
        let directory = lock(&self.directory);
        directory
            .ready(service)
            .any(|(_, server)| server.build() == build)
    }

    /// Returns the memory of each server of a service in tokens, if it is counted.
    pub(crate) fn server_tokens(&self, service: &str) -> Option<u64> {
        let table = self.table.load();
        let profile = table.as_ref()?.service(service)?;
        profile.cache_tokens.filter(|_| self.memory.expects_pressure())
    }

    /// Returns the inputs to the question which servers have the memory for a turn, if memory is counted.
    fn memory_query<'a>(
        &self,
        directory: &ServerDirectory,
        model: &'a ModelObservation,
        request: &PickRequest<'_>,
    ) -> Option<MemoryQuery<'a>> {
        let demand = request.prompt?.demand();
        let server_tokens = self.server_tokens(request.service)?;
        let capacities = directory
            .ready(request.service)
            .map(|(_, server)| u64::from(server.capacity));
        Some(MemoryQuery {
            tracker: &model.memory,
            demand,
            server_tokens,
            open_turns: self.open_turns.load(Ordering::Relaxed),
            slots: capacities.sum(),
        })
    }

    /// Logs that no server was left for a request whose memory is counted.
    fn log_unplaced(&self, service: &str, memory: MemoryQuery<'_>) {
        self.metrics.memory.with_label_values(&["unplaced"]).inc();
        if self.line_limiter.try_acquire() {
            info!(self.log, "no backend server left for a request"; "service" => service,
                "own_tokens" => memory.demand.own_tokens, "server_tokens" => memory.server_tokens,
                "open_turns" => memory.open_turns);
        }
    }

    /// Records the backend server that holds the prompt of a session and of its program. Returns the one that held it
    /// before.
    pub(crate) fn record_affinity(
        &self,
        affinity: Option<u64>,
        program: Option<ProgramKey>,
        key: ServerKey,
    ) -> Option<ServerKey> {
        lock(&self.affinity).record(affinity, program, key)
    }

    /// Returns why a session has changed its server, after the `tried` servers have not served its request.
    pub(crate) fn move_cause(&self, before: ServerKey, key: ServerKey, tried: &[ServerKey]) -> &'static str {
        if before == key {
            "none"
        } else if tried.contains(&before) {
            "failed"
        } else {
            let directory = lock(&self.directory);
            let mut listed = directory.all();
            match listed.find(|(listed, _)| *listed == before) {
                None => "removed",
                Some((_, server)) if server.state == ServerState::Leaving => "leaving",
                Some(_) => "balance",
            }
        }
    }

    /// Records that a backend server has said in its answer to a request that it leaves. The answer is known before
    /// the discovery service lists the server as leaving, or instead.
    pub(crate) fn record_departure(&self, key: ServerKey, request: &str) {
        let mut directory = lock(&self.directory);
        if let Some(server) = directory.record_departure(key) {
            info!(self.log, "backend server says that it leaves"; "server" => &server.name,
                "address" => %server.address, "directory" => directory.revision(), "request" => request);
        }
    }

    /// Records a refusal or a failure of a backend server, so that other servers are preferred for a while.
    pub(crate) fn avoid(&self, key: ServerKey) {
        lock(&self.loads).avoid(key, self.now_ms());
    }

    /// Applies a change to the directory of backend servers, and drops the load of servers that are no longer
    /// listed.
    pub fn update_directory(&self, change: impl FnOnce(&mut ServerDirectory)) {
        let mut directory = lock(&self.directory);
        change(&mut directory);
        lock(&self.loads).remove_unlisted(&directory);
        lock(&self.models).remove_unlisted(&directory);
        lock(&self.limits).remove_unlisted(&directory);
        self.metrics
            .backend_servers
            .set(i64::try_from(directory.len()).unwrap_or(i64::MAX));
    }

    /// Returns the Retry-After delay of a refused request in milliseconds. It is longer soon after a start,
    /// because the whole system may have lost power and other entries cannot serve any sooner.
    pub(crate) fn retry_after_ms(&self, code: ResultCode) -> u64 {
        if matches!(code, ResultCode::QueueFull | ResultCode::MemoryExhausted) {
            return rand::random_range(BUSY_RETRY_AFTER_MS);
        }
        if self.started.elapsed() < RECOVERY_PERIOD {
            RECOVERING_RETRY_AFTER_MS
        } else {
            RETRY_AFTER_MS
        }
    }

    /// Returns the configuration in force. Soon after a start, waits for a short time until there is one.
    pub(crate) async fn wait_for_configuration(&self) -> Option<Arc<RouteTable>> {
        // Registered before the check, so that a configuration in between is not missed.
        let mut configured = std::pin::pin!(self.configured.notified());
        configured.as_mut().enable();
        if let Some(table) = self.table.load_full() {
            return Some(table);
        }
        if self.started.elapsed() < RECOVERY_PERIOD {
            // After the timeout there is no configuration, and the request is refused.
            drop(timeout(CONFIGURATION_WAIT_TIMEOUT, configured).await);
        }
        self.table.load_full()
    }

    /// Waits for the ledger hosts for a short time soon after a start. When the whole system has lost power, they
    /// are back a fraction of a second after the entry, and a refused caller would return only much later. Returns
    /// for how much longer the turn may wait for hosts that are reachable but not complete yet.
    pub(crate) async fn wait_for_ledger(&self) -> Duration {
        if self.started.elapsed() >= RECOVERY_PERIOD {
            return Duration::ZERO;
        }
        let before = Instant::now();
        self.ledger.wait_reachable(LEDGER_WAIT_TIMEOUT).await;
        LEDGER_WAIT_TIMEOUT.saturating_sub(before.elapsed())
    }

    /// Returns the time since the start of the entry in milliseconds.
    pub fn now_ms(&self) -> u64 {
        whole_millis(self.started.elapsed())
    }
}

/// Returns a duration in whole milliseconds, rounded down; the largest number if it does not fit.
pub fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Locks a mutex, also after a panic of a task that held it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
