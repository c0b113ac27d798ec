//! Copying of records that a host missed while it was unavailable.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use slog::{Logger, debug, info};
use tokio::time::{sleep, timeout};

use crate::host::LedgerHost;
use crate::port::{
    HostAddress, LedgerPortClient, PortFault, connect_host, context_with_timeout, open_stream, wall_clock_ms,
};
use crate::record::RecordKey;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of records requested in one call.
const KEYS_PER_CALL: usize = 512;
/// Largest number of buckets whose keys are requested in one call.
const BUCKETS_PER_CALL: usize = 512;
/// Time from the start of a round for which the target hands out permits of workspaces once it has reached half of the
/// other hosts. It is longer than the time between two rounds, and ends before another host takes the target's place.
const PERMIT_LEASE: Duration = Duration::from_secs(4);
/// Time without a complete copy after which a source is compared as a whole: half of the time for which records outlive
/// their retention. A target that was cut off for longer may have removed turns that were continued meanwhile.
const MAX_COPY_GAP: Duration = Duration::from_secs(30);
/// Delay before checking whether records claimed for another source have arrived: a few round trips between
/// hosts.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Sorted keys of the records that are being copied from any source, so that each is copied from one source
/// only.
#[derive(Debug, Clone, Default)]
struct CopyClaims {
    keys: Arc<Mutex<Vec<RecordKey>>>,
}

impl CopyClaims {
    /// Claims up to [`KEYS_PER_CALL`] of the keys that are not claimed for another source.
    fn claim(&self, keys: &[RecordKey]) -> ClaimedKeys {
        let mut claimed = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        let mut own = Vec::new();
        for key in keys {
            if own.len() == KEYS_PER_CALL {
                break;
            }
            if let Err(place) = claimed.binary_search(key) {
                claimed.insert(place, *key);
                own.push(*key);
            }
        }
        own.sort_unstable();
        ClaimedKeys {
            keys: own,
            claims: self.clone(),
        }
    }
}

/// Sorted keys that are claimed for one source; the claim ends on drop.
#[derive(Debug)]
struct ClaimedKeys {
    keys: Vec<RecordKey>,
    claims: CopyClaims,
}

impl Drop for ClaimedKeys {
    fn drop(&mut self) {
        let mut claimed = self.claims.keys.lock().unwrap_or_else(PoisonError::into_inner);
        claimed.retain(|key| self.keys.binary_search(key).is_err());
    }
}

/// Position up to which the records of a source have been copied.
#[derive(Debug, Clone, Copy)]
struct SourcePosition {
    epoch: u64,
    next: u64,
}

/// A host from which records are copied.
#[derive(Debug)]
struct CopySource {
    peer: HostAddress,
    client: Option<LedgerPortClient>,
    position: Option<SourcePosition>,
    /// When all records of the source had been copied last.
    copied_at: Instant,
}

/// The host to which records are copied.
#[derive(Debug, Clone)]
struct CopyTarget {
    host: LedgerHost,
    name: String,
    claims: CopyClaims,
    /// Time without a complete copy after which a source is compared as a whole.
    max_gap: Duration,
}

impl CopySource {
    fn new(name: String, address: SocketAddr) -> Self {
        Self {
            peer: HostAddress { name, address },
            client: None,
            position: None,
            copied_at: Instant::now(),
        }
    }

    /// Copies all records that the source holds and the target lacks. Returns the source's name and whether
    /// the copy was completed.
    async fn copy(&mut self, target: &CopyTarget) -> (String, bool) {
        let began = Instant::now();
        if began.duration_since(self.copied_at) > target.max_gap {
            self.position = None;
        }
        let copied = self.try_copy(target).await;
        match copied {
            Some(()) => self.copied_at = began,
            None => self.client = None,
        }
        (self.peer.name.clone(), copied.is_some())
    }

    async fn try_copy(&mut self, target: &CopyTarget) -> Option<()> {
        let client = self.connect().await?;
        loop {
            let position = match self.position {
                Some(position) => position,
                None => *self.position.insert(copy_differing(&client, target).await?),
            };
            let SourcePosition { epoch, next } = position;
            let response = client
                .changes(
                    context_with_timeout(CALL_TIMEOUT),
                    target.name.clone(),
                    epoch,
                    next,
                )
                .await;
            let page = match response.ok()? {
                Ok(page) => page,
                Err(PortFault::Restarted) => {
                    self.position = None;
                    continue;
                }
                Err(PortFault::Copying | PortFault::Disk(_)) => return None,
            };
            copy_missing(&client, target, &page.keys).await?;
            self.position = Some(SourcePosition {
                epoch,
                next: page.next,
            });
            if page.next >= page.end {
                return Some(());
            }
        }
    }

    /// Returns a client on the open connection; opens one if there is none.
    async fn connect(&mut self) -> Option<LedgerPortClient> {
        if let Some(client) = &self.client {
            return Some(client.clone());
        }
        let stream = timeout(CONNECT_TIMEOUT, open_stream(self.peer.address)).await;
        let client = connect_host(stream.ok()?.ok()?);
        self.client = Some(client.clone());
        Some(client)
    }
}

/// Copies the records of all buckets whose digests differ and returns the position of later records.
async fn copy_differing(client: &LedgerPortClient, target: &CopyTarget) -> Option<SourcePosition> {
    let page = client
        .digests(context_with_timeout(CALL_TIMEOUT))
        .await
        .ok()?
        .ok()?;
    let differing = target.host.differing(&page.digests);
    for buckets in differing.chunks(BUCKETS_PER_CALL) {
        let keys = client
            .keys_in(context_with_timeout(CALL_TIMEOUT), buckets.to_vec())
            .await;
        copy_missing(client, target, &keys.ok()?.ok()?).await?;
    }
    Some(SourcePosition {
        epoch: page.epoch,
        next: page.next,
    })
}

/// Copies the records that the target lacks; returns once it has all of them that the source still holds.
async fn copy_missing(client: &LedgerPortClient, target: &CopyTarget, keys: &[RecordKey]) -> Option<()> {
    let mut missing = target.host.missing(keys);
    while !missing.is_empty() {
        let claimed = target.claims.claim(&missing);
        if claimed.keys.is_empty() {
            sleep(CLAIM_RETRY_DELAY).await;
            missing = target.host.missing(&missing);
            continue;
        }
        let records = client
            .records(context_with_timeout(CALL_TIMEOUT), claimed.keys.clone())
            .await;
        let records = records.ok()?.ok()?;
        if records.is_empty() {
            // Their retention has expired, and the source has removed them.
            missing.retain(|key| claimed.keys.binary_search(key).is_err());
            continue;
        }
        target.host.write_copied(records, wall_clock_ms()).await.ok()?;
        missing = target.host.missing(&missing);
    }
    Some(())
}

/// Copies records from every other host: at first those that differ, later those that are new there.
#[derive(Debug)]
pub struct CopyLoop {
    target: CopyTarget,
    log: Logger,
    sources: Vec<CopySource>,
    is_initial: bool,
}

impl CopyLoop {
    /// Creates the loop that copies records to `host`, which has the name `own_name` at its sources.
    pub fn new(host: LedgerHost, own_name: String, log: Logger) -> Self {
        let target = CopyTarget {
            host,
            name: own_name,
            claims: CopyClaims::default(),
            max_gap: MAX_COPY_GAP,
        };
        Self {
            target,
            log,
            sources: Vec::new(),
            is_initial: true,
        }
    }

    /// Sets the time without a complete copy after which a source is compared as a whole.
    #[must_use]
    pub fn with_max_gap(mut self, max_gap: Duration) -> Self {
        self.target.max_gap = max_gap;
        self
    }

    /// Copies once from each of the peers and returns the names of those from which the copy was completed.
    /// The initial copy counts as complete as soon as the copies from all peers but `max_unreachable` are.
    pub async fn round(&mut self, peers: &[(String, SocketAddr)], max_unreachable: usize) -> Vec<String> {
        self.sources.retain(|source| {
            peers
                .iter()
                .any(|(name, address)| source.peer.name == *name && source.peer.address == *address)
        });
        for (name, address) in peers {
            if !self.sources.iter().any(|source| source.peer.name == *name) {
                self.sources.push(CopySource::new(name.clone(), *address));
            }
        }
        let (target, log, total) = (&self.target, &self.log, self.sources.len());
        let copies = self.sources.iter_mut().map(|source| source.copy(target));
        let mut copies: FuturesUnordered<_> = copies.collect();
        let mut reached = Vec::with_capacity(total);
        let began = Instant::now();
        loop {
            if reached.len() * 2 >= total {
                target.host.lease_permits_until(began + PERMIT_LEASE);
            }
            if self.is_initial && reached.len() + max_unreachable >= total {
                self.is_initial = false;
                target.host.finish_copying();
                info!(log, "ledger copied"; "sources" => total, "reached" => reached.len());
            }
            match copies.next().await {
                Some((name, true)) => reached.push(name),
                Some((name, false)) => debug!(log, "ledger copy interrupted"; "peer" => name),
                None => return reached,
            }
        }
    }
}
