//! Progress of one chat stream: offset of the text received so far, and the token usage.

use domain::{TokenCount, TokenUsage};
use errors::{CallError, ResultCode};
use serde::Deserialize;

use crate::sse::SseEvent;

const DONE: &str = "[DONE]";

#[derive(Debug, Deserialize)]
struct ChunkBody {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    usage: Option<ChunkUsage>,
}

#[derive(Debug, Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: ChunkDelta,
}

#[derive(Debug, Default, Deserialize)]
struct ChunkDelta {
    content: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ChunkUsage {
    prompt_tokens: TokenCount,
    completion_tokens: TokenCount,
    #[serde(default)]
    prompt_tokens_details: PromptDetails,
}

#[derive(Debug, Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: TokenCount,
}

/// Result of handling one event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamStep {
    /// The event continues the text. The string is the part that was not received before.
    Text(String),
    /// The event has no new text.
    Nothing,
    /// Text before that of the event is missing.
    Gap,
    /// The answer is complete and has this token usage.
    Complete(TokenUsage),
}

/// Progress of a stream that may be read over several connections.
///
/// The engine sets the `id` of an event with text to the byte offset at which this text ends in the answer.
#[derive(Debug, Default)]
pub(crate) struct StreamProgress {
    offset: usize,
    usage: Option<TokenUsage>,
}

impl StreamProgress {
    /// Returns the byte offset in the answer at which the next text starts.
    pub(crate) const fn offset(&self) -> usize {
        self.offset
    }

    /// Handles an event. Text that was received over an earlier connection is dropped.
    ///
    /// # Errors
    ///
    /// Fails on an error event and on a malformed event.
    pub(crate) fn handle_event(&mut self, event: &SseEvent) -> Result<StreamStep, CallError> {
        if event.name == "error" {
            return Err(CallError::ran(ResultCode::BackendFailed, event.data.clone()));
        }
        if event.data == DONE {
            return self
                .usage
                .map(StreamStep::Complete)
                .ok_or_else(|| protocol_error("the stream ended without token usage"));
        }
        let chunk: ChunkBody = serde_json::from_str(&event.data)
            .map_err(|error| protocol_error(&format!("malformed event: {error}")))?;
        if let Some(usage) = chunk.usage {
            self.usage = Some(TokenUsage {
                prompt_tokens: usage.prompt_tokens,
                cached_tokens: usage.prompt_tokens_details.cached_tokens,
                completion_tokens: usage.completion_tokens,
            });
        }
        let text = chunk
            .choices
            .into_iter()
            .next()
            .and_then(|choice| choice.delta.content);
        match text {
            Some(text) if !text.is_empty() => self.handle_text(&text, event.id.as_deref()),
            _ => Ok(StreamStep::Nothing),
        }
    }

    fn handle_text(&mut self, text: &str, id: Option<&str>) -> Result<StreamStep, CallError> {
        let end = id.and_then(|id| id.parse::<usize>().ok());
        let end = end.ok_or_else(|| protocol_error("malformed event: text without a byte offset"))?;
        let start = end
            .checked_sub(text.len())
            .ok_or_else(|| protocol_error("malformed event: offset smaller than its text"))?;
        if start > self.offset {
            return Ok(StreamStep::Gap);
        }
        let new_text = text.get(self.offset - start..).unwrap_or_default();
        if new_text.is_empty() {
            return Ok(StreamStep::Nothing);
        }
        self.offset = end;
        Ok(StreamStep::Text(new_text.to_owned()))
    }
}

fn protocol_error(message: &str) -> CallError {
    CallError::ran(ResultCode::BackendFailed, message)
}
