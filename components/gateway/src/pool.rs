//! Connections to backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;

use crate::net;

/// Longest time for a connection to be established before another server is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which a connection is not used again, unless the server states its own.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Part of the idle time that a server states after which it counts as over: the request needs time to arrive.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Idle connections that are kept for one server.
const IDLE_CONNECTIONS: usize = 24;

type ServerConnection = SendRequest<Full<Bytes>>;

/// A connection that waits for its next request.
#[derive(Debug)]
struct IdleConnection {
    connection: ServerConnection,
    expires: Instant,
}

/// Connections to the backend servers by address; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServerPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

/// Failure of an exchange before an answer came.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// No byte of the request left the host.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have reached the server.
    #[error("sent without an answer: {0}")]
    Lost(String),
}

/// A connection in use, with the answer that it brought.
#[derive(Debug)]
pub(crate) struct ServerAnswer {
    /// Status, headers and body.
    pub(crate) response: Response<Incoming>,
    /// Returns the connection once the body has been read.
    pub(crate) lease: ConnectionLease,
}

/// The right to return a connection to the pool; dropped early, it closes the connection.
#[derive(Debug)]
pub(crate) struct ConnectionLease {
    address: SocketAddr,
    connection: ServerConnection,
    idle_time: Option<Duration>,
    pool: ServerPool,
}

impl ServerPool {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails with proof that nothing was sent, or without.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<ServerAnswer, SendError> {
        let mut request = request;
        // A connection that the server closed in the meantime gives the request back untouched.
        while let Some(connection) = self.take_idle(address) {
            match self.exchange(address, connection, request).await {
                Ok(answer) => return Ok(answer),
                Err((_, Some(returned))) => request = returned,
                Err((failure, None)) => return Err(SendError::Lost(failure)),
            }
        }
        let connection = open(address).await.map_err(SendError::NotSent)?;
        let sent = self.exchange(address, connection, request).await;
        sent.map_err(|(failure, returned)| match returned {
            Some(_) => SendError::NotSent(failure),
            None => SendError::Lost(failure),
        })
    }

    /// Closes idle connections that have outlived their time.
    pub(crate) fn close_expired_connections(&self) {
        let now = Instant::now();
        self.lock_idle().retain(|_, connections| {
            connections.retain(|idle| idle.expires > now && !idle.connection.is_closed());
            !connections.is_empty()
        });
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut connection: ServerConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<ServerAnswer, (String, Option<Request<Full<Bytes>>>)> {
        match connection.try_send_request(request).await {
            Ok(response) => {
                let idle_time = idle_time(response.headers());
                let lease = ConnectionLease {
                    address,
                    connection,
                    idle_time,
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

    fn take_idle(&self, address: SocketAddr) -> Option<ServerConnection> {
        let now = Instant::now();
        let mut idle = self.lock_idle();
        let connections = idle.get_mut(&address)?;
        while let Some(idle) = connections.pop() {
            if idle.expires > now && idle.connection.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn lock_idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionLease {
    /// Returns the connection to the pool after its answer has been read to the end.
    pub(crate) fn finish(self) {
        let Some(idle_time) = self.idle_time else { return };
        if self.connection.is_closed() {
            return;
        }
        let mut idle = self.pool.lock_idle();
        let connections = idle.entry(self.address).or_default();
        if connections.len() < IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                connection: self.connection,
                expires: Instant::now() + idle_time,
            });
        }
    }
}

async fn open(address: SocketAddr) -> Result<ServerConnection, String> {
    let stream = net::connect(address, CONNECT_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    // A failure of the connection reaches the request that uses it.
    tokio::spawn(async move { drop(connection.await) });
    Ok(sender)
}

/// Returns for how long the connection may stay idle; `None` when it ends with this answer.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
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
    let idle = seconds.map_or(DEFAULT_IDLE, Duration::from_secs);
    Some(idle.saturating_sub(IDLE_MARGIN).min(DEFAULT_IDLE))
}
