//! An entry's view of the ledger: reservations, settlements and turns over several hosts.
//!
//! Each program has a group of `2 t + 1` hosts, where `t` is the number of hosts that may fail. Any two sets
//! of `t + 1` hosts of a group share a host. The largest count in the responses of `t + 1` hosts therefore
//! includes every reservation that `t + 1` hosts hold.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use domain::BuildKey;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use slog::{Logger, info};
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::time::{Instant, sleep, timeout_at};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::link::{
    HostLink, LARGE_SENDS_BYTES, QueueKind, QueuedRecord, SendTime, SyncMode, fetch_snapshots_at, run_link,
};
use crate::port::{HostAddress, RecordReceipt, StreamBuild};
use crate::quota::QuotaBounds;
use crate::quota_client::QuotaBook;
use crate::record::{LARGE_PAYLOAD_BYTES, LedgerRecord, ProgramKey, TurnKey, TurnRecord};
use crate::snapshot::SnapshotPage;

/// Delay after which the next hosts are asked for a chain of turns, although an earlier one has not answered yet.
/// It is many times the duration of a call between failure domains.
const NEXT_STAGE_DELAY: Duration = Duration::from_millis(40);
/// Largest number of chains that are fetched at the same time; it bounds the parts that have not been counted yet.
const MAX_CHAIN_FETCHES: usize = 32;

/// Delay before a reservation is written again to hosts that did not respond with counts: a fraction of the time in
/// which a host copies the records that it missed.
const WRITE_REPEAT_DELAY: Duration = Duration::from_millis(50);

/// Error of a ledger operation.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// Too few hosts responded.
    #[error("{answered} of {needed} ledger hosts answered")]
    TooFewHosts {
        /// Number of hosts that responded.
        answered: usize,
        /// Number of hosts that must respond.
        needed: usize,
    },
    /// All hosts responded, and none of them holds the turn.
    #[error("no ledger host that answered knows the turn")]
    UnknownTurn,
}

/// Budget of all turns of a program together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenBudget {
    /// Tokens that the turns may spend together.
    pub tokens: u64,
    /// Longest pause of the program after which its earlier turns still count, in milliseconds.
    pub retention_ms: u64,
}

/// Tokens that a turn claims, and the software at which its stream begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnClaim {
    /// Program that the turn belongs to.
    pub program: ProgramKey,
    /// The turn.
    pub turn: TurnKey,
    /// Largest number of tokens that the turn may spend.
    pub tokens: u64,
    /// Software that produces the events of the stream; `None` if the stream cannot be taken up again.
    pub build: Option<BuildKey>,
}

impl TurnClaim {
    const fn record(self, retention_ms: u64) -> LedgerRecord {
        let Self {
            program,
            turn,
            tokens,
            build,
        } = self;
        match build {
            None => LedgerRecord::Reserved {
                program,
                turn,
                tokens,
                retention_ms,
            },
            Some(build) => LedgerRecord::Begun {
                program,
                turn,
                tokens,
                retention_ms,
                build,
            },
        }
    }
}

/// Outcome of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Reserved {
        /// Whether no other turn of the program has spent or reserved tokens.
        is_first: bool,
        /// Estimated number of open turns of all entries together.
        open_turns: u64,
    },
    /// The budget does not cover the tokens; nothing is reserved.
    Exhausted {
        /// Tokens that other turns of the program have spent or reserved.
        committed: u64,
    },
}

/// The ledger hosts in use, and the entries that relay connections to them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LedgerHosts {
    hosts: Vec<HostAddress>,
    relays: Vec<SocketAddr>,
}

impl LedgerHosts {
    /// Creates a list of hosts with their names and addresses, without relays.
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

    /// Returns the list with the addresses of entries that relay connections to hosts that are unreachable
    /// directly.
    #[must_use]
    pub fn with_relays(mut self, relays: Vec<SocketAddr>) -> Self {
        self.relays = relays;
        self
    }
}

/// Client of the ledger in an entry; clones share connections.
#[derive(Debug, Clone)]
pub struct LedgerClient {
    shared: Arc<ClientState>,
}

#[derive(Debug)]
struct ClientState {
    links: Mutex<Vec<Arc<HostLink>>>,
    relays: Arc<Mutex<Vec<SocketAddr>>>,
    connected: Arc<Notify>,
    /// Room for the large records that are sent to hosts.
    large_sends: Arc<Semaphore>,
    /// Chains that are fetched at the same time.
    chain_fetches: Semaphore,
    tolerated_failures: usize,
    /// What is tolerated beyond the quotas of workspaces.
    quota_bounds: QuotaBounds,
    /// What ledger hosts have said of the next permits of workspaces.
    quota_book: Mutex<QuotaBook>,
    /// Number of polls for snapshots; it selects the host of the next one.
    polls: AtomicUsize,
    log: Logger,
}

/// Returns whether a host may have more of a chain than the part that it has sent: the part has about the limited size.
fn is_cut_short(part: &[TurnRecord]) -> bool {
    let payload_bytes: usize = part.iter().map(TurnRecord::payload_bytes).sum();
    payload_bytes > LARGE_PAYLOAD_BYTES / 2
}

/// Releases a reservation on drop: the budget did not cover it, too few hosts responded or the caller was
/// cancelled. `reserve` forgets the guard when it succeeds. The release is sent immediately, since the next
/// turn of the program may already be on its way.
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

/// Returns the index of the host that a poll for snapshots asks, among `hosts` hosts sorted by name.
///
/// Load pattern: answers of the discovery service are lost for all processes, and the first `keepers` hosts notice it
/// first; or it turns some processes away, which may be just these. The polls therefore alternate between the two
/// groups, and within each go from host to host.
///
/// # Panics
///
/// Panics when there is no host.
pub const fn polled_host(poll: usize, hosts: usize, keepers: usize) -> usize {
    assert!(hosts > 0, "a poll needs a host");
    if keepers == 0 || keepers >= hosts {
        return poll % hosts;
    }
    let turn = poll / 2;
    if poll.is_multiple_of(2) {
        turn % keepers
    } else {
        keepers + turn % (hosts - keepers)
    }
}

/// Returns that of two records of a stream's software which has replaced the other.
fn later_build(left: Option<StreamBuild>, right: Option<StreamBuild>) -> Option<StreamBuild> {
    match (left, right) {
        (Some(left), Some(right)) if right.is_moved && !left.is_moved => Some(right),
        (left, right) => left.or(right),
    }
}

impl LedgerClient {
    /// Creates a client that works while up to `tolerated_failures` hosts are unavailable.
    pub fn new(tolerated_failures: usize, log: Logger) -> Self {
        Self::with_quota_bounds(tolerated_failures, QuotaBounds::default(), log)
    }

    /// Creates a client as [`Self::new`] does, for a platform that tolerates some excess over the quotas of workspaces.
    pub fn with_quota_bounds(tolerated_failures: usize, quota_bounds: QuotaBounds, log: Logger) -> Self {
        Self {
            shared: Arc::new(ClientState {
                links: Mutex::default(),
                relays: Arc::default(),
                connected: Arc::default(),
                large_sends: Arc::new(Semaphore::new(LARGE_SENDS_BYTES)),
                chain_fetches: Semaphore::new(MAX_CHAIN_FETCHES),
                tolerated_failures,
                quota_bounds,
                quota_book: Mutex::default(),
                polls: AtomicUsize::new(0),
                log,
            }),
        }
    }

    /// Replaces the list of hosts. Connections to hosts that remain on the list stay open.
    pub fn set_hosts(&self, hosts: &LedgerHosts) {
        self.relays().clone_from(&hosts.relays);
        let mut links = self.links();
        links.retain(|link| hosts.hosts.contains(&link.peer));
        for peer in &hosts.hosts {
            if links.iter().any(|link| link.peer == *peer) {
                continue;
            }
            let relays = Arc::clone(&self.shared.relays);
            let connected = Arc::clone(&self.shared.connected);
            let log = self.shared.log.clone();
            let large_sends = Arc::clone(&self.shared.large_sends);
            let link = Arc::new(HostLink::new(peer.clone(), relays, connected, large_sends, log));
            for kind in QueueKind::ALL {
                tokio::spawn(run_link(Arc::downgrade(&link), kind));
            }
            links.push(link);
        }
        info!(self.shared.log, "ledger hosts changed"; "hosts" => links.len(), "relays" => hosts.relays.len());
    }

    /// Returns whether an address belongs to a listed ledger host.
    pub fn is_host(&self, address: SocketAddr) -> bool {
        self.links().iter().any(|link| link.peer.address == address)
    }

    /// Returns whether more hosts are connected than may fail, which every write needs.
    pub fn is_reachable(&self) -> bool {
        let connected = self.links().iter().filter(|link| link.is_up()).count();
        connected > self.shared.tolerated_failures
    }

    /// Waits until [`Self::is_reachable`] holds, and returns whether it does; returns `false` after
    /// `wait_timeout`.
    pub async fn wait_reachable(&self, wait_timeout: Duration) -> bool {
        let deadline = Instant::now() + wait_timeout;
        loop {
            // Registered before the check, so that a connection in between is not missed.
            let mut connected = std::pin::pin!(self.shared.connected.notified());
            connected.as_mut().enable();
            if self.is_reachable() {
                return true;
            }
            if timeout_at(deadline, connected).await.is_err() {
                return false;
            }
        }
    }

    /// Fetches snapshots that are newer than the known revisions from one of the connected hosts, as
    /// [`polled_host`] chooses it. If none is connected, returns the first snapshots that any of the seeds sends. The page
    /// is empty if there are no newer ones or no host responds.
    pub async fn fetch_snapshots(&self, known: &[(String, u64)], seeds: &[SocketAddr]) -> SnapshotPage {
        let mut connected: Vec<Arc<HostLink>> =
            self.links().iter().filter(|link| link.is_up()).cloned().collect();
        connected.sort_unstable_by(|left, right| left.peer.cmp(&right.peer));
        if connected.is_empty() {
            // Some of the seeds may be down, and a host without power does not even refuse a connection.
            let mut responses: FuturesUnordered<_> = seeds
                .iter()
                .map(|seed| fetch_snapshots_at(*seed, known))
                .collect();
            let mut empty = SnapshotPage::default();
            while let Some(response) = responses.next().await {
                let Some(page) = response else { continue };
                if !page.snapshots.is_empty() {
                    return page;
                }
                if page.confirmed_ms_ago.is_some() {
                    empty = page;
                }
            }
            return empty;
        }
        let poll = self.shared.polls.fetch_add(1, Ordering::Relaxed);
        let choice = polled_host(poll, connected.len(), self.shared.tolerated_failures + 1);
        let response = connected[choice].fetch_snapshots(known).await;
        response.unwrap_or_default()
    }

    /// Reserves tokens for a turn unless the program's budget does not cover them.
    ///
    /// # Errors
    ///
    /// Fails when too few hosts respond; the reservation is then released on the hosts that received it.
    pub async fn reserve(
        &self,
        program: ProgramKey,
        turn: TurnKey,
        tokens: u64,
        budget: TokenBudget,
    ) -> Result<ReserveOutcome, LedgerError> {
        let claim = TurnClaim {
            program,
            turn,
            tokens,
            build: None,
        };
        self.reserve_within(Duration::ZERO, claim, budget).await
    }

    /// Reserves tokens as [`Self::reserve`] does, but repeats the writing for up to `patience` while too few hosts
    /// respond. The reservation is released only at the end, since a released turn cannot be reserved again.
    ///
    /// # Errors
    ///
    /// Fails when too few hosts respond; the reservation is then released on the hosts that received it.
    pub async fn reserve_within(
        &self,
        patience: Duration,
        claim: TurnClaim,
        budget: TokenBudget,
    ) -> Result<ReserveOutcome, LedgerError> {
        let repeat_until = Instant::now() + patience;
        let record = claim.record(budget.retention_ms);
        let tokens = claim.tokens;
        let guard = ReservationGuard {
            client: self,
            program: claim.program,
            turn: claim.turn,
        };
        let receipts = loop {
            match self.write(&record, SyncMode::Unsynced).await {
                Err(LedgerError::TooFewHosts { .. })
                    if Instant::now() + WRITE_REPEAT_DELAY < repeat_until =>
                {
                    sleep(WRITE_REPEAT_DELAY).await;
                }
                receipts => break receipts?,
            }
        };
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

    /// Replaces a reservation by the tokens that were spent. Returns without waiting for the hosts.
    pub fn settle(&self, program: ProgramKey, turn: TurnKey, tokens: u64) {
        self.send_settlement(program, turn, tokens, SendTime::WithNextBatch);
    }

    fn send_settlement(&self, program: ProgramKey, turn: TurnKey, tokens: u64, time: SendTime) {
        let record = LedgerRecord::Settled {
            program,
            turn,
            tokens,
        };
        for link in self.group(program) {
            link.enqueue(
                SyncMode::Unsynced,
                QueuedRecord {
                    record: record.clone(),
                    reply: None,
                },
                time,
            );
        }
    }

    /// Stores a completed turn and waits until it is durable.
    ///
    /// # Errors
    ///
    /// Fails when too few hosts have synced the turn; some of them may store it nevertheless.
    pub async fn store_turn(&self, turn: TurnRecord) -> Result<(), LedgerError> {
        self.write(&LedgerRecord::Turn(turn), SyncMode::Synced)
            .await
            .map(drop)
    }

    /// Records that another software than the claimed one begins a turn's stream, and waits until that is durable.
    ///
    /// # Errors
    ///
    /// Fails when too few hosts have synced the record. Some of them may hold it nevertheless, so that no software
    /// may begin the stream any more.
    pub async fn move_stream(
        &self,
        program: ProgramKey,
        turn: TurnKey,
        build: BuildKey,
    ) -> Result<(), LedgerError> {
        let record = LedgerRecord::Moved { program, turn, build };
        self.write(&record, SyncMode::Synced).await.map(drop)
    }

    /// Fetches the software that produces the events of a turn's stream; `None` if no host has a record of it.
    ///
    /// Every claim and every move is on `t + 1` hosts of the program's group before an event is delivered, so that
    /// one of any `t + 1` hosts knows the latest of them. The other hosts are asked only for what the group does not
    /// know, for example because it has changed since.
    ///
    /// # Errors
    ///
    /// Fails when too few hosts respond.
    pub async fn fetch_build(
        &self,
        program: ProgramKey,
        turn: TurnKey,
    ) -> Result<Option<BuildKey>, LedgerError> {
        let needed = self.shared.tolerated_failures + 1;
        let group = self.group(program);
        let mut responses: FuturesUnordered<_> =
            group.iter().map(|link| link.fetch_build(program, turn)).collect();
        let mut answered = 0;
        let mut latest: Option<StreamBuild> = None;
        while let Some(response) = responses.next().await {
            let Some(found) = response else { continue };
            answered += 1;
            latest = later_build(latest, found);
            if answered >= needed
                && let Some(latest) = latest
            {
                return Ok(Some(latest.build));
            }
        }
        if answered < needed {
            return Err(LedgerError::TooFewHosts { answered, needed });
        }
        let others: Vec<Arc<HostLink>> = {
            let links = self.links();
            let is_other = |link: &&Arc<HostLink>| !group.iter().any(|member| Arc::ptr_eq(member, link));
            links.iter().filter(is_other).cloned().collect()
        };
        let mut responses: FuturesUnordered<_> = others
            .iter()
            .map(|link| link.fetch_build(program, turn))
            .collect();
        while let Some(response) = responses.next().await {
            latest = later_build(latest, response.flatten());
        }
        Ok(latest.map(|latest| latest.build))
    }

    /// Fetches a turn and all its predecessors, the newest first. `program` is the program that continues the
    /// turn, which usually stored it too; the hosts of its group are asked first.
    ///
    /// # Errors
    ///
    /// Fails when the responding hosts together lack a turn of the chain.
    pub async fn fetch_chain(
        &self,
        turn: TurnKey,
        program: Option<ProgramKey>,
    ) -> Result<Vec<TurnRecord>, LedgerError> {
        let mut chain: Vec<TurnRecord> = Vec::new();
        let mut next = Some(turn);
        // Each host may lack some turns of the chain, so the remaining part is requested from all hosts
        // again.
        while let Some(turn) = next {
            let part = self.fetch_chain_part(turn, program).await?;
            next = part.last().and_then(|oldest| oldest.previous);
            chain.extend(part);
        }
        Ok(chain)
    }

    /// Returns whether a host stores a turn with the same id that belongs to another workspace; `false` also when none
    /// responds.
    pub async fn has_foreign_turn(&self, turn: TurnKey) -> bool {
        let hosts = self.links().clone();
        let mut responses: FuturesUnordered<_> =
            hosts.iter().map(|host| host.has_foreign_turn(turn)).collect();
        while let Some(response) = responses.next().await {
            if response == Some(true) {
                return true;
            }
        }
        false
    }

    /// Fetches the newest part of a chain that ends with a turn, the newest turn first. The part that is missing begins with
    /// the turn that the last one continues; a host sends a part of limited size, and each may lack some turns.
    ///
    /// # Errors
    ///
    /// Fails when too few hosts respond, and when all respond and none of them has the turn.
    pub async fn fetch_chain_part(
        &self,
        turn: TurnKey,
        program: Option<ProgramKey>,
    ) -> Result<Vec<TurnRecord>, LedgerError> {
        // The semaphore is never closed.
        let _fetching = self.shared.chain_fetches.acquire().await.ok();
        self.fetch_longest_part(turn, program).await
    }

    /// Fetches the longest part of a chain that one host holds. Returns a complete chain, or one that the host has cut
    /// short, as soon as one arrives.
    ///
    /// Load pattern: the callers of stored turns change between entries, and every host of a group holds the whole
    /// chain. Asking all hosts at once makes each of them send the chain, so that one host is asked first, then
    /// the rest of the group, then all others.
    async fn fetch_longest_part(
        &self,
        turn: TurnKey,
        program: Option<ProgramKey>,
    ) -> Result<Vec<TurnRecord>, LedgerError> {
        let stages = self.chain_stages(program);
        let count: usize = stages.iter().map(Vec::len).sum();
        let mut responses = FuturesUnordered::new();
        let mut answered = 0;
        let mut longest: Vec<TurnRecord> = Vec::new();
        let last_stage = stages.len() - 1;
        for (stage, links) in stages.iter().enumerate() {
            responses.extend(links.iter().map(|link| link.fetch_chain(turn)));
            let next_stage_at = Instant::now() + NEXT_STAGE_DELAY;
            loop {
                let response = if stage == last_stage {
                    responses.next().await
                } else {
                    match timeout_at(next_stage_at, responses.next()).await {
                        Ok(response) => response,
                        Err(_) => break,
                    }
                };
                let Some(response) = response else { break };
                let Some(part) = response else { continue };
                answered += 1;
                if part.last().is_some_and(|oldest| oldest.previous.is_none()) || is_cut_short(&part) {
                    return Ok(part);
                }
                if part.len() > longest.len() {
                    longest = part;
                }
            }
        }
        match (longest.is_empty(), answered == count) {
            (false, _) => Ok(longest),
            (true, true) => Err(LedgerError::UnknownTurn),
            (true, false) => Err(LedgerError::TooFewHosts {
                answered,
                needed: count,
            }),
        }
    }

    /// Returns the hosts in the order in which they are asked for a chain: a connected host of the program's
    /// group, the other hosts of the group, and all others.
    fn chain_stages(&self, program: Option<ProgramKey>) -> [Vec<Arc<HostLink>>; 3] {
        let mut group = program.map_or_else(Vec::new, |program| self.group(program));
        let is_in_group = |link: &Arc<HostLink>| group.iter().any(|member| Arc::ptr_eq(member, link));
        let others = self
            .links()
            .iter()
            .filter(|link| !is_in_group(link))
            .cloned()
            .collect();
        let connected = group.iter().position(|link| link.is_up());
        let first = connected.map(|index| group.remove(index));
        [first.into_iter().collect(), group, others]
    }

    /// Estimates the open turns of all entries. Each host counts only the programs in whose group it is, so
    /// that the largest count is scaled from the size of a group to the number of hosts.
    fn estimate_open(&self, receipts: &[RecordReceipt]) -> u64 {
        let largest = receipts.iter().map(|receipt| receipt.open_turns).max();
        let hosts = self.links().len() as u64;
        let group = self.group_size() as u64;
        largest.unwrap_or_default() * hosts.max(group) / group
    }

    /// Writes a record to the program's group and returns the receipts of the first `t + 1` hosts that
    /// confirm it.
    async fn write(&self, record: &LedgerRecord, mode: SyncMode) -> Result<Vec<RecordReceipt>, LedgerError> {
        let needed = self.shared.tolerated_failures + 1;
        if !self.is_reachable() {
            return Err(LedgerError::TooFewHosts { answered: 0, needed });
        }
        let mut replies = FuturesUnordered::new();
        for link in self.group(record.program()) {
            let (reply, waiting) = oneshot::channel();
            link.enqueue(
                mode,
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

    /// Returns the hosts that keep what entries tell one another: the first ones by name, one more than may be lost at
    /// the same time.
    pub(crate) fn notice_hosts(&self) -> Vec<Arc<HostLink>> {
        let mut hosts = self.links().clone();
        hosts.sort_unstable_by(|left, right| left.peer.cmp(&right.peer));
        hosts.truncate(self.shared.tolerated_failures + 1);
        hosts
    }

    /// Returns the number of hosts that hand out the permits of a workspace: more than may fail.
    pub(crate) fn quota_host_count(&self) -> usize {
        self.shared.tolerated_failures + 1
    }

    pub(crate) fn quota_bounds(&self) -> QuotaBounds {
        self.shared.quota_bounds
    }

    pub(crate) fn quota_book(&self) -> MutexGuard<'_, QuotaBook> {
        self.shared
            .quota_book
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn group_size(&self) -> usize {
        2 * self.shared.tolerated_failures + 1
    }

    /// Returns the hosts of a program's group, chosen by rendezvous hashing.
    fn group(&self, program: ProgramKey) -> Vec<Arc<HostLink>> {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "either half of the hash is a suitable seed"
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

    pub(crate) fn links(&self) -> MutexGuard<'_, Vec<Arc<HostLink>>> {
        self.shared.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
