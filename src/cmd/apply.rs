//! `azuretide apply`: applies a configuration text over its base generation.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use config::parse_configuration;
use domain::Generation;
use errors::ResultCode;
use hyper::{Method, StatusCode};
use serde_json::json;
use similar::TextDiff;
use tokio::time::sleep;

use crate::cli::EntryOptions;
use crate::client::{AdminClient, AdminRequest, EntryResponse, RequestFailure, is_outcome_unknown};
use crate::cmd::check::read_text;
use crate::error::{ConflictReport, ToolError};
use crate::response::{AuditRow, GenerationResponse};

const MAX_ROUNDS: u32 = 3;
const ROUND_DELAY: Duration = Duration::from_millis(300);

/// Checks the text, applies it and returns the line to print.
pub(crate) async fn run(options: &EntryOptions, base: Generation, file: &Path) -> Result<String, ToolError> {
    let text = read_text(file)?;
    parse_configuration(&text).map_err(ToolError::Faults)?;
    let client = AdminClient::new(options)?;
    let attempt = ApplyAttempt {
        client: &client,
        base,
        text: &text,
    };
    let generation = attempt.apply().await?;
    if options.json {
        return Ok(format!("{}\n", json!({ "generation": generation })));
    }
    Ok(format!("applied as generation {generation}\n"))
}

/// Result of sending the change to one entry.
enum ApplyStep {
    /// The text is in force under this generation.
    Applied(Generation),
    /// This entry did not apply the change; another entry may.
    NotApplied(ToolError),
    /// The change may have taken effect.
    Unknown(String),
    /// The change is refused; no entry can apply it.
    Refused(ToolError),
}

/// Configuration that an entry reports as current.
struct CurrentText {
    generation: Generation,
    text: String,
}

/// One change of the configuration, sent until its outcome is known.
struct ApplyAttempt<'a> {
    client: &'a AdminClient,
    base: Generation,
    text: &'a str,
}

impl ApplyAttempt<'_> {
    /// Sends the change, and fetches the configuration to find the outcome when a response is lost.
    ///
    /// Sending the change again is safe, because the base generation lets it take effect at most once.
    async fn apply(&self) -> Result<Generation, ToolError> {
        let mut failure = ToolError::Unreachable("no entry was tried".to_owned());
        let mut unknown_reason = None;
        for _ in 0..MAX_ROUNDS {
            for entry in self.client.entries() {
                match self.send(*entry).await {
                    ApplyStep::Applied(generation) => return Ok(generation),
                    ApplyStep::Refused(error) => return Err(error),
                    ApplyStep::NotApplied(error) => failure = error,
                    ApplyStep::Unknown(reason) => {
                        if let Some(outcome) = self.fetch_outcome().await {
                            return outcome;
                        }
                        unknown_reason = Some(reason);
                    }
                }
            }
            if unknown_reason.is_none() {
                return Err(failure);
            }
            sleep(ROUND_DELAY).await;
        }
        Err(ToolError::OutcomeUnknown(unknown_reason.unwrap_or_default()))
    }

    async fn send(&self, entry: SocketAddr) -> ApplyStep {
        let request = AdminRequest {
            method: Method::PUT,
            path: format!("configuration?base={}", self.base),
            body: Bytes::from(self.text.to_owned()),
        };
        let response = match self.client.send(entry, &request).await {
            Ok(response) => response,
            Err(RequestFailure::NotSent(reason)) => {
                return ApplyStep::NotApplied(ToolError::Unreachable(format!("{entry}: {reason}")));
            }
            Err(RequestFailure::Unknown(reason)) => return ApplyStep::Unknown(format!("{entry}: {reason}")),
        };
        if response.status.is_success() {
            let decoded = response.decode::<GenerationResponse>();
            return decoded.map_or_else(ApplyStep::Refused, |body| ApplyStep::Applied(body.generation));
        }
        self.classify_refusal(entry, response).await
    }

    async fn classify_refusal(&self, entry: SocketAddr, response: EntryResponse) -> ApplyStep {
        let status = response.status;
        match response.into_error() {
            ToolError::Refused(error) if error.code == ResultCode::GenerationConflict => {
                match self.fetch_current(entry).await {
                    Some(current) => self.compare_with_current(current).await,
                    None => ApplyStep::Refused(ToolError::Refused(error)),
                }
            }
            ToolError::Refused(error) if is_outcome_unknown(&error) => ApplyStep::Unknown(error.to_string()),
            ToolError::Protocol(reason) if status.is_server_error() => ApplyStep::Unknown(reason),
            error if status == StatusCode::SERVICE_UNAVAILABLE => ApplyStep::NotApplied(error),
            error => ApplyStep::Refused(error),
        }
    }

    /// Returns the outcome once an entry reports a generation later than the base; `None` while none does.
    async fn fetch_outcome(&self) -> Option<Result<Generation, ToolError>> {
        for entry in self.client.entries() {
            let current = self.fetch_current(*entry).await;
            if let Some(current) = current.filter(|current| current.generation > self.base) {
                return match self.compare_with_current(current).await {
                    ApplyStep::Applied(generation) => Some(Ok(generation)),
                    ApplyStep::NotApplied(error) | ApplyStep::Refused(error) => Some(Err(error)),
                    ApplyStep::Unknown(_) => None,
                };
            }
        }
        None
    }

    async fn fetch_current(&self, entry: SocketAddr) -> Option<CurrentText> {
        let response = self
            .client
            .send(entry, &AdminRequest::get("configuration"))
            .await
            .ok()?;
        let generation = response.generation.filter(|_| response.status.is_success())?;
        Some(CurrentText {
            generation,
            text: response.text(),
        })
    }

    /// Reports success when a later generation has exactly the operator's text: this change took effect and
    /// its response was lost, or another change had the same result. Otherwise reports the conflict.
    async fn compare_with_current(&self, current: CurrentText) -> ApplyStep {
        if current.generation > self.base && current.text == self.text {
            return ApplyStep::Applied(current.generation);
        }
        let header = format!("in force, generation {}", current.generation);
        let diff = TextDiff::from_lines(current.text.as_str(), self.text);
        let conflict = ConflictReport {
            base: self.base,
            current: current.generation,
            changes: self.changes_since_base().await,
            diff: diff
                .unified_diff()
                .context_radius(1)
                .header(&header, "yours")
                .to_string(),
        };
        ApplyStep::Refused(ToolError::Conflict(conflict))
    }

    /// Returns the applies since the base. The list is empty when the audit trail cannot be fetched, so that
    /// the conflict is reported nevertheless.
    async fn changes_since_base(&self) -> Vec<AuditRow> {
        let response = self.client.call(&AdminRequest::get("audit")).await;
        let events = response
            .and_then(|response| response.decode::<Vec<AuditRow>>())
            .unwrap_or_default();
        let later = |event: &AuditRow| {
            let generation = event
                .subject
                .strip_prefix("generation ")
                .and_then(|number| number.parse().ok());
            event.action == "apply" && generation.is_some_and(|number: u64| number > self.base.0)
        };
        events.into_iter().filter(later).collect()
    }
}
