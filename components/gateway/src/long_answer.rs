//! Passes on an answer that is too long to be read completely first.

use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http_body_util::BodyExt as _;
use hyper::body::{Frame, Incoming};
use slog::info;
use tokio::time::timeout_at;

use crate::answer::{AnswerBody, EventStream, StreamBroken};
use crate::memory::CallerConnection;
use crate::pool::ConnectionLease;
use crate::read_ahead::read_ahead;
use crate::state::{EntryState, LoadGuard};

/// Largest body of an answer.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// An answer whose first bytes have been read. It cannot be repeated any more once the caller has its head, and the
/// caller's connection is aborted if it breaks off.
pub(crate) struct LongAnswer {
    pub(crate) entry: Arc<EntryState>,
    pub(crate) attempt_id: String,
    pub(crate) server_name: String,
    /// Bytes that the caller has not received yet.
    pub(crate) read: BytesMut,
    pub(crate) body: Incoming,
    pub(crate) lease: ConnectionLease,
    pub(crate) _load: LoadGuard,
    pub(crate) deadline: Instant,
    /// Connection of the caller, if its memory is bounded.
    pub(crate) connection: Option<Arc<CallerConnection>>,
    /// Length of the body so far.
    pub(crate) bytes: usize,
}

impl LongAnswer {
    /// Returns the body of the answer to the caller.
    pub(crate) fn into_body(mut self) -> AnswerBody {
        let connection = self.connection.take();
        let frames: EventStream = Box::pin(stream::unfold(Some(self), |answer| async move {
            let mut answer = answer?;
            match answer.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(answer))),
                Ok(None) => {
                    answer.lease.finish();
                    None
                }
                Err(broken) => {
                    answer.log_broken(&broken);
                    Some((Err(broken), None))
                }
            }
        }));
        AnswerBody::stream(read_ahead(frames, connection))
    }

    /// Returns the next bytes, or `None` at the end of the answer.
    async fn next(&mut self) -> Result<Option<Bytes>, StreamBroken> {
        if !self.read.is_empty() {
            return Ok(Some(self.read.split().freeze()));
        }
        loop {
            let frame = match timeout_at(self.deadline.into(), self.body.frame()).await {
                Err(_) => return Err(StreamBroken("the deadline of the request has passed")),
                Ok(None) => return Ok(None),
                Ok(Some(Err(_))) => return Err(StreamBroken("the backend server broke off the answer")),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(bytes) = frame.into_data() else { continue };
            self.bytes += bytes.len();
            if self.bytes > MAX_ANSWER_BYTES {
                return Err(StreamBroken("the answer of the backend server is too long"));
            }
            return Ok(Some(bytes));
        }
    }

    fn log_broken(&self, broken: &StreamBroken) {
        if !self.entry.line_limiter.try_acquire() {
            self.entry.metrics.log_lines_dropped.inc();
            return;
        }
        info!(self.entry.log, "answer broken off"; "request" => &self.attempt_id, "server" => &self.server_name,
            "bytes" => self.bytes, "error" => broken.0);
    }
}
