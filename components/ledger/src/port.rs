//! The port between entries and ledger hosts, and among ledger hosts.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures::StreamExt as _;
use serde::{Deserialize, Serialize};
use tarpc::context::{self, Context};
use tarpc::server::{BaseChannel, Channel as _};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::digest::BucketDigests;
use crate::record::{LedgerRecord, RecordKey, TurnKey, TurnRecord};
use crate::snapshot::KindSnapshot;

/// Largest message in bytes: a chain of turns at the callers' limits.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Why a host did not do what it was asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum PortFault {
    /// The host has not yet copied what it missed while it was away.
    #[error("the ledger host is still copying records")]
    Copying,
    /// The host has started again, so that its numbers mean something else.
    #[error("the ledger host has started again")]
    Restarted,
    /// The disk refused.
    #[error("the disk of the ledger host failed: {0}")]
    Disk(String),
}

/// Result of a call at the port.
pub type PortResult<T> = Result<T, PortFault>;

/// What a host answers to one record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordReceipt {
    /// Tokens committed for the record's program after it.
    pub committed: u64,
    /// Turns under way after it, among those whose reservations reached this host.
    pub open_turns: u64,
}

/// Keys of records in the order of their arrival at a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangePage {
    /// Keys.
    pub keys: Vec<RecordKey>,
    /// Number from which the next page goes on.
    pub next: u64,
    /// Number after the newest record of the host.
    pub end: u64,
}

/// What a host holds at a moment, for comparison with another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DigestPage {
    /// Start of the host; numbers of another start mean nothing.
    pub epoch: u64,
    /// Number that the next new record of the host will have.
    pub next: u64,
    /// Digests of the records before it.
    pub digests: BucketDigests,
}

/// Calls of a ledger host.
#[tarpc::service]
pub trait LedgerPort {
    /// Writes records. With `synced` the answer comes once they survive a power loss.
    async fn write(records: Vec<LedgerRecord>, synced: bool) -> PortResult<Vec<RecordReceipt>>;

    /// Returns a turn and those before it, the newest first, as far as the host knows them.
    async fn chain(turn: TurnKey) -> PortResult<Vec<TurnRecord>>;

    /// Returns the digests of all records.
    async fn digests() -> PortResult<DigestPage>;

    /// Returns the keys of the records in some buckets.
    async fn keys_in(buckets: Vec<u16>) -> PortResult<Vec<RecordKey>>;

    /// Returns keys that arrived at or after `since`; `reader` names the host that copies.
    async fn changes(reader: String, epoch: u64, since: u64) -> PortResult<ChangePage>;

    /// Returns the snapshots that are newer than the reader's revisions of their kinds.
    async fn snapshots(known: Vec<(String, u64)>) -> PortResult<Vec<KindSnapshot>>;

    /// Returns the records with the keys, as far as the host still holds them.
    async fn records(keys: Vec<RecordKey>) -> PortResult<Vec<LedgerRecord>>;
}

fn frames(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    Framed::new(stream, codec)
}

/// Starts a client on an open connection.
pub fn connect_host(stream: TcpStream) -> LedgerPortClient {
    let transport = tarpc::serde_transport::new(frames(stream), Bincode::default());
    LedgerPortClient::new(tarpc::client::Config::default(), transport).spawn()
}

/// Opens a connection without a relay.
pub(crate) async fn open_stream(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Returns the context of a call that may take so long.
pub(crate) fn call_within(patience: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + patience;
    context
}

/// Returns the time of day in Unix milliseconds.
pub fn wall_clock_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Serves the calls of one accepted connection until it ends.
pub async fn serve_port<Port>(stream: TcpStream, port: Port)
where
    Port: LedgerPort + Clone + Send + 'static,
{
    let transport = tarpc::serde_transport::new(frames(stream), Bincode::default());
    let channel = BaseChannel::with_defaults(transport);
    channel
        .execute(port.serve())
        .for_each_concurrent(None, |call| call)
        .await;
}

/// Address of a ledger host under its name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct HostAddress {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}
