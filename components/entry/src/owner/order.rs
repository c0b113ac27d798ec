//! The order that is sent to an agent for an attempt at a call.

use domain::{AttemptKey, CallPayload, ServiceConfig, TimeMillis};
use policy::{CallFacts, call_priority};
use wire::DispatchOrder;

use crate::owner::admission::ChosenServer;
use crate::owner::run::CallRunner;

impl CallRunner {
    /// Builds the order for an attempt: the request, for a chat with the full history and the text received
    /// so far, the priority in the queue of the agent and the time limits.
    pub(crate) fn build_order(
        &self,
        attempt: AttemptKey,
        service: &ServiceConfig,
        chosen: &ChosenServer,
    ) -> DispatchOrder {
        let program = self.cell.program();
        let now = TimeMillis::now();
        let facts = CallFacts {
            urgency: program.urgency,
            deadline: program.deadline,
            queued_at: self.call.queued_at,
            served_tokens: program.served_tokens,
            predicted_ms: chosen.choice.predicted_ms.saturating_sub(chosen.choice.wait_ms),
        };
        let priority = call_priority(&facts, now);
        let timeout_ms = service.limits.call_timeout_ms;
        match &self.call.request.payload {
            CallPayload::Chat { messages, max_tokens } => {
                let mut history = program.history;
                history.extend_from_slice(messages);
                DispatchOrder::Chat {
                    attempt,
                    service: service.name.clone(),
                    messages: history,
                    prefix: self.call.text(),
                    max_tokens: *max_tokens,
                    priority,
                    start_before: program.deadline,
                    timeout_ms,
                }
            }
            CallPayload::Plain(request) => DispatchOrder::Plain {
                attempt,
                service: service.name.clone(),
                request: request.clone(),
                idempotency_key: format!("{}-{}", self.call.key.program, self.call.request.idempotency_key),
                repeatable: service.repeatable,
                agent_start: chosen.peer.heartbeat.start,
                priority,
                start_before: program.deadline,
                timeout_ms,
            },
        }
    }
}
