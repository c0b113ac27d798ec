//! Makes records durable and applies them to the programs, with timeouts and retries for a slow or
//! unavailable object API.

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

/// Timeout for the journal, after which a request is refused or readers receive an interim error.
const JOURNAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time in milliseconds without a completed commit, while some are pending, after which the journal counts as
/// slow.
const SLOW_COMMIT_MS: u128 = 500;

/// Delay before a record is appended again that was rejected because the buffer of the journal was full.
const FULL_BUFFER_DELAY: Duration = Duration::from_millis(250);

/// Retry-After delay in milliseconds of requests that are refused because the object API is unavailable.
pub(crate) const PLATFORM_RETRY_AFTER_MS: u64 = 2000;

/// State of the commits in progress.
#[derive(Debug)]
pub(crate) struct CommitTracker {
    /// A commit holds the current lock for reading. A snapshot makes the other lock the current one and then
    /// waits for write access to the previous lock, which it gets after all earlier commits have been
    /// applied.
    locks: [RwLock<()>; 2],
    /// Number of snapshots so far. Its parity selects the current lock.
    snapshots: AtomicUsize,
    /// Number of commits in progress.
    pending: AtomicU64,
    /// Time in milliseconds at which the latest commit ended or, if none was pending, at which the next one
    /// began.
    progress_at: AtomicU64,
}

impl CommitTracker {
    /// Creates the state without pending commits.
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

    /// Waits until all commits that have already begun are applied. New commits are not delayed.
    async fn drain(&self) {
        let previous = self.snapshots.fetch_add(1, Ordering::AcqRel) % self.locks.len();
        drop(self.locks[previous].write().await);
    }
}

impl OwnerCore {
    /// Makes records durable and then applies them to the programs. The commit continues if the handle is
    /// dropped.
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

    /// Commits the records of a request with a timeout of five seconds.
    ///
    /// After a timeout, the records may still become durable. In that case `undo` is committed after them.
    ///
    /// # Errors
    ///
    /// Returns 3011 if the journal is sealed. Returns 3012, not run, if the journal does not store the
    /// records in time. Returns it at once if earlier commits are stalled for longer than the timeout.
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

    /// Commits the record of an event that has already happened. Retries while the buffer of the journal is
    /// full.
    ///
    /// `on_delay` runs once if the record is not durable within the timeout of five seconds.
    ///
    /// # Errors
    ///
    /// Fails if the journal is sealed or closed.
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

    /// Returns whether commits are pending and none has completed within `SLOW_COMMIT_MS`.
    pub(crate) fn is_journal_slow(&self) -> bool {
        self.stalled_ms() > SLOW_COMMIT_MS
    }

    /// Returns the time in milliseconds since the latest progress of the pending commits; 0 if none is
    /// pending.
    fn stalled_ms(&self) -> u128 {
        let commits = self.commits();
        if commits.pending.load(Ordering::Acquire) == 0 {
            return 0;
        }
        let progress = TimeMillis(commits.progress_at.load(Ordering::Acquire));
        u128::from(TimeMillis::now().since(progress))
    }

    /// Folds the journal: writes a snapshot of all programs and removes the records that it replaces.
    ///
    /// # Errors
    ///
    /// Fails if the journal is sealed or the object API is unavailable.
    pub(crate) async fn fold(&self) -> Result<(), JournalError> {
        self.commits().drain().await;
        let states: Vec<ProgramState> = self.table.all().iter().map(|cell| cell.program()).collect();
        self.journal()
            .fold(&states, &self.adopted(), &self.ceilings.rows())
            .await
    }
}

fn platform_refusal() -> CallError {
    let refusal = CallError::not_run(
        ResultCode::PlatformUnavailable,
        "the journal did not store the request: the object API does not answer",
    );
    refusal.with_retry_after_ms(PLATFORM_RETRY_AFTER_MS)
}

fn flatten_join(
    committed: Result<Result<(), JournalError>, tokio::task::JoinError>,
) -> Result<(), JournalError> {
    committed.unwrap_or(Err(JournalError::Closed))
}
