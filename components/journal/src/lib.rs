//! Journal of an entry: group commit, seal and recovery.
//!
//! A journal is a numbered sequence of segments in the object API. Each segment is created on the condition
//! that its key does not exist yet. A seal takes the key of the next segment, so a successful append also
//! proves that the journal has not been sealed.

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
