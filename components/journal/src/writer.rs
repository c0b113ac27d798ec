//! The owner's end of a journal.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use domain::{IncarnationId, ProgramState};
use store::{ObjectStore, PlatformError};
use tokio::sync::{mpsc, oneshot, watch};

use crate::commit::{CommitTask, QueueItem};
use crate::error::JournalError;
use crate::fold;
use crate::record::{BudgetSlice, JournalRecord};
use crate::seal::JournalSeal;
use crate::segment::{FoldManifest, SegmentNumber, encode_records};
use crate::state::JournalState;

/// What the owner remembers of its journal's end.
#[derive(Debug, Default)]
pub(crate) struct RecentGroups {
    /// Last segment of the last whole group.
    pub(crate) last_segment: SegmentNumber,
    /// Last segment that the snapshot in force covers.
    pub(crate) covers: SegmentNumber,
    /// Last segment that the snapshot before it covered.
    pub(crate) covered_before: SegmentNumber,
    /// Encoded records of each group since the snapshot before, with the group's last segment.
    pub(crate) groups: Vec<(SegmentNumber, Vec<u8>)>,
}

/// What the writers of a journal share with its commit task.
#[derive(Debug)]
pub(crate) struct WriterState {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) incarnation: IncarnationId,
    pub(crate) spacing: Duration,
    pub(crate) is_folding: AtomicBool,
    pub(crate) last_fold: AtomicU64,
    max_buffered_bytes: usize,
    buffered_bytes: AtomicUsize,
    recent: Mutex<RecentGroups>,
    end: watch::Sender<Option<JournalError>>,
    /// Failure by which the append in flight waits for its next try.
    pub(crate) write_failure: watch::Sender<Option<PlatformError>>,
}

impl WriterState {
    pub(crate) fn recent(&self) -> MutexGuard<'_, RecentGroups> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns why the journal takes no more records.
    pub(crate) fn end(&self) -> Option<JournalError> {
        self.end.borrow().clone()
    }

    pub(crate) fn set_end(&self, error: JournalError) {
        self.end.send_replace(Some(error));
    }

    pub(crate) fn unbuffer(&self, bytes: usize) {
        self.buffered_bytes.fetch_sub(bytes, Ordering::AcqRel);
    }

    /// Makes room for a batch; a batch larger than the whole buffer enters an empty one.
    fn buffer(&self, bytes: usize) -> Result<(), JournalError> {
        let room = |buffered: usize| {
            let after = buffered.saturating_add(bytes);
            (buffered == 0 || after <= self.max_buffered_bytes).then_some(after)
        };
        self.buffered_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, room)
            .map(|_| ())
            .map_err(|buffered_bytes| JournalError::Unavailable { buffered_bytes })
    }
}

/// Appends records to the journal of one incarnation; clones share the journal.
#[derive(Debug, Clone)]
pub struct JournalWriter {
    state: Arc<WriterState>,
    queue: mpsc::UnboundedSender<QueueItem>,
}

impl JournalWriter {
    /// Opens the journal of a fresh incarnation; writes nothing yet.
    ///
    /// `spacing` is the shortest time between the starts of two appends. While the object API is down, up to
    /// `max_buffered_bytes` of records wait.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn open(
        store: Arc<dyn ObjectStore>,
        incarnation: IncarnationId,
        spacing: Duration,
        max_buffered_bytes: usize,
    ) -> Self {
        let state = Arc::new(WriterState {
            store,
            incarnation,
            spacing,
            is_folding: AtomicBool::new(false),
            last_fold: AtomicU64::new(0),
            max_buffered_bytes,
            buffered_bytes: AtomicUsize::new(0),
            recent: Mutex::default(),
            end: watch::Sender::new(None),
            write_failure: watch::Sender::new(None),
        });
        let (queue, items) = mpsc::unbounded_channel();
        tokio::spawn(CommitTask::new(Arc::clone(&state), items).run());
        Self { state, queue }
    }

    /// Appends records and returns when they are durable.
    ///
    /// The records of one append stand in the journal together or not at all. A dropped wait does not withdraw them.
    /// Without records the append only proves that the journal is not sealed.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError::Sealed`] when the journal was sealed before the records came in, for this and every
    /// later append, and [`JournalError::Unavailable`] at once when the buffer is full.
    pub async fn append(&self, records: Vec<JournalRecord>) -> Result<(), JournalError> {
        if let Some(error) = self.state.end() {
            return Err(error);
        }
        let payload = encode_records(&records)?;
        drop(records);
        self.state.buffer(payload.len())?;
        let (done, durable) = oneshot::channel();
        self.enqueue(QueueItem::Records { payload, done }, durable).await
    }

    /// Returns the successors of a sealed journal.
    pub fn successors(&self) -> Option<Vec<IncarnationId>> {
        match self.state.end() {
            Some(JournalError::Sealed { successors }) => Some(successors),
            _ => None,
        }
    }

    /// Waits until an append finds the journal sealed, and returns the successors.
    pub async fn wait_sealed(&self) -> Vec<IncarnationId> {
        let mut end = self.state.end.subscribe();
        loop {
            if let Some(successors) = self.successors() {
                return successors;
            }
            if end.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns the failure of the object API for which the records wait.
    pub fn write_failure(&self) -> Option<PlatformError> {
        self.state.write_failure.borrow().clone()
    }

    /// Returns the number of segments that a recovery reads besides the snapshot.
    pub fn segments_since_fold(&self) -> u64 {
        let recent = self.state.recent();
        recent.last_segment - recent.covers
    }

    /// Writes a snapshot and deletes the segments and the snapshot that it replaces.
    ///
    /// The states hold at least every record whose append returned before the last but one call: records since then
    /// are applied to them again. While a snapshot is under way, another call returns at once.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError::Sealed`] when the journal is sealed, and the snapshot has no effect then. Returns
    /// [`JournalError::Platform`] when the object API fails; the next snapshot deletes what was left behind.
    pub async fn fold(
        &self,
        states: &[ProgramState],
        adopted: &[IncarnationId],
        slices: &[BudgetSlice],
    ) -> Result<(), JournalError> {
        if let Some(error) = self.state.end() {
            return Err(error);
        }
        let state = JournalState::new(states.to_vec(), adopted.to_vec(), slices.to_vec());
        fold::fold_journal(self, &self.state, state).await
    }

    /// Seals the journal behind every record appended so far, for a planned stop.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError::Sealed`] when a peer sealed the journal first.
    pub async fn seal_own(&self, successors: Vec<IncarnationId>) -> Result<(), JournalError> {
        let seal = JournalSeal::new(self.state.incarnation, successors);
        let (done, durable) = oneshot::channel();
        self.enqueue(QueueItem::Seal { seal, done }, durable).await
    }

    pub(crate) async fn append_fold(&self, manifest: FoldManifest) -> Result<(), JournalError> {
        let (done, durable) = oneshot::channel();
        self.enqueue(QueueItem::Fold { manifest, done }, durable).await
    }

    async fn enqueue(
        &self,
        item: QueueItem,
        durable: oneshot::Receiver<Result<(), JournalError>>,
    ) -> Result<(), JournalError> {
        if self.queue.send(item).is_err() {
            return Err(JournalError::Closed);
        }
        durable.await.unwrap_or(Err(JournalError::Closed))
    }
}
