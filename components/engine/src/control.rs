//! Control requests: load, cache, models and orders.

use bytes::Bytes;
use domain::{ProgramKey, ServiceName, TokenCount};
use errors::{CallError, ResultCode};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::client::{EngineClient, empty_request, json_request};
use crate::connection::{ExchangeError, OpenResponse, open_stream, send_request};

const BUSY_RETRY_MS: u64 = 1_000;

/// Load as the engine reports it, with a lag.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineLoad {
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Requests that the engine batches at a time.
    pub capacity: u32,
    /// Tokens not yet computed or generated.
    pub pending_tokens: TokenCount,
    /// Tokens that the prefix cache holds.
    pub cache_used: TokenCount,
    /// Tokens that the prefix cache can hold.
    pub cache_size: TokenCount,
}

/// Cache that the engine holds for one program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub struct CachedProgram {
    /// Program.
    pub program: ProgramKey,
    /// Tokens held.
    pub tokens: TokenCount,
}

/// Kind of a change in the engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The engine stores cache of the program.
    Stored,
    /// The engine has dropped cache of the program.
    Removed,
}

/// A change in the engine's cache; events are late and have gaps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub struct CacheEvent {
    /// Number in the engine's order.
    pub number: u64,
    /// Program.
    pub program: ProgramKey,
    /// Tokens held afterwards.
    pub tokens: TokenCount,
    /// Kind.
    pub kind: CacheEventKind,
}

/// Command to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderCommand {
    /// Load a model.
    Load,
    /// Unload a model.
    Unload,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    fencing: u64,
    command: OrderCommand,
    model: &'a ServiceName,
}

#[derive(Serialize)]
struct ReleaseBody {
    program: ProgramKey,
}

impl EngineClient {
    /// Returns the engine's load.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer in time or answers outside its protocol.
    pub async fn fetch_load(&self) -> Result<EngineLoad, CallError> {
        self.read_json("/load").await
    }

    /// Lists the programs whose cache the engine holds.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer in time or answers outside its protocol.
    pub async fn list_cache(&self) -> Result<Vec<CachedProgram>, CallError> {
        self.read_json("/cache").await
    }

    /// Returns the cache events behind a number.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer in time or answers outside its protocol.
    pub async fn fetch_cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, CallError> {
        self.read_json(&format!("/cache/events?after={after}")).await
    }

    /// Returns the loaded models.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer in time or answers outside its protocol.
    pub async fn list_models(&self) -> Result<Vec<ServiceName>, CallError> {
        self.read_json("/models").await
    }

    /// Releases the cache of a program; repeating it is harmless.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not confirm in time.
    pub async fn release_cache(&self, program: ProgramKey) -> Result<(), CallError> {
        let request = json_request(Method::POST, "/cache/release", &ReleaseBody { program })?;
        check_success(&self.control(request).await?)
    }

    /// Cancels a chat request; repeating it is harmless.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not confirm in time.
    pub async fn cancel_chat(&self, request_id: &str) -> Result<(), CallError> {
        let path = format!("/requests/{}/cancel", encode_segment(request_id));
        let answer = self.control(empty_request(Method::POST, &path)?).await?;
        if answer.status() == StatusCode::NOT_FOUND {
            Ok(())
        } else {
            check_success(&answer)
        }
    }

    /// Passes an order on with its fencing number.
    ///
    /// # Errors
    ///
    /// Returns `StaleTenure` for an old number, `QueueFull` while the weight store is busy, and an unknown outcome
    /// when the engine does not confirm in time.
    pub async fn send_order(
        &self,
        fencing: u64,
        command: OrderCommand,
        model: &ServiceName,
    ) -> Result<(), CallError> {
        let body = OrderBody {
            fencing,
            command,
            model,
        };
        let answer = self
            .control(json_request(Method::POST, "/orders", &body)?)
            .await?;
        match answer.status() {
            StatusCode::CONFLICT => Err(CallError::not_run(
                ResultCode::StaleTenure,
                "the engine has seen a larger fencing number",
            )),
            StatusCode::TOO_MANY_REQUESTS => {
                let error = CallError::not_run(ResultCode::QueueFull, "the weight store is busy");
                Err(error.with_retry_after_ms(BUSY_RETRY_MS))
            }
            _ => check_success(&answer),
        }
    }

    /// Tells whether the backend server takes connections.
    pub async fn accepts_connections(&self) -> bool {
        open_stream(self.options.address).await.is_ok()
    }

    async fn read_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let mut answer = self.control(empty_request(Method::GET, path)?).await?;
        check_success(&answer)?;
        let body = answer
            .read_body(self.options.answer_limit, self.options.control_timeout)
            .await;
        let body = body.map_err(control_error)?;
        serde_json::from_slice(&body).map_err(|error| {
            CallError::ran(
                ResultCode::BackendFailed,
                format!("malformed answer to {path}: {error}"),
            )
        })
    }

    async fn control(&self, request: Request<Full<Bytes>>) -> Result<OpenResponse, CallError> {
        let sent = send_request(self.options.address, request, self.options.control_timeout).await;
        sent.map_err(control_error)
    }
}

fn control_error(error: ExchangeError) -> CallError {
    match error {
        ExchangeError::NotSent(cause) => CallError::not_run(ResultCode::NoBackendServer, cause),
        ExchangeError::NoAnswer(cause) => CallError::unknown(cause),
        ExchangeError::TooLarge => CallError::ran(ResultCode::AnswerTooLarge, "answer too large"),
    }
}

fn check_success(answer: &OpenResponse) -> Result<(), CallError> {
    let status = answer.status();
    if status.is_success() {
        return Ok(());
    }
    Err(CallError::ran(
        ResultCode::BackendFailed,
        format!("status {}", status.as_u16()),
    ))
}

/// Encodes a text as one segment of a path.
pub(crate) fn encode_segment(text: &str) -> String {
    let encode = |byte: u8| match byte {
        b'-' | b'_' | b'.' | b'~' => char::from(byte).to_string(),
        _ if byte.is_ascii_alphanumeric() => char::from(byte).to_string(),
        _ => format!("%{byte:02X}"),
    };
    text.bytes().map(encode).collect()
}
