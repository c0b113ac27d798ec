//! Connections to the process ports of peers, kept open and replaced after a call without an answer.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use errors::{CallError, ResultCode};
use tarpc::client::{Config, RpcError};
use tarpc::context::Context;
use wire::{AgentPortClient, ClusterSecret, OwnerPortClient, connect_peer};

/// Timeout of a call that the peer answers without waiting for an event.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Open connections to peers of one role, sorted by address.
#[derive(Debug)]
struct ConnectionList<Client> {
    connections: Mutex<Vec<(SocketAddr, Client)>>,
}

impl<Client: Clone> ConnectionList<Client> {
    const fn new() -> Self {
        Self {
            connections: Mutex::new(Vec::new()),
        }
    }

    fn find(&self, address: SocketAddr) -> Option<Client> {
        let connections = self.lock();
        let found = connections.binary_search_by_key(&address, |connection| connection.0);
        found.ok().map(|index| connections[index].1.clone())
    }

    fn insert(&self, address: SocketAddr, client: Client) {
        let mut connections = self.lock();
        match connections.binary_search_by_key(&address, |connection| connection.0) {
            Ok(index) => connections[index].1 = client,
            Err(index) => connections.insert(index, (address, client)),
        }
    }

    fn remove(&self, address: SocketAddr) {
        let mut connections = self.lock();
        if let Ok(index) = connections.binary_search_by_key(&address, |connection| connection.0) {
            connections.remove(index);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(SocketAddr, Client)>> {
        self.connections
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Open connections to entries and agents.
#[derive(Debug)]
pub(crate) struct PeerPool {
    secret: ClusterSecret,
    owners: ConnectionList<OwnerPortClient>,
    agents: ConnectionList<AgentPortClient>,
}

impl PeerPool {
    /// Creates an empty pool.
    pub(crate) const fn new(secret: ClusterSecret) -> Self {
        Self {
            secret,
            owners: ConnectionList::new(),
            agents: ConnectionList::new(),
        }
    }

    /// Returns a connection to an entry, opening one if there is none.
    ///
    /// # Errors
    ///
    /// Returns 8001, not run, when the entry is unreachable.
    pub(crate) async fn owner(&self, address: SocketAddr) -> Result<OwnerPortClient, CallError> {
        if let Some(client) = self.owners.find(address) {
            return Ok(client);
        }
        let transport = connect_peer(address, &self.secret)
            .await
            .map_err(|error| unreachable_peer(&error))?;
        let client = OwnerPortClient::new(Config::default(), transport).spawn();
        self.owners.insert(address, client.clone());
        Ok(client)
    }

    /// Returns a connection to an agent, opening one if there is none.
    ///
    /// # Errors
    ///
    /// Returns 8001, not run, when the agent is unreachable.
    pub(crate) async fn agent(&self, address: SocketAddr) -> Result<AgentPortClient, CallError> {
        if let Some(client) = self.agents.find(address) {
            return Ok(client);
        }
        let transport = connect_peer(address, &self.secret)
            .await
            .map_err(|error| unreachable_peer(&error))?;
        let client = AgentPortClient::new(Config::default(), transport).spawn();
        self.agents.insert(address, client.clone());
        Ok(client)
    }

    /// Drops the connections to an address, so that the next call opens a new one.
    pub(crate) fn drop_connections(&self, address: SocketAddr) {
        self.owners.remove(address);
        self.agents.remove(address);
    }
}

fn unreachable_peer(error: &anyhow::Error) -> CallError {
    CallError::not_run(ResultCode::PeerUnreachable, format!("{error:#}"))
}

/// Returns a call context whose deadline is `timeout` from now.
pub(crate) fn call_context(timeout: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = std::time::Instant::now() + timeout;
    context
}

/// Converts a failure of the connection into 8001 with an unknown outcome, because the call may have reached
/// the peer.
pub(crate) fn lost_answer(error: &RpcError) -> CallError {
    let mut lost = CallError::unknown(format!("the peer did not answer the call: {error}"));
    lost.code = ResultCode::PeerUnreachable;
    lost
}
