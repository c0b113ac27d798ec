//! Calls in flight at each host. They correct load reports that do not include them yet.

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

/// Calls that this entry sent to agents and that have not ended.
#[derive(Debug, Default)]
pub(crate) struct InFlightTable {
    records: Mutex<Vec<InFlightRecord>>,
}

impl InFlightTable {
    /// Adds a call that is being sent to the agent on a host, with an upper bound of its tokens.
    pub(crate) fn insert(&self, call: CallKey, host: HostName, tokens: TokenCount) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(InFlightRecord {
            call,
            host,
            tokens,
            sent_at: Instant::now(),
        });
    }

    /// Removes a call, if it is in the table.
    pub(crate) fn remove(&self, call: CallKey) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.retain(|record| record.call != call);
    }

    /// Returns the numbers of calls and tokens that were sent to a host after `since` and are still in
    /// flight.
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
