//! Calls in flight at each host, to correct load reports that lag.

use std::sync::{Mutex, PoisonError};

use domain::{CallKey, HostName, TokenCount};
use tokio::time::Instant;

#[derive(Debug)]
struct InFlightRecord {
    call: CallKey,
    host: HostName,
    tokens: TokenCount,
    sent_at: Instant,
}

/// Calls handed out and not yet answered.
#[derive(Debug, Default)]
pub(crate) struct InFlightTable {
    records: Mutex<Vec<InFlightRecord>>,
}

impl InFlightTable {
    /// Records a call handed to a host.
    pub(crate) fn insert(&self, call: CallKey, host: HostName, tokens: TokenCount) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(InFlightRecord {
            call,
            host,
            tokens,
            sent_at: Instant::now(),
        });
    }

    /// Removes a call.
    pub(crate) fn remove(&self, call: CallKey) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.retain(|record| record.call != call);
    }

    /// Returns the calls and tokens sent to a host since a time.
    pub(crate) fn sent_since(&self, host: &HostName, since: Instant) -> (u32, TokenCount) {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let sent = records
            .iter()
            .filter(|record| record.host == *host && record.sent_at > since);
        sent.fold((0, 0), |(calls, tokens), record| {
            (calls + 1, tokens + record.tokens)
        })
    }
}
