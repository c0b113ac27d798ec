//! Requests of operators.

use std::sync::Arc;

use config::{TextFault, parse_configuration};
use domain::{Generation, HostName, HostRole, TeamName};
use errors::{CallError, ResultCode};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode};
use serde::Serialize;

use crate::audit::{AuditEvent, read_audit};
use crate::configuration::apply_configuration;
use crate::context::EntryContext;
use crate::http::operators::{StatusBody, UsageReport, team_usage};
use crate::http::programs::{history, parse_program};
use crate::http::reply::{HttpReply, ProgramBody, full_body, json_reply, malformed};
use crate::http::request::BufferedRequest;
use crate::http::route::unknown_route;
use crate::link::{end_program, list_programs};
use crate::pool::{CALL_TIMEOUT, call_context, lost_answer};

const GENERATION_HEADER: HeaderName = HeaderName::from_static("azuretide-generation");
const MAX_CONFIGURATION_BYTES: usize = 1024 * 1024;

#[derive(Debug, Serialize)]
struct GenerationBody {
    generation: Generation,
}

#[derive(Debug, Serialize)]
struct FaultsBody {
    faults: Vec<TextFault>,
}

/// Handles the request of an operator whose key has been checked.
pub(crate) async fn answer_operator(
    context: &Arc<EntryContext>,
    request: &BufferedRequest,
    segments: &[&str],
) -> Result<HttpReply, CallError> {
    match (&request.parts.method, segments) {
        (&Method::GET, ["configuration"]) => show(context),
        (&Method::PUT, ["configuration"]) => apply(context, request).await,
        (&Method::GET, ["status"]) => Ok(json_reply(StatusCode::OK, &StatusBody::collect(context).await)),
        (&Method::GET, ["programs"]) => {
            let programs: Vec<_> = list_programs(context)
                .await
                .into_iter()
                .map(ProgramBody::from)
                .collect();
            Ok(json_reply(StatusCode::OK, &programs))
        }
        (&Method::GET, ["programs", id, "history"]) => history(context, None, id).await,
        (&Method::POST, ["programs", id, "cancel"]) => cancel(context, request, id).await,
        (&Method::GET, ["usage", team]) => usage(context, team).await,
        (&Method::POST, ["hosts", name, "drain"]) => drain(context, request, name).await,
        (&Method::GET, ["audit"]) => audit(context, request).await,
        _ => Err(unknown_route()),
    }
}

fn show(context: &EntryContext) -> Result<HttpReply, CallError> {
    let Some(applied) = context.cluster.configuration() else {
        return Err(CallError::not_run(
            ResultCode::NoConfiguration,
            "no configuration has been applied",
        ));
    };
    let mut reply = Response::new(full_body(applied.text.clone()));
    reply
        .headers_mut()
        .insert(GENERATION_HEADER, HeaderValue::from(applied.generation.0));
    Ok(reply)
}

async fn apply(context: &Arc<EntryContext>, request: &BufferedRequest) -> Result<HttpReply, CallError> {
    let base = request
        .query("base")
        .and_then(|base| base.parse().ok())
        .map(Generation);
    let base = base.ok_or_else(|| malformed("expected base=GENERATION in the query"))?;
    if request.body.len() > MAX_CONFIGURATION_BYTES {
        let message = format!("the configuration exceeds the limit of {MAX_CONFIGURATION_BYTES} bytes");
        return Err(CallError::not_run(ResultCode::BodyTooLarge, message));
    }
    let text = std::str::from_utf8(&request.body).map_err(|error| malformed(error.to_string()))?;
    if let Err(faults) = parse_configuration(text) {
        return Ok(json_reply(StatusCode::BAD_REQUEST, &FaultsBody { faults }));
    }
    let generation = apply_configuration(context, base, text).await?;
    let detail = format!("base={base} bytes={}", text.len());
    let event = AuditEvent::operator(
        operator(request),
        "apply",
        format!("generation {generation}"),
        detail,
    );
    event.write_logged(context).await;
    Ok(json_reply(StatusCode::OK, &GenerationBody { generation }))
}

async fn cancel(
    context: &Arc<EntryContext>,
    request: &BufferedRequest,
    id: &str,
) -> Result<HttpReply, CallError> {
    let summary = end_program(context, None, parse_program(id)?).await?;
    let event = AuditEvent::operator(operator(request), "cancel", id.to_owned(), String::new());
    event.write_logged(context).await;
    Ok(json_reply(StatusCode::OK, &ProgramBody::from(summary)))
}

async fn usage(context: &EntryContext, team: &str) -> Result<HttpReply, CallError> {
    let team: TeamName = team.parse().map_err(|message: String| malformed(message))?;
    let report: UsageReport = team_usage(context, &team).await?;
    Ok(json_reply(StatusCode::OK, &report))
}

async fn drain(
    context: &Arc<EntryContext>,
    request: &BufferedRequest,
    name: &str,
) -> Result<HttpReply, CallError> {
    let host: HostName = name.parse().map_err(|message: String| malformed(message))?;
    let fleet = context.cluster.fleet();
    let own = host == context.options.host;
    let peer = fleet
        .peer(&host)
        .map(|peer| (peer.heartbeat.role, peer.heartbeat.address));
    match peer {
        _ if own => context.drain.notify_one(),
        Some((role, address)) => drain_peer(context, role, address).await?,
        None => {
            let message = format!("host {host} cannot be drained: no heartbeat of it was received");
            return Err(CallError::not_run(ResultCode::PeerUnreachable, message));
        }
    }
    let event = AuditEvent::operator(operator(request), "drain", host.to_string(), String::new());
    event.write_logged(context).await;
    Ok(json_reply(StatusCode::ACCEPTED, &host))
}

async fn drain_peer(
    context: &EntryContext,
    role: HostRole,
    address: std::net::SocketAddr,
) -> Result<(), CallError> {
    let answered = match role {
        HostRole::Entry => {
            context
                .pool
                .owner(address)
                .await?
                .drain_host(call_context(CALL_TIMEOUT))
                .await
        }
        HostRole::Agent => {
            context
                .pool
                .agent(address)
                .await?
                .drain_host(call_context(CALL_TIMEOUT))
                .await
        }
    };
    answered.map_err(|error| lost_answer(&error))?
}

async fn audit(context: &EntryContext, request: &BufferedRequest) -> Result<HttpReply, CallError> {
    let after = request
        .query("after")
        .and_then(|after| after.parse().ok())
        .unwrap_or(0);
    let events = read_audit(context.options.store.as_ref(), after)
        .await
        .map_err(|error| {
            let refusal = CallError::not_run(ResultCode::PlatformUnavailable, format!("{error:#}"));
            refusal.with_retry_after_ms(1000)
        })?;
    Ok(json_reply(StatusCode::OK, &events))
}

fn operator(request: &BufferedRequest) -> &str {
    match request.optional_header("azuretide-operator") {
        "" => "unnamed",
        name => name,
    }
}
