//! Requests to tools and plain services.

use std::time::Duration;

use bytes::Bytes;
use domain::{PlainReply, PlainRequest, ProgramKey};
use errors::{CallError, ResultCode};
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::backoff::RetryBackoff;
use crate::client::EngineClient;
use crate::connection::{ExchangeError, send_request};

const UNREACHABLE_RETRY_MS: u64 = 500;
/// One try of a repeatable request may take the request's timeout divided by this number.
const TRIES_PER_TIMEOUT: u32 = 3;

/// A request to a tool or a plain service.
#[derive(Debug, Clone, bon::Builder)]
pub struct PlainOrder {
    /// Method, path, content type and body.
    pub request: PlainRequest,
    /// Key by which the backend server may recognise a repeated request.
    pub idempotency_key: String,
    /// Program that makes the request.
    pub program: ProgramKey,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Timeout of the whole request, over all tries.
    pub timeout: Duration,
}

impl EngineClient {
    /// Sends a request to the backend server. A repeatable request is retried until the timeout, any other is
    /// sent at most once.
    ///
    /// # Errors
    ///
    /// Returns "not run" when no byte of the request was sent, "outcome unknown" when its response was lost,
    /// and "ran" when the backend server responded with a server error or the response exceeds the size
    /// limit.
    pub async fn run_plain(&self, order: &PlainOrder) -> Result<PlainReply, CallError> {
        let deadline = Instant::now() + order.timeout;
        if !order.repeatable {
            return self
                .try_plain(order, order.timeout)
                .await
                .map_err(PlainFailure::into_error);
        }
        let mut backoff = RetryBackoff::new();
        let mut last: Option<PlainFailure> = None;
        loop {
            // The deadline ends the try from within, so that the failure still says whether anything was sent.
            let left = deadline.saturating_duration_since(Instant::now());
            let try_timeout = left.min(order.timeout / TRIES_PER_TIMEOUT);
            let failure = match self.try_plain(order, try_timeout).await {
                Ok(reply) => return Ok(reply),
                Err(failure) => failure,
            };
            if !failure.may_retry() {
                return Err(failure.into_error());
            }
            let merged = match last.take() {
                Some(earlier) => earlier.merge(failure),
                None => failure,
            };
            if timeout_at(deadline, backoff.pause()).await.is_err() {
                return Err(merged.into_error());
            }
            last = Some(merged);
        }
    }

    async fn try_plain(&self, order: &PlainOrder, try_timeout: Duration) -> Result<PlainReply, PlainFailure> {
        let request = build_request(order).map_err(PlainFailure::Permanent)?;
        let deadline = Instant::now() + try_timeout;
        let mut response = send_request(self.options.address, request, deadline).await?;
        let body = response.read_body(self.options.answer_limit, try_timeout);
        let body = timeout_at(deadline, body).await;
        let body = body.map_err(|_elapsed| PlainFailure::Lost("response body timed out".to_owned()))??;
        let status = response.status();
        if status.is_server_error() {
            let message = format!("the backend server responded with status {}", status.as_u16());
            let error = CallError::ran(ResultCode::BackendFailed, message);
            let transient = [
                StatusCode::BAD_GATEWAY,
                StatusCode::SERVICE_UNAVAILABLE,
                StatusCode::GATEWAY_TIMEOUT,
            ];
            return Err(if transient.contains(&status) {
                PlainFailure::Transient(error)
            } else {
                PlainFailure::Permanent(error)
            });
        }
        let content_type = response.head().headers().get(CONTENT_TYPE);
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        Ok(PlainReply {
            status: status.as_u16(),
            content_type: content_type.to_owned(),
            body,
        })
    }
}

/// Failure of one try.
#[derive(Debug)]
enum PlainFailure {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have run, but its response is missing or incomplete.
    Lost(String),
    /// The backend server responded with an error that may be transient.
    Transient(CallError),
    /// A retry cannot succeed.
    Permanent(CallError),
}

impl PlainFailure {
    const fn may_retry(&self) -> bool {
        !matches!(self, Self::Permanent(_))
    }

    /// Merges the failures of two tries. A later try that was not sent does not show whether the earlier one
    /// ran, so the earlier failure is kept. Any other later failure replaces it.
    fn merge(self, later: Self) -> Self {
        match later {
            Self::NotSent(_) => self,
            other => other,
        }
    }

    fn into_error(self) -> CallError {
        match self {
            Self::NotSent(cause) => {
                let error = CallError::not_run(ResultCode::NoBackendServer, cause);
                error.with_retry_after_ms(UNREACHABLE_RETRY_MS)
            }
            Self::Lost(cause) => CallError::unknown(cause),
            Self::Transient(error) | Self::Permanent(error) => error,
        }
    }
}

impl From<ExchangeError> for PlainFailure {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotSent(cause) => Self::NotSent(cause),
            ExchangeError::NoResponse(cause) => Self::Lost(cause),
            ExchangeError::TooLarge => Self::Permanent(CallError::ran(
                ResultCode::AnswerTooLarge,
                "the response exceeds the size limit",
            )),
        }
    }
}

fn build_request(order: &PlainOrder) -> Result<Request<Full<Bytes>>, CallError> {
    let path = if order.request.path.starts_with('/') {
        order.request.path.clone()
    } else {
        format!("/{}", order.request.path)
    };
    let mut builder = Request::builder()
        .method(order.request.method.as_str())
        .uri(path)
        .header("Idempotency-Key", &order.idempotency_key)
        .header("Azuretide-Program", order.program.to_string());
    if !order.request.content_type.is_empty() {
        builder = builder.header(CONTENT_TYPE, &order.request.content_type);
    }
    let body = Full::new(Bytes::from(order.request.body.clone()));
    builder
        .body(body)
        .map_err(|error| CallError::not_run(ResultCode::MalformedRequest, error.to_string()))
}
