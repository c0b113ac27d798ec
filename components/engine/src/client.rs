//! The client of a backend server, its options, and builders of requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use errors::{CallError, ResultCode};
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request};
use serde::Serialize;

/// Options of a client.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct EngineOptions {
    /// Address of the backend server.
    pub(crate) address: SocketAddr,
    /// Time without a byte after which a chat stream is resumed over a new connection.
    #[builder(default = Duration::from_secs(2))]
    pub(crate) idle_timeout: Duration,
    /// Timeout for the response head of a control request, such as fetching the load, and for each wait for
    /// bytes of its body.
    #[builder(default = Duration::from_secs(1))]
    pub(crate) control_timeout: Duration,
    /// Largest response body, or text of a chat answer, in bytes.
    #[builder(default = 4 * 1024 * 1024)]
    pub(crate) answer_limit: usize,
}

/// Client of one backend server.
#[derive(Debug, Clone)]
pub struct EngineClient {
    pub(crate) options: EngineOptions,
}

impl EngineClient {
    /// Creates a client without opening a connection.
    pub const fn new(options: EngineOptions) -> Self {
        Self { options }
    }
}

/// Parses an `http://IP:PORT` address, with or without slashes at its end.
///
/// # Errors
///
/// Fails when the text has another form.
pub fn parse_backend_address(text: &str) -> Result<SocketAddr, CallError> {
    let authority = text
        .strip_prefix("http://")
        .map(|authority| authority.trim_end_matches('/'));
    let address = authority.and_then(|authority| authority.parse().ok());
    address.ok_or_else(|| {
        CallError::not_run(
            ResultCode::MalformedValue,
            format!("expected a backend address of the form http://IP:PORT, got {text:?}"),
        )
    })
}

/// Builds a request with a JSON body.
pub(crate) fn json_request(
    method: Method,
    path: &str,
    body: &impl Serialize,
) -> Result<Request<Full<Bytes>>, CallError> {
    let encoded = serde_json::to_vec(body).map_err(|error| internal_error(&error))?;
    let builder = Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, "application/json");
    builder
        .body(Full::new(Bytes::from(encoded)))
        .map_err(|error| internal_error(&error))
}

/// Builds a request without a body.
pub(crate) fn empty_request(method: Method, path: &str) -> Result<Request<Full<Bytes>>, CallError> {
    let builder = Request::builder().method(method).uri(path);
    builder
        .body(Full::new(Bytes::new()))
        .map_err(|error| internal_error(&error))
}

fn internal_error(error: &dyn std::error::Error) -> CallError {
    CallError::not_run(ResultCode::Internal, error.to_string())
}
