//! One HTTP connection per request. Errors distinguish a request that was not sent from one that may have
//! been.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::task::AbortOnDropHandle;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Failure of one HTTP request.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// No connection was made, so no byte of the request was sent.
    NotSent(String),
    /// The request may have reached the server, but its response is missing or incomplete.
    NoResponse(String),
    /// The response body exceeds the size limit.
    TooLarge,
}

/// A response that owns its connection: dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    response: Response<Incoming>,
    _driver: AbortOnDropHandle<()>,
}

impl OpenResponse {
    /// Returns the HTTP status.
    pub(crate) fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the response head, with the status and the headers.
    pub(crate) const fn head(&self) -> &Response<Incoming> {
        &self.response
    }

    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or no byte arrives for `idle_timeout`.
    pub(crate) async fn next_bytes(
        &mut self,
        idle_timeout: Duration,
    ) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            let Ok(frame) = timeout(idle_timeout, self.response.body_mut().frame()).await else {
                return Err(ExchangeError::NoResponse(
                    "no bytes from the backend server within the idle timeout".to_owned(),
                ));
            };
            let Some(frame) = frame else { return Ok(None) };
            let frame = frame.map_err(|error| ExchangeError::NoResponse(error.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
    }

    /// Reads the body to its end and returns it.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks, no byte arrives for `idle_timeout` or the body exceeds `limit`
    /// bytes.
    pub(crate) async fn read_body(
        &mut self,
        limit: usize,
        idle_timeout: Duration,
    ) -> Result<Vec<u8>, ExchangeError> {
        let mut body = Vec::new();
        while let Some(bytes) = self.next_bytes(idle_timeout).await? {
            if body.len() + bytes.len() > limit {
                return Err(ExchangeError::TooLarge);
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body)
    }
}

/// Sends a request over a new connection and waits for the head of the response.
///
/// # Errors
///
/// Returns `NotSent` when no connection was made before `deadline`, and `NoResponse` when the connection broke
/// or no head arrived before `deadline`.
pub(crate) async fn send_request(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<OpenResponse, ExchangeError> {
    let host = HeaderValue::from_str(&address.to_string());
    let host = host.map_err(|error| ExchangeError::NotSent(error.to_string()))?;
    request.headers_mut().insert(HOST, host);
    let stream = timeout_at(deadline, open_stream(address)).await;
    let stream = stream
        .unwrap_or_else(|_elapsed| Err("the deadline passed before the connection was made".to_owned()))
        .map_err(ExchangeError::NotSent)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
    let driver = AbortOnDropHandle::new(tokio::spawn(async move {
        // A failure of the connection is reported through the response.
        let _ = connection.await;
    }));
    let response = timeout_at(deadline, sender.send_request(request)).await;
    let response = response.map_err(|_elapsed| ExchangeError::NoResponse("response timed out".to_owned()))?;
    let response = response.map_err(|error| ExchangeError::NoResponse(error.to_string()))?;
    Ok(OpenResponse {
        response,
        _driver: driver,
    })
}

/// Opens a TCP connection without Nagle's algorithm.
pub(crate) async fn open_stream(address: SocketAddr) -> Result<TcpStream, String> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let connected =
        connecting.map_err(|_elapsed| "TCP connection to the backend server timed out".to_owned())?;
    let stream = connected.map_err(|error| error.to_string())?;
    stream.set_nodelay(true).map_err(|error| error.to_string())?;
    Ok(stream)
}
