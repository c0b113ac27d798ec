//! Runs the calls of one program in sequence.

use std::sync::Arc;

use budget::BudgetReservation;
use domain::{
    AttemptKey, AttemptNumber, CallOutcome, CallReply, HostName, IntentRecord, MicroUnits, ProgramPhase,
    ServiceConfig, UnsettledAttempt,
};
use errors::{CallError, ResultCode, RunState};
use journal::{JournalError, JournalRecord};
use policy::CallShape;
use slog::{info, warn};
use wire::DispatchOrder;

use crate::context::EntryContext;
use crate::owner::admission::{call_shape, check_admission, choose_agent, find_service, worst_case_price};
use crate::owner::attempt::{AgentInstance, AttemptEnd, SendStatus, follow_attempt, send_order};
use crate::owner::call::OpenCall;
use crate::owner::cell::ProgramCell;
use crate::owner::core::{OwnerCore, cancelled, close_call, journal_refusal, not_owner};
use crate::owner::outcome::{charge, interim_error, is_backend_loss};
use crate::pool::{CALL_TIMEOUT, call_context};

/// Maximum number of attempts at one call.
const MAX_ATTEMPTS: u64 = 6;

/// Runs one call of a program.
#[derive(Debug)]
pub(crate) struct CallRunner {
    /// Shared state of the entry.
    pub(crate) context: Arc<EntryContext>,
    /// Owner of the program.
    pub(crate) owner: Arc<OwnerCore>,
    /// Program of the call.
    pub(crate) cell: Arc<ProgramCell>,
    /// Call that is run.
    pub(crate) call: Arc<OpenCall>,
}

/// An attempt for which an agent was chosen and budget was reserved.
#[derive(Debug)]
struct LiveAttempt {
    key: AttemptKey,
    instance: AgentInstance,
    reservation: BudgetReservation,
    shape: CallShape,
}

/// Next step after an attempt.
#[derive(Debug)]
enum NextStep {
    /// Close the call with this final state.
    Close(CallOutcome),
    /// Try again, since another attempt may succeed. If no attempt is left, the call fails with this error.
    Retry(CallError),
}

/// Runs the calls of a program until none waits. The caller must have claimed the program.
pub(crate) async fn run_calls(context: Arc<EntryContext>, owner: Arc<OwnerCore>, cell: Arc<ProgramCell>) {
    while let Some(call) = cell.next_call() {
        if owner.is_fenced() {
            close_call(&cell, &call, CallOutcome::Failed(not_owner()));
            continue;
        }
        let runner = CallRunner {
            context: Arc::clone(&context),
            owner: Arc::clone(&owner),
            cell: Arc::clone(&cell),
            call: Arc::clone(&call),
        };
        let outcome = match &call.adopted {
            Some(intent) => runner.settle_adopted(intent).await,
            None => runner.run().await,
        };
        owner.in_flight.remove(call.key);
        log_call(&context, &call, &outcome);
        close_call(&cell, &call, outcome);
    }
}

/// Records the final state of a call in the log and the metrics.
fn log_call(context: &EntryContext, call: &OpenCall, outcome: &CallOutcome) {
    let log = &context.options.log;
    context.metrics().record_call(call, outcome);
    match outcome {
        CallOutcome::Answered(_) => info!(log, "call answered"; "call" => %call.key),
        CallOutcome::Failed(error) => {
            info!(log, "call failed";
                "call" => %call.key, "code" => error.code.number(), "error" => &error.message);
        }
    }
}

impl CallRunner {
    async fn run(&self) -> CallOutcome {
        let mut excluded = Vec::new();
        let mut refusal =
            CallError::not_run(ResultCode::NoBackendServer, "no backend server accepted the call");
        for number in 1..=MAX_ATTEMPTS {
            match self.attempt(AttemptNumber(number), &mut excluded).await {
                Ok(NextStep::Close(outcome)) => return outcome,
                Ok(NextStep::Retry(error)) => refusal = error,
                Err(error) => {
                    refusal = if number == 1 { error } else { refusal };
                    break;
                }
            }
        }
        self.give_up(refusal)
    }

    /// Returns the final state of a call that no attempt has answered. If the caller may have received a part
    /// of the answer, the error says that the answer was interrupted.
    fn give_up(&self, refusal: CallError) -> CallOutcome {
        if self.call.text_len() == 0 {
            return CallOutcome::Failed(refusal);
        }
        let message = format!("the answer was interrupted: {}", refusal.message);
        let mut broken = CallError::ran(ResultCode::StreamBroken, message);
        broken.retry_after_ms = refusal.retry_after_ms;
        CallOutcome::Failed(broken)
    }

    async fn attempt(
        &self,
        number: AttemptNumber,
        excluded: &mut Vec<HostName>,
    ) -> Result<NextStep, CallError> {
        if self.cell.with_program(|program| program.phase) != ProgramPhase::Running {
            return Err(cancelled());
        }
        let (applied, service) = find_service(&self.context, &self.call.request.service)?;
        let program = self.cell.program();
        let shape = call_shape(&program, &self.call);
        let chosen = choose_agent(&self.context, &self.owner, &service, &self.cell, &shape, excluded);
        check_admission(
            &self.context,
            &applied.content,
            &service,
            &self.cell,
            &self.call,
            &shape,
            chosen.as_ref(),
        )?;
        let Some(chosen) = chosen else {
            return Err(CallError::not_run(
                ResultCode::NoBackendServer,
                "no backend server of the service is live",
            ));
        };
        let worst_case = worst_case_price(&service, &shape);
        let reservation = self.owner.budget().reserve(&program.team, worst_case).await?;
        if let Err(error) = self.owner.cover_spending(&reservation).await {
            self.owner.budget().settle(&reservation, MicroUnits::ZERO);
            return Err(error);
        }
        let key = AttemptKey {
            call: self.call.key,
            tenure: program.tenure,
            attempt: number,
        };
        let instance = AgentInstance {
            host: chosen.peer.heartbeat.host.clone(),
            address: chosen.peer.heartbeat.address,
            start: chosen.peer.heartbeat.start,
        };
        excluded.push(instance.host.clone());
        let order = self.build_order(key, &service, &chosen);
        let live = LiveAttempt {
            key,
            instance,
            reservation,
            shape,
        };
        Ok(self.run_attempt(&live, &service, &order).await)
    }

    async fn run_attempt(
        &self,
        live: &LiveAttempt,
        service: &ServiceConfig,
        order: &DispatchOrder,
    ) -> NextStep {
        let tokens = live.shape.prompt_tokens + live.shape.max_tokens;
        self.owner
            .in_flight
            .insert(self.call.key, live.instance.host.clone(), tokens);
        let step = self.dispatch_attempt(live, service, order).await;
        self.owner.in_flight.remove(self.call.key);
        step
    }

    /// Commits the intent and sends the order. If the call may run only once or the journal is slow, the
    /// order is sent only after the intent is durable. Otherwise both happen concurrently.
    async fn dispatch_attempt(
        &self,
        live: &LiveAttempt,
        service: &ServiceConfig,
        order: &DispatchOrder,
    ) -> NextStep {
        let intent = JournalRecord::Intent(IntentRecord {
            attempt: live.key,
            request: self.call.request.clone(),
            host: live.instance.host.clone(),
            agent_start: live.instance.start,
            reserved: live.reservation.amount(),
        });
        let dropped = JournalRecord::Dropped(self.call.key);
        let written = self.owner.commit_or_undo(vec![intent], vec![dropped]);
        let (written, status) = if service.repeatable && !self.owner.is_journal_slow() {
            tokio::join!(written, send_order(&self.context, &live.instance, order))
        } else {
            match written.await {
                Ok(()) => (Ok(()), send_order(&self.context, &live.instance, order).await),
                Err(error) => (Err(error.clone()), SendStatus::NotSent(error)),
            }
        };
        if let Err(error) = written {
            return self.abandon_attempt(live, error, &status).await;
        }
        match status {
            SendStatus::Accepted => self.follow_live(live, service).await,
            SendStatus::Refused(refusal) if refusal.run == RunState::NotRun => {
                self.drop_intent(live, refusal).await
            }
            SendStatus::Refused(refusal) => self.finish(live, service, CallOutcome::Failed(refusal)).await,
            SendStatus::NotSent(error) => self.drop_intent(live, error).await,
            SendStatus::Unanswered => self.handle_lost_agent(live, service).await,
        }
    }

    /// Abandons an attempt whose intent is not durable. None of its output may become visible.
    async fn abandon_attempt(&self, live: &LiveAttempt, refusal: CallError, status: &SendStatus) -> NextStep {
        if !matches!(status, SendStatus::Accepted | SendStatus::Unanswered) {
            self.owner.budget().settle(&live.reservation, MicroUnits::ZERO);
            return NextStep::Close(CallOutcome::Failed(refusal));
        }
        self.cancel_attempt(live).await;
        self.owner
            .budget()
            .settle(&live.reservation, live.reservation.amount());
        if refusal.code == ResultCode::NotOwner {
            return NextStep::Close(CallOutcome::Failed(refusal));
        }
        let mut unknown = CallError::unknown(refusal.message);
        unknown.retry_after_ms = refusal.retry_after_ms;
        NextStep::Close(CallOutcome::Failed(unknown))
    }

    async fn follow_live(&self, live: &LiveAttempt, service: &ServiceConfig) -> NextStep {
        match follow_attempt(&self.context, &live.instance, live.key, &self.call).await {
            AttemptEnd::Closed(CallOutcome::Failed(error)) if error.run == RunState::NotRun => {
                self.drop_intent(live, error).await
            }
            AttemptEnd::Closed(CallOutcome::Failed(error))
                if service.repeatable && is_backend_loss(&error) =>
            {
                self.handle_lost_agent(live, service).await
            }
            AttemptEnd::Closed(outcome) => self.finish(live, service, outcome).await,
            AttemptEnd::Lost => self.handle_lost_agent(live, service).await,
            AttemptEnd::Stopped => self.end_stopped(live, service).await,
        }
    }

    /// Ends an attempt that was stopped. If the owner was fenced, a successor continues the attempt.
    /// Otherwise the program was ended, and the attempt is cancelled.
    async fn end_stopped(&self, live: &LiveAttempt, service: &ServiceConfig) -> NextStep {
        if self.owner.is_fenced() {
            return NextStep::Close(CallOutcome::Failed(not_owner()));
        }
        self.cancel_attempt(live).await;
        let outcome = if service.repeatable {
            CallOutcome::Failed(CallError::ran(
                ResultCode::Cancelled,
                "the program was ended during the call",
            ))
        } else {
            CallOutcome::Failed(CallError::unknown("the program was ended during the call"))
        };
        self.finish(live, service, outcome).await
    }

    /// Handles the loss of the agent or, for a repeatable call, of its backend server. A repeatable call is
    /// attempted again. The outcome of any other call is unknown.
    async fn handle_lost_agent(&self, live: &LiveAttempt, service: &ServiceConfig) -> NextStep {
        warn!(self.context.options.log, "attempt failed: agent or backend server lost";
            "attempt" => %live.key, "host" => %live.instance.host);
        if !service.repeatable {
            let unknown = CallError::unknown(format!("host {} was lost during the call", live.instance.host));
            let unsettled = UnsettledAttempt {
                host: live.instance.host.clone(),
                agent_start: live.instance.start,
            };
            return self
                .close_with(live, service, CallOutcome::Failed(unknown), Some(unsettled))
                .await;
        }
        self.owner
            .budget()
            .settle(&live.reservation, live.reservation.amount());
        let lost = format!("host {} was lost during the call", live.instance.host);
        NextStep::Retry(CallError::ran(ResultCode::StreamBroken, lost).with_retry_after_ms(1000))
    }

    /// Removes the intent of an attempt that provably did not run.
    async fn drop_intent(&self, live: &LiveAttempt, refusal: CallError) -> NextStep {
        self.owner.budget().settle(&live.reservation, MicroUnits::ZERO);
        match self
            .commit_until_durable(JournalRecord::Dropped(self.call.key), &refusal)
            .await
        {
            Ok(()) => NextStep::Retry(refusal),
            Err(error) => NextStep::Close(CallOutcome::Failed(journal_refusal(error))),
        }
    }

    /// Makes the final state durable. It becomes visible to readers only afterwards.
    async fn finish(&self, live: &LiveAttempt, service: &ServiceConfig, outcome: CallOutcome) -> NextStep {
        self.close_with(live, service, outcome, None).await
    }

    async fn close_with(
        &self,
        live: &LiveAttempt,
        service: &ServiceConfig,
        outcome: CallOutcome,
        unsettled: Option<UnsettledAttempt>,
    ) -> NextStep {
        let charged = charge(service, &live.reservation, &outcome);
        let record = self.finished_record(&live.instance.host, outcome.clone(), charged, unsettled);
        let written = self.commit_until_durable(record, &interim_error(&outcome)).await;
        self.owner.budget().settle(&live.reservation, charged);
        if let Err(error) = written {
            return NextStep::Close(CallOutcome::Failed(journal_refusal(error)));
        }
        if let CallOutcome::Answered(CallReply::Chat { usage, .. }) = &outcome {
            self.cell
                .set_holding(&live.instance.host, usage.prompt_tokens + usage.completion_tokens);
        }
        NextStep::Close(outcome)
    }

    /// Commits the record of an event that has already happened. Readers receive `interim` if that takes
    /// longer than the timeout of the journal.
    pub(crate) async fn commit_until_durable(
        &self,
        record: JournalRecord,
        interim: &CallError,
    ) -> Result<(), JournalError> {
        let on_delay = || self.call.set_interim(interim.clone());
        self.owner.commit_until_durable(record, on_delay).await
    }

    async fn cancel_attempt(&self, live: &LiveAttempt) {
        let Ok(client) = self.context.pool.agent(live.instance.address).await else {
            return;
        };
        let cancelled = client
            .cancel_call(call_context(CALL_TIMEOUT), self.call.key, live.key.tenure)
            .await;
        if let Err(error) = cancelled {
            warn!(self.context.options.log, "agent did not answer the cancellation";
                "call" => %self.call.key, "error" => %error);
        }
    }
}
