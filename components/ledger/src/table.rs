//! The records of one host, indexed for counting and reading back.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::Bytes;
use rustc_hash::FxBuildHasher;

use crate::digest::{BucketDigests, bucket_range};
use crate::index::{IndexedRecord, RecordPlace};
use crate::record::{LedgerRecord, ProgramKey, RecordKey, RecordKind, TurnKey, TurnRecord};

/// Time in milliseconds for which records are kept beyond their retention: a host that was away may still copy them.
const RETENTION_SLACK_MS: u64 = 60_000;
/// Time in milliseconds after which a turn no longer counts as under way: beyond the timeout of every route. The
/// settlement of a turn whose entry died never comes.
const OPEN_MS: u64 = 5_000;

/// What is known of one turn of a program.
#[derive(Debug, Clone, Copy, Default)]
struct TurnEntry {
    reserved: Option<u64>,
    settled: Option<u64>,
    retention_ms: u64,
    is_kept: bool,
    is_open: bool,
}

impl TurnEntry {
    /// Returns what counts against the budget.
    fn committed(self) -> u64 {
        self.settled.or(self.reserved).unwrap_or_default()
    }

    /// Returns the kinds of its records.
    fn kinds(self) -> impl Iterator<Item = RecordKind> {
        let reserved = self.reserved.map(|_| RecordKind::Reserved);
        let settled = self.settled.map(|_| RecordKind::Settled);
        let kept = self.is_kept.then_some(RecordKind::Turn);
        reserved.into_iter().chain(settled).chain(kept)
    }
}

/// Turns of one program, sorted by their keys.
#[derive(Debug, Default)]
struct ProgramAccount {
    turns: Vec<(TurnKey, TurnEntry)>,
    committed: u64,
    kept_until_ms: u64,
}

impl ProgramAccount {
    /// Changes a turn's entry and returns what the change returns.
    fn change(&mut self, turn: TurnKey, change: impl FnOnce(&mut TurnEntry) -> bool) -> bool {
        let place = match self.turns.binary_search_by_key(&turn, |(turn, _)| *turn) {
            Ok(place) => place,
            Err(place) => {
                self.turns.insert(place, (turn, TurnEntry::default()));
                place
            }
        };
        let entry = &mut self.turns[place].1;
        let before = entry.committed();
        let is_new = change(entry);
        self.committed = self.committed - before + entry.committed();
        is_new
    }

    fn entry_of(&self, turn: TurnKey) -> TurnEntry {
        let place = self.turns.binary_search_by_key(&turn, |(turn, _)| *turn);
        place.map_or_else(|_| TurnEntry::default(), |place| self.turns[place].1)
    }

    fn keys(&self, program: ProgramKey) -> impl Iterator<Item = RecordKey> {
        self.turns
            .iter()
            .flat_map(move |&(turn, entry)| entry.kinds().map(move |kind| RecordKey { kind, program, turn }))
    }
}

/// A kept turn. Its texts are empty once they are only on the disk.
#[derive(Debug)]
struct KeptTurn {
    record: TurnRecord,
    /// Where it stands on the disk; `None` until it was written.
    place: Option<RecordPlace>,
    is_cached: bool,
    kept_until_ms: u64,
}

/// A record that was found: in memory, or at a place on the disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoundRecord {
    /// The record.
    InMemory(LedgerRecord),
    /// Its place.
    OnDisk(RecordPlace),
}

impl FoundRecord {
    /// Returns the bytes of its texts, or of its frame on the disk.
    pub const fn size(&self) -> usize {
        match self {
            Self::InMemory(LedgerRecord::Turn(turn)) => turn.input.len() + turn.output.len(),
            Self::InMemory(_) => 0,
            Self::OnDisk(place) => place.length as usize,
        }
    }
}

/// The records of one host. A record may be applied in any order and any number of times.
#[derive(Debug)]
pub struct RecordTable {
    accounts: BTreeMap<ProgramKey, ProgramAccount>,
    turns: HashMap<TurnKey, KeptTurn, FxBuildHasher>,
    digests: BucketDigests,
    /// Turns whose texts are in memory, the oldest first.
    cached: VecDeque<TurnKey>,
    /// Turns that were begun lately, the oldest first, with their times in milliseconds.
    begun: VecDeque<(u64, ProgramKey, TurnKey)>,
    open_turns: u64,
    cached_bytes: usize,
    payload_cache_limit_bytes: usize,
    /// Keys in the order of their arrival; the first one has the number `first_sequence`.
    arrivals: VecDeque<RecordKey>,
    first_sequence: u64,
}

impl RecordTable {
    /// Creates an empty book that keeps texts of up to `payload_cache_limit_bytes` in memory, and more only until they are
    /// written.
    pub fn new(payload_cache_limit_bytes: usize) -> Self {
        Self {
            accounts: BTreeMap::new(),
            turns: HashMap::default(),
            digests: BucketDigests::default(),
            cached: VecDeque::new(),
            begun: VecDeque::new(),
            open_turns: 0,
            cached_bytes: 0,
            payload_cache_limit_bytes,
            arrivals: VecDeque::new(),
            first_sequence: 0,
        }
    }

    /// Applies a record; returns whether it was new.
    pub fn apply(&mut self, record: &LedgerRecord, now_ms: u64) -> bool {
        let is_new = self.enter(record, now_ms);
        if is_new && let LedgerRecord::Turn(turn) = record {
            self.cache_payload(turn);
        }
        is_new
    }

    /// Applies a record that an entry has just written: a reservation begins a turn.
    pub fn apply_written(&mut self, record: &LedgerRecord, now_ms: u64) {
        let is_new = self.apply(record, now_ms);
        if let LedgerRecord::Reserved { program, turn, .. } = record
            && is_new
            && let Some(account) = self.accounts.get_mut(program)
            && account.change(*turn, |entry| {
                entry.is_open = entry.settled.is_none();
                entry.is_open
            })
        {
            self.open_turns += 1;
            self.begun.push_back((now_ms, *program, *turn));
        }
    }

    /// Returns the number of turns under way among those whose reservations were written here.
    pub fn open_turns(&mut self, now_ms: u64) -> u64 {
        while let Some(&(begun_ms, program, turn)) = self.begun.front()
            && begun_ms + OPEN_MS <= now_ms
        {
            self.begun.pop_front();
            self.close(program, turn);
        }
        self.open_turns
    }

    /// Applies a record whose texts are on the disk only; returns whether it was new.
    pub fn apply_indexed(&mut self, indexed: &IndexedRecord, now_ms: u64) -> bool {
        let is_new = self.enter(&indexed.record, now_ms);
        if let LedgerRecord::Turn(turn) = &indexed.record {
            self.set_place(turn.turn, indexed.place);
        }
        is_new
    }

    /// Notes where a turn stands on the disk, so that its texts need not stay in memory.
    pub fn set_place(&mut self, turn: TurnKey, place: RecordPlace) {
        if let Some(kept) = self.turns.get_mut(&turn) {
            kept.place.get_or_insert(place);
        }
        self.evict_payloads();
    }

    /// Returns the tokens that count against a program's budget: spent ones and open reservations.
    pub fn committed(&self, program: ProgramKey) -> u64 {
        self.accounts.get(&program).map_or(0, |account| account.committed)
    }

    /// Returns a turn and those before it, the newest first, as far as they are known here.
    pub fn chain(&self, turn: TurnKey) -> Vec<FoundRecord> {
        let mut chain = Vec::new();
        let mut next = Some(turn);
        while let Some(kept) = next.and_then(|turn| self.turns.get(&turn)) {
            chain.push(found(kept));
            next = kept.record.previous;
        }
        chain
    }

    /// Returns whether a record is known.
    pub fn contains(&self, key: &RecordKey) -> bool {
        let entry = self.entry(key);
        match key.kind {
            RecordKind::Turn => entry.is_kept,
            RecordKind::Reserved => entry.reserved.is_some(),
            RecordKind::Settled => entry.settled.is_some(),
        }
    }

    /// Returns a record.
    pub fn record(&self, key: &RecordKey) -> Option<FoundRecord> {
        let RecordKey { kind, program, turn } = *key;
        let entry = self.entry(key);
        let record = match kind {
            RecordKind::Turn => return self.turns.get(&turn).map(found),
            RecordKind::Reserved => LedgerRecord::Reserved {
                program,
                turn,
                tokens: entry.reserved?,
                retention_ms: entry.retention_ms,
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

    /// Returns the number that the next new record will have.
    pub fn next_sequence(&self) -> u64 {
        self.first_sequence + self.arrivals.len() as u64
    }

    /// Returns the keys that arrived at or after a number, at most `most`, and the number after the last one.
    pub fn arrivals_since(&self, number: u64, most: usize) -> (Vec<RecordKey>, u64) {
        let skipped = number.saturating_sub(self.first_sequence);
        let skipped = usize::try_from(skipped)
            .unwrap_or(usize::MAX)
            .min(self.arrivals.len());
        let keys: Vec<RecordKey> = self.arrivals.iter().skip(skipped).take(most).copied().collect();
        let next = self.first_sequence + (skipped + keys.len()) as u64;
        (keys, next)
    }

    /// Forgets what has outlived its retention.
    pub fn prune(&mut self, now_ms: u64) {
        let outlived = self.turns.extract_if(|_, kept| kept.kept_until_ms <= now_ms);
        for (turn, kept) in outlived {
            let program = kept.record.program;
            if let Some(account) = self.accounts.get_mut(&program) {
                account.change(turn, |entry| std::mem::take(&mut entry.is_kept));
            }
            if kept.is_cached {
                self.cached_bytes -= kept.record.input.len() + kept.record.output.len();
            }
            self.digests.toggle(&RecordKey {
                kind: RecordKind::Turn,
                program,
                turn,
            });
        }
        let digests = &mut self.digests;
        self.accounts.retain(|program, account| {
            let is_current = account.kept_until_ms > now_ms;
            if !is_current {
                account.keys(*program).for_each(|key| digests.toggle(&key));
            }
            is_current
        });
        let turns = &self.turns;
        self.cached
            .retain(|turn| turns.get(turn).is_some_and(|kept| kept.is_cached));
        while let Some(key) = self.arrivals.front() {
            if self.contains(key) {
                break;
            }
            self.arrivals.pop_front();
            self.first_sequence += 1;
        }
    }

    /// Returns the number of programs and of kept turns.
    pub fn sizes(&self) -> (usize, usize) {
        (self.accounts.len(), self.turns.len())
    }

    /// Returns the bytes of the texts in memory.
    pub const fn cached_bytes(&self) -> usize {
        self.cached_bytes
    }

    /// Enters a record without the texts of its turn; returns whether it was new.
    fn enter(&mut self, record: &LedgerRecord, now_ms: u64) -> bool {
        let account = self.accounts.entry(record.program()).or_default();
        let kept_until_ms = now_ms
            .saturating_add(record.retention_ms())
            .saturating_add(RETENTION_SLACK_MS);
        account.kept_until_ms = account.kept_until_ms.max(kept_until_ms);
        let key = record.key();
        let is_new = account.change(key.turn, |entry| match record {
            LedgerRecord::Reserved {
                tokens, retention_ms, ..
            } => {
                entry.retention_ms = *retention_ms;
                entry.reserved.replace(*tokens).is_none()
            }
            LedgerRecord::Settled { tokens, .. } => entry.settled.replace(*tokens).is_none(),
            LedgerRecord::Turn(_) => !std::mem::replace(&mut entry.is_kept, true),
        });
        if !is_new {
            return false;
        }
        if let LedgerRecord::Settled { program, turn, .. } = record {
            self.close(*program, *turn);
        }
        if let LedgerRecord::Turn(turn) = record {
            let record = TurnRecord {
                input: Bytes::new(),
                output: Bytes::new(),
                ..turn.clone()
            };
            let kept = KeptTurn {
                record,
                place: None,
                is_cached: false,
                kept_until_ms,
            };
            self.turns.insert(turn.turn, kept);
        }
        self.digests.toggle(&key);
        self.arrivals.push_back(key);
        true
    }

    /// Counts a turn as ended if it is under way.
    fn close(&mut self, program: ProgramKey, turn: TurnKey) {
        let account = self.accounts.get_mut(&program);
        let was_open =
            account.is_some_and(|account| account.change(turn, |entry| std::mem::take(&mut entry.is_open)));
        self.open_turns -= u64::from(was_open);
    }

    /// Holds the texts of a turn in memory.
    fn cache_payload(&mut self, turn: &TurnRecord) {
        let Some(kept) = self.turns.get_mut(&turn.turn) else {
            return;
        };
        kept.record = turn.clone();
        kept.is_cached = true;
        self.cached.push_back(turn.turn);
        self.cached_bytes += turn.input.len() + turn.output.len();
        self.evict_payloads();
    }

    /// Drops the oldest texts that are on the disk while there are too many.
    fn evict_payloads(&mut self) {
        while self.cached_bytes > self.payload_cache_limit_bytes
            && let Some(oldest) = self.cached.front()
        {
            if let Some(kept) = self.turns.get_mut(oldest) {
                if kept.place.is_none() {
                    return;
                }
                let texts = [&mut kept.record.input, &mut kept.record.output];
                for text in texts {
                    self.cached_bytes -= std::mem::take(text).len();
                }
                kept.is_cached = false;
            }
            self.cached.pop_front();
        }
    }

    fn entry(&self, key: &RecordKey) -> TurnEntry {
        let account = self.accounts.get(&key.program);
        account.map_or_else(TurnEntry::default, |account| account.entry_of(key.turn))
    }
}

fn found(kept: &KeptTurn) -> FoundRecord {
    match kept.place {
        Some(place) if !kept.is_cached => FoundRecord::OnDisk(place),
        _ => FoundRecord::InMemory(LedgerRecord::Turn(kept.record.clone())),
    }
}
