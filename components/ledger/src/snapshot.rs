//! Latest known objects of the discovery service and the configuration, stored for entries that cannot read
//! them.

use std::io;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The objects of one kind at one revision. The ledger does not decode the body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSnapshot {
    /// Kind of the objects.
    pub kind: String,
    /// Revision of the store at which the objects were read.
    pub revision: u64,
    /// The objects as their publisher encoded them.
    pub body: Bytes,
}

/// Snapshots that a reader lacks, and how old the knowledge is that there are no others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotPage {
    /// The snapshots.
    pub snapshots: Vec<KindSnapshot>,
    /// Time in milliseconds since the publisher last found that the store had nothing newer; `None` if it never did.
    pub confirmed_ms_ago: Option<u64>,
}

/// The newest snapshot of each kind, sorted by kind.
#[derive(Debug, Clone, Default)]
pub(crate) struct SnapshotSet {
    snapshots: Vec<KindSnapshot>,
}

impl SnapshotSet {
    /// Reads the snapshots from their file. A missing or damaged file counts as empty.
    pub(crate) fn open(folder: &Path) -> Self {
        let bytes = std::fs::read(snapshot_path(folder)).unwrap_or_default();
        let snapshots = postcard::from_bytes(&bytes).unwrap_or_default();
        Self { snapshots }
    }

    /// Adds a snapshot unless a newer one of its kind is present, or an equal one; returns whether it was added. One of
    /// the same revision differs where its publisher encodes the objects in another way than before.
    pub(crate) fn put(&mut self, snapshot: KindSnapshot) -> bool {
        match self
            .snapshots
            .binary_search_by(|present| present.kind.cmp(&snapshot.kind))
        {
            Ok(index) if self.snapshots[index].revision > snapshot.revision => return false,
            Ok(index) if self.snapshots[index] == snapshot => return false,
            Ok(index) => self.snapshots[index] = snapshot,
            Err(index) => self.snapshots.insert(index, snapshot),
        }
        true
    }

    /// Returns the snapshots that are newer than the reader's revision of their kind. A kind that is not in
    /// `known` counts as revision 0.
    pub(crate) fn newer_than(&self, known: &[(String, u64)]) -> Vec<KindSnapshot> {
        let revision_of = |kind: &str| {
            let found = known.iter().find(|(known, _)| known == kind);
            found.map_or(0, |(_, revision)| *revision)
        };
        let newer = self
            .snapshots
            .iter()
            .filter(|present| present.revision > revision_of(&present.kind));
        newer.cloned().collect()
    }

    /// Replaces the file atomically: a crash leaves either the old or the new snapshots.
    pub(crate) fn save(&self, folder: &Path) -> io::Result<()> {
        let bytes = postcard::to_stdvec(&self.snapshots).map_err(io::Error::other)?;
        let path = snapshot_path(folder);
        let temporary = path.with_extension("new");
        std::fs::write(&temporary, bytes)?;
        std::fs::File::open(&temporary)?.sync_all()?;
        std::fs::rename(&temporary, &path)?;
        std::fs::File::open(folder)?.sync_all()
    }
}

fn snapshot_path(folder: &Path) -> PathBuf {
    folder.join("snapshots.bin")
}
