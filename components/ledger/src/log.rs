//! The log files of a host: frames of length, checksum and encoded record, synced in groups.

use std::fs::{File, OpenOptions};
use std::io::{self, Write as _};
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::index::{IndexedRecord, RecordPlace, read_index, remove_index, write_index};
use crate::record::{LedgerRecord, RecordKey, TurnKey};

/// Size of a frame's header: length and checksum.
const FRAME_HEADER_BYTES: usize = 8;
/// Size of an encoded record beside its payload, with the frame's header; most have less.
const RECORD_OVERHEAD_BYTES: usize = 96;
/// Largest accepted size of an encoded record. The limits on callers' requests keep records far smaller.
const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;
/// Size at which the writer starts a new file. After a kill the last file has no index, so that the next
/// start reads all of it.
const FILE_LIMIT_BYTES: u64 = 4 * 1024 * 1024;
/// Time for which a file is retained beyond the longest retention of its records. Most of them have expired by then; the
/// others are written to a later file before it is removed.
const FILE_RETENTION_SLACK: Duration = Duration::from_mins(5);
/// Longest delay before records without a waiting caller are written.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for which written records remain unsynced.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);

/// Error of the log.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// A log or index file could not be read or written.
    #[error("the disk of the ledger failed: {0}")]
    Disk(#[from] io::Error),
    /// The writer thread has stopped after an earlier failure.
    #[error("the writer of the ledger has ended")]
    Closed,
}

/// Receives the result once records are synced.
type SyncWaiter = oneshot::Sender<Result<(), LogError>>;

/// Records to write, and the callers to notify once the records are synced.
#[derive(Debug, Default)]
struct PendingWrites {
    frames: Vec<u8>,
    /// Index entries of the records in `frames`, with offsets from the start of `frames`.
    entries: Vec<IndexedRecord>,
    /// Longest retention of the records in `frames`, in milliseconds.
    retention_ms: u64,
    waiters: Vec<SyncWaiter>,
    is_closed: bool,
}

/// State shared by the handles and the writer thread.
#[derive(Debug, Default)]
struct WriteQueue {
    pending: Mutex<PendingWrites>,
    wake: Condvar,
    /// Locations of the turns written since the last [`DiskLog::take_written`].
    written: Mutex<Vec<(TurnKey, RecordPlace)>>,
    /// Files that receive no more records, the oldest first.
    closed: Mutex<Vec<ClosedFile>>,
}

impl WriteQueue {
    fn lock(&self) -> MutexGuard<'_, PendingWrites> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn closed_files(&self) -> MutexGuard<'_, Vec<ClosedFile>> {
        self.closed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self) {
        self.lock().is_closed = true;
        self.wake.notify_one();
    }
}

/// Closes the queue when the last handle is dropped or the writer thread ends.
#[derive(Debug)]
struct QueueGuard(Arc<WriteQueue>);

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Handle of a log. A separate thread writes and syncs, so that a slow disk does not block callers that only
/// read.
#[derive(Debug, Clone)]
pub struct DiskLog {
    queue: Arc<QueueGuard>,
    folder: Arc<Path>,
}

impl DiskLog {
    /// Opens the log in a folder and passes its records to `visit` in the order in which they were written.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be created, read or written.
    pub fn open(folder: &Path, mut visit: impl FnMut(IndexedRecord)) -> Result<Self, LogError> {
        std::fs::create_dir_all(folder)?;
        let mut numbers = list_file_numbers(folder)?;
        numbers.sort_unstable();
        let mut closed = Vec::with_capacity(numbers.len());
        for &number in &numbers {
            let mut retention_ms = 0;
            for entry in read_entries(folder, number)? {
                retention_ms = retention_ms.max(entry.record.retention_ms());
                visit(entry);
            }
            closed.push(ClosedFile::closed_now(number, retention_ms));
        }
        let next = numbers.last().map_or(0, |last| last + 1);
        let writer = LogWriter::create(folder.to_owned(), next)?;
        let queue = Arc::new(WriteQueue::default());
        *queue.closed_files() = closed;
        let writer_queue = QueueGuard(Arc::clone(&queue));
        std::thread::Builder::new()
            .name("ledger-log".to_owned())
            .spawn(move || writer.run(&writer_queue.0))?;
        Ok(Self {
            queue: Arc::new(QueueGuard(queue)),
            folder: folder.into(),
        })
    }

    /// Reads a record from the disk; blocks the calling thread.
    ///
    /// # Errors
    ///
    /// Fails when the file was removed, cannot be read or is damaged at this location.
    pub fn read(&self, place: RecordPlace) -> Result<LedgerRecord, LogError> {
        let mut frame = vec![0; place.length as usize];
        File::open(log_path(&self.folder, place.file))?.read_exact_at(&mut frame, place.offset)?;
        let record = decode_frame(&frame).map(|(record, _)| record);
        record.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData).into())
    }

    /// Reads a record as [`Self::read`] does, and returns `None` if it is damaged.
    ///
    /// # Errors
    ///
    /// Fails when the file was removed or cannot be read.
    pub fn read_undamaged(&self, place: RecordPlace) -> Result<Option<LedgerRecord>, LogError> {
        match self.read(place) {
            Err(LogError::Disk(failure))
                if matches!(
                    failure.kind(),
                    io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof
                ) =>
            {
                Ok(None)
            }
            read => read.map(Some),
        }
    }

    /// Returns the locations of the turns that were written since the last call.
    pub fn take_written(&self) -> Vec<(TurnKey, RecordPlace)> {
        let written = self.queue.0.written.lock();
        std::mem::take(&mut *written.unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the numbers of the closed files whose retention has expired at `now`, the oldest first.
    pub fn expired_files(&self, now: Instant) -> Vec<u64> {
        let closed = self.queue.0.closed_files();
        let expired = closed.iter().filter(|file| file.is_expired(now));
        expired.map(|file| file.number).collect()
    }

    /// Returns the keys of the records in a closed file, each once; blocks the calling thread.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read.
    pub fn keys_in_file(&self, number: u64) -> Result<Vec<RecordKey>, LogError> {
        let entries = read_entries(&self.folder, number)?;
        let mut keys: Vec<RecordKey> = entries.iter().map(|entry| entry.record.key()).collect();
        keys.sort_unstable();
        keys.dedup();
        Ok(keys)
    }

    /// Removes a closed file; blocks the calling thread.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be removed; it stays in the list of closed files then.
    pub fn remove_file(&self, number: u64) -> Result<(), LogError> {
        remove_index(&self.folder, number)?;
        match std::fs::remove_file(log_path(&self.folder, number)) {
            Err(failure) if failure.kind() != io::ErrorKind::NotFound => return Err(failure.into()),
            _ => {}
        }
        self.queue.0.closed_files().retain(|file| file.number != number);
        Ok(())
    }

    /// Queues records without waiting for the disk. They are written within `WRITE_INTERVAL` and then survive
    /// a crash of the process; within another `SYNC_INTERVAL` they are synced and survive a power loss.
    ///
    /// # Errors
    ///
    /// Fails when a record cannot be encoded or the writer thread has stopped.
    pub fn write(&self, records: &[LedgerRecord]) -> Result<(), LogError> {
        self.enqueue(records, None)
    }

    /// Writes records and waits until they are synced and survive a power loss.
    ///
    /// # Errors
    ///
    /// Fails when the records cannot be written or synced; some of them may be on the disk nevertheless.
    pub async fn write_synced(&self, records: &[LedgerRecord]) -> Result<(), LogError> {
        let (waiter, result) = oneshot::channel();
        self.enqueue(records, Some(waiter))?;
        result.await.unwrap_or(Err(LogError::Closed))
    }

    fn enqueue(&self, records: &[LedgerRecord], waiter: Option<SyncWaiter>) -> Result<(), LogError> {
        let payload_bytes: usize = records.iter().map(LedgerRecord::payload_bytes).sum();
        let mut frames = Vec::with_capacity(payload_bytes + records.len() * RECORD_OVERHEAD_BYTES);
        let mut ends = Vec::with_capacity(records.len());
        for record in records {
            encode_frame(&mut frames, record)?;
            ends.push(frames.len());
        }
        let queue = &self.queue.0;
        let mut pending = queue.lock();
        if pending.is_closed {
            return Err(LogError::Closed);
        }
        let must_wake = waiter.is_some() || pending.frames.is_empty();
        let mut start = pending.frames.len();
        let base = start;
        for (record, end) in records.iter().zip(ends) {
            let place = place_in(0, start, base + end)?;
            pending.entries.push(IndexedRecord::new(record, place));
            start = base + end;
        }
        if pending.frames.is_empty() {
            // Spares a copy, which counts for large records.
            pending.frames = frames;
        } else {
            pending.frames.extend_from_slice(&frames);
        }
        let retention_ms = records.iter().map(LedgerRecord::retention_ms).max();
        pending.retention_ms = pending.retention_ms.max(retention_ms.unwrap_or_default());
        pending.waiters.extend(waiter);
        drop(pending);
        if must_wake {
            queue.wake.notify_one();
        }
        Ok(())
    }
}

fn encode_frame(frames: &mut Vec<u8>, record: &LedgerRecord) -> Result<(), LogError> {
    let start = frames.len();
    frames.extend_from_slice(&[0; FRAME_HEADER_BYTES]);
    let mut frames_out = std::mem::take(frames);
    frames_out = postcard::to_extend(record, frames_out).map_err(io::Error::other)?;
    *frames = frames_out;
    let body = start + FRAME_HEADER_BYTES;
    let length = u32::try_from(frames.len() - body).map_err(io::Error::other)?;
    let checksum = crc32fast::hash(&frames[body..]);
    frames[start..start + 4].copy_from_slice(&length.to_le_bytes());
    frames[start + 4..body].copy_from_slice(&checksum.to_le_bytes());
    Ok(())
}

/// Returns the location of a frame between two offsets in a file.
fn place_in(file: u64, start: usize, end: usize) -> Result<RecordPlace, LogError> {
    Ok(RecordPlace {
        file,
        offset: start as u64,
        length: u32::try_from(end - start).map_err(io::Error::other)?,
    })
}

/// Returns the index entries of a closed file. If its index is missing or invalid, it is rebuilt from the
/// file.
fn read_entries(folder: &Path, number: u64) -> Result<Vec<IndexedRecord>, LogError> {
    let length = std::fs::metadata(log_path(folder, number))?.len();
    if let Some(entries) = read_index(folder, number, length) {
        return Ok(entries);
    }
    let entries = scan_file(folder, number)?;
    write_index(folder, number, length, &entries)?;
    Ok(entries)
}

/// Reads the frames of a file up to the first torn one; no frame after that one was ever synced.
fn scan_file(folder: &Path, number: u64) -> Result<Vec<IndexedRecord>, LogError> {
    let bytes = std::fs::read(log_path(folder, number))?;
    let mut entries = Vec::new();
    let mut remaining = bytes.as_slice();
    while let Some((record, after)) = decode_frame(remaining) {
        let place = place_in(number, bytes.len() - remaining.len(), bytes.len() - after.len())?;
        entries.push(IndexedRecord::new(&record, place));
        remaining = after;
    }
    Ok(entries)
}

fn decode_frame(bytes: &[u8]) -> Option<(LedgerRecord, &[u8])> {
    let (header, remaining) = bytes.split_at_checked(FRAME_HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[4..].try_into().ok()?);
    if length == 0 || length > MAX_RECORD_BYTES {
        return None;
    }
    let (body, after) = remaining.split_at_checked(length)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, after))
}

fn log_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("ledger-{number:08}.log"))
}

fn list_file_numbers(folder: &Path) -> Result<Vec<u64>, LogError> {
    let mut numbers = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_prefix("ledger-")?.strip_suffix(".log"));
        if let Some(number) = number.and_then(|number| number.parse().ok()) {
            numbers.push(number);
        }
    }
    Ok(numbers)
}

/// A log file that receives no more records.
#[derive(Debug)]
struct ClosedFile {
    number: u64,
    closed_at: Instant,
    retention: Duration,
}

/// State of the writer thread, which owns the files.
struct LogWriter {
    folder: PathBuf,
    file: File,
    number: u64,
    length: u64,
    /// Index entries of the current file.
    entries: Vec<IndexedRecord>,
    /// Longest retention of the records in the current file, in milliseconds.
    retention_ms: u64,
    unsynced_since: Option<Instant>,
    /// Whether the current file may end in a half-written frame, which would hide every later one.
    is_torn: bool,
}

impl ClosedFile {
    fn closed_now(number: u64, retention_ms: u64) -> Self {
        Self {
            number,
            closed_at: Instant::now(),
            retention: Duration::from_millis(retention_ms).saturating_add(FILE_RETENTION_SLACK),
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.closed_at) > self.retention
    }
}

impl LogWriter {
    fn create(folder: PathBuf, number: u64) -> Result<Self, LogError> {
        let file = create_file(&folder, number)?;
        Ok(Self {
            folder,
            file,
            number,
            length: 0,
            entries: Vec::new(),
            retention_ms: 0,
            unsynced_since: None,
            is_torn: false,
        })
    }

    /// Writes queued records until all handles are dropped. All waiting callers share one write and one sync.
    fn run(mut self, queue: &WriteQueue) {
        loop {
            let mut writes = self.wait_for_writes(queue);
            self.retention_ms = self.retention_ms.max(writes.retention_ms);
            let entries = std::mem::take(&mut writes.entries);
            let written = self.commit(&writes.frames, entries, !writes.waiters.is_empty(), queue);
            for waiter in writes.waiters {
                let result = match &written {
                    Ok(()) => Ok(()),
                    Err(failure) => Err(io::Error::new(failure.kind(), failure.to_string()).into()),
                };
                // The caller may have stopped waiting; a completed write is not undone.
                drop(waiter.send(result));
            }
            if writes.is_closed {
                return;
            }
        }
    }

    /// Waits until records must be written or synced. Records without a waiting caller are batched for up to
    /// `WRITE_INTERVAL`.
    fn wait_for_writes(&self, queue: &WriteQueue) -> PendingWrites {
        let mut pending = queue.lock();
        let mut batch_started_at: Option<Instant> = None;
        loop {
            let is_due = batch_started_at.is_some_and(|since| since.elapsed() >= WRITE_INTERVAL);
            let is_overdue = self
                .unsynced_since
                .is_some_and(|since| since.elapsed() >= SYNC_INTERVAL);
            if !pending.waiters.is_empty() || pending.is_closed || is_due || is_overdue {
                let is_closed = pending.is_closed;
                let writes = std::mem::take(&mut *pending);
                pending.is_closed = is_closed;
                return PendingWrites { is_closed, ..writes };
            }
            if !pending.frames.is_empty() && batch_started_at.is_none() {
                batch_started_at = Some(Instant::now());
            }
            let until_write = batch_started_at.map(|since| WRITE_INTERVAL.saturating_sub(since.elapsed()));
            let until_sync = self
                .unsynced_since
                .map(|since| SYNC_INTERVAL.saturating_sub(since.elapsed()));
            let wait = until_write.into_iter().chain(until_sync).min();
            pending = match wait {
                Some(wait) => {
                    let waited = queue.wake.wait_timeout(pending, wait);
                    waited.unwrap_or_else(PoisonError::into_inner).0
                }
                None => queue.wake.wait(pending).unwrap_or_else(PoisonError::into_inner),
            };
        }
    }

    fn commit(
        &mut self,
        frames: &[u8],
        entries: Vec<IndexedRecord>,
        must_sync: bool,
        queue: &WriteQueue,
    ) -> io::Result<()> {
        if self.is_torn || self.length >= FILE_LIMIT_BYTES {
            self.start_file(queue)?;
        }
        if let Err(failure) = self.file.write_all(frames) {
            self.is_torn = true;
            return Err(failure);
        }
        self.index_written(entries, queue);
        self.length += frames.len() as u64;
        let is_overdue = self
            .unsynced_since
            .is_some_and(|since| since.elapsed() >= SYNC_INTERVAL);
        if must_sync || is_overdue {
            self.file.sync_data()?;
            self.unsynced_since = None;
        } else if !frames.is_empty() && self.unsynced_since.is_none() {
            self.unsynced_since = Some(Instant::now());
        }
        Ok(())
    }

    /// Adds appended records to the index of the current file and publishes the locations of their turns.
    fn index_written(&mut self, mut entries: Vec<IndexedRecord>, queue: &WriteQueue) {
        let mut places = Vec::new();
        for entry in &mut entries {
            entry.place.file = self.number;
            entry.place.offset += self.length;
            if let LedgerRecord::Turn(turn) = &entry.record {
                places.push((turn.turn, entry.place));
            }
        }
        self.entries.append(&mut entries);
        let written = queue.written.lock();
        written
            .unwrap_or_else(PoisonError::into_inner)
            .append(&mut places);
    }

    fn start_file(&mut self, queue: &WriteQueue) -> io::Result<()> {
        self.file.sync_data()?;
        self.unsynced_since = None;
        let length = self.file.metadata()?.len();
        write_index(&self.folder, self.number, length, &self.entries)?;
        self.file = create_file(&self.folder, self.number + 1)?;
        queue
            .closed_files()
            .push(ClosedFile::closed_now(self.number, self.retention_ms));
        self.number += 1;
        self.entries.clear();
        self.retention_ms = 0;
        self.length = 0;
        self.is_torn = false;
        Ok(())
    }
}

fn create_file(folder: &Path, number: u64) -> io::Result<File> {
    // After a power loss the index of a removed log file may still exist.
    remove_index(folder, number)?;
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(log_path(folder, number))
}
