//! The connection to one ledger host, and the queues of records to send to it.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use domain::InstanceKey;
use futures::future::{Either, select, select_ok};
use slog::{Logger, info, warn};
use tarpc::client::RpcError;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::time::{sleep, timeout};

use crate::crash::CrashDetails;
use crate::fact::{FactPage, FactReport, KnownFacts};
use crate::permit::{PermitAnswer, PermitAsk, PermitKey};
use crate::port::{
    HostAddress, LedgerPortClient, PortFault, PortResult, RecordReceipt, StreamBuild, connect_host,
    context_with_timeout, open_stream,
};
use crate::record::{LARGE_PAYLOAD_BYTES, LedgerRecord, ProgramKey, TurnKey, TurnRecord};
use crate::relay::connect_through;
use crate::snapshot::SnapshotPage;

/// Timeout for establishing a connection, directly or through a relay.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after which relays are tried in parallel to the direct connection; many times the network delay
/// between failure domains.
const RELAY_DELAY: Duration = Duration::from_millis(100);
/// Largest number of relays that are tried in parallel.
const PARALLEL_RELAYS: usize = 2;
/// Timeout of a call that does not wait for a disk sync.
const UNSYNCED_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call that waits for a disk sync.
const SYNCED_CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout of a call about the permits of a backend server; many times the duration of a call between failure domains.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a host is not asked for permits after it has not answered.
const PERMIT_PAUSE: Duration = Duration::from_secs(1);
/// Longest delay of a record without a waiting caller. It is sent with the next batch or after this delay,
/// well within the second after which the platform expects a turn's tokens to be settled.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// Interval at which the task of an empty queue of large records notices that its host is no longer listed.
const LARGE_IDLE_DELAY: Duration = Duration::from_secs(5);
/// Delay before a call to a failed host is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval at which the direct connection is tried again while a relay is in use. The relay is an entry,
/// which may stop.
const DIRECT_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Largest number of times that a call is sent if its connection breaks. Records may therefore be written
/// more than once.
const MAX_CALL_ATTEMPTS: u32 = 2;
/// Largest number of records in one call.
const BATCH_LIMIT_RECORDS: usize = 256;
/// Payload of one call, in bytes; a record that is larger is sent by itself.
const BATCH_LIMIT_BYTES: usize = LARGE_PAYLOAD_BYTES;
/// Payloads in a queue, in bytes, beyond which records whose callers no longer wait are dropped: enough other hosts have
/// them.
const QUEUE_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Payloads of the large records that are sent to all hosts at the same time, in bytes. Each of them is held twice more
/// while it is encoded and sent.
pub(crate) const LARGE_SENDS_BYTES: usize = 8 * 1024 * 1024;
/// Largest number of records in a queue. Records beyond it are dropped; an unavailable host copies them later
/// from the other hosts.
const QUEUE_LIMIT_RECORDS: usize = 8_192;

/// A record to send to a host, and the caller that waits for the response, if any.
#[derive(Debug)]
pub(crate) struct QueuedRecord {
    pub(crate) record: LedgerRecord,
    pub(crate) reply: Option<oneshot::Sender<PortResult<RecordReceipt>>>,
}

/// Whether a host syncs a record to its disk before it responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SyncMode {
    Unsynced,
    Synced,
}

/// When a record is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendTime {
    /// As soon as the host has responded to the previous batch.
    Now,
    /// With the next batch, after `BATCH_DELAY` at the latest.
    WithNextBatch,
}

/// Queue of a record. Each is sent by itself: unsynced records do not wait for the disk, and small ones not for large ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueKind {
    Unsynced,
    Synced,
    /// Large records, which are synced; each is sent on a connection of its own. The buffers of a connection are as large as
    /// its largest message for as long as it is open, at both ends.
    Large,
}

impl QueueKind {
    pub(crate) const ALL: [Self; 3] = [Self::Unsynced, Self::Synced, Self::Large];

    const fn of(record: &LedgerRecord, mode: SyncMode) -> Self {
        match mode {
            _ if record.payload_bytes() > LARGE_PAYLOAD_BYTES => Self::Large,
            SyncMode::Unsynced => Self::Unsynced,
            SyncMode::Synced => Self::Synced,
        }
    }

    /// Returns the longest time for which a queue that is empty is not looked at without a record that wakes it.
    const fn idle_delay(self) -> Duration {
        match self {
            Self::Unsynced | Self::Synced => BATCH_DELAY,
            // Each of these has a caller that waits, so that it wakes the queue.
            Self::Large => LARGE_IDLE_DELAY,
        }
    }

    const fn call_timeout(self) -> Duration {
        match self {
            Self::Unsynced => UNSYNCED_CALL_TIMEOUT,
            Self::Synced | Self::Large => SYNCED_CALL_TIMEOUT,
        }
    }
}

/// Records that wait, and the size of their payloads in bytes.
#[derive(Debug, Default)]
struct WaitingRecords {
    records: VecDeque<QueuedRecord>,
    bytes: usize,
}

impl WaitingRecords {
    fn push_back(&mut self, record: QueuedRecord) {
        self.bytes += record.record.payload_bytes();
        self.records.push_back(record);
        if self.bytes > QUEUE_LIMIT_BYTES {
            self.drop_abandoned();
        }
    }

    fn push_front(&mut self, record: QueuedRecord) {
        self.bytes += record.record.payload_bytes();
        self.records.push_front(record);
    }

    /// Removes the turns whose callers no longer wait.
    fn drop_abandoned(&mut self) {
        self.records.retain(|queued| !queued.is_abandoned());
        self.bytes = self
            .records
            .iter()
            .map(|queued| queued.record.payload_bytes())
            .sum();
    }

    /// Removes the oldest records, within the limits of one call.
    fn take_batch(&mut self) -> Vec<QueuedRecord> {
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        while batch.len() < BATCH_LIMIT_RECORDS
            && let Some(next) = self.records.front()
        {
            batch_bytes += next.record.payload_bytes();
            if batch_bytes > BATCH_LIMIT_BYTES && !batch.is_empty() {
                break;
            }
            batch.extend(self.records.pop_front());
        }
        let taken: usize = batch.iter().map(|queued| queued.record.payload_bytes()).sum();
        self.bytes -= taken;
        batch
    }
}

impl QueuedRecord {
    /// Returns whether the record is a turn whose caller no longer waits.
    fn is_abandoned(&self) -> bool {
        let has_left = self.reply.as_ref().is_none_or(oneshot::Sender::is_closed);
        has_left && self.record.payload_bytes() > 0
    }
}

/// Records to send in calls of their own.
#[derive(Debug, Default)]
struct RecordQueue {
    waiting: Mutex<WaitingRecords>,
    wake: Notify,
}

impl RecordQueue {
    fn lock(&self) -> MutexGuard<'_, WaitingRecords> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection.
#[derive(Debug)]
struct LinkConnection {
    client: LedgerPortClient,
    is_relayed: bool,
    /// When the connection was opened or the direct connection was last tried.
    direct_tried_at: Instant,
}

/// A host with its connection and its queues. Synced and unsynced records are sent in separate calls, so that
/// the latter do not wait for the disk.
#[derive(Debug)]
pub(crate) struct HostLink {
    pub(crate) peer: HostAddress,
    unsynced: RecordQueue,
    synced: RecordQueue,
    large: RecordQueue,
    /// Room for the large records that are sent, shared by all hosts.
    large_sends: Arc<Semaphore>,
    connection: tokio::sync::Mutex<Option<LinkConnection>>,
    relays: Arc<Mutex<Vec<SocketAddr>>>,
    is_up: AtomicBool,
    /// When a call about permits has failed last.
    permit_failed_at: Mutex<Option<Instant>>,
    /// Wakes the callers that wait for a connection to any host.
    connected: Arc<Notify>,
    log: Logger,
}

impl HostLink {
    pub(crate) fn new(
        peer: HostAddress,
        relays: Arc<Mutex<Vec<SocketAddr>>>,
        connected: Arc<Notify>,
        large_sends: Arc<Semaphore>,
        log: Logger,
    ) -> Self {
        Self {
            peer,
            unsynced: RecordQueue::default(),
            synced: RecordQueue::default(),
            large: RecordQueue::default(),
            large_sends,
            connection: tokio::sync::Mutex::new(None),
            relays,
            is_up: AtomicBool::new(false),
            permit_failed_at: Mutex::default(),
            connected,
            log,
        }
    }

    /// Returns whether the connection is open and no call on it has failed.
    pub(crate) fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Relaxed)
    }

    /// Adds a record. If the queue is full, the record is dropped, and the host copies it later from the
    /// other hosts.
    pub(crate) fn enqueue(&self, mode: SyncMode, record: QueuedRecord, time: SendTime) {
        let queue = self.queue(QueueKind::of(&record.record, mode));
        let mut waiting = queue.lock();
        if waiting.records.len() < QUEUE_LIMIT_RECORDS {
            waiting.push_back(record);
        }
        drop(waiting);
        if time == SendTime::Now {
            queue.wake.notify_one();
        }
    }

    /// Fetches a chain of turns, or its newest part. Returns `None` if the host does not respond or may lack records.
    pub(crate) async fn fetch_chain(self: &Arc<Self>, turn: TurnKey) -> Option<Vec<TurnRecord>> {
        let request = |client: LedgerPortClient| async move {
            client
                .chain(context_with_timeout(UNSYNCED_CALL_TIMEOUT), turn)
                .await
        };
        let part: Vec<TurnRecord> = self.call(MAX_CALL_ATTEMPTS, request).await?.ok()?;
        let payload_bytes: usize = part.iter().map(TurnRecord::payload_bytes).sum();
        if payload_bytes > LARGE_PAYLOAD_BYTES {
            let link = Arc::clone(self);
            tokio::spawn(async move { link.renew_connection().await });
        }
        Some(part)
    }

    /// Fetches whether the host stores a turn with the same id that belongs to another workspace. Returns `None` if the host
    /// does not respond.
    pub(crate) async fn has_foreign_turn(&self, turn: TurnKey) -> Option<bool> {
        let request = |client: LedgerPortClient| async move {
            client
                .has_foreign_turn(context_with_timeout(UNSYNCED_CALL_TIMEOUT), turn)
                .await
        };
        self.call(1, request).await?.ok()
    }

    /// Fetches the software of a turn's stream. Returns `None` if the host does not respond or may lack records.
    pub(crate) async fn fetch_build(
        &self,
        program: ProgramKey,
        turn: TurnKey,
    ) -> Option<Option<StreamBuild>> {
        let request = |client: LedgerPortClient| async move {
            client
                .stream_build(context_with_timeout(UNSYNCED_CALL_TIMEOUT), program, turn)
                .await
        };
        self.call(MAX_CALL_ATTEMPTS, request).await?.ok()
    }

    /// Fetches snapshots that are newer than the known revisions. Returns `None` if the host does not
    /// respond.
    pub(crate) async fn fetch_snapshots(&self, known: &[(String, u64)]) -> Option<SnapshotPage> {
        let request = |client: LedgerPortClient| async move {
            client
                .snapshot_page(context_with_timeout(UNSYNCED_CALL_TIMEOUT), known.to_vec())
                .await
        };
        self.call(1, request).await?.ok()
    }

    /// Asks the host for a permit. Returns `None` at once if it is not connected or has not answered lately, and after
    /// a timeout if it does not answer.
    pub(crate) async fn request_permit(&self, ask: PermitAsk) -> Option<PermitAnswer> {
        let client = self.permit_client().await?;
        let asking = client.permits(context_with_timeout(PERMIT_TIMEOUT), vec![ask]);
        let answers = timeout(PERMIT_TIMEOUT, asking).await;
        let answer = answers
            .ok()
            .and_then(Result::ok)
            .and_then(|answers| answers.first().copied());
        let answer = answer.filter(|answer| *answer != PermitAnswer::Unavailable);
        if answer.is_none() {
            *self.permit_failure() = Some(Instant::now());
        }
        answer
    }

    /// Returns a permit that was not used.
    pub(crate) async fn give_back(&self, key: PermitKey) {
        if let Some(client) = self.permit_client().await {
            // A permit that is lost on the way is one request less for the workspace.
            drop(client.give_back(context_with_timeout(PERMIT_TIMEOUT), key).await);
        }
    }

    /// Returns whether the host is not asked for permits at present.
    pub(crate) fn is_away(&self) -> bool {
        let failed_at = *self.permit_failure();
        let is_paused = failed_at.is_some_and(|failed_at| failed_at.elapsed() < PERMIT_PAUSE);
        is_paused || !self.is_up()
    }

    /// Reports to the host that a backend server has lifted its limit.
    pub(crate) async fn report_lifted(&self, instance: InstanceKey, heard_ms_ago: u64) -> bool {
        let Some(client) = self.permit_client().await else {
            return false;
        };
        let context = context_with_timeout(PERMIT_TIMEOUT);
        client.lift_limit(context, instance, heard_ms_ago).await.is_ok()
    }

    /// Reports facts. Returns whether the host has them.
    pub(crate) async fn report_facts(&self, reports: Vec<FactReport>) -> bool {
        let Some(client) = self.open_client().await else {
            return false;
        };
        let context = context_with_timeout(UNSYNCED_CALL_TIMEOUT);
        client.report_facts(context, reports).await.is_ok()
    }

    /// Waits for a change of the facts. Returns `None` if the host does not answer, and `Some(None)` if nothing changes
    /// within `wait`.
    pub(crate) async fn wait_for_facts(&self, known: KnownFacts, wait: Duration) -> Option<Option<FactPage>> {
        let client = self.open_client().await?;
        let limit = wait + UNSYNCED_CALL_TIMEOUT;
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let waiting = client.facts(context_with_timeout(limit), known, wait_ms);
        waiting.await.ok()
    }

    /// Fetches what the host knows of crashes beside its notices. Returns `None` if the host does not answer.
    pub(crate) async fn fetch_crash_details(&self) -> Option<CrashDetails> {
        let client = self.open_client().await?;
        let context = context_with_timeout(UNSYNCED_CALL_TIMEOUT);
        client.crash_details(context).await.ok()
    }

    /// Returns a client on the open connection; `None` if there is none.
    async fn open_client(&self) -> Option<LedgerPortClient> {
        if !self.is_up() {
            return None;
        }
        let connection = self.connection.lock().await;
        connection.as_ref().map(|connection| connection.client.clone())
    }

    /// Returns a client on the open connection if the host has answered the latest call about permits. A slow host may
    /// still answer the other calls on the connection, so that it stays open.
    async fn permit_client(&self) -> Option<LedgerPortClient> {
        if self.is_away() {
            return None;
        }
        self.open_client().await
    }

    fn permit_failure(&self) -> MutexGuard<'_, Option<Instant>> {
        self.permit_failed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    const fn queue(&self, kind: QueueKind) -> &RecordQueue {
        match kind {
            QueueKind::Unsynced => &self.unsynced,
            QueueKind::Synced => &self.synced,
            QueueKind::Large => &self.large,
        }
    }

    fn take_batch(&self, kind: QueueKind) -> Vec<QueuedRecord> {
        self.queue(kind).lock().take_batch()
    }

    /// Returns a client on the open connection; opens one if there is none.
    async fn connect(&self) -> Option<LedgerPortClient> {
        let mut connection = self.connection.lock().await;
        if let Some(connection) = &*connection {
            return Some(connection.client.clone());
        }
        let (stream, is_relayed) = timeout(CONNECT_TIMEOUT, self.open()).await.ok()?.ok()?;
        let opened = self.start_connection(stream, is_relayed);
        let client = opened.client.clone();
        *connection = Some(opened);
        Some(client)
    }

    /// Starts a client on an open stream and marks the host as connected.
    fn start_connection(&self, stream: TcpStream, is_relayed: bool) -> LinkConnection {
        self.is_up.store(true, Ordering::Relaxed);
        self.connected.notify_waiters();
        info!(self.log, "ledger host connected"; "peer" => &self.peer.name, "relayed" => is_relayed);
        LinkConnection {
            client: connect_host(stream),
            is_relayed,
            direct_tried_at: Instant::now(),
        }
    }

    /// Returns whether the direct connection must be tried again; if so, records this time as the last
    /// attempt.
    async fn must_try_direct(&self) -> bool {
        match &mut *self.connection.lock().await {
            Some(connection)
                if connection.is_relayed && connection.direct_tried_at.elapsed() >= DIRECT_RETRY_INTERVAL =>
            {
                connection.direct_tried_at = Instant::now();
                true
            }
            _ => false,
        }
    }

    /// Replaces a relayed connection by a direct one if the host is reachable directly. Calls in progress
    /// complete on the relay.
    async fn try_direct(&self) {
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, open_stream(self.peer.address)).await else {
            return;
        };
        let mut connection = self.connection.lock().await;
        if connection
            .as_ref()
            .is_some_and(|connection| connection.is_relayed)
        {
            *connection = Some(self.start_connection(stream, false));
        }
    }

    /// Replaces the connection after a large message, so that the buffers at both ends become small again. Calls in progress
    /// complete on the old one.
    async fn renew_connection(&self) {
        let Ok(Ok((stream, is_relayed))) = timeout(CONNECT_TIMEOUT, self.open()).await else {
            return;
        };
        let mut connection = self.connection.lock().await;
        if connection.is_some() {
            *connection = Some(self.start_connection(stream, is_relayed));
        }
    }

    /// Opens a connection: directly or, if that takes longer than `RELAY_DELAY` or fails, through a relay.
    /// Returns the stream and whether it is relayed.
    async fn open(&self) -> io::Result<(TcpStream, bool)> {
        let direct = Box::pin(open_stream(self.peer.address));
        let relay_delay = Box::pin(sleep(RELAY_DELAY));
        let pending = match select(direct, relay_delay).await {
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
                .take(PARALLEL_RELAYS.min(relays.len()))
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

    /// Drops the connection, so that the next call opens a new one.
    async fn disconnect(&self, failure: &RpcError) {
        self.is_up.store(false, Ordering::Relaxed);
        if self.connection.lock().await.take().is_some() {
            warn!(self.log, "ledger host lost"; "peer" => &self.peer.name, "error" => %failure);
        }
    }

    /// Puts settlements back into the queue that may not have reached the host. Without its settlement a
    /// reservation would count for as long as its program's account is retained.
    fn requeue(&self, settlements: Vec<LedgerRecord>) {
        let mut waiting = self.unsynced.lock();
        for record in settlements.into_iter().rev() {
            if waiting.records.len() < QUEUE_LIMIT_RECORDS {
                waiting.push_front(QueuedRecord { record, reply: None });
            }
        }
    }

    /// Makes a call. If the connection breaks, repeats the call on a new one, up to `max_attempts` attempts
    /// in total. Returns `None` if the host does not respond.
    async fn call<Response, Pending>(
        &self,
        max_attempts: u32,
        request: impl Fn(LedgerPortClient) -> Pending,
    ) -> Option<PortResult<Response>>
    where
        Pending: Future<Output = Result<PortResult<Response>, RpcError>>,
    {
        for _ in 0..max_attempts {
            let client = self.connect().await?;
            match request(client).await {
                Ok(response) => return Some(response),
                Err(failure) => {
                    self.disconnect(&failure).await;
                    if !is_broken_connection(&failure) {
                        return None;
                    }
                }
            }
        }
        None
    }

    /// Writes records on the connection of the link.
    async fn write(
        &self,
        kind: QueueKind,
        records: Vec<LedgerRecord>,
    ) -> Option<PortResult<Vec<RecordReceipt>>> {
        let is_synced = kind == QueueKind::Synced;
        let write = |client: LedgerPortClient| {
            let records = records.clone();
            async move {
                let context = context_with_timeout(kind.call_timeout());
                client.write(context, records, is_synced).await
            }
        };
        self.call(MAX_CALL_ATTEMPTS, write).await
    }

    /// Writes large records on a connection of their own once there is room for them.
    async fn write_apart(&self, records: Vec<LedgerRecord>) -> Option<PortResult<Vec<RecordReceipt>>> {
        let payload_bytes: usize = records.iter().map(LedgerRecord::payload_bytes).sum();
        let room = u32::try_from(payload_bytes.min(LARGE_SENDS_BYTES)).unwrap_or(u32::MAX);
        let _sending = self.large_sends.acquire_many(room).await.ok()?;
        for _ in 0..MAX_CALL_ATTEMPTS {
            let (stream, _) = timeout(CONNECT_TIMEOUT, self.open()).await.ok()?.ok()?;
            let client = connect_host(stream);
            let context = context_with_timeout(QueueKind::Large.call_timeout());
            match client.write(context, records.clone(), true).await {
                Ok(response) => return Some(response),
                Err(failure) if is_broken_connection(&failure) => {}
                Err(_late) => return None,
            }
        }
        None
    }

    /// Sends a batch and passes the response for each record to its caller. Returns whether the next batch
    /// may be sent without a delay.
    async fn send_batch(&self, kind: QueueKind, batch: Vec<QueuedRecord>) -> bool {
        let settlements = settlements_of(&batch);
        let (records, replies): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|queued| (queued.record, queued.reply))
            .unzip();
        let response = match kind {
            QueueKind::Unsynced | QueueKind::Synced => self.write(kind, records).await,
            QueueKind::Large => self.write_apart(records).await,
        };
        let Some(response) = response else {
            self.requeue(settlements);
            return false;
        };
        let receipts = match response {
            Ok(receipts) => receipts,
            Err(fault) => {
                for reply in replies.into_iter().flatten() {
                    // The caller may have enough responses already and may have dropped the receiver.
                    drop(reply.send(Err(fault.clone())));
                }
                return fault == PortFault::Copying;
            }
        };
        for (reply, receipt) in replies.into_iter().zip(receipts) {
            if let Some(reply) = reply {
                // The caller may have enough responses already and may have dropped the receiver.
                drop(reply.send(Ok(receipt)));
            }
        }
        true
    }
}

/// Returns whether a call failed because its connection broke, so that it may succeed on a new one.
const fn is_broken_connection(failure: &RpcError) -> bool {
    !matches!(failure, RpcError::DeadlineExceeded)
}

fn settlements_of(batch: &[QueuedRecord]) -> Vec<LedgerRecord> {
    let records = batch.iter().map(|queued| &queued.record);
    let settlements = records.filter(|record| matches!(record, LedgerRecord::Settled { .. }));
    settlements.cloned().collect()
}

/// Keeps the connection open and sends queued records, one batch at a time, until the host is removed from
/// the list.
pub(crate) async fn run_link(link: Weak<HostLink>, kind: QueueKind) {
    while let Some(link) = link.upgrade() {
        if kind == QueueKind::Unsynced && link.must_try_direct().await {
            let link = Arc::clone(&link);
            tokio::spawn(async move { link.try_direct().await });
        }
        let batch = link.take_batch(kind);
        if !batch.is_empty() {
            if !link.send_batch(kind, batch).await {
                sleep(RETRY_DELAY).await;
            }
            continue;
        }
        if kind != QueueKind::Large && !link.is_up() && link.connect().await.is_none() {
            sleep(RETRY_DELAY).await;
            continue;
        }
        let _woken = timeout(kind.idle_delay(), link.queue(kind).wake.notified()).await;
    }
}

/// Fetches snapshots that are newer than the known revisions from a host that is known by its address only.
pub(crate) async fn fetch_snapshots_at(address: SocketAddr, known: &[(String, u64)]) -> Option<SnapshotPage> {
    let stream = timeout(CONNECT_TIMEOUT, open_stream(address)).await.ok()?.ok()?;
    let client = connect_host(stream);
    client
        .snapshot_page(context_with_timeout(UNSYNCED_CALL_TIMEOUT), known.to_vec())
        .await
        .ok()?
        .ok()
}
