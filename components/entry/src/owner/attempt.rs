//! One attempt at a call: hand it to an agent and read its output back by offset.

use std::net::SocketAddr;
use std::time::Duration;

use domain::{AttemptKey, CallOutcome, HostName};
use errors::{CallError, ResultCode, RunState};
use slog::debug;
use tokio::time::{Instant, sleep};
use wire::{DispatchOrder, OutputChunk};

use crate::context::EntryContext;
use crate::owner::call::OpenCall;
use crate::pool::{CALL_TIMEOUT, call_context, lost_answer};

const READ_TIMEOUT: Duration = Duration::from_secs(5);
const READ_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Agent that holds an attempt.
#[derive(Debug, Clone)]
pub(crate) struct AgentInstance {
    /// Host.
    pub(crate) host: HostName,
    /// Address of the process port.
    pub(crate) address: SocketAddr,
    /// Start of the agent.
    pub(crate) start: u64,
}

/// What became of handing an order out.
#[derive(Debug)]
pub(crate) enum SendStatus {
    /// The agent holds the order.
    Accepted,
    /// The agent refused it and will not run it.
    Refused(CallError),
    /// No connection was made; the agent never saw the order.
    NotSent(CallError),
    /// The agent may hold the order but does not answer any more.
    Unanswered,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// The agent reported the final state.
    Closed(CallOutcome),
    /// The agent is lost or has lost the attempt.
    Lost,
    /// The call was stopped.
    Stopped,
}

/// Hands an order to an agent; a silent connection is replaced by a fresh one.
pub(crate) async fn send_order(
    context: &EntryContext,
    instance: &AgentInstance,
    order: &DispatchOrder,
) -> SendStatus {
    let mut unanswered = false;
    loop {
        let client = match context.pool.agent(instance.address).await {
            Ok(client) => client,
            Err(error) if !unanswered => return SendStatus::NotSent(error),
            Err(_) if is_lost(context, instance) => return SendStatus::Unanswered,
            Err(_) => {
                sleep(RETRY_DELAY).await;
                continue;
            }
        };
        match client
            .dispatch_call(call_context(CALL_TIMEOUT), order.clone())
            .await
        {
            Ok(Ok(_)) => return SendStatus::Accepted,
            Ok(Err(refusal)) if refusal.code == ResultCode::AgentRestarted && unanswered => {
                return SendStatus::Unanswered;
            }
            Ok(Err(refusal)) => return SendStatus::Refused(refusal),
            Err(error) => {
                debug!(context.options.log, "dispatch unanswered"; "host" => %instance.host, "error" => %error);
                unanswered = true;
                context.pool.forget(instance.address);
                if is_lost(context, instance) {
                    return SendStatus::Unanswered;
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads an attempt's output into the call until the attempt ends.
pub(crate) async fn follow_attempt(
    context: &EntryContext,
    instance: &AgentInstance,
    attempt: AttemptKey,
    call: &OpenCall,
) -> AttemptEnd {
    loop {
        let offset = call.text_len();
        let read = tokio::select! {
            read = read_attempt(context, instance, attempt, offset) => read,
            () = call.stop.cancelled() => return AttemptEnd::Stopped,
            () = wait_until_lost(context, instance) => return AttemptEnd::Lost,
        };
        match read {
            Ok(chunk) => {
                call.push_text(chunk.offset, &chunk.text);
                if let Some(outcome) = chunk.outcome {
                    return AttemptEnd::Closed(outcome);
                }
            }
            Err(error) if error.run == RunState::NotRun && error.code != ResultCode::PeerUnreachable => {
                return AttemptEnd::Lost;
            }
            Err(error) => {
                debug!(context.options.log, "attempt unreadable"; "attempt" => %attempt, "error" => %error);
                context.pool.forget(instance.address);
                if is_lost(context, instance) {
                    return AttemptEnd::Lost;
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until the agent is lost; a frozen one keeps its connection open.
async fn wait_until_lost(context: &EntryContext, instance: &AgentInstance) {
    while !is_lost(context, instance) {
        sleep(context.options.heartbeat_interval).await;
    }
}

async fn read_attempt(
    context: &EntryContext,
    instance: &AgentInstance,
    attempt: AttemptKey,
    offset: u64,
) -> Result<OutputChunk, CallError> {
    let client = context.pool.agent(instance.address).await?;
    let wait_ms = u64::try_from(READ_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    let read = client
        .read_attempt(
            call_context(READ_TIMEOUT + READ_TIMEOUT_MARGIN),
            attempt,
            offset,
            wait_ms,
        )
        .await;
    read.map_err(|error| lost_answer(&error))?
}

/// Tells whether an agent has restarted or fallen silent.
pub(crate) fn is_lost(context: &EntryContext, instance: &AgentInstance) -> bool {
    let fleet = context.board.fleet();
    let Some(peer) = fleet.peer(&instance.host) else {
        return context.has_heard_all();
    };
    let report_age = Instant::now().duration_since(peer.heard);
    peer.heartbeat.start != instance.start || report_age > context.options.suspect_after
}
