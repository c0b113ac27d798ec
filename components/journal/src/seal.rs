//! Seals: closing the journal of another incarnation, so that successors can take over its programs.

use domain::IncarnationId;
use serde::{Deserialize, Serialize};
use store::{ObjectStore, ObjectVersion, PlatformError, WriteCondition};

use crate::error::JournalError;
use crate::retry::{RetryBackoff, RetryLimit, RetryingStore, is_transient};
use crate::segment::{
    JournalObject, Segment, SegmentBody, SegmentNumber, decode_framed_segment, encode_segment,
    journal_prefix, parse_key, segment_key, segment_prefix,
};

/// Number of tries to write a seal before the owner's next segment. An owner that wins the race this often is
/// alive, so sealing fails.
const SEAL_TRIES: u32 = 64;

/// Seal: the last segment of a journal, written so that the owner can no longer append to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JournalSeal {
    /// Incarnation that sealed the journal.
    pub sealer: IncarnationId,
    /// Incarnations that take over the programs, sorted. Each program is assigned to one of them.
    #[serde(rename = "heirs")]
    pub successors: Vec<IncarnationId>,
    /// Whether every program is in the journal of a successor, so that the records may be deleted.
    pub settled: bool,
}

impl JournalSeal {
    pub(crate) fn new(sealer: IncarnationId, mut successors: Vec<IncarnationId>) -> Self {
        successors.sort_unstable();
        successors.dedup();
        Self {
            sealer,
            successors,
            settled: false,
        }
    }
}

/// The last segment of a journal.
#[derive(Debug)]
struct JournalTail {
    number: SegmentNumber,
    version: ObjectVersion,
    segment: Segment,
}

/// Seals a journal and returns its seal, which may have been written by another sealer before.
///
/// # Errors
///
/// Returns [`JournalError::Platform`] when the object API fails. The seal may have been written nevertheless,
/// so the caller has to repeat the call. The error is [`PlatformError::Conflict`] when the owner keeps
/// appending. Returns [`JournalError::Corrupt`] when the last segment cannot be decoded.
pub async fn seal_journal(
    store: &dyn ObjectStore,
    incarnation: IncarnationId,
    sealer: IncarnationId,
    successors: Vec<IncarnationId>,
) -> Result<JournalSeal, JournalError> {
    let seal = JournalSeal::new(sealer, successors);
    for _ in 0..SEAL_TRIES {
        let tail = read_tail(store, incarnation).await?;
        let last = tail.as_ref().map_or(0, |tail| tail.number);
        if let Some(SegmentBody::Seal(existing)) = tail.map(|tail| tail.segment.body) {
            return Ok(existing);
        }
        let segment = Segment::new(incarnation, last + 1, SegmentBody::Seal(seal.clone()));
        let value = encode_segment(&segment)?;
        // Whether the object was created does not matter: the next iteration reads the last segment and finds
        // this seal, another seal, or segments that the owner has appended since.
        RetryingStore::new(store, RetryLimit::MaxTries)
            .create(&segment.key(), &value)
            .await?;
    }
    Err(PlatformError::Conflict.into())
}

/// Deletes the records of a sealed journal. The caller must ensure that every program in it is in the journal
/// of a successor.
///
/// The seal is kept: without it, an owner that resumes after a pause could append again.
///
/// # Errors
///
/// Returns [`JournalError::Corrupt`] when the journal is not sealed or its seal cannot be decoded, and
/// [`JournalError::Platform`] when the object API fails. A repeated call continues where the failed one
/// stopped.
pub async fn release_sealed_journal(
    store: &dyn ObjectStore,
    incarnation: IncarnationId,
) -> Result<(), JournalError> {
    let seal_number = settle_seal(store, incarnation).await?;
    let store = RetryingStore::new(store, RetryLimit::MaxTries);
    for (key, version) in store.list(&journal_prefix(incarnation)).await? {
        if parse_key(incarnation, &key) == Some(JournalObject::Segment(seal_number)) {
            continue;
        }
        store.delete(&key, version).await?;
    }
    Ok(())
}

/// Marks the seal as settled and returns the number of its segment.
async fn settle_seal(
    store: &dyn ObjectStore,
    incarnation: IncarnationId,
) -> Result<SegmentNumber, JournalError> {
    let mut backoff = RetryBackoff::new(RetryLimit::MaxTries);
    for _ in 0..SEAL_TRIES {
        let Some(JournalTail {
            number,
            version,
            mut segment,
        }) = read_tail(store, incarnation).await?
        else {
            return Err(JournalError::corrupt(
                segment_key(incarnation, 1),
                "the journal has no segments",
            ));
        };
        match &mut segment.body {
            SegmentBody::Seal(seal) if seal.settled => return Ok(number),
            SegmentBody::Seal(seal) => seal.settled = true,
            _ => return Err(JournalError::corrupt(segment.key(), "the journal is not sealed")),
        }
        let value = encode_segment(&segment)?;
        let condition = WriteCondition::Version(version);
        match store.write(&segment.key(), value, condition).await {
            Ok(_) => return Ok(number),
            Err(error) if is_transient(&error) || error == PlatformError::Conflict => backoff.wait().await,
            Err(error) => return Err(error.into()),
        }
    }
    Err(PlatformError::Conflict.into())
}

async fn read_tail(
    store: &dyn ObjectStore,
    incarnation: IncarnationId,
) -> Result<Option<JournalTail>, JournalError> {
    let store = RetryingStore::new(store, RetryLimit::MaxTries);
    loop {
        let listed = store.list(&segment_prefix(incarnation)).await?;
        let numbers = listed
            .iter()
            .filter_map(|(key, _)| match parse_key(incarnation, key) {
                Some(JournalObject::Segment(number)) => Some(number),
                _ => None,
            });
        let Some(number) = numbers.max() else {
            return Ok(None);
        };
        let key = segment_key(incarnation, number);
        // An absent segment was replaced by a snapshot after the listing, so the listing is repeated.
        if let Some(object) = store.read(&key).await? {
            return Ok(Some(JournalTail {
                number,
                version: object.version,
                segment: decode_framed_segment(incarnation, number, &object.value)?,
            }));
        }
    }
}
