//! Recovery: reading the state of a journal from the object API.

use std::collections::BTreeMap;

use domain::IncarnationId;
use futures::StreamExt;
use futures::stream;
use store::{ObjectStore, VersionedObject};

use crate::error::JournalError;
use crate::retry::{RetryLimit, RetryingStore};
use crate::seal::JournalSeal;
use crate::segment::{
    FoldManifest, JournalObject, Segment, SegmentBody, SegmentNumber, chunk_key, decode_framed_segment,
    decode_records, parse_key, segment_key, segment_prefix, unframe,
};
use crate::state::JournalState;

/// Limit for concurrent reads of objects.
const READS_IN_FLIGHT: usize = 8;
/// Number of tries to read a journal while its owner replaces segments by snapshots.
const READING_TRIES: u32 = 8;

/// Result of reading a journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplayedJournal {
    /// State at the end of the journal; empty when the seal is settled.
    pub state: JournalState,
    /// Seal at the end of the journal, if it is sealed.
    pub seal: Option<JournalSeal>,
    /// Number of lists and reads sent to the object API, without retries after transient failures.
    pub reads: u64,
}

/// Result of one try to read a journal.
#[derive(Debug)]
enum ReadingResult {
    Read(Box<ReplayedJournal>),
    /// A required object, whose key is given, is missing: it was lost, or replaced after the listing.
    Absent(String),
}

/// Reads the state and the seal of a journal.
///
/// # Errors
///
/// Returns [`JournalError::Corrupt`] for the first object that is missing or cannot be decoded, and
/// [`JournalError::Platform`] when the object API fails.
pub async fn replay_journal(
    store: &dyn ObjectStore,
    incarnation: IncarnationId,
) -> Result<ReplayedJournal, JournalError> {
    let mut reader = JournalReader {
        store: RetryingStore::new(store, RetryLimit::MaxTries),
        incarnation,
        reads: 0,
    };
    let mut absent = String::new();
    for _ in 0..READING_TRIES {
        match reader.read_journal().await? {
            ReadingResult::Read(replayed) => return Ok(*replayed),
            ReadingResult::Absent(key) => absent = key,
        }
    }
    Err(JournalError::corrupt(absent, "the object is missing"))
}

/// Segments after the current snapshot, with the manifest of that snapshot.
#[derive(Debug, Default)]
struct JournalSuffix {
    segments: BTreeMap<SegmentNumber, Segment>,
    fold: Option<FoldManifest>,
}

impl JournalSuffix {
    fn covers(&self) -> SegmentNumber {
        self.fold.as_ref().map_or(0, |fold| fold.covers)
    }

    fn insert(&mut self, segment: Segment) {
        if let SegmentBody::Fold(fold) = &segment.body
            && fold.covers >= self.covers()
        {
            self.fold = Some(fold.clone());
        }
        self.segments.insert(segment.number, segment);
    }
}

#[derive(Debug)]
struct JournalReader<'a> {
    store: RetryingStore<'a>,
    incarnation: IncarnationId,
    reads: u64,
}

impl JournalReader<'_> {
    async fn read_journal(&mut self) -> Result<ReadingResult, JournalError> {
        let numbers = self.list_segments().await?;
        let mut suffix = JournalSuffix::default();
        for batch in numbers.rchunks(READS_IN_FLIGHT) {
            if batch.last().is_some_and(|last| *last <= suffix.covers()) {
                break;
            }
            let mut objects = self.read_segments(batch).await?;
            // Newest first: segments that a snapshot covers are skipped without being decoded.
            while let Some((number, object)) = objects.pop() {
                if number <= suffix.covers() {
                    break;
                }
                let Some(object) = object else {
                    return Ok(ReadingResult::Absent(segment_key(self.incarnation, number)));
                };
                suffix.insert(decode_framed_segment(self.incarnation, number, &object.value)?);
            }
            if let Some(seal) = settled_seal(&suffix) {
                return Ok(self.replayed(JournalState::default(), Some(seal)));
            }
        }
        if let Some(number) = first_gap(&suffix, numbers.last().copied()) {
            return Ok(ReadingResult::Absent(segment_key(self.incarnation, number)));
        }
        self.replay_suffix(suffix).await
    }

    async fn replay_suffix(&mut self, suffix: JournalSuffix) -> Result<ReadingResult, JournalError> {
        let mut state = JournalState::default();
        if let Some(fold) = &suffix.fold {
            match self.read_snapshot(fold).await? {
                Ok(snapshot) => state = snapshot,
                Err(absent) => return Ok(ReadingResult::Absent(absent)),
            }
        }
        let seal = self.apply_segments(&mut state, suffix)?;
        Ok(self.replayed(state, seal))
    }

    fn replayed(&self, state: JournalState, seal: Option<JournalSeal>) -> ReadingResult {
        ReadingResult::Read(Box::new(ReplayedJournal {
            state,
            seal,
            reads: self.reads,
        }))
    }

    /// Returns the numbers of the segments in ascending order.
    async fn list_segments(&mut self) -> Result<Vec<SegmentNumber>, JournalError> {
        self.reads += 1;
        let listed = self.store.list(&segment_prefix(self.incarnation)).await?;
        let mut numbers = Vec::with_capacity(listed.len());
        for (key, _) in listed {
            match parse_key(self.incarnation, &key) {
                Some(JournalObject::Segment(number)) => numbers.push(number),
                _ => return Err(JournalError::corrupt(key, "the key is not a segment key")),
            }
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    async fn read_segments(
        &mut self,
        numbers: &[SegmentNumber],
    ) -> Result<Vec<(SegmentNumber, Option<VersionedObject>)>, JournalError> {
        let keys = numbers
            .iter()
            .map(|number| segment_key(self.incarnation, *number))
            .collect();
        let objects = self.read_objects(keys).await?;
        Ok(numbers.iter().copied().zip(objects).collect())
    }

    async fn read_objects(
        &mut self,
        keys: Vec<String>,
    ) -> Result<Vec<Option<VersionedObject>>, JournalError> {
        self.reads += keys.len() as u64;
        let store = self.store;
        let reads = keys.into_iter().map(|key| async move { store.read(&key).await });
        let mut answers = stream::iter(reads).buffered(READS_IN_FLIGHT);
        let mut objects = Vec::new();
        while let Some(answer) = answers.next().await {
            objects.push(answer?);
        }
        Ok(objects)
    }

    /// Reads a snapshot. Returns the key of a missing chunk as the inner error.
    async fn read_snapshot(
        &mut self,
        fold: &FoldManifest,
    ) -> Result<Result<JournalState, String>, JournalError> {
        let keys: Vec<String> = (0..fold.chunks.len())
            .map(|index| chunk_key(self.incarnation, fold.fold, index))
            .collect();
        let objects = self.read_objects(keys.clone()).await?;
        let mut encoded = Vec::new();
        for ((key, object), checksum) in keys.into_iter().zip(objects).zip(&fold.chunks) {
            let Some(object) = object else {
                return Ok(Err(key));
            };
            let chunk = unframe(&key, &object.value)?;
            if crc32fast::hash(chunk) != *checksum {
                return Err(JournalError::corrupt(
                    key,
                    "the chunk does not belong to the current snapshot",
                ));
            }
            encoded.extend_from_slice(chunk);
        }
        let key = format!("snapshot {} of journal {}", fold.fold, self.incarnation);
        let state =
            postcard::from_bytes(&encoded).map_err(|error| JournalError::corrupt(key, error.to_string()))?;
        Ok(Ok(state))
    }

    /// Applies the segments in ascending order and returns the seal, if there is one.
    fn apply_segments(
        &self,
        state: &mut JournalState,
        suffix: JournalSuffix,
    ) -> Result<Option<JournalSeal>, JournalError> {
        let covers = suffix.covers();
        let mut group = PartialGroup::default();
        let mut seal = None;
        for (number, segment) in suffix.segments.into_iter().filter(|(number, _)| *number > covers) {
            let key = segment_key(self.incarnation, number);
            if seal.is_some() {
                return Err(JournalError::corrupt(key, "the segment follows a seal"));
            }
            match segment.body {
                SegmentBody::Records { part, last, payload } => {
                    let Some(payload) = group.push(&key, part, last, &payload)? else {
                        continue;
                    };
                    for record in decode_records(&key, &payload)? {
                        state.apply(&record);
                    }
                }
                SegmentBody::Seal(found) => seal = Some(found),
                SegmentBody::Fold(_) => group.check_empty(&key)?,
            }
        }
        Ok(seal)
    }
}

/// Parts of a record group that spans several segments. The journal may end with an incomplete group, which
/// is ignored.
#[derive(Debug, Default)]
struct PartialGroup {
    parts: u32,
    payload: Vec<u8>,
}

impl PartialGroup {
    /// Adds a part and returns the payload of the group when the part completes it.
    fn push(
        &mut self,
        key: &str,
        part: u32,
        last: bool,
        payload: &[u8],
    ) -> Result<Option<Vec<u8>>, JournalError> {
        if part != self.parts {
            let reason = format!(
                "found part {part} of a record group, expected part {}",
                self.parts
            );
            return Err(JournalError::corrupt(key, reason));
        }
        self.payload.extend_from_slice(payload);
        self.parts += 1;
        if !last {
            return Ok(None);
        }
        self.parts = 0;
        Ok(Some(std::mem::take(&mut self.payload)))
    }

    fn check_empty(&self, key: &str) -> Result<(), JournalError> {
        if self.parts > 0 {
            return Err(JournalError::corrupt(
                key,
                "the snapshot segment is inside a record group",
            ));
        }
        Ok(())
    }
}

fn settled_seal(suffix: &JournalSuffix) -> Option<JournalSeal> {
    let (_, last) = suffix.segments.last_key_value()?;
    match &last.body {
        SegmentBody::Seal(seal) if seal.settled => Some(seal.clone()),
        _ => None,
    }
}

/// Returns the number of the first segment missing between the snapshot and the last segment.
fn first_gap(suffix: &JournalSuffix, last: Option<SegmentNumber>) -> Option<SegmentNumber> {
    let mut expected = suffix.covers() + 1..=last?;
    expected.find(|number| !suffix.segments.contains_key(number))
}
