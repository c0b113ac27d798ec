//! Bodies of requests to backend servers, which show that a request has been sent.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use ledger::PermitMark;

/// Body of a request to a backend server.
///
/// A connection looks at the body first when it writes the head of the request, which states the length. From then on the
/// request may reach the server, whoever waits for its answer; before that, it is dropped unsent when nobody does.
#[derive(Debug, Default)]
pub(crate) struct OutgoingBody {
    bytes: Full<Bytes>,
    permit: Option<PermitMark>,
}

impl OutgoingBody {
    /// Creates the body of a request that needs the permit of its workspace, if `permit` is given.
    pub(crate) fn new(bytes: Bytes, permit: Option<PermitMark>) -> Self {
        Self {
            bytes: Full::new(bytes),
            permit,
        }
    }

    fn mark_sent(&self) {
        if let Some(permit) = &self.permit {
            permit.use_up();
        }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let body = self.get_mut();
        body.mark_sent();
        Pin::new(&mut body.bytes).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.mark_sent();
        self.bytes.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.mark_sent();
        self.bytes.size_hint()
    }
}
