//! Records of the ledger and their keys.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// Identifies a program by the hash of the name that its caller chose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProgramKey(pub u128);

/// Identifies a turn by the hash of its caller's id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TurnKey(pub u128);

impl ProgramKey {
    /// Returns the key of a program's name.
    pub fn from_name(name: &[u8]) -> Self {
        Self(xxh3_128(name))
    }

    /// Returns a number that the program keeps, uniform over its range.
    pub const fn uniform_hash(self) -> u32 {
        (self.0 >> (u128::BITS - u32::BITS)) as u32
    }
}

impl TurnKey {
    /// Returns the key of a turn's id.
    pub fn from_id(id: &[u8]) -> Self {
        Self(xxh3_128(id))
    }
}

/// A turn that ended whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TurnRecord {
    /// Program of the turn.
    pub program: ProgramKey,
    /// The turn.
    pub turn: TurnKey,
    /// The turn that it continues.
    pub previous: Option<TurnKey>,
    /// What the caller sent.
    pub input: Bytes,
    /// Data of the events that the caller received, each followed by a line feed.
    pub output: Bytes,
    /// How long the turn is kept, in milliseconds.
    pub retention_ms: u64,
}

/// One record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LedgerRecord {
    /// Tokens that a turn may spend at most.
    Reserved {
        /// Program of the turn.
        program: ProgramKey,
        /// The turn.
        turn: TurnKey,
        /// Largest number of tokens.
        tokens: u64,
        /// How long the program's account is kept, in milliseconds.
        retention_ms: u64,
    },
    /// Tokens that a turn has spent; it replaces the reservation.
    Settled {
        /// Program of the turn.
        program: ProgramKey,
        /// The turn.
        turn: TurnKey,
        /// Tokens handed to the caller.
        tokens: u64,
    },
    /// A turn that ended whole.
    Turn(TurnRecord),
}

/// Kind of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordKind {
    /// [`LedgerRecord::Reserved`]
    Reserved,
    /// [`LedgerRecord::Settled`]
    Settled,
    /// [`LedgerRecord::Turn`]
    Turn,
}

/// Identifies a record; no two different records share one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordKey {
    /// Kind.
    pub kind: RecordKind,
    /// Program.
    pub program: ProgramKey,
    /// Turn.
    pub turn: TurnKey,
}

impl LedgerRecord {
    /// Returns the key.
    pub const fn key(&self) -> RecordKey {
        let (kind, program, turn) = match self {
            Self::Reserved { program, turn, .. } => (RecordKind::Reserved, *program, *turn),
            Self::Settled { program, turn, .. } => (RecordKind::Settled, *program, *turn),
            Self::Turn(record) => (RecordKind::Turn, record.program, record.turn),
        };
        RecordKey { kind, program, turn }
    }

    /// Returns how long the record must be kept, in milliseconds; a settlement goes with its reservation.
    pub const fn retention_ms(&self) -> u64 {
        match self {
            Self::Reserved { retention_ms, .. } => *retention_ms,
            Self::Settled { .. } => 0,
            Self::Turn(record) => record.retention_ms,
        }
    }

    /// Returns the program.
    pub const fn program(&self) -> ProgramKey {
        self.key().program
    }
}
