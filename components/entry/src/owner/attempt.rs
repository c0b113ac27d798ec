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

const READ_WAIT: Duration = Duration::from_secs(5);
const READ_GRACE: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Agent that holds an attempt.
#[derive(Debug, Clone)]
pub(crate) struct AgentSeat {
    /// Host.
    pub(crate) host: HostName,
    /// Address of the process port.
    pub(crate) address: SocketAddr,
    /// Start of the agent.
    pub(crate) start: u64,
}

/// What became of handing an order out.
#[derive(Debug)]
pub(crate) enum Handover {
    /// The agent holds the order.
    Taken,
    /// The agent refused it and will not run it.
    Refused(CallError),
    /// No connection was made; the agent never saw the order.
    NeverSent(CallError),
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
pub(crate) async fn hand_over(context: &EntryContext, seat: &AgentSeat, order: &DispatchOrder) -> Handover {
    let mut unanswered = false;
    loop {
        let client = match context.pool.agent(seat.address).await {
            Ok(client) => client,
            Err(error) if !unanswered => return Handover::NeverSent(error),
            Err(_) if is_lost(context, seat) => return Handover::Unanswered,
            Err(_) => {
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        match client
            .dispatch_call(call_context(CALL_TIMEOUT), order.clone())
            .await
        {
            Ok(Ok(_)) => return Handover::Taken,
            Ok(Err(refusal)) if refusal.code == ResultCode::AgentRestarted && unanswered => {
                return Handover::Unanswered;
            }
            Ok(Err(refusal)) => return Handover::Refused(refusal),
            Err(error) => {
                debug!(context.options.log, "dispatch unanswered"; "host" => %seat.host, "error" => %error);
                unanswered = true;
                context.pool.forget(seat.address);
                if is_lost(context, seat) {
                    return Handover::Unanswered;
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads an attempt's output into the call until the attempt ends.
pub(crate) async fn follow_attempt(
    context: &EntryContext,
    seat: &AgentSeat,
    attempt: AttemptKey,
    call: &OpenCall,
) -> AttemptEnd {
    loop {
        let offset = call.text_len();
        let read = tokio::select! {
            read = read_attempt(context, seat, attempt, offset) => read,
            () = call.stop.cancelled() => return AttemptEnd::Stopped,
            () = wait_lost(context, seat) => return AttemptEnd::Lost,
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
                context.pool.forget(seat.address);
                if is_lost(context, seat) {
                    return AttemptEnd::Lost;
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Waits until the agent is lost; a frozen one keeps its connection open.
async fn wait_lost(context: &EntryContext, seat: &AgentSeat) {
    while !is_lost(context, seat) {
        sleep(context.options.heartbeat_interval).await;
    }
}

async fn read_attempt(
    context: &EntryContext,
    seat: &AgentSeat,
    attempt: AttemptKey,
    offset: u64,
) -> Result<OutputChunk, CallError> {
    let client = context.pool.agent(seat.address).await?;
    let wait_ms = u64::try_from(READ_WAIT.as_millis()).unwrap_or(u64::MAX);
    let read = client
        .read_attempt(call_context(READ_WAIT + READ_GRACE), attempt, offset, wait_ms)
        .await;
    read.map_err(|error| lost_answer(&error))?
}

/// Tells whether an agent has restarted or fallen silent.
pub(crate) fn is_lost(context: &EntryContext, seat: &AgentSeat) -> bool {
    let fleet = context.board.fleet();
    let Some(peer) = fleet.peer(&seat.host) else {
        return context.has_heard_all();
    };
    let silence = Instant::now().duration_since(peer.heard);
    peer.heartbeat.start != seat.start || silence > context.options.suspect_after
}
