//! One attempt at a call: sends it to an agent and reads its output by offset.

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

/// Time for which an agent may wait for new output before it answers a read request.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time added to `READ_TIMEOUT` for the transfer of the request and the answer.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Delay before an unanswered request to an agent is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// One start of the agent to which an attempt was sent.
#[derive(Debug, Clone)]
pub(crate) struct AgentInstance {
    /// Host of the agent.
    pub(crate) host: HostName,
    /// Address of the agent's process port.
    pub(crate) address: SocketAddr,
    /// Number of the start. A restarted agent has another one and has lost its table of calls.
    pub(crate) start: u64,
}

/// Result of sending an order to an agent.
#[derive(Debug)]
pub(crate) enum SendStatus {
    /// The agent accepted the order.
    Accepted,
    /// The agent answered with an error. Its run state says whether the call may have run.
    Refused(CallError),
    /// No connection was established, so that the agent cannot have received the order.
    NotSent(CallError),
    /// The agent may have received the order, but did not answer and is lost.
    Unanswered,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// The agent reported the final state.
    Closed(CallOutcome),
    /// The agent is lost, or it has no record of the attempt.
    Lost,
    /// The stop token of the call was cancelled.
    Stopped,
}

/// Sends an order to an agent. Retries over a new connection after a timeout or a transport error, until the
/// agent answers or is lost.
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
                debug!(context.options.log, "agent did not answer the dispatch";
                    "host" => %instance.host, "error" => %error);
                unanswered = true;
                context.pool.drop_connections(instance.address);
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
                debug!(context.options.log, "attempt output not read";
                    "attempt" => %attempt, "error" => %error);
                context.pool.drop_connections(instance.address);
                if is_lost(context, instance) {
                    return AttemptEnd::Lost;
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until the agent is lost. A frozen agent keeps its connection open, so that the read alone would not
/// detect the loss.
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

/// Returns whether an agent is lost: it has restarted, or its latest heartbeat is older than `suspect_after`.
///
/// A host without a heartbeat counts as lost only after this entry has run long enough to have received the
/// heartbeats of all live processes.
pub(crate) fn is_lost(context: &EntryContext, instance: &AgentInstance) -> bool {
    let fleet = context.cluster.fleet();
    let Some(peer) = fleet.peer(&instance.host) else {
        return context.is_fleet_view_complete();
    };
    let report_age = Instant::now().duration_since(peer.received_at);
    peer.heartbeat.start != instance.start || report_age > context.options.suspect_after
}
