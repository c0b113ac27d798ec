//! The records of one host, indexed for counting and reading back.

use std::collections::{HashMap, VecDeque};

use crate::record::{LedgerRecord, ProgramKey, RecordKey, RecordKind, TurnKey, TurnRecord};

/// Time in milliseconds for which records are kept beyond their retention: a host that was away may still copy them.
const RETENTION_SLACK_MS: u64 = 60_000;

/// Tokens of one turn.
#[derive(Debug, Clone, Copy, Default)]
struct TurnTokens {
    reserved: Option<u64>,
    settled: Option<u64>,
    retention_ms: u64,
}

impl TurnTokens {
    /// Returns what counts against the budget.
    fn committed(self) -> u64 {
        self.settled.or(self.reserved).unwrap_or_default()
    }
}

/// Turns of one program, sorted by their keys.
#[derive(Debug, Default)]
struct ProgramAccount {
    turns: Vec<(TurnKey, TurnTokens)>,
    committed: u64,
    kept_until_ms: u64,
}

impl ProgramAccount {
    /// Sets a turn's tokens and returns whether anything was new.
    fn set(&mut self, turn: TurnKey, set: impl FnOnce(&mut TurnTokens) -> bool) -> bool {
        let place = match self.turns.binary_search_by_key(&turn, |(turn, _)| *turn) {
            Ok(place) => place,
            Err(place) => {
                self.turns.insert(place, (turn, TurnTokens::default()));
                place
            }
        };
        let tokens = &mut self.turns[place].1;
        let before = tokens.committed();
        let is_new = set(tokens);
        self.committed = self.committed - before + tokens.committed();
        is_new
    }

    fn tokens_of(&self, turn: TurnKey) -> TurnTokens {
        let place = self.turns.binary_search_by_key(&turn, |(turn, _)| *turn);
        place.map_or_else(|_| TurnTokens::default(), |place| self.turns[place].1)
    }
}

/// A kept turn.
#[derive(Debug)]
struct KeptTurn {
    record: TurnRecord,
    kept_until_ms: u64,
}

/// The records of one host. A record may be applied in any order and any number of times.
#[derive(Debug, Default)]
pub struct LedgerBook {
    accounts: HashMap<ProgramKey, ProgramAccount>,
    turns: HashMap<TurnKey, KeptTurn>,
    /// Keys in the order of their arrival; the first one has the number `first_number`.
    arrivals: VecDeque<RecordKey>,
    first_number: u64,
}

impl LedgerBook {
    /// Applies a record; returns whether it was new.
    pub fn apply(&mut self, record: &LedgerRecord, now_ms: u64) -> bool {
        let is_new = match record {
            LedgerRecord::Reserved {
                program,
                turn,
                tokens,
                retention_ms,
            } => self.account(*program, *retention_ms, now_ms).set(*turn, |slot| {
                slot.retention_ms = *retention_ms;
                slot.reserved.replace(*tokens).is_none()
            }),
            LedgerRecord::Settled {
                program,
                turn,
                tokens,
            } => self
                .account(*program, 0, now_ms)
                .set(*turn, |slot| slot.settled.replace(*tokens).is_none()),
            LedgerRecord::Turn(turn) => self.keep(turn, now_ms),
        };
        if is_new {
            self.arrivals.push_back(record.key());
        }
        is_new
    }

    /// Returns the tokens that count against a program's budget: spent ones and open reservations.
    pub fn committed(&self, program: ProgramKey) -> u64 {
        self.accounts.get(&program).map_or(0, |account| account.committed)
    }

    /// Returns a turn and those before it, the newest first, as far as they are known here.
    pub fn chain(&self, turn: TurnKey) -> Vec<TurnRecord> {
        let mut chain = Vec::new();
        let mut next = Some(turn);
        while let Some(kept) = next.and_then(|turn| self.turns.get(&turn)) {
            chain.push(kept.record.clone());
            next = kept.record.previous;
        }
        chain
    }

    /// Returns whether a record is known.
    pub fn contains(&self, key: &RecordKey) -> bool {
        match key.kind {
            RecordKind::Turn => self.turns.contains_key(&key.turn),
            RecordKind::Reserved => self.tokens(key).reserved.is_some(),
            RecordKind::Settled => self.tokens(key).settled.is_some(),
        }
    }

    /// Returns a record.
    pub fn record(&self, key: &RecordKey) -> Option<LedgerRecord> {
        let RecordKey { kind, program, turn } = *key;
        match kind {
            RecordKind::Turn => Some(LedgerRecord::Turn(self.turns.get(&turn)?.record.clone())),
            RecordKind::Reserved => {
                let slot = self.tokens(key);
                Some(LedgerRecord::Reserved {
                    program,
                    turn,
                    tokens: slot.reserved?,
                    retention_ms: slot.retention_ms,
                })
            }
            RecordKind::Settled => {
                let tokens = self.tokens(key).settled?;
                Some(LedgerRecord::Settled {
                    program,
                    turn,
                    tokens,
                })
            }
        }
    }

    /// Returns the number that the next new record will have.
    pub fn next_number(&self) -> u64 {
        self.first_number + self.arrivals.len() as u64
    }

    /// Returns the keys that arrived at or after a number, at most `most`, and the number after the last one.
    pub fn arrivals_since(&self, number: u64, most: usize) -> (Vec<RecordKey>, u64) {
        let skipped = number.saturating_sub(self.first_number);
        let skipped = usize::try_from(skipped)
            .unwrap_or(usize::MAX)
            .min(self.arrivals.len());
        let keys: Vec<RecordKey> = self.arrivals.iter().skip(skipped).take(most).copied().collect();
        let next = self.first_number + (skipped + keys.len()) as u64;
        (keys, next)
    }

    /// Forgets what has outlived its retention.
    pub fn prune(&mut self, now_ms: u64) {
        self.turns.retain(|_, kept| kept.kept_until_ms > now_ms);
        self.accounts.retain(|_, account| account.kept_until_ms > now_ms);
        while let Some(key) = self.arrivals.front() {
            if self.contains(key) {
                break;
            }
            self.arrivals.pop_front();
            self.first_number += 1;
        }
    }

    /// Returns the number of programs and of kept turns.
    pub fn sizes(&self) -> (usize, usize) {
        (self.accounts.len(), self.turns.len())
    }

    fn account(&mut self, program: ProgramKey, retention_ms: u64, now_ms: u64) -> &mut ProgramAccount {
        let account = self.accounts.entry(program).or_default();
        let kept_until_ms = now_ms
            .saturating_add(retention_ms)
            .saturating_add(RETENTION_SLACK_MS);
        account.kept_until_ms = account.kept_until_ms.max(kept_until_ms);
        account
    }

    fn keep(&mut self, record: &TurnRecord, now_ms: u64) -> bool {
        if self.turns.contains_key(&record.turn) {
            return false;
        }
        let kept_until_ms = now_ms
            .saturating_add(record.retention_ms)
            .saturating_add(RETENTION_SLACK_MS);
        let record = record.clone();
        self.turns.insert(
            record.turn,
            KeptTurn {
                record,
                kept_until_ms,
            },
        );
        true
    }

    fn tokens(&self, key: &RecordKey) -> TurnTokens {
        let account = self.accounts.get(&key.program);
        account.map_or_else(TurnTokens::default, |account| account.tokens_of(key.turn))
    }
}
