//! Requests, replies and usage of one call.

use errors::CallError;
use serde::{Deserialize, Serialize};

use crate::{ServiceName, TokenCount};

/// Author of a chat message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChatRole {
    /// Instructions of the program's author.
    System,
    /// The caller.
    User,
    /// The model.
    Assistant,
    /// A tool's answer.
    Tool,
}

/// One message of a program's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChatMessage {
    /// Author.
    pub role: ChatRole,
    /// Text.
    pub content: String,
}

/// Request for a tool or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainRequest {
    /// HTTP method.
    pub method: String,
    /// Path behind the service's name, with its query.
    pub path: String,
    /// Value of `Content-Type`, empty when absent.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Answer of a tool or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainReply {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, empty when absent.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// What a call asks of its service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallPayload {
    /// A turn of the model: the new messages only.
    Chat {
        /// Messages that the history does not hold yet.
        messages: Vec<ChatMessage>,
        /// Largest number of tokens to generate.
        max_tokens: TokenCount,
    },
    /// A request to a tool or a plain service.
    Plain(PlainRequest),
}

/// One call as its caller made it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRequest {
    /// Service that answers.
    pub service: ServiceName,
    /// Key under which the call runs at most once within its program.
    pub idempotency_key: String,
    /// Request for the service.
    pub payload: CallPayload,
}

/// Exact consumption of one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenUsage {
    /// Tokens of the prompt, cached ones included.
    pub prompt_tokens: TokenCount,
    /// Tokens of the prompt that the engine's cache held.
    pub cached_tokens: TokenCount,
    /// Tokens generated.
    pub completion_tokens: TokenCount,
}

/// Answer of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallReply {
    /// Whole text of a model's turn.
    Chat {
        /// Generated text.
        text: String,
        /// Consumption.
        usage: TokenUsage,
    },
    /// Answer of a tool or a plain service.
    Plain(PlainReply),
}

/// Final state of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The service answered.
    Answered(CallReply),
    /// The call ended without an answer.
    Failed(CallError),
}
