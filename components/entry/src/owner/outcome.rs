//! The final state of a call: its journal record, its price and the messages that it adds to the history.

use budget::BudgetReservation;
use domain::{
    CallOutcome, CallPayload, CallReply, ChatMessage, ChatRole, FinishedCall, HostName, MicroUnits,
    ServiceConfig, TimeMillis, TokenCount, UnsettledAttempt,
};
use errors::{CallError, ResultCode};
use journal::JournalRecord;
use policy::exact_price;

use crate::owner::call::OpenCall;
use crate::owner::commit::PLATFORM_RETRY_AFTER_MS;
use crate::owner::run::CallRunner;

impl CallRunner {
    /// Returns the journal record of the final state.
    pub(crate) fn finished_record(
        &self,
        host: &HostName,
        outcome: CallOutcome,
        charged: MicroUnits,
        unsettled: Option<UnsettledAttempt>,
    ) -> JournalRecord {
        JournalRecord::Finished {
            new_messages: new_messages(&self.call, &outcome),
            served_tokens: served_tokens(&outcome),
            finished: FinishedCall {
                call: self.call.key,
                idempotency_key: self.call.request.idempotency_key.clone(),
                fingerprint: self.call.fingerprint,
                outcome,
                charged,
                unsettled,
            },
            host: Some(host.clone()),
            at: TimeMillis::now(),
        }
    }
}

/// Returns whether an attempt ended because its backend server was lost or failed, so that another server may
/// answer the call.
pub(crate) fn is_backend_loss(error: &CallError) -> bool {
    matches!(error.code, ResultCode::OutcomeUnknown | ResultCode::BackendFailed)
}

/// Returns the price of a call by its final state. A failed call costs the reserved amount, since it is not
/// proven that less was spent.
pub(crate) fn charge(
    service: &ServiceConfig,
    reservation: &BudgetReservation,
    outcome: &CallOutcome,
) -> MicroUnits {
    match outcome {
        CallOutcome::Answered(CallReply::Chat { usage, .. }) => exact_price(&service.prices, usage),
        CallOutcome::Answered(CallReply::Plain(_)) => service.prices.per_call,
        CallOutcome::Failed(_) => reservation.amount(),
    }
}

fn new_messages(call: &OpenCall, outcome: &CallOutcome) -> Vec<ChatMessage> {
    let (CallPayload::Chat { messages, .. }, CallOutcome::Answered(CallReply::Chat { text, .. })) =
        (&call.request.payload, outcome)
    else {
        return Vec::new();
    };
    let mut added = messages.clone();
    added.push(ChatMessage {
        role: ChatRole::Assistant,
        content: text.clone(),
    });
    added
}

/// Returns the error that readers receive until the final state is durable. It has the run state of the
/// outcome.
pub(crate) fn interim_error(outcome: &CallOutcome) -> CallError {
    let mut error = CallError::ran(
        ResultCode::PlatformUnavailable,
        "the call has ended, but its outcome is not durable yet: the object API does not answer",
    );
    if let CallOutcome::Failed(failure) = outcome {
        error.run = failure.run;
    }
    error.with_retry_after_ms(PLATFORM_RETRY_AFTER_MS)
}

const fn served_tokens(outcome: &CallOutcome) -> TokenCount {
    match outcome {
        CallOutcome::Answered(CallReply::Chat { usage, .. }) => usage.prompt_tokens + usage.completion_tokens,
        CallOutcome::Answered(CallReply::Plain(_)) | CallOutcome::Failed(_) => 0,
    }
}
