//! The directory of backend servers, as the discovery service tells of them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Servers that must be missing at once for a lapse to be suspected.
const LAPSE_MIN_SERVERS: usize = 3;
/// Part of the servers, as a divisor, above which missing ones are suspected to have lapsed.
const LAPSE_SHARE_DIVISOR: usize = 4;

/// Index of a backend server's incarnation; small and stable as long as the incarnation is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerKey(pub u32);

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Takes new work.
    Ready,
    /// Finishes its work and leaves.
    Leaving,
}

/// One incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Name under which the server is listed; it may survive a restart.
    pub name: String,
    /// Start time in Unix milliseconds when the server tells it; a changed one is a new incarnation.
    pub started_at_ms: Option<u64>,
    /// Service that the server belongs to.
    pub service: String,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Requests that run at a time.
    pub capacity: u32,
    /// Whether it takes new work.
    pub state: ServerState,
}

/// A listed incarnation with its key.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ListedServer {
    key: ServerKey,
    server: Arc<BackendServer>,
    /// Time in milliseconds at which the entry goes, unless it is listed again before.
    expires_at_ms: Option<u64>,
}

/// Every backend server that may be used, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct ServerDirectory {
    servers: Vec<ListedServer>,
    next_key: u32,
}

impl ServerDirectory {
    /// Replaces the whole directory; incarnations that stay keep their keys. Those that are missing go at once,
    /// or at the time that [`Self::remove_at`] describes.
    pub fn replace_all(&mut self, servers: Vec<BackendServer>, missing_at_ms: Option<u64>) {
        for name in self.missing_in(&servers) {
            match missing_at_ms {
                Some(at_ms) => self.remove_at(&name, at_ms),
                None => self.remove(&name),
            }
        }
        for server in servers {
            self.upsert(server);
        }
    }

    /// Returns the names of the listed servers that are not among `servers`.
    pub fn missing_in(&self, servers: &[BackendServer]) -> Vec<String> {
        let names = self.servers.iter().map(|listed| &listed.server.name);
        let missing = names.filter(|name| !servers.iter().any(|server| server.name == **name));
        missing.cloned().collect()
    }

    /// Removes a server at a time in milliseconds unless it is listed again before. After an outage of the
    /// discovery service entries of live servers are missing until the servers have registered again.
    pub fn remove_at(&mut self, name: &str, at_ms: u64) {
        if let Ok(place) = self.place_of(name) {
            self.servers[place].expires_at_ms.get_or_insert(at_ms);
        }
    }

    /// Returns whether so many servers that take new work are missing at once that their entries may have lapsed
    /// in an outage that nobody noticed here. Planned work takes away few at a time.
    pub fn is_mass_expiry_suspected(&self, missing: &[String]) -> bool {
        let is_missing = |listed: &ListedServer| missing.contains(&listed.server.name);
        let ready = self
            .servers
            .iter()
            .filter(|listed| listed.server.state == ServerState::Ready);
        let (total, gone) = ready.fold((0, 0), |(total, gone), listed| {
            (total + 1, gone + usize::from(is_missing(listed)))
        });
        gone >= LAPSE_MIN_SERVERS && gone * LAPSE_SHARE_DIVISOR > total
    }

    /// Removes the servers whose time has come.
    pub fn expire(&mut self, now_ms: u64) {
        self.servers
            .retain(|listed| listed.expires_at_ms.is_none_or(|at_ms| at_ms > now_ms));
    }

    /// Adds an incarnation or updates the one that is listed under its name.
    pub fn upsert(&mut self, server: BackendServer) {
        match self.place_of(&server.name) {
            Ok(place) => {
                let listed = &mut self.servers[place];
                let same = listed.server.address == server.address
                    && listed.server.started_at_ms == server.started_at_ms;
                if !same {
                    listed.key = ServerKey(self.next_key);
                    self.next_key += 1;
                }
                listed.server = Arc::new(server);
                listed.expires_at_ms = None;
            }
            Err(place) => {
                let key = ServerKey(self.next_key);
                self.next_key += 1;
                let listed = ListedServer {
                    key,
                    server: Arc::new(server),
                    expires_at_ms: None,
                };
                self.servers.insert(place, listed);
            }
        }
    }

    /// Removes the server that is listed under a name.
    pub fn remove(&mut self, name: &str) {
        if let Ok(place) = self.place_of(name) {
            self.servers.remove(place);
        }
    }

    /// Returns the number of listed servers.
    pub const fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is listed.
    pub const fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the servers of a service that take new work.
    pub fn ready(&self, service: &str) -> impl Iterator<Item = (ServerKey, &Arc<BackendServer>)> {
        self.servers.iter().filter_map(move |listed| {
            let is_ready = listed.server.state == ServerState::Ready && listed.server.service == service;
            is_ready.then_some((listed.key, &listed.server))
        })
    }

    /// Returns every listed server.
    pub fn all(&self) -> impl Iterator<Item = (ServerKey, &Arc<BackendServer>)> {
        self.servers.iter().map(|listed| (listed.key, &listed.server))
    }

    fn place_of(&self, name: &str) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|listed| listed.server.name.as_str().cmp(name))
    }
}
