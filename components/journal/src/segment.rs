//! Segments: the objects that make up a journal.

use bytes::Bytes;
use domain::IncarnationId;
use serde::{Deserialize, Serialize};

use crate::error::JournalError;
use crate::record::JournalRecord;
use crate::seal::JournalSeal;

/// Version of the format, the first byte of each object.
const FORMAT_VERSION: u8 = 1;
const HEADER_BYTES: usize = 5;
/// Largest payload of a segment or a chunk in bytes; with the header it stays below the object API's limit.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 1_000_000;

/// Number of a segment within its journal, from 1.
pub(crate) type SegmentNumber = u64;

/// Reference to a snapshot whose chunks are written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FoldManifest {
    /// Number of the snapshot within the journal.
    pub fold: u64,
    /// Last segment whose records the snapshot holds.
    pub covers: u64,
    /// Checksum of each chunk.
    pub chunks: Vec<u32>,
}

/// What a segment holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SegmentBody {
    /// Encoded records, or one part of a group that is too large for one segment.
    Records {
        /// Position of the part in its group, from 0.
        part: u32,
        /// Whether the group ends with this part.
        last: bool,
        /// Encoded records behind one another.
        payload: Vec<u8>,
    },
    /// The end of the journal.
    Seal(JournalSeal),
    /// A snapshot takes effect.
    Fold(FoldManifest),
}

/// One segment as it stands in the object API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Segment {
    /// Journal to which the segment belongs.
    pub(crate) incarnation: IncarnationId,
    /// Place in the journal.
    pub(crate) number: SegmentNumber,
    /// Random number by which its writer knows it again.
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

/// Object of a journal, read from its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JournalObject {
    Segment(SegmentNumber),
    Chunk { fold: u64 },
}

/// Reads the part of a key behind the journal's prefix.
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

/// Puts the format version and the checksum in front of a payload.
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
        return Err(JournalError::corrupt(key, format!("only {} bytes", framed.len())));
    };
    let [version, checksum @ ..] = header;
    if *version != FORMAT_VERSION {
        return Err(JournalError::corrupt(key, format!("format version {version}")));
    }
    let (stated, found) = (u32::from_le_bytes(*checksum), crc32fast::hash(payload));
    if stated != found {
        let reason = format!("checksum {found:08x} in place of {stated:08x}");
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

pub(crate) fn read_segment(
    incarnation: IncarnationId,
    number: SegmentNumber,
    framed: &[u8],
) -> Result<Segment, JournalError> {
    let key = segment_key(incarnation, number);
    let payload = unframe(&key, framed)?;
    let (segment, rest) = postcard::take_from_bytes::<Segment>(payload)
        .map_err(|error| JournalError::corrupt(&key, error.to_string()))?;
    if !rest.is_empty() {
        let reason = format!("{} bytes behind its end", rest.len());
        return Err(JournalError::corrupt(key, reason));
    }
    if (segment.incarnation, segment.number) != (incarnation, number) {
        let reason = format!(
            "it is segment {} of journal {}",
            segment.number, segment.incarnation
        );
        return Err(JournalError::corrupt(key, reason));
    }
    Ok(segment)
}

/// Decodes the object that stands as a segment of a journal.
///
/// # Errors
///
/// Returns [`JournalError::Corrupt`] when the bytes are not the named segment, whole and unchanged.
pub fn decode_segment(
    incarnation: IncarnationId,
    number: u64,
    framed: &[u8],
) -> Result<SegmentBody, JournalError> {
    Ok(read_segment(incarnation, number, framed)?.body)
}

/// Encodes records behind one another.
pub(crate) fn encode_records(records: &[JournalRecord]) -> Result<Vec<u8>, JournalError> {
    let mut payload = Vec::new();
    for record in records {
        payload = postcard::to_extend(record, payload)
            .map_err(|error| JournalError::corrupt("record", error.to_string()))?;
    }
    Ok(payload)
}

/// Decodes records that stand behind one another; `key` names their segment in an error.
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
