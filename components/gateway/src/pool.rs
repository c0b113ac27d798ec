//! Pool of connections to backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use domain::InstanceKey;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use routing::BackendServer;

use crate::net;
use crate::outgoing::OutgoingBody;

/// Timeout for establishing a connection; afterwards another server is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle timeout of a connection if the server states none. It is also the upper limit for a stated one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Period before the end of the idle timeout in which a connection is not reused: the request needs time to
/// arrive before the server closes the connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Largest head of an answer, and largest part of a body that is read at once.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Limit on the idle connections to one server.
const MAX_IDLE_CONNECTIONS: usize = 24;

type ServerConnection = SendRequest<OutgoingBody>;

/// One start of a server at one of its addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PoolKey {
    address: SocketAddr,
    instance: InstanceKey,
}

impl PoolKey {
    fn of(server: &BackendServer) -> Self {
        Self {
            address: server.address,
            instance: server.instance(),
        }
    }
}

/// A connection without a request, which may be reused until `expires_at`.
#[derive(Debug)]
struct IdleConnection {
    connection: ServerConnection,
    expires_at: Instant,
}

/// Connections to the starts of backend servers; clones share them. A connection to an earlier start may look open
/// after its host was cut off, and a request on it would get no answer.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServerPool {
    idle: Arc<Mutex<HashMap<PoolKey, Vec<IdleConnection>>>>,
}

/// Failure of a request before the head of its answer arrived.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    #[error("the request was not sent: {0}")]
    NotSent(String),
    /// The request may have reached the server.
    #[error("the request may have been sent, but no answer arrived: {0}")]
    Lost(String),
}

/// An answer of a backend server, and the connection on which it arrives.
#[derive(Debug)]
pub(crate) struct ServerAnswer {
    /// Status, headers and body.
    pub(crate) response: Response<Incoming>,
    /// Returns the connection to the pool once the body has been read.
    pub(crate) lease: ConnectionLease,
}

/// A connection in use. [`ConnectionLease::finish`] returns it to the pool; if the lease is dropped instead,
/// the connection is closed.
#[derive(Debug)]
pub(crate) struct ConnectionLease {
    key: PoolKey,
    connection: ServerConnection,
    idle_timeout: Option<Duration>,
    pool: ServerPool,
}

impl ServerPool {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] when it is certain that nothing was sent, else with
    /// [`SendError::Lost`].
    pub(crate) async fn send(
        &self,
        server: &BackendServer,
        request: Request<OutgoingBody>,
    ) -> Result<ServerAnswer, SendError> {
        let key = PoolKey::of(server);
        let mut request = request;
        // If the server has closed the idle connection, the unsent request is returned and can be sent on
        // another one.
        while let Some(connection) = self.take_idle(key) {
            match self.exchange(key, connection, request).await {
                Ok(answer) => return Ok(answer),
                Err((_, Some(returned))) => request = returned,
                Err((failure, None)) => return Err(SendError::Lost(failure)),
            }
        }
        let connection = open_connection(key.address).await.map_err(SendError::NotSent)?;
        let sent = self.exchange(key, connection, request).await;
        sent.map_err(|(failure, returned)| match returned {
            Some(_) => SendError::NotSent(failure),
            None => SendError::Lost(failure),
        })
    }

    /// Closes idle connections whose timeout has passed.
    pub(crate) fn close_expired_connections(&self) {
        let now = Instant::now();
        self.lock_idle().retain(|_, connections| {
            connections.retain(|idle| idle.expires_at > now && !idle.connection.is_closed());
            !connections.is_empty()
        });
    }

    async fn exchange(
        &self,
        key: PoolKey,
        mut connection: ServerConnection,
        request: Request<OutgoingBody>,
    ) -> Result<ServerAnswer, (String, Option<Request<OutgoingBody>>)> {
        match connection.try_send_request(request).await {
            Ok(response) => {
                let idle_timeout = idle_timeout(response.headers());
                let lease = ConnectionLease {
                    key,
                    connection,
                    idle_timeout,
                    pool: self.clone(),
                };
                Ok(ServerAnswer { response, lease })
            }
            Err(mut failure) => {
                let returned = failure.take_message();
                Err((failure.into_error().to_string(), returned))
            }
        }
    }

    fn take_idle(&self, key: PoolKey) -> Option<ServerConnection> {
        let now = Instant::now();
        let mut idle = self.lock_idle();
        let connections = idle.get_mut(&key)?;
        while let Some(idle) = connections.pop() {
            if idle.expires_at > now && idle.connection.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn lock_idle(&self) -> MutexGuard<'_, HashMap<PoolKey, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionLease {
    /// Returns the connection to the pool after its answer has been read to the end.
    pub(crate) fn finish(self) {
        let Some(timeout) = self.idle_timeout else { return };
        if self.connection.is_closed() {
            return;
        }
        let mut idle = self.pool.lock_idle();
        let connections = idle.entry(self.key).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                connection: self.connection,
                expires_at: Instant::now() + timeout,
            });
        }
    }
}

async fn open_connection(address: SocketAddr) -> Result<ServerConnection, String> {
    let stream = net::connect(address, CONNECT_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    // The request that uses the connection receives its failure, so that it is not reported here.
    tokio::spawn(async move { drop(connection.await) });
    Ok(sender)
}

/// Returns for how long the connection may stay idle, or `None` when the server closes it after this answer.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let connection = headers
        .get(hyper::header::CONNECTION)
        .and_then(|value| value.to_str().ok());
    if connection.is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = stated.and_then(|value| {
        let mut parts = value.split(',');
        parts.find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    });
    let timeout = seconds.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs);
    Some(
        timeout
            .saturating_sub(IDLE_TIMEOUT_MARGIN)
            .min(DEFAULT_IDLE_TIMEOUT),
    )
}
