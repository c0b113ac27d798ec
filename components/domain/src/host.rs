//! Hosts, heartbeats and the table of entries that own programs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    FailureDomain, Generation, HostName, IncarnationId, ProgramKey, ServiceName, TimeMillis, TokenCount,
};

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// Serves callers over HTTP and owns programs.
    Entry,
    /// Runs beside a backend server and forwards calls to it.
    Agent,
}

/// State of a host in the platform's host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The platform is about to remove the host.
    Leaving,
}

/// One host in the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedHost {
    /// Name of the host.
    pub name: HostName,
    /// Role of the azuretide process on the host.
    pub role: HostRole,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Address on which the process publishes its heartbeats.
    pub heartbeat: SocketAddr,
    /// Whether the host stays or leaves.
    pub state: HostState,
}

/// State of a service's model at one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ModelState {
    /// The backend server supports no loading and unloading of models and always serves its service.
    #[default]
    Fixed,
    /// The engine has not loaded the model and serves no calls of it.
    Absent,
    /// An order to load the model is in progress.
    Loading,
    /// The engine serves the model.
    Loaded,
}

impl ModelState {
    /// Tells whether the backend server can serve calls in this state.
    pub const fn is_serving(self) -> bool {
        matches!(self, Self::Fixed | Self::Loaded)
    }
}

/// Load of a backend server as reported by its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadDigest {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Calls queued at the agent.
    pub queued: u32,
    /// Calls running at the backend server.
    pub running: u32,
    /// Calls that the backend server can run concurrently.
    pub capacity: u32,
    /// Tokens of outstanding work: prompt tokens to compute and answer tokens to generate.
    pub pending_tokens: TokenCount,
    /// Tokens that the prefix cache holds.
    pub cache_used: TokenCount,
    /// Tokens that the prefix cache can hold.
    pub cache_size: TokenCount,
    /// Whether the backend server answers its agent.
    pub healthy: bool,
    /// State of the service's model.
    pub model: ModelState,
}

impl LoadDigest {
    /// Tells whether the backend server answers and serves the service's model.
    pub const fn is_serving(&self) -> bool {
        self.healthy && self.model.is_serving()
    }
}

/// State that a process publishes periodically at its heartbeat port.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Name of the host.
    pub host: HostName,
    /// Role of the process.
    pub role: HostRole,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Number that identifies the start of the process: an entry's incarnation, or an agent's random number.
    pub start: u64,
    /// Sequence number of the heartbeat since the start.
    pub sequence: u64,
    /// Address of the process port.
    pub address: SocketAddr,
    /// Generation of the configuration that the process applies; zero before it received one.
    pub generation: Generation,
    /// Generation of the member table that the process holds; zero for an agent.
    pub members: Generation,
    /// Whether the process is stopping and accepts no new work.
    pub leaving: bool,
    /// Load of the backend server; `None` for an entry.
    pub load: Option<LoadDigest>,
}

/// State of a member of the [`MemberTable`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The incarnation owns programs.
    Live,
    /// The successors own the programs of the incarnation.
    ///
    /// This state is stored first. Then the journal of the incarnation is sealed, that is, closed, so that the
    /// incarnation can no longer append to it.
    Sealed {
        /// Incarnations among which the programs are divided, in ascending order; empty when no other member
        /// was live.
        #[serde(rename = "heirs")]
        successors: Vec<IncarnationId>,
    },
}

/// One incarnation of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// Number of the incarnation.
    pub incarnation: IncarnationId,
    /// Host on which it runs.
    pub host: HostName,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Address of the process port.
    pub address: SocketAddr,
    /// Time at which the incarnation joined the table.
    pub joined: TimeMillis,
    /// Whether it owns programs or has successors.
    pub state: MemberState,
}

/// All incarnations that own programs or whose programs may still be requested.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberTable {
    /// Number for the next incarnation that joins.
    pub next: IncarnationId,
    /// Members, sorted by incarnation.
    pub members: Vec<MemberRecord>,
}

impl MemberTable {
    /// Returns the member with the incarnation.
    pub fn member(&self, incarnation: IncarnationId) -> Option<&MemberRecord> {
        let found = self
            .members
            .binary_search_by_key(&incarnation, |member| member.incarnation);
        found.ok().map(|index| &self.members[index])
    }

    /// Returns the incarnations of the live members in ascending order.
    pub fn live(&self) -> Vec<IncarnationId> {
        let live = self
            .members
            .iter()
            .filter(|member| member.state == MemberState::Live);
        live.map(|member| member.incarnation).collect()
    }

    /// Tells whether the incarnation is in the table and its journal is sealed.
    pub fn is_sealed(&self, incarnation: IncarnationId) -> bool {
        let member = self.member(incarnation);
        member.is_some_and(|member| matches!(member.state, MemberState::Sealed { .. }))
    }

    /// Returns the incarnation that currently owns the program, following seals to the successors.
    ///
    /// Returns `None` when the incarnation that started the program is not in the table, when a sealed
    /// incarnation has no successor or when sealed incarnations form a cycle of successors.
    pub fn owner_of(&self, program: ProgramKey) -> Option<IncarnationId> {
        let mut chain = self.owner_chain(program);
        let owner = chain.find(|member| member.state == MemberState::Live)?;
        Some(owner.incarnation)
    }

    /// Returns the sealed incarnation whose seal made `owner` the successor for the program.
    ///
    /// Returns `None` when no seal passed the program to `owner`.
    pub fn predecessor_of(&self, program: ProgramKey, owner: IncarnationId) -> Option<IncarnationId> {
        let mut chain = self.owner_chain(program);
        let predecessor = chain.find(|member| match &member.state {
            MemberState::Sealed { successors } => successor_of(program, successors) == Some(owner),
            MemberState::Live => false,
        })?;
        Some(predecessor.incarnation)
    }

    /// Returns the successive owners of a program, starting with the incarnation that started it.
    ///
    /// The length is limited to the number of members, which ends a cycle of successors.
    fn owner_chain(&self, program: ProgramKey) -> impl Iterator<Item = &MemberRecord> {
        let first = self.member(program.incarnation);
        let chain = std::iter::successors(first, move |member| match &member.state {
            MemberState::Sealed { successors } => self.member(successor_of(program, successors)?),
            MemberState::Live => None,
        });
        chain.take(self.members.len())
    }
}

/// Returns the successor that adopts the program, chosen by rendezvous hashing.
///
/// Returns `None` when `successors` is empty.
pub fn successor_of(program: ProgramKey, successors: &[IncarnationId]) -> Option<IncarnationId> {
    let score = |successor: &IncarnationId| {
        let words = [program.incarnation.0, program.sequence, successor.0].map(u64::to_le_bytes);
        xxh3_64(words.as_flattened())
    };
    successors.iter().copied().max_by_key(score)
}
