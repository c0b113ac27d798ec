//! Start, run and planned stop of an agent.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{Context as _, Result, anyhow, bail};
use arc_swap::{ArcSwap, ArcSwapOption};
use domain::{Heartbeat, TimeMillis};
use engine::{EngineClient, EngineOptions, parse_backend_address};
use slog::info;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wire::{HeartbeatPublisher, HeartbeatSubscriber, PeerListener};

use crate::call_table::{CallLimits, CallTable};
use crate::configuration::update_configuration;
use crate::heartbeat::{poll_host_list, probe_backend, publish_heartbeats, track_entries};
use crate::model::ModelOrders;
use crate::options::AgentOptions;
use crate::orders::{ORDER_QUEUE_LENGTH, PendingOrder, send_orders};
use crate::port::serve_port;
use crate::runner::run_calls;
use crate::shared::{AgentShared, BackendReport};
use crate::sweeper::sweep_programs;

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A planned stop waits for the readers of outcomes up to this much older than the stop.
const UNREAD_RETENTION_MS: u64 = 5_000;
/// Delay at the end of a planned stop, in which the last answers are sent.
const FINAL_ANSWER_DELAY: Duration = Duration::from_millis(200);

/// An agent whose addresses are bound; `run` serves them.
#[derive(Debug)]
pub struct AgentProcess {
    shared: Arc<AgentShared>,
    listener: PeerListener,
    address: SocketAddr,
    publisher: HeartbeatPublisher,
    subscriber: Arc<HeartbeatSubscriber>,
    heartbeats: mpsc::Receiver<Heartbeat>,
    orders: mpsc::Receiver<PendingOrder>,
}

impl AgentProcess {
    /// Binds the addresses of the agent and prepares its state.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or the backend server's address is malformed.
    pub async fn start(options: AgentOptions) -> Result<Self> {
        let backend = parse_backend_address(&options.backend).map_err(|error| anyhow!(error))?;
        let listener = PeerListener::bind(options.process, options.secret.clone()).await?;
        let address = listener.local_address()?;
        let publisher = HeartbeatPublisher::bind(options.heartbeat, options.secret.clone())?;
        let (subscriber, heartbeats) =
            HeartbeatSubscriber::start(options.secret.clone()).context("cannot receive heartbeats")?;
        let (sender, orders) = mpsc::channel(ORDER_QUEUE_LENGTH);
        let start = rand::random();
        let engine = EngineOptions::builder()
            .address(backend)
            .idle_timeout(options.suspect_after)
            .build();
        info!(options.log, "agent started"; "host" => %options.host, "address" => %address,
            "backend" => %backend, "start" => start);
        let shared = Arc::new(AgentShared {
            start,
            engine: EngineClient::new(engine),
            call_table: Mutex::new(CallTable::new(start, CallLimits::default())),
            work: Notify::new(),
            released: Notify::new(),
            publish_now: Notify::new(),
            configuration: ArcSwapOption::empty(),
            entries: ArcSwap::default(),
            listed_entries: AtomicUsize::new(usize::MAX),
            backend: ArcSwap::from_pointee(BackendReport::default()),
            orders: sender,
            largest_term: AtomicU64::new(0),
            model: ModelOrders::default(),
            draining: CancellationToken::new(),
            listed_leaving: AtomicBool::new(false),
            options,
        });
        Ok(Self {
            shared,
            listener,
            address,
            publisher,
            subscriber,
            heartbeats,
            orders,
        })
    }

    /// Returns the address of the process port.
    pub const fn process_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address on which heartbeats are published.
    pub const fn heartbeat_address(&self) -> SocketAddr {
        self.publisher.local_address()
    }

    /// Runs until the token is cancelled or an operator drains the host, then drains and returns.
    ///
    /// # Errors
    ///
    /// Fails, after draining, when a task of the agent has panicked or ended.
    pub async fn run(self, stop: CancellationToken) -> Result<()> {
        let Self {
            shared,
            listener,
            address,
            publisher,
            subscriber,
            heartbeats,
            orders,
        } = self;
        let closing = CancellationToken::new();
        let _close = closing.clone().drop_guard();
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_port(Arc::clone(&shared), listener, closing.clone()));
        tasks.spawn(run_calls(Arc::clone(&shared)));
        tasks.spawn(send_orders(Arc::clone(&shared), orders));
        tasks.spawn(publish_heartbeats(Arc::clone(&shared), publisher, address));
        tasks.spawn(probe_backend(Arc::clone(&shared)));
        tasks.spawn(poll_host_list(Arc::clone(&shared), subscriber));
        tasks.spawn(track_entries(Arc::clone(&shared), heartbeats));
        tasks.spawn(update_configuration(Arc::clone(&shared)));
        tasks.spawn(sweep_programs(Arc::clone(&shared)));
        let failure = tokio::select! {
            () = stop.cancelled() => None,
            () = shared.draining.cancelled() => None,
            ended = tasks.join_next() => ended,
        };
        drain(&shared).await;
        tasks.shutdown().await;
        match failure {
            None => Ok(()),
            Some(Ok(())) => bail!("a task of the agent ended before its stop"),
            Some(Err(error)) => Err(error).context("a task of the agent failed"),
        }
    }
}

/// Starts a planned stop: new and waiting calls are refused, and a heartbeat announces it at once.
pub(crate) fn begin_drain(shared: &AgentShared) {
    shared.draining.cancel();
    leave(shared);
}

/// Applies whether the host list shows this host as leaving.
///
/// The list may be wrong. Leaving is cancelled as soon as the list does not show it any more, unless a planned
/// stop is in progress.
pub(crate) fn apply_listed_leaving(shared: &AgentShared, leaving: bool) {
    let before = shared.listed_leaving.swap(leaving, Ordering::Relaxed);
    if leaving && !before {
        leave(shared);
    } else if before && !leaving && !shared.draining.is_cancelled() {
        info!(shared.options.log, "leaving cancelled"; "cause" => "host list");
        shared.call_table().cancel_leave();
    }
}

fn leave(shared: &AgentShared) {
    info!(shared.options.log, "leaving"; "listed" => shared.listed_leaving.load(Ordering::Relaxed));
    shared.call_table().leave(TimeMillis::now());
    shared.work.notify_waiters();
    shared.publish_now.notify_one();
}

/// Starts a planned stop and waits, at most for `stop_grace`, until the running calls have ended and their
/// outcomes are read.
async fn drain(shared: &AgentShared) {
    let unread_since = TimeMillis(TimeMillis::now().0.saturating_sub(UNREAD_RETENTION_MS));
    begin_drain(shared);
    let deadline = Instant::now() + shared.options.stop_grace;
    while shared.call_table().has_open_or_unread(unread_since) && Instant::now() < deadline {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    tokio::time::sleep(FINAL_ANSWER_DELAY).await;
    info!(shared.options.log, "agent stopped"; "running" => shared.call_table().running());
}
