//! Connection of a caller that reports when bytes arrive, and that outlives the HTTP library's use of it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::memory::CallerConnection;

/// Connection of a caller; counted if its memory is bounded. When it is dropped, the receiver of [`CallerStream::new`] gets
/// the TCP stream, so that the connection can be closed in an orderly way.
#[derive(Debug)]
pub(crate) struct CallerStream {
    /// `None` only while it is dropped.
    stream: Option<TcpStream>,
    connection: Option<Arc<CallerConnection>>,
    finished: Option<oneshot::Sender<TcpStream>>,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        connection: Option<Arc<CallerConnection>>,
    ) -> (Self, oneshot::Receiver<TcpStream>) {
        let (finished, receiver) = oneshot::channel();
        let caller = Self {
            stream: Some(stream),
            connection,
            finished: Some(finished),
        };
        (caller, receiver)
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.as_mut().expect("taken on drop only"))
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if let (Some(stream), Some(finished)) = (self.stream.take(), self.finished.take()) {
            // Without a receiver, the connection is closed at once.
            drop(finished.send(stream));
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = self.stream().poll_read(cx, buf);
        if let Some(connection) = &self.connection
            && buf.filled().len() > before
        {
            connection.record_bytes();
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.stream().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(TcpStream::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(cx)
    }
}
