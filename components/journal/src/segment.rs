//! Segments: the objects that make up a journal.

use bytes::Bytes;
use domain::IncarnationId;
use serde::{Deserialize, Serialize};

use crate::error::JournalError;
use crate::record::JournalRecord;
use crate::seal::JournalSeal;

/// Version of the object format, stored as the first byte of each object.
const FORMAT_VERSION: u8 = 1;
/// Size of the header: the format version (1 byte) and the CRC-32 of the payload (4 bytes).
const HEADER_BYTES: usize = 5;
/// Limit for the payload of a segment or a snapshot chunk. Payload and header together stay below the size
/// limit of the object API.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 1_000_000;

/// Number of a segment within its journal, from 1.
pub(crate) type SegmentNumber = u64;

/// Describes a snapshot whose chunks have all been written.
///
/// A fold compacts a journal: it writes the state that the records led to as a snapshot, and the snapshot
/// replaces the segments that it covers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FoldManifest {
    /// Number of the snapshot within the journal.
    pub fold: u64,
    /// Number of the last segment whose records are contained in the snapshot.
    pub covers: u64,
    /// CRC-32 of each chunk, in the order of the chunks.
    pub chunks: Vec<u32>,
}

/// Content of a segment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SegmentBody {
    /// A group of encoded records, or one part of a group that is too large for one segment.
    Records {
        /// Position of the part in its group, from 0.
        part: u32,
        /// Whether this is the last part of the group.
        last: bool,
        /// Concatenated encoded records. A record may continue in the next part of the group.
        payload: Vec<u8>,
    },
    /// Ends the journal.
    Seal(JournalSeal),
    /// Puts a snapshot into effect.
    Fold(FoldManifest),
}

/// One segment as it is stored in the object API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Segment {
    /// Journal to which the segment belongs.
    pub(crate) incarnation: IncarnationId,
    /// Number of the segment within the journal.
    pub(crate) number: SegmentNumber,
    /// Random number that makes the object unique, so that a writer can recognize its own segment after a
    /// lost response.
    pub(crate) nonce: u128,
    /// Content.
    pub(crate) body: SegmentBody,
}

impl Segment {
    pub(crate) fn new(incarnation: IncarnationId, number: SegmentNumber, body: SegmentBody) -> Self {
        Self {
            incarnation,
            number,
            nonce: rand::random(),
            body,
        }
    }

    pub(crate) fn key(&self) -> String {
        segment_key(self.incarnation, self.number)
    }
}

pub(crate) fn journal_prefix(incarnation: IncarnationId) -> String {
    format!("journal/{:020}/", incarnation.0)
}

pub(crate) fn segment_prefix(incarnation: IncarnationId) -> String {
    format!("journal/{:020}/s/", incarnation.0)
}

pub(crate) fn segment_key(incarnation: IncarnationId, number: SegmentNumber) -> String {
    format!("journal/{:020}/s/{number:020}", incarnation.0)
}

pub(crate) fn chunk_key(incarnation: IncarnationId, fold: u64, chunk: usize) -> String {
    format!("journal/{:020}/f/{fold:020}/{chunk:020}", incarnation.0)
}

/// Kind of a journal object, as given by its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JournalObject {
    Segment(SegmentNumber),
    Chunk { fold: u64 },
}

/// Parses the part of a key after the prefix of the journal. Returns `None` for any other key.
pub(crate) fn parse_key(incarnation: IncarnationId, key: &str) -> Option<JournalObject> {
    let rest = key.strip_prefix(&journal_prefix(incarnation))?;
    let (kind, rest) = rest.split_once('/')?;
    match kind {
        "s" => Some(JournalObject::Segment(rest.parse().ok()?)),
        "f" => {
            let fold = rest.split_once('/')?.0.parse().ok()?;
            Some(JournalObject::Chunk { fold })
        }
        _ => None,
    }
}

/// Prepends the header (format version and checksum) to a payload.
pub(crate) fn frame(payload: &[u8]) -> Bytes {
    let mut framed = Vec::with_capacity(HEADER_BYTES + payload.len());
    framed.push(FORMAT_VERSION);
    framed.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    framed.extend_from_slice(payload);
    framed.into()
}

/// Checks the format version and the checksum and returns the payload.
pub(crate) fn unframe<'a>(key: &str, framed: &'a [u8]) -> Result<&'a [u8], JournalError> {
    let Some((header, payload)) = framed.split_first_chunk::<HEADER_BYTES>() else {
        return Err(JournalError::corrupt(
            key,
            format!("the object has only {} bytes", framed.len()),
        ));
    };
    let [version, checksum @ ..] = header;
    if *version != FORMAT_VERSION {
        return Err(JournalError::corrupt(
            key,
            format!("unsupported format version {version}"),
        ));
    }
    let (expected, found) = (u32::from_le_bytes(*checksum), crc32fast::hash(payload));
    if expected != found {
        let reason = format!("checksum mismatch: found {found:08x}, expected {expected:08x}");
        return Err(JournalError::corrupt(key, reason));
    }
    Ok(payload)
}

pub(crate) fn encode<T: Serialize>(key: &str, value: &T) -> Result<Vec<u8>, JournalError> {
    postcard::to_stdvec(value).map_err(|error| JournalError::corrupt(key, error.to_string()))
}

pub(crate) fn encode_segment(segment: &Segment) -> Result<Bytes, JournalError> {
    Ok(frame(&encode(&segment.key(), segment)?))
}

/// Decodes a stored segment and checks that it is the segment with this incarnation and number.
pub(crate) fn decode_framed_segment(
    incarnation: IncarnationId,
    number: SegmentNumber,
    framed: &[u8],
) -> Result<Segment, JournalError> {
    let key = segment_key(incarnation, number);
    let payload = unframe(&key, framed)?;
    let (segment, rest) = postcard::take_from_bytes::<Segment>(payload)
        .map_err(|error| JournalError::corrupt(&key, error.to_string()))?;
    if !rest.is_empty() {
        let reason = format!("{} unexpected bytes after the end of the segment", rest.len());
        return Err(JournalError::corrupt(key, reason));
    }
    if (segment.incarnation, segment.number) != (incarnation, number) {
        let reason = format!(
            "the object contains segment {} of journal {}",
            segment.number, segment.incarnation
        );
        return Err(JournalError::corrupt(key, reason));
    }
    Ok(segment)
}

/// Decodes a stored segment of a journal and returns its content.
///
/// # Errors
///
/// Returns [`JournalError::Corrupt`] when the bytes are not the complete, unaltered segment with this
/// incarnation and number.
pub fn decode_segment(
    incarnation: IncarnationId,
    number: u64,
    framed: &[u8],
) -> Result<SegmentBody, JournalError> {
    Ok(decode_framed_segment(incarnation, number, framed)?.body)
}

/// Encodes records and concatenates them.
pub(crate) fn encode_records(records: &[JournalRecord]) -> Result<Vec<u8>, JournalError> {
    let mut payload = Vec::new();
    for record in records {
        payload = postcard::to_extend(record, payload)
            .map_err(|error| JournalError::corrupt("record", error.to_string()))?;
    }
    Ok(payload)
}

/// Decodes concatenated records. `key` is the key of their segment, for error messages.
pub(crate) fn decode_records(key: &str, mut payload: &[u8]) -> Result<Vec<JournalRecord>, JournalError> {
    let mut records = Vec::new();
    while !payload.is_empty() {
        let (record, rest) = postcard::take_from_bytes(payload)
            .map_err(|error| JournalError::corrupt(key, error.to_string()))?;
        records.push(record);
        payload = rest;
    }
    Ok(records)
}
