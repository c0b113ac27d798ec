//! The directory of backend servers that the discovery service lists.

use std::net::SocketAddr;
use std::sync::Arc;

use domain::{BuildKey, InstanceKey};
use serde::{Deserialize, Serialize};

use crate::departure::{DepartureList, DepartureNotice};

/// Smallest number of servers missing at the same time for which a mass expiry of registrations is suspected.
const MASS_EXPIRY_MIN_SERVERS: usize = 3;
/// Divisor of the number of servers that gives the number of missing ones above which a mass expiry is
/// suspected.
const MASS_EXPIRY_SHARE_DIVISOR: usize = 4;

/// Index of an incarnation (one start) of a backend server. It is small and stays the same while the
/// incarnation is listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerKey(pub u32);

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Takes new work.
    Ready,
    /// Finishes its running work and takes no new work.
    Leaving,
}

/// One incarnation of a backend server, as listed by the discovery service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Name under which the server is listed; it may stay the same after a restart.
    pub name: String,
    /// Start time in Unix milliseconds, if the server reports it. A changed start time means a new
    /// incarnation.
    pub started_at_ms: Option<u64>,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub failure_domain: String,
    /// Version of the server's software, as the server states it; empty if it states none.
    pub software_version: String,
    /// Largest number of requests that run at the same time.
    pub capacity: u32,
    /// Whether the server takes new work.
    pub state: ServerState,
}

impl BackendServer {
    /// Returns the key of the server's software. Events of different software do not fit together in one stream.
    pub fn build(&self) -> BuildKey {
        BuildKey::from_names(&self.service, &self.software_version)
    }

    /// Returns the key of this start of the server, which is the same in every process.
    pub fn instance(&self) -> InstanceKey {
        InstanceKey::from_start(&self.name, self.started_at_ms)
    }

    /// Returns whether this start of the server came before the one at `started_at_ms`, as far as both are known.
    pub(crate) fn is_earlier_start(&self, started_at_ms: Option<u64>) -> bool {
        let both = self.started_at_ms.zip(started_at_ms);
        both.is_some_and(|(own_ms, other_ms)| own_ms < other_ms)
    }
}

/// A listed incarnation with its key.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ListedServer {
    key: ServerKey,
    server: Arc<BackendServer>,
    /// Time in milliseconds at which the server is removed, unless it is listed again before.
    expires_at_ms: Option<u64>,
}

/// All backend servers that may be used, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct ServerDirectory {
    servers: Vec<ListedServer>,
    departures: DepartureList,
    next_key: u32,
    revision: u64,
    generation: u64,
}

impl ServerDirectory {
    /// Returns the revision of the discovery service up to which the directory is complete; 0 before the first
    /// registrations.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets the revision of the discovery service up to which the directory is complete.
    pub const fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Returns a number that changes with every change of the listed servers.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether a server has a registration; `false` also for one that stays in use without it.
    pub fn is_registered(&self, name: &str) -> bool {
        self.position_of(name)
            .is_ok_and(|index| self.servers[index].expires_at_ms.is_none())
    }

    /// Replaces all listed servers. Incarnations that are listed again keep their keys. The missing ones are
    /// removed at `missing_at_ms` as by [`Self::remove_at`], or at once if it is `None`. Returns the servers whose
    /// registration is new or changed.
    pub fn replace_all(
        &mut self,
        servers: Vec<BackendServer>,
        missing_at_ms: Option<u64>,
    ) -> Vec<Arc<BackendServer>> {
        for name in self.missing_in(&servers) {
            match missing_at_ms {
                Some(at_ms) => self.remove_at(&name, at_ms),
                None => self.remove(&name),
            }
        }
        servers
            .into_iter()
            .filter_map(|server| self.upsert(server))
            .collect()
    }

    /// Returns the names of the listed servers that are not among `servers`.
    pub fn missing_in(&self, servers: &[BackendServer]) -> Vec<String> {
        let names = self.servers.iter().map(|listed| &listed.server.name);
        let missing = names.filter(|name| !servers.iter().any(|server| server.name == **name));
        missing.cloned().collect()
    }

    /// Schedules the removal of a server at a time in milliseconds, unless the server is listed again before.
    /// After an outage of the discovery service, the registrations of live servers are missing until the
    /// servers have registered again.
    pub fn remove_at(&mut self, name: &str, at_ms: u64) {
        if let Ok(index) = self.position_of(name) {
            self.servers[index].expires_at_ms.get_or_insert(at_ms);
        }
    }

    /// Returns whether so many servers that take new work are missing at the same time that their
    /// registrations may have expired in an outage that this process did not detect. Planned work removes
    /// only a few servers at a time.
    pub fn is_mass_expiry_suspected(&self, missing: &[String]) -> bool {
        let is_missing = |listed: &ListedServer| missing.contains(&listed.server.name);
        let ready = self
            .servers
            .iter()
            .filter(|listed| listed.server.state == ServerState::Ready);
        let (total, missing_ready) = ready.fold((0, 0), |(total, missing_ready), listed| {
            (total + 1, missing_ready + usize::from(is_missing(listed)))
        });
        missing_ready >= MASS_EXPIRY_MIN_SERVERS && missing_ready * MASS_EXPIRY_SHARE_DIVISOR > total
    }

    /// Removes the servers whose scheduled removal time has been reached, and returns them.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Arc<BackendServer>> {
        let expired = self.servers.extract_if(.., |listed| {
            listed.expires_at_ms.is_some_and(|at_ms| at_ms <= now_ms)
        });
        let expired: Vec<Arc<BackendServer>> = expired.map(|listed| listed.server).collect();
        if !expired.is_empty() {
            self.generation += 1;
        }
        expired
    }

    /// Returns whether a registration is older than one of the same incarnation that said that the server leaves, and
    /// records the latter if it is one. `sequence` is the number of the registration.
    pub fn is_superseded(&mut self, server: &BackendServer, sequence: u64) -> bool {
        match (self.departures.notice(server), server.state) {
            (Some(DepartureNotice::Registration(latest)), _) if sequence < latest => true,
            (_, ServerState::Leaving) => {
                let notice = DepartureNotice::Registration(sequence);
                self.departures.record(server, notice);
                false
            }
            (_, ServerState::Ready) => false,
        }
    }

    /// Records that an incarnation leaves, as it has said itself. It takes no new work from then on, also when it is
    /// listed again. Returns the server if it was listed as ready.
    pub fn record_departure(&mut self, key: ServerKey) -> Option<Arc<BackendServer>> {
        let listed = self.servers.iter_mut().find(|listed| listed.key == key)?;
        self.departures.record(&listed.server, DepartureNotice::Answer);
        if listed.server.state == ServerState::Leaving {
            return None;
        }
        Arc::make_mut(&mut listed.server).state = ServerState::Leaving;
        self.generation += 1;
        Some(Arc::clone(&listed.server))
    }

    /// Adds an incarnation or updates the one that is listed under its name. Returns the server if its
    /// registration is new or changed. A registration of an earlier start than the listed one arrives late and is
    /// ignored.
    pub fn upsert(&mut self, mut server: BackendServer) -> Option<Arc<BackendServer>> {
        if self.departures.notice(&server) == Some(DepartureNotice::Answer) {
            server.state = ServerState::Leaving;
        }
        match self.position_of(&server.name) {
            Ok(index) => {
                let listed = &mut self.servers[index];
                if server.is_earlier_start(listed.server.started_at_ms) {
                    return None;
                }
                listed.expires_at_ms = None;
                if *listed.server == server {
                    return None;
                }
                let is_same = listed.server.address == server.address
                    && listed.server.started_at_ms == server.started_at_ms
                    && listed.server.build() == server.build();
                if !is_same {
                    listed.key = ServerKey(self.next_key);
                    self.next_key += 1;
                }
                self.generation += 1;
                listed.server = Arc::new(server);
                Some(Arc::clone(&listed.server))
            }
            Err(index) => {
                let key = ServerKey(self.next_key);
                self.next_key += 1;
                let server = Arc::new(server);
                let listed = ListedServer {
                    key,
                    server: Arc::clone(&server),
                    expires_at_ms: None,
                };
                self.servers.insert(index, listed);
                self.generation += 1;
                Some(server)
            }
        }
    }

    /// Removes the server that is listed under a name.
    pub fn remove(&mut self, name: &str) {
        if let Ok(index) = self.position_of(name) {
            self.servers.remove(index);
            self.generation += 1;
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

    /// Returns whether an incarnation is listed and takes new work.
    pub fn is_ready(&self, key: ServerKey) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|listed| listed.key == key && listed.server.state == ServerState::Ready)
    }

    /// Returns every listed server.
    pub fn all(&self) -> impl Iterator<Item = (ServerKey, &Arc<BackendServer>)> {
        self.servers.iter().map(|listed| (listed.key, &listed.server))
    }

    fn position_of(&self, name: &str) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|listed| listed.server.name.as_str().cmp(name))
    }
}
