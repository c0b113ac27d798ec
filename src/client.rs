//! Requests to the entries' interface for operators.

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

use crate::answer::{ErrorAnswer, FaultsAnswer};
use crate::cli::EntryOptions;
use crate::error::ToolError;

const OPERATOR_HEADER: HeaderName = HeaderName::from_static("azuretide-operator");
const GENERATION_HEADER: &str = "azuretide-generation";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// A request to any entry.
#[derive(Debug, Clone)]
pub(crate) struct AdminRequest {
    /// Method.
    pub(crate) method: Method,
    /// Path behind `/admin/`, with its query.
    pub(crate) path: String,
    /// Body.
    pub(crate) body: Bytes,
}

impl AdminRequest {
    /// Creates a request that changes nothing.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        }
    }

    /// Creates a request for a change that may be repeated.
    pub(crate) fn post(path: impl Into<String>) -> Self {
        Self {
            method: Method::POST,
            path: path.into(),
            body: Bytes::new(),
        }
    }
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct EntryAnswer {
    /// Status.
    pub(crate) status: StatusCode,
    /// Generation that the answer carries.
    pub(crate) generation: Option<Generation>,
    /// Body.
    pub(crate) body: Bytes,
}

impl EntryAnswer {
    /// Decodes the body.
    ///
    /// # Errors
    ///
    /// Fails when the body is not of the expected form.
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T, ToolError> {
        serde_json::from_slice(&self.body).map_err(|error| ToolError::Protocol(error.to_string()))
    }

    /// Returns the body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns what an answer other than a success says.
    pub(crate) fn into_error(self) -> ToolError {
        if let Ok(answer) = serde_json::from_slice::<ErrorAnswer>(&self.body) {
            return ToolError::Refused(answer.error);
        }
        if let Ok(answer) = serde_json::from_slice::<FaultsAnswer>(&self.body) {
            return ToolError::Faults(answer.faults);
        }
        ToolError::Protocol(format!("status {}: {}", self.status, self.text()))
    }
}

/// Why a request has no answer.
#[derive(Debug)]
pub(crate) enum CallFailure {
    /// No connection was made, so the request did not arrive.
    NotSent(String),
    /// The request may have arrived.
    Lost(String),
}

impl CallFailure {
    /// Returns the reason.
    pub(crate) fn into_reason(self) -> String {
        match self {
            Self::NotSent(reason) | Self::Lost(reason) => reason,
        }
    }
}

/// Client of the entries.
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
        // A pooled connection may have gone silent; a fresh one for each request has not.
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

    /// Sends a request that may be repeated to one entry after the other until one serves it.
    ///
    /// # Errors
    ///
    /// Returns the refusal of an entry, or `Unreachable` when none answered.
    pub(crate) async fn call(&self, request: &AdminRequest) -> Result<EntryAnswer, ToolError> {
        let mut refusal = None;
        let mut reasons = Vec::new();
        for entry in &self.entries {
            match self.send(*entry, request).await {
                Ok(answer) if answer.status.is_success() => return Ok(answer),
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                    refusal = Some(answer.into_error());
                }
                Ok(answer) => return Err(answer.into_error()),
                Err(failure) => reasons.push(format!("{entry}: {}", failure.into_reason())),
            }
        }
        Err(refusal.unwrap_or_else(|| ToolError::Unreachable(reasons.join("; "))))
    }

    /// Sends a request to one entry and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Tells whether a request without an answer may have arrived.
    pub(crate) async fn send(
        &self,
        entry: SocketAddr,
        request: &AdminRequest,
    ) -> Result<EntryAnswer, CallFailure> {
        let built = Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{entry}/admin/{}", request.path))
            .header(AUTHORIZATION, self.bearer.clone())
            .header(OPERATOR_HEADER, self.operator.clone())
            .body(Full::new(request.body.clone()))
            .map_err(|error| CallFailure::NotSent(error.to_string()))?;
        let exchange = tokio::time::timeout(self.timeout, self.exchange(built));
        let timed_out = |_elapsed| {
            Err(CallFailure::Lost(format!(
                "no answer within {} s",
                self.timeout.as_secs()
            )))
        };
        exchange.await.unwrap_or_else(timed_out)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<EntryAnswer, CallFailure> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallFailure::NotSent(reason_of(&error))
            } else {
                CallFailure::Lost(reason_of(&error))
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| CallFailure::Lost(error.to_string()))?;
        let generation = parts
            .headers
            .get(GENERATION_HEADER)
            .and_then(|value| value.to_str().ok());
        Ok(EntryAnswer {
            status: parts.status,
            generation: generation.and_then(|value| value.parse().ok()).map(Generation),
            body: body.to_bytes(),
        })
    }
}

/// Returns whether the refusal leaves open what became of a change.
///
/// After a timeout of the object API the entry has read the old state back, but the write may still arrive.
pub(crate) fn is_unsettled(error: &CallError) -> bool {
    error.run == RunState::OutcomeUnknown || error.code == ResultCode::PlatformTimeout
}

fn reason_of(error: &dyn std::error::Error) -> String {
    error.source().map_or_else(|| error.to_string(), reason_of)
}
