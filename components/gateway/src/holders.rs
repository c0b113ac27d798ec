//! Memory that an entry holds for each caller's connection, and the decision who is let go when it runs out.
//!
//! Load pattern: hundreds of callers read long answers a few bytes at a time, send their requests a byte a second or
//! leave connections idle, on an entry with less memory than their answers need together. Answers are held while there
//! is room. Without room, idle connections are closed first; then the connection is let go whose bytes have lain
//! longest for the least urgent request. Requests that would not fit are refused before they are read.
//!
//! Load pattern: callers send nearly all of a head or of a large body, stop, and keep the connection open. What has not
//! arrived completely yields to what comes: a connection that is late with its head is closed, and a request whose body
//! arrives slower than [`ReceivePace`] asks is refused. Arriving bodies share a part of the memory, so that the rest is
//! there for requests with small ones.

/// Bytes that an idle connection is taken to occupy: its buffers and its task.
const CONNECTION_BYTES: u64 = 16 * 1024;
/// Divisor of the limit that gives the part which only the answers to admitted requests may use.
const ANSWER_RESERVE_DIVISOR: u64 = 8;
/// Divisor of the limit that gives the largest number of bytes read ahead for one connection.
const CONNECTION_DIVISOR: u64 = 8;
/// Average age in milliseconds of the bytes that wait for a caller from which on it may be let go in favor of a new
/// request.
const STALL_MS: u64 = 2_000;
/// Binary logarithm of the factor by which a priority is worth more than the next one.
const PRIORITY_SHIFT: u32 = 2;
/// Priority from which on requests are worth the same.
const MAX_PRIORITY: u32 = 16;
/// Divisor of the memory of a host, and multiplier of the quotient, that give the limit. The rest is for the program
/// itself, its cache of turns and the overhead of the allocator.
const MEMORY_SHARE: (u64, u64) = (8, 3);
/// Divisor of the limit, and multiplier of the quotient, that give the part for bodies that have not arrived completely.
const RECEIVING_SHARE: (u64, u64) = (5, 3);
/// Size up to which the body of a request may arrive beyond that part.
const SMALL_BODY_BYTES: u64 = 64 * 1024;
/// Time in milliseconds after which a connection without a whole head yields before idle connections do. Heads arrive
/// in one piece from all but the slowest callers.
const LATE_HEAD_MS: u64 = 500;
/// File descriptors that are not for sockets.
const FILE_DESCRIPTORS: u64 = 200;
/// Descriptors that a caller's connection takes: its own, and that of the connection to a backend server.
const DESCRIPTORS_PER_CONNECTION: u64 = 2;

/// Bounds on what an entry holds for its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBounds {
    /// Bytes for all connections together.
    pub bytes: u64,
    /// Number of connections.
    pub connections: u64,
}

impl MemoryBounds {
    /// Returns the bounds of a host with this memory in megabytes and this number of file descriptors. Without a
    /// limit on its descriptors, only the memory bounds the connections.
    pub const fn of_host(memory_mb: u64, descriptors: u64) -> Self {
        let (divisor, multiplier) = MEMORY_SHARE;
        let bytes = memory_mb.saturating_mul(1024 * 1024) / divisor * multiplier;
        let connections = if descriptors == 0 {
            bytes / CONNECTION_BYTES
        } else {
            descriptors.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTORS_PER_CONNECTION
        };
        Self { bytes, connections }
    }

    /// Returns the largest number of bytes read ahead for one connection.
    pub const fn connection_bytes(self) -> u64 {
        self.bytes / CONNECTION_DIVISOR
    }

    const fn admission_bytes(self) -> u64 {
        self.bytes - self.bytes / ANSWER_RESERVE_DIVISOR
    }

    const fn receiving_bytes(self) -> u64 {
        let (divisor, multiplier) = RECEIVING_SHARE;
        self.bytes / divisor * multiplier
    }
}

/// Pace of an arriving body below which its request may be refused when others need the room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivePace {
    /// Time in milliseconds from the first byte in which any pace will do.
    pub grace_ms: u64,
    /// Smallest average pace afterwards in bytes per second.
    pub bytes_per_s: u64,
}

impl ReceivePace {
    /// Returns whether a body that has been arriving for some time is late.
    const fn is_late(self, received: u64, elapsed_ms: u64) -> bool {
        let due_ms = match received.saturating_mul(1_000).checked_div(self.bytes_per_s) {
            Some(due_ms) => due_ms,
            None => u64::MAX,
        };
        elapsed_ms > self.grace_ms.saturating_add(due_ms)
    }
}

impl Default for ReceivePace {
    fn default() -> Self {
        Self {
            grace_ms: 1_000,
            bytes_per_s: 128 * 1024,
        }
    }
}

/// Key of a connection in a [`HolderTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderKey {
    index: usize,
    generation: u32,
}

impl HolderKey {
    /// Returns the place of the connection among those that are open at the same time.
    pub const fn index(self) -> usize {
        self.index
    }
}

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldUse {
    /// The entry or a backend server works with them.
    Working,
    /// They wait until the caller takes them.
    Waiting,
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HolderPhase {
    /// No byte of a request has arrived.
    Idle { since_ms: u64 },
    /// The head of a request has begun to arrive.
    Heading { since_ms: u64 },
    /// The body of a request arrives.
    Receiving { since_ms: u64, received: u64 },
    /// A request is being served.
    Busy,
}

/// An open connection.
#[derive(Debug, Clone, Copy)]
struct Holder {
    generation: u32,
    is_open: bool,
    /// Whether the connection is being closed, so that its bytes count as free.
    is_leaving: bool,
    phase: HolderPhase,
    /// Whether a request has arrived on the connection.
    has_served: bool,
    /// Priority of the latest request; 0 is the most urgent.
    priority: u32,
    /// Bytes held beyond those of the connection itself.
    held: u64,
    /// The part of `held` for a body that has not arrived completely.
    receiving: u64,
    /// The part of `held` that waits for the caller.
    waiting: u64,
    /// When the waiting bytes arrived, on average.
    arrived_ms: u64,
}

impl Holder {
    const fn is_idle(&self) -> bool {
        matches!(self.phase, HolderPhase::Idle { .. }) && self.held == 0
    }

    /// Returns for how long the body has been arriving if it is late, in milliseconds.
    const fn late_body_ms(&self, pace: ReceivePace, now_ms: u64) -> Option<u64> {
        let HolderPhase::Receiving { since_ms, received } = self.phase else {
            return None;
        };
        let elapsed_ms = now_ms.saturating_sub(since_ms);
        if pace.is_late(received, elapsed_ms) {
            return Some(elapsed_ms);
        }
        None
    }

    /// Returns since when the head has been arriving, or since when the connection has been open without a request.
    const fn headless_since_ms(&self) -> Option<u64> {
        match self.phase {
            HolderPhase::Heading { since_ms } => Some(since_ms),
            HolderPhase::Idle { since_ms } if !self.has_served => Some(since_ms),
            HolderPhase::Idle { .. } | HolderPhase::Receiving { .. } | HolderPhase::Busy => None,
        }
    }

    /// Returns for how long the waiting bytes have waited on average, in milliseconds.
    const fn stalled_ms(&self, now_ms: u64) -> u64 {
        if self.waiting == 0 {
            return 0;
        }
        now_ms.saturating_sub(self.arrived_ms)
    }

    /// Moves the average time of arrival towards now for this part of the waiting bytes.
    fn renew(&mut self, bytes: u64, now_ms: u64) {
        let age_ms = u128::from(now_ms.saturating_sub(self.arrived_ms));
        let renewed_ms = age_ms * u128::from(bytes) / u128::from(self.waiting.max(1));
        // A part of the bytes is at most all of them, so that the time is at most the age.
        self.arrived_ms += u64::try_from(renewed_ms).unwrap_or_default();
    }

    /// Returns what the connection costs for its worth: bytes times the time for which they have waited, and the more
    /// the less urgent its request is.
    fn cost(&self, now_ms: u64) -> u128 {
        let byte_ms = u128::from(self.held) * u128::from(self.stalled_ms(now_ms) + 1);
        byte_ms << (self.priority.min(MAX_PRIORITY) * PRIORITY_SHIFT)
    }
}

/// A connection that is let go, as it was then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LetGo {
    /// Key of the connection.
    pub key: HolderKey,
    /// Bytes that were held for it.
    pub held: u64,
    /// Priority of its request.
    pub priority: u32,
    /// Average time in milliseconds for which bytes have waited for the caller.
    pub stalled_ms: u64,
}

/// A request that is refused because its body is late, as it was then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateBody {
    /// Key of the connection.
    pub key: HolderKey,
    /// Bytes that were held for the body.
    pub held: u64,
    /// Time in milliseconds for which it had been arriving.
    pub elapsed_ms: u64,
}

/// Connections that make room.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RoomMade {
    /// Idle connections, which are closed after what they may still have to send.
    pub idle: Vec<HolderKey>,
    /// Connections that are aborted because no whole head has arrived.
    pub headless: Vec<HolderKey>,
    /// Requests that are refused because their bodies are late.
    pub late_bodies: Vec<LateBody>,
    /// Connections that are aborted.
    pub let_go: Vec<LetGo>,
}

/// What a claim for an arriving body has led to. Connections may have made room although it has failed.
#[derive(Debug)]
pub struct BodyClaim {
    /// Connections that make room.
    pub room: RoomMade,
    /// Whether the bytes are held.
    pub outcome: Result<(), NoRoom>,
}

impl RoomMade {
    fn append(&mut self, mut other: Self) {
        self.idle.append(&mut other.idle);
        self.headless.append(&mut other.headless);
        self.late_bodies.append(&mut other.late_bodies);
        self.let_go.append(&mut other.let_go);
    }
}

/// There is no room, and nobody who may be let go for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{held} of {limit} bytes for callers are in use")]
pub struct NoRoom {
    /// Bytes in use.
    pub held: u64,
    /// Bytes that may be in use.
    pub limit: u64,
}

/// The open connections of an entry with the bytes that it holds for them.
#[derive(Debug)]
pub struct HolderTable {
    bounds: MemoryBounds,
    pace: ReceivePace,
    holders: Vec<Holder>,
    free: Vec<usize>,
    /// Open connections.
    open: u64,
    /// Bytes of all connections.
    held: u64,
    /// Connections that are being closed, and their bytes.
    leaving: (u64, u64),
}

impl HolderTable {
    /// Creates a table without connections.
    pub fn new(bounds: MemoryBounds) -> Self {
        Self {
            bounds,
            pace: ReceivePace::default(),
            holders: Vec::new(),
            free: Vec::new(),
            open: 0,
            held: 0,
            leaving: (0, 0),
        }
    }

    /// Returns the bounds.
    pub const fn bounds(&self) -> MemoryBounds {
        self.bounds
    }

    /// Replaces the bounds. Smaller ones take effect with the next bytes.
    pub const fn set_bounds(&mut self, bounds: MemoryBounds) {
        self.bounds = bounds;
    }

    /// Replaces the pace at which bodies are to arrive.
    pub const fn set_pace(&mut self, pace: ReceivePace) {
        self.pace = pace;
    }

    /// Returns the bytes that are in use, including those of connections that are being closed.
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Returns the number of open connections.
    pub const fn open_connections(&self) -> u64 {
        self.open
    }

    /// Adds a connection. One that is late with its head makes room for it, else the one that has been idle longest, else
    /// the one whose head has been arriving longest, else a request whose body is late.
    ///
    /// # Errors
    ///
    /// Fails when as many connections are open as may be, and none of them yields.
    pub fn open(&mut self, now_ms: u64) -> Result<(HolderKey, RoomMade), NoRoom> {
        let mut room = RoomMade::default();
        let is_full = self.open - self.leaving.0 >= self.bounds.connections;
        if is_full || self.staying() + CONNECTION_BYTES > self.bounds.bytes {
            let has_yielded = self.close_unused(now_ms, &mut room)
                || self.close_headless(now_ms, 0, &mut room)
                || self.refuse_late_body(None, now_ms, &mut room);
            if !has_yielded {
                return Err(self.no_room());
            }
        }
        let holder = Holder {
            generation: 0,
            is_open: true,
            is_leaving: false,
            phase: HolderPhase::Idle { since_ms: now_ms },
            has_served: false,
            priority: 0,
            held: 0,
            receiving: 0,
            waiting: 0,
            arrived_ms: now_ms,
        };
        let index = self.free.pop().unwrap_or_else(|| {
            self.holders.push(holder);
            self.holders.len() - 1
        });
        let place = &mut self.holders[index];
        let generation = place.generation.wrapping_add(1);
        *place = Holder { generation, ..holder };
        self.open += 1;
        self.held += CONNECTION_BYTES;
        Ok((HolderKey { index, generation }, room))
    }

    /// Removes a connection whose bytes have all been released.
    pub fn close(&mut self, key: HolderKey) {
        let Some(holder) = self.holder(key) else { return };
        holder.is_open = false;
        let (held, is_leaving) = (holder.held + CONNECTION_BYTES, holder.is_leaving);
        self.held -= held;
        self.open -= 1;
        if is_leaving {
            self.leaving = (self.leaving.0 - 1, self.leaving.1 - held);
        }
        self.free.push(key.index);
    }

    /// Records that bytes have arrived on a connection.
    pub fn record_bytes(&mut self, key: HolderKey, now_ms: u64) {
        let Some(holder) = self.holder(key) else { return };
        if let HolderPhase::Idle { .. } = holder.phase {
            holder.phase = HolderPhase::Heading { since_ms: now_ms };
        }
    }

    /// Records that the head of a request has arrived.
    pub fn begin_request(&mut self, key: HolderKey) {
        if let Some(holder) = self.holder(key) {
            holder.phase = HolderPhase::Busy;
            holder.has_served = true;
        }
    }

    /// Records that the body of a request begins to arrive.
    pub fn begin_body(&mut self, key: HolderKey, now_ms: u64) {
        if let Some(holder) = self.holder(key) {
            holder.phase = HolderPhase::Receiving {
                since_ms: now_ms,
                received: 0,
            };
        }
    }

    /// Records that a part of a body has arrived.
    pub fn record_body(&mut self, key: HolderKey, bytes: u64) {
        if let Some(holder) = self.holder(key)
            && let HolderPhase::Receiving { received, .. } = &mut holder.phase
        {
            *received += bytes;
        }
    }

    /// Records that a body has arrived completely, or that no more of it is read. Returns whether the request may go on:
    /// it has not been refused for its late body.
    pub fn end_body(&mut self, key: HolderKey) -> bool {
        let Some(holder) = self.holder(key) else {
            return false;
        };
        holder.phase = HolderPhase::Busy;
        holder.receiving = 0;
        !holder.is_leaving
    }

    /// Records the priority of a request.
    pub fn set_priority(&mut self, key: HolderKey, priority: u32) {
        if let Some(holder) = self.holder(key) {
            holder.priority = priority;
        }
    }

    /// Records that the answer to a request has been passed on.
    pub fn end_request(&mut self, key: HolderKey, now_ms: u64) {
        if let Some(holder) = self.holder(key) {
            holder.phase = HolderPhase::Idle { since_ms: now_ms };
        }
    }

    /// Holds bytes for a body that has begun to arrive, before they are there. Beyond the part of the memory for such
    /// bodies, late ones make room for it.
    pub fn claim_body(&mut self, key: HolderKey, bytes: u64, now_ms: u64) -> BodyClaim {
        let mut room = RoomMade::default();
        let body_bytes = self.holder(key).map_or(0, |holder| holder.receiving) + bytes;
        if body_bytes > SMALL_BODY_BYTES
            && let Err(no_room) = self.make_receiving_room(key, bytes, now_ms, &mut room)
        {
            let outcome = Err(no_room);
            return BodyClaim { room, outcome };
        }
        let outcome = self.claim(key, bytes, now_ms).map(|more| room.append(more));
        if outcome.is_ok()
            && let Some(holder) = self.holder(key)
        {
            holder.receiving += bytes;
        }
        BodyClaim { room, outcome }
    }

    /// Refuses late bodies until these bytes fit into the part for arriving bodies. Refuses none if they would not fit.
    fn make_receiving_room(
        &mut self,
        key: HolderKey,
        bytes: u64,
        now_ms: u64,
        room: &mut RoomMade,
    ) -> Result<(), NoRoom> {
        let limit = self.bounds.receiving_bytes();
        let pace = self.pace;
        let late = self
            .staying_holders(key)
            .filter(|other| other.late_body_ms(pace, now_ms).is_some());
        let most: u64 = late.map(|other| other.receiving).sum();
        if (self.receiving() + bytes).saturating_sub(most) > limit {
            return Err(self.no_room());
        }
        while self.receiving() + bytes > limit {
            if !self.refuse_late_body(Some(key), now_ms, room) {
                return Err(self.no_room());
            }
        }
        Ok(())
    }

    /// Holds bytes for the work on a request that may still be refused. Connections that are late with their heads and
    /// idle ones make room for it, then requests whose bodies are late, then connections whose callers have left their
    /// bytes untaken for some time and whose requests are not more urgent.
    ///
    /// # Errors
    ///
    /// Fails without holding them when there is no room.
    pub fn claim(&mut self, key: HolderKey, bytes: u64, now_ms: u64) -> Result<RoomMade, NoRoom> {
        let limit = self.bounds.admission_bytes();
        let mut room = RoomMade::default();
        if self.staying() + bytes <= limit {
            self.add(key, bytes, HeldUse::Working, now_ms);
            return Ok(room);
        }
        let pace = self.pace;
        let priority = self.holder(key).map_or(u32::MAX, |holder| holder.priority);
        let is_stalled = |other: &Holder| other.priority >= priority && other.stalled_ms(now_ms) >= STALL_MS;
        let is_unused = |other: &Holder| {
            let since_ms = other.headless_since_ms().filter(|_| other.held == 0);
            other.is_idle() || since_ms.is_some_and(|since_ms| since_ms + LATE_HEAD_MS <= now_ms)
        };
        let yielding = self.staying_holders(key).filter(|other| {
            is_unused(other) || other.late_body_ms(pace, now_ms).is_some() || is_stalled(other)
        });
        let most: u64 = yielding.map(|other| other.held + CONNECTION_BYTES).sum();
        if (self.staying() + bytes).saturating_sub(most) > limit {
            return Err(self.no_room());
        }
        while self.staying() + bytes > limit {
            if self.close_unused(now_ms, &mut room) || self.refuse_late_body(Some(key), now_ms, &mut room) {
                continue;
            }
            let Some(let_go) = self.let_go(now_ms, |other, holder| other != key && is_stalled(holder)) else {
                return Err(self.no_room());
            };
            room.let_go.push(let_go);
        }
        self.add(key, bytes, HeldUse::Working, now_ms);
        Ok(room)
    }

    /// Holds bytes that have arrived already. Beyond the limit, connections make room for them; the one for which they
    /// are held may be among these.
    pub fn hold(&mut self, key: HolderKey, bytes: u64, held_use: HeldUse, now_ms: u64) -> RoomMade {
        self.add(key, bytes, held_use, now_ms);
        let mut room = RoomMade::default();
        while self.staying() > self.bounds.bytes {
            if self.close_unused(now_ms, &mut room) || self.refuse_late_body(None, now_ms, &mut room) {
                continue;
            }
            let Some(let_go) = self.let_go(now_ms, |_, holder| holder.held > 0) else {
                break;
            };
            room.let_go.push(let_go);
        }
        room
    }

    /// Releases bytes that the caller has taken or that are no longer needed.
    pub fn release(&mut self, key: HolderKey, bytes: u64, held_use: HeldUse, now_ms: u64) {
        let Some(holder) = self.holder(key) else { return };
        let bytes = bytes.min(holder.held);
        holder.held -= bytes;
        if held_use == HeldUse::Waiting {
            // The caller takes the oldest bytes first.
            holder.renew(bytes.min(holder.waiting), now_ms);
            holder.waiting = holder.waiting.saturating_sub(bytes);
        }
        let is_leaving = holder.is_leaving;
        self.held -= bytes;
        if is_leaving {
            self.leaving.1 -= bytes;
        }
    }

    /// Returns the connections on which the head of a request has been arriving for longer than `timeout_ms`, and
    /// counts them as being closed.
    pub fn close_late_heads(&mut self, timeout_ms: u64, now_ms: u64) -> Vec<HolderKey> {
        let is_late = |holder: &Holder| match holder.phase {
            HolderPhase::Heading { since_ms } => now_ms.saturating_sub(since_ms) > timeout_ms,
            HolderPhase::Idle { .. } | HolderPhase::Receiving { .. } | HolderPhase::Busy => false,
        };
        let staying = self.staying_keys().filter(|(_, holder)| is_late(holder));
        let late: Vec<HolderKey> = staying.map(|(key, _)| key).collect();
        for key in &late {
            self.start_leaving(*key);
        }
        late
    }

    fn holder(&mut self, key: HolderKey) -> Option<&mut Holder> {
        let holder = self.holders.get_mut(key.index())?;
        (holder.is_open && holder.generation == key.generation).then_some(holder)
    }

    fn staying_keys(&self) -> impl Iterator<Item = (HolderKey, &Holder)> {
        let holders = self.holders.iter().enumerate();
        let staying = holders.filter(|(_, holder)| holder.is_open && !holder.is_leaving);
        staying.map(|(index, holder)| {
            let generation = holder.generation;
            (HolderKey { index, generation }, holder)
        })
    }

    fn staying_holders(&self, except: HolderKey) -> impl Iterator<Item = &Holder> {
        let others = self.staying_keys().filter(move |(key, _)| *key != except);
        others.map(|(_, holder)| holder)
    }

    /// Returns the bytes that are in use without those of connections that are being closed.
    const fn staying(&self) -> u64 {
        self.held - self.leaving.1
    }

    const fn no_room(&self) -> NoRoom {
        NoRoom {
            held: self.held,
            limit: self.bounds.bytes,
        }
    }

    fn add(&mut self, key: HolderKey, bytes: u64, held_use: HeldUse, now_ms: u64) {
        let Some(holder) = self.holder(key) else { return };
        holder.held += bytes;
        if held_use == HeldUse::Waiting {
            holder.waiting += bytes;
            holder.renew(bytes, now_ms);
        }
        let is_leaving = holder.is_leaving;
        self.held += bytes;
        if is_leaving {
            self.leaving.1 += bytes;
        }
    }

    fn start_leaving(&mut self, key: HolderKey) {
        let Some(holder) = self.holder(key) else { return };
        holder.is_leaving = true;
        let held = holder.held + CONNECTION_BYTES;
        self.leaving = (self.leaving.0 + 1, self.leaving.1 + held);
    }

    /// Closes the connection that has been idle longest.
    fn close_idle(&mut self) -> Option<HolderKey> {
        let idle = self
            .staying_keys()
            .filter_map(|(key, holder)| match holder.phase {
                HolderPhase::Idle { since_ms } if holder.held == 0 => Some((since_ms, key)),
                HolderPhase::Idle { .. }
                | HolderPhase::Heading { .. }
                | HolderPhase::Receiving { .. }
                | HolderPhase::Busy => None,
            });
        let (_, key) = idle.min()?;
        self.start_leaving(key);
        Some(key)
    }

    /// Closes a connection that is late with its head, or else the one that has been idle longest.
    fn close_unused(&mut self, now_ms: u64, room: &mut RoomMade) -> bool {
        if self.close_headless(now_ms, LATE_HEAD_MS, room) {
            return true;
        }
        let idle = self.close_idle();
        room.idle.extend(idle);
        idle.is_some()
    }

    /// Aborts the connection that has waited longest for the end of its head, if that is `min_ms` milliseconds at least.
    fn close_headless(&mut self, now_ms: u64, min_ms: u64, room: &mut RoomMade) -> bool {
        let headless = self.staying_keys().filter_map(|(key, holder)| {
            let since_ms = holder.headless_since_ms().filter(|_| holder.held == 0)?;
            (since_ms + min_ms <= now_ms).then_some((since_ms, key))
        });
        let Some((_, key)) = headless.min() else {
            return false;
        };
        self.start_leaving(key);
        room.headless.push(key);
        true
    }

    /// Refuses the request with a late body that has occupied most bytes for the longest time, beside that of `except`.
    fn refuse_late_body(&mut self, except: Option<HolderKey>, now_ms: u64, room: &mut RoomMade) -> bool {
        let pace = self.pace;
        let late = self.staying_keys().filter_map(|(key, holder)| {
            let elapsed_ms = holder.late_body_ms(pace, now_ms)?;
            let held = holder.held;
            let late = LateBody {
                key,
                held,
                elapsed_ms,
            };
            (Some(key) != except).then_some(late)
        });
        let cost = |late: &LateBody| (u128::from(late.held) * u128::from(late.elapsed_ms), late.key);
        let Some(late) = late.max_by_key(cost) else {
            return false;
        };
        self.start_leaving(late.key);
        room.late_bodies.push(late);
        true
    }

    /// Returns the bytes that are held for arriving bodies.
    fn receiving(&self) -> u64 {
        self.staying_keys().map(|(_, holder)| holder.receiving).sum()
    }

    /// Lets go the connection that costs most for its worth, of those for which `may_go` holds.
    fn let_go(&mut self, now_ms: u64, may_go: impl Fn(HolderKey, &Holder) -> bool) -> Option<LetGo> {
        let candidates = self.staying_keys().filter(|(key, holder)| may_go(*key, holder));
        let (key, holder) = candidates.max_by_key(|(key, holder)| (holder.cost(now_ms), *key))?;
        let let_go = LetGo {
            key,
            held: holder.held,
            priority: holder.priority,
            stalled_ms: holder.stalled_ms(now_ms),
        };
        self.start_leaving(key);
        Some(let_go)
    }
}
