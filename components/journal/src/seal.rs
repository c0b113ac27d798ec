//! Seals: the end of a journal, by which successors take its programs over.

use domain::IncarnationId;
use serde::{Deserialize, Serialize};
use store::{ObjectStore, ObjectVersion, PlatformError, WriteCondition};

use crate::error::JournalError;
use crate::retry::{PatientStore, RetryBackoff, RetryPatience, is_transient};
use crate::segment::{
    JournalObject, Segment, SegmentBody, SegmentNumber, encode_segment, journal_prefix, parse_key,
    read_segment, segment_key, segment_prefix,
};

/// Tries to get in front of an owner that goes on appending; one that does is alive.
const SEAL_TRIES: u32 = 64;

/// The end of a journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JournalSeal {
    /// Incarnation that sealed the journal.
    pub sealer: IncarnationId,
    /// Incarnations among which the programs are divided, sorted.
    #[serde(rename = "heirs")]
    pub successors: Vec<IncarnationId>,
    /// Whether every program stands in a successor's journal, so that the records may be deleted.
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

/// Seals a journal and returns the seal in force, which may be another sealer's.
///
/// # Errors
///
/// Returns [`JournalError::Platform`] when the object API fails (the seal may have got in all the same, so the call is
/// to be repeated), with [`PlatformError::Conflict`] when the owner goes on appending. Returns
/// [`JournalError::Corrupt`] when the last segment cannot be decoded.
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
        if let Some(SegmentBody::Seal(present)) = tail.map(|tail| tail.segment.body) {
            return Ok(present);
        }
        let segment = Segment::new(incarnation, last + 1, SegmentBody::Seal(seal.clone()));
        let value = encode_segment(&segment)?;
        // The next round reads back what stands there, and whether the journal went on meanwhile.
        PatientStore::new(store, RetryPatience::Few)
            .create(&segment.key(), &value)
            .await?;
    }
    Err(PlatformError::Conflict.into())
}

/// Deletes the records of a sealed journal once every program in it stands in a successor's journal.
///
/// The seal stays: without it, an owner that wakes up late could append again.
///
/// # Errors
///
/// Returns [`JournalError::Corrupt`] when the journal is not sealed or its seal cannot be decoded, and
/// [`JournalError::Platform`] when the object API fails; a repeated call goes on where this one stopped.
pub async fn release_sealed_journal(
    store: &dyn ObjectStore,
    incarnation: IncarnationId,
) -> Result<(), JournalError> {
    let seal_number = settle_seal(store, incarnation).await?;
    let store = PatientStore::new(store, RetryPatience::Few);
    for (key, version) in store.list(&journal_prefix(incarnation)).await? {
        if parse_key(incarnation, &key) == Some(JournalObject::Segment(seal_number)) {
            continue;
        }
        store.delete(&key, version).await?;
    }
    Ok(())
}

/// Marks the seal as settled and returns its number.
async fn settle_seal(
    store: &dyn ObjectStore,
    incarnation: IncarnationId,
) -> Result<SegmentNumber, JournalError> {
    let mut backoff = RetryBackoff::new(RetryPatience::Few);
    for _ in 0..SEAL_TRIES {
        let Some(JournalTail {
            number,
            version,
            mut segment,
        }) = read_tail(store, incarnation).await?
        else {
            return Err(JournalError::corrupt(segment_key(incarnation, 1), "it is absent"));
        };
        match &mut segment.body {
            SegmentBody::Seal(seal) if seal.settled => return Ok(number),
            SegmentBody::Seal(seal) => seal.settled = true,
            _ => return Err(JournalError::corrupt(segment.key(), "it is not a seal")),
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
    let store = PatientStore::new(store, RetryPatience::Few);
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
        // An absent one was replaced by a snapshot since the listing.
        if let Some(object) = store.read(&key).await? {
            return Ok(Some(JournalTail {
                number,
                version: object.version,
                segment: read_segment(incarnation, number, &object.value)?,
            }));
        }
    }
}
