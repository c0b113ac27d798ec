//! Facts for the decisions: which backend servers there are and what a call may cost.

use std::sync::Arc;

use domain::{
    CallPayload, ChatMessage, ClusterConfiguration, HostName, MicroUnits, ProgramState, ServiceConfig,
    ServiceKind, TimeMillis, TokenCount,
};
use errors::{CallError, ResultCode};
use policy::{AdmissionFacts, CallShape, ServerChoice, ServerCosts, ServerView, admit_call, choose_server};
use tokio::time::Instant;

use crate::context::EntryContext;
use crate::fleet::{PeerRecord, is_listed_leaving};
use crate::owner::call::OpenCall;
use crate::owner::cell::{ProgramCell, context_tokens, repetitions};
use crate::owner::core::OwnerCore;

/// Tokens that an engine adds around one message, at most.
const MESSAGE_OVERHEAD_TOKENS: TokenCount = 8;

/// Speed of a backend server until it has been observed.
const DEFAULT_COSTS: ServerCosts = ServerCosts {
    prefill_us_per_token: 200,
    decode_us_per_token: 20_000,
};

/// Share of the worst case that a call is expected to generate, as a divisor.
const EXPECTED_TOKENS_DIVISOR: TokenCount = 4;

/// The backend server for a call with the prediction that led to it.
#[derive(Debug, Clone)]
pub(crate) struct ChosenServer {
    /// Agent of the backend server.
    pub(crate) peer: PeerRecord,
    /// Prediction.
    pub(crate) choice: ServerChoice,
}

/// Returns the shape of a call; token counts are upper bounds.
pub(crate) fn call_shape(program: &ProgramState, call: &OpenCall) -> CallShape {
    match &call.request.payload {
        CallPayload::Chat { messages, max_tokens } => {
            let added: TokenCount = messages.iter().map(max_message_tokens).sum();
            let delivered = call.text_len();
            CallShape {
                prompt_tokens: max_history_tokens(program) + added + delivered,
                max_tokens: *max_tokens,
                urgency: program.urgency,
            }
        }
        CallPayload::Plain(_) => CallShape {
            prompt_tokens: 0,
            max_tokens: 0,
            urgency: program.urgency,
        },
    }
}

/// Returns an upper bound of the history's tokens: what the engine counted, or the bytes where it has not.
fn max_history_tokens(program: &ProgramState) -> TokenCount {
    let counted = context_tokens(program);
    if counted > 0 {
        return counted + MESSAGE_OVERHEAD_TOKENS * program.history.len() as TokenCount;
    }
    program.history.iter().map(max_message_tokens).sum()
}

/// Returns an upper bound of a message's tokens: no tokenizer makes more tokens than bytes.
fn max_message_tokens(message: &ChatMessage) -> TokenCount {
    message.content.len() as TokenCount + MESSAGE_OVERHEAD_TOKENS
}

/// Returns the largest price of a call.
pub(crate) fn worst_case_price(service: &ServiceConfig, shape: &CallShape) -> MicroUnits {
    policy::worst_case_price(&service.prices, shape.prompt_tokens, shape.max_tokens)
}

/// Chooses the backend server of a call among the agents that take new work.
pub(crate) fn choose_agent(
    context: &EntryContext,
    owner: &OwnerCore,
    service: &ServiceConfig,
    cell: &ProgramCell,
    shape: &CallShape,
    excluded: &[HostName],
) -> Option<ChosenServer> {
    let fleet = context.board.fleet();
    let holdings = cell.holdings();
    let now = Instant::now();
    let mut peers = Vec::new();
    let mut views = Vec::new();
    for peer in fleet.agents(&service.name) {
        let host = &peer.heartbeat.host;
        let Some(load) = &peer.heartbeat.load else {
            continue;
        };
        let report_age = now.duration_since(peer.heard);
        if report_age > context.options.suspect_after || excluded.contains(host) {
            continue;
        }
        let (own_in_flight, own_in_flight_tokens) = owner.in_flight.sent_since(host, peer.heard);
        let holding = holdings.iter().find(|holding| holding.host == *host);
        views.push(ServerView {
            key: u32::try_from(peers.len()).unwrap_or(u32::MAX),
            healthy: load.is_serving(),
            leaving: peer.heartbeat.leaving || is_listed_leaving(context, host),
            queued: load.queued,
            running: load.running,
            capacity: load.capacity,
            pending_tokens: load.pending_tokens,
            own_in_flight,
            own_in_flight_tokens,
            cache_used: load.cache_used,
            cache_size: load.cache_size,
            held_tokens: holding.map_or(0, |holding| holding.tokens),
            report_age_ms: u64::try_from(report_age.as_millis()).unwrap_or(u64::MAX),
        });
        peers.push(peer);
    }
    let weights = context.board.configuration()?.content.weights;
    let expected = CallShape {
        max_tokens: shape.max_tokens / EXPECTED_TOKENS_DIVISOR,
        ..*shape
    };
    let choice = choose_server(&views, &expected, &DEFAULT_COSTS, &weights, &mut rand::rng())?;
    let peer = peers[usize::try_from(choice.key).unwrap_or(0)].clone();
    Some(ChosenServer { peer, choice })
}

/// Decides whether a call may go on to the chosen backend server.
///
/// # Errors
///
/// Returns the refusal, not run, with the time to come back where a retry helps.
pub(crate) fn check_admission(
    context: &EntryContext,
    configuration: &ClusterConfiguration,
    service: &ServiceConfig,
    cell: &ProgramCell,
    call: &OpenCall,
    shape: &CallShape,
    chosen: Option<&ChosenServer>,
) -> Result<(), CallError> {
    let fleet = context.board.fleet();
    let is_available = |name| {
        let now = Instant::now();
        let mut agents = fleet.agents(name);
        agents.any(|peer| {
            let healthy = peer
                .heartbeat
                .load
                .as_ref()
                .is_some_and(domain::LoadDigest::is_serving);
            healthy && now.duration_since(peer.heard) <= context.options.suspect_after
        })
    };
    let unavailable = service
        .depends
        .iter()
        .find(|name| configuration.service(name).is_some() && !is_available(name));
    let now = TimeMillis::now();
    let facts = cell.with_program(|program| AdmissionFacts {
        now,
        deadline: program.deadline,
        started: program.started,
        turns: program.finished.len() as u64,
        repetitions: if service.kind == ServiceKind::Model {
            repetitions(program, call.fingerprint)
        } else {
            0
        },
        dependencies_up: unavailable.is_none(),
        live_servers: u32::from(chosen.is_some()),
        predicted_ms: chosen.map_or(0, |chosen| chosen.choice.predicted_ms),
        wait_ms: chosen.map_or(0, |chosen| chosen.choice.wait_ms),
    });
    admit_call(&facts, &service.limits)?;
    check_context(service, shape)
}

fn check_context(service: &ServiceConfig, shape: &CallShape) -> Result<(), CallError> {
    if shape.max_tokens > service.limits.max_tokens {
        let message = format!("max_tokens is at most {}", service.limits.max_tokens);
        return Err(CallError::not_run(ResultCode::MalformedRequest, message));
    }
    let counted = shape.prompt_tokens + shape.max_tokens;
    if service.kind == ServiceKind::Model && counted > service.limits.context_tokens {
        let message = format!(
            "the history may reach {counted} of {} tokens",
            service.limits.context_tokens
        );
        return Err(CallError::not_run(ResultCode::TurnLimit, message));
    }
    Ok(())
}

/// Returns the configured service, or the refusal when there is none.
///
/// # Errors
///
/// Returns 7007 without a configuration and 1004 for an unknown service, not run.
pub(crate) fn find_service(
    context: &EntryContext,
    name: &domain::ServiceName,
) -> Result<(Arc<domain::AppliedConfiguration>, ServiceConfig), CallError> {
    let Some(applied) = context.board.configuration() else {
        let refusal = CallError::not_run(ResultCode::NoConfiguration, "no configuration is in force");
        return Err(refusal.with_retry_after_ms(1000));
    };
    let Some(service) = applied.content.service(name).cloned() else {
        return Err(CallError::not_run(
            ResultCode::UnknownService,
            format!("no service {name}"),
        ));
    };
    Ok((applied, service))
}
