//! Bodies of answers, and the error answers of the entry itself.

use std::pin::Pin;

use bytes::Bytes;
use errors::CallError;
use futures::Stream;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// A stream of events to a caller.
pub(crate) type EventStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, StreamBroken>> + Send>>;
/// Body of an answer: complete in memory, or a stream.
pub(crate) type AnswerBody = Either<Full<Bytes>, StreamBody<EventStream>>;

/// The stream ended before its last event. The caller's connection is aborted, so that the answer does not
/// look complete.
#[derive(Debug, thiserror::Error)]
#[error("the stream ended early: {0}")]
pub(crate) struct StreamBroken(pub(crate) &'static str);

/// Returns a body that is complete in memory.
pub(crate) fn full_body(bytes: Bytes) -> AnswerBody {
    Either::Left(Full::new(bytes))
}

/// Builds the answer for an error: its number, run state and message as JSON, and a `Retry-After` header
/// where a retry may help.
pub(crate) fn error_answer(error: &CallError, retry_after_ms: u64) -> Response<AnswerBody> {
    let body = serde_json::json!({
        "code": error.code.number(),
        "run": error.run,
        "message": error.message,
    });
    let mut response = Response::new(full_body(Bytes::from(body.to_string())));
    *response.status_mut() =
        StatusCode::from_u16(error.code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let may_retry = matches!(
        response.status(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if may_retry {
        let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
