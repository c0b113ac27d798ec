//! An entry's view of the ledger: reservations, settlements and turns over several hosts.
//!
//! Each program has a group of `2 t + 1` hosts, where `t` is the number of hosts that may be lost. A count that
//! `t + 1` of them have given includes every reservation that `t + 1` of them hold, since two such sets share
//! a host.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use slog::{Logger, info, warn};
use tarpc::context::{self, Context};
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::port::{HostAddress, LedgerPortClient, PortFault, PortResult, connect_host};
use crate::record::{LedgerRecord, ProgramKey, TurnKey, TurnRecord};

/// Longest time for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for a call that waits for no disk.
const COUNT_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time for a call that waits for the disk.
const SYNC_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause before a host that failed is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Records in one call.
const BATCH_RECORDS: usize = 256;
/// Records that may wait for one host; a host that is away copies them later from the others.
const QUEUE_RECORDS: usize = 8_192;

/// Failure of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// Too few hosts answered.
    #[error("{answered} of {needed} ledger hosts answered")]
    TooFewHosts {
        /// Hosts that answered.
        answered: usize,
        /// Hosts that must answer.
        needed: usize,
    },
    /// No host that answered knows the turn.
    #[error("no ledger host that answered knows the turn")]
    UnknownTurn,
}

/// Answer to a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Reserved,
    /// The budget does not cover them; nothing is reserved.
    Exhausted {
        /// Tokens that other turns of the program have spent or reserved.
        committed: u64,
    },
}

/// The ledger hosts in use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LedgerHosts {
    hosts: Vec<HostAddress>,
}

impl LedgerHosts {
    /// Creates the list.
    pub fn new(hosts: Vec<(String, SocketAddr)>) -> Self {
        let mut hosts: Vec<HostAddress> = hosts
            .into_iter()
            .map(|(name, address)| HostAddress { name, address })
            .collect();
        hosts.sort_unstable();
        Self { hosts }
    }
}

/// A record on its way to a host.
#[derive(Debug)]
struct QueuedRecord {
    record: LedgerRecord,
    reply: Option<oneshot::Sender<PortResult<u64>>>,
}

/// Records that wait for one host; those that wait for the disk go apart from those that only count.
#[derive(Debug, Default)]
struct HostQueue {
    counted: Mutex<VecDeque<QueuedRecord>>,
    synced: Mutex<VecDeque<QueuedRecord>>,
    counted_waiting: Notify,
    synced_waiting: Notify,
}

/// A host with its connection and its queues.
#[derive(Debug)]
struct HostLink {
    peer: HostAddress,
    queue: HostQueue,
    client: tokio::sync::Mutex<Option<LedgerPortClient>>,
    log: Logger,
}

/// The ledger as an entry uses it; clones share connections.
#[derive(Debug, Clone)]
pub struct LedgerClient {
    shared: Arc<ClientState>,
}

#[derive(Debug)]
struct ClientState {
    links: Mutex<Vec<Arc<HostLink>>>,
    tolerated: usize,
    log: Logger,
}

impl LedgerClient {
    /// Creates a client that works with `tolerated` hosts lost.
    pub fn new(tolerated: usize, log: Logger) -> Self {
        Self {
            shared: Arc::new(ClientState {
                links: Mutex::default(),
                tolerated,
                log,
            }),
        }
    }

    /// Replaces the list of hosts; connections to those that stay are kept.
    pub fn set_hosts(&self, hosts: &LedgerHosts) {
        let mut links = self.links();
        links.retain(|link| hosts.hosts.contains(&link.peer));
        for peer in &hosts.hosts {
            if links.iter().any(|link| link.peer == *peer) {
                continue;
            }
            let link = Arc::new(HostLink::new(peer.clone(), self.shared.log.clone()));
            tokio::spawn(pump(Arc::downgrade(&link), Lane::Counted));
            tokio::spawn(pump(Arc::downgrade(&link), Lane::Synced));
            links.push(link);
        }
        info!(self.shared.log, "ledger hosts changed"; "hosts" => links.len());
    }

    /// Returns whether enough hosts are listed for any answer.
    pub fn has_hosts(&self) -> bool {
        self.links().len() > self.shared.tolerated
    }

    /// Reserves tokens for a turn unless the program's budget does not cover them.
    ///
    /// # Errors
    ///
    /// Fails when too few hosts answer; the reservation is then given back as far as it was made.
    pub async fn reserve(
        &self,
        program: ProgramKey,
        turn: TurnKey,
        tokens: u64,
        budget: u64,
    ) -> Result<ReserveOutcome, LedgerError> {
        let record = LedgerRecord::Reserved {
            program,
            turn,
            tokens,
        };
        let counts = match self.write(&record, Lane::Counted).await {
            Ok(counts) => counts,
            Err(failure) => {
                self.settle(program, turn, 0);
                return Err(failure);
            }
        };
        let committed = counts.into_iter().max().unwrap_or_default();
        if committed <= budget {
            return Ok(ReserveOutcome::Reserved);
        }
        self.settle(program, turn, 0);
        let committed = committed.saturating_sub(tokens);
        Ok(ReserveOutcome::Exhausted { committed })
    }

    /// Replaces a reservation by what was spent, without waiting.
    pub fn settle(&self, program: ProgramKey, turn: TurnKey, tokens: u64) {
        let record = LedgerRecord::Settled {
            program,
            turn,
            tokens,
        };
        for link in self.group(program) {
            link.enqueue(
                Lane::Counted,
                QueuedRecord {
                    record: record.clone(),
                    reply: None,
                },
            );
        }
    }

    /// Keeps a turn that ended whole.
    ///
    /// # Errors
    ///
    /// Fails when too few hosts have it on their disks; it may be kept nevertheless.
    pub async fn keep(&self, turn: TurnRecord) -> Result<(), LedgerError> {
        self.write(&LedgerRecord::Turn(turn), Lane::Synced)
            .await
            .map(drop)
    }

    /// Returns a turn and those before it, the newest first; the oldest one continues none.
    ///
    /// # Errors
    ///
    /// Fails when the hosts that answer do not know the whole chain.
    pub async fn chain(&self, turn: TurnKey) -> Result<Vec<TurnRecord>, LedgerError> {
        let mut chain: Vec<TurnRecord> = Vec::new();
        let mut next = Some(turn);
        // Each host may lack some turns of the chain, so that the rest is asked for again from all.
        while let Some(turn) = next {
            let part = self.longest_part(turn).await?;
            next = part.last().and_then(|oldest| oldest.previous);
            chain.extend(part);
        }
        Ok(chain)
    }

    /// Returns the longest part of a chain that one host knows; a whole one is returned at once.
    async fn longest_part(&self, turn: TurnKey) -> Result<Vec<TurnRecord>, LedgerError> {
        let links = self.links().clone();
        let mut answers: FuturesUnordered<_> = links.iter().map(|link| link.chain(turn)).collect();
        let mut answered = 0;
        let mut longest: Vec<TurnRecord> = Vec::new();
        while let Some(answer) = answers.next().await {
            let Some(part) = answer else { continue };
            answered += 1;
            if part.last().is_some_and(|oldest| oldest.previous.is_none()) {
                return Ok(part);
            }
            if part.len() > longest.len() {
                longest = part;
            }
        }
        match (longest.is_empty(), answered == links.len()) {
            (false, _) => Ok(longest),
            (true, true) => Err(LedgerError::UnknownTurn),
            (true, false) => Err(LedgerError::TooFewHosts {
                answered,
                needed: links.len(),
            }),
        }
    }

    /// Writes a record to the program's group and returns the counts of the first `t + 1` hosts.
    async fn write(&self, record: &LedgerRecord, lane: Lane) -> Result<Vec<u64>, LedgerError> {
        let needed = self.shared.tolerated + 1;
        let mut replies = FuturesUnordered::new();
        for link in self.group(record.program()) {
            let (reply, waiting) = oneshot::channel();
            link.enqueue(
                lane,
                QueuedRecord {
                    record: record.clone(),
                    reply: Some(reply),
                },
            );
            replies.push(waiting);
        }
        let mut counts = Vec::with_capacity(needed);
        while let Some(reply) = replies.next().await {
            if let Ok(Ok(count)) = reply {
                counts.push(count);
            }
            if counts.len() == needed {
                return Ok(counts);
            }
        }
        Err(LedgerError::TooFewHosts {
            answered: counts.len(),
            needed,
        })
    }

    /// Returns the hosts that keep a program, by rendezvous hashing.
    fn group(&self, program: ProgramKey) -> Vec<Arc<HostLink>> {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "any half of the hash will do as a seed"
        )]
        let seed = program.0 as u64;
        let mut group = self.links().clone();
        group.sort_by_cached_key(|link| xxh3_64_with_seed(link.peer.name.as_bytes(), seed));
        group.truncate(2 * self.shared.tolerated + 1);
        group
    }

    fn links(&self) -> MutexGuard<'_, Vec<Arc<HostLink>>> {
        self.shared.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the answer to a record waits for the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lane {
    Counted,
    Synced,
}

impl HostLink {
    fn new(peer: HostAddress, log: Logger) -> Self {
        Self {
            peer,
            queue: HostQueue::default(),
            client: tokio::sync::Mutex::new(None),
            log,
        }
    }

    fn enqueue(&self, lane: Lane, record: QueuedRecord) {
        let mut records = self.records(lane);
        if records.len() < QUEUE_RECORDS {
            records.push_back(record);
        }
        drop(records);
        self.waiting(lane).notify_one();
    }

    fn take(&self, lane: Lane) -> Vec<QueuedRecord> {
        let mut records = self.records(lane);
        let count = records.len().min(BATCH_RECORDS);
        records.drain(..count).collect()
    }

    fn records(&self, lane: Lane) -> MutexGuard<'_, VecDeque<QueuedRecord>> {
        let queue = match lane {
            Lane::Counted => &self.queue.counted,
            Lane::Synced => &self.queue.synced,
        };
        queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    const fn waiting(&self, lane: Lane) -> &Notify {
        match lane {
            Lane::Counted => &self.queue.counted_waiting,
            Lane::Synced => &self.queue.synced_waiting,
        }
    }

    async fn chain(&self, turn: TurnKey) -> Option<Vec<TurnRecord>> {
        let client = self.connected().await?;
        match client.chain(deadline(COUNT_TIMEOUT), turn).await {
            Ok(Ok(chain)) => Some(chain),
            Ok(Err(_still_copying)) => None,
            Err(failure) => {
                self.disconnect(&failure).await;
                None
            }
        }
    }

    async fn connected(&self) -> Option<LedgerPortClient> {
        let mut client = self.client.lock().await;
        if let Some(client) = &*client {
            return Some(client.clone());
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.peer.address))
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        let opened = connect_host(stream);
        *client = Some(opened.clone());
        info!(self.log, "ledger host connected"; "peer" => &self.peer.name);
        Some(opened)
    }

    /// Drops the connection, so that the next call opens a fresh one.
    async fn disconnect(&self, failure: &tarpc::client::RpcError) {
        if self.client.lock().await.take().is_some() {
            warn!(self.log, "ledger host lost"; "peer" => &self.peer.name, "error" => %failure);
        }
    }

    /// Sends a batch and answers each of its records.
    async fn send(&self, lane: Lane, batch: Vec<QueuedRecord>) -> Result<(), ()> {
        let Some(client) = self.connected().await else {
            return Err(());
        };
        let (records, replies): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|queued| (queued.record, queued.reply))
            .unzip();
        let patience = match lane {
            Lane::Counted => COUNT_TIMEOUT,
            Lane::Synced => SYNC_TIMEOUT,
        };
        let answer = client
            .write(deadline(patience), records, lane == Lane::Synced)
            .await;
        let counts = match answer {
            Ok(Ok(counts)) => counts,
            Ok(Err(fault)) => {
                for reply in replies.into_iter().flatten() {
                    // A caller that has enough answers no longer listens.
                    drop(reply.send(Err(fault.clone())));
                }
                return if fault == PortFault::Copying {
                    Ok(())
                } else {
                    Err(())
                };
            }
            Err(failure) => {
                self.disconnect(&failure).await;
                return Err(());
            }
        };
        for (reply, count) in replies.into_iter().zip(counts) {
            if let Some(reply) = reply {
                // A caller that has enough answers no longer listens.
                drop(reply.send(Ok(count)));
            }
        }
        Ok(())
    }
}

/// Sends what waits for a host, one batch at a time, until the host is no longer listed.
async fn pump(link: std::sync::Weak<HostLink>, lane: Lane) {
    while let Some(link) = link.upgrade() {
        let batch = link.take(lane);
        if batch.is_empty() {
            // The wait is bounded so that a host that is no longer listed is let go.
            let _woken = timeout(COUNT_TIMEOUT, link.waiting(lane).notified()).await;
            continue;
        }
        if link.send(lane, batch).await.is_err() {
            sleep(RETRY_PAUSE).await;
        }
    }
}

fn deadline(patience: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + patience;
    context
}
