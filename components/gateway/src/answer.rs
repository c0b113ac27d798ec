//! Bodies of answers, and the error answers of the entry itself.

use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use errors::CallError;
use futures::Stream;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::memory::RequestMemory;

/// A stream of events to a caller.
pub(crate) type EventStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, StreamBroken>> + Send>>;

/// Body of an answer, with the memory of its request.
pub(crate) struct AnswerBody {
    /// Complete in memory, or a stream.
    content: Either<Full<Bytes>, StreamBody<EventStream>>,
    _memory: Option<RequestMemory>,
}

impl AnswerBody {
    /// Returns a body that is complete in memory.
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self {
            content: Either::Left(Full::new(bytes)),
            _memory: None,
        }
    }

    /// Returns a body whose parts arrive one after the other.
    pub(crate) fn stream(parts: EventStream) -> Self {
        Self {
            content: Either::Right(StreamBody::new(parts)),
            _memory: None,
        }
    }

    /// Returns the body with the memory of its request, which is released after the last part.
    pub(crate) fn with_memory(self, memory: RequestMemory) -> Self {
        Self {
            _memory: Some(memory),
            ..self
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.content).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}

/// The stream ended before its last event. The caller's connection is aborted, so that the answer does not
/// look complete.
#[derive(Debug, thiserror::Error)]
#[error("the stream ended early: {0}")]
pub(crate) struct StreamBroken(pub(crate) &'static str);

/// Builds the answer for an error: its number, run state and message as JSON, and a `Retry-After` header
/// where a retry may help.
pub(crate) fn error_answer(error: &CallError, retry_after_ms: u64) -> Response<AnswerBody> {
    let body = serde_json::json!({
        "code": error.code.number(),
        "run": error.run,
        "message": error.message,
    });
    let mut response = Response::new(AnswerBody::full(Bytes::from(body.to_string())));
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
