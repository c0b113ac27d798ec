//! Orders of the controller to the engine, forwarded one at a time; an order of an older term is refused.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use engine::OrderCommand;
use errors::{CallError, ResultCode, RunState};
use slog::info;
use tokio::sync::{mpsc, oneshot};
use wire::{EngineCommand, EngineOrder, PortResult};

use crate::shared::AgentShared;

/// Largest number of orders that wait at the same time.
pub(crate) const ORDER_QUEUE_LENGTH: usize = 64;

/// A waiting order and the channel for its result.
#[derive(Debug)]
pub(crate) struct PendingOrder {
    order: EngineOrder,
    done: oneshot::Sender<PortResult<()>>,
}

/// Queues an order and returns the engine's answer to it.
pub(crate) async fn submit_order(shared: &AgentShared, order: EngineOrder) -> PortResult<()> {
    check_start(shared, order.agent_start)?;
    raise_term(shared, order.term)?;
    let (done, answer) = oneshot::channel();
    let sent = shared.orders.try_send(PendingOrder { order, done });
    sent.map_err(|_refused| CallError::not_run(ResultCode::QueueFull, "the queue of engine orders is full"))?;
    answer
        .await
        .map_err(|_dropped| CallError::unknown("the agent stopped before it answered the order"))?
}

/// Sends orders one at a time, so that an older one cannot overtake a newer one on the way to the engine.
pub(crate) async fn send_orders(shared: Arc<AgentShared>, mut orders: mpsc::Receiver<PendingOrder>) {
    while let Some(pending) = orders.recv().await {
        let result = send_order(&shared, &pending.order).await;
        info!(shared.options.log, "engine order"; "term" => pending.order.term,
            "command" => ?pending.order.command, "code" => result.as_ref().err().map(|error| error.code.number()));
        // Sending fails if the caller has closed its connection.
        let _ = pending.done.send(result);
    }
}

async fn send_order(shared: &AgentShared, order: &EngineOrder) -> PortResult<()> {
    raise_term(shared, order.term)?;
    match &order.command {
        EngineCommand::Announce => Ok(()),
        EngineCommand::Load(model) => {
            shared.begin_load();
            let loaded = shared
                .engine
                .send_order(order.term, OrderCommand::Load, model)
                .await;
            let refused = loaded
                .as_ref()
                .is_err_and(|error| error.run != RunState::OutcomeUnknown);
            if refused {
                shared.fail_load();
            }
            loaded
        }
        EngineCommand::Unload(model) => {
            shared.begin_unload()?;
            let unloaded = shared
                .engine
                .send_order(order.term, OrderCommand::Unload, model)
                .await;
            shared.end_unload(&unloaded);
            unloaded
        }
    }
}

fn check_start(shared: &AgentShared, start: u64) -> PortResult<()> {
    if start == shared.start {
        return Ok(());
    }
    let message = "the order was meant for an earlier start of the agent";
    Err(CallError::not_run(ResultCode::AgentRestarted, message))
}

fn raise_term(shared: &AgentShared, term: u64) -> PortResult<()> {
    let largest = shared.largest_term.fetch_max(term, Ordering::SeqCst);
    if term >= largest {
        return Ok(());
    }
    let message = format!("term {term} is older than the largest one received, {largest}");
    Err(CallError::not_run(ResultCode::StaleTenure, message))
}
