//! Chat requests: one answer, read over as many connections as it takes.

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

/// A chat request.
#[derive(Debug, Clone, Serialize, bon::Builder)]
pub struct ChatOrder {
    /// Service whose model answers.
    pub model: ServiceName,
    /// Whole history.
    pub messages: Vec<ChatMessage>,
    /// Largest number of tokens to generate.
    pub max_tokens: TokenCount,
    /// Identity under which the engine knows the request.
    pub request_id: String,
    /// Program whose cache serves the request.
    pub program: ProgramKey,
    /// Place in the engine's order; smaller goes first.
    pub priority: u64,
    /// Text that the answer continues.
    #[builder(default)]
    pub prefix: String,
    /// Longest time of the whole request.
    #[serde(skip)]
    pub timeout: Duration,
    #[builder(default = true)]
    stream: bool,
}

/// How one connection ended.
enum ConnectionEnd {
    /// The answer is complete.
    Complete(TokenUsage),
    /// The connection was lost, went silent or left a gap.
    Lost,
    /// The engine does not know the request.
    Forgotten,
    /// No connection was made.
    Unreachable(String),
}

/// State of one chat request over all its connections.
struct ChatStream<'a> {
    client: &'a EngineClient,
    order: ChatOrder,
    progress: StreamProgress,
    posts: u32,
    posted: bool,
}

impl EngineClient {
    /// Runs a chat request and hands each new piece of text to `on_text`, in order and once.
    ///
    /// A connection that breaks or goes silent is replaced by a fresh one, which resumes behind the last byte.
    ///
    /// # Errors
    ///
    /// Returns "not run" when the engine refused the request or could never be reached, "outcome unknown" when it was
    /// lost or the time ran out, and "ran" when it answered with an error.
    pub async fn run_chat(
        &self,
        order: ChatOrder,
        on_text: &mut (dyn FnMut(&str) + Send),
    ) -> Result<TokenUsage, CallError> {
        let limit = order.timeout;
        let request_id = order.request_id.clone();
        let mut stream = ChatStream {
            client: self,
            order,
            progress: StreamProgress::default(),
            posts: 0,
            posted: false,
        };
        if let Ok(finished) = timeout(limit, stream.run(on_text)).await {
            return finished;
        }
        if stream.posts == 0 {
            return Err(unreachable("no connection before the timeout"));
        }
        // The engine forgets a request that nobody waits for; a failure costs its tokens only.
        let _ = self.cancel_chat(&request_id).await;
        Err(CallError::unknown("the answer did not come before the timeout"))
    }
}

impl ChatStream<'_> {
    async fn run(&mut self, on_text: &mut (dyn FnMut(&str) + Send)) -> Result<TokenUsage, CallError> {
        let mut backoff = RetryBackoff::new();
        let mut unreachable_since = None;
        loop {
            let before = self.progress.offset();
            match self.follow_connection(on_text).await? {
                ConnectionEnd::Complete(usage) => return Ok(usage),
                // A second answer would be mixed with the first one's text; the owner goes on from that text.
                ConnectionEnd::Forgotten if before > 0 => return Err(self.lost_error("request forgotten")),
                ConnectionEnd::Forgotten => self.posted = false,
                ConnectionEnd::Lost => unreachable_since = None,
                ConnectionEnd::Unreachable(cause) => {
                    let since = *unreachable_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= self.client.options.idle_timeout {
                        return Err(self.lost_error(&cause));
                    }
                }
            }
            if self.progress.offset() > before {
                backoff.reset();
            }
            backoff.pause().await;
        }
    }

    fn lost_error(&self, cause: &str) -> CallError {
        if self.posts == 0 {
            return unreachable(cause);
        }
        let error = CallError::unknown(format!("the backend server was lost: {cause}"));
        error.with_retry_after_ms(REFUSED_RETRY_MS)
    }

    async fn follow_connection(
        &mut self,
        on_text: &mut (dyn FnMut(&str) + Send),
    ) -> Result<ConnectionEnd, CallError> {
        let request = self.next_request()?;
        let posting = !self.posted;
        let repeated = self.posts > 0;
        // Counted before the request goes out: the timeout may strike at any point behind this one.
        self.posts += u32::from(posting);
        let options = self.client.options;
        let response = match send_request(options.address, request, options.idle_timeout).await {
            Ok(response) => response,
            Err(ExchangeError::NotSent(cause)) => {
                self.posts -= u32::from(posting);
                return Ok(ConnectionEnd::Unreachable(cause));
            }
            Err(_) => {
                self.posted = true;
                return Ok(ConnectionEnd::Lost);
            }
        };
        let status = response.status();
        if posting {
            check_accepted(status, repeated)?;
            self.posted = true;
        } else if status == StatusCode::NOT_FOUND {
            return Ok(ConnectionEnd::Forgotten);
        } else if !status.is_success() {
            return Err(failed_status(status));
        }
        self.read_events(response, on_text).await
    }

    fn next_request(&self) -> Result<Request<Full<Bytes>>, CallError> {
        if !self.posted {
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
                match self.progress.take_event(&event)? {
                    StreamStep::Text(text) => on_text(&text),
                    StreamStep::Nothing => {}
                    StreamStep::Gap => return Ok(ConnectionEnd::Lost),
                    StreamStep::Complete(usage) => return Ok(ConnectionEnd::Complete(usage)),
                }
            }
            if parser.pending_bytes() + self.progress.offset() > options.answer_limit {
                // The rest would be generated for nobody.
                let _ = self.client.cancel_chat(&self.order.request_id).await;
                return Err(CallError::ran(
                    ResultCode::AnswerTooLarge,
                    "the answer exceeds the limit",
                ));
            }
        }
        Ok(ConnectionEnd::Lost)
    }
}

/// Checks the status of a posted request.
///
/// # Errors
///
/// Fails unless the engine accepted the request; an earlier post of it may have run all the same.
fn check_accepted(status: StatusCode, repeated: bool) -> Result<(), CallError> {
    if status.is_success() {
        return Ok(());
    }
    if status.is_server_error() {
        return Err(failed_status(status));
    }
    let message = format!("the engine refused the request with status {}", status.as_u16());
    if repeated {
        return Err(CallError::unknown(message));
    }
    let code = match status {
        StatusCode::TOO_MANY_REQUESTS => ResultCode::QueueFull,
        StatusCode::NOT_FOUND | StatusCode::CONFLICT => ResultCode::NoBackendServer,
        _ => return Err(CallError::not_run(ResultCode::MalformedRequest, message)),
    };
    Err(CallError::not_run(code, message).with_retry_after_ms(REFUSED_RETRY_MS))
}

fn unreachable(cause: &str) -> CallError {
    CallError::not_run(ResultCode::NoBackendServer, cause).with_retry_after_ms(REFUSED_RETRY_MS)
}

fn failed_status(status: StatusCode) -> CallError {
    CallError::ran(ResultCode::BackendFailed, format!("status {}", status.as_u16()))
}
