//! Requests that start, read and end programs or return the state of a call.

use std::sync::Arc;

use domain::{CallOutcome, ProgramKey, ProgramPhase, ProgramState, TeamName, TimeMillis, UrgencyClass};
use errors::{CallError, ResultCode};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use wire::{ProgramStart, ProgramSummary};

use crate::context::EntryContext;
use crate::http::reply::{HttpReply, ProgramBody, json_reply, malformed};
use crate::http::request::BufferedRequest;
use crate::link::{end_program, read_program};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StartBody {
    #[serde(default)]
    urgency: UrgencyClass,
    #[serde(default)]
    deadline: Option<TimeMillis>,
    #[serde(default)]
    parent: Option<ProgramKey>,
}

#[derive(Debug, Serialize)]
struct HistoryBody {
    program: ProgramKey,
    messages: Vec<domain::ChatMessage>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
enum CallBody {
    Running,
    Answered { reply: domain::CallReply },
    Failed { error: CallError },
    UnknownKey,
}

/// Starts a program of a team. Its parent, if it has one, must be running.
pub(crate) async fn start(
    context: &Arc<EntryContext>,
    request: &BufferedRequest,
    team: TeamName,
) -> Result<HttpReply, CallError> {
    let body: StartBody = request.json()?;
    if context.cluster.is_leaving() {
        let refusal = CallError::not_run(
            ResultCode::Leaving,
            "the entry is leaving; start the program at another entry",
        );
        return Err(refusal.with_retry_after_ms(0));
    }
    if let Some(parent) = body.parent {
        check_parent(&read_program(context, Some(&team), parent).await?)?;
    }
    let start = ProgramStart {
        team,
        parent: body.parent,
        urgency: body.urgency,
        deadline: body.deadline,
    };
    let owner = context.owner();
    let starting = tokio::spawn(async move { owner.start_program(start).await });
    let summary = starting
        .await
        .unwrap_or_else(|error| Err(CallError::unknown(error.to_string())))?;
    Ok(json_reply(StatusCode::CREATED, &ProgramBody::from(summary)))
}

fn check_parent(parent: &ProgramState) -> Result<(), CallError> {
    if parent.phase == ProgramPhase::Running {
        return Ok(());
    }
    Err(CallError::not_run(
        ResultCode::ProgramEnded,
        format!("the parent program {} has ended", parent.key),
    ))
}

/// Returns a summary of a program.
pub(crate) async fn read(
    context: &Arc<EntryContext>,
    team: &TeamName,
    id: &str,
) -> Result<HttpReply, CallError> {
    let program = read_program(context, Some(team), parse_program(id)?).await?;
    Ok(json_reply(
        StatusCode::OK,
        &ProgramBody::from(ProgramSummary::new(&program, program.intents.len())),
    ))
}

/// Returns the history of a program. `None` as team means an operator.
pub(crate) async fn history(
    context: &Arc<EntryContext>,
    team: Option<&TeamName>,
    id: &str,
) -> Result<HttpReply, CallError> {
    let program = read_program(context, team, parse_program(id)?).await?;
    Ok(json_reply(
        StatusCode::OK,
        &HistoryBody {
            program: program.key,
            messages: program.history,
        },
    ))
}

/// Ends a program and returns its summary.
pub(crate) async fn end(
    context: &Arc<EntryContext>,
    team: &TeamName,
    id: &str,
) -> Result<HttpReply, CallError> {
    let summary = end_program(context, Some(team), parse_program(id)?).await?;
    Ok(json_reply(StatusCode::OK, &ProgramBody::from(summary)))
}

/// Returns the state or outcome of the call with an idempotency key.
pub(crate) async fn call(
    context: &Arc<EntryContext>,
    team: &TeamName,
    id: &str,
    key: &str,
) -> Result<HttpReply, CallError> {
    let program = read_program(context, Some(team), parse_program(id)?).await?;
    let body = match program
        .finished_call(key)
        .map(|finished| finished.outcome.clone())
    {
        Some(CallOutcome::Answered(reply)) => CallBody::Answered { reply },
        Some(CallOutcome::Failed(error)) => CallBody::Failed { error },
        None if program.open_intent(key).is_some() => CallBody::Running,
        None => CallBody::UnknownKey,
    };
    Ok(json_reply(StatusCode::OK, &body))
}

/// Parses a program id.
///
/// # Errors
///
/// Returns 1005 for a text that is not a program id.
pub(crate) fn parse_program(id: &str) -> Result<ProgramKey, CallError> {
    id.parse().map_err(|message: String| {
        let mut refusal = malformed(message);
        refusal.code = ResultCode::UnknownProgram;
        refusal
    })
}
