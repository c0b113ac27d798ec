//! Audit trail: one object for each change, numbered without gaps.

use anyhow::{Context as _, Result};
use bytes::Bytes;
use domain::{HostName, TimeMillis};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use store::{ObjectStore, PlatformError, WriteCondition};

use crate::context::EntryContext;

const AUDIT_PREFIX: &str = "audit/";
const MAX_EVENTS_READ: usize = 200;

/// One change with its author.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AuditEvent {
    /// Number in the trail, from 1; zero before the event is written.
    pub(crate) number: u64,
    /// Time of the change.
    pub(crate) time: TimeMillis,
    /// Name of the operator, or `host:NAME` for a change that an entry made without an operator.
    pub(crate) operator: String,
    /// Action, such as `apply`, `drain` or `load`.
    pub(crate) action: String,
    /// Object of the action: a generation, program, host, incarnation or model.
    pub(crate) subject: String,
    /// Details, empty when there are none.
    pub(crate) detail: String,
}

impl AuditEvent {
    /// Creates an event for a change by an operator.
    pub(crate) fn operator(operator: &str, action: &str, subject: String, detail: String) -> Self {
        let time = TimeMillis::now();
        Self {
            number: 0,
            time,
            operator: operator.to_owned(),
            action: action.to_owned(),
            subject,
            detail,
        }
    }

    /// Creates an event for a change that the entry on `host` made without an operator.
    pub(crate) fn system(host: &HostName, action: &str, subject: String, detail: String) -> Self {
        Self::operator(&format!("host:{host}"), action, subject, detail)
    }

    /// Appends the event to the trail; a failure is logged and does not undo the change.
    pub(crate) async fn write_logged(self, context: &EntryContext) {
        info!(context.options.log, "audit"; "operator" => &self.operator, "action" => &self.action,
            "subject" => &self.subject, "detail" => &self.detail);
        if let Err(error) = self.write(context.options.store.as_ref()).await {
            warn!(context.options.log, "audit event not written"; "error" => format!("{error:#}"));
        }
    }

    async fn write(mut self, store: &dyn ObjectStore) -> Result<()> {
        const MAX_TRIES: usize = 16;
        let listed = store.list(AUDIT_PREFIX).await?;
        let last = listed
            .last()
            .and_then(|(key, _)| key.strip_prefix(AUDIT_PREFIX)?.parse::<u64>().ok());
        self.number = last.unwrap_or(0) + 1;
        for _ in 0..MAX_TRIES {
            let key = format!("{AUDIT_PREFIX}{:020}", self.number);
            let value = Bytes::from(serde_json::to_vec(&self)?);
            match store.write(&key, value.clone(), WriteCondition::Absent).await {
                Ok(_) => return Ok(()),
                Err(PlatformError::Conflict) => self.number += 1,
                Err(error) => {
                    let stored = store.read(&key).await.context(
                        "the write of the audit event failed and its result could not be read back",
                    )?;
                    if stored.is_some_and(|object| object.value == value) {
                        return Ok(());
                    }
                    return Err(error.into());
                }
            }
        }
        anyhow::bail!("audit event not written: every number tried belongs to another event")
    }
}

/// Reads the events whose number is larger than `after`, at most the latest 200.
///
/// # Errors
///
/// Fails when the object API does not answer or an event cannot be decoded.
pub(crate) async fn read_audit(store: &dyn ObjectStore, after: u64) -> Result<Vec<AuditEvent>> {
    let listed = store.list(AUDIT_PREFIX).await?;
    let event_number = |key: &str| {
        key.strip_prefix(AUDIT_PREFIX)
            .and_then(|number| number.parse::<u64>().ok())
    };
    let wanted: Vec<_> = listed
        .iter()
        .filter(|(key, _)| event_number(key).is_some_and(|number| number > after))
        .collect();
    let skipped = wanted.len().saturating_sub(MAX_EVENTS_READ);
    let mut events = Vec::new();
    for (key, _) in &wanted[skipped..] {
        if let Some(object) = store.read(key).await? {
            events.push(
                serde_json::from_slice(&object.value).with_context(|| format!("{key} cannot be decoded"))?,
            );
        }
    }
    Ok(events)
}
