//! What is known of one chat stream: text received so far and the final usage.

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

/// Step that an event calls for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamStep {
    /// The event continues the text; the string is the part that was not known yet.
    Text(String),
    /// The event brings nothing new.
    Nothing,
    /// Text is missing before the event.
    Gap,
    /// The answer is complete.
    Complete(TokenUsage),
}

/// Position in a stream that may be read over several connections.
#[derive(Debug, Default)]
pub(crate) struct StreamProgress {
    offset: usize,
    usage: Option<TokenUsage>,
}

impl StreamProgress {
    /// Returns the offset in bytes of the next text.
    pub(crate) const fn offset(&self) -> usize {
        self.offset
    }

    /// Takes an event in; text that an earlier connection brought is dropped.
    ///
    /// # Errors
    ///
    /// Fails on an error event and on an event outside the protocol.
    pub(crate) fn take_event(&mut self, event: &SseEvent) -> Result<StreamStep, CallError> {
        if event.name == "error" {
            return Err(CallError::ran(ResultCode::BackendFailed, event.data.clone()));
        }
        if event.data == DONE {
            return self
                .usage
                .map(StreamStep::Complete)
                .ok_or_else(|| failed("the stream ended without usage"));
        }
        let chunk: ChunkBody = serde_json::from_str(&event.data)
            .map_err(|error| failed(&format!("malformed event: {error}")))?;
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
            Some(text) if !text.is_empty() => self.take_text(&text, event.id.as_deref()),
            _ => Ok(StreamStep::Nothing),
        }
    }

    fn take_text(&mut self, text: &str, id: Option<&str>) -> Result<StreamStep, CallError> {
        let end = id.and_then(|id| id.parse::<usize>().ok());
        let end = end.ok_or_else(|| failed("an event with text has no offset"))?;
        let start = end
            .checked_sub(text.len())
            .ok_or_else(|| failed("an event's offset is too small"))?;
        if start > self.offset {
            return Ok(StreamStep::Gap);
        }
        let fresh = text.get(self.offset - start..).unwrap_or_default();
        if fresh.is_empty() {
            return Ok(StreamStep::Nothing);
        }
        self.offset = end;
        Ok(StreamStep::Text(fresh.to_owned()))
    }
}

fn failed(message: &str) -> CallError {
    CallError::ran(ResultCode::BackendFailed, message)
}
