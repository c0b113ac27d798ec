//! Writer through which an owner appends to its journal.

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

/// Recent record groups, kept in memory so that a snapshot can include records that its input lacks.
#[derive(Debug, Default)]
pub(crate) struct RecentGroups {
    /// Number of the last segment that a complete group or a fold has written.
    pub(crate) last_segment: SegmentNumber,
    /// Number of the last segment that the current snapshot covers.
    pub(crate) covers: SegmentNumber,
    /// Number of the last segment that the previous snapshot covered.
    pub(crate) previously_covered: SegmentNumber,
    /// Encoded records of each group that the previous snapshot did not cover, with the number of the group's
    /// last segment.
    pub(crate) groups: Vec<(SegmentNumber, Vec<u8>)>,
}

/// State that the writers of a journal share with its commit task.
#[derive(Debug)]
pub(crate) struct WriterState {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) incarnation: IncarnationId,
    /// Shortest time between the starts of two appends.
    pub(crate) spacing: Duration,
    pub(crate) is_folding: AtomicBool,
    pub(crate) last_fold: AtomicU64,
    max_buffered_bytes: usize,
    buffered_bytes: AtomicUsize,
    recent: Mutex<RecentGroups>,
    /// Error that every later append returns, set when the journal was sealed or an append failed
    /// permanently.
    terminal_error: watch::Sender<Option<JournalError>>,
    /// Failure after which the append in flight is retried.
    pub(crate) write_failure: watch::Sender<Option<PlatformError>>,
}

impl WriterState {
    pub(crate) fn recent(&self) -> MutexGuard<'_, RecentGroups> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the error for which the journal accepts no more records, if there is one.
    pub(crate) fn terminal_error(&self) -> Option<JournalError> {
        self.terminal_error.borrow().clone()
    }

    pub(crate) fn set_terminal_error(&self, error: JournalError) {
        self.terminal_error.send_replace(Some(error));
    }

    pub(crate) fn release_buffer(&self, bytes: usize) {
        self.buffered_bytes.fetch_sub(bytes, Ordering::AcqRel);
    }

    /// Reserves buffer space for a batch. An empty buffer accepts a batch of any size.
    fn reserve_buffer(&self, bytes: usize) -> Result<(), JournalError> {
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
    /// Opens the journal of a new incarnation without writing to it.
    ///
    /// `spacing` is the shortest time between the starts of two appends. Up to `max_buffered_bytes` of
    /// records wait to be written, for example while the object API is unavailable.
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
            terminal_error: watch::Sender::new(None),
            write_failure: watch::Sender::new(None),
        });
        let (queue, items) = mpsc::unbounded_channel();
        tokio::spawn(CommitTask::new(Arc::clone(&state), items).run());
        Self { state, queue }
    }

    /// Appends records and returns when they are durable.
    ///
    /// The records of one append are stored atomically. Dropping the future does not withdraw records that
    /// are already queued. An append without records only proves that the journal is not sealed.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError::Sealed`] when the journal was sealed before the records were written, for this
    /// and every later append. Returns [`JournalError::Unavailable`] immediately when the buffer is full.
    pub async fn append(&self, records: Vec<JournalRecord>) -> Result<(), JournalError> {
        if let Some(error) = self.state.terminal_error() {
            return Err(error);
        }
        let payload = encode_records(&records)?;
        drop(records);
        self.state.reserve_buffer(payload.len())?;
        let (done, durable) = oneshot::channel();
        self.enqueue(QueueItem::Records { payload, done }, durable).await
    }

    /// Returns the successors when an append has found the journal sealed, otherwise `None`.
    pub fn successors(&self) -> Option<Vec<IncarnationId>> {
        match self.state.terminal_error() {
            Some(JournalError::Sealed { successors }) => Some(successors),
            _ => None,
        }
    }

    /// Waits until an append finds the journal sealed, and returns the successors.
    pub async fn wait_sealed(&self) -> Vec<IncarnationId> {
        let mut terminal_error = self.state.terminal_error.subscribe();
        loop {
            if let Some(successors) = self.successors() {
                return successors;
            }
            if terminal_error.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns the failure of the object API after which the append in flight is retried, if there is one.
    pub fn write_failure(&self) -> Option<PlatformError> {
        self.state.write_failure.borrow().clone()
    }

    /// Returns the number of segments since the current snapshot, which recovery reads in addition to it.
    pub fn segments_since_fold(&self) -> u64 {
        let recent = self.state.recent();
        recent.last_segment - recent.covers
    }

    /// Writes a snapshot and deletes the segments and the snapshot that it replaces.
    ///
    /// The given states must contain every record whose append returned before the second-to-last previous
    /// call. Later records are kept in memory and are applied to the states again. While a snapshot is in
    /// progress, another call returns immediately.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError::Sealed`] when the journal is sealed. The snapshot then has no effect. Returns
    /// [`JournalError::Platform`] when the object API fails. The next snapshot deletes any objects that are
    /// left over.
    pub async fn fold(
        &self,
        states: &[ProgramState],
        adopted: &[IncarnationId],
        slices: &[BudgetSlice],
    ) -> Result<(), JournalError> {
        if let Some(error) = self.state.terminal_error() {
            return Err(error);
        }
        let state = JournalState::new(states.to_vec(), adopted.to_vec(), slices.to_vec());
        fold::fold_journal(self, &self.state, state).await
    }

    /// Seals the journal after all records appended so far. Used when the owner stops as planned.
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
