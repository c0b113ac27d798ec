//! Last known objects of the discovery service and the configuration, kept for entries that cannot read them.

use std::io;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Objects of one kind at a revision; the body is opaque here.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSnapshot {
    /// Kind.
    pub kind: String,
    /// Revision of the store that the body shows.
    pub revision: u64,
    /// Encoded objects.
    pub body: Bytes,
}

/// The newest snapshot of each kind, sorted by kind.
#[derive(Debug, Clone, Default)]
pub(crate) struct SnapshotShelf {
    snapshots: Vec<KindSnapshot>,
}

impl SnapshotShelf {
    /// Reads the shelf from its file; a missing or damaged file is an empty shelf.
    pub(crate) fn open(folder: &Path) -> Self {
        let bytes = std::fs::read(path_in(folder)).unwrap_or_default();
        let snapshots = postcard::from_bytes(&bytes).unwrap_or_default();
        Self { snapshots }
    }

    /// Puts a snapshot on the shelf unless a newer one is there; returns whether it was put.
    pub(crate) fn put(&mut self, snapshot: KindSnapshot) -> bool {
        match self
            .snapshots
            .binary_search_by(|kept| kept.kind.cmp(&snapshot.kind))
        {
            Ok(place) if self.snapshots[place].revision >= snapshot.revision => return false,
            Ok(place) => self.snapshots[place] = snapshot,
            Err(place) => self.snapshots.insert(place, snapshot),
        }
        true
    }

    /// Returns the snapshots that are newer than the revisions that the reader knows.
    pub(crate) fn newer_than(&self, known: &[(String, u64)]) -> Vec<KindSnapshot> {
        let revision_of = |kind: &str| {
            let found = known.iter().find(|(known, _)| known == kind);
            found.map_or(0, |(_, revision)| *revision)
        };
        let newer = self
            .snapshots
            .iter()
            .filter(|kept| kept.revision > revision_of(&kept.kind));
        newer.cloned().collect()
    }

    /// Writes the shelf to its file, whole or not at all.
    pub(crate) fn save(&self, folder: &Path) -> io::Result<()> {
        let bytes = postcard::to_stdvec(&self.snapshots).map_err(io::Error::other)?;
        let path = path_in(folder);
        let draft = path.with_extension("new");
        std::fs::write(&draft, bytes)?;
        std::fs::File::open(&draft)?.sync_all()?;
        std::fs::rename(&draft, &path)?;
        std::fs::File::open(folder)?.sync_all()
    }
}

fn path_in(folder: &Path) -> PathBuf {
    folder.join("snapshots.bin")
}
