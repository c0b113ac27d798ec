//! An entry's view of the ledger: reservations, settlements and turns over several hosts.
//!
//! Each program has a group of `2 t + 1` hosts, where `t` is the number of hosts that may be lost. A count that
//! `t + 1` of them have given includes every reservation that `t + 1` of them hold, since two such sets share
//! a host.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use slog::{Logger, info};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::link::{HostLink, Lane, QueuedRecord, SendTime, keep_link, snapshots_at};
use crate::port::{HostAddress, RecordReceipt};
use crate::record::{LedgerRecord, ProgramKey, TurnKey, TurnRecord};
use crate::snapshot::KindSnapshot;

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

/// What all turns of a program may spend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenBudget {
    /// Tokens of all turns together.
    pub tokens: u64,
    /// How long the program may pause and still be held to it, in milliseconds.
    pub retention_ms: u64,
}

/// Answer to a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Reserved {
        /// Whether no other turn of the program has spent or reserved any.
        is_first: bool,
        /// Estimate of the turns that are under way at all entries together.
        open_turns: u64,
    },
    /// The budget does not cover them; nothing is reserved.
    Exhausted {
        /// Tokens that other turns of the program have spent or reserved.
        committed: u64,
    },
}

/// The ledger hosts in use, and the entries that pass bytes on to them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LedgerHosts {
    hosts: Vec<HostAddress>,
    relays: Vec<SocketAddr>,
}

impl LedgerHosts {
    /// Creates the list.
    pub fn new(hosts: Vec<(String, SocketAddr)>) -> Self {
        let mut hosts: Vec<HostAddress> = hosts
            .into_iter()
            .map(|(name, address)| HostAddress { name, address })
            .collect();
        hosts.sort_unstable();
        Self {
            hosts,
            relays: Vec::new(),
        }
    }

    /// Returns the list with the addresses of entries by which a host is reached when the direct way is cut.
    #[must_use]
    pub fn with_relays(mut self, relays: Vec<SocketAddr>) -> Self {
        self.relays = relays;
        self
    }
}

/// The ledger as an entry uses it; clones share connections.
#[derive(Debug, Clone)]
pub struct LedgerClient {
    shared: Arc<ClientState>,
}

#[derive(Debug)]
struct ClientState {
    links: Mutex<Vec<Arc<HostLink>>>,
    relays: Arc<Mutex<Vec<SocketAddr>>>,
    tolerated: usize,
    log: Logger,
}

/// Gives a reservation back unless it is forgotten: it was refused, too few hosts answered or nobody waits for it
/// any more. The next turn of the program may be on its way, so that this does not wait.
#[derive(Debug)]
struct ReservationGuard<'a> {
    client: &'a LedgerClient,
    program: ProgramKey,
    turn: TurnKey,
}

impl Drop for ReservationGuard<'_> {
    fn drop(&mut self) {
        self.client
            .send_settlement(self.program, self.turn, 0, SendTime::Now);
    }
}

impl LedgerClient {
    /// Creates a client that works with `tolerated` hosts lost.
    pub fn new(tolerated: usize, log: Logger) -> Self {
        Self {
            shared: Arc::new(ClientState {
                links: Mutex::default(),
                relays: Arc::default(),
                tolerated,
                log,
            }),
        }
    }

    /// Replaces the list of hosts; connections to those that stay are kept.
    pub fn set_hosts(&self, hosts: &LedgerHosts) {
        self.relays().clone_from(&hosts.relays);
        let mut links = self.links();
        links.retain(|link| hosts.hosts.contains(&link.peer));
        for peer in &hosts.hosts {
            if links.iter().any(|link| link.peer == *peer) {
                continue;
            }
            let relays = Arc::clone(&self.shared.relays);
            let link = Arc::new(HostLink::new(peer.clone(), relays, self.shared.log.clone()));
            for lane in [Lane::Counted, Lane::Synced] {
                tokio::spawn(keep_link(Arc::downgrade(&link), lane));
            }
            links.push(link);
        }
        info!(self.shared.log, "ledger hosts changed"; "hosts" => links.len(), "relays" => hosts.relays.len());
    }

    /// Returns whether an address is that of a listed ledger host.
    pub fn is_host(&self, address: SocketAddr) -> bool {
        self.links().iter().any(|link| link.peer.address == address)
    }

    /// Returns whether enough hosts have been reached for any answer.
    pub fn is_reachable(&self) -> bool {
        let reached = self.links().iter().filter(|link| link.is_up()).count();
        reached > self.shared.tolerated
    }

    /// Asks one of the reached hosts, or else all seeds, for snapshots newer than the known revisions.
    pub async fn fetch_snapshots(&self, known: &[(String, u64)], seeds: &[SocketAddr]) -> Vec<KindSnapshot> {
        let reached: Vec<Arc<HostLink>> = self.links().iter().filter(|link| link.is_up()).cloned().collect();
        if reached.is_empty() {
            // Some of the seeds may be down, and a host without power does not answer at all.
            let mut asked: FuturesUnordered<_> =
                seeds.iter().map(|seed| snapshots_at(*seed, known)).collect();
            while let Some(answer) = asked.next().await {
                if let Some(snapshots) = answer.filter(|snapshots| !snapshots.is_empty()) {
                    return snapshots;
                }
            }
            return Vec::new();
        }
        let draw = rand::random::<u32>() as usize;
        let answer = reached[draw % reached.len()].snapshots(known).await;
        answer.unwrap_or_default()
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
        budget: TokenBudget,
    ) -> Result<ReserveOutcome, LedgerError> {
        let record = LedgerRecord::Reserved {
            program,
            turn,
            tokens,
            retention_ms: budget.retention_ms,
        };
        let guard = ReservationGuard {
            client: self,
            program,
            turn,
        };
        let receipts = self.write(&record, Lane::Counted).await?;
        let committed = receipts.iter().map(|receipt| receipt.committed).max();
        let committed = committed.unwrap_or_default();
        if committed > budget.tokens {
            let committed = committed.saturating_sub(tokens);
            return Ok(ReserveOutcome::Exhausted { committed });
        }
        std::mem::forget(guard);
        Ok(ReserveOutcome::Reserved {
            is_first: committed <= tokens,
            open_turns: self.estimate_open(&receipts),
        })
    }

    /// Replaces a reservation by what was spent, without waiting.
    pub fn settle(&self, program: ProgramKey, turn: TurnKey, tokens: u64) {
        self.send_settlement(program, turn, tokens, SendTime::WithNext);
    }

    fn send_settlement(&self, program: ProgramKey, turn: TurnKey, tokens: u64, time: SendTime) {
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
                time,
            );
        }
    }

    /// Keeps a turn that ended whole.
    ///
    /// # Errors
    ///
    /// Fails when too few hosts have it on their disks; it may be kept nevertheless.
    pub async fn store_turn(&self, turn: TurnRecord) -> Result<(), LedgerError> {
        self.write(&LedgerRecord::Turn(turn), Lane::Synced)
            .await
            .map(drop)
    }

    /// Returns a turn and those before it, the newest first; the oldest one continues none.
    ///
    /// # Errors
    ///
    /// Fails when the hosts that answer do not know the whole chain.
    pub async fn fetch_chain(&self, turn: TurnKey) -> Result<Vec<TurnRecord>, LedgerError> {
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

    /// Estimates the turns under way: each host hears of the programs in whose group it is.
    fn estimate_open(&self, receipts: &[RecordReceipt]) -> u64 {
        let heard = receipts.iter().map(|receipt| receipt.open_turns).max();
        let hosts = self.links().len() as u64;
        let group = self.group_size() as u64;
        heard.unwrap_or_default() * hosts.max(group) / group
    }

    /// Writes a record to the program's group and returns the answers of the first `t + 1` hosts.
    async fn write(&self, record: &LedgerRecord, lane: Lane) -> Result<Vec<RecordReceipt>, LedgerError> {
        let needed = self.shared.tolerated + 1;
        if !self.is_reachable() {
            return Err(LedgerError::TooFewHosts { answered: 0, needed });
        }
        let mut replies = FuturesUnordered::new();
        for link in self.group(record.program()) {
            let (reply, waiting) = oneshot::channel();
            link.enqueue(
                lane,
                QueuedRecord {
                    record: record.clone(),
                    reply: Some(reply),
                },
                SendTime::Now,
            );
            replies.push(waiting);
        }
        let mut receipts = Vec::with_capacity(needed);
        while let Some(reply) = replies.next().await {
            if let Ok(Ok(receipt)) = reply {
                receipts.push(receipt);
            }
            if receipts.len() == needed {
                return Ok(receipts);
            }
        }
        Err(LedgerError::TooFewHosts {
            answered: receipts.len(),
            needed,
        })
    }

    fn group_size(&self) -> usize {
        2 * self.shared.tolerated + 1
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
        group.truncate(self.group_size());
        group
    }

    fn relays(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.shared.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn links(&self) -> MutexGuard<'_, Vec<Arc<HostLink>>> {
        self.shared.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
