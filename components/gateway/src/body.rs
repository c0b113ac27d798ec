//! Reads the body of a request into memory that is held for it before its bytes are there.

use std::error::Error;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use errors::{CallError, ResultCode};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::timeout_at;

use crate::memory::{CallerConnection, ConnectionOrder, MemoryLease, RequestMemory, wait_for_order};

/// Size of the first buffer of a body without a stated length, in bytes.
const FIRST_BUFFER_BYTES: usize = 4 * 1024;

/// Body of a request, which has arrived completely or not.
#[derive(Debug)]
pub(crate) struct CallerBody {
    incoming: Option<Incoming>,
    is_whole: bool,
}

impl CallerBody {
    pub(crate) fn new(incoming: Incoming) -> Self {
        Self {
            is_whole: incoming.is_end_stream(),
            incoming: Some(incoming),
        }
    }

    /// Returns whether the caller has sent the whole body and the entry has read it.
    pub(crate) const fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Reads the body to its end. A body that states a length over the limit is refused before any of it is read.
    ///
    /// # Errors
    ///
    /// Fails when the body is too large, cannot be read, does not arrive before the deadline, or when there is no room for
    /// it: at once, or when it is late and others need the room.
    pub(crate) async fn read(
        &mut self,
        max_bytes: usize,
        deadline: Instant,
        memory: &mut RequestMemory,
    ) -> Result<Bytes, CallError> {
        let Some(incoming) = self.incoming.take() else {
            return Ok(Bytes::new());
        };
        if self.is_whole {
            return Ok(Bytes::new());
        }
        let connection = memory.connection();
        let orders = connection.as_ref().map(|connection| connection.orders());
        let reading = read_to_end(incoming, max_bytes, connection.as_ref());
        let read = tokio::select! {
            read = timeout_at(deadline.into(), reading) => read,
            () = wait_for_order(orders, ConnectionOrder::Refuse) => return Err(late_error()),
        };
        let read = read.unwrap_or_else(|_elapsed| {
            Err(CallError::not_run(
                ResultCode::RequestTimeout,
                "the request body did not arrive before the deadline",
            ))
        });
        let may_go_on = connection.is_none_or(|connection| connection.end_body());
        let (body, lease) = read?;
        if !may_go_on {
            return Err(late_error());
        }
        self.is_whole = true;
        if let Some(lease) = lease {
            memory.keep(lease);
        }
        Ok(body)
    }
}

async fn read_to_end(
    mut incoming: Incoming,
    max_bytes: usize,
    connection: Option<&Arc<CallerConnection>>,
) -> Result<(Bytes, Option<MemoryLease>), CallError> {
    let stated = incoming.size_hint().exact();
    let stated = stated.map(|stated| usize::try_from(stated).unwrap_or(usize::MAX));
    if stated.is_some_and(|stated| stated > max_bytes) {
        return Err(too_large(max_bytes));
    }
    if let Some(connection) = connection {
        connection.begin_body();
    }
    let mut buffer = BodyBuffer {
        bytes: Vec::new(),
        lease: None,
        connection,
    };
    buffer.reserve(stated.unwrap_or_default())?;
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|fault| unreadable(&fault))?;
        let Ok(part) = frame.into_data() else { continue };
        let length = buffer.bytes.len() + part.len();
        if length > max_bytes {
            return Err(too_large(max_bytes));
        }
        if length > buffer.bytes.capacity() {
            buffer.reserve(grown_capacity(length, max_bytes))?;
        }
        buffer.bytes.extend_from_slice(&part);
        if let Some(connection) = connection {
            connection.record_body(part.len() as u64);
        }
    }
    Ok(buffer.finish())
}

/// Returns the capacity of a buffer that grows to at least `length` bytes.
fn grown_capacity(length: usize, max_bytes: usize) -> usize {
    length
        .next_power_of_two()
        .max(FIRST_BUFFER_BYTES)
        .min(max_bytes.max(length))
}

/// A body that grows in memory that is held for it.
struct BodyBuffer<'a> {
    bytes: Vec<u8>,
    lease: Option<MemoryLease>,
    connection: Option<&'a Arc<CallerConnection>>,
}

impl BodyBuffer<'_> {
    /// Holds memory for this many bytes in all, and allocates it.
    fn reserve(&mut self, capacity: usize) -> Result<(), CallError> {
        let missing = capacity.saturating_sub(self.bytes.capacity());
        if missing == 0 {
            return Ok(());
        }
        if let Some(connection) = self.connection {
            let more = connection.claim_body(missing as u64)?;
            match &mut self.lease {
                Some(lease) => lease.merge(more),
                None => self.lease = Some(more),
            }
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    /// Returns the body with the memory that it occupies. What it does not need is released.
    fn finish(mut self) -> (Bytes, Option<MemoryLease>) {
        self.bytes.shrink_to_fit();
        if let Some(lease) = &mut self.lease {
            lease.shrink_to(self.bytes.len() as u64);
        }
        (self.bytes.into(), self.lease)
    }
}

fn too_large(max_bytes: usize) -> CallError {
    let message = format!("the request body exceeds {max_bytes} bytes");
    CallError::not_run(ResultCode::BodyTooLarge, message)
}

fn unreadable(fault: &(dyn Error + Send + Sync)) -> CallError {
    let message = format!("the request body could not be read to its end: {fault}");
    CallError::not_run(ResultCode::MalformedRequest, message)
}

fn late_error() -> CallError {
    CallError::not_run(
        ResultCode::MemoryExhausted,
        "the request body arrives too slowly while others need the room",
    )
}
