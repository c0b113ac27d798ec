//! Memory for the bodies of requests that have not been answered.
//!
//! Load pattern: many clients send nearly all of a large body, stop, and keep the connection open. A body that arrives too
//! slowly yields when others need its room; without need it may take as long as the timeout of bodies.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use errors::{CallError, ResultCode};
use tokio_util::sync::CancellationToken;

/// Size up to which a body needs no room, in bytes. The limit on connections bounds such bodies.
const SMALL_BODY_BYTES: usize = 16 * 1024;
/// Time from the beginning of a body in which any pace will do.
const PACE_GRACE: Duration = Duration::from_secs(1);
/// Smallest average pace of a body afterwards, in bytes per second.
const PACE_BYTES_PER_S: usize = 128 * 1024;
/// Delay in milliseconds after which a refused client may retry.
const RETRY_AFTER_MS: u64 = 1_000;

/// Identifies a body in a [`BodyRoom`]; later bodies have larger numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BodyKey(u64);

/// A body that has begun to arrive and whose request has not been answered.
#[derive(Debug)]
struct HeldBody {
    key: BodyKey,
    held: usize,
    received: usize,
    since: Instant,
    is_whole: bool,
    /// Cancelled when the body yields.
    refusal: CancellationToken,
}

impl HeldBody {
    /// Returns whether the body may be refused in favor of another one.
    fn is_late(&self) -> bool {
        let due_ms = self.received.saturating_mul(1_000) / PACE_BYTES_PER_S;
        let due = PACE_GRACE + Duration::from_millis(due_ms as u64);
        !self.is_whole && self.since.elapsed() > due
    }

    /// Returns the bytes that count against the limit.
    fn counted(&self) -> usize {
        if self.refusal.is_cancelled() { 0 } else { self.held }
    }

    fn cost(&self) -> u128 {
        self.counted() as u128 * self.since.elapsed().as_millis()
    }
}

/// The bodies, in the order of their keys.
#[derive(Debug, Default)]
struct HeldBodies {
    bodies: Vec<HeldBody>,
    next: u64,
}

impl HeldBodies {
    fn find(&mut self, key: BodyKey) -> Option<&mut HeldBody> {
        let index = self.bodies.binary_search_by_key(&key, |body| body.key).ok()?;
        self.bodies.get_mut(index)
    }

    fn counted(&self) -> usize {
        self.bodies.iter().map(HeldBody::counted).sum()
    }

    /// Refuses the late body that has occupied most for the longest time, but not that of `except`.
    fn refuse_late(&self, except: BodyKey) -> bool {
        let late = self
            .bodies
            .iter()
            .filter(|body| body.key != except && body.is_late());
        let Some(late) = late
            .filter(|body| body.counted() > 0)
            .max_by_key(|body| body.cost())
        else {
            return false;
        };
        late.refusal.cancel();
        true
    }
}

/// Room for the bodies of all connections; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct BodyRoom {
    limit_bytes: usize,
    held: Arc<Mutex<HeldBodies>>,
}

impl BodyRoom {
    /// Creates room for this many bytes.
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            held: Arc::default(),
        }
    }

    /// Registers a body that begins to arrive.
    pub(crate) fn enter(&self) -> RoomGuard {
        let refusal = CancellationToken::new();
        let mut held = self.lock();
        let key = BodyKey(held.next);
        held.next += 1;
        held.bodies.push(HeldBody {
            key,
            held: 0,
            received: 0,
            since: Instant::now(),
            is_whole: false,
            refusal: refusal.clone(),
        });
        RoomGuard {
            room: self.clone(),
            key,
            refusal,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HeldBodies> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Room of one body, which is free again when this is dropped.
#[derive(Debug)]
pub(crate) struct RoomGuard {
    room: BodyRoom,
    key: BodyKey,
    refusal: CancellationToken,
}

impl RoomGuard {
    /// Holds room for a body of this size before its bytes are there. Late bodies make room for it.
    ///
    /// # Errors
    ///
    /// Returns 3029 when there is no room.
    pub(crate) fn grow_to(&self, bytes: usize) -> Result<(), CallError> {
        if bytes <= SMALL_BODY_BYTES {
            return Ok(());
        }
        let mut held = self.room.lock();
        let before = held.find(self.key).map_or(0, |body| body.held);
        while held.counted() - before + bytes > self.room.limit_bytes {
            if !held.refuse_late(self.key) {
                return Err(no_room());
            }
        }
        if let Some(body) = held.find(self.key) {
            body.held = bytes;
        }
        Ok(())
    }

    /// Records how much of the body has arrived.
    pub(crate) fn record_received(&self, bytes: usize) {
        if let Some(body) = self.room.lock().find(self.key) {
            body.received = bytes;
        }
    }

    /// Records that the body has arrived completely.
    ///
    /// # Errors
    ///
    /// Returns 3029 when the body has been refused in favor of others.
    pub(crate) fn finish(&self) -> Result<(), CallError> {
        let mut held = self.room.lock();
        if self.refusal.is_cancelled() {
            return Err(no_room());
        }
        if let Some(body) = held.find(self.key) {
            body.is_whole = true;
        }
        Ok(())
    }

    /// Waits until the body is refused in favor of others, and returns the error for that.
    pub(crate) async fn refused(&self) -> CallError {
        self.refusal.cancelled().await;
        no_room()
    }
}

impl Drop for RoomGuard {
    fn drop(&mut self) {
        let mut held = self.room.lock();
        if let Ok(index) = held.bodies.binary_search_by_key(&self.key, |body| body.key) {
            held.bodies.remove(index);
        }
    }
}

fn no_room() -> CallError {
    let message = "no room for the body of the request: others are arriving";
    CallError::not_run(ResultCode::MemoryExhausted, message).with_retry_after_ms(RETRY_AFTER_MS)
}
