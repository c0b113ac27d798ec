//! Memory budget of an entry: leases on what it holds for each caller's connection.
//!
//! The decisions are those of a [`HolderTable`]. Without bounds, nothing is counted.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

use bytes::Bytes;
use errors::{CallError, ResultCode};
use slog::{Logger, info};
use tokio::sync::watch;

use crate::holders::{
    BodyClaim, HeldUse, HolderKey, HolderTable, MemoryBounds, NoRoom, ReceivePace, RoomMade,
};
use crate::log::LineLimiter;
use crate::metrics::ProcessMetrics;
use crate::state::{lock, whole_millis};

/// Bytes that a running request is taken to occupy beside its body: its headers, its task and the buffers of its
/// connection to a backend server.
const REQUEST_BYTES: u64 = 64 * 1024;

/// What the task of a connection is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionOrder {
    Serve,
    /// Refuse the request whose body is arriving.
    Refuse,
    /// Close the connection once nothing is left to send.
    Close,
    /// Abort the connection, so that a part of an answer does not look complete.
    Abort,
}

/// Waits for this order; forever on a connection that is not counted.
pub(crate) async fn wait_for_order(
    orders: Option<watch::Receiver<ConnectionOrder>>,
    expected: ConnectionOrder,
) {
    let Some(mut orders) = orders else {
        return std::future::pending().await;
    };
    if orders.wait_for(|order| *order == expected).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// The connections, and by their index the channel to the task of each.
#[derive(Debug)]
struct BudgetState {
    table: HolderTable,
    orders: Vec<watch::Sender<ConnectionOrder>>,
    /// Bounds that the log has named.
    bounded: Option<MemoryBounds>,
}

/// Memory budget of an entry. It counts nothing until it has bounds.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    state: OnceLock<Mutex<BudgetState>>,
    /// Whether callers may read slowly, and servers break off what remains unread and crash beyond their memory.
    expects_pressure: AtomicBool,
    started: Instant,
    metrics: Arc<ProcessMetrics>,
    line_limiter: Arc<LineLimiter>,
    log: Logger,
}

impl MemoryBudget {
    pub(crate) fn new(metrics: Arc<ProcessMetrics>, line_limiter: Arc<LineLimiter>, log: Logger) -> Self {
        Self {
            state: OnceLock::new(),
            expects_pressure: AtomicBool::new(false),
            started: Instant::now(),
            metrics,
            line_limiter,
            log,
        }
    }

    /// Sets or replaces the bounds and the pace at which bodies are to arrive.
    pub(crate) fn set_bounds(&self, bounds: MemoryBounds, pace: ReceivePace) {
        let state = self.state.get_or_init(|| {
            Mutex::new(BudgetState {
                table: HolderTable::new(bounds),
                orders: Vec::new(),
                bounded: None,
            })
        });
        let mut state = lock(state);
        if state.bounded != Some(bounds) {
            info!(self.log, "memory for callers bounded"; "bytes" => bounds.bytes, "connections" => bounds.connections);
        }
        state.bounded = Some(bounds);
        state.table.set_bounds(bounds);
        state.table.set_pace(pace);
    }

    /// Sets whether callers may read slowly, and servers break off what remains unread and crash beyond their memory.
    pub(crate) fn expect_pressure(&self, expects_pressure: bool) {
        self.expects_pressure.store(expects_pressure, Ordering::Relaxed);
    }

    /// Returns whether callers may read slowly, and servers break off what remains unread and crash beyond their memory.
    pub(crate) fn expects_pressure(&self) -> bool {
        self.expects_pressure.load(Ordering::Relaxed)
    }

    /// Counts a connection; `None` without bounds.
    ///
    /// # Errors
    ///
    /// Fails when there is no room for the connection.
    pub(crate) fn open(self: &Arc<Self>) -> Result<Option<Arc<CallerConnection>>, NoRoom> {
        let Some(state) = self.state.get() else {
            return Ok(None);
        };
        let mut state = lock(state);
        let opened = state.table.open(self.now_ms());
        if opened.is_err() {
            self.count("connection-refused");
        }
        let (key, room) = opened?;
        let order = watch::Sender::new(ConnectionOrder::Serve);
        match state.orders.get_mut(key.index()) {
            Some(place) => *place = order,
            None => state.orders.push(order),
        }
        self.make_room(&state, &room);
        Ok(Some(Arc::new(CallerConnection {
            budget: Arc::clone(self),
            key,
        })))
    }

    /// Aborts the connections on which the head of a request has been arriving for longer than the timeout.
    pub(crate) fn close_late_heads(&self, timeout_ms: u64) {
        let Some(state) = self.state.get() else { return };
        let mut state = lock(state);
        for key in state.table.close_late_heads(timeout_ms, self.now_ms()) {
            self.count("late-head");
            if self.line_limiter.try_acquire() {
                info!(self.log, "connection closed, the head of its request is late"; "timeout_ms" => timeout_ms);
            }
            state.order(key, ConnectionOrder::Abort);
        }
        self.show(&state.table);
    }

    fn now_ms(&self) -> u64 {
        whole_millis(self.started.elapsed())
    }

    fn count(&self, outcome: &str) {
        self.metrics.memory.with_label_values(&[outcome]).inc();
    }

    fn show(&self, table: &HolderTable) {
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.metrics.held_bytes.set(gauge(table.held()));
        self.metrics
            .caller_connections
            .set(gauge(table.open_connections()));
    }

    /// Closes and aborts the connections that make room.
    fn make_room(&self, state: &BudgetState, room: &RoomMade) {
        for key in &room.idle {
            self.count("idle-closed");
            state.order(*key, ConnectionOrder::Close);
        }
        for key in &room.headless {
            self.count("headless-closed");
            state.order(*key, ConnectionOrder::Abort);
        }
        for late in &room.late_bodies {
            self.count("late-body");
            if self.line_limiter.try_acquire() {
                info!(self.log, "request refused, its body is late and others need the room"; "bytes" => late.held,
                    "elapsed_ms" => late.elapsed_ms, "held" => state.table.held(), "limit" => state.table.bounds().bytes);
            }
            state.order(late.key, ConnectionOrder::Refuse);
        }
        for let_go in &room.let_go {
            self.count("let-go");
            if self.line_limiter.try_acquire() {
                info!(self.log, "slow caller let go"; "bytes" => let_go.held, "priority" => let_go.priority,
                    "stalled_ms" => let_go.stalled_ms, "held" => state.table.held(),
                    "limit" => state.table.bounds().bytes);
            }
            state.order(let_go.key, ConnectionOrder::Abort);
        }
        self.show(&state.table);
    }
}

impl BudgetState {
    fn order(&self, key: HolderKey, order: ConnectionOrder) {
        if let Some(sender) = self.orders.get(key.index()) {
            sender.send_replace(order);
        }
    }
}

/// A counted connection of a caller. It stays counted until the last lease is dropped.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    budget: Arc<MemoryBudget>,
    key: HolderKey,
}

impl CallerConnection {
    /// Returns the channel that tells the connection's task what to do.
    pub(crate) fn orders(&self) -> watch::Receiver<ConnectionOrder> {
        self.with_state(|state| state.orders[self.key.index()].subscribe())
    }

    /// Records that bytes have arrived.
    pub(crate) fn record_bytes(&self) {
        self.with_state(|state| state.table.record_bytes(self.key, self.budget.now_ms()));
    }

    /// Holds memory for a request that may still be refused.
    ///
    /// # Errors
    ///
    /// Fails when there is no room for it.
    fn claim(self: &Arc<Self>, bytes: u64) -> Result<MemoryLease, CallError> {
        self.with_state(|state| {
            let (room, outcome) = match state.table.claim(self.key, bytes, self.budget.now_ms()) {
                Ok(room) => (room, Ok(())),
                Err(no_room) => (RoomMade::default(), Err(no_room)),
            };
            self.budget.make_room(state, &room);
            self.lease_if(outcome, bytes)
        })
    }

    /// Holds memory for a body that arrives, before its bytes are there.
    ///
    /// # Errors
    ///
    /// Fails when there is no room for it.
    pub(crate) fn claim_body(self: &Arc<Self>, bytes: u64) -> Result<MemoryLease, CallError> {
        self.with_state(|state| {
            let BodyClaim { room, outcome } = state.table.claim_body(self.key, bytes, self.budget.now_ms());
            self.budget.make_room(state, &room);
            self.lease_if(outcome, bytes)
        })
    }

    fn lease_if(self: &Arc<Self>, outcome: Result<(), NoRoom>, bytes: u64) -> Result<MemoryLease, CallError> {
        match outcome {
            Ok(()) => Ok(self.lease(bytes, HeldUse::Working)),
            Err(no_room) => {
                self.budget.count("refused");
                let message = format!("no room for {bytes} bytes of the request: {no_room}");
                Err(CallError::not_run(ResultCode::MemoryExhausted, message))
            }
        }
    }

    /// Records that the body of a request begins to arrive.
    pub(crate) fn begin_body(&self) {
        self.with_state(|state| state.table.begin_body(self.key, self.budget.now_ms()));
    }

    /// Records that a part of a body has arrived.
    pub(crate) fn record_body(&self, bytes: u64) {
        self.with_state(|state| state.table.record_body(self.key, bytes));
    }

    /// Records that no more of the body is read. Returns whether the request may go on.
    pub(crate) fn end_body(&self) -> bool {
        self.with_state(|state| state.table.end_body(self.key))
    }

    /// Returns whether the caller may read slowly, and servers break off what remains unread.
    pub(crate) fn expects_pressure(&self) -> bool {
        self.budget.expects_pressure()
    }

    /// Holds memory for bytes that have arrived already. This connection may be let go for them.
    pub(crate) fn hold(self: &Arc<Self>, bytes: u64, held_use: HeldUse) -> MemoryLease {
        self.with_state(|state| {
            let now_ms = self.budget.now_ms();
            let room = state.table.hold(self.key, bytes, held_use, now_ms);
            self.budget.make_room(state, &room);
        });
        self.lease(bytes, held_use)
    }

    /// Holds a complete answer until the caller has taken it.
    pub(crate) fn hold_answer(self: &Arc<Self>, bytes: Bytes) -> Bytes {
        self.hold(bytes.len() as u64, HeldUse::Waiting).bind(bytes)
    }

    /// Returns the largest number of bytes that are read ahead for the connection.
    pub(crate) fn read_ahead_bytes(&self) -> u64 {
        self.with_state(|state| state.table.bounds().connection_bytes())
    }

    fn lease(self: &Arc<Self>, bytes: u64, held_use: HeldUse) -> MemoryLease {
        MemoryLease {
            connection: Arc::clone(self),
            bytes,
            held_use,
        }
    }

    fn with_state<Output>(&self, act: impl FnOnce(&mut BudgetState) -> Output) -> Output {
        let state = self.budget.state.get().expect("set before the first connection");
        act(&mut lock(state))
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.with_state(|state| {
            state.table.close(self.key);
            self.budget.show(&state.table);
        });
    }
}

/// Memory that is held for a connection until the lease is dropped.
#[derive(Debug)]
pub(crate) struct MemoryLease {
    connection: Arc<CallerConnection>,
    bytes: u64,
    held_use: HeldUse,
}

impl MemoryLease {
    /// Returns the bytes with the lease, which ends when the last copy of them is dropped.
    pub(crate) fn bind(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(LeasedBytes { bytes, _lease: self })
    }

    /// Adds the memory of another lease of the same connection and use.
    pub(crate) fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Releases what the lease holds beyond this number of bytes.
    pub(crate) fn shrink_to(&mut self, bytes: u64) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        drop(self.connection.lease(surplus, self.held_use));
    }

    /// Extends the lease to this number of bytes if it is smaller.
    pub(crate) fn grow_to(&mut self, bytes: u64) {
        if bytes > self.bytes {
            let more = self.connection.hold(bytes - self.bytes, self.held_use);
            self.merge(more);
        }
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        let (bytes, held_use) = (self.bytes, self.held_use);
        self.connection.with_state(|state| {
            let now_ms = self.connection.budget.now_ms();
            state.table.release(self.connection.key, bytes, held_use, now_ms);
        });
    }
}

/// Memory for the work on one request, which is released when this is dropped with the request's answer. Without a
/// counted connection, nothing is held.
#[derive(Debug)]
pub(crate) struct RequestMemory {
    connection: Option<Arc<CallerConnection>>,
    leases: Vec<MemoryLease>,
}

impl RequestMemory {
    /// Records that the head of a request has arrived.
    pub(crate) fn new(connection: Option<Arc<CallerConnection>>) -> Self {
        if let Some(connection) = &connection {
            connection.with_state(|state| state.table.begin_request(connection.key));
        }
        Self {
            connection,
            leases: Vec::new(),
        }
    }

    /// Returns the connection on which the request has arrived, if it is counted.
    pub(crate) fn connection(&self) -> Option<Arc<CallerConnection>> {
        self.connection.clone()
    }

    /// Admits a request of this priority: holds what it needs beside its body.
    ///
    /// # Errors
    ///
    /// Fails when there is no room for the request.
    pub(crate) fn admit(&mut self, priority: u32) -> Result<(), CallError> {
        if let Some(connection) = &self.connection {
            connection.with_state(|state| state.table.set_priority(connection.key, priority));
        }
        self.claim(REQUEST_BYTES)
    }

    /// Holds memory for the body of the request until the request has been served.
    pub(crate) fn keep(&mut self, lease: MemoryLease) {
        self.leases.push(lease);
    }

    /// Holds memory for the request.
    ///
    /// # Errors
    ///
    /// Fails when there is no room for it.
    pub(crate) fn claim(&mut self, bytes: u64) -> Result<(), CallError> {
        let lease = self.lease(bytes)?;
        self.leases.extend(lease);
        Ok(())
    }

    /// Holds memory for a step of the request's work until the lease is dropped; `None` if nothing is counted.
    ///
    /// # Errors
    ///
    /// Fails when there is no room for it.
    pub(crate) fn lease(&self, bytes: u64) -> Result<Option<MemoryLease>, CallError> {
        match &self.connection {
            Some(connection) if bytes > 0 => connection.claim(bytes).map(Some),
            _ => Ok(None),
        }
    }
}

impl Drop for RequestMemory {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            let now_ms = connection.budget.now_ms();
            connection.with_state(|state| state.table.end_request(connection.key, now_ms));
        }
    }
}

/// Bytes with the lease on their memory.
struct LeasedBytes {
    bytes: Bytes,
    _lease: MemoryLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
