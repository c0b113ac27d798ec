//! A ledger host: a table of records in memory and a log on the disk.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use domain::{ContentKey, InstanceKey};
use slog::{Logger, error, info};
use tarpc::context::Context;
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout};

use crate::crash::{CRASH_RETENTION_MS, CrashDetails, CrashReport, CrashTable, LossReport, NoticePage};
use crate::digest::BucketDigests;
use crate::fact::{FactChanges, FactPage, FactReport, KnownFacts, LimitPage};
use crate::limit::{LimitReport, LimitTable};
use crate::log::{DiskLog, LogError};
use crate::notice::NoticeVersion;
use crate::permit::{PermitAnswer, PermitAsk, PermitKey, PermitRequest, PermitTable};
use crate::port::{
    ChangePage, DigestPage, LedgerPort, PortFault, PortResult, RecordReceipt, StreamBuild, wall_clock_ms,
};
use crate::reclaim::run_blocking;
use crate::record::{LARGE_PAYLOAD_BYTES, LedgerRecord, ProgramKey, RecordKey, TurnKey, TurnRecord};
use crate::snapshot::{KindSnapshot, SnapshotPage, SnapshotSet};
use crate::table::{FoundRecord, PrunedTurns, RecordTable};

/// Largest number of keys in one page of changes.
const PAGE_LIMIT_KEYS: usize = 4_096;
/// Size at which a response with records ends; the reader requests the remaining records in another call.
const RESPONSE_LIMIT_BYTES: usize = 1024 * 1024;

/// Largest number of records that are read at once to be written again.
const RETAINED_READ_RECORDS: usize = 1_024;

/// Time after a change of the notices in which further ones go out with it: a server that crashes is reported by many
/// entries.
const NOTICE_DELAY: Duration = Duration::from_millis(10);

/// The same for limits: many servers name theirs at the same time.
const LIMIT_DELAY: Duration = Duration::from_millis(250);

/// Options of a ledger host.
#[derive(Debug, Clone)]
pub struct HostOptions {
    /// Folder of the log and of the snapshots.
    pub folder: PathBuf,
    /// Identifies this start of the host; no earlier start has used the same number.
    pub epoch: u64,
    /// Limit of the payloads of turns that are cached in memory, in bytes; older payloads are read from the
    /// disk.
    pub payload_cache_limit_bytes: usize,
    /// Logger of the host.
    pub log: Logger,
}

/// Sequence number up to which another host has copied the records of this one.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ReaderPosition {
    reader: String,
    sequence: u64,
}

/// A ledger host; clones share its state.
#[derive(Debug, Clone)]
pub struct LedgerHost {
    shared: Arc<HostState>,
}

#[derive(Debug)]
struct HostState {
    table: Mutex<RecordTable>,
    disk: DiskLog,
    epoch: u64,
    /// Whether records that the host missed while it was unavailable may still be missing.
    is_copying: AtomicBool,
    readers: Mutex<Vec<ReaderPosition>>,
    snapshots: Mutex<SnapshotSet>,
    /// Latest time at which the store had nothing newer than the snapshots.
    confirmed: Mutex<Option<Instant>>,
    /// Lets one read of large payloads after the other.
    large_reads: Semaphore,
    permits: Mutex<PermitTable>,
    /// Until when the host hands out permits of workspaces; `None` without an end.
    permit_lease: Mutex<Option<Instant>>,
    crashes: Mutex<CrashTable>,
    limits: Mutex<LimitTable>,
    /// Numbers of changes of the facts that entries follow.
    fact_changes: watch::Sender<FactChanges>,
    started: Instant,
    folder: PathBuf,
    log: Logger,
}

impl LedgerHost {
    /// Opens the log and reads its records into memory. Until [`Self::finish_copying`] is called, the host
    /// returns [`PortFault::Copying`] where a complete response needs the records that it missed.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be opened.
    pub fn open(options: HostOptions, now_ms: u64) -> Result<Self, LogError> {
        let mut table = RecordTable::new(options.payload_cache_limit_bytes);
        let disk = DiskLog::open(&options.folder, |indexed| {
            table.apply_indexed(&indexed, now_ms);
        })?;
        info!(options.log, "ledger opened"; "records" => table.next_sequence(), "epoch" => options.epoch);
        Ok(Self {
            shared: Arc::new(HostState {
                table: Mutex::new(table),
                disk,
                epoch: options.epoch,
                is_copying: AtomicBool::new(true),
                readers: Mutex::default(),
                snapshots: Mutex::new(SnapshotSet::open(&options.folder)),
                confirmed: Mutex::default(),
                large_reads: Semaphore::new(1),
                permits: Mutex::default(),
                permit_lease: Mutex::default(),
                crashes: Mutex::default(),
                limits: Mutex::default(),
                fact_changes: watch::Sender::new(FactChanges::default()),
                started: Instant::now(),
                folder: options.folder,
                log: options.log,
            }),
        })
    }

    /// Marks the host as complete: it has copied the records of the other hosts and may respond with counts.
    pub fn finish_copying(&self) {
        self.shared.is_copying.store(false, Ordering::Release);
    }

    /// Returns whether records that the host missed may still be missing.
    pub fn is_copying(&self) -> bool {
        self.shared.is_copying.load(Ordering::Acquire)
    }

    /// Returns those of the keys whose records this host lacks.
    pub fn missing(&self, keys: &[RecordKey]) -> Vec<RecordKey> {
        let table = self.table();
        keys.iter().filter(|key| !table.contains(key)).copied().collect()
    }

    /// Adds records that were copied from another host and waits until they are synced.
    ///
    /// # Errors
    ///
    /// Fails when the records cannot be written or synced.
    pub async fn write_copied(&self, records: Vec<LedgerRecord>, now_ms: u64) -> Result<(), LogError> {
        if records.is_empty() {
            return Ok(());
        }
        {
            let mut table = self.table();
            for record in &records {
                table.apply(record, now_ms);
            }
        }
        self.shared.disk.write_synced(&records).await
    }

    /// Returns the buckets whose digests differ between this host and another one.
    pub fn differing(&self, digests: &BucketDigests) -> Vec<u16> {
        self.table().digests().differing(digests)
    }

    /// Removes the records whose retention has expired, the backend servers that no entry has asked for and the requests
    /// under which none has crashed lately.
    pub fn prune(&self, now_ms: u64) {
        let pruned = self.table().prune(now_ms);
        if pruned != PrunedTurns::default() {
            info!(self.shared.log, "turns expired"; "removed" => pruned.removed, "continued" => pruned.continued);
        }
        self.permit_table().prune(self.uptime_us());
        let crash_ms = self.crash_clock_ms();
        self.change_crashes(|crashes| crashes.prune(crash_ms));
        self.limits().prune(self.uptime_us() / 1_000);
    }

    /// Sets the locations of the turns that the log has written since the last call and evicts payloads from
    /// memory while they exceed the limit.
    pub fn evict_payloads(&self) {
        let written = self.shared.disk.take_written();
        let mut table = self.table();
        for (turn, place) in written {
            table.set_place(turn, place);
        }
    }

    pub(crate) fn disk(&self) -> &DiskLog {
        &self.shared.disk
    }

    /// Returns those of the keys whose records would be lost with a log file.
    pub(crate) fn retained_in(&self, keys: &[RecordKey], file: u64) -> Vec<RecordKey> {
        let table = self.table();
        let retained = keys.iter().filter(|key| table.is_retained_in(key, file));
        retained.copied().collect()
    }

    /// Reads records until they have `limit_bytes`, and returns the number of the keys that were looked at with those that
    /// are still stored. A record that is damaged on the disk is left out, as the other hosts have it.
    ///
    /// # Errors
    ///
    /// Fails when the disk cannot be read.
    pub(crate) async fn read_retained(
        &self,
        keys: &[RecordKey],
        limit_bytes: usize,
    ) -> Result<(usize, Vec<LedgerRecord>), LogError> {
        let mut found = Vec::new();
        let (mut count, mut bytes) = (0, 0);
        {
            let table = self.table();
            while count < keys.len() && bytes < limit_bytes && found.len() < RETAINED_READ_RECORDS {
                if let Some(record) = table.record(&keys[count]) {
                    bytes += record.size();
                    found.push(record);
                }
                count += 1;
            }
        }
        let disk = self.shared.disk.clone();
        let read = move || {
            let mut records = Vec::with_capacity(found.len());
            for record in found {
                match record {
                    FoundRecord::InMemory(record) => records.push(record),
                    FoundRecord::OnDisk(place) => records.extend(disk.read_undamaged(place)?),
                }
            }
            Ok(records)
        };
        Ok((count, run_blocking(read).await?))
    }

    /// Returns the size of the payloads in memory, in bytes.
    pub fn cached_bytes(&self) -> usize {
        self.table().cached_bytes()
    }

    /// Returns the numbers of programs and of stored turns.
    pub fn sizes(&self) -> (usize, usize) {
        self.table().sizes()
    }

    /// Stores a snapshot in memory for entries that cannot read the object store; returns whether it was
    /// newer than the stored one.
    pub fn publish(&self, snapshot: KindSnapshot) -> bool {
        self.snapshot_set().put(snapshot)
    }

    /// Records that the store had nothing newer than the published snapshots at a time.
    pub fn confirm(&self, at: Instant) {
        let mut confirmed = self
            .shared
            .confirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *confirmed = (*confirmed).max(Some(at));
    }

    /// Returns all stored snapshots.
    pub fn published(&self) -> Vec<KindSnapshot> {
        self.snapshot_set().newer_than(&[])
    }

    /// Writes the stored snapshots to the disk; blocks the calling thread until they are synced.
    ///
    /// # Errors
    ///
    /// Fails when the snapshots cannot be written.
    pub fn save_published(&self) -> Result<(), LogError> {
        let snapshots = self.snapshot_set().clone();
        Ok(snapshots.save(&self.shared.folder)?)
    }

    /// Returns whether each of the named hosts has copied every record of this one.
    pub fn is_copied_by(&self, names: &[String]) -> bool {
        let end = self.table().next_sequence();
        let readers = self.shared.readers.lock().unwrap_or_else(PoisonError::into_inner);
        names.iter().all(|name| {
            readers
                .iter()
                .any(|position| position.reader == *name && position.sequence >= end)
        })
    }

    fn table(&self) -> MutexGuard<'_, RecordTable> {
        self.shared.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn permit_table(&self) -> MutexGuard<'_, PermitTable> {
        self.shared.permits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the host hand out permits of workspaces until `end`. Another host may hand them out in its place afterwards.
    pub fn lease_permits_until(&self, end: Instant) {
        *self.permit_lease() = Some(end);
    }

    fn permit_lease(&self) -> MutexGuard<'_, Option<Instant>> {
        self.shared
            .permit_lease
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn decide_permit(&self, ask: PermitAsk) -> PermitAnswer {
        let lease = *self.permit_lease();
        let is_expired = lease.is_some_and(|end| end <= Instant::now());
        if is_expired && matches!(ask, PermitAsk::Workspace(_)) {
            return PermitAnswer::Unavailable;
        }
        let now_us = self.uptime_us();
        match ask {
            PermitAsk::Server(request) => self.permit_table().decide(request, now_us),
            PermitAsk::Workspace(request) => self.permit_table().decide_quota(request, now_us),
            PermitAsk::Trial(content) => self.crash_table().decide_trial(content, self.crash_clock_ms()),
        }
    }

    fn crash_table(&self) -> MutexGuard<'_, CrashTable> {
        self.shared.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time of the clock of the crashes in milliseconds. It began before the start of the host, so that crashes
    /// before that have a time, too.
    fn crash_clock_ms(&self) -> u64 {
        CRASH_RETENTION_MS + self.uptime_us() / 1_000
    }

    fn limits(&self) -> MutexGuard<'_, LimitTable> {
        self.shared.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn version(&self, changes: u64) -> NoticeVersion {
        let epoch = self.shared.epoch;
        NoticeVersion { epoch, changes }
    }

    /// Waits until an entry does not know some facts, and shortly for further changes. Returns `None` when nothing
    /// changes within `wait_ms`.
    async fn wait_for_change(&self, known: KnownFacts, wait_ms: u64) -> Option<()> {
        let has_suspects = |changes: &FactChanges| known.suspects != Some(self.version(changes.suspects));
        let has_limits = |changes: &FactChanges| known.limits != Some(self.version(changes.limits));
        let mut changes = self.shared.fact_changes.subscribe();
        let now = *changes.borrow_and_update();
        if has_suspects(&now) || has_limits(&now) {
            return Some(());
        }
        let waiting = changes.wait_for(|changes| has_suspects(changes) || has_limits(changes));
        let waiting = timeout(Duration::from_millis(wait_ms), waiting).await;
        let changed = *waiting.ok()?.ok()?;
        let only_limits = !has_suspects(&changed);
        if only_limits {
            // A suspect is not delayed by limits: the wait ends early with one.
            drop(timeout(LIMIT_DELAY, changes.wait_for(has_suspects)).await);
        } else {
            sleep(NOTICE_DELAY).await;
        }
        Some(())
    }

    /// Wakes the entries that wait for a change of the facts.
    fn wake_followers(&self, set: impl FnOnce(&mut FactChanges)) {
        self.shared.fact_changes.send_if_modified(|changes| {
            let before = *changes;
            set(changes);
            before != *changes
        });
    }

    fn limit_page(&self) -> LimitPage {
        let limits = self.limits();
        LimitPage {
            version: self.version(limits.changes()),
            reports: limits.reports(self.uptime_us() / 1_000),
        }
    }

    fn record_limits(&self, reports: &[LimitReport]) {
        let now_ms = self.uptime_us() / 1_000;
        // Followers are woken under the lock, so that none sees facts that are newer than their number of changes.
        let mut limits = self.limits();
        limits.record(reports, now_ms);
        let changes = limits.changes();
        self.wake_followers(|known| known.limits = changes);
    }

    /// Changes what is known of crashes, and wakes the entries that wait for a change of the notices.
    fn change_crashes(&self, change: impl FnOnce(&mut CrashTable)) {
        let mut crashes = self.crash_table();
        change(&mut crashes);
        let changes = crashes.changes();
        self.wake_followers(|known| known.suspects = changes);
    }

    /// Records crashes of which entries have reported the time.
    fn record_crashes(&self, reports: &[LossReport]) {
        let now_ms = self.crash_clock_ms();
        self.change_crashes(|crashes| crashes.record(reports, now_ms));
    }

    fn notice_page(&self) -> NoticePage {
        let crashes = self.crash_table();
        NoticePage {
            version: self.version(crashes.changes()),
            notices: crashes.notices().to_vec(),
        }
    }

    /// Returns the time since the start of the host in microseconds.
    fn uptime_us(&self) -> u64 {
        u64::try_from(self.shared.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn snapshot_set(&self) -> MutexGuard<'_, SnapshotSet> {
        self.shared
            .snapshots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn apply_all(&self, records: &[LedgerRecord]) -> Vec<RecordReceipt> {
        let now_ms = wall_clock_ms();
        let mut table = self.table();
        let receipts = records.iter().map(|record| {
            table.apply_written(record, now_ms);
            RecordReceipt {
                committed: table.committed(record.program()),
                open_turns: table.open_turns(now_ms),
            }
        });
        receipts.collect()
    }

    fn set_reader_position(&self, reader: String, sequence: u64) {
        let mut readers = self.shared.readers.lock().unwrap_or_else(PoisonError::into_inner);
        match readers.iter_mut().find(|position| position.reader == reader) {
            Some(position) => position.sequence = sequence,
            None => readers.push(ReaderPosition { reader, sequence }),
        }
    }

    /// Returns the complete records; reads those from the disk that are not in memory.
    async fn read_records(&self, found: Vec<FoundRecord>) -> PortResult<Vec<LedgerRecord>> {
        let is_stored = |record: &FoundRecord| matches!(record, FoundRecord::OnDisk(_));
        let disk = self.shared.disk.clone();
        let read = move |record| match record {
            FoundRecord::InMemory(record) => Ok(record),
            FoundRecord::OnDisk(place) => disk.read(place),
        };
        if !found.iter().any(is_stored) {
            let records: Result<_, LogError> = found.into_iter().map(read).collect();
            return records.map_err(|failure| self.disk_fault(&failure));
        }
        let reading = tokio::task::spawn_blocking(move || found.into_iter().map(read).collect());
        let records: Result<Vec<LedgerRecord>, LogError> = reading.await.unwrap_or(Err(LogError::Closed));
        records.map_err(|failure| self.disk_fault(&failure))
    }

    fn disk_fault(&self, failure: &LogError) -> PortFault {
        error!(self.shared.log, "ledger log could not be read or written"; "error" => %failure);
        PortFault::Disk(failure.to_string())
    }
}

impl LedgerPort for LedgerHost {
    async fn write(
        self,
        _: Context,
        records: Vec<LedgerRecord>,
        synced: bool,
    ) -> PortResult<Vec<RecordReceipt>> {
        let receipts = self.apply_all(&records);
        let written = if synced {
            self.shared.disk.write_synced(&records).await
        } else {
            self.shared.disk.write(&records)
        };
        if let Err(failure) = written {
            return Err(self.disk_fault(&failure));
        }
        // The records are in the log, but the counts would not include records that the host has not copied
        // yet.
        if !synced && self.is_copying() {
            return Err(PortFault::Copying);
        }
        Ok(receipts)
    }

    async fn chain(self, _: Context, turn: TurnKey) -> PortResult<Vec<TurnRecord>> {
        let found = self.table().chain_part(turn, LARGE_PAYLOAD_BYTES);
        if found.is_empty() && self.is_copying() {
            return Err(PortFault::Copying);
        }
        let payload_bytes: usize = found.iter().map(FoundRecord::size).sum();
        let _turn = if payload_bytes > LARGE_PAYLOAD_BYTES {
            self.shared.large_reads.acquire().await.ok()
        } else {
            None
        };
        let records = self.read_records(found).await?;
        let turns = records.into_iter().filter_map(|record| match record {
            LedgerRecord::Turn(turn) => Some(turn),
            LedgerRecord::Reserved { .. }
            | LedgerRecord::Settled { .. }
            | LedgerRecord::Begun { .. }
            | LedgerRecord::Moved { .. } => None,
        });
        Ok(turns.collect())
    }

    async fn digests(self, _: Context) -> PortResult<DigestPage> {
        let table = self.table();
        Ok(DigestPage {
            epoch: self.shared.epoch,
            next: table.next_sequence(),
            digests: table.digests().clone(),
        })
    }

    async fn keys_in(self, _: Context, buckets: Vec<u16>) -> PortResult<Vec<RecordKey>> {
        Ok(self.table().keys_in(&buckets))
    }

    async fn changes(self, _: Context, reader: String, epoch: u64, since: u64) -> PortResult<ChangePage> {
        if epoch != self.shared.epoch {
            return Err(PortFault::Restarted);
        }
        self.set_reader_position(reader, since);
        let table = self.table();
        let (keys, next) = table.arrivals_since(since, PAGE_LIMIT_KEYS);
        Ok(ChangePage {
            keys,
            next,
            end: table.next_sequence(),
        })
    }

    async fn snapshots(self, _: Context, known: Vec<(String, u64)>) -> PortResult<Vec<KindSnapshot>> {
        Ok(self.snapshot_set().newer_than(&known))
    }

    async fn stream_build(
        self,
        _: Context,
        program: ProgramKey,
        turn: TurnKey,
    ) -> PortResult<Option<StreamBuild>> {
        let found = self.table().stream_build(program, turn);
        // A record that says that the stream moved may still be missing.
        if !found.is_some_and(|found| found.is_moved) && self.is_copying() {
            return Err(PortFault::Copying);
        }
        Ok(found)
    }

    async fn permit(self, _: Context, request: PermitRequest) -> PermitAnswer {
        self.decide_permit(PermitAsk::Server(request))
    }

    async fn permits(self, _: Context, asks: Vec<PermitAsk>) -> Vec<PermitAnswer> {
        asks.into_iter().map(|ask| self.decide_permit(ask)).collect()
    }

    async fn give_back(self, _: Context, key: PermitKey) {
        self.permit_table().give_back(key);
    }

    async fn lift_limit(self, _: Context, instance: InstanceKey, heard_ms_ago: u64) {
        let now_us = self.uptime_us();
        self.permit_table().lift(instance, heard_ms_ago, now_us);
    }

    async fn report_crashes(self, _: Context, reports: Vec<CrashReport>) {
        let reports: Vec<LossReport> = reports.into_iter().map(LossReport::just_now).collect();
        self.record_crashes(&reports);
    }

    async fn acquit(self, _: Context, contents: Vec<ContentKey>) {
        self.change_crashes(|crashes| crashes.acquit(&contents));
    }

    async fn crash_notices(
        self,
        _: Context,
        known: Option<NoticeVersion>,
        wait_ms: u64,
    ) -> Option<NoticePage> {
        let limits = Some(self.limit_page().version);
        let known = KnownFacts {
            suspects: known,
            limits,
        };
        self.wait_for_change(known, wait_ms).await?;
        Some(self.notice_page())
    }

    async fn report_limits(self, _: Context, reports: Vec<LimitReport>) {
        self.record_limits(&reports);
    }

    async fn limit_reports(
        self,
        _: Context,
        known: Option<NoticeVersion>,
        wait_ms: u64,
    ) -> Option<(NoticeVersion, Vec<LimitReport>)> {
        let suspects = Some(self.notice_page().version);
        let known = KnownFacts {
            suspects,
            limits: known,
        };
        self.wait_for_change(known, wait_ms).await?;
        let LimitPage { version, reports } = self.limit_page();
        Some((version, reports))
    }

    async fn report_facts(self, _: Context, reports: Vec<FactReport>) {
        let (mut crashes, mut acquitted, mut limits) = (Vec::new(), Vec::new(), Vec::new());
        for report in reports {
            match report {
                FactReport::Crash(report) => crashes.push(LossReport::just_now(report)),
                FactReport::Loss(report) => crashes.push(report),
                FactReport::Acquittal(content) => acquitted.push(content),
                FactReport::Limit(report) => limits.push(report),
            }
        }
        if !crashes.is_empty() || !acquitted.is_empty() {
            let now_ms = self.crash_clock_ms();
            self.change_crashes(|table| {
                table.record(&crashes, now_ms);
                table.acquit(&acquitted);
            });
        }
        if !limits.is_empty() {
            self.record_limits(&limits);
        }
    }

    async fn facts(self, _: Context, known: KnownFacts, wait_ms: u64) -> Option<FactPage> {
        self.wait_for_change(known, wait_ms).await?;
        let suspects = Some(self.notice_page()).filter(|page| known.suspects != Some(page.version));
        let limits = Some(self.limit_page()).filter(|page| known.limits != Some(page.version));
        Some(FactPage { suspects, limits })
    }

    async fn crash_details(self, _: Context) -> CrashDetails {
        self.crash_table().details(self.crash_clock_ms())
    }

    async fn records(self, _: Context, keys: Vec<RecordKey>) -> PortResult<Vec<LedgerRecord>> {
        let mut found = Vec::new();
        let mut bytes = 0;
        {
            let table = self.table();
            for record in keys.iter().filter_map(|key| table.record(key)) {
                bytes += record.size();
                found.push(record);
                if bytes >= RESPONSE_LIMIT_BYTES {
                    break;
                }
            }
        }
        self.read_records(found).await
    }

    async fn has_foreign_turn(self, _: Context, turn: TurnKey) -> PortResult<bool> {
        Ok(self.table().has_foreign_turn(turn))
    }

    async fn snapshot_page(self, _: Context, known: Vec<(String, u64)>) -> PortResult<SnapshotPage> {
        // Read before the snapshots: newer ones may be published in between.
        let confirmed = *self
            .shared
            .confirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let confirmed_ms_ago =
            confirmed.map(|at| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX));
        Ok(SnapshotPage {
            snapshots: self.snapshot_set().newer_than(&known),
            confirmed_ms_ago,
        })
    }
}
