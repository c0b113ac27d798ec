//! The keys of a host's records in the order of their arrival, from which other hosts copy what is new.
//!
//! Load pattern: most records expire in the order of their arrival, but the records of a program that goes on for hours
//! stay. The keys are in segments, of which each sweep visits a few, so that removed records between retained ones cost
//! neither memory nor a long pause.

use std::collections::VecDeque;

use crate::record::RecordKey;

/// Sequence numbers of one segment.
const SEGMENT_LENGTH: u16 = 4_096;
/// Segments that a sweep visits for each one that has been added since the sweep before. With two, the removed keys are
/// at most as many as the retained ones, at a constant rate of arrivals.
const SWEEP_FACTOR: u64 = 2;

/// Keys of [`SEGMENT_LENGTH`] successive sequence numbers.
#[derive(Debug)]
struct ArrivalSegment {
    first_sequence: u64,
    /// Sequence numbers of the keys, less the first one, ascending.
    offsets: Vec<u16>,
    keys: Vec<RecordKey>,
}

impl ArrivalSegment {
    fn end(&self) -> u64 {
        self.first_sequence + u64::from(SEGMENT_LENGTH)
    }

    /// Removes the keys of records that are not stored any more.
    fn sweep(&mut self, is_stored: impl Fn(&RecordKey) -> bool) {
        let (keys, offsets) = (std::mem::take(&mut self.keys), std::mem::take(&mut self.offsets));
        let retained = keys.into_iter().zip(offsets).filter(|(key, _)| is_stored(key));
        (self.keys, self.offsets) = retained.unzip();
    }
}

/// Keys in the order of their arrival. Each has a sequence number that does not change when others are removed.
#[derive(Debug, Default)]
pub(crate) struct ArrivalLog {
    segments: VecDeque<ArrivalSegment>,
    next_sequence: u64,
    /// Sequence number at which the next sweep starts.
    sweep_from: u64,
    /// Sequence number that the next key had at the end of the latest sweep.
    swept_at: u64,
}

impl ArrivalLog {
    /// Returns the sequence number that the next key will get.
    pub(crate) const fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns the number of keys, including those of records that a sweep has not visited since their removal.
    pub(crate) fn len(&self) -> usize {
        self.segments.iter().map(|segment| segment.keys.len()).sum()
    }

    /// Adds a key.
    pub(crate) fn push(&mut self, key: RecordKey) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self
            .segments
            .back()
            .is_none_or(|segment| segment.end() <= sequence)
        {
            self.segments.push_back(ArrivalSegment {
                first_sequence: sequence,
                offsets: Vec::new(),
                keys: Vec::new(),
            });
        }
        let Some(segment) = self.segments.back_mut() else {
            return;
        };
        let offset = u16::try_from(sequence - segment.first_sequence).unwrap_or(SEGMENT_LENGTH);
        segment.offsets.push(offset);
        segment.keys.push(key);
    }

    /// Returns up to `limit` keys at or after `sequence`, and the sequence number after the last of them.
    pub(crate) fn since(&self, sequence: u64, limit: usize) -> (Vec<RecordKey>, u64) {
        let mut keys = Vec::new();
        let first = self.segments.partition_point(|segment| segment.end() <= sequence);
        for segment in self.segments.iter().skip(first) {
            let skipped = segment
                .offsets
                .partition_point(|offset| segment.first_sequence + u64::from(*offset) < sequence);
            for (key, offset) in segment.keys.iter().zip(&segment.offsets).skip(skipped) {
                if keys.len() == limit {
                    return (keys, segment.first_sequence + u64::from(*offset));
                }
                keys.push(*key);
            }
        }
        (keys, self.next_sequence)
    }

    /// Removes the keys of records that are not stored any more from some segments: from more of them than have been
    /// added since the sweep before.
    pub(crate) fn sweep(&mut self, is_stored: impl Fn(&RecordKey) -> bool) {
        let added = (self.next_sequence - self.swept_at).div_ceil(u64::from(SEGMENT_LENGTH));
        self.swept_at = self.next_sequence;
        let visits = usize::try_from(added * SWEEP_FACTOR + 1).unwrap_or(usize::MAX);
        for _ in 0..visits.min(self.segments.len()) {
            if self.segments.is_empty() {
                return;
            }
            let index = self
                .segments
                .partition_point(|segment| segment.first_sequence < self.sweep_from);
            let index = if index == self.segments.len() { 0 } else { index };
            let segment = &mut self.segments[index];
            segment.sweep(&is_stored);
            self.sweep_from = segment.end();
            let is_complete = segment.end() <= self.next_sequence;
            if segment.keys.is_empty() && is_complete {
                self.segments.remove(index);
            }
        }
    }
}
