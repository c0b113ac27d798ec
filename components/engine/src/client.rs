//! The client and its options.

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
    /// Time without a byte after which a stream is resumed over a fresh connection.
    #[builder(default = Duration::from_secs(2))]
    pub(crate) idle_timeout: Duration,
    /// Longest time of a control request such as the report of the load.
    #[builder(default = Duration::from_secs(1))]
    pub(crate) control_timeout: Duration,
    /// Largest answer in bytes.
    #[builder(default = 4 * 1024 * 1024)]
    pub(crate) answer_limit: usize,
}

/// Client of one backend server.
#[derive(Debug, Clone)]
pub struct EngineClient {
    pub(crate) options: EngineOptions,
}

impl EngineClient {
    /// Creates a client; nothing is sent yet.
    pub const fn new(options: EngineOptions) -> Self {
        Self { options }
    }
}

/// Reads the socket address out of an `http://IP:PORT` address.
///
/// # Errors
///
/// Fails when the text has another form.
pub fn parse_backend_address(text: &str) -> Result<SocketAddr, CallError> {
    let rest = text
        .strip_prefix("http://")
        .map(|rest| rest.trim_end_matches('/'));
    let address = rest.and_then(|rest| rest.parse().ok());
    address.ok_or_else(|| {
        CallError::not_run(
            ResultCode::MalformedValue,
            format!("{text:?} is not of the form http://IP:PORT"),
        )
    })
}

/// Builds a request with a JSON body.
pub(crate) fn json_request(
    method: Method,
    path: &str,
    body: &impl Serialize,
) -> Result<Request<Full<Bytes>>, CallError> {
    let encoded = serde_json::to_vec(body).map_err(|error| internal(&error))?;
    let builder = Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, "application/json");
    builder
        .body(Full::new(Bytes::from(encoded)))
        .map_err(|error| internal(&error))
}

/// Builds a request without a body.
pub(crate) fn empty_request(method: Method, path: &str) -> Result<Request<Full<Bytes>>, CallError> {
    let builder = Request::builder().method(method).uri(path);
    builder
        .body(Full::new(Bytes::new()))
        .map_err(|error| internal(&error))
}

fn internal(error: &dyn std::error::Error) -> CallError {
    CallError::not_run(ResultCode::Internal, error.to_string())
}
