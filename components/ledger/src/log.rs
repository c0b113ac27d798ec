//! The log file of a host: frames of length, checksum and encoded record, synced in groups.

use std::fs::{File, OpenOptions};
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::record::LedgerRecord;

/// Bytes of a frame before its record: length and checksum.
const FRAME_HEADER_BYTES: usize = 8;
/// Largest encoded record; bodies are bounded far below by the callers' limits.
const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;
/// Size in bytes at which a new file is begun.
const FILE_BYTES: u64 = 32 * 1024 * 1024;
/// Time for which a file is kept beyond the longest retention of its records.
const FILE_SLACK: Duration = Duration::from_mins(5);
/// Longest time for which records that nobody waits for stay in memory.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for which written records stay unsynced.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);

/// Failure of the log.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The disk refused.
    #[error("the disk of the ledger failed: {0}")]
    Disk(#[from] io::Error),
    /// The writer has ended after an earlier failure.
    #[error("the writer of the ledger has ended")]
    Closed,
}

/// Whom to tell when records are on the disk.
type SyncWaiter = oneshot::Sender<Result<(), LogError>>;

/// Records to write, and whom to tell when they are on the disk.
#[derive(Debug, Default)]
struct PendingWrites {
    frames: Vec<u8>,
    /// Longest retention of the records in `frames`, in milliseconds.
    retention_ms: u64,
    waiters: Vec<SyncWaiter>,
    is_closed: bool,
}

/// What the handles and the writer share.
#[derive(Debug, Default)]
struct WriteQueue {
    pending: Mutex<PendingWrites>,
    arrived: Condvar,
}

impl WriteQueue {
    fn lock(&self) -> MutexGuard<'_, PendingWrites> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self) {
        self.lock().is_closed = true;
        self.arrived.notify_one();
    }
}

/// Closes the queue with the last handle, or with the writer.
#[derive(Debug)]
struct QueueGuard(Arc<WriteQueue>);

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Handle of a log; a thread of its own writes and syncs, so that a slow disk holds up no one who only reads.
#[derive(Debug, Clone)]
pub struct DiskLog {
    queue: Arc<QueueGuard>,
}

impl DiskLog {
    /// Opens the log in a folder and returns the records that it holds.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be created, read or written.
    pub fn open(folder: &Path) -> Result<(Self, Vec<LedgerRecord>), LogError> {
        std::fs::create_dir_all(folder)?;
        let mut numbers = file_numbers(folder)?;
        numbers.sort_unstable();
        let mut records = Vec::new();
        for &number in &numbers {
            read_file(&path_of(folder, number), &mut records)?;
        }
        let next = numbers.last().map_or(0, |last| last + 1);
        let mut writer = LogWriter::create(folder.to_owned(), next)?;
        let retention_ms = records
            .iter()
            .map(LedgerRecord::retention_ms)
            .max()
            .unwrap_or_default();
        let closed = numbers
            .into_iter()
            .map(|number| ClosedFile::now(number, retention_ms));
        writer.closed = closed.collect();
        let queue = Arc::new(WriteQueue::default());
        let writer_queue = QueueGuard(Arc::clone(&queue));
        std::thread::Builder::new()
            .name("ledger-log".to_owned())
            .spawn(move || writer.run(&writer_queue.0))?;
        let queue = Arc::new(QueueGuard(queue));
        Ok((Self { queue }, records))
    }

    /// Writes records without waiting for the disk; they survive the process at once, a power loss soon.
    ///
    /// # Errors
    ///
    /// Fails when a record cannot be encoded or the writer has ended.
    pub fn write(&self, records: &[LedgerRecord]) -> Result<(), LogError> {
        self.send(records, None)
    }

    /// Writes records and waits until they survive a power loss.
    ///
    /// # Errors
    ///
    /// Fails when the disk refuses; the records may or may not be there.
    pub async fn write_synced(&self, records: &[LedgerRecord]) -> Result<(), LogError> {
        let (synced, waiting) = oneshot::channel();
        self.send(records, Some(synced))?;
        waiting.await.unwrap_or(Err(LogError::Closed))
    }

    fn send(&self, records: &[LedgerRecord], synced: Option<SyncWaiter>) -> Result<(), LogError> {
        let mut frames = Vec::new();
        for record in records {
            append_frame(&mut frames, record)?;
        }
        let queue = &self.queue.0;
        let mut pending = queue.lock();
        if pending.is_closed {
            return Err(LogError::Closed);
        }
        let must_wake = synced.is_some() || pending.frames.is_empty();
        pending.frames.extend_from_slice(&frames);
        let retention_ms = records.iter().map(LedgerRecord::retention_ms).max();
        pending.retention_ms = pending.retention_ms.max(retention_ms.unwrap_or_default());
        pending.waiters.extend(synced);
        drop(pending);
        if must_wake {
            queue.arrived.notify_one();
        }
        Ok(())
    }
}

fn append_frame(frames: &mut Vec<u8>, record: &LedgerRecord) -> Result<(), LogError> {
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

/// Reads the whole frames of a file; the first torn one ends it, since nothing after it was ever synced.
fn read_file(path: &Path, records: &mut Vec<LedgerRecord>) -> Result<(), LogError> {
    let mut bytes = Vec::new();
    File::open(path)?.read_to_end(&mut bytes)?;
    let mut rest = bytes.as_slice();
    while let Some((record, after)) = read_frame(rest) {
        records.push(record);
        rest = after;
    }
    Ok(())
}

fn read_frame(bytes: &[u8]) -> Option<(LedgerRecord, &[u8])> {
    let (header, rest) = bytes.split_at_checked(FRAME_HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[4..].try_into().ok()?);
    if length == 0 || length > MAX_RECORD_BYTES {
        return None;
    }
    let (body, after) = rest.split_at_checked(length)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, after))
}

fn path_of(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("ledger-{number:08}.log"))
}

fn file_numbers(folder: &Path) -> Result<Vec<u64>, LogError> {
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

/// A file that takes no more records.
struct ClosedFile {
    number: u64,
    closed: Instant,
    kept: Duration,
}

/// The thread that owns the files.
struct LogWriter {
    folder: PathBuf,
    file: File,
    number: u64,
    length: u64,
    closed: Vec<ClosedFile>,
    /// Longest retention of the records in the present file, in milliseconds.
    retention_ms: u64,
    unsynced_since: Option<Instant>,
}

impl ClosedFile {
    fn now(number: u64, retention_ms: u64) -> Self {
        Self {
            number,
            closed: Instant::now(),
            kept: Duration::from_millis(retention_ms).saturating_add(FILE_SLACK),
        }
    }
}

impl LogWriter {
    fn create(folder: PathBuf, number: u64) -> Result<Self, LogError> {
        let file = new_file(&folder, number)?;
        Ok(Self {
            folder,
            file,
            number,
            length: 0,
            closed: Vec::new(),
            retention_ms: 0,
            unsynced_since: None,
        })
    }

    /// Writes until every handle is gone: all that wait share one write and one sync.
    fn run(mut self, queue: &WriteQueue) {
        loop {
            let writes = self.next_writes(queue);
            self.retention_ms = self.retention_ms.max(writes.retention_ms);
            let written = self.commit(&writes.frames, !writes.waiters.is_empty());
            for waiter in writes.waiters {
                let told = match &written {
                    Ok(()) => Ok(()),
                    Err(failure) => Err(io::Error::new(failure.kind(), failure.to_string()).into()),
                };
                // The caller may have given up; the records stay.
                drop(waiter.send(told));
            }
            if writes.is_closed {
                return;
            }
        }
    }

    /// Waits for records. Those that nobody waits for may gather for a while.
    fn next_writes(&self, queue: &WriteQueue) -> PendingWrites {
        let mut pending = queue.lock();
        let mut gathering: Option<Instant> = None;
        loop {
            let is_due = gathering.is_some_and(|since| since.elapsed() >= WRITE_INTERVAL);
            let is_overdue = self
                .unsynced_since
                .is_some_and(|since| since.elapsed() >= SYNC_INTERVAL);
            if !pending.waiters.is_empty() || pending.is_closed || is_due || is_overdue {
                let is_closed = pending.is_closed;
                let writes = std::mem::take(&mut *pending);
                pending.is_closed = is_closed;
                return PendingWrites { is_closed, ..writes };
            }
            if !pending.frames.is_empty() && gathering.is_none() {
                gathering = Some(Instant::now());
            }
            let until_write = gathering.map(|since| WRITE_INTERVAL.saturating_sub(since.elapsed()));
            let until_sync = self
                .unsynced_since
                .map(|since| SYNC_INTERVAL.saturating_sub(since.elapsed()));
            let wait = until_write.into_iter().chain(until_sync).min();
            pending = match wait {
                Some(wait) => {
                    let waited = queue.arrived.wait_timeout(pending, wait);
                    waited.unwrap_or_else(PoisonError::into_inner).0
                }
                None => queue
                    .arrived
                    .wait(pending)
                    .unwrap_or_else(PoisonError::into_inner),
            };
        }
    }

    fn commit(&mut self, frames: &[u8], must_sync: bool) -> io::Result<()> {
        if self.length >= FILE_BYTES {
            self.begin_file()?;
        }
        if let Err(failure) = self.file.write_all(frames) {
            // A half-written frame would hide every later one, so that the file ends here.
            self.begin_file()?;
            return Err(failure);
        }
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

    fn begin_file(&mut self) -> io::Result<()> {
        self.file.sync_data()?;
        self.closed.push(ClosedFile::now(self.number, self.retention_ms));
        self.retention_ms = 0;
        self.number += 1;
        self.file = new_file(&self.folder, self.number)?;
        self.length = 0;
        let folder = &self.folder;
        self.closed.retain(|file| {
            let is_old = file.closed.elapsed() > file.kept;
            !(is_old && std::fs::remove_file(path_of(folder, file.number)).is_ok())
        });
        Ok(())
    }
}

fn new_file(folder: &Path, number: u64) -> io::Result<File> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path_of(folder, number))
}
