//! Workspaces of a configuration, and the API keys by which their callers identify themselves.
//!
//! Keys are held as digests only: neither a dump of the memory nor a stored snapshot discloses them.

use std::fmt;
use std::sync::Arc;

use domain::{RequestQuota, WorkspaceKey};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

/// Length of the SHA-256 digest of an API key, in bytes.
const DIGEST_BYTES: usize = 32;
/// Leading bytes of a digest by which the table is searched. The rest is compared in constant time.
const INDEX_BYTES: usize = 8;
/// Leading bytes of a digest that may be logged: too few to confirm a guessed key.
const LOGGED_BYTES: usize = 3;

/// SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of an API key.
    pub fn of_key(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the start of the digest, by which logs tell API keys apart.
    pub fn short(&self) -> String {
        hex::encode(&self.0[..LOGGED_BYTES])
    }

    fn index(&self) -> &[u8] {
        &self.0[..INDEX_BYTES]
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({}..)", self.short())
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        hex::encode(digest.0)
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = hex::FromHexError;

    /// Parses the hexadecimal form.
    ///
    /// # Errors
    ///
    /// Fails when the text is not the hexadecimal form of 32 bytes.
    fn try_from(text: String) -> Result<Self, hex::FromHexError> {
        let mut digest = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut digest)?;
        Ok(Self(digest))
    }
}

/// A workspace of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Key of the workspace, the same in every process.
    pub key: WorkspaceKey,
    /// Name of the workspace, as backend servers receive it.
    pub name: String,
    /// Priority of its requests in place of that of the route; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Requests that it may send; `None` without a limit.
    pub quota: Option<RequestQuota>,
}

/// A workspace with the digests of the API keys of its callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedWorkspace {
    /// The workspace.
    pub workspace: Workspace,
    /// Digests of its API keys.
    pub keys: Vec<KeyDigest>,
}

/// The workspaces of a configuration, to be found by the API key of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceTable {
    workspaces: Vec<Arc<Workspace>>,
    /// Digests of all API keys with the position of their workspace, sorted by digest.
    keys: Vec<(KeyDigest, usize)>,
}

impl WorkspaceTable {
    /// Creates the table. Of two workspaces with the same API key the first one has it.
    pub fn new(keyed: Vec<KeyedWorkspace>) -> Self {
        let mut workspaces = Vec::with_capacity(keyed.len());
        let mut keys = Vec::new();
        for (position, KeyedWorkspace { workspace, keys: own }) in keyed.into_iter().enumerate() {
            keys.extend(own.into_iter().map(|digest| (digest, position)));
            workspaces.push(Arc::new(workspace));
        }
        keys.sort_unstable();
        keys.dedup_by_key(|(digest, _)| *digest);
        Self { workspaces, keys }
    }

    /// Returns the workspace of a caller's API key; `None` if the key is unknown.
    pub fn find(&self, api_key: &[u8]) -> Option<&Arc<Workspace>> {
        let digest = KeyDigest::of_key(api_key);
        let start = self
            .keys
            .partition_point(|(known, _)| known.index() < digest.index());
        let candidates = self.keys[start..].iter();
        let mut candidates = candidates.take_while(|(known, _)| known.index() == digest.index());
        let (_, position) = candidates.find(|(known, _)| bool::from(known.0.ct_eq(&digest.0)))?;
        self.workspaces.get(*position)
    }

    /// Returns all workspaces, in the order of the configuration.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.iter()
    }
}
