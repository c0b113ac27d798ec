//! Copying of records that a host missed while it was away.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use slog::{Logger, debug, info};
use tokio::time::{sleep, timeout};

use crate::host::LedgerHost;
use crate::port::{
    HostAddress, LedgerPortClient, PortFault, call_within, connect_host, open_stream, wall_clock_ms,
};
use crate::record::RecordKey;

/// Longest time for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Keys asked for at once.
const KEYS_PER_CALL: usize = 512;
/// Buckets whose keys are asked for at once.
const BUCKETS_PER_CALL: usize = 512;
/// Pause before a look at records that are on their way from another source: a few exchanges between hosts.
const CLAIM_PAUSE: Duration = Duration::from_millis(20);

/// Records on their way from one of the sources, sorted, so that no other one sends them too.
#[derive(Debug, Clone, Default)]
struct CopyClaims {
    keys: Arc<Mutex<Vec<RecordKey>>>,
}

impl CopyClaims {
    /// Claims up to [`KEYS_PER_CALL`] of the keys that nobody else has claimed.
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

/// Keys claimed by one source until they are dropped, sorted.
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

/// Position in the records of a source.
#[derive(Debug, Clone, Copy)]
struct SourcePosition {
    epoch: u64,
    next: u64,
}

/// One host from which records are copied.
#[derive(Debug)]
struct CopySource {
    peer: HostAddress,
    client: Option<LedgerPortClient>,
    position: Option<SourcePosition>,
}

/// The host that copies.
#[derive(Debug, Clone)]
struct CopyTarget {
    host: LedgerHost,
    name: String,
    claims: CopyClaims,
}

impl CopySource {
    const fn new(name: String, address: SocketAddr) -> Self {
        Self {
            peer: HostAddress { name, address },
            client: None,
            position: None,
        }
    }

    /// Copies everything that the source holds and the target lacks; returns its name and whether the copy got to
    /// the end.
    async fn copy(&mut self, target: &CopyTarget) -> (String, bool) {
        let copied = self.try_copy(target).await;
        if copied.is_none() {
            self.client = None;
        }
        (self.peer.name.clone(), copied.is_some())
    }

    async fn try_copy(&mut self, target: &CopyTarget) -> Option<()> {
        let client = self.connected().await?;
        loop {
            let position = match self.position {
                Some(position) => position,
                None => *self.position.insert(compare(&client, target).await?),
            };
            let SourcePosition { epoch, next } = position;
            let asked = client
                .changes(call_within(CALL_TIMEOUT), target.name.clone(), epoch, next)
                .await;
            let page = match asked.ok()? {
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

    async fn connected(&mut self) -> Option<LedgerPortClient> {
        if let Some(client) = &self.client {
            return Some(client.clone());
        }
        let stream = timeout(CONNECT_TIMEOUT, open_stream(self.peer.address)).await;
        let client = connect_host(stream.ok()?.ok()?);
        self.client = Some(client.clone());
        Some(client)
    }
}

/// Copies what differs by the digests and returns the position from which later records follow.
async fn compare(client: &LedgerPortClient, target: &CopyTarget) -> Option<SourcePosition> {
    let page = client.digests(call_within(CALL_TIMEOUT)).await.ok()?.ok()?;
    let differing = target.host.differing(&page.digests);
    for buckets in differing.chunks(BUCKETS_PER_CALL) {
        let keys = client.keys_in(call_within(CALL_TIMEOUT), buckets.to_vec()).await;
        copy_missing(client, target, &keys.ok()?.ok()?).await?;
    }
    Some(SourcePosition {
        epoch: page.epoch,
        next: page.next,
    })
}

/// Copies the records that the target lacks; returns once it has them all.
async fn copy_missing(client: &LedgerPortClient, target: &CopyTarget, keys: &[RecordKey]) -> Option<()> {
    let mut missing = target.host.missing(keys);
    while !missing.is_empty() {
        let claimed = target.claims.claim(&missing);
        if claimed.keys.is_empty() {
            sleep(CLAIM_PAUSE).await;
            missing = target.host.missing(&missing);
            continue;
        }
        let records = client
            .records(call_within(CALL_TIMEOUT), claimed.keys.clone())
            .await;
        let records = records.ok()?.ok()?;
        if records.is_empty() {
            // The source has forgotten them since: their retention is over.
            missing.retain(|key| claimed.keys.binary_search(key).is_err());
            continue;
        }
        target.host.write_copied(records, wall_clock_ms()).await.ok()?;
        missing = target.host.missing(&missing);
    }
    Some(())
}

/// Copies from every other host, first what differs, then what arrives there.
#[derive(Debug)]
pub struct CopyLoop {
    target: CopyTarget,
    log: Logger,
    sources: Vec<CopySource>,
    is_first: bool,
}

impl CopyLoop {
    /// Creates the loop for a host.
    pub fn new(host: LedgerHost, own_name: String, log: Logger) -> Self {
        let target = CopyTarget {
            host,
            name: own_name,
            claims: CopyClaims::default(),
        };
        Self {
            target,
            log,
            sources: Vec::new(),
            is_first: true,
        }
    }

    /// Copies once from each of the hosts and returns the names of those that answered to the end. The first copy
    /// counts as whole as soon as all but `may_lack` of them have.
    pub async fn round(&mut self, peers: &[(String, SocketAddr)], may_lack: usize) -> Vec<String> {
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
        loop {
            if self.is_first && reached.len() + may_lack >= total {
                self.is_first = false;
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
