//! Group commit: one append in flight, everything that waits goes out with the next.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::error::JournalError;
use crate::retry::{CreateResult, PatientStore, RetryPatience};
use crate::seal::JournalSeal;
use crate::segment::{
    FoldManifest, MAX_PAYLOAD_BYTES, Segment, SegmentBody, SegmentNumber, encode_segment, read_segment,
};
use crate::writer::WriterState;

type DoneSender = oneshot::Sender<Result<(), JournalError>>;

/// Something that waits for its place in the journal.
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

/// Batches of records that go out together.
#[derive(Debug, Default)]
struct RecordGroup {
    payload: Vec<u8>,
    waiting: Vec<DoneSender>,
}

/// Writes the segments of one journal in their order.
#[derive(Debug)]
pub(crate) struct CommitTask {
    state: Arc<WriterState>,
    items: mpsc::UnboundedReceiver<QueueItem>,
    /// Taken from the queue but left out of the group before it.
    held_back: Option<QueueItem>,
    next: SegmentNumber,
    next_start: Instant,
}

impl CommitTask {
    pub(crate) fn new(state: Arc<WriterState>, items: mpsc::UnboundedReceiver<QueueItem>) -> Self {
        Self {
            state,
            items,
            held_back: None,
            next: 1,
            next_start: Instant::now(),
        }
    }

    pub(crate) async fn run(mut self) {
        while let Some(item) = self.take_item().await {
            tokio::time::sleep_until(self.next_start).await;
            match item {
                QueueItem::Records { payload, done } => self.commit_group(payload, done).await,
                QueueItem::Fold { manifest, done } => {
                    let result = self.commit_fold(manifest).await;
                    answer(done, result);
                }
                QueueItem::Seal { seal, done } => {
                    let result = self.commit_seal(seal).await;
                    answer(done, result);
                }
            }
        }
    }

    async fn take_item(&mut self) -> Option<QueueItem> {
        match self.held_back.take() {
            Some(item) => Some(item),
            None => self.items.recv().await,
        }
    }

    async fn commit_group(&mut self, payload: Vec<u8>, done: DoneSender) {
        let group = self.gather_group(payload, done);
        let bytes = group.payload.len();
        let result = self.write_group(group.payload).await;
        self.state.unbuffer(bytes);
        for done in group.waiting {
            answer(done, result.clone());
        }
    }

    /// Adds to a batch the batches that wait behind it and fit into the same segment.
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
                    self.held_back = Some(other);
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
        recent.last_segment = self.next - 1;
        let last_segment = recent.last_segment;
        recent.groups.push((last_segment, payload));
        Ok(())
    }

    async fn commit_fold(&mut self, manifest: FoldManifest) -> Result<(), JournalError> {
        let covers = manifest.covers;
        self.append_segment(SegmentBody::Fold(manifest)).await?;
        let mut recent = self.state.recent();
        recent.last_segment = self.next - 1;
        recent.covered_before = std::mem::replace(&mut recent.covers, covers);
        let covered_before = recent.covered_before;
        recent.groups.retain(|(segment, _)| *segment > covered_before);
        Ok(())
    }

    async fn commit_seal(&mut self, seal: JournalSeal) -> Result<(), JournalError> {
        let successors = seal.successors.clone();
        self.append_segment(SegmentBody::Seal(seal)).await?;
        self.state.set_end(JournalError::Sealed { successors });
        Ok(())
    }

    /// Writes the next segment, however long the object API takes; a failure ends the journal.
    async fn append_segment(&mut self, body: SegmentBody) -> Result<(), JournalError> {
        if let Some(error) = self.state.end() {
            return Err(error);
        }
        let result = self.create_segment(body).await;
        if let Err(error) = &result {
            self.state.set_end(error.clone());
        }
        result
    }

    async fn create_segment(&mut self, body: SegmentBody) -> Result<(), JournalError> {
        tokio::time::sleep_until(self.next_start).await;
        self.next_start = Instant::now() + self.state.spacing;
        let segment = Segment::new(self.state.incarnation, self.next, body);
        let value = encode_segment(&segment)?;
        let store = PatientStore::new(self.state.store.as_ref(), RetryPatience::Endless);
        let created = store
            .reporting(&self.state.write_failure)
            .create(&segment.key(), &value)
            .await;
        self.state.write_failure.send_replace(None);
        match created? {
            CreateResult::Created => {
                self.next += 1;
                Ok(())
            }
            CreateResult::Taken(other) => Err(self.explain_conflict(&segment, &other)),
        }
    }

    /// Finds the reason why somebody else's object stands in the place of a segment.
    fn explain_conflict(&self, segment: &Segment, other: &Bytes) -> JournalError {
        match read_segment(self.state.incarnation, segment.number, other) {
            Ok(found) => match found.body {
                SegmentBody::Seal(seal) => JournalError::Sealed {
                    successors: seal.successors,
                },
                _ => JournalError::corrupt(segment.key(), "another writer's records stand in it"),
            },
            Err(error) => error,
        }
    }
}

/// Answers a waiting append; its caller may have left.
fn answer(done: DoneSender, result: Result<(), JournalError>) {
    drop(done.send(result));
}
