//! Requests, replies and usage of one call.

use errors::CallError;
use serde::{Deserialize, Serialize};

use crate::{ServiceName, TokenCount};

/// Author of a chat message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChatRole {
    /// Instructions from the author of the program.
    System,
    /// The caller.
    User,
    /// The model.
    Assistant,
    /// The answer of a tool.
    Tool,
}

/// One message of a program's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChatMessage {
    /// Author of the message.
    pub role: ChatRole,
    /// Text of the message.
    pub content: String,
}

/// Request for a tool or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainRequest {
    /// HTTP method.
    pub method: String,
    /// Path after the name of the service, including the query.
    pub path: String,
    /// Value of `Content-Type`, empty when absent.
    pub content_type: String,
    /// Body of the request.
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
    /// Body of the answer.
    pub body: Vec<u8>,
}

/// Payload of a call, by the kind of its service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallPayload {
    /// Request for a turn of a model; it carries only the messages that are new.
    Chat {
        /// Messages to append to the program's history.
        messages: Vec<ChatMessage>,
        /// Largest number of tokens to generate.
        max_tokens: TokenCount,
    },
    /// A request to a tool or a plain service.
    Plain(PlainRequest),
}

/// One call as submitted by its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRequest {
    /// Service that is called.
    pub service: ServiceName,
    /// Key under which the call runs at most once within its program.
    pub idempotency_key: String,
    /// Request to the service.
    pub payload: CallPayload,
}

/// Tokens consumed by one call, as counted by the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenUsage {
    /// Tokens of the prompt, including cached ones.
    pub prompt_tokens: TokenCount,
    /// Tokens of the prompt that were found in the engine's prefix cache.
    pub cached_tokens: TokenCount,
    /// Generated tokens.
    pub completion_tokens: TokenCount,
}

/// Answer of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallReply {
    /// Complete answer of a model's turn.
    Chat {
        /// Generated text.
        text: String,
        /// Consumed tokens.
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
    /// The call ended without an answer; the error states whether it ran.
    Failed(CallError),
}
