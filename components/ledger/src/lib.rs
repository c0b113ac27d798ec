//! Ledger of programs: stores their turns and the tokens that they reserved and spent.
//!
//! Records are immutable and may be applied in any order, any number of times. Each record is written to
//! several ledger hosts, which have a disk; a host that missed records copies them from the other hosts. No
//! host makes decisions for the others, so no leader is elected.

mod arrivals;
mod client;
mod crash;
mod digest;
mod fact;
mod fact_client;
mod gate;
mod host;
mod index;
mod limit;
mod link;
mod log;
mod notice;
mod permit;
mod permit_client;
mod port;
mod quota;
mod quota_client;
mod reclaim;
mod record;
mod relay;
mod repair;
mod snapshot;
mod table;

pub use client::{
    LedgerClient, LedgerError, LedgerHosts, ReserveOutcome, TokenBudget, TurnClaim, polled_host,
};
pub use crash::{
    CRASH_RETENTION_MS, ContentScope, CrashDetails, CrashReport, CrashTable, LossReport, NoticePage,
    SuspectNotice,
};
pub use digest::BucketDigests;
pub use fact::{FactChange, FactPage, FactReport, KnownFacts, LimitPage};
pub use gate::MessageGate;
pub use host::{HostOptions, LedgerHost};
pub use index::{IndexedRecord, RecordPlace};
pub use limit::{LimitReport, LimitTable};
pub use log::{DiskLog, LogError};
pub use notice::NoticeVersion;
pub use permit::{PermitAnswer, PermitAsk, PermitKey, PermitRequest, PermitTable};
pub use port::{
    ChangePage, DigestPage, LedgerPort, LedgerPortClient, PortFault, PortResult, RecordReceipt, StreamBuild,
    connect_host, serve_gated_port, serve_port, wall_clock_ms,
};
pub use quota::{PERMIT_VALIDITY_MS, PermitTerms, QuotaBounds, QuotaClass, QuotaRequest, QuotaShares};
pub use quota_client::{HeldPermit, PermitMark, QuotaAnswer, QuotaDemand};
pub use reclaim::ReclaimLoop;
pub use record::{LARGE_PAYLOAD_BYTES, LedgerRecord, ProgramKey, RecordKey, RecordKind, TurnKey, TurnRecord};
pub use relay::serve_relay;
pub use repair::CopyLoop;
pub use snapshot::{KindSnapshot, SnapshotPage};
pub use table::{FoundRecord, PrunedTurns, RecordTable};
