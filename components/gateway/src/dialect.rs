//! Requests and answers as the gateway uses them, independent of the names of headers.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use domain::{RequestRate, WorkspaceKey};
use hyper::header::{self, HeaderName};
use hyper::{HeaderMap, StatusCode};
use ledger::{ProgramKey, TurnKey};
use routing::PromptPrefix;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Headers that apply to a single connection and are not forwarded.
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

/// Information for the scheduler from the headers of a caller's request.
#[derive(Debug, Clone)]
pub struct RequestFacts {
    /// Id of the attempt as the caller stated it; empty if it stated none.
    pub attempt_id: String,
    /// Time that the caller waits for its answer; shortens the timeout of the route, but never extends it.
    pub caller_timeout: Option<Duration>,
    /// Program that the request belongs to.
    pub program: Option<ProgramKey>,
    /// Time until the program is to have ended, zero once that has passed; `None` if it is not stated.
    pub program_left: Option<Duration>,
    /// Hash of the session or object whose requests are best served by one backend server.
    pub affinity: Option<u64>,
    /// Tokens that all turns of the program may generate together.
    pub token_budget: Option<u64>,
    /// Largest number of tokens that this turn may generate.
    pub max_tokens: u64,
    /// Turn that this one continues.
    pub previous_turn: Option<TurnKey>,
    /// Number of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of the stream that the caller takes up again.
    pub resumes: Option<String>,
    /// Tokens of the whole prompt; zero if the request does not state them.
    pub prompt_tokens: u64,
    /// Number of output tokens that the caller expects.
    pub expected_tokens: Option<u64>,
    /// Leading part of the prompt, if other programs share it.
    pub prefix: Option<PromptPrefix>,
    /// Workspace in which the names of programs, sessions and turns are valid; `None` if callers are not told apart.
    pub workspace: Option<WorkspaceKey>,
}

impl RequestFacts {
    /// Returns the facts of a request of a workspace: its names of programs, sessions and turns are valid in the workspace
    /// only.
    #[must_use]
    pub fn in_workspace(self, workspace: WorkspaceKey) -> Self {
        Self {
            program: self.program.map(|program| program.in_workspace(workspace)),
            affinity: self
                .affinity
                .map(|affinity| xxh3_64_with_seed(&affinity.to_le_bytes(), workspace.0)),
            previous_turn: self.previous_turn.map(|turn| turn.in_workspace(workspace)),
            workspace: Some(workspace),
            ..self
        }
    }

    /// Returns the key of the turn that the request runs, which is derived from the attempt id.
    pub fn turn(&self) -> TurnKey {
        self.turn_of(&self.attempt_id)
    }

    /// Returns the key of the turn that the caller's attempt with this id ran.
    pub fn turn_of(&self, attempt_id: &str) -> TurnKey {
        let turn = TurnKey::from_id(attempt_id.as_bytes());
        self.workspace
            .map_or(turn, |workspace| turn.in_workspace(workspace))
    }
}

/// A header whose value is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the value of the header {0} is invalid")]
pub struct HeaderFault(pub HeaderName);

/// What backend servers are told of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerIdentity<'a> {
    /// The configuration does not tell callers apart; their headers are passed on as they are.
    Untold,
    /// The caller belongs to no workspace.
    Anonymous,
    /// Name of the caller's workspace.
    Workspace(&'a str),
}

/// Values of the headers that the scheduler adds for one attempt at a backend server.
#[derive(Debug, Clone, Copy)]
pub struct AttemptContext<'a> {
    /// Name of the server that is to run the request.
    pub server_name: &'a str,
    /// Time left until the deadline of the request.
    pub left: Duration,
    /// Number of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Id of the slot that the server has reserved for the request.
    pub slot: Option<&'a str>,
}

/// Meaning of a backend server's answer, by its status and headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The server answered the request.
    Answered,
    /// The server stated that it did not run the request.
    Refused,
    /// Another server uses the address now; it did not run the request.
    WrongServer,
    /// The answer belongs to another request or comes from no backend server; this request may have run.
    Foreign,
}

/// What an answer says of the requests that its backend server takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitNotice {
    /// The server names no limit.
    Unlimited,
    /// The server takes this rate of requests from all hosts together.
    Limited(RequestRate),
    /// The limit cannot be read.
    Malformed,
}

/// Names and meaning of the headers that are exchanged with callers and backend servers.
pub trait WireDialect: fmt::Debug + Send + Sync {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when a header that affects how the request is served has an invalid value.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestFacts, HeaderFault>;

    /// Returns the id of a caller's request for logs, or an empty string when it has none.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> &'a str;

    /// Returns the id of the attempt from which a caller's request goes on, for logs: that of the stored turn that it
    /// continues, or of the stream that it takes up again.
    fn continued_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Returns the API key of a caller's request; `None` unless it has exactly one.
    fn api_key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]>;

    /// Returns the headers of a caller's request that are forwarded to a backend server, with the caller's identity in
    /// place of its API key.
    fn forwarded_headers(&self, headers: &HeaderMap, identity: CallerIdentity<'_>) -> HeaderMap;

    /// Adds the scheduler's own headers for one attempt at a backend server.
    fn add_attempt_headers(&self, headers: &mut HeaderMap, context: AttemptContext<'_>);

    /// Returns the path and the body of the request with which a model server reserves a slot for a request that
    /// follows at once.
    fn slot_request(&self) -> (&'static str, Bytes);

    /// Returns the id of the reserved slot from the body of a successful answer.
    fn parse_slot(&self, body: &[u8]) -> Option<String>;

    /// Returns whether a backend server says in an answer that it leaves.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Returns the limit that a backend server names in an answer.
    fn limit_notice(&self, headers: &HeaderMap) -> LimitNotice;

    /// Classifies a backend server's answer to the attempt.
    fn classify(&self, status: StatusCode, headers: &HeaderMap, attempt_id: &str) -> AnswerKind;
}

/// Removes the headers that apply to a single connection, including those that the `Connection` header lists.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let listed = headers
        .get(header::CONNECTION)
        .and_then(|value| value.to_str().ok());
    let names: Vec<HeaderName> = listed
        .into_iter()
        .flat_map(|listed| listed.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in names.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}
