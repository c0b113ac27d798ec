//! Relays a caller's request to the owner of its program and the output back, also when the owner changes.

use std::sync::Arc;
use std::time::Duration;

use domain::{CallKey, CallOutcome};
use errors::{CallError, ResultCode, RunState};
use rand::RngExt as _;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use wire::{OutputRequest, SubmittedCall};
use xxhash_rust::xxh3::xxh3_64;

use crate::context::EntryContext;
use crate::link::{OUTPUT_POLL_TIMEOUT, OWNER_TIMEOUT, OwnerLink, find_owner, is_transient};

const MIN_BACKOFF_MS: u64 = 20;
const MAX_BACKOFF_MS: u64 = 400;
const RETRY_AFTER_MS: u64 = 2000;

/// Position in a stream up to which the caller has received the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StreamPosition {
    /// Offset in bytes.
    pub(crate) offset: u64,
    /// Hash of the text before the offset.
    pub(crate) hash: u64,
}

impl StreamPosition {
    /// Returns the position at the end of a text.
    pub(crate) fn after(text: &str) -> Self {
        Self {
            offset: text.len() as u64,
            hash: xxh3_64(text.as_bytes()),
        }
    }
}

/// Output of a call for its caller.
#[derive(Debug)]
pub(crate) enum RelayEvent {
    /// New text and the position at its end.
    Text(String, StreamPosition),
    /// Key, if the owner has assigned one, and outcome of the call. This is the last event.
    End(Option<CallKey>, CallOutcome),
}

/// Relay of one call.
#[derive(Debug)]
pub(crate) struct CallRelay {
    context: Arc<EntryContext>,
    submitted: SubmittedCall,
    resume: Option<StreamPosition>,
    text: String,
    emitted_bytes: usize,
    may_have_run: bool,
}

impl CallRelay {
    /// Creates the relay; the text before `resume` is not sent again.
    pub(crate) const fn new(
        context: Arc<EntryContext>,
        submitted: SubmittedCall,
        resume: Option<StreamPosition>,
    ) -> Self {
        Self {
            context,
            submitted,
            resume,
            text: String::new(),
            emitted_bytes: 0,
            may_have_run: false,
        }
    }

    /// Runs until the call has an outcome or a permanent error, there is no progress for [`OWNER_TIMEOUT`],
    /// or the caller has disconnected, which does not stop the call.
    pub(crate) async fn run(mut self, events: mpsc::Sender<RelayEvent>) {
        let mut deadline = Instant::now() + OWNER_TIMEOUT;
        let mut backoff_ms = MIN_BACKOFF_MS;
        loop {
            let progress = self.text.len();
            let (call, error) = match self.try_relay(&events).await {
                Ok((call, outcome)) => {
                    let _ = events.send(RelayEvent::End(Some(call), outcome)).await;
                    return;
                }
                Err(failure) => failure,
            };
            if self.text.len() > progress {
                deadline = Instant::now() + OWNER_TIMEOUT;
                backoff_ms = MIN_BACKOFF_MS;
            }
            if events.is_closed() {
                return;
            }
            if !is_transient(&error) || Instant::now() >= deadline {
                let final_error = self.final_error(error);
                let _ = events
                    .send(RelayEvent::End(call, CallOutcome::Failed(final_error)))
                    .await;
                return;
            }
            let jittered_ms = rand::rng().random_range(MIN_BACKOFF_MS..=backoff_ms);
            sleep(Duration::from_millis(jittered_ms)).await;
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    /// Returns the error for the caller. A transient error becomes 3010, with an unknown outcome if a call
    /// may have been submitted.
    fn final_error(&self, error: CallError) -> CallError {
        if !is_transient(&error) {
            return error;
        }
        let message = format!("the owner of the program cannot be reached: {}", error.message);
        let mut refusal = CallError::not_run(ResultCode::OwnerUnreachable, message);
        if self.may_have_run {
            refusal.run = RunState::OutcomeUnknown;
        }
        refusal.with_retry_after_ms(RETRY_AFTER_MS)
    }

    async fn try_relay(
        &mut self,
        events: &mpsc::Sender<RelayEvent>,
    ) -> Result<(CallKey, CallOutcome), (Option<CallKey>, CallError)> {
        let link = find_owner(&self.context, self.submitted.program)
            .await
            .map_err(|error| (None, error))?;
        self.submitted.delivered.clone_from(&self.text);
        let submitted = link.submit(&self.context, self.submitted.clone()).await;
        self.may_have_run |= !matches!(&submitted, Err(error) if error.run == RunState::NotRun);
        let attachment = submitted.map_err(|error| (None, error))?;
        let call = attachment.call;
        let followed = self.relay_output(&link, call, attachment.attached, events).await;
        match followed {
            Ok(CallOutcome::Failed(error)) if is_transient(&error) => Err((Some(call), error)),
            Ok(outcome) => Ok((call, outcome)),
            Err(error) => Err((Some(call), error)),
        }
    }

    async fn relay_output(
        &mut self,
        link: &OwnerLink,
        call: CallKey,
        attached: bool,
        events: &mpsc::Sender<RelayEvent>,
    ) -> Result<CallOutcome, CallError> {
        if attached && !self.text.is_empty() {
            self.verify_text(link, call).await?;
        }
        loop {
            let offset = self.text.len() as u64;
            let wait_ms = u64::try_from(OUTPUT_POLL_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
            let chunk = link
                .read(
                    &self.context,
                    OutputRequest {
                        call,
                        offset,
                        wait_ms,
                    },
                )
                .await?;
            if !chunk.text.is_empty() {
                self.receive_text(&chunk.text, events).await?;
            }
            let Some(outcome) = chunk.outcome else {
                continue;
            };
            if matches!(outcome, CallOutcome::Answered(_)) && self.is_before_resume_position() {
                return Err(broken_stream());
            }
            return Ok(outcome);
        }
    }

    /// Checks after a change of the owner that the call's text starts with the text received so far.
    async fn verify_text(&self, link: &OwnerLink, call: CallKey) -> Result<(), CallError> {
        let mut offset = 0;
        while offset < self.text.len() {
            let request = OutputRequest {
                call,
                offset: offset as u64,
                wait_ms: 1000,
            };
            let chunk = link.read(&self.context, request).await?;
            let shared = chunk.text.len().min(self.text.len() - offset);
            if chunk.text.as_bytes()[..shared] != self.text.as_bytes()[offset..offset + shared] {
                return Err(broken_stream());
            }
            offset += shared;
            if chunk.outcome.is_some() && offset < self.text.len() {
                return match chunk.outcome {
                    Some(CallOutcome::Failed(error)) => Err(error),
                    _ => Err(broken_stream()),
                };
            }
        }
        Ok(())
    }

    async fn receive_text(&mut self, text: &str, events: &mpsc::Sender<RelayEvent>) -> Result<(), CallError> {
        self.text.push_str(text);
        if self.is_before_resume_position() {
            return Ok(());
        }
        if let Some(position) = self.resume.take() {
            let resume_offset = usize::try_from(position.offset).unwrap_or(usize::MAX);
            let matches = self
                .text
                .get(..resume_offset)
                .is_some_and(|resume_offset| xxh3_64(resume_offset.as_bytes()) == position.hash);
            if !matches {
                return Err(broken_stream());
            }
            self.emitted_bytes = resume_offset;
        }
        let new_text = self.text[self.emitted_bytes..].to_owned();
        self.emitted_bytes = self.text.len();
        if !new_text.is_empty() {
            let event = RelayEvent::Text(new_text, StreamPosition::after(&self.text));
            let _ = events.send(event).await;
        }
        Ok(())
    }

    /// Returns whether the text received so far ends before the position from which the caller resumes.
    fn is_before_resume_position(&self) -> bool {
        self.resume
            .is_some_and(|position| position.offset > self.text.len() as u64)
    }
}

fn broken_stream() -> CallError {
    CallError::ran(
        ResultCode::StreamBroken,
        "the stream cannot be continued without mixing two answers",
    )
}
