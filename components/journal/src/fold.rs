//! Snapshots: the state of a journal, stored in chunks and put into effect by a fold segment.

use std::sync::atomic::Ordering;

use crate::error::JournalError;
use crate::retry::{CreateResult, RetryLimit, RetryingStore};
use crate::segment::{
    FoldManifest, JournalObject, MAX_PAYLOAD_BYTES, SegmentNumber, chunk_key, decode_records, encode, frame,
    journal_prefix, parse_key, segment_key,
};
use crate::state::JournalState;
use crate::writer::{JournalWriter, WriterState};

/// Marks a snapshot as in progress until the guard is dropped.
#[derive(Debug)]
struct FoldGuard<'a>(&'a WriterState);

impl<'a> FoldGuard<'a> {
    fn begin(state: &'a WriterState) -> Option<Self> {
        let was_folding = state.is_folding.swap(true, Ordering::AcqRel);
        if was_folding { None } else { Some(Self(state)) }
    }
}

impl Drop for FoldGuard<'_> {
    fn drop(&mut self) {
        self.0.is_folding.store(false, Ordering::Release);
    }
}

pub(crate) async fn fold_journal(
    writer: &JournalWriter,
    state: &WriterState,
    snapshot: JournalState,
) -> Result<(), JournalError> {
    let Some(guard) = FoldGuard::begin(state) else {
        return Ok(());
    };
    let (covers, snapshot) = catch_up(state, snapshot)?;
    let fold = state.last_fold.fetch_add(1, Ordering::AcqRel) + 1;
    let chunks = write_chunks(state, fold, &snapshot).await?;
    let manifest = FoldManifest { fold, covers, chunks };
    writer.append_fold(manifest).await?;
    trim(state, fold, covers).await?;
    drop(guard);
    Ok(())
}

/// Applies the record groups kept in memory to the snapshot. Returns the number of the last segment that the
/// snapshot then covers, and the snapshot.
fn catch_up(
    state: &WriterState,
    mut snapshot: JournalState,
) -> Result<(SegmentNumber, JournalState), JournalError> {
    let (covers, groups) = {
        let recent = state.recent();
        (recent.last_segment, recent.groups.clone())
    };
    for (segment, payload) in groups {
        let key = segment_key(state.incarnation, segment);
        for record in decode_records(&key, &payload)? {
            snapshot.apply(&record);
        }
    }
    Ok((covers, snapshot))
}

/// Writes the chunks of a snapshot and returns their checksums.
async fn write_chunks(
    state: &WriterState,
    fold: u64,
    snapshot: &JournalState,
) -> Result<Vec<u32>, JournalError> {
    let store = RetryingStore::new(state.store.as_ref(), RetryLimit::MaxTries);
    let encoded = encode("snapshot", snapshot)?;
    let mut checksums = Vec::new();
    for (index, chunk) in encoded.chunks(MAX_PAYLOAD_BYTES).enumerate() {
        let key = chunk_key(state.incarnation, fold, index);
        let created = store.create(&key, &frame(chunk)).await?;
        if created != CreateResult::Created {
            return Err(JournalError::corrupt(
                key,
                "another writer created this snapshot chunk",
            ));
        }
        checksums.push(crc32fast::hash(chunk));
    }
    Ok(checksums)
}

/// Deletes the segments that a snapshot covers, and the chunks of older snapshots.
async fn trim(state: &WriterState, fold: u64, covers: SegmentNumber) -> Result<(), JournalError> {
    let store = RetryingStore::new(state.store.as_ref(), RetryLimit::MaxTries);
    for (key, version) in store.list(&journal_prefix(state.incarnation)).await? {
        let is_replaced = match parse_key(state.incarnation, &key) {
            Some(JournalObject::Segment(number)) => number <= covers,
            Some(JournalObject::Chunk { fold: older }) => older < fold,
            None => false,
        };
        if is_replaced {
            store.delete(&key, version).await?;
            tokio::time::sleep(state.spacing).await;
        }
    }
    Ok(())
}
