//! HTTP client for the operators' interface of the entries.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use domain::Generation;
use errors::{CallError, ResultCode, RunState};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::cli::EntryOptions;
use crate::error::ToolError;
use crate::response::{ErrorResponse, FaultsResponse};

const OPERATOR_HEADER: HeaderName = HeaderName::from_static("azuretide-operator");
const GENERATION_HEADER: &str = "azuretide-generation";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// A request that any entry can serve.
#[derive(Debug, Clone)]
pub(crate) struct AdminRequest {
    /// HTTP method.
    pub(crate) method: Method,
    /// Path below `/admin/`, with the query.
    pub(crate) path: String,
    /// Body; empty for a request without one.
    pub(crate) body: Bytes,
}

impl AdminRequest {
    /// Creates a read-only request.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        }
    }

    /// Creates a request for an idempotent change.
    pub(crate) fn post(path: impl Into<String>) -> Self {
        Self {
            method: Method::POST,
            path: path.into(),
            body: Bytes::new(),
        }
    }
}

/// A completely received response of an entry.
#[derive(Debug)]
pub(crate) struct EntryResponse {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Generation in the response header, if there is one.
    pub(crate) generation: Option<Generation>,
    /// Body, at most `MAX_RESPONSE_BYTES` long.
    pub(crate) body: Bytes,
}

impl EntryResponse {
    /// Decodes the JSON body.
    ///
    /// # Errors
    ///
    /// Fails when the body is not JSON of the expected form.
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T, ToolError> {
        serde_json::from_slice(&self.body).map_err(|error| ToolError::Protocol(error.to_string()))
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Converts a response with an error status into the error that its body describes.
    pub(crate) fn into_error(self) -> ToolError {
        if let Ok(response) = serde_json::from_slice::<ErrorResponse>(&self.body) {
            return ToolError::Refused(response.error);
        }
        if let Ok(response) = serde_json::from_slice::<FaultsResponse>(&self.body) {
            return ToolError::Faults(response.faults);
        }
        ToolError::Protocol(format!("status {}: {}", self.status, self.text()))
    }
}

/// Reason why a request got no response.
#[derive(Debug)]
pub(crate) enum RequestFailure {
    /// No connection was established, so the entry did not receive the request.
    NotSent(String),
    /// The entry may have received and executed the request.
    Unknown(String),
}

impl RequestFailure {
    /// Returns the reason as text.
    pub(crate) fn into_reason(self) -> String {
        match self {
            Self::NotSent(reason) | Self::Unknown(reason) => reason,
        }
    }
}

/// Client for the operators' interface of several entries.
#[derive(Debug)]
pub(crate) struct AdminClient {
    entries: Vec<SocketAddr>,
    client: Client<HttpConnector, Full<Bytes>>,
    bearer: HeaderValue,
    operator: HeaderValue,
    timeout: Duration,
}

impl AdminClient {
    /// Creates a client and reads the operators' key.
    ///
    /// # Errors
    ///
    /// Fails when the key cannot be read or a header cannot carry the key or the operator's name.
    pub(crate) fn new(options: &EntryOptions) -> Result<Self, ToolError> {
        let file = options.key_file.display();
        let key = fs::read_to_string(&options.key_file);
        let key = key.map_err(|error| ToolError::Usage(format!("key file {file}: {error}")))?;
        let bearer = HeaderValue::from_str(&format!("Bearer {}", key.trim()));
        let mut bearer = bearer.map_err(|error| ToolError::Usage(format!("key file {file}: {error}")))?;
        bearer.set_sensitive(true);
        let operator = HeaderValue::from_str(&options.operator);
        let operator = operator.map_err(|error| ToolError::Usage(format!("operator: {error}")))?;
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // A pooled connection may be stalled, so each request opens a new connection.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        let timeout = Duration::from_secs(options.timeout_s);
        Ok(Self {
            entries: options.entries.clone(),
            client,
            bearer,
            operator,
            timeout,
        })
    }

    /// Returns the addresses of the entries in the order in which they are tried.
    pub(crate) fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Sends an idempotent request to one entry after the other until one serves it.
    ///
    /// # Errors
    ///
    /// Returns the refusal of an entry, or `Unreachable` when no entry responded.
    pub(crate) async fn call(&self, request: &AdminRequest) -> Result<EntryResponse, ToolError> {
        let mut refusal = None;
        let mut reasons = Vec::new();
        for entry in &self.entries {
            match self.send(*entry, request).await {
                Ok(response) if response.status.is_success() => return Ok(response),
                Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
                    refusal = Some(response.into_error());
                }
                Ok(response) => return Err(response.into_error()),
                Err(failure) => reasons.push(format!("{entry}: {}", failure.into_reason())),
            }
        }
        Err(refusal.unwrap_or_else(|| ToolError::Unreachable(reasons.join("; "))))
    }

    /// Sends a request to one entry and reads the complete response.
    ///
    /// # Errors
    ///
    /// The failure distinguishes a request that was not sent from one that the entry may have executed.
    pub(crate) async fn send(
        &self,
        entry: SocketAddr,
        request: &AdminRequest,
    ) -> Result<EntryResponse, RequestFailure> {
        let built = Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{entry}/admin/{}", request.path))
            .header(AUTHORIZATION, self.bearer.clone())
            .header(OPERATOR_HEADER, self.operator.clone())
            .body(Full::new(request.body.clone()))
            .map_err(|error| RequestFailure::NotSent(error.to_string()))?;
        let exchange = tokio::time::timeout(self.timeout, self.exchange(built));
        let timed_out = |_elapsed| {
            Err(RequestFailure::Unknown(format!(
                "no answer within {} s",
                self.timeout.as_secs()
            )))
        };
        exchange.await.unwrap_or_else(timed_out)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<EntryResponse, RequestFailure> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                RequestFailure::NotSent(root_cause(&error))
            } else {
                RequestFailure::Unknown(root_cause(&error))
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| RequestFailure::Unknown(error.to_string()))?;
        let generation = parts
            .headers
            .get(GENERATION_HEADER)
            .and_then(|value| value.to_str().ok());
        Ok(EntryResponse {
            status: parts.status,
            generation: generation.and_then(|value| value.parse().ok()).map(Generation),
            body: body.to_bytes(),
        })
    }
}

/// Returns whether the refusal leaves open whether a change took effect.
///
/// After a timeout of the object API the entry has read the old state back, but the delayed write may still
/// take effect.
pub(crate) fn is_outcome_unknown(error: &CallError) -> bool {
    error.run == RunState::OutcomeUnknown || error.code == ResultCode::PlatformTimeout
}

/// Returns the text of the innermost cause of an error.
fn root_cause(error: &dyn std::error::Error) -> String {
    error.source().map_or_else(|| error.to_string(), root_cause)
}
