//! Removal of the log files that hold little more than expired records.
//!
//! A record may be retained for much longer than its own retention: a turn as long as others continue it, an account as
//! long as its program goes on. What is still retained when its file expires is written to the current file first. A
//! record is so rewritten at most once in the retention of a file.

use std::time::Instant;

use slog::{Logger, info, warn};

use crate::host::LedgerHost;
use crate::log::LogError;
use crate::record::RecordKey;

/// Size of the records that are read and written at once, in bytes: a short delay for other writes.
const REWRITE_BYTES: usize = 256 * 1024;

/// Frees the disk of a host from files whose retention has expired.
#[derive(Debug)]
pub struct ReclaimLoop {
    host: LedgerHost,
    log: Logger,
    /// Files whose retained records are in later files, too.
    rewritten: Vec<u64>,
}

impl ReclaimLoop {
    /// Creates the loop of a host.
    pub const fn new(host: LedgerHost, log: Logger) -> Self {
        Self {
            host,
            log,
            rewritten: Vec::new(),
        }
    }

    /// Rewrites the retained records of files that have expired at `now`, and removes the files that an earlier round has
    /// rewritten: readers that found a record in one of them have read it since. A file that cannot be rewritten or removed
    /// stays, and the next round tries again.
    pub async fn round(&mut self, now: Instant) {
        for file in self.host.disk().expired_files(now) {
            let done = if self.rewritten.contains(&file) {
                self.remove(file).await
            } else {
                self.rewrite(file).await
            };
            if let Err(failure) = done {
                warn!(self.log, "log file not reclaimed, retrying"; "file" => file, "error" => %failure);
            }
        }
    }

    async fn rewrite(&mut self, file: u64) -> Result<(), LogError> {
        let disk = self.host.disk().clone();
        let keys = run_blocking(move || disk.keys_in_file(file)).await?;
        let retained = self.host.retained_in(&keys, file);
        let mut left: &[RecordKey] = &retained;
        while !left.is_empty() {
            let (count, records) = self.host.read_retained(left, REWRITE_BYTES).await?;
            left = &left[count..];
            self.host.disk().write_synced(&records).await?;
        }
        // The new locations are in use from here on.
        self.host.evict_payloads();
        self.rewritten.push(file);
        info!(self.log, "log file expired"; "file" => file, "records" => keys.len(), "rewritten" => retained.len());
        Ok(())
    }

    async fn remove(&mut self, file: u64) -> Result<(), LogError> {
        let disk = self.host.disk().clone();
        run_blocking(move || disk.remove_file(file)).await?;
        self.rewritten.retain(|rewritten| *rewritten != file);
        Ok(())
    }
}

/// Runs a call that blocks its thread on another one.
pub(crate) async fn run_blocking<Value: Send + 'static>(
    call: impl FnOnce() -> Result<Value, LogError> + Send + 'static,
) -> Result<Value, LogError> {
    tokio::task::spawn_blocking(call)
        .await
        .unwrap_or(Err(LogError::Closed))
}
