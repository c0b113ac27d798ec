//! HTTP replies to callers and operators.

use std::convert::Infallible;

use bytes::Bytes;
use domain::{
    MicroUnits, ProgramKey, ProgramPhase, TeamName, TenureNumber, TimeMillis, TokenUsage, UrgencyClass,
};
use errors::{CallError, ResultCode, RunState};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use wire::ProgramSummary;

/// Body of a reply, complete or as a stream.
pub(crate) type ReplyBody = BoxBody<Bytes, Infallible>;

/// Reply to a caller or an operator.
pub(crate) type HttpReply = Response<ReplyBody>;

/// Header that states whether a failed request ran: `not-run`, `outcome-unknown` or `ran`.
pub(crate) const RUN_HEADER: HeaderName = HeaderName::from_static("azuretide-run");

const MILLIS_PER_SECOND: u64 = 1000;

/// JSON body of an error.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody<'a> {
    /// Error.
    pub(crate) error: &'a CallError,
}

/// JSON body of a program's summary.
#[derive(Debug, Serialize)]
pub(crate) struct ProgramBody {
    program: ProgramKey,
    team: TeamName,
    parent: Option<ProgramKey>,
    urgency: UrgencyClass,
    deadline: Option<TimeMillis>,
    phase: ProgramPhase,
    tenure: TenureNumber,
    finished_calls: u64,
    open_calls: u64,
    charged: MicroUnits,
    messages: u64,
}

impl From<ProgramSummary> for ProgramBody {
    fn from(summary: ProgramSummary) -> Self {
        Self {
            program: summary.key,
            team: summary.team,
            parent: summary.parent,
            urgency: summary.urgency,
            deadline: summary.deadline,
            phase: summary.phase,
            tenure: summary.tenure,
            finished_calls: summary.finished_calls,
            open_calls: summary.open_calls,
            charged: summary.charged,
            messages: summary.messages,
        }
    }
}

/// Token usage of a turn in the format that agent frameworks expect.
#[derive(Debug, Serialize)]
pub(crate) struct UsageBody {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
    prompt_tokens_details: PromptDetails,
}

#[derive(Debug, Serialize)]
struct PromptDetails {
    cached_tokens: u64,
}

impl From<TokenUsage> for UsageBody {
    fn from(usage: TokenUsage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens + usage.completion_tokens,
            prompt_tokens_details: PromptDetails {
                cached_tokens: usage.cached_tokens,
            },
        }
    }
}

/// Returns a body that is sent complete instead of as a stream.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ReplyBody {
    Full::new(bytes.into()).boxed()
}

/// Returns a reply with a JSON body.
pub(crate) fn json_reply(status: StatusCode, body: &impl Serialize) -> HttpReply {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = Response::new(full_body(bytes));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// Returns the reply for an error, with its run state and its Retry-After delay rounded up to seconds.
pub(crate) fn error_reply(error: &CallError) -> HttpReply {
    let status = StatusCode::from_u16(error.code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = json_reply(status, &ErrorBody { error });
    reply.headers_mut().insert(RUN_HEADER, run_value(error.run));
    if let Some(retry_after_ms) = error.retry_after_ms {
        reply.headers_mut().insert(
            RETRY_AFTER,
            HeaderValue::from(retry_after_ms.div_ceil(MILLIS_PER_SECOND)),
        );
    }
    reply
}

/// Returns 1001, not run, for a malformed request.
pub(crate) fn malformed(message: impl Into<String>) -> CallError {
    CallError::not_run(ResultCode::MalformedRequest, message)
}

const fn run_value(run: RunState) -> HeaderValue {
    match run {
        RunState::NotRun => HeaderValue::from_static("not-run"),
        RunState::OutcomeUnknown => HeaderValue::from_static("outcome-unknown"),
        RunState::Ran => HeaderValue::from_static("ran"),
    }
}
