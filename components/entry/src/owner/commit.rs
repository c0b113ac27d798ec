//! Makes records durable and applies them to the programs, also while the object API is slow or down.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use domain::{ProgramState, TimeMillis};
use errors::{CallError, ResultCode};
use journal::{JournalError, JournalRecord};
use tokio::sync::RwLock;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::owner::core::{OwnerCore, journal_refusal};

/// Longest wait for the journal before a request gets its final answer.
const JOURNAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Age of the oldest commit under way from which on the journal counts as slow, in milliseconds.
const SLOW_COMMIT_MS: u128 = 500;

/// Pause before a record that found the buffer full is offered again.
const FULL_BUFFER_DELAY: Duration = Duration::from_millis(250);

/// Time after which a request refused for the object API may come back, in milliseconds.
pub(crate) const PLATFORM_RETRY_AFTER_MS: u64 = 2000;

/// Commits under way.
#[derive(Debug)]
pub(crate) struct CommitTracker {
    /// Commits enter by the door that is open; a snapshot opens the other one and waits until the first is empty.
    locks: [RwLock<()>; 2],
    snapshots: AtomicUsize,
    pending: AtomicU64,
    progress_at: AtomicU64,
}

impl CommitTracker {
    /// Creates a gate without commits.
    pub(crate) fn new() -> Self {
        Self {
            locks: [RwLock::new(()), RwLock::new(())],
            snapshots: AtomicUsize::new(0),
            pending: AtomicU64::new(0),
            progress_at: AtomicU64::new(TimeMillis::now().0),
        }
    }

    fn current_lock(&self) -> &RwLock<()> {
        &self.locks[self.snapshots.load(Ordering::Acquire) % self.locks.len()]
    }

    /// Waits until every commit begun so far is applied; commits begun meanwhile are not held up.
    async fn drain(&self) {
        let previous = self.snapshots.fetch_add(1, Ordering::AcqRel) % self.locks.len();
        drop(self.locks[previous].write().await);
    }
}

impl OwnerCore {
    /// Makes records durable, then applies them to the programs; goes on when the handle is dropped.
    pub(crate) fn commit(
        self: &Arc<Self>,
        records: Vec<JournalRecord>,
    ) -> JoinHandle<Result<(), JournalError>> {
        let owner = Arc::clone(self);
        if self.commits().pending.fetch_add(1, Ordering::AcqRel) == 0 {
            self.commits()
                .progress_at
                .store(TimeMillis::now().0, Ordering::Release);
        }
        tokio::spawn(async move {
            let committed = owner.append_and_apply(records).await;
            owner
                .commits()
                .progress_at
                .store(TimeMillis::now().0, Ordering::Release);
            owner.commits().pending.fetch_sub(1, Ordering::AcqRel);
            committed
        })
    }

    async fn append_and_apply(&self, records: Vec<JournalRecord>) -> Result<(), JournalError> {
        let _guard = self.commits().current_lock().read().await;
        self.journal().append(records.clone()).await?;
        for record in &records {
            if let Some(ceiling) = record.slice() {
                self.ceilings.raise(&ceiling);
            }
            if let Some(cell) = record.program().and_then(|key| self.table.find(key)) {
                cell.apply(record);
            }
        }
        Ok(())
    }

    /// Commits records of a request and gives up waiting after five seconds; the records may still become
    /// durable then, and `undo` is committed behind them.
    ///
    /// # Errors
    ///
    /// Returns 3011 when the journal is sealed and 3012, not run, when it does not take the records in time.
    pub(crate) async fn commit_or_undo(
        self: &Arc<Self>,
        records: Vec<JournalRecord>,
        undo: Vec<JournalRecord>,
    ) -> Result<(), CallError> {
        if self.stalled_ms() > JOURNAL_TIMEOUT.as_millis() {
            return Err(platform_refusal());
        }
        let mut committing = self.commit(records);
        match timeout(JOURNAL_TIMEOUT, &mut committing).await {
            Ok(committed) => flatten_join(committed).map_err(journal_refusal),
            Err(_elapsed) => {
                let owner = Arc::clone(self);
                tokio::spawn(async move {
                    if flatten_join(committing.await).is_ok() && !undo.is_empty() {
                        let _ = owner.commit(undo).await;
                    }
                });
                Err(platform_refusal())
            }
        }
    }

    /// Commits the record of something that has happened: offers it until the journal takes it or is sealed.
    ///
    /// `on_delay` runs once when the journal does not take it in time.
    ///
    /// # Errors
    ///
    /// Fails when the journal is sealed or closed.
    pub(crate) async fn commit_until_durable(
        self: &Arc<Self>,
        record: JournalRecord,
        on_delay: impl FnOnce(),
    ) -> Result<(), JournalError> {
        let mut committing = std::pin::pin!(self.commit_with_retry(record));
        if let Ok(committed) = timeout(JOURNAL_TIMEOUT, &mut committing).await {
            return committed;
        }
        on_delay();
        committing.await
    }

    async fn commit_with_retry(self: &Arc<Self>, record: JournalRecord) -> Result<(), JournalError> {
        loop {
            match flatten_join(self.commit(vec![record.clone()]).await) {
                Err(JournalError::Unavailable { .. }) => sleep(FULL_BUFFER_DELAY).await,
                committed => return committed,
            }
        }
    }

    /// Tells whether the object API has not answered the journal for a while.
    pub(crate) fn is_journal_slow(&self) -> bool {
        self.stalled_ms() > SLOW_COMMIT_MS
    }

    /// Returns for how long commits have waited without an answer, in milliseconds.
    fn stalled_ms(&self) -> u128 {
        let commits = self.commits();
        if commits.pending.load(Ordering::Acquire) == 0 {
            return 0;
        }
        let progress = TimeMillis(commits.progress_at.load(Ordering::Acquire));
        u128::from(TimeMillis::now().since(progress))
    }

    /// Writes a snapshot of all programs and trims the journal.
    ///
    /// # Errors
    ///
    /// Fails when the journal is sealed or the object API does not answer.
    pub(crate) async fn fold(&self) -> Result<(), JournalError> {
        self.commits().drain().await;
        let states: Vec<ProgramState> = self.table.all().iter().map(|cell| cell.program()).collect();
        self.journal()
            .fold(&states, &self.adopted(), &self.ceilings.rows())
            .await
    }
}

fn platform_refusal() -> CallError {
    let refusal = CallError::not_run(ResultCode::PlatformUnavailable, "the object API does not answer");
    refusal.with_retry_after_ms(PLATFORM_RETRY_AFTER_MS)
}

fn flatten_join(
    committed: Result<Result<(), JournalError>, tokio::task::JoinError>,
) -> Result<(), JournalError> {
    committed.unwrap_or(Err(JournalError::Closed))
}
