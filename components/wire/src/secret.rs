//! The key that all processes of one azuretide cluster share.

use std::fmt;
use std::path::Path;

use anyhow::{Context as _, Result, ensure};
use hmac::{Hmac, KeyInit as _, Mac as _};
use sha2::Sha256;

const MIN_SECRET_BYTES: usize = 16;

/// Length of an authentication tag (HMAC-SHA256) in bytes.
pub(crate) const TAG_BYTES: usize = 32;

/// Shared key that authenticates connections between processes, and heartbeats.
#[derive(Clone)]
pub struct ClusterSecret(Vec<u8>);

impl ClusterSecret {
    /// Reads the key from a file and trims surrounding white space.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or holds fewer than 16 bytes.
    pub fn from_file(path: &Path) -> Result<Self> {
        let text =
            std::fs::read(path).with_context(|| format!("cannot read the key file {}", path.display()))?;
        Self::from_bytes(text.trim_ascii())
    }

    /// Creates a key from bytes in memory, which are used as they are.
    ///
    /// # Errors
    ///
    /// Fails when the key has fewer than 16 bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        ensure!(
            bytes.len() >= MIN_SECRET_BYTES,
            "the cluster key must have at least {MIN_SECRET_BYTES} bytes"
        );
        Ok(Self(bytes.to_vec()))
    }

    /// Returns the authentication tag of the concatenated parts.
    pub(crate) fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Returns whether the tag belongs to the concatenated parts, compared in constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        self.mac(parts).verify_slice(tag).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes a key of any length");
        for part in parts {
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for ClusterSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterSecret")
    }
}
