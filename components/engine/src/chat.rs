//! Chat requests: one answer, read over one or more connections.

use std::time::Duration;

use bytes::Bytes;
use domain::{ChatMessage, ProgramKey, ServiceName, TokenCount, TokenUsage};
use errors::{CallError, ResultCode};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use tokio::time::{Instant, timeout};

use crate::backoff::RetryBackoff;
use crate::client::{EngineClient, empty_request, json_request};
use crate::connection::{ExchangeError, OpenResponse, send_request};
use crate::control::encode_segment;
use crate::progress::{StreamProgress, StreamStep};
use crate::sse::SseParser;

const REFUSED_RETRY_MS: u64 = 500;

/// A chat request to an engine.
#[derive(Debug, Clone, Serialize, bon::Builder)]
pub struct ChatOrder {
    /// Service whose model answers.
    pub model: ServiceName,
    /// Complete history.
    pub messages: Vec<ChatMessage>,
    /// Largest number of tokens to generate.
    pub max_tokens: TokenCount,
    /// Identifier by which the request is resumed or cancelled at the engine.
    pub request_id: String,
    /// Program whose tokens in the prefix cache the engine reuses.
    pub program: ProgramKey,
    /// Priority in the engine's queue; a smaller value goes first.
    pub priority: u64,
    /// Text that the answer continues; empty for a new answer.
    #[builder(default)]
    pub prefix: String,
    /// Timeout of the whole request, over all connections.
    #[serde(skip)]
    pub timeout: Duration,
    #[builder(default = true)]
    stream: bool,
}

/// How one connection ended.
enum ConnectionEnd {
    /// The answer is complete.
    Complete(TokenUsage),
    /// The connection broke or stalled, or text was missing in the stream.
    Lost,
    /// The engine has no record of the request that was to be resumed.
    NotFound,
    /// No connection was made, for this reason.
    Unreachable(String),
}

/// State of one chat request across its connections.
struct ChatStream<'a> {
    client: &'a EngineClient,
    order: ChatOrder,
    progress: StreamProgress,
    /// Number of times the request was posted, including a post in progress.
    posts: u32,
    /// Whether the engine may have received the request; the next connection then resumes it.
    is_posted: bool,
}

impl EngineClient {
    /// Runs a chat request and passes each new piece of text to `on_text` in order and exactly once.
    ///
    /// When a connection breaks or stalls, the stream is resumed over a new connection after the last byte
    /// received.
    ///
    /// # Errors
    ///
    /// Returns "not run" when the engine refused the request or could not be reached at all, "outcome
    /// unknown" when the engine was lost or the timeout passed, and "ran" when the engine responded with an
    /// error.
    pub async fn run_chat(
        &self,
        order: ChatOrder,
        on_text: &mut (dyn FnMut(&str) + Send),
    ) -> Result<TokenUsage, CallError> {
        let total_timeout = order.timeout;
        let request_id = order.request_id.clone();
        let mut stream = ChatStream {
            client: self,
            order,
            progress: StreamProgress::default(),
            posts: 0,
            is_posted: false,
        };
        if let Ok(finished) = timeout(total_timeout, stream.run(on_text)).await {
            return finished;
        }
        if stream.posts == 0 {
            return Err(unreachable_error(
                "no connection to the backend server before the timeout",
            ));
        }
        // Stops the generation, as its text would be discarded. If the cancellation fails, the only cost is
        // wasted tokens.
        let _ = self.cancel_chat(&request_id).await;
        Err(CallError::unknown(
            "no complete answer from the backend server before the timeout",
        ))
    }
}

impl ChatStream<'_> {
    async fn run(&mut self, on_text: &mut (dyn FnMut(&str) + Send)) -> Result<TokenUsage, CallError> {
        let mut backoff = RetryBackoff::new();
        let mut unreachable_since = None;
        loop {
            let offset = self.progress.offset();
            match self.run_connection(on_text).await? {
                ConnectionEnd::Complete(usage) => return Ok(usage),
                // A new post would start a second answer, whose text does not continue the first one's. The
                // owner dispatches another attempt that continues the text received so far.
                ConnectionEnd::NotFound if offset > 0 => return Err(self.lost_error("request not found")),
                ConnectionEnd::NotFound => self.is_posted = false,
                ConnectionEnd::Lost => unreachable_since = None,
                ConnectionEnd::Unreachable(cause) => {
                    let since = *unreachable_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= self.client.options.idle_timeout {
                        return Err(self.lost_error(&cause));
                    }
                }
            }
            if self.progress.offset() > offset {
                backoff.reset();
            }
            backoff.pause().await;
        }
    }

    fn lost_error(&self, cause: &str) -> CallError {
        if self.posts == 0 {
            return unreachable_error(cause);
        }
        let error = CallError::unknown(format!(
            "stream from the backend server lost and not resumed: {cause}"
        ));
        error.with_retry_after_ms(REFUSED_RETRY_MS)
    }

    async fn run_connection(
        &mut self,
        on_text: &mut (dyn FnMut(&str) + Send),
    ) -> Result<ConnectionEnd, CallError> {
        let request = self.next_request()?;
        let is_post = !self.is_posted;
        let is_repeated = self.posts > 0;
        // Counted before the request is sent, because the timeout in `run_chat` may cancel this future at any
        // later await.
        self.posts += u32::from(is_post);
        let options = self.client.options;
        let response =
            match send_request(options.address, request, Instant::now() + options.idle_timeout).await {
                Ok(response) => response,
                Err(ExchangeError::NotSent(cause)) => {
                    self.posts -= u32::from(is_post);
                    return Ok(ConnectionEnd::Unreachable(cause));
                }
                Err(_) => {
                    self.is_posted = true;
                    return Ok(ConnectionEnd::Lost);
                }
            };
        let status = response.status();
        if is_post {
            check_accepted(status, is_repeated)?;
            self.is_posted = true;
        } else if status == StatusCode::NOT_FOUND {
            return Ok(ConnectionEnd::NotFound);
        } else if !status.is_success() {
            return Err(status_error(status));
        }
        self.read_events(response, on_text).await
    }

    fn next_request(&self) -> Result<Request<Full<Bytes>>, CallError> {
        if !self.is_posted {
            return json_request(Method::POST, "/v1/chat/completions", &self.order);
        }
        let id = encode_segment(&self.order.request_id);
        let path = format!("/requests/{id}/stream?offset={}", self.progress.offset());
        empty_request(Method::GET, &path)
    }

    async fn read_events(
        &mut self,
        mut response: OpenResponse,
        on_text: &mut (dyn FnMut(&str) + Send),
    ) -> Result<ConnectionEnd, CallError> {
        let options = self.client.options;
        let mut parser = SseParser::new();
        while let Ok(Some(bytes)) = response.next_bytes(options.idle_timeout).await {
            for event in parser.push(&bytes) {
                match self.progress.handle_event(&event)? {
                    StreamStep::Text(text) => on_text(&text),
                    StreamStep::Nothing => {}
                    StreamStep::Gap => return Ok(ConnectionEnd::Lost),
                    StreamStep::Complete(usage) => return Ok(ConnectionEnd::Complete(usage)),
                }
            }
            if parser.pending_bytes() + self.progress.offset() > options.answer_limit {
                // Stops the generation, as the remaining text would be discarded.
                let _ = self.client.cancel_chat(&self.order.request_id).await;
                return Err(CallError::ran(
                    ResultCode::AnswerTooLarge,
                    "the answer exceeds the size limit",
                ));
            }
        }
        Ok(ConnectionEnd::Lost)
    }
}

/// Checks the status of the response to a posted request.
///
/// # Errors
///
/// Fails unless the engine accepted the request. A refusal of a repeated post has an unknown outcome, because
/// an earlier post may have run.
fn check_accepted(status: StatusCode, is_repeated: bool) -> Result<(), CallError> {
    if status.is_success() {
        return Ok(());
    }
    if status.is_server_error() {
        return Err(status_error(status));
    }
    let message = format!("the engine refused the request with status {}", status.as_u16());
    if is_repeated {
        return Err(CallError::unknown(message));
    }
    let code = match status {
        StatusCode::TOO_MANY_REQUESTS => ResultCode::QueueFull,
        StatusCode::NOT_FOUND | StatusCode::CONFLICT => ResultCode::NoBackendServer,
        _ => return Err(CallError::not_run(ResultCode::MalformedRequest, message)),
    };
    Err(CallError::not_run(code, message).with_retry_after_ms(REFUSED_RETRY_MS))
}

fn unreachable_error(cause: &str) -> CallError {
    CallError::not_run(ResultCode::NoBackendServer, cause).with_retry_after_ms(REFUSED_RETRY_MS)
}

fn status_error(status: StatusCode) -> CallError {
    CallError::ran(
        ResultCode::BackendFailed,
        format!("the backend server responded with status {}", status.as_u16()),
    )
}
