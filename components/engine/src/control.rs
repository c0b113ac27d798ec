//! Control requests to an engine: load, prefix cache, models and orders.

use bytes::Bytes;
use domain::{ProgramKey, ServiceName, TokenCount};
use errors::{CallError, ResultCode};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::client::{EngineClient, empty_request, json_request};
use crate::connection::{ExchangeError, OpenResponse, open_stream, send_request};

const BUSY_RETRY_MS: u64 = 1_000;

/// Load reported by an engine. The report lags behind the actual load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineLoad {
    /// Number of requests in the current batch.
    pub running: u32,
    /// Number of requests waiting inside the engine.
    pub waiting: u32,
    /// Largest number of requests in a batch.
    pub capacity: u32,
    /// Number of tokens that are still to be prefilled or generated.
    pub pending_tokens: TokenCount,
    /// Number of tokens in the prefix cache.
    pub cache_used: TokenCount,
    /// Capacity of the prefix cache in tokens.
    pub cache_size: TokenCount,
}

/// Part of the engine's prefix cache that belongs to one program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub struct CachedProgram {
    /// Program to which the cache entries belong.
    pub program: ProgramKey,
    /// Number of cached tokens.
    pub tokens: TokenCount,
}

/// Kind of a change in the engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The engine has stored tokens of the program.
    Stored,
    /// The engine has removed tokens of the program.
    Removed,
}

/// A change in the engine's prefix cache. Events arrive late, and some may be missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub struct CacheEvent {
    /// Sequence number that the engine assigns.
    pub number: u64,
    /// Program whose cached tokens changed.
    pub program: ProgramKey,
    /// Number of cached tokens of the program after the change.
    pub tokens: TokenCount,
    /// Kind of the change.
    pub kind: CacheEventKind,
}

/// Command in an order, as sent to the engine.
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
    /// Fetches the engine's load.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond in time or its response is an error or malformed.
    pub async fn fetch_load(&self) -> Result<EngineLoad, CallError> {
        self.fetch_json("/load").await
    }

    /// Lists the programs that have tokens in the engine's prefix cache.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond in time or its response is an error or malformed.
    pub async fn list_cache(&self) -> Result<Vec<CachedProgram>, CallError> {
        self.fetch_json("/cache").await
    }

    /// Fetches the cache events whose sequence number is larger than `after`.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond in time or its response is an error or malformed.
    pub async fn fetch_cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, CallError> {
        self.fetch_json(&format!("/cache/events?after={after}")).await
    }

    /// Lists the models that the engine has loaded.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond in time or its response is an error or malformed.
    pub async fn list_models(&self) -> Result<Vec<ServiceName>, CallError> {
        self.fetch_json("/models").await
    }

    /// Releases the cached tokens of a program. The request is idempotent.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not confirm in time.
    pub async fn release_cache(&self, program: ProgramKey) -> Result<(), CallError> {
        let request = json_request(Method::POST, "/cache/release", &ReleaseBody { program })?;
        check_success(&self.control(request).await?)
    }

    /// Cancels a chat request. The cancellation is idempotent: it also succeeds when the engine has no record
    /// of the chat request.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not confirm in time.
    pub async fn cancel_chat(&self, request_id: &str) -> Result<(), CallError> {
        let path = format!("/requests/{}/cancel", encode_segment(request_id));
        let response = self.control(empty_request(Method::POST, &path)?).await?;
        if response.status() == StatusCode::NOT_FOUND {
            Ok(())
        } else {
            check_success(&response)
        }
    }

    /// Sends an order to load or unload a model, under a fencing number.
    ///
    /// # Errors
    ///
    /// Returns `StaleTenure` when the engine has received a larger number, `QueueFull` while the weight store
    /// is busy, and an unknown outcome when the engine does not confirm in time.
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
        let response = self
            .control(json_request(Method::POST, "/orders", &body)?)
            .await?;
        match response.status() {
            StatusCode::CONFLICT => Err(CallError::not_run(
                ResultCode::StaleTenure,
                "the engine has received a larger fencing number",
            )),
            StatusCode::TOO_MANY_REQUESTS => {
                let error = CallError::not_run(ResultCode::QueueFull, "the weight store is busy");
                Err(error.with_retry_after_ms(BUSY_RETRY_MS))
            }
            _ => check_success(&response),
        }
    }

    /// Returns whether the backend server accepts a TCP connection.
    pub async fn accepts_connections(&self) -> bool {
        open_stream(self.options.address).await.is_ok()
    }

    async fn fetch_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let mut response = self.control(empty_request(Method::GET, path)?).await?;
        check_success(&response)?;
        let body = response
            .read_body(self.options.answer_limit, self.options.control_timeout)
            .await;
        let body = body.map_err(control_error)?;
        serde_json::from_slice(&body).map_err(|error| {
            CallError::ran(
                ResultCode::BackendFailed,
                format!("malformed response to {path}: {error}"),
            )
        })
    }

    async fn control(&self, request: Request<Full<Bytes>>) -> Result<OpenResponse, CallError> {
        let sent = send_request(
            self.options.address,
            request,
            Instant::now() + self.options.control_timeout,
        )
        .await;
        sent.map_err(control_error)
    }
}

fn control_error(error: ExchangeError) -> CallError {
    match error {
        ExchangeError::NotSent(cause) => CallError::not_run(ResultCode::NoBackendServer, cause),
        ExchangeError::NoResponse(cause) => CallError::unknown(cause),
        ExchangeError::TooLarge => CallError::ran(ResultCode::AnswerTooLarge, "response too large"),
    }
}

fn check_success(response: &OpenResponse) -> Result<(), CallError> {
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    Err(CallError::ran(
        ResultCode::BackendFailed,
        format!("the backend server responded with status {}", status.as_u16()),
    ))
}

/// Percent-encodes a text as one path segment.
pub(crate) fn encode_segment(text: &str) -> String {
    let encode = |byte: u8| match byte {
        b'-' | b'_' | b'.' | b'~' => char::from(byte).to_string(),
        _ if byte.is_ascii_alphanumeric() => char::from(byte).to_string(),
        _ => format!("%{byte:02X}"),
    };
    text.bytes().map(encode).collect()
}
