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

use crate::answer::{AuditRow, GenerationAnswer};
use crate::cli::EntryOptions;
use crate::client::{AdminClient, AdminRequest, CallFailure, EntryAnswer, is_unsettled};
use crate::cmd::check::read_text;
use crate::error::{ConflictReport, ToolError};

const ROUNDS: u32 = 3;
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Applies a text.
pub(crate) async fn run(options: &EntryOptions, base: Generation, file: &Path) -> Result<String, ToolError> {
    let text = read_text(file)?;
    parse_configuration(&text).map_err(ToolError::Faults)?;
    let client = AdminClient::new(options)?;
    let attempt = ApplyAttempt {
        client: &client,
        base,
        text: &text,
    };
    let generation = attempt.settle().await?;
    if options.json {
        return Ok(format!("{}\n", json!({ "generation": generation })));
    }
    Ok(format!("applied as generation {generation}\n"))
}

/// What one entry made of the change.
enum ApplyStep {
    /// The text is in force under the generation.
    Applied(Generation),
    /// The change was not made here; another entry may make it.
    Passed(ToolError),
    /// The change may have been made.
    Lost(String),
    /// The change cannot be made.
    Refused(ToolError),
}

/// The configuration that an entry shows.
struct PresentText {
    generation: Generation,
    text: String,
}

/// One change of the configuration, sent until its fate is known.
struct ApplyAttempt<'a> {
    client: &'a AdminClient,
    base: Generation,
    text: &'a str,
}

impl ApplyAttempt<'_> {
    /// Sends the change and settles a lost answer by reading the configuration back.
    ///
    /// The base makes it safe to send the change again: it takes effect once at most.
    async fn settle(&self) -> Result<Generation, ToolError> {
        let mut failure = ToolError::Unreachable("no entry was tried".to_owned());
        let mut lost = None;
        for _ in 0..ROUNDS {
            for entry in self.client.entries() {
                match self.send(*entry).await {
                    ApplyStep::Applied(generation) => return Ok(generation),
                    ApplyStep::Refused(error) => return Err(error),
                    ApplyStep::Passed(error) => failure = error,
                    ApplyStep::Lost(reason) => {
                        if let Some(settled) = self.read_back().await {
                            return settled;
                        }
                        lost = Some(reason);
                    }
                }
            }
            if lost.is_none() {
                return Err(failure);
            }
            sleep(ROUND_PAUSE).await;
        }
        Err(ToolError::Unsettled(lost.unwrap_or_default()))
    }

    async fn send(&self, entry: SocketAddr) -> ApplyStep {
        let request = AdminRequest {
            method: Method::PUT,
            path: format!("configuration?base={}", self.base),
            body: Bytes::from(self.text.to_owned()),
        };
        let answer = match self.client.send(entry, &request).await {
            Ok(answer) => answer,
            Err(CallFailure::NotSent(reason)) => {
                return ApplyStep::Passed(ToolError::Unreachable(format!("{entry}: {reason}")));
            }
            Err(CallFailure::Lost(reason)) => return ApplyStep::Lost(format!("{entry}: {reason}")),
        };
        if answer.status.is_success() {
            let decoded = answer.decode::<GenerationAnswer>();
            return decoded.map_or_else(ApplyStep::Refused, |answer| ApplyStep::Applied(answer.generation));
        }
        self.judge_refusal(entry, answer).await
    }

    async fn judge_refusal(&self, entry: SocketAddr, answer: EntryAnswer) -> ApplyStep {
        let status = answer.status;
        match answer.into_error() {
            ToolError::Refused(error) if error.code == ResultCode::GenerationConflict => {
                match self.read_at(entry).await {
                    Some(present) => self.judge_present(present).await,
                    None => ApplyStep::Refused(ToolError::Refused(error)),
                }
            }
            ToolError::Refused(error) if is_unsettled(&error) => ApplyStep::Lost(error.to_string()),
            ToolError::Protocol(reason) if status.is_server_error() => ApplyStep::Lost(reason),
            error if status == StatusCode::SERVICE_UNAVAILABLE => ApplyStep::Passed(error),
            error => ApplyStep::Refused(error),
        }
    }

    /// Returns the result when an entry shows that the base has been left behind.
    async fn read_back(&self) -> Option<Result<Generation, ToolError>> {
        for entry in self.client.entries() {
            let present = self.read_at(*entry).await;
            if let Some(present) = present.filter(|present| present.generation > self.base) {
                return match self.judge_present(present).await {
                    ApplyStep::Applied(generation) => Some(Ok(generation)),
                    ApplyStep::Passed(error) | ApplyStep::Refused(error) => Some(Err(error)),
                    ApplyStep::Lost(_) => None,
                };
            }
        }
        None
    }

    async fn read_at(&self, entry: SocketAddr) -> Option<PresentText> {
        let answer = self
            .client
            .send(entry, &AdminRequest::get("configuration"))
            .await
            .ok()?;
        let generation = answer.generation.filter(|_| answer.status.is_success())?;
        Some(PresentText {
            generation,
            text: answer.text(),
        })
    }

    /// A text in force that equals the operator's own is the lost answer of this change, or as good as it.
    async fn judge_present(&self, present: PresentText) -> ApplyStep {
        if present.generation > self.base && present.text == self.text {
            return ApplyStep::Applied(present.generation);
        }
        let header = format!("in force, generation {}", present.generation);
        let diff = TextDiff::from_lines(present.text.as_str(), self.text);
        let conflict = ConflictReport {
            base: self.base,
            present: present.generation,
            changes: self.changes_since_base().await,
            diff: diff
                .unified_diff()
                .context_radius(1)
                .header(&header, "yours")
                .to_string(),
        };
        ApplyStep::Refused(ToolError::Conflict(conflict))
    }

    /// Returns the applies since the base; an audit trail that cannot be read hides the conflict from nobody.
    async fn changes_since_base(&self) -> Vec<AuditRow> {
        let answer = self.client.call(&AdminRequest::get("audit")).await;
        let events = answer
            .and_then(|answer| answer.decode::<Vec<AuditRow>>())
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
