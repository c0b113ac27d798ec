//! Passes a caller's request to the owner of its program and the output back, across changes of the owner.

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
use crate::link::{OWNER_PATIENCE, OwnerLink, READ_WAIT, find_owner, is_passing};

const SHORTEST_PAUSE_MS: u64 = 20;
const LONGEST_PAUSE_MS: u64 = 400;
const OWNER_RETRY_MS: u64 = 2000;

/// Place in a stream up to which the caller holds the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StreamPosition {
    /// Offset in bytes.
    pub(crate) offset: u64,
    /// Hash of the text before the offset.
    pub(crate) hash: u64,
}

impl StreamPosition {
    /// Returns the position behind a text.
    pub(crate) fn behind(text: &str) -> Self {
        Self {
            offset: text.len() as u64,
            hash: xxh3_64(text.as_bytes()),
        }
    }
}

/// Output of a call on its way to the caller.
#[derive(Debug)]
pub(crate) enum RelayEvent {
    /// Text and the position behind it.
    Text(String, StreamPosition),
    /// Identity and final state; nothing follows.
    End(Option<CallKey>, CallOutcome),
}

/// Passes one call on.
#[derive(Debug)]
pub(crate) struct CallRelay {
    context: Arc<EntryContext>,
    submitted: SubmittedCall,
    resume: Option<StreamPosition>,
    text: String,
    emitted: usize,
    sent: bool,
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
            emitted: 0,
            sent: false,
        }
    }

    /// Runs until the call has its final state; a caller that has gone away does not stop the call.
    pub(crate) async fn run(mut self, events: mpsc::Sender<RelayEvent>) {
        let mut until = Instant::now() + OWNER_PATIENCE;
        let mut pause_ms = SHORTEST_PAUSE_MS;
        loop {
            let progress = self.text.len();
            let (call, error) = match self.pass_once(&events).await {
                Ok((call, outcome)) => {
                    let _ = events.send(RelayEvent::End(Some(call), outcome)).await;
                    return;
                }
                Err(failure) => failure,
            };
            if self.text.len() > progress {
                until = Instant::now() + OWNER_PATIENCE;
                pause_ms = SHORTEST_PAUSE_MS;
            }
            if events.is_closed() {
                return;
            }
            if !is_passing(&error) || Instant::now() >= until {
                let last_word = self.last_word(error);
                let _ = events
                    .send(RelayEvent::End(call, CallOutcome::Failed(last_word)))
                    .await;
                return;
            }
            let jittered_ms = rand::rng().random_range(SHORTEST_PAUSE_MS..=pause_ms);
            sleep(Duration::from_millis(jittered_ms)).await;
            pause_ms = (pause_ms * 2).min(LONGEST_PAUSE_MS);
        }
    }

    /// Returns the final answer when the owner was not found in time.
    fn last_word(&self, error: CallError) -> CallError {
        if !is_passing(&error) {
            return error;
        }
        let message = format!("the owner of the program cannot be reached: {}", error.message);
        let mut refusal = CallError::not_run(ResultCode::OwnerUnreachable, message);
        if self.sent {
            refusal.run = RunState::OutcomeUnknown;
        }
        refusal.with_retry_after_ms(OWNER_RETRY_MS)
    }

    async fn pass_once(
        &mut self,
        events: &mpsc::Sender<RelayEvent>,
    ) -> Result<(CallKey, CallOutcome), (Option<CallKey>, CallError)> {
        let link = find_owner(&self.context, self.submitted.program)
            .await
            .map_err(|error| (None, error))?;
        self.submitted.delivered.clone_from(&self.text);
        let submitted = link.submit(&self.context, self.submitted.clone()).await;
        self.sent |= !matches!(&submitted, Err(error) if error.run == RunState::NotRun);
        let attachment = submitted.map_err(|error| (None, error))?;
        let call = attachment.call;
        let followed = self.follow(&link, call, attachment.attached, events).await;
        match followed {
            Ok(CallOutcome::Failed(error)) if is_passing(&error) => Err((Some(call), error)),
            Ok(outcome) => Ok((call, outcome)),
            Err(error) => Err((Some(call), error)),
        }
    }

    async fn follow(
        &mut self,
        link: &OwnerLink,
        call: CallKey,
        attached: bool,
        events: &mpsc::Sender<RelayEvent>,
    ) -> Result<CallOutcome, CallError> {
        if attached && !self.text.is_empty() {
            self.compare_text(link, call).await?;
        }
        loop {
            let offset = self.text.len() as u64;
            let wait_ms = u64::try_from(READ_WAIT.as_millis()).unwrap_or(u64::MAX);
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
                self.take_text(&chunk.text, events).await?;
            }
            let Some(outcome) = chunk.outcome else {
                continue;
            };
            if matches!(outcome, CallOutcome::Answered(_)) && self.held_back() {
                return Err(broken_stream());
            }
            return Ok(outcome);
        }
    }

    /// Checks after a change of the owner that the text goes on where the delivered one stopped.
    async fn compare_text(&self, link: &OwnerLink, call: CallKey) -> Result<(), CallError> {
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

    async fn take_text(&mut self, text: &str, events: &mpsc::Sender<RelayEvent>) -> Result<(), CallError> {
        self.text.push_str(text);
        if self.held_back() {
            return Ok(());
        }
        if let Some(position) = self.resume.take() {
            let held = usize::try_from(position.offset).unwrap_or(usize::MAX);
            let matches = self
                .text
                .get(..held)
                .is_some_and(|held| xxh3_64(held.as_bytes()) == position.hash);
            if !matches {
                return Err(broken_stream());
            }
            self.emitted = held;
        }
        let fresh = self.text[self.emitted..].to_owned();
        self.emitted = self.text.len();
        if !fresh.is_empty() {
            let event = RelayEvent::Text(fresh, StreamPosition::behind(&self.text));
            let _ = events.send(event).await;
        }
        Ok(())
    }

    /// Tells whether the text has not yet reached the place from which the caller resumes.
    fn held_back(&self) -> bool {
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
