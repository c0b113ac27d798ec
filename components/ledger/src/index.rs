//! The index file beside each closed log file: the records of the log file without payloads, and their
//! locations.
//!
//! A host reads the indexes at start instead of the log files, whose payloads are a hundred times as large.
//! An index is derived from its log file; a missing or damaged one is rebuilt.

use std::io;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::record::LedgerRecord;

/// Size of the CRC-32 checksum at the start of an index.
const CHECKSUM_BYTES: usize = 4;

/// Location of a record in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordPlace {
    /// Number of the log file; later files have larger ones.
    pub file: u64,
    /// Offset of the frame in the file, in bytes.
    pub offset: u64,
    /// Size of the frame with its header, in bytes.
    pub length: u32,
}

/// A record without the payload of its turn, and its location in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexedRecord {
    /// The record. The input and output of a turn are empty.
    pub record: LedgerRecord,
    /// Location of the complete record.
    pub place: RecordPlace,
}

impl IndexedRecord {
    /// Creates the index entry of a record.
    pub fn new(record: &LedgerRecord, place: RecordPlace) -> Self {
        let mut record = record.clone();
        if let LedgerRecord::Turn(turn) = &mut record {
            turn.input = Bytes::new();
            turn.output = Bytes::new();
        }
        Self { record, place }
    }
}

fn index_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("ledger-{number:08}.index"))
}

/// Writes the index of a log file that is `length` bytes long. The index includes this length, so that it
/// becomes invalid when the file grows. It is not synced, since a torn index fails its checksum.
pub(crate) fn write_index(
    folder: &Path,
    number: u64,
    length: u64,
    entries: &[IndexedRecord],
) -> io::Result<()> {
    let body = postcard::to_stdvec(&(length, entries)).map_err(io::Error::other)?;
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    std::fs::write(index_path(folder, number), bytes)
}

/// Reads the index of a log file that is `length` bytes long. Returns `None` if the index is missing, damaged
/// or outdated.
pub(crate) fn read_index(folder: &Path, number: u64, length: u64) -> Option<Vec<IndexedRecord>> {
    let bytes = std::fs::read(index_path(folder, number)).ok()?;
    let (checksum, body) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    if crc32fast::hash(body).to_le_bytes() != checksum {
        return None;
    }
    let (indexed_length, entries): (u64, Vec<IndexedRecord>) = postcard::from_bytes(body).ok()?;
    (indexed_length == length).then_some(entries)
}

/// Removes the index of a log file if it exists.
pub(crate) fn remove_index(folder: &Path, number: u64) -> io::Result<()> {
    match std::fs::remove_file(index_path(folder, number)) {
        Err(failure) if failure.kind() != io::ErrorKind::NotFound => Err(failure),
        _ => Ok(()),
    }
}
