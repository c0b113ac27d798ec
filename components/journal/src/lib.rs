//! Journal of an entry: group commit, seal and recovery.
//!
//! A journal is a chain of segments in the object API. Each segment is created under the condition that it does not
//! exist, so an append is also the proof that nobody has sealed the journal.

mod commit;
mod error;
mod fold;
mod record;
mod replay;
mod retry;
mod seal;
mod segment;
mod state;
mod writer;

pub use error::JournalError;
pub use record::{BudgetSlice, JournalRecord, apply_to_program};
pub use replay::{ReplayedJournal, replay_journal};
pub use seal::{JournalSeal, release_sealed_journal, seal_journal};
pub use segment::{FoldManifest, SegmentBody, decode_segment};
pub use state::JournalState;
pub use writer::JournalWriter;
