//! Digests with which two hosts find the records that one of them lacks.
//!
//! After a power loss all hosts hold nearly the same records. Exchanging one digest per bucket of programs
//! takes little traffic (see `BUCKET_BITS`), whereas the keys of all records would saturate the links for
//! seconds.

use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::record::{ProgramKey, RecordKey};

/// Leading bits of a program's key that select its bucket. With 16,384 buckets a few hundred differing
/// programs share their buckets with few others, and the digests fit in 128 KiB.
const BUCKET_BITS: u32 = 14;
const KEY_BITS: u32 = u128::BITS;
const BUCKETS: usize = 1 << BUCKET_BITS;

/// One digest per bucket: the XOR of the hashes of its record keys, which does not depend on their order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BucketDigests(Vec<u64>);

impl Default for BucketDigests {
    fn default() -> Self {
        Self(vec![0; BUCKETS])
    }
}

impl BucketDigests {
    /// Adds a key, or removes it if it was added before.
    pub(crate) fn toggle(&mut self, key: &RecordKey) {
        let mut bytes = [0; 33];
        bytes[0] = key.kind as u8;
        bytes[1..17].copy_from_slice(&key.program.0.to_le_bytes());
        bytes[17..].copy_from_slice(&key.turn.0.to_le_bytes());
        self.0[bucket_of(key.program)] ^= xxh3_64(&bytes);
    }

    /// Returns the buckets whose digests differ in `other`, or all buckets if `other` has a different number
    /// of them.
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

/// Returns the range of program keys in a bucket, or `None` if the bucket does not exist.
pub(crate) fn bucket_range(bucket: u16) -> Option<RangeInclusive<ProgramKey>> {
    if usize::from(bucket) >= BUCKETS {
        return None;
    }
    let shift = KEY_BITS - BUCKET_BITS;
    let first = u128::from(bucket) << shift;
    let last = first | ((1 << shift) - 1);
    Some(ProgramKey(first)..=ProgramKey(last))
}
