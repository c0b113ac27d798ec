//! Records of the ledger and their keys.

use std::ops::RangeInclusive;

use bytes::Bytes;
use domain::{BuildKey, WorkspaceKey};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128, xxh3_128_with_seed};

/// Bits of a turn's key that depend on its id alone.
const TURN_ID_BITS: u32 = 64;

/// Size in bytes above which a payload or a message counts as large: it travels apart from the others.
pub const LARGE_PAYLOAD_BYTES: usize = 256 * 1024;

/// Identifies a program by the 128-bit XXH3 hash of the name that its caller chose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProgramKey(pub u128);

/// Identifies a turn by the 128-bit XXH3 hash of the id that its caller chose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TurnKey(pub u128);

impl ProgramKey {
    /// Returns the key of the program with this name.
    pub fn from_name(name: &[u8]) -> Self {
        Self(xxh3_128(name))
    }

    /// Returns the key of the program with the same name in a workspace.
    #[must_use]
    pub fn in_workspace(self, workspace: WorkspaceKey) -> Self {
        Self(xxh3_128_with_seed(&self.0.to_le_bytes(), workspace.0))
    }

    /// Returns the upper 32 bits of the key: uniformly distributed, and the same for every turn of the
    /// program.
    pub const fn uniform_hash(self) -> u32 {
        (self.0 >> (u128::BITS - u32::BITS)) as u32
    }
}

impl TurnKey {
    /// Returns the key of the turn with this id.
    pub fn from_id(id: &[u8]) -> Self {
        Self(xxh3_128(id))
    }

    /// Returns the key of the turn with the same id in a workspace. Its upper half depends on the id alone, so that a host
    /// can tell a turn of another workspace from one that nobody knows.
    #[must_use]
    pub fn in_workspace(self, workspace: WorkspaceKey) -> Self {
        let lower = u128::from(xxh3_64_with_seed(&self.0.to_le_bytes(), workspace.0));
        Self(self.same_id().start().0 | lower)
    }

    /// Returns the range of the keys of all turns with the same id, whichever workspace they belong to.
    pub const fn same_id(self) -> RangeInclusive<Self> {
        let lower_mask = u128::MAX >> TURN_ID_BITS;
        Self(self.0 & !lower_mask)..=Self(self.0 | lower_mask)
    }
}

/// A completed turn. Its input and output are its payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TurnRecord {
    /// Program that the turn belongs to.
    pub program: ProgramKey,
    /// Key of the turn.
    pub turn: TurnKey,
    /// Turn that this one continues; `None` for the first turn of a chain.
    pub previous: Option<TurnKey>,
    /// Input that the caller sent for this turn.
    pub input: Bytes,
    /// Data of the events that the caller received, each followed by a line feed.
    pub output: Bytes,
    /// How long the turn is retained, in milliseconds.
    pub retention_ms: u64,
}

impl TurnRecord {
    /// Returns the size of the input and the output in bytes.
    pub const fn payload_bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// A record of the ledger. Records may be applied in any order and more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LedgerRecord {
    /// Reserves tokens of the program's budget for a turn.
    Reserved {
        /// Program that the turn belongs to.
        program: ProgramKey,
        /// Turn that the tokens are reserved for.
        turn: TurnKey,
        /// Largest number of tokens that the turn may spend.
        tokens: u64,
        /// How long the program's account is retained, in milliseconds.
        retention_ms: u64,
    },
    /// Replaces the reservation of a turn by the tokens that the turn spent.
    Settled {
        /// Program that the turn belongs to.
        program: ProgramKey,
        /// Turn that spent the tokens.
        turn: TurnKey,
        /// Tokens delivered to the caller; 0 releases the reservation.
        tokens: u64,
    },
    /// Stores a completed turn.
    Turn(TurnRecord),
    /// Reserves tokens as [`Self::Reserved`] does, for a turn whose stream may be taken up again. It replaces that
    /// record.
    Begun {
        /// Program that the turn belongs to.
        program: ProgramKey,
        /// Turn that the tokens are reserved for.
        turn: TurnKey,
        /// Largest number of tokens that the turn may spend.
        tokens: u64,
        /// How long the program's account is retained, in milliseconds.
        retention_ms: u64,
        /// Software that produces the events of the stream.
        build: BuildKey,
    },
    /// Replaces the software of a turn of which no event has been delivered yet; at most once for a turn.
    Moved {
        /// Program that the turn belongs to.
        program: ProgramKey,
        /// Turn whose stream another software begins.
        turn: TurnKey,
        /// Software that produces the events of the stream.
        build: BuildKey,
    },
}

/// Kind of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordKind {
    /// Kind of [`LedgerRecord::Reserved`] and [`LedgerRecord::Begun`].
    Reserved,
    /// Kind of [`LedgerRecord::Settled`].
    Settled,
    /// Kind of [`LedgerRecord::Turn`].
    Turn,
    /// Kind of [`LedgerRecord::Moved`].
    Moved,
}

/// Identifies a record; no two different records share a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordKey {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Program that the record belongs to.
    pub program: ProgramKey,
    /// Turn that the record is about.
    pub turn: TurnKey,
}

impl LedgerRecord {
    /// Returns the key that identifies the record.
    pub const fn key(&self) -> RecordKey {
        let (kind, program, turn) = match self {
            Self::Reserved { program, turn, .. } | Self::Begun { program, turn, .. } => {
                (RecordKind::Reserved, *program, *turn)
            }
            Self::Moved { program, turn, .. } => (RecordKind::Moved, *program, *turn),
            Self::Settled { program, turn, .. } => (RecordKind::Settled, *program, *turn),
            Self::Turn(record) => (RecordKind::Turn, record.program, record.turn),
        };
        RecordKey { kind, program, turn }
    }

    /// Returns how long the record must be retained, in milliseconds. Returns 0 for a settlement and for a change of
    /// the software, which expire with the account that the reservation retains.
    pub const fn retention_ms(&self) -> u64 {
        match self {
            Self::Reserved { retention_ms, .. } | Self::Begun { retention_ms, .. } => *retention_ms,
            Self::Settled { .. } | Self::Moved { .. } => 0,
            Self::Turn(record) => record.retention_ms,
        }
    }

    /// Returns the size of the record's payload in bytes; other fields have few.
    pub const fn payload_bytes(&self) -> usize {
        match self {
            Self::Turn(record) => record.payload_bytes(),
            Self::Reserved { .. } | Self::Settled { .. } | Self::Begun { .. } | Self::Moved { .. } => 0,
        }
    }

    /// Returns the program that the record belongs to.
    pub const fn program(&self) -> ProgramKey {
        self.key().program
    }
}
