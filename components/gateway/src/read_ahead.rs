//! Reads an answer on while its caller takes it slowly, so that the backend server does not break it off.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use bytes::{Bytes, BytesMut};
use futures::{StreamExt as _, stream};
use hyper::body::Frame;
use tokio::sync::Notify;
use tokio_util::task::AbortOnDropHandle;

use crate::answer::{EventStream, StreamBroken};
use crate::holders::HeldUse;
use crate::memory::{CallerConnection, MemoryLease};
use crate::state::lock;

/// Smallest and largest size of a chunk in bytes. Small parts of an answer share a chunk, so that the queue does not
/// occupy much more memory than its bytes.
const CHUNK_BYTES: (usize, usize) = (1024, 16 * 1024);

/// A part of the answer, with the lease on its memory.
struct Chunk {
    bytes: BytesMut,
    capacity: usize,
    lease: MemoryLease,
}

/// Parts of an answer that wait for the caller.
#[derive(Default)]
struct WaitingParts {
    chunks: VecDeque<Chunk>,
    /// Bytes that the chunks occupy.
    held: usize,
    /// How the answer has ended.
    end: Option<Result<(), StreamBroken>>,
}

/// The queue between the task that reads the answer and the connection that writes it.
struct AnswerQueue {
    connection: Arc<CallerConnection>,
    parts: Mutex<WaitingParts>,
    /// Wakes the connection.
    filled: Notify,
    /// Wakes the reading task.
    drained: Notify,
}

/// Returns the answer, which a task of its own reads ahead up to the bound of the connection. The task ends when the
/// returned stream is dropped. Where answers are not read ahead, this one is read as the caller takes it.
pub(crate) fn read_ahead(answer: EventStream, connection: Option<Arc<CallerConnection>>) -> EventStream {
    let Some(connection) = connection.filter(|connection| connection.expects_pressure()) else {
        return answer;
    };
    let queue = Arc::new(AnswerQueue {
        connection,
        parts: Mutex::default(),
        filled: Notify::new(),
        drained: Notify::new(),
    });
    let reading = AbortOnDropHandle::new(tokio::spawn(read_on(answer, Arc::clone(&queue))));
    Box::pin(stream::unfold(Some((queue, reading)), |state| async move {
        let (queue, reading) = state?;
        match queue.take().await? {
            Ok(bytes) => Some((Ok(Frame::data(bytes)), Some((queue, reading)))),
            Err(broken) => Some((Err(broken), None)),
        }
    }))
}

async fn read_on(mut answer: EventStream, queue: Arc<AnswerQueue>) {
    let bound = usize::try_from(queue.connection.read_ahead_bytes()).unwrap_or(usize::MAX);
    while let Some(part) = answer.next().await {
        match part.map(Frame::into_data) {
            Ok(Ok(bytes)) => queue.push(&bytes),
            Ok(Err(_trailers)) => {}
            Err(broken) => return queue.finish(Err(broken)),
        }
        while lock(&queue.parts).held > bound {
            queue.drained.notified().await;
        }
    }
    queue.finish(Ok(()));
}

impl AnswerQueue {
    fn push(&self, mut bytes: &[u8]) {
        let mut parts = lock(&self.parts);
        if let Some(last) = parts.chunks.back_mut() {
            let spare = last.bytes.capacity() - last.bytes.len();
            let (shared, rest) = bytes.split_at(spare.min(bytes.len()));
            last.bytes.extend_from_slice(shared);
            bytes = rest;
        }
        if !bytes.is_empty() {
            let capacity = parts.held.clamp(CHUNK_BYTES.0, CHUNK_BYTES.1).max(bytes.len());
            let mut chunk = Chunk {
                bytes: BytesMut::with_capacity(capacity),
                capacity,
                lease: self.connection.hold(capacity as u64, HeldUse::Waiting),
            };
            chunk.bytes.extend_from_slice(bytes);
            parts.held += capacity;
            parts.chunks.push_back(chunk);
        }
        drop(parts);
        self.filled.notify_one();
    }

    fn finish(&self, end: Result<(), StreamBroken>) {
        lock(&self.parts).end = Some(end);
        self.filled.notify_one();
    }

    /// Waits for the next part and removes it; `None` at the end of the answer.
    async fn take(&self) -> Option<Result<Bytes, StreamBroken>> {
        loop {
            {
                let mut parts = lock(&self.parts);
                if let Some(chunk) = parts.chunks.pop_front() {
                    parts.held -= chunk.capacity;
                    self.drained.notify_one();
                    return Some(Ok(chunk.lease.bind(chunk.bytes.freeze())));
                }
                match parts.end.take() {
                    Some(Ok(())) => return None,
                    Some(Err(broken)) => return Some(Err(broken)),
                    None => {}
                }
            }
            self.filled.notified().await;
        }
    }
}
