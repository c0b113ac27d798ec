//! What the tasks of an entry share.

use std::collections::HashMap;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use errors::ResultCode;
use ledger::{LedgerClient, ProgramKey};
use routing::{
    BackendServer, LoadBoard, RouteTable, ServerDirectory, ServerKey, ServerQuery, choose_backend,
};
use slog::Logger;
use tokio::sync::watch;

use crate::chains::ChainCache;
use crate::dialect::WireDialect;
use crate::log::LineBudget;
use crate::metrics::ProcessMetrics;
use crate::pool::ServerPool;

/// Sessions whose last backend server is remembered, in each of two generations.
const AFFINITY_SESSIONS: usize = 20_000;

/// Time in milliseconds after which a refused caller is asked to come back: a few turns of a busy queue.
const RETRY_AFTER_MS: u64 = 200;
/// The same while the system may be recovering: the time in which ledger hosts read their logs.
const RECOVERING_RETRY_AFTER_MS: u64 = 700;
/// The same in milliseconds while new programs are turned away: a turn or two of those under way. It is drawn, so that
/// they do not return all at once.
const BUSY_RETRY_AFTER_MS: Range<u64> = 600..1_300;
/// Time after the start of an entry in which the system may be recovering.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Serves and reports itself ready.
    Serving,
    /// Serves, but asks for no new connections.
    Leaving,
    /// Accepts no connections; open ones end with their present request.
    Closing,
}

/// Last backend server of each session and program, in two generations.
#[derive(Debug, Default)]
struct AffinityMap {
    newer: HashMap<u64, ServerKey>,
    older: HashMap<u64, ServerKey>,
}

impl AffinityMap {
    fn get(&self, session: u64) -> Option<ServerKey> {
        self.newer
            .get(&session)
            .or_else(|| self.older.get(&session))
            .copied()
    }

    fn set(&mut self, session: u64, key: ServerKey) {
        if self.newer.len() >= AFFINITY_SESSIONS {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(session, key);
    }
}

/// What the tasks of an entry share.
#[derive(Debug)]
pub struct EntryState {
    pub(crate) dialect: Box<dyn WireDialect>,
    pub(crate) failure_domain: String,
    pub(crate) table: ArcSwapOption<RouteTable>,
    pub(crate) pool: ServerPool,
    pub(crate) ledger: LedgerClient,
    pub(crate) chains: ChainCache,
    pub(crate) metrics: ProcessMetrics,
    pub(crate) lines: LineBudget,
    pub(crate) log: Logger,
    pub(crate) phase: watch::Sender<StopPhase>,
    directory: Mutex<ServerDirectory>,
    board: Mutex<LoadBoard>,
    affinity: Mutex<AffinityMap>,
    started: Instant,
}

/// Who asks for a backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PickRequest<'a> {
    pub(crate) service: &'a str,
    pub(crate) affinity: Option<u64>,
    pub(crate) program: Option<ProgramKey>,
    pub(crate) tried: &'a [ServerKey],
}

/// A request that counts as load of a server until it is dropped.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    entry: Arc<EntryState>,
    key: ServerKey,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        lock(&self.entry.board).end(self.key);
    }
}

impl EntryState {
    /// Creates the state of an entry that knows nothing yet.
    pub fn new(
        dialect: Box<dyn WireDialect>,
        failure_domain: String,
        ledger: LedgerClient,
        log: Logger,
    ) -> Self {
        Self {
            dialect,
            failure_domain,
            table: ArcSwapOption::empty(),
            pool: ServerPool::default(),
            ledger,
            chains: ChainCache::default(),
            metrics: ProcessMetrics::new(),
            lines: LineBudget::new(),
            log,
            phase: watch::Sender::new(StopPhase::Serving),
            directory: Mutex::default(),
            board: Mutex::default(),
            affinity: Mutex::default(),
            started: Instant::now(),
        }
    }

    /// Returns the ledger.
    pub const fn ledger(&self) -> &LedgerClient {
        &self.ledger
    }

    /// Returns the log.
    pub const fn log(&self) -> &Logger {
        &self.log
    }

    /// Returns the metrics.
    pub const fn metrics(&self) -> &ProcessMetrics {
        &self.metrics
    }

    /// Puts a configuration in force unless the present one is as new; returns the version before.
    ///
    /// # Errors
    ///
    /// Fails with the present version when it is as new or newer.
    pub fn put_in_force(&self, table: RouteTable) -> Result<Option<u64>, u64> {
        let present = self.table.load().as_ref().map(|present| present.version());
        if let Some(present) = present
            && present >= table.version()
        {
            return Err(present);
        }
        self.metrics.set_configuration_version(table.version());
        self.table.store(Some(Arc::new(table)));
        Ok(present)
    }

    /// Goes on to a phase of the planned stop.
    pub fn enter_phase(&self, phase: StopPhase) {
        self.phase.send_replace(phase);
    }

    /// Closes connections to backend servers that have been idle for too long.
    pub fn close_expired_connections(&self) {
        self.pool.close_expired_connections();
    }

    /// Returns whether the entry knows enough to serve.
    pub fn is_ready(&self) -> bool {
        let is_serving = *self.phase.borrow() == StopPhase::Serving;
        is_serving
            && self.table.load().is_some()
            && !lock(&self.directory).is_empty()
            && self.ledger.is_reachable()
    }

    /// Chooses a backend server and counts the request as its load.
    pub(crate) fn pick(
        self: &Arc<Self>,
        request: PickRequest<'_>,
    ) -> Option<(ServerKey, Arc<BackendServer>, LoadGuard)> {
        let preferred = {
            let affinity = lock(&self.affinity);
            let of_session = request.affinity.and_then(|session| affinity.get(session));
            of_session.or_else(|| {
                request
                    .program
                    .and_then(|program| affinity.get(program_affinity(program)))
            })
        };
        let mut directory = lock(&self.directory);
        directory.expire(self.now_ms());
        let mut board = lock(&self.board);
        let query = ServerQuery {
            service: request.service,
            failure_domain: &self.failure_domain,
            preferred,
            tried: request.tried,
            draw: rand::random(),
            now_ms: self.now_ms(),
        };
        let pick = choose_backend(&directory, &board, &query)?;
        board.begin(pick.key);
        let guard = LoadGuard {
            entry: Arc::clone(self),
            key: pick.key,
        };
        Some((pick.key, Arc::clone(pick.server), guard))
    }

    /// Remembers which backend server holds the prompt of a session and of its program.
    pub(crate) fn remember(&self, affinity: Option<u64>, program: Option<ProgramKey>, key: ServerKey) {
        let mut map = lock(&self.affinity);
        for session in affinity.into_iter().chain(program.map(program_affinity)) {
            map.set(session, key);
        }
    }

    /// Returns the requests that all ready servers of the services run at a time.
    pub(crate) fn slots_of<'a>(&self, services: impl Iterator<Item = &'a str>) -> u64 {
        let directory = lock(&self.directory);
        services
            .flat_map(|service| directory.ready(service))
            .map(|(_, server)| u64::from(server.capacity))
            .sum()
    }

    /// Notes a refusal or a failure of a backend server.
    pub(crate) fn avoid(&self, key: ServerKey) {
        lock(&self.board).avoid(key, self.now_ms());
    }

    /// Changes the directory of backend servers.
    pub fn update_directory(&self, change: impl FnOnce(&mut ServerDirectory)) {
        let mut directory = lock(&self.directory);
        change(&mut directory);
        lock(&self.board).forget_unlisted(&directory);
        self.metrics
            .backend_servers
            .set(i64::try_from(directory.len()).unwrap_or(i64::MAX));
    }

    /// Returns the time in milliseconds after which a refused caller is asked to come back. Soon after a start the
    /// whole system may have lost power, and other entries can serve no sooner.
    pub(crate) fn retry_after_ms(&self, code: ResultCode) -> u64 {
        if code == ResultCode::QueueFull {
            return rand::random_range(BUSY_RETRY_AFTER_MS);
        }
        if self.started.elapsed() < RECOVERY_TIME {
            RECOVERING_RETRY_AFTER_MS
        } else {
            RETRY_AFTER_MS
        }
    }

    /// Returns the time since the start in milliseconds.
    pub fn now_ms(&self) -> u64 {
        whole_millis(self.started.elapsed())
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "any half of the hash will do as a key"
)]
const fn program_affinity(program: ProgramKey) -> u64 {
    program.0 as u64
}

/// Returns a time in whole milliseconds.
pub fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
