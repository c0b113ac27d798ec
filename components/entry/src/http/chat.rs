//! Turns of a model, answered as one JSON body or as a stream of server-sent events.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use domain::{
    CallKey, CallOutcome, CallPayload, CallReply, CallRequest, ChatMessage, ServiceKind, ServiceName,
    TeamName, TokenCount,
};
use errors::{CallError, ResultCode};
use futures::StreamExt as _;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use wire::SubmittedCall;

use crate::context::EntryContext;
use crate::http::reply::{ErrorBody, HttpReply, UsageBody, error_reply, json_reply, malformed};
use crate::http::request::BufferedRequest;
use crate::http::service::configured_service;
use crate::relay::{CallRelay, RelayEvent, StreamPosition};

const EVENTS_BUFFERED: usize = 64;

#[derive(Debug, Deserialize)]
struct ChatBody {
    model: ServiceName,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<TokenCount>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Serialize)]
struct CompletionBody<'a> {
    id: String,
    object: &'static str,
    model: &'a ServiceName,
    choices: [ChoiceBody<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageBody>,
}

#[derive(Debug, Serialize)]
struct ChoiceBody<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<MessageBody<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<DeltaBody<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Serialize)]
struct MessageBody<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Debug, Serialize)]
struct DeltaBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

/// Runs a turn and returns its answer.
pub(crate) async fn complete(
    context: &Arc<EntryContext>,
    request: &BufferedRequest,
    team: TeamName,
) -> Result<HttpReply, CallError> {
    let body: ChatBody = request.json()?;
    let program = request.program()?;
    let service = configured_service(context, &body.model)?;
    if service.kind != ServiceKind::Model {
        let message = format!("the service {} is not a model", body.model);
        return Err(CallError::not_run(ResultCode::WrongServiceKind, message));
    }
    if body.messages.is_empty() {
        return Err(malformed("a turn needs at least one message"));
    }
    let max_tokens = body.max_tokens.unwrap_or(service.limits.max_tokens);
    let payload = CallPayload::Chat {
        messages: body.messages,
        max_tokens,
    };
    let call = CallRequest {
        service: body.model.clone(),
        idempotency_key: request.idempotency_key()?,
        payload,
    };
    let submitted = SubmittedCall {
        team,
        program,
        request: call,
        delivered: String::new(),
    };
    let resume = request.stream_position()?;
    let (sender, receiver) = mpsc::channel(EVENTS_BUFFERED);
    let relay = CallRelay::new(Arc::clone(context), submitted, resume);
    tokio::spawn(relay.run(sender));
    if body.stream {
        return Ok(stream_reply(body.model, receiver).await);
    }
    Ok(complete_reply(&body.model, receiver).await)
}

async fn complete_reply(model: &ServiceName, mut events: mpsc::Receiver<RelayEvent>) -> HttpReply {
    while let Some(event) = events.recv().await {
        if let RelayEvent::End(call, outcome) = event {
            return outcome_reply(model, call, &outcome);
        }
    }
    error_reply(&CallError::unknown("the entry stopped during the call"))
}

fn outcome_reply(model: &ServiceName, call: Option<CallKey>, outcome: &CallOutcome) -> HttpReply {
    match outcome {
        CallOutcome::Answered(CallReply::Chat { text, usage }) => {
            let message = MessageBody {
                role: "assistant",
                content: text,
            };
            let choice = ChoiceBody {
                index: 0,
                message: Some(message),
                delta: None,
                finish_reason: Some("stop"),
            };
            let body = completion_body(
                model,
                call,
                "chat.completion",
                choice,
                Some(UsageBody::from(*usage)),
            );
            json_reply(StatusCode::OK, &body)
        }
        CallOutcome::Answered(CallReply::Plain(_)) => error_reply(&CallError::ran(
            ResultCode::Internal,
            "expected a chat reply from the model, got a plain reply",
        )),
        CallOutcome::Failed(error) => error_reply(error),
    }
}

fn completion_body<'a>(
    model: &'a ServiceName,
    call: Option<CallKey>,
    object: &'static str,
    choice: ChoiceBody<'a>,
    usage: Option<UsageBody>,
) -> CompletionBody<'a> {
    let id = call.map(|call| call.to_string()).unwrap_or_default();
    CompletionBody {
        id,
        object,
        model,
        choices: [choice],
        usage,
    }
}

/// Returns the answer as a stream, or the error with its HTTP status if the call fails before its first text.
async fn stream_reply(model: ServiceName, mut events: mpsc::Receiver<RelayEvent>) -> HttpReply {
    let first = match events.recv().await {
        Some(RelayEvent::End(_, CallOutcome::Failed(error))) => return error_reply(&error),
        Some(event) => event,
        None => return error_reply(&CallError::unknown("the entry stopped during the call")),
    };
    let remaining = futures::stream::unfold(events, |mut events| async move {
        let event = events.recv().await?;
        Some((event, events))
    });
    let frames = futures::stream::once(async move { first })
        .chain(remaining)
        .map(move |event| {
            let text = event_text(&model, event);
            Ok::<_, Infallible>(Frame::data(Bytes::from(text)))
        });
    let mut reply = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    reply
        .headers_mut()
        .insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    reply
}

fn event_text(model: &ServiceName, event: RelayEvent) -> String {
    match event {
        RelayEvent::Text(text, position) => {
            let delta = DeltaBody { content: Some(&text) };
            let choice = ChoiceBody {
                index: 0,
                message: None,
                delta: Some(delta),
                finish_reason: None,
            };
            let body = completion_body(model, None, "chat.completion.chunk", choice, None);
            format!("id: {}\ndata: {}\n\n", event_id(position), json_text(&body))
        }
        RelayEvent::End(call, CallOutcome::Answered(CallReply::Chat { usage, .. })) => {
            let delta = DeltaBody { content: None };
            let choice = ChoiceBody {
                index: 0,
                message: None,
                delta: Some(delta),
                finish_reason: Some("stop"),
            };
            let body = completion_body(
                model,
                call,
                "chat.completion.chunk",
                choice,
                Some(UsageBody::from(usage)),
            );
            format!("data: {}\n\ndata: [DONE]\n\n", json_text(&body))
        }
        RelayEvent::End(_, CallOutcome::Answered(CallReply::Plain(_))) => {
            let error = CallError::ran(
                ResultCode::Internal,
                "expected a chat reply from the model, got a plain reply",
            );
            error_text(&error)
        }
        RelayEvent::End(_, CallOutcome::Failed(error)) => error_text(&error),
    }
}

fn error_text(error: &CallError) -> String {
    format!("event: error\ndata: {}\n\n", json_text(&ErrorBody { error }))
}

fn event_id(position: StreamPosition) -> String {
    format!("{}-{:016x}", position.offset, position.hash)
}

fn json_text(body: &impl Serialize) -> String {
    serde_json::to_string(body).unwrap_or_default()
}
