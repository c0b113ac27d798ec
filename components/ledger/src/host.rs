//! A ledger host: a table in memory over a log on the disk.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slog::{Logger, error, info};
use tarpc::context::Context;

use crate::digest::BucketDigests;
use crate::log::{DiskLog, LogError};
use crate::port::{ChangePage, DigestPage, LedgerPort, PortFault, PortResult, RecordReceipt, wall_clock_ms};
use crate::record::{LedgerRecord, RecordKey, TurnKey, TurnRecord};
use crate::snapshot::{KindSnapshot, SnapshotShelf};
use crate::table::{FoundRecord, RecordTable};

/// Keys in one page of changes.
const PAGE_KEYS: usize = 4_096;
/// Bytes after which an answer with records ends; the reader asks again for the rest.
const ANSWER_BYTES: usize = 1024 * 1024;

/// What a ledger host needs to start.
#[derive(Debug, Clone)]
pub struct HostOptions {
    /// Folder of the log.
    pub folder: PathBuf,
    /// Number that no earlier start of this host had.
    pub epoch: u64,
    /// Bytes of texts that are kept in memory; older ones are read from the disk.
    pub payload_cache_limit_bytes: usize,
    /// Log for events.
    pub log: Logger,
}

/// Position up to which another host has copied.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ReaderPosition {
    reader: String,
    number: u64,
}

/// A ledger host; clones share it.
#[derive(Debug, Clone)]
pub struct LedgerHost {
    shared: Arc<HostState>,
}

#[derive(Debug)]
struct HostState {
    table: Mutex<RecordTable>,
    disk: DiskLog,
    epoch: u64,
    /// Whether records that the host missed may still be missing.
    copying: AtomicBool,
    readers: Mutex<Vec<ReaderPosition>>,
    shelf: Mutex<SnapshotShelf>,
    folder: PathBuf,
    log: Logger,
}

impl LedgerHost {
    /// Opens the log and reads it into memory. The host answers no reads until [`Self::finish_copying`].
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
                copying: AtomicBool::new(true),
                readers: Mutex::default(),
                shelf: Mutex::new(SnapshotShelf::open(&options.folder)),
                folder: options.folder,
                log: options.log,
            }),
        })
    }

    /// Lets the host answer: it has copied what the others hold.
    pub fn finish_copying(&self) {
        self.shared.copying.store(false, Ordering::Release);
    }

    /// Returns whether records may still be missing.
    pub fn is_copying(&self) -> bool {
        self.shared.copying.load(Ordering::Acquire)
    }

    /// Returns the keys among `keys` that are not known here.
    pub fn missing(&self, keys: &[RecordKey]) -> Vec<RecordKey> {
        let table = self.table();
        keys.iter().filter(|key| !table.contains(key)).copied().collect()
    }

    /// Adds records copied from another host.
    ///
    /// # Errors
    ///
    /// Fails when the disk refuses.
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

    /// Returns the buckets in which another host's digests differ from the own ones.
    pub fn differing(&self, digests: &BucketDigests) -> Vec<u16> {
        self.table().digests().differing(digests)
    }

    /// Forgets what has outlived its retention.
    pub fn prune(&self, now_ms: u64) {
        self.table().prune(now_ms);
    }

    /// Lets texts go from memory that have been written since the last call.
    pub fn evict_payloads(&self) {
        let written = self.shared.disk.take_written();
        let mut table = self.table();
        for (turn, place) in written {
            table.set_place(turn, place);
        }
    }

    /// Returns the bytes of the texts in memory.
    pub fn cached_bytes(&self) -> usize {
        self.table().cached_bytes()
    }

    /// Returns the numbers of programs and of kept turns.
    pub fn sizes(&self) -> (usize, usize) {
        self.table().sizes()
    }

    /// Keeps a snapshot for entries that cannot read the store; returns whether it was newer than the kept one.
    pub fn publish(&self, snapshot: KindSnapshot) -> bool {
        self.shelf().put(snapshot)
    }

    /// Returns every kept snapshot.
    pub fn published(&self) -> Vec<KindSnapshot> {
        self.shelf().newer_than(&[])
    }

    /// Writes the kept snapshots to the disk; blocks until they are there.
    ///
    /// # Errors
    ///
    /// Fails when the disk refuses.
    pub fn save_published(&self) -> Result<(), LogError> {
        let shelf = self.shelf().clone();
        Ok(shelf.save(&self.shared.folder)?)
    }

    /// Returns whether each of the named hosts has copied every record of this one.
    pub fn is_copied_by(&self, names: &[String]) -> bool {
        let end = self.table().next_sequence();
        let readers = self.shared.readers.lock().unwrap_or_else(PoisonError::into_inner);
        names.iter().all(|name| {
            readers
                .iter()
                .any(|position| position.reader == *name && position.number >= end)
        })
    }

    fn table(&self) -> MutexGuard<'_, RecordTable> {
        self.shared.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn shelf(&self) -> MutexGuard<'_, SnapshotShelf> {
        self.shared.shelf.lock().unwrap_or_else(PoisonError::into_inner)
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

    fn note_reader(&self, reader: String, number: u64) {
        let mut readers = self.shared.readers.lock().unwrap_or_else(PoisonError::into_inner);
        match readers.iter_mut().find(|position| position.reader == reader) {
            Some(position) => position.number = number,
            None => readers.push(ReaderPosition { reader, number }),
        }
    }

    /// Returns records as a whole: those whose texts are on the disk only are read from there.
    async fn load(&self, found: Vec<FoundRecord>) -> PortResult<Vec<LedgerRecord>> {
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
        error!(self.shared.log, "disk of the ledger failed"; "error" => %failure);
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
        // The records are safe here, but the counts would lack what the host missed.
        if !synced && self.is_copying() {
            return Err(PortFault::Copying);
        }
        Ok(receipts)
    }

    async fn chain(self, _: Context, turn: TurnKey) -> PortResult<Vec<TurnRecord>> {
        let found = self.table().chain(turn);
        if found.is_empty() && self.is_copying() {
            return Err(PortFault::Copying);
        }
        let records = self.load(found).await?;
        let turns = records.into_iter().filter_map(|record| match record {
            LedgerRecord::Turn(turn) => Some(turn),
            LedgerRecord::Reserved { .. } | LedgerRecord::Settled { .. } => None,
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
        self.note_reader(reader, since);
        let table = self.table();
        let (keys, next) = table.arrivals_since(since, PAGE_KEYS);
        Ok(ChangePage {
            keys,
            next,
            end: table.next_sequence(),
        })
    }

    async fn snapshots(self, _: Context, known: Vec<(String, u64)>) -> PortResult<Vec<KindSnapshot>> {
        Ok(self.shelf().newer_than(&known))
    }

    async fn records(self, _: Context, keys: Vec<RecordKey>) -> PortResult<Vec<LedgerRecord>> {
        let mut found = Vec::new();
        let mut bytes = 0;
        {
            let table = self.table();
            for record in keys.iter().filter_map(|key| table.record(key)) {
                bytes += record.size();
                found.push(record);
                if bytes >= ANSWER_BYTES {
                    break;
                }
            }
        }
        self.load(found).await
    }
}
