//! Routes requests to their handlers by method and path.

use std::sync::Arc;

use errors::{CallError, ResultCode};
use hyper::Method;
use hyper::http::request::Parts;

use crate::context::EntryContext;
use crate::http::auth::{authenticate_operator, authenticate_team};
use crate::http::reply::{HttpReply, error_reply};
use crate::http::request::BufferedRequest;
use crate::http::{admin, chat, programs, service};

/// Checks the key of a request by its head.
///
/// # Errors
///
/// Returns 2001 without a valid key, 1003 for a path that is not part of the interface, and 3021 without a configuration.
pub(crate) fn authenticate(context: &EntryContext, parts: &Parts) -> Result<(), CallError> {
    match parts.uri.path().trim_matches('/').split('/').next() {
        Some("v1") => authenticate_team(context, &parts.headers).map(drop),
        Some("admin") => authenticate_operator(context, &parts.headers),
        _ => Err(unknown_route()),
    }
}

/// Authenticates a request, routes it to its handler and returns the reply.
pub(crate) async fn answer_request(context: Arc<EntryContext>, request: BufferedRequest) -> HttpReply {
    let path = request.parts.uri.path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let answered = match segments.as_slice() {
        ["v1", remaining @ ..] => answer_caller(&context, &request, remaining).await,
        ["admin", remaining @ ..] => match authenticate_operator(&context, &request.parts.headers) {
            Ok(()) => admin::answer_operator(&context, &request, remaining).await,
            Err(error) => Err(error),
        },
        _ => Err(unknown_route()),
    };
    answered.unwrap_or_else(|error| error_reply(&error))
}

async fn answer_caller(
    context: &Arc<EntryContext>,
    request: &BufferedRequest,
    segments: &[&str],
) -> Result<HttpReply, CallError> {
    let team = authenticate_team(context, &request.parts.headers)?;
    match (&request.parts.method, segments) {
        (&Method::POST, ["programs"]) => programs::start(context, request, team).await,
        (&Method::GET, ["programs", id]) => programs::read(context, &team, id).await,
        (&Method::GET, ["programs", id, "history"]) => programs::history(context, Some(&team), id).await,
        (&Method::DELETE, ["programs", id]) => programs::end(context, &team, id).await,
        (&Method::GET, ["programs", id, "calls", key]) => programs::call(context, &team, id, key).await,
        (&Method::POST, ["chat", "completions"]) => chat::complete(context, request, team).await,
        (_, ["services", name, ..]) => service::forward(context, request, team, name).await,
        _ => Err(unknown_route()),
    }
}

/// Returns 1003, not run, for an unknown path or method.
pub(crate) fn unknown_route() -> CallError {
    CallError::not_run(
        ResultCode::UnknownRoute,
        "the interface has no such path and method",
    )
}
