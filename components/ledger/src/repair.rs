//! Copying of records that a host missed while it was away.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use slog::{Logger, debug, info};
use tarpc::context::{self, Context};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::host::LedgerHost;
use crate::port::{HostAddress, LedgerPortClient, connect_host};
use crate::record::RecordKey;

/// Longest time for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Keys asked for at once.
const KEYS_PER_CALL: usize = 512;

/// Returns the time of day in Unix milliseconds.
pub(crate) fn wall_clock_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// One host from which records are copied.
#[derive(Debug)]
pub(crate) struct CopySource {
    peer: HostAddress,
    client: Option<LedgerPortClient>,
    epoch: u64,
    next: u64,
}

impl CopySource {
    pub(crate) const fn new(name: String, address: SocketAddr) -> Self {
        Self {
            peer: HostAddress { name, address },
            client: None,
            epoch: 0,
            next: 0,
        }
    }

    /// Copies everything that the host holds and this one lacks; returns whether it got to the end.
    async fn copy(&mut self, host: &LedgerHost, own_name: &str, log: &Logger) -> bool {
        let Some(client) = self.connected().await else {
            return false;
        };
        loop {
            let asked = client
                .changes(deadline(), own_name.to_owned(), self.epoch, self.next)
                .await;
            let Ok(Ok(page)) = asked else {
                debug!(log, "ledger copy interrupted"; "peer" => &self.peer.name);
                self.client = None;
                return false;
            };
            let mut missing = host.missing(&page.keys);
            while !missing.is_empty() {
                let Some(rest) = copy_records(host, &client, &missing).await else {
                    self.client = None;
                    return false;
                };
                missing = rest;
            }
            let is_done = page.next >= page.end && page.epoch == self.epoch;
            self.epoch = page.epoch;
            self.next = page.next;
            if is_done {
                return true;
            }
        }
    }

    async fn connected(&mut self) -> Option<LedgerPortClient> {
        if let Some(client) = &self.client {
            return Some(client.clone());
        }
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.peer.address)).await;
        let stream = connecting.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let client = connect_host(stream);
        self.client = Some(client.clone());
        Some(client)
    }
}

fn deadline() -> Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + CALL_TIMEOUT;
    context
}

/// Copies some of the records and returns the keys that remain; `None` when the host does not answer.
async fn copy_records(
    host: &LedgerHost,
    client: &LedgerPortClient,
    missing: &[RecordKey],
) -> Option<Vec<RecordKey>> {
    let asked = &missing[..missing.len().min(KEYS_PER_CALL)];
    let records = client.records(deadline(), asked.to_vec()).await.ok()?.ok()?;
    if records.is_empty() {
        // The host has forgotten them since: their retention is over.
        return Some(missing[asked.len()..].to_vec());
    }
    host.adopt(records, wall_clock_ms()).await.ok()?;
    Some(host.missing(missing))
}

/// Copies from every other host, first everything, then what arrives there.
#[derive(Debug)]
pub struct CopyLoop {
    host: LedgerHost,
    own_name: String,
    log: Logger,
    sources: Vec<CopySource>,
    is_first: bool,
}

impl CopyLoop {
    /// Creates the loop for a host.
    pub const fn new(host: LedgerHost, own_name: String, log: Logger) -> Self {
        Self {
            host,
            own_name,
            log,
            sources: Vec::new(),
            is_first: true,
        }
    }

    /// Copies once from each of the hosts and returns the names of those that answered to the end; `may_lack`
    /// of them may be away for the first copy to count as whole.
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
        let (host, own_name, log) = (&self.host, &self.own_name, &self.log);
        let copies = self
            .sources
            .iter_mut()
            .map(|source| source.copy(host, own_name, log));
        let results = futures::future::join_all(copies).await;
        let answered = self
            .sources
            .iter()
            .zip(&results)
            .filter(|(_, is_whole)| **is_whole);
        let reached: Vec<String> = answered.map(|(source, _)| source.peer.name.clone()).collect();
        let lacking = results.len() - reached.len();
        if self.is_first && lacking <= may_lack {
            self.is_first = false;
            self.host.finish_copying();
            info!(self.log, "ledger copied"; "sources" => results.len(), "away" => lacking);
        }
        reached
    }
}
