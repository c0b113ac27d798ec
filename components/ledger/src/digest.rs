//! Digests by which two hosts find the records that one of them lacks.
//!
//! Load pattern: after a power loss every host holds nearly what the others hold. Comparing a digest of each
//! bucket of programs costs a few kilobytes, where the keys of all records would fill the links for seconds.

use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::record::{ProgramKey, RecordKey};

/// Bits of a program's key that name its bucket. With 16,384 buckets a few hundred programs that differ touch few
/// of the others, and the digests fit in 128 KiB.
const BUCKET_BITS: u32 = 14;
/// Bits of a program's key.
const KEY_BITS: u32 = u128::BITS;
/// Buckets.
const BUCKETS: usize = 1 << BUCKET_BITS;

/// One number for each bucket: the exclusive or of the hashes of its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BucketDigests(Vec<u64>);

impl Default for BucketDigests {
    fn default() -> Self {
        Self(vec![0; BUCKETS])
    }
}

impl BucketDigests {
    /// Adds a key, or takes it away when it was added before.
    pub(crate) fn toggle(&mut self, key: &RecordKey) {
        let mut bytes = [0; 33];
        bytes[0] = key.kind as u8;
        bytes[1..17].copy_from_slice(&key.program.0.to_le_bytes());
        bytes[17..].copy_from_slice(&key.turn.0.to_le_bytes());
        self.0[bucket_of(key.program)] ^= xxh3_64(&bytes);
    }

    /// Returns the buckets in which the other's digest is another one; all where the other one has another size.
    pub fn differing(&self, other: &Self) -> Vec<u16> {
        let is_comparable = self.0.len() == other.0.len();
        let buckets = 0..=u16::MAX;
        let pairs = buckets.zip(&self.0);
        let differing = pairs
            .filter(|(bucket, digest)| !is_comparable || other.0.get(usize::from(*bucket)) != Some(digest));
        differing.map(|(bucket, _)| bucket).collect()
    }
}

const fn bucket_of(program: ProgramKey) -> usize {
    (program.0 >> (KEY_BITS - BUCKET_BITS)) as usize
}

/// Returns the programs of a bucket; `None` where there is no such bucket.
pub(crate) fn bucket_range(bucket: u16) -> Option<RangeInclusive<ProgramKey>> {
    if usize::from(bucket) >= BUCKETS {
        return None;
    }
    let shift = KEY_BITS - BUCKET_BITS;
    let first = u128::from(bucket) << shift;
    let last = first | ((1 << shift) - 1);
    Some(ProgramKey(first)..=ProgramKey(last))
}
