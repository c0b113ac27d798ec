//! Calls of tools and plain services.

use std::sync::Arc;

use domain::{
    CallOutcome, CallPayload, CallReply, CallRequest, PlainReply, PlainRequest, ServiceConfig, ServiceKind,
    ServiceName, TeamName,
};
use errors::{CallError, ResultCode};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;
use wire::SubmittedCall;

use crate::context::EntryContext;
use crate::http::reply::{HttpReply, error_reply, full_body};
use crate::http::request::BufferedRequest;
use crate::relay::{CallRelay, RelayEvent};

/// Forwards a request to a tool or a plain service.
pub(crate) async fn forward(
    context: &Arc<EntryContext>,
    request: &BufferedRequest,
    team: TeamName,
    name: &str,
) -> Result<HttpReply, CallError> {
    let name: ServiceName = name.parse().map_err(|_fault| unknown_service(name))?;
    let service = configured_service(context, &name)?;
    if service.kind == ServiceKind::Model {
        let message = format!("{name} is a model; its turns go to /v1/chat/completions");
        return Err(CallError::not_run(ResultCode::WrongServiceKind, message));
    }
    let program = request.program()?;
    let payload = CallPayload::Plain(PlainRequest {
        method: request.parts.method.to_string(),
        path: service_path(request, &name),
        content_type: request.optional_header("content-type").to_owned(),
        body: request.body.to_vec(),
    });
    let call = CallRequest {
        service: name,
        idempotency_key: request.idempotency_key()?,
        payload,
    };
    let submitted = SubmittedCall {
        team,
        program,
        request: call,
        delivered: String::new(),
    };
    let (sender, mut events) = mpsc::channel(1);
    tokio::spawn(CallRelay::new(Arc::clone(context), submitted, None).run(sender));
    while let Some(event) = events.recv().await {
        if let RelayEvent::End(_, outcome) = event {
            return outcome_reply(outcome);
        }
    }
    Err(CallError::unknown("the entry stopped during the call"))
}

fn service_path(request: &BufferedRequest, name: &ServiceName) -> String {
    let uri = &request.parts.uri;
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let remaining = path
        .strip_prefix("/v1/services/")
        .and_then(|remaining| remaining.strip_prefix(name.as_str()));
    match remaining {
        Some(remaining) if remaining.starts_with('/') => remaining.to_owned(),
        Some(remaining) => format!("/{remaining}"),
        None => "/".to_owned(),
    }
}

fn outcome_reply(outcome: CallOutcome) -> Result<HttpReply, CallError> {
    match outcome {
        CallOutcome::Answered(CallReply::Plain(reply)) => Ok(plain_reply(reply)),
        CallOutcome::Answered(CallReply::Chat { .. }) => Err(CallError::ran(
            ResultCode::Internal,
            "expected a plain reply from the service, got a chat reply",
        )),
        CallOutcome::Failed(error) => Ok(error_reply(&error)),
    }
}

fn plain_reply(reply: PlainReply) -> HttpReply {
    let mut response = Response::new(full_body(reply.body));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(content_type) = HeaderValue::from_str(&reply.content_type)
        && !content_type.is_empty()
    {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}

/// Returns a service of the configuration in force.
///
/// # Errors
///
/// Returns 1004 for a service that is not configured.
pub(crate) fn configured_service(
    context: &EntryContext,
    name: &ServiceName,
) -> Result<ServiceConfig, CallError> {
    let applied = context.cluster.configuration();
    let service = applied.and_then(|applied| applied.content.service(name).cloned());
    service.ok_or_else(|| unknown_service(name.as_str()))
}

fn unknown_service(name: &str) -> CallError {
    CallError::not_run(ResultCode::UnknownService, format!("no service {name}"))
}
