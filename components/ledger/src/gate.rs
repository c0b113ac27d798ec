//! Bounds what a ledger host receives in large messages from all connections together.
//!
//! Load pattern: many entries write turns of megabytes at the same time. The host holds such a message several times: in
//! the buffer of its connection, decoded, and encoded for the log. A connection whose next message is large is therefore
//! not read further until the messages before it leave room; the sender is slowed down by the flow control of TCP.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use slog::{Logger, info};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::record::LARGE_PAYLOAD_BYTES;

/// Size of the header of a message, which states its length.
const HEADER_BYTES: usize = 4;
/// Time from the moment at which there is room for a large message until it must have arrived. Its sender waits no longer
/// for the response.
const LARGE_MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest pause within a large message that has its room.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Divisor of the host's memory that gives the limit on large messages.
const MEMORY_DIVISOR: usize = 8;
/// Smallest limit in bytes.
const MIN_LIMIT_BYTES: usize = 1024 * 1024;

/// Limit on the bytes of the large messages that a host receives at the same time; clones share it.
#[derive(Debug, Clone)]
pub struct MessageGate {
    room: Arc<Semaphore>,
    limit_bytes: usize,
    log: Logger,
}

impl MessageGate {
    /// Creates the gate of a host with this memory in bytes.
    pub fn of_memory(memory_bytes: usize, log: Logger) -> Self {
        let most = u32::MAX as usize;
        let limit_bytes = (memory_bytes / MEMORY_DIVISOR).clamp(MIN_LIMIT_BYTES, most);
        info!(log, "large messages bounded"; "bytes" => limit_bytes);
        Self {
            room: Arc::new(Semaphore::new(limit_bytes)),
            limit_bytes,
            log,
        }
    }

    /// Returns the size of the largest message that the host accepts, in bytes.
    pub const fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Waits until there is room for a message of this size.
    async fn enter(self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes.min(self.limit_bytes)).unwrap_or(u32::MAX);
        self.room.acquire_many_owned(bytes).await.ok()
    }
}

/// What arrives next on a connection.
#[derive(Debug, Clone, Copy)]
enum MessagePart {
    Header { length: usize, count: usize },
    Body { left: usize },
}

/// Waits for the room of a large message.
type RoomFuture = BoxFuture<'static, Option<OwnedSemaphorePermit>>;

/// Connection on which large messages wait for room. A message holds its room until the next one begins or the connection
/// is closed.
pub(crate) struct GatedStream {
    stream: TcpStream,
    gate: MessageGate,
    part: MessagePart,
    /// Set while the large message that arrives waits for its room.
    entering: Option<RoomFuture>,
    /// Room of the large message that arrives or has arrived last.
    room: Option<OwnedSemaphorePermit>,
    /// Deadline of the large message that arrives.
    due: Option<MessageDeadline>,
}

/// Time by which more of a large message must have arrived, and by which all of it.
struct MessageDeadline {
    pause: Pin<Box<Sleep>>,
    end: Instant,
}

impl MessageDeadline {
    fn start() -> Self {
        let now = Instant::now();
        Self {
            pause: Box::pin(sleep_until(now + STALL_TIMEOUT)),
            end: now + LARGE_MESSAGE_TIMEOUT,
        }
    }

    /// Records that a part of the message has arrived.
    fn renew(&mut self) {
        let due = (Instant::now() + STALL_TIMEOUT).min(self.end);
        self.pause.as_mut().reset(due);
    }
}

impl GatedStream {
    pub(crate) const fn new(stream: TcpStream, gate: MessageGate) -> Self {
        Self {
            stream,
            gate,
            part: MessagePart::Header { length: 0, count: 0 },
            entering: None,
            room: None,
            due: None,
        }
    }

    /// Follows the messages in bytes that have been read.
    fn follow(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while let Some((&first, after)) = rest.split_first() {
            match self.part {
                MessagePart::Header { length, count } => {
                    let length = length << u8::BITS | usize::from(first);
                    rest = after;
                    self.part = if count + 1 < HEADER_BYTES {
                        let count = count + 1;
                        MessagePart::Header { length, count }
                    } else {
                        self.begin_message(length);
                        MessagePart::Body { left: length }
                    };
                }
                MessagePart::Body { left } => {
                    let read = left.min(rest.len());
                    rest = &rest[read..];
                    self.part = MessagePart::Body { left: left - read };
                }
            }
            if let MessagePart::Body { left: 0 } = self.part {
                self.due = None;
                self.part = MessagePart::Header { length: 0, count: 0 };
            }
        }
    }

    fn begin_message(&mut self, length: usize) {
        self.room = None;
        if length > LARGE_PAYLOAD_BYTES {
            self.entering = Some(self.gate.clone().enter(length).boxed());
        }
    }

    /// Waits for the room of the large message that arrives.
    fn poll_room(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(entering) = &mut self.entering {
            self.room = ready!(entering.as_mut().poll(cx));
            self.entering = None;
            self.due = Some(MessageDeadline::start());
        }
        if let Some(due) = &mut self.due
            && due.pause.as_mut().poll(cx).is_ready()
        {
            info!(self.gate.log, "connection closed, a large message is late"; "part" => ?self.part,
                "free_bytes" => self.gate.room.available_permits(), "limit" => self.gate.limit_bytes);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_room(cx))?;
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if let Some(due) = &mut self.due {
            due.renew();
        }
        self.follow(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
