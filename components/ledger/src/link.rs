//! The connection to one ledger host, with the records that wait for it.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use futures::future::{Either, select, select_ok};
use slog::{Logger, info, warn};
use tarpc::client::RpcError;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use crate::port::{
    HostAddress, LedgerPortClient, PortFault, PortResult, RecordReceipt, call_within, connect_host,
    open_stream,
};
use crate::record::{LedgerRecord, TurnKey, TurnRecord};
use crate::relay::connect_through;
use crate::snapshot::KindSnapshot;

/// Longest time for a connection to be established, directly or through a relay.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which relays are tried beside the direct way; many times the delay between failure domains.
const RELAY_DELAY: Duration = Duration::from_millis(100);
/// Relays that are tried at once.
const RELAYS_TRIED: usize = 2;
/// Longest time for a call that waits for no disk.
const COUNT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for a call that waits for the disk.
const SYNC_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest wait for the next record. Records that nobody waits for go with the next one or after this time, well
/// within the second in which the platform takes a turn's tokens for settled.
const IDLE_WAIT: Duration = Duration::from_millis(200);
/// Pause before a host that failed is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a relay is used before the direct way is tried again. The relay is an entry, which may stop.
const RELAY_TIME: Duration = Duration::from_secs(2);
/// Times that a call is sent whose connection breaks; records may be written more than once.
const SEND_TRIES: u32 = 2;
/// Records in one call.
const BATCH_RECORDS: usize = 256;
/// Records that may wait for one host; a host that is away copies them later from the others.
const QUEUE_RECORDS: usize = 8_192;

/// A record on its way to a host.
#[derive(Debug)]
pub(crate) struct QueuedRecord {
    pub(crate) record: LedgerRecord,
    pub(crate) reply: Option<oneshot::Sender<PortResult<RecordReceipt>>>,
}

/// Whether the answer to a record waits for the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lane {
    Counted,
    Synced,
}

/// When a record is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendTime {
    /// As soon as the batch before it was answered.
    Now,
    /// With the next batch.
    WithNext,
}

/// Records that wait in one lane.
#[derive(Debug, Default)]
struct LaneQueue {
    records: Mutex<VecDeque<QueuedRecord>>,
    waiting: Notify,
}

impl LaneQueue {
    fn lock(&self) -> MutexGuard<'_, VecDeque<QueuedRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection.
#[derive(Debug)]
struct LinkConnection {
    client: LedgerPortClient,
    is_relayed: bool,
    /// When it was opened, or the direct way was last tried.
    tried: Instant,
}

/// A host with its connection and its queues. Records that wait for the disk go apart from those that only count.
#[derive(Debug)]
pub(crate) struct HostLink {
    pub(crate) peer: HostAddress,
    counted: LaneQueue,
    synced: LaneQueue,
    connection: tokio::sync::Mutex<Option<LinkConnection>>,
    relays: Arc<Mutex<Vec<SocketAddr>>>,
    up: AtomicBool,
    log: Logger,
}

impl HostLink {
    pub(crate) fn new(peer: HostAddress, relays: Arc<Mutex<Vec<SocketAddr>>>, log: Logger) -> Self {
        Self {
            peer,
            counted: LaneQueue::default(),
            synced: LaneQueue::default(),
            connection: tokio::sync::Mutex::new(None),
            relays,
            up: AtomicBool::new(false),
            log,
        }
    }

    /// Returns whether the connection stands and its last call was answered.
    pub(crate) fn is_up(&self) -> bool {
        self.up.load(Ordering::Relaxed)
    }

    /// Adds a record. One that finds the queue full is left to the copying between hosts.
    pub(crate) fn enqueue(&self, lane: Lane, record: QueuedRecord, time: SendTime) {
        let queue = self.queue(lane);
        let mut records = queue.lock();
        if records.len() < QUEUE_RECORDS {
            records.push_back(record);
        }
        drop(records);
        if time == SendTime::Now {
            queue.waiting.notify_one();
        }
    }

    /// Asks for a chain; `None` when the host does not answer or may lack records.
    pub(crate) async fn chain(&self, turn: TurnKey) -> Option<Vec<TurnRecord>> {
        let ask =
            |client: LedgerPortClient| async move { client.chain(call_within(COUNT_TIMEOUT), turn).await };
        self.call(SEND_TRIES, ask).await?.ok()
    }

    /// Asks for snapshots that are newer than the known revisions; `None` when the host does not answer.
    pub(crate) async fn snapshots(&self, known: &[(String, u64)]) -> Option<Vec<KindSnapshot>> {
        let ask = |client: LedgerPortClient| async move {
            client.snapshots(call_within(COUNT_TIMEOUT), known.to_vec()).await
        };
        self.call(1, ask).await?.ok()
    }

    const fn queue(&self, lane: Lane) -> &LaneQueue {
        match lane {
            Lane::Counted => &self.counted,
            Lane::Synced => &self.synced,
        }
    }

    fn take(&self, lane: Lane) -> Vec<QueuedRecord> {
        let mut records = self.queue(lane).lock();
        let count = records.len().min(BATCH_RECORDS);
        records.drain(..count).collect()
    }

    async fn connected(&self) -> Option<LedgerPortClient> {
        let mut connection = self.connection.lock().await;
        if let Some(connection) = &*connection {
            return Some(connection.client.clone());
        }
        let (stream, is_relayed) = timeout(CONNECT_TIMEOUT, self.open()).await.ok()?.ok()?;
        let opened = self.take_stream(stream, is_relayed);
        let client = opened.client.clone();
        *connection = Some(opened);
        Some(client)
    }

    fn take_stream(&self, stream: TcpStream, is_relayed: bool) -> LinkConnection {
        self.up.store(true, Ordering::Relaxed);
        info!(self.log, "ledger host connected"; "peer" => &self.peer.name, "relayed" => is_relayed);
        LinkConnection {
            client: connect_host(stream),
            is_relayed,
            tried: Instant::now(),
        }
    }

    /// Returns whether the direct way should be tried again, and counts that as a try.
    async fn must_try_direct(&self) -> bool {
        match &mut *self.connection.lock().await {
            Some(connection) if connection.is_relayed && connection.tried.elapsed() >= RELAY_TIME => {
                connection.tried = Instant::now();
                true
            }
            _ => false,
        }
    }

    /// Goes over from a relay to the direct way if that is open; calls under way end on the relay.
    async fn try_direct(&self) {
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, open_stream(self.peer.address)).await else {
            return;
        };
        let mut connection = self.connection.lock().await;
        if connection
            .as_ref()
            .is_some_and(|connection| connection.is_relayed)
        {
            *connection = Some(self.take_stream(stream, false));
        }
    }

    /// Opens a connection, directly or, when that takes long or fails, through a relay.
    async fn open(&self) -> io::Result<(TcpStream, bool)> {
        let direct = Box::pin(open_stream(self.peer.address));
        let patience = Box::pin(sleep(RELAY_DELAY));
        let pending = match select(direct, patience).await {
            Either::Left((Ok(stream), _)) => return Ok((stream, false)),
            Either::Left((Err(_), _)) => None,
            Either::Right(((), direct)) => Some(direct),
        };
        let relays: Vec<SocketAddr> = {
            let relays = self.relays.lock().unwrap_or_else(PoisonError::into_inner);
            let start = rand::random::<u32>() as usize % relays.len().max(1);
            relays
                .iter()
                .cycle()
                .skip(start)
                .take(RELAYS_TRIED.min(relays.len()))
                .copied()
                .collect()
        };
        let relayed = relays
            .iter()
            .map(|relay| Box::pin(connect_through(*relay, self.peer.address)));
        let relayed: Vec<_> = relayed.collect();
        match (pending, relayed.is_empty()) {
            (None, true) => Err(io::ErrorKind::NotConnected.into()),
            (Some(direct), true) => Ok((direct.await?, false)),
            (None, false) => Ok((select_ok(relayed).await?.0, true)),
            (Some(direct), false) => match select(direct, select_ok(relayed)).await {
                Either::Left((Ok(stream), _)) => Ok((stream, false)),
                Either::Left((Err(_), relayed)) => Ok((relayed.await?.0, true)),
                Either::Right((Ok((stream, _)), _)) => Ok((stream, true)),
                Either::Right((Err(_), direct)) => Ok((direct.await?, false)),
            },
        }
    }

    /// Drops the connection, so that the next call opens a fresh one.
    async fn disconnect(&self, failure: &RpcError) {
        self.up.store(false, Ordering::Relaxed);
        if self.connection.lock().await.take().is_some() {
            warn!(self.log, "ledger host lost"; "peer" => &self.peer.name, "error" => %failure);
        }
    }

    /// Puts settlements back that may not have reached the host; without them a reservation would count for good.
    fn put_back(&self, settlements: Vec<LedgerRecord>) {
        let mut records = self.counted.lock();
        for record in settlements.into_iter().rev() {
            if records.len() < QUEUE_RECORDS {
                records.push_front(QueuedRecord { record, reply: None });
            }
        }
    }

    /// Makes a call, again on a fresh connection as long as one breaks and tries are left; `None` when the host does
    /// not answer.
    async fn call<Answer, Asking>(
        &self,
        tries: u32,
        ask: impl Fn(LedgerPortClient) -> Asking,
    ) -> Option<PortResult<Answer>>
    where
        Asking: Future<Output = Result<PortResult<Answer>, RpcError>>,
    {
        for _ in 0..tries {
            let client = self.connected().await?;
            match ask(client).await {
                Ok(answer) => return Some(answer),
                Err(failure) => {
                    self.disconnect(&failure).await;
                    if !has_broken(&failure) {
                        return None;
                    }
                }
            }
        }
        None
    }

    /// Sends a batch and answers each of its records; returns whether the host does its work.
    async fn send(&self, lane: Lane, batch: Vec<QueuedRecord>) -> bool {
        let settlements = settlements_of(&batch);
        let (records, replies): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|queued| (queued.record, queued.reply))
            .unzip();
        let patience = match lane {
            Lane::Counted => COUNT_TIMEOUT,
            Lane::Synced => SYNC_TIMEOUT,
        };
        let is_synced = lane == Lane::Synced;
        let write = |client: LedgerPortClient| {
            let records = records.clone();
            async move { client.write(call_within(patience), records, is_synced).await }
        };
        let Some(answer) = self.call(SEND_TRIES, write).await else {
            self.put_back(settlements);
            return false;
        };
        let receipts = match answer {
            Ok(receipts) => receipts,
            Err(fault) => {
                for reply in replies.into_iter().flatten() {
                    // A caller that has enough answers no longer listens.
                    drop(reply.send(Err(fault.clone())));
                }
                return fault == PortFault::Copying;
            }
        };
        for (reply, receipt) in replies.into_iter().zip(receipts) {
            if let Some(reply) = reply {
                // A caller that has enough answers no longer listens.
                drop(reply.send(Ok(receipt)));
            }
        }
        true
    }
}

/// Returns whether a connection broke, so that a fresh one may do.
const fn has_broken(failure: &RpcError) -> bool {
    !matches!(failure, RpcError::DeadlineExceeded)
}

fn settlements_of(batch: &[QueuedRecord]) -> Vec<LedgerRecord> {
    let records = batch.iter().map(|queued| &queued.record);
    let settlements = records.filter(|record| matches!(record, LedgerRecord::Settled { .. }));
    settlements.cloned().collect()
}

/// Keeps the connection open and sends what waits, one batch at a time, until the host is no longer listed.
pub(crate) async fn keep_link(link: Weak<HostLink>, lane: Lane) {
    while let Some(link) = link.upgrade() {
        if lane == Lane::Counted && link.must_try_direct().await {
            let link = Arc::clone(&link);
            tokio::spawn(async move { link.try_direct().await });
        }
        let batch = link.take(lane);
        if !batch.is_empty() {
            if !link.send(lane, batch).await {
                sleep(RETRY_PAUSE).await;
            }
            continue;
        }
        if !link.is_up() && link.connected().await.is_none() {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        let _woken = timeout(IDLE_WAIT, link.queue(lane).waiting.notified()).await;
    }
}

/// Asks a host that is known by its address only for its snapshots.
pub(crate) async fn snapshots_at(address: SocketAddr, known: &[(String, u64)]) -> Option<Vec<KindSnapshot>> {
    let stream = timeout(CONNECT_TIMEOUT, open_stream(address)).await.ok()?.ok()?;
    let client = connect_host(stream);
    client
        .snapshots(call_within(COUNT_TIMEOUT), known.to_vec())
        .await
        .ok()?
        .ok()
}
