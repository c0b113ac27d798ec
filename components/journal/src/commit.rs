//! Group commit: one append is in flight at a time, and the next one writes all records queued meanwhile.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::error::JournalError;
use crate::retry::{CreateResult, RetryLimit, RetryingStore};
use crate::seal::JournalSeal;
use crate::segment::{
    FoldManifest, MAX_PAYLOAD_BYTES, Segment, SegmentBody, SegmentNumber, decode_framed_segment,
    encode_segment,
};
use crate::writer::WriterState;

type DoneSender = oneshot::Sender<Result<(), JournalError>>;

/// Item that waits to be written to the journal.
#[derive(Debug)]
pub(crate) enum QueueItem {
    Records {
        payload: Vec<u8>,
        done: DoneSender,
    },
    Fold {
        manifest: FoldManifest,
        done: DoneSender,
    },
    Seal {
        seal: JournalSeal,
        done: DoneSender,
    },
}

/// Batches of records that are written together, with the senders for their results.
#[derive(Debug, Default)]
struct RecordGroup {
    payload: Vec<u8>,
    waiting: Vec<DoneSender>,
}

/// Task that writes the segments of one journal in order.
#[derive(Debug)]
pub(crate) struct CommitTask {
    state: Arc<WriterState>,
    items: mpsc::UnboundedReceiver<QueueItem>,
    /// Item that was received but could not be added to the previous group.
    deferred: Option<QueueItem>,
    next_number: SegmentNumber,
    /// Earliest start of the next append.
    next_start_at: Instant,
}

impl CommitTask {
    pub(crate) fn new(state: Arc<WriterState>, items: mpsc::UnboundedReceiver<QueueItem>) -> Self {
        Self {
            state,
            items,
            deferred: None,
            next_number: 1,
            next_start_at: Instant::now(),
        }
    }

    pub(crate) async fn run(mut self) {
        while let Some(item) = self.take_item().await {
            tokio::time::sleep_until(self.next_start_at).await;
            match item {
                QueueItem::Records { payload, done } => self.commit_group(payload, done).await,
                QueueItem::Fold { manifest, done } => {
                    let result = self.commit_fold(manifest).await;
                    send_result(done, result);
                }
                QueueItem::Seal { seal, done } => {
                    let result = self.commit_seal(seal).await;
                    send_result(done, result);
                }
            }
        }
    }

    async fn take_item(&mut self) -> Option<QueueItem> {
        match self.deferred.take() {
            Some(item) => Some(item),
            None => self.items.recv().await,
        }
    }

    async fn commit_group(&mut self, payload: Vec<u8>, done: DoneSender) {
        let group = self.gather_group(payload, done);
        let bytes = group.payload.len();
        let result = self.write_group(group.payload).await;
        self.state.release_buffer(bytes);
        for done in group.waiting {
            send_result(done, result.clone());
        }
    }

    /// Adds to a batch the queued batches that follow it and fit into the same segment.
    fn gather_group(&mut self, payload: Vec<u8>, done: DoneSender) -> RecordGroup {
        let mut group = RecordGroup {
            payload,
            waiting: vec![done],
        };
        while let Ok(item) = self.items.try_recv() {
            match item {
                QueueItem::Records { payload, done }
                    if group.payload.len() + payload.len() <= MAX_PAYLOAD_BYTES =>
                {
                    group.payload.extend_from_slice(&payload);
                    group.waiting.push(done);
                }
                other => {
                    self.deferred = Some(other);
                    break;
                }
            }
        }
        group
    }

    async fn write_group(&mut self, payload: Vec<u8>) -> Result<(), JournalError> {
        let count = payload.len().div_ceil(MAX_PAYLOAD_BYTES).max(1);
        for index in 0..count {
            let start = index * MAX_PAYLOAD_BYTES;
            let end = payload.len().min(start + MAX_PAYLOAD_BYTES);
            self.append_segment(SegmentBody::Records {
                part: u32::try_from(index).unwrap_or(u32::MAX),
                last: index + 1 == count,
                payload: payload[start..end].to_vec(),
            })
            .await?;
        }
        let mut recent = self.state.recent();
        recent.last_segment = self.next_number - 1;
        let last_segment = recent.last_segment;
        recent.groups.push((last_segment, payload));
        Ok(())
    }

    async fn commit_fold(&mut self, manifest: FoldManifest) -> Result<(), JournalError> {
        let covers = manifest.covers;
        self.append_segment(SegmentBody::Fold(manifest)).await?;
        let mut recent = self.state.recent();
        recent.last_segment = self.next_number - 1;
        recent.previously_covered = std::mem::replace(&mut recent.covers, covers);
        let previously_covered = recent.previously_covered;
        recent.groups.retain(|(segment, _)| *segment > previously_covered);
        Ok(())
    }

    async fn commit_seal(&mut self, seal: JournalSeal) -> Result<(), JournalError> {
        let successors = seal.successors.clone();
        self.append_segment(SegmentBody::Seal(seal)).await?;
        self.state.set_terminal_error(JournalError::Sealed { successors });
        Ok(())
    }

    /// Writes the next segment and retries it without limit. A permanent failure ends the journal.
    async fn append_segment(&mut self, body: SegmentBody) -> Result<(), JournalError> {
        if let Some(error) = self.state.terminal_error() {
            return Err(error);
        }
        let result = self.create_segment(body).await;
        if let Err(error) = &result {
            self.state.set_terminal_error(error.clone());
        }
        result
    }

    async fn create_segment(&mut self, body: SegmentBody) -> Result<(), JournalError> {
        tokio::time::sleep_until(self.next_start_at).await;
        self.next_start_at = Instant::now() + self.state.spacing;
        let segment = Segment::new(self.state.incarnation, self.next_number, body);
        let value = encode_segment(&segment)?;
        let store = RetryingStore::new(self.state.store.as_ref(), RetryLimit::Unlimited);
        let created = store
            .with_failure_sender(&self.state.write_failure)
            .create(&segment.key(), &value)
            .await;
        self.state.write_failure.send_replace(None);
        match created? {
            CreateResult::Created => {
                self.next_number += 1;
                Ok(())
            }
            CreateResult::Taken(other) => Err(self.explain_conflict(&segment, &other)),
        }
    }

    /// Returns the error for a segment whose key already has another object: a seal, or data from another
    /// writer.
    fn explain_conflict(&self, segment: &Segment, other: &Bytes) -> JournalError {
        match decode_framed_segment(self.state.incarnation, segment.number, other) {
            Ok(found) => match found.body {
                SegmentBody::Seal(seal) => JournalError::Sealed {
                    successors: seal.successors,
                },
                _ => JournalError::corrupt(segment.key(), "another writer created this segment"),
            },
            Err(error) => error,
        }
    }
}

/// Sends the result to the caller, who may have dropped the receiver.
fn send_result(done: DoneSender, result: Result<(), JournalError>) {
    drop(done.send(result));
}
