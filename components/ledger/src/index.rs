//! The index that stands beside each closed log file: its records without their texts, and where they are.
//!
//! A start reads the indexes instead of the files, whose texts are a hundred times as large. An index is derived
//! from its file; a missing or damaged one is written anew.

use std::io;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::record::LedgerRecord;

/// Bytes of the checksum (CRC-32) at the start of an index.
const CHECKSUM_BYTES: usize = 4;

/// Where a record stands in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordPlace {
    /// Number of the file.
    pub file: u64,
    /// First byte of the frame in the file.
    pub offset: u64,
    /// Bytes of the frame.
    pub length: u32,
}

/// A record without the texts of its turn, and its place in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexedRecord {
    /// The record; the texts of a turn are empty.
    pub record: LedgerRecord,
    /// Its place.
    pub place: RecordPlace,
}

impl IndexedRecord {
    /// Creates the entry of a record.
    pub fn new(record: &LedgerRecord, place: RecordPlace) -> Self {
        let mut record = record.clone();
        if let LedgerRecord::Turn(turn) = &mut record {
            turn.input = Bytes::new();
            turn.output = Bytes::new();
        }
        Self { record, place }
    }
}

fn path_of(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("ledger-{number:08}.index"))
}

/// Writes the index of a file of some length in bytes: an index of a file that has grown since is of no use. It is not
/// synced: a torn one fails its checksum.
pub(crate) fn write_index(
    folder: &Path,
    number: u64,
    length: u64,
    entries: &[IndexedRecord],
) -> io::Result<()> {
    let body = postcard::to_stdvec(&(length, entries)).map_err(io::Error::other)?;
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    std::fs::write(path_of(folder, number), bytes)
}

/// Reads the index of a file of some length; `None` when there is none or it is damaged or out of date.
pub(crate) fn read_index(folder: &Path, number: u64, length: u64) -> Option<Vec<IndexedRecord>> {
    let bytes = std::fs::read(path_of(folder, number)).ok()?;
    let (checksum, body) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    if crc32fast::hash(body).to_le_bytes() != checksum {
        return None;
    }
    let (indexed_length, entries): (u64, Vec<IndexedRecord>) = postcard::from_bytes(body).ok()?;
    (indexed_length == length).then_some(entries)
}

/// Removes the index of a file, if there is one.
pub(crate) fn remove_index(folder: &Path, number: u64) -> io::Result<()> {
    match std::fs::remove_file(path_of(folder, number)) {
        Err(failure) if failure.kind() != io::ErrorKind::NotFound => Err(failure),
        _ => Ok(()),
    }
}
