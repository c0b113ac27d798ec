//! The RPC port that entries and other ledger hosts call on a ledger host.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use domain::{BuildKey, ContentKey, InstanceKey};
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use serde::{Deserialize, Serialize};
use tarpc::context::{self, Context};
use tarpc::server::{BaseChannel, Channel as _};
use tarpc::tokio_serde::formats::Bincode;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::crash::{CrashDetails, CrashReport, NoticePage};
use crate::digest::BucketDigests;
use crate::fact::{FactPage, FactReport, KnownFacts};
use crate::gate::{GatedStream, MessageGate};
use crate::limit::LimitReport;
use crate::notice::NoticeVersion;
use crate::permit::{PermitAnswer, PermitAsk, PermitKey, PermitRequest};
use crate::record::{LedgerRecord, ProgramKey, RecordKey, TurnKey, TurnRecord};
use crate::snapshot::{KindSnapshot, SnapshotPage};

/// Largest size of a message: a chain of turns at the limits for callers.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Interval at which an unanswered connection request is repeated. The kernel repeats it only after a second,
/// although a host that has just regained power could answer at once.
const CONNECT_REPEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Reason why a host did not complete a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum PortFault {
    /// The host has not yet copied the records that it missed while it was unavailable.
    #[error("ledger host is still copying records from other hosts")]
    Copying,
    /// The host has restarted, so that the sequence numbers of its earlier start are invalid.
    #[error("ledger host has restarted and its earlier sequence numbers are invalid")]
    Restarted,
    /// The host could not read or write its log.
    #[error("ledger host failed: {0}")]
    Disk(String),
}

/// Result of a call to a ledger host.
pub type PortResult<T> = Result<T, PortFault>;

/// Response of a host to one written record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordReceipt {
    /// Tokens that the record's program has spent or reserved, including this record.
    pub committed: u64,
    /// Turns that are open after this record, among those whose reservations entries wrote to this host.
    pub open_turns: u64,
}

/// Software that produces the events of a turn's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamBuild {
    /// The software.
    pub build: BuildKey,
    /// Whether it has replaced the one that was chosen first.
    pub is_moved: bool,
}

/// Keys of records in the order of their arrival at a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangePage {
    /// Keys of the page; empty when there are no newer records.
    pub keys: Vec<RecordKey>,
    /// Sequence number at which the next page starts.
    pub next: u64,
    /// Sequence number that the next new record of the host will get.
    pub end: u64,
}

/// Digests of all records of a host at one point in time, for comparison with another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DigestPage {
    /// Identifies the start of the host; sequence numbers are valid for this start only.
    pub epoch: u64,
    /// Sequence number that the next new record of the host will get.
    pub next: u64,
    /// Digests of the records before `next`.
    pub digests: BucketDigests,
}

/// Calls that a ledger host serves.
#[tarpc::service]
pub trait LedgerPort {
    /// Writes records. With `synced` the host responds once they are synced and survive a power loss.
    async fn write(records: Vec<LedgerRecord>, synced: bool) -> PortResult<Vec<RecordReceipt>>;

    /// Returns a turn and its predecessors, the newest first, up to the first one that the host lacks or to
    /// that with which the response becomes large.
    async fn chain(turn: TurnKey) -> PortResult<Vec<TurnRecord>>;

    /// Returns the digests of all records.
    async fn digests() -> PortResult<DigestPage>;

    /// Returns the keys of the records in some buckets.
    async fn keys_in(buckets: Vec<u16>) -> PortResult<Vec<RecordKey>>;

    /// Returns keys from the sequence number `since`. `reader` names the host that copies; `epoch` is the
    /// start of the called host to which `since` belongs.
    async fn changes(reader: String, epoch: u64, since: u64) -> PortResult<ChangePage>;

    /// Returns the snapshots that are newer than the reader's revisions of their kinds.
    async fn snapshots(known: Vec<(String, u64)>) -> PortResult<Vec<KindSnapshot>>;

    /// Returns the records with these keys that the host still holds, up to a limit of the response's size.
    async fn records(keys: Vec<RecordKey>) -> PortResult<Vec<LedgerRecord>>;

    /// Returns the software that produces the events of a turn's stream; `None` if the host has no record of it.
    async fn stream_build(program: ProgramKey, turn: TurnKey) -> PortResult<Option<StreamBuild>>;

    /// Decides on the permit to send one request to a backend server that limits them; entries of earlier versions
    /// call it.
    async fn permit(request: PermitRequest) -> PermitAnswer;

    /// Reports that a backend server has lifted its limit some milliseconds ago.
    async fn lift_limit(instance: InstanceKey, heard_ms_ago: u64);

    // Entries of earlier versions make the calls about crashes and limits that follow, up to `limit_reports`.

    /// Reports backend servers that have crashed under requests.
    async fn report_crashes(reports: Vec<CrashReport>);

    /// Reports requests that backend servers have run to their end, although others have crashed under them.
    async fn acquit(contents: Vec<ContentKey>);

    /// Returns the requests under which backend servers have crashed once they differ from the known ones; `None` if
    /// they do not within `wait_ms`.
    async fn crash_notices(known: Option<NoticeVersion>, wait_ms: u64) -> Option<NoticePage>;

    /// Reports limits that backend servers have named or lifted.
    async fn report_limits(reports: Vec<LimitReport>);

    /// Returns the limits of backend servers once some were named first or lifted since the known state; `None` if none
    /// were within `wait_ms`.
    async fn limit_reports(
        known: Option<NoticeVersion>,
        wait_ms: u64,
    ) -> Option<(NoticeVersion, Vec<LimitReport>)>;

    /// Returns whether the host stores a turn with the same id that belongs to another workspace.
    async fn has_foreign_turn(turn: TurnKey) -> PortResult<bool>;

    /// Decides on requests for permits, in their order.
    async fn permits(asks: Vec<PermitAsk>) -> Vec<PermitAnswer>;

    /// Takes back the permit of a request that was not sent.
    async fn give_back(key: PermitKey);

    /// Returns the snapshots that are newer than the reader's revisions of their kinds, and the age of what the host knows.
    async fn snapshot_page(known: Vec<(String, u64)>) -> PortResult<SnapshotPage>;

    /// Reports facts for the other entries.
    async fn report_facts(reports: Vec<FactReport>);

    /// Returns the facts once some differ from the known ones; `None` if none do within `wait_ms`.
    async fn facts(known: KnownFacts, wait_ms: u64) -> Option<FactPage>;

    /// Returns which requests are on trial, and when the servers crashed that the notices name.
    async fn crash_details() -> CrashDetails;
}

fn framed<Connection: AsyncRead + AsyncWrite>(
    stream: Connection,
    max_bytes: usize,
) -> Framed<Connection, LengthDelimitedCodec> {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(max_bytes);
    Framed::new(stream, codec)
}

/// Starts a client on an open connection.
pub fn connect_host(stream: TcpStream) -> LedgerPortClient {
    let transport = tarpc::serde_transport::new(framed(stream, MAX_FRAME_BYTES), Bincode::default());
    LedgerPortClient::new(tarpc::client::Config::default(), transport).spawn()
}

/// Opens a direct connection to a host, without a relay. Does not return while the host neither accepts nor refuses
/// connections.
pub(crate) async fn open_stream(address: SocketAddr) -> io::Result<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    let stream = loop {
        attempts.push(TcpStream::connect(address));
        if let Ok(Some(connected)) = timeout(CONNECT_REPEAT_INTERVAL, attempts.next()).await {
            break connected?;
        }
    };
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Returns the context of a call that must complete within `timeout`.
pub(crate) fn context_with_timeout(timeout: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

/// Returns the wall-clock time in Unix milliseconds.
pub fn wall_clock_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Serves the calls of one accepted connection until it is closed, without a limit on what arrives on several.
pub async fn serve_port<Port>(stream: TcpStream, port: Port)
where
    Port: LedgerPort + Clone + Send + 'static,
{
    serve_framed(framed(stream, MAX_FRAME_BYTES), port).await;
}

/// Serves the calls of one accepted connection until it is closed. Large messages wait until there is room for them; the
/// connection is closed when one is larger than the host accepts or does not arrive in time.
pub async fn serve_gated_port<Port>(stream: TcpStream, port: Port, gate: MessageGate)
where
    Port: LedgerPort + Clone + Send + 'static,
{
    let max_bytes = gate.limit_bytes();
    serve_framed(framed(GatedStream::new(stream, gate), max_bytes), port).await;
}

async fn serve_framed<Connection, Port>(framed: Framed<Connection, LengthDelimitedCodec>, port: Port)
where
    Connection: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    Port: LedgerPort + Clone + Send + 'static,
{
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let channel = BaseChannel::with_defaults(transport);
    channel
        .execute(port.serve())
        .for_each_concurrent(None, |call| call)
        .await;
}

/// Name and address of a ledger host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct HostAddress {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}
