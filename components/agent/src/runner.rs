//! Starts waiting calls as the concurrency limit permits and runs them to their end.

use std::sync::Arc;
use std::time::Duration;

use domain::{CallOutcome, CallReply, TimeMillis};
use engine::{ChatOrder, EngineClient, PlainOrder};
use errors::{CallError, ResultCode};
use slog::{debug, info};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wire::{DispatchOrder, PortResult};

use crate::call_table::StartedCall;
use crate::output::CallOutput;
use crate::shared::AgentShared;

/// Longest wait for a change of the call table while no waiting call has a deadline to start.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// Starts waiting calls in an endless loop.
pub(crate) async fn run_calls(shared: Arc<AgentShared>) {
    loop {
        let mut work = std::pin::pin!(shared.work.notified());
        work.as_mut().enable();
        let wait = start_ready(&shared);
        // After a timeout, the next round expires waiting calls whose deadline to start has passed.
        let _ = tokio::time::timeout(wait, work).await;
    }
}

/// Starts all calls that may start and returns the time until the first waiting call expires.
fn start_ready(shared: &Arc<AgentShared>) -> Duration {
    let now = TimeMillis::now();
    let mut table = shared.call_table();
    while let Some(started) = table.start_next(now) {
        tokio::spawn(run_call(Arc::clone(shared), started));
    }
    let expiry = table.queue().next_expiry();
    expiry.map_or(MAX_WAIT, |expiry| Duration::from_millis(expiry.since(now) + 1))
}

async fn run_call(shared: Arc<AgentShared>, started: StartedCall) {
    let attempt = started.order.attempt();
    debug!(shared.options.log, "call started"; "attempt" => %attempt);
    let started_at = Instant::now();
    let exchange = tokio::spawn(exchange(Arc::clone(&shared), started));
    let outcome = exchange.await.unwrap_or_else(|error| {
        CallOutcome::Failed(CallError::unknown(format!("the call's task failed: {error}")))
    });
    let ran_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    match &outcome {
        CallOutcome::Answered(_) => {
            debug!(shared.options.log, "call answered"; "attempt" => %attempt, "ran_ms" => ran_ms);
        }
        CallOutcome::Failed(error) => {
            info!(shared.options.log, "call failed"; "attempt" => %attempt, "ran_ms" => ran_ms,
                "code" => error.code.number(), "run" => ?error.run, "cause" => &error.message);
        }
    }
    let ended = {
        let mut table = shared.call_table();
        table.finish(attempt, outcome, ran_ms, TimeMillis::now());
        table.programs().is_released(attempt.call.program)
    };
    shared.work.notify_waiters();
    if ended {
        shared.released.notify_one();
    }
}

async fn exchange(shared: Arc<AgentShared>, started: StartedCall) -> CallOutcome {
    let StartedCall {
        order,
        output,
        cancel,
    } = started;
    let attempt = order.attempt();
    let reply = match order {
        DispatchOrder::Chat {
            service,
            messages,
            prefix,
            max_tokens,
            priority,
            timeout_ms,
            ..
        } => {
            let chat = ChatOrder::builder()
                .model(service)
                .messages(messages)
                .max_tokens(max_tokens)
                .request_id(attempt.to_string())
                .program(attempt.call.program)
                .priority(priority)
                .prefix(prefix)
                .timeout(Duration::from_millis(timeout_ms))
                .build();
            run_chat(&shared.engine, chat, &output, &cancel).await
        }
        DispatchOrder::Plain {
            request,
            idempotency_key,
            repeatable,
            timeout_ms,
            ..
        } => {
            let plain = PlainOrder::builder()
                .request(request)
                .idempotency_key(idempotency_key)
                .program(attempt.call.program)
                .repeatable(repeatable)
                .timeout(Duration::from_millis(timeout_ms))
                .build();
            let ended = cancel.run_until_cancelled(shared.engine.run_plain(&plain));
            ended
                .await
                .unwrap_or_else(|| Err(cancelled()))
                .map(CallReply::Plain)
        }
    };
    reply.map_or_else(CallOutcome::Failed, CallOutcome::Answered)
}

async fn run_chat(
    engine: &EngineClient,
    chat: ChatOrder,
    output: &CallOutput,
    cancel: &CancellationToken,
) -> PortResult<CallReply> {
    let request_id = chat.request_id.clone();
    let mut on_text = |text: &str| output.push(text);
    if let Some(ended) = cancel
        .run_until_cancelled(engine.run_chat(chat, &mut on_text))
        .await
    {
        let text = output.text();
        return ended.map(|usage| CallReply::Chat { text, usage });
    }
    // If the cancellation does not reach the engine, the request ends by the engine's own limits.
    let _ = engine.cancel_chat(&request_id).await;
    Err(cancelled())
}

fn cancelled() -> CallError {
    CallError::ran(ResultCode::Cancelled, "the call was cancelled while it ran")
}
