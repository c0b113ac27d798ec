//! What the gateway needs to know of a request and an answer, whatever the wire calls it.

use std::fmt;
use std::time::Duration;

use hyper::header::{self, HeaderName};
use hyper::{HeaderMap, StatusCode};
use ledger::{ProgramKey, TurnKey};

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
];

/// What the headers of a request say to the scheduler.
#[derive(Debug, Clone)]
pub struct RequestFacts {
    /// Id of the attempt as the caller wrote it.
    pub attempt_id: String,
    /// Time that the caller will wait.
    pub patience: Option<Duration>,
    /// Program of the request.
    pub program: Option<ProgramKey>,
    /// Hash of the session or object whose requests are best served by one backend server.
    pub affinity: Option<u64>,
    /// Tokens that all turns of the program may generate.
    pub token_budget: Option<u64>,
    /// Largest number of tokens that this turn generates.
    pub max_tokens: u64,
    /// Turn that this one continues.
    pub previous_turn: Option<TurnKey>,
    /// Number of the last event that the caller has.
    pub last_event: Option<u64>,
}

impl RequestFacts {
    /// Returns the key of the turn that the request is.
    pub fn turn(&self) -> TurnKey {
        TurnKey::from_id(self.attempt_id.as_bytes())
    }
}

/// A header that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the header {0} cannot be read")]
pub struct HeaderFault(pub HeaderName);

/// What the scheduler tells a backend server beside the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct BackendOrder<'a> {
    /// Name of the server that is meant.
    pub server_name: &'a str,
    /// Time left for the answer.
    pub left: Duration,
    /// Number of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// What the head of a backend server's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The server answers the request.
    Answered,
    /// The server states that it did not run the request.
    Refused,
    /// Another server has the address and did not run the request.
    WrongServer,
    /// The answer belongs to another request or comes from no backend server; this request may have run.
    Foreign,
}

/// The names on a wire, towards callers and backend servers.
pub trait WireDialect: fmt::Debug + Send + Sync {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when a header that decides on the request cannot be read.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestFacts, HeaderFault>;

    /// Returns the id of a caller's request for logs, empty when it has none.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> &'a str;

    /// Returns the headers that go on to a backend server.
    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds the scheduler's own headers for a backend server.
    fn add_order(&self, headers: &mut HeaderMap, order: BackendOrder<'_>);

    /// Tells what the head of a backend server's answer to the attempt says.
    fn classify(&self, status: StatusCode, headers: &HeaderMap, attempt_id: &str) -> AnswerKind;
}

/// Removes the headers of one connection, also those that its `Connection` header names.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let named = headers
        .get(header::CONNECTION)
        .and_then(|value| value.to_str().ok());
    let names: Vec<HeaderName> = named
        .into_iter()
        .flat_map(|named| named.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in names.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}
