//! Admission of calls and the choice of their backend servers: collects the inputs of the policy functions.

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

/// Maximum number of tokens that an engine adds around one message.
const MESSAGE_OVERHEAD_TOKENS: TokenCount = 8;

/// Assumed processing times per token of a backend server whose speed has not been measured.
const DEFAULT_COSTS: ServerCosts = ServerCosts {
    prefill_us_per_token: 200,
    decode_us_per_token: 20_000,
};

/// Divisor of the maximum number of generated tokens that gives the expected number.
const EXPECTED_TOKENS_DIVISOR: TokenCount = 4;

/// Backend server that was chosen for a call, with the prediction on which the choice is based.
#[derive(Debug, Clone)]
pub(crate) struct ChosenServer {
    /// Latest heartbeat of the agent of the backend server.
    pub(crate) peer: PeerRecord,
    /// Choice of the policy with the predicted times.
    pub(crate) choice: ServerChoice,
}

/// Returns the shape of a call. Its token counts are upper bounds, and 0 for a plain request.
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

/// Returns an upper bound of the tokens of a program's history: the engine's count plus the message overhead
/// or, if there is no count yet, the number of bytes plus the overhead.
fn max_history_tokens(program: &ProgramState) -> TokenCount {
    let counted = context_tokens(program);
    if counted > 0 {
        return counted + MESSAGE_OVERHEAD_TOKENS * program.history.len() as TokenCount;
    }
    program.history.iter().map(max_message_tokens).sum()
}

/// Returns an upper bound of the tokens of a message: a tokenizer produces at most one token per byte.
fn max_message_tokens(message: &ChatMessage) -> TokenCount {
    message.content.len() as TokenCount + MESSAGE_OVERHEAD_TOKENS
}

/// Returns the highest price that a call of this shape can have.
pub(crate) fn worst_case_price(service: &ServiceConfig, shape: &CallShape) -> MicroUnits {
    policy::worst_case_price(&service.prices, shape.prompt_tokens, shape.max_tokens)
}

/// Chooses the backend server of a call among the hosts that are not in `excluded`.
///
/// Skips agents that have not reported their load or whose latest heartbeat is older than `suspect_after`.
/// Returns `None` if no configuration is in force or no backend server takes new work.
pub(crate) fn choose_agent(
    context: &EntryContext,
    owner: &OwnerCore,
    service: &ServiceConfig,
    cell: &ProgramCell,
    shape: &CallShape,
    excluded: &[HostName],
) -> Option<ChosenServer> {
    let fleet = context.cluster.fleet();
    let holdings = cell.holdings();
    let now = Instant::now();
    let mut peers = Vec::new();
    let mut views = Vec::new();
    for peer in fleet.agents(&service.name) {
        let host = &peer.heartbeat.host;
        let Some(load) = &peer.heartbeat.load else {
            continue;
        };
        let report_age = now.duration_since(peer.received_at);
        if report_age > context.options.suspect_after || excluded.contains(host) {
            continue;
        }
        let (own_in_flight, own_in_flight_tokens) = owner.in_flight.sent_since(host, peer.received_at);
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
    let weights = context.cluster.configuration()?.content.weights;
    let expected = CallShape {
        max_tokens: shape.max_tokens / EXPECTED_TOKENS_DIVISOR,
        ..*shape
    };
    let choice = choose_server(&views, &expected, &DEFAULT_COSTS, &weights, &mut rand::rng())?;
    let peer = peers[usize::try_from(choice.key).unwrap_or(0)].clone();
    Some(ChosenServer { peer, choice })
}

/// Checks whether a call may be sent to the chosen backend server.
///
/// # Errors
///
/// Returns a not-run error with the reason and, where a retry can help, with a Retry-After delay.
pub(crate) fn check_admission(
    context: &EntryContext,
    configuration: &ClusterConfiguration,
    service: &ServiceConfig,
    cell: &ProgramCell,
    call: &OpenCall,
    shape: &CallShape,
    chosen: Option<&ChosenServer>,
) -> Result<(), CallError> {
    let fleet = context.cluster.fleet();
    let is_available = |name| {
        let now = Instant::now();
        let mut agents = fleet.agents(name);
        agents.any(|peer| {
            let healthy = peer
                .heartbeat
                .load
                .as_ref()
                .is_some_and(domain::LoadDigest::is_serving);
            healthy && now.duration_since(peer.received_at) <= context.options.suspect_after
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
        let message = format!(
            "max_tokens is larger than the limit of {} of the service",
            service.limits.max_tokens
        );
        return Err(CallError::not_run(ResultCode::MalformedRequest, message));
    }
    let counted = shape.prompt_tokens + shape.max_tokens;
    if service.kind == ServiceKind::Model && counted > service.limits.context_tokens {
        let message = format!(
            "the prompt and the answer may need {counted} tokens, the context limit of the service is {}",
            service.limits.context_tokens
        );
        return Err(CallError::not_run(ResultCode::TurnLimit, message));
    }
    Ok(())
}

/// Returns the configuration in force and its service with the name.
///
/// # Errors
///
/// Returns a not-run error: 3021 if no configuration is in force and 1004 if the service is unknown.
pub(crate) fn find_service(
    context: &EntryContext,
    name: &domain::ServiceName,
) -> Result<(Arc<domain::AppliedConfiguration>, ServiceConfig), CallError> {
    let applied = context.cluster.require_configuration()?;
    let Some(service) = applied.content.service(name).cloned() else {
        return Err(CallError::not_run(
            ResultCode::UnknownService,
            format!("no service {name}"),
        ));
    };
    Ok((applied, service))
}
