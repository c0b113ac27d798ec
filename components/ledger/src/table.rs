//! In-memory table of the records of one host, indexed for counting tokens and for reading.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use domain::BuildKey;

use crate::arrivals::ArrivalLog;
use crate::digest::{BucketDigests, bucket_range};
use crate::index::{IndexedRecord, RecordPlace};
use crate::port::StreamBuild;
use crate::record::{LedgerRecord, ProgramKey, RecordKey, RecordKind, TurnKey, TurnRecord};

/// Time for which records are stored beyond their retention, so that a host that was unavailable can still
/// copy them.
const RETENTION_SLACK_MS: u64 = 60_000;
/// Time after which an unsettled turn no longer counts as open; longer than the timeout of every route. The
/// settlement of a turn whose entry died never arrives.
const OPEN_TURN_TIMEOUT_MS: u64 = 5_000;

/// State of one turn of a program.
#[derive(Debug, Clone, Copy, Default)]
struct TurnEntry {
    reserved: Option<u64>,
    settled: Option<u64>,
    retention_ms: u64,
    /// Software that produces the events of the turn's stream, if the stream may be taken up again.
    build: Option<BuildKey>,
    /// Whether `build` is that of a [`LedgerRecord::Moved`].
    is_moved: bool,
    has_turn_record: bool,
    /// Whether the turn started on this host and is not settled yet.
    is_open: bool,
}

impl TurnEntry {
    /// Returns the tokens that count against the budget: the settled amount or else the reservation.
    fn committed(self) -> u64 {
        self.settled.or(self.reserved).unwrap_or_default()
    }

    /// Returns the kinds of the records that exist for the turn.
    fn kinds(self) -> impl Iterator<Item = RecordKind> {
        let reserved = self.reserved.map(|_| RecordKind::Reserved);
        let settled = self.settled.map(|_| RecordKind::Settled);
        let turn = self.has_turn_record.then_some(RecordKind::Turn);
        let moved = self.is_moved.then_some(RecordKind::Moved);
        reserved.into_iter().chain(settled).chain(turn).chain(moved)
    }
}

/// Turns of one program, sorted by key, and the tokens that they commit together.
#[derive(Debug, Default)]
struct ProgramAccount {
    turns: Vec<(TurnKey, TurnEntry)>,
    committed: u64,
    expires_at_ms: u64,
}

impl ProgramAccount {
    /// Updates a turn's entry and returns the result of `update`.
    fn update(&mut self, turn: TurnKey, update: impl FnOnce(&mut TurnEntry) -> bool) -> bool {
        let index = match self.turns.binary_search_by_key(&turn, |(turn, _)| *turn) {
            Ok(index) => index,
            Err(index) => {
                self.turns.insert(index, (turn, TurnEntry::default()));
                index
            }
        };
        let entry = &mut self.turns[index].1;
        let before = entry.committed();
        let is_new = update(entry);
        self.committed = self.committed - before + entry.committed();
        is_new
    }

    fn entry_of(&self, turn: TurnKey) -> TurnEntry {
        let index = self.turns.binary_search_by_key(&turn, |(turn, _)| *turn);
        index.map_or_else(|_| TurnEntry::default(), |index| self.turns[index].1)
    }

    fn has_turn_record(&self) -> bool {
        self.turns.iter().any(|(_, entry)| entry.has_turn_record)
    }

    fn keys(&self, program: ProgramKey) -> impl Iterator<Item = RecordKey> {
        self.turns
            .iter()
            .flat_map(move |&(turn, entry)| entry.kinds().map(move |kind| RecordKey { kind, program, turn }))
    }
}

/// A stored turn. Its input and output are empty while its payload is only on the disk.
#[derive(Debug)]
struct StoredTurn {
    record: TurnRecord,
    /// Location on the disk; `None` until the log has written the turn.
    place: Option<RecordPlace>,
    is_cached: bool,
    expires_at_ms: u64,
}

/// Turns whose retention has expired.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrunedTurns {
    /// Number of turns that were removed.
    pub removed: usize,
    /// Number of expired turns that were retained, since a turn which has not expired continues them.
    pub continued: usize,
}

/// Result of a search for a record: the record itself or its location on the disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoundRecord {
    /// The complete record.
    InMemory(LedgerRecord),
    /// Location of the record in the log.
    OnDisk(RecordPlace),
}

impl FoundRecord {
    /// Returns the size of the turn's payload in memory or of the frame on the disk, in bytes.
    pub const fn size(&self) -> usize {
        match self {
            Self::InMemory(LedgerRecord::Turn(turn)) => turn.input.len() + turn.output.len(),
            Self::InMemory(_) => 0,
            Self::OnDisk(place) => place.length as usize,
        }
    }
}

/// The records of one host. They may be applied in any order and any number of times.
#[derive(Debug)]
pub struct RecordTable {
    accounts: BTreeMap<ProgramKey, ProgramAccount>,
    turns: BTreeMap<TurnKey, StoredTurn>,
    digests: BucketDigests,
    /// Turns whose payloads are in memory, the oldest first.
    cached: VecDeque<TurnKey>,
    /// Turns that started within the last `OPEN_TURN_TIMEOUT_MS`, the oldest first, with their start in Unix
    /// milliseconds.
    started: VecDeque<(u64, ProgramKey, TurnKey)>,
    open_turns: u64,
    cached_bytes: usize,
    payload_cache_limit_bytes: usize,
    arrivals: ArrivalLog,
}

impl RecordTable {
    /// Creates an empty table that caches payloads of up to `payload_cache_limit_bytes` in memory. Payloads
    /// that are not on the disk yet may exceed the limit.
    pub fn new(payload_cache_limit_bytes: usize) -> Self {
        Self {
            accounts: BTreeMap::new(),
            turns: BTreeMap::new(),
            digests: BucketDigests::default(),
            cached: VecDeque::new(),
            started: VecDeque::new(),
            open_turns: 0,
            cached_bytes: 0,
            payload_cache_limit_bytes,
            arrivals: ArrivalLog::default(),
        }
    }

    /// Applies a record and caches its payload; returns whether it was new.
    pub fn apply(&mut self, record: &LedgerRecord, now_ms: u64) -> bool {
        let is_new = self.insert(record, now_ms);
        if is_new && let LedgerRecord::Turn(turn) = record {
            self.cache_payload(turn);
        }
        is_new
    }

    /// Applies a record that an entry has just written. A new reservation starts a turn, unlike one that is
    /// copied from another host.
    pub fn apply_written(&mut self, record: &LedgerRecord, now_ms: u64) {
        let is_new = self.apply(record, now_ms);
        if let LedgerRecord::Reserved { program, turn, .. } | LedgerRecord::Begun { program, turn, .. } =
            record
            && is_new
            && let Some(account) = self.accounts.get_mut(program)
            && account.update(*turn, |entry| {
                entry.is_open = entry.settled.is_none();
                entry.is_open
            })
        {
            self.open_turns += 1;
            self.started.push_back((now_ms, *program, *turn));
        }
    }

    /// Returns the number of open turns among those whose reservations entries wrote to this host.
    pub fn open_turns(&mut self, now_ms: u64) -> u64 {
        while let Some(&(started_at_ms, program, turn)) = self.started.front()
            && started_at_ms + OPEN_TURN_TIMEOUT_MS <= now_ms
        {
            self.started.pop_front();
            self.mark_ended(program, turn);
        }
        self.open_turns
    }

    /// Applies a record whose payload is on the disk only; returns whether it was new.
    pub fn apply_indexed(&mut self, indexed: &IndexedRecord, now_ms: u64) -> bool {
        let is_new = self.insert(&indexed.record, now_ms);
        if let LedgerRecord::Turn(turn) = &indexed.record {
            self.set_place(turn.turn, indexed.place);
        }
        is_new
    }

    /// Sets the location of a turn on the disk, so that its payload can be evicted from memory. The latest location
    /// takes precedence, since the oldest file is removed first.
    pub fn set_place(&mut self, turn: TurnKey, place: RecordPlace) {
        if let Some(stored) = self.turns.get_mut(&turn) {
            stored.place = stored.place.max(Some(place));
        }
        self.evict_payloads();
    }

    /// Returns the tokens that count against a program's budget: spent tokens and unsettled reservations.
    pub fn committed(&self, program: ProgramKey) -> u64 {
        self.accounts.get(&program).map_or(0, |account| account.committed)
    }

    /// Returns the software that produces the events of a turn's stream, if it is known.
    pub fn stream_build(&self, program: ProgramKey, turn: TurnKey) -> Option<StreamBuild> {
        let entry = self.accounts.get(&program)?.entry_of(turn);
        Some(StreamBuild {
            build: entry.build?,
            is_moved: entry.is_moved,
        })
    }

    /// Returns a turn and its predecessors, the newest first, up to the first one that is not stored here.
    pub fn chain(&self, turn: TurnKey) -> Vec<FoundRecord> {
        self.chain_part(turn, usize::MAX)
    }

    /// Returns the newest part of a chain as [`Self::chain`] does, up to the turn with which it exceeds `limit_bytes`.
    pub fn chain_part(&self, turn: TurnKey, limit_bytes: usize) -> Vec<FoundRecord> {
        let mut chain = Vec::new();
        let mut bytes = 0;
        let mut next = Some(turn);
        while let Some(stored) = next.and_then(|turn| self.turns.get(&turn)) {
            let found = found_record(stored);
            bytes += found.size();
            chain.push(found);
            if bytes > limit_bytes {
                break;
            }
            next = stored.record.previous;
        }
        chain
    }

    /// Returns whether a turn with the same id is stored here that belongs to another workspace.
    pub fn has_foreign_turn(&self, turn: TurnKey) -> bool {
        let mut same_id = self.turns.range(turn.same_id());
        same_id.any(|(stored, _)| *stored != turn)
    }

    /// Returns whether the record with this key is stored here.
    pub fn contains(&self, key: &RecordKey) -> bool {
        let entry = self.entry(key);
        match key.kind {
            RecordKind::Turn => entry.has_turn_record,
            RecordKind::Reserved => entry.reserved.is_some(),
            RecordKind::Settled => entry.settled.is_some(),
            RecordKind::Moved => entry.is_moved,
        }
    }

    /// Returns the record with this key, or `None` if it is not stored here.
    pub fn record(&self, key: &RecordKey) -> Option<FoundRecord> {
        let RecordKey { kind, program, turn } = *key;
        let entry = self.entry(key);
        let record = match kind {
            RecordKind::Turn => return self.turns.get(&turn).map(found_record),
            RecordKind::Reserved => match entry.build {
                None => LedgerRecord::Reserved {
                    program,
                    turn,
                    tokens: entry.reserved?,
                    retention_ms: entry.retention_ms,
                },
                // After a move this is the software of the move, which prevails on every host.
                Some(build) => LedgerRecord::Begun {
                    program,
                    turn,
                    tokens: entry.reserved?,
                    retention_ms: entry.retention_ms,
                    build,
                },
            },
            RecordKind::Moved => LedgerRecord::Moved {
                program,
                turn,
                build: entry.build.filter(|_| entry.is_moved)?,
            },
            RecordKind::Settled => LedgerRecord::Settled {
                program,
                turn,
                tokens: entry.settled?,
            },
        };
        Some(FoundRecord::InMemory(record))
    }

    /// Returns the digests of all buckets.
    pub const fn digests(&self) -> &BucketDigests {
        &self.digests
    }

    /// Returns the keys of the records in some buckets.
    pub fn keys_in(&self, buckets: &[u16]) -> Vec<RecordKey> {
        let ranges = buckets.iter().filter_map(|bucket| bucket_range(*bucket));
        let accounts = ranges.flat_map(|range| self.accounts.range(range));
        accounts
            .flat_map(|(program, account)| account.keys(*program))
            .collect()
    }

    /// Returns whether the record with this key would be lost with a log file: whether it is stored, and if it is a turn,
    /// not in a later file.
    pub fn is_retained_in(&self, key: &RecordKey, file: u64) -> bool {
        if key.kind != RecordKind::Turn {
            return self.contains(key);
        }
        let place = self.turns.get(&key.turn).map(|stored| stored.place);
        place.is_some_and(|place| place.is_none_or(|place| place.file <= file))
    }

    /// Returns the sequence number that the next new record will get.
    pub const fn next_sequence(&self) -> u64 {
        self.arrivals.next_sequence()
    }

    /// Returns up to `limit` keys whose sequence numbers are at or after `sequence`, and the sequence number
    /// after the last of them.
    pub fn arrivals_since(&self, sequence: u64, limit: usize) -> (Vec<RecordKey>, u64) {
        self.arrivals.since(sequence, limit)
    }

    /// Returns the number of keys that are stored for other hosts to copy.
    pub fn arrival_count(&self) -> usize {
        self.arrivals.len()
    }

    /// Removes the records whose retention has expired, and returns how many turns that were. A turn is retained as long as
    /// one that continues it, directly or over others, and an account as long as a turn of its program.
    pub fn prune(&mut self, now_ms: u64) -> PrunedTurns {
        let mut pruned = PrunedTurns {
            removed: 0,
            continued: self.renew_continued(now_ms),
        };
        let expired = self
            .turns
            .extract_if(.., |_, stored| stored.expires_at_ms <= now_ms);
        for (turn, stored) in expired {
            pruned.removed += 1;
            let program = stored.record.program;
            if let Some(account) = self.accounts.get_mut(&program) {
                account.update(turn, |entry| std::mem::take(&mut entry.has_turn_record));
            }
            if stored.is_cached {
                self.cached_bytes -= stored.record.input.len() + stored.record.output.len();
            }
            self.digests.toggle(&RecordKey {
                kind: RecordKind::Turn,
                program,
                turn,
            });
        }
        let digests = &mut self.digests;
        self.accounts.retain(|program, account| {
            let is_current = account.expires_at_ms > now_ms || account.has_turn_record();
            if !is_current {
                account.keys(*program).for_each(|key| digests.toggle(&key));
            }
            is_current
        });
        let turns = &self.turns;
        self.cached
            .retain(|turn| turns.get(turn).is_some_and(|stored| stored.is_cached));
        let mut arrivals = std::mem::take(&mut self.arrivals);
        arrivals.sweep(|key| self.contains(key));
        self.arrivals = arrivals;
        pruned
    }

    /// Gives each expired turn that a current one continues, directly or over expired ones, the expiry of that one. Returns
    /// the number of these turns.
    ///
    /// A turn is visited once in a call, also where links that callers have chosen form a cycle.
    fn renew_continued(&mut self, now_ms: u64) -> usize {
        let is_expired = |stored: &StoredTurn| stored.expires_at_ms <= now_ms;
        // Few turns expire at a time; they are sorted like the map.
        let expired = self.turns.iter().filter(|(_, stored)| is_expired(stored));
        let expired: Vec<TurnKey> = expired.map(|(turn, _)| *turn).collect();
        if expired.is_empty() {
            return 0;
        }
        let current = self.turns.values().filter(|stored| !is_expired(stored));
        let continuing = current.filter_map(|stored| {
            let previous = stored.record.previous?;
            expired.binary_search(&previous).ok()?;
            Some((previous, stored.expires_at_ms))
        });
        let continuing: Vec<(TurnKey, u64)> = continuing.collect();
        let mut renewed = 0;
        for (turn, expires_at_ms) in continuing {
            let mut next = Some(turn);
            while let Some(stored) = next.and_then(|turn| self.turns.get_mut(&turn))
                && is_expired(stored)
            {
                stored.expires_at_ms = expires_at_ms;
                renewed += 1;
                next = stored.record.previous;
            }
        }
        renewed
    }

    /// Returns the numbers of programs and of stored turns.
    pub fn sizes(&self) -> (usize, usize) {
        (self.accounts.len(), self.turns.len())
    }

    /// Returns the size of the payloads in memory, in bytes.
    pub const fn cached_bytes(&self) -> usize {
        self.cached_bytes
    }

    /// Inserts a record without the payload of its turn; returns whether it was new.
    fn insert(&mut self, record: &LedgerRecord, now_ms: u64) -> bool {
        let account = self.accounts.entry(record.program()).or_default();
        let expires_at_ms = now_ms
            .saturating_add(record.retention_ms())
            .saturating_add(RETENTION_SLACK_MS);
        account.expires_at_ms = account.expires_at_ms.max(expires_at_ms);
        let key = record.key();
        let is_new = account.update(key.turn, |entry| match record {
            LedgerRecord::Reserved {
                tokens, retention_ms, ..
            } => {
                entry.retention_ms = *retention_ms;
                entry.reserved.replace(*tokens).is_none()
            }
            LedgerRecord::Begun {
                tokens,
                retention_ms,
                build,
                ..
            } => {
                entry.retention_ms = *retention_ms;
                entry.build.get_or_insert(*build);
                entry.reserved.replace(*tokens).is_none()
            }
            LedgerRecord::Moved { build, .. } => {
                entry.build = Some(*build);
                !std::mem::replace(&mut entry.is_moved, true)
            }
            LedgerRecord::Settled { tokens, .. } => entry.settled.replace(*tokens).is_none(),
            LedgerRecord::Turn(_) => !std::mem::replace(&mut entry.has_turn_record, true),
        });
        if !is_new {
            return false;
        }
        if let LedgerRecord::Settled { program, turn, .. } = record {
            self.mark_ended(*program, *turn);
        }
        if let LedgerRecord::Turn(turn) = record {
            let record = TurnRecord {
                input: Bytes::new(),
                output: Bytes::new(),
                ..turn.clone()
            };
            let stored = StoredTurn {
                record,
                place: None,
                is_cached: false,
                expires_at_ms,
            };
            self.turns.insert(turn.turn, stored);
        }
        self.digests.toggle(&key);
        self.arrivals.push(key);
        true
    }

    /// Marks a turn as ended if it is open.
    fn mark_ended(&mut self, program: ProgramKey, turn: TurnKey) {
        let account = self.accounts.get_mut(&program);
        let was_open =
            account.is_some_and(|account| account.update(turn, |entry| std::mem::take(&mut entry.is_open)));
        self.open_turns -= u64::from(was_open);
    }

    /// Caches the payload of a turn, and evicts older payloads that exceed the limit.
    fn cache_payload(&mut self, turn: &TurnRecord) {
        let Some(stored) = self.turns.get_mut(&turn.turn) else {
            return;
        };
        stored.record = turn.clone();
        stored.is_cached = true;
        self.cached.push_back(turn.turn);
        self.cached_bytes += turn.input.len() + turn.output.len();
        self.evict_payloads();
    }

    /// Evicts the oldest payloads while they exceed the limit, but none that is not on the disk yet.
    fn evict_payloads(&mut self) {
        while self.cached_bytes > self.payload_cache_limit_bytes
            && let Some(oldest) = self.cached.front()
        {
            if let Some(stored) = self.turns.get_mut(oldest) {
                if stored.place.is_none() {
                    return;
                }
                let payloads = [&mut stored.record.input, &mut stored.record.output];
                for payload in payloads {
                    self.cached_bytes -= std::mem::take(payload).len();
                }
                stored.is_cached = false;
            }
            self.cached.pop_front();
        }
    }

    fn entry(&self, key: &RecordKey) -> TurnEntry {
        let account = self.accounts.get(&key.program);
        account.map_or_else(TurnEntry::default, |account| account.entry_of(key.turn))
    }
}

fn found_record(stored: &StoredTurn) -> FoundRecord {
    match stored.place {
        Some(place) if !stored.is_cached => FoundRecord::OnDisk(place),
        _ => FoundRecord::InMemory(LedgerRecord::Turn(stored.record.clone())),
    }
}
