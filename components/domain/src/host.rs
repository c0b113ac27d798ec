//! Hosts, members and heartbeats.

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
    /// Speaks to callers and owns programs.
    Entry,
    /// Stands beside a backend server.
    Agent,
}

/// State of a host in the platform's host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is up.
    Live,
    /// The host will be taken away.
    Leaving,
}

/// One row of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedHost {
    /// Name.
    pub name: HostName,
    /// Role of the process of azuretide on the host.
    pub role: HostRole,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Address on which the process publishes its heartbeats.
    pub heartbeat: SocketAddr,
    /// State.
    pub state: HostState,
}

/// State of a service's model at one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ModelState {
    /// The backend server takes no orders and always serves its service.
    #[default]
    Fixed,
    /// The engine serves no call of the model.
    Absent,
    /// An order to load is under way.
    Loading,
    /// The engine serves the model.
    Loaded,
}

impl ModelState {
    /// Tells whether calls are served.
    pub const fn is_serving(self) -> bool {
        matches!(self, Self::Fixed | Self::Loaded)
    }
}

/// Load of a backend server as its agent sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadDigest {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Calls waiting at the agent.
    pub queued: u32,
    /// Calls running at the backend server.
    pub running: u32,
    /// Calls that the backend server runs at a time.
    pub capacity: u32,
    /// Tokens of work not yet done: prompts to compute and answers to generate.
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

/// What a process publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Name of the host.
    pub host: HostName,
    /// Role of the process.
    pub role: HostRole,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Start of the process: the incarnation of an entry, a random number of an agent.
    pub start: u64,
    /// Count of heartbeats since the start.
    pub sequence: u64,
    /// Address of the process port.
    pub address: SocketAddr,
    /// Generation of the configuration in force at the process; zero before the first.
    pub generation: Generation,
    /// Generation of the member table that the process knows; zero at agents.
    pub members: Generation,
    /// Whether the process is leaving.
    pub leaving: bool,
    /// Load, from agents only.
    pub load: Option<LoadDigest>,
}

/// State of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The incarnation owns programs.
    Live,
    /// The journal is sealed and the successors, in ascending order, own the programs.
    Sealed {
        /// Incarnations among which the programs are divided; empty when nobody was left.
        #[serde(rename = "heirs")]
        successors: Vec<IncarnationId>,
    },
}

/// One incarnation of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// Identity.
    pub incarnation: IncarnationId,
    /// Host.
    pub host: HostName,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Address of the process port.
    pub address: SocketAddr,
    /// Time of the join.
    pub joined: TimeMillis,
    /// State.
    pub state: MemberState,
}

/// Every incarnation that owns programs or whose programs may still be asked for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberTable {
    /// Incarnation that the next join gets.
    pub next: IncarnationId,
    /// Members in ascending order of their incarnations.
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

    /// Tells whether the incarnation is sealed.
    pub fn is_sealed(&self, incarnation: IncarnationId) -> bool {
        let member = self.member(incarnation);
        member.is_some_and(|member| matches!(member.state, MemberState::Sealed { .. }))
    }

    /// Returns the incarnation that owns the program now, following seals to the successors.
    ///
    /// Returns `None` when the birth incarnation is unknown, a seal names no successor or seals name each
    /// other.
    pub fn owner_of(&self, program: ProgramKey) -> Option<IncarnationId> {
        let mut line = self.line_of(program);
        let owner = line.find(|member| member.state == MemberState::Live)?;
        Some(owner.incarnation)
    }

    /// Returns the sealed incarnation whose seal made `owner` the successor for the program.
    ///
    /// Returns `None` when no seal passed the program to `owner`.
    pub fn predecessor_of(&self, program: ProgramKey, owner: IncarnationId) -> Option<IncarnationId> {
        let mut line = self.line_of(program);
        let last = line.find(|member| match &member.state {
            MemberState::Sealed { successors } => successor_of(program, successors) == Some(owner),
            MemberState::Live => false,
        })?;
        Some(last.incarnation)
    }

    /// Returns the owners of a program, from its birth incarnation on; at most every member once.
    fn line_of(&self, program: ProgramKey) -> impl Iterator<Item = &MemberRecord> {
        let birth = self.member(program.incarnation);
        let line = std::iter::successors(birth, move |member| match &member.state {
            MemberState::Sealed { successors } => self.member(successor_of(program, successors)?),
            MemberState::Live => None,
        });
        line.take(self.members.len())
    }
}

/// Returns the successor of a program by rendezvous hashing, or `None` when there is no successor.
pub fn successor_of(program: ProgramKey, successors: &[IncarnationId]) -> Option<IncarnationId> {
    let score = |successor: &IncarnationId| {
        let words = [program.incarnation.0, program.sequence, successor.0].map(u64::to_le_bytes);
        xxh3_64(words.as_flattened())
    };
    successors.iter().copied().max_by_key(score)
}
