//! Adopted calls that an earlier owner dispatched: settles them, or continues to read the output of running
//! ones.

use std::sync::Arc;
use std::time::Duration;

use domain::{AttemptKey, CallOutcome, CallReply, IntentRecord, MicroUnits, UnsettledAttempt};
use errors::{CallError, RunState};
use journal::JournalRecord;
use policy::exact_price;
use slog::info;
use tokio::time::sleep;
use wire::SettledCall;

use crate::context::EntryContext;
use crate::owner::admission::find_service;
use crate::owner::attempt::{AgentInstance, AttemptEnd, follow_attempt, is_lost};
use crate::owner::cell::ProgramCell;
use crate::owner::core::{OwnerCore, journal_refusal, not_owner};
use crate::owner::outcome::{interim_error, is_backend_loss};
use crate::owner::run::{CallRunner, run_calls};
use crate::pool::{CALL_TIMEOUT, call_context};

/// Delay before an agent is queried again that did not answer or whose heartbeat has not been received yet.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Starts a task for each adopted program with open intents, which settles them.
pub(crate) fn resume_intents(
    context: &Arc<EntryContext>,
    owner: &Arc<OwnerCore>,
    cells: &[Arc<ProgramCell>],
) {
    for cell in cells {
        if cell.claim() {
            tokio::spawn(run_calls(
                Arc::clone(context),
                Arc::clone(owner),
                Arc::clone(cell),
            ));
        }
    }
}

impl CallRunner {
    /// Settles a call that an earlier owner dispatched and returns its final state.
    pub(crate) async fn settle_adopted(&self, intent: &IntentRecord) -> CallOutcome {
        match self.query_agent(intent).await {
            Some(SettledCall::Running(attempt)) => self.follow_adopted(intent, attempt).await,
            Some(SettledCall::Finished(outcome)) => self.finish_adopted(intent, outcome).await,
            Some(SettledCall::Refused) => self.drop_adopted().await,
            Some(SettledCall::Unknown) | None => self.close_lost_adopted(intent).await,
        }
    }

    /// Queries the agent about the call until it answers. Returns `None` if it is lost or refuses the query,
    /// or if this owner is fenced.
    async fn query_agent(&self, intent: &IntentRecord) -> Option<SettledCall> {
        let tenure = self.cell.with_program(|program| program.tenure);
        loop {
            let instance = self.agent_instance(intent);
            if let Some(instance) = &instance
                && let Ok(client) = self.context.pool.agent(instance.address).await
            {
                let answered = client.settle_call(
                    call_context(CALL_TIMEOUT),
                    self.call.key,
                    tenure,
                    intent.agent_start,
                );
                match answered.await {
                    Ok(Ok(settled)) => return Some(settled),
                    Ok(Err(_)) => return None,
                    Err(_) => self.context.pool.drop_connections(instance.address),
                }
            }
            let lost = instance.map_or_else(
                || self.context.is_fleet_view_complete(),
                |instance| is_lost(&self.context, &instance),
            );
            if self.owner.is_fenced() || lost {
                return None;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    fn agent_instance(&self, intent: &IntentRecord) -> Option<AgentInstance> {
        let fleet = self.context.cluster.fleet();
        let peer = fleet.peer(&intent.host)?;
        Some(AgentInstance {
            host: intent.host.clone(),
            address: peer.heartbeat.address,
            start: peer.heartbeat.start,
        })
    }

    async fn follow_adopted(&self, intent: &IntentRecord, attempt: AttemptKey) -> CallOutcome {
        info!(self.context.options.log, "attempt taken over"; "attempt" => %attempt, "host" => %intent.host);
        let Some(instance) = self.agent_instance(intent) else {
            return self.close_lost_adopted(intent).await;
        };
        match follow_attempt(&self.context, &instance, attempt, &self.call).await {
            AttemptEnd::Closed(outcome) => self.finish_adopted(intent, outcome).await,
            AttemptEnd::Lost => self.close_lost_adopted(intent).await,
            AttemptEnd::Stopped if self.owner.is_fenced() => CallOutcome::Failed(not_owner()),
            AttemptEnd::Stopped => {
                let stopped = CallError::unknown("the program was ended during the call");
                self.finish_adopted(intent, CallOutcome::Failed(stopped)).await
            }
        }
    }

    async fn finish_adopted(&self, intent: &IntentRecord, outcome: CallOutcome) -> CallOutcome {
        if let CallOutcome::Failed(error) = &outcome
            && error.run == RunState::NotRun
        {
            return self.drop_adopted().await;
        }
        if let CallOutcome::Failed(error) = &outcome
            && is_backend_loss(error)
            && self.is_repeatable()
        {
            return self.drop_adopted().await;
        }
        self.close_adopted(intent, outcome, None).await
    }

    async fn close_adopted(
        &self,
        intent: &IntentRecord,
        outcome: CallOutcome,
        unsettled: Option<UnsettledAttempt>,
    ) -> CallOutcome {
        let charged = self.adopted_charge(intent, &outcome);
        let record = self.finished_record(&intent.host, outcome.clone(), charged, unsettled);
        if let Err(error) = self.commit_until_durable(record, &interim_error(&outcome)).await {
            return CallOutcome::Failed(journal_refusal(error));
        }
        outcome
    }

    fn adopted_charge(&self, intent: &IntentRecord, outcome: &CallOutcome) -> MicroUnits {
        let service = find_service(&self.context, &self.call.request.service);
        match (outcome, service) {
            (CallOutcome::Answered(CallReply::Chat { usage, .. }), Ok((_, service))) => {
                exact_price(&service.prices, usage).min(intent.reserved)
            }
            _ => intent.reserved,
        }
    }

    /// Removes the intent of a call that did not run or may be repeated. The call ends with 3011, so that the
    /// caller submits it again.
    async fn drop_adopted(&self) -> CallOutcome {
        if let Err(error) = self
            .commit_until_durable(JournalRecord::Dropped(self.call.key), &not_owner())
            .await
        {
            return CallOutcome::Failed(journal_refusal(error));
        }
        CallOutcome::Failed(not_owner())
    }

    fn is_repeatable(&self) -> bool {
        let service = find_service(&self.context, &self.call.request.service);
        service.is_ok_and(|(_, service)| service.repeatable)
    }

    /// Ends a call whose agent is lost or has no record of it. The caller may repeat a repeatable call. The
    /// outcome of any other call is unknown.
    async fn close_lost_adopted(&self, intent: &IntentRecord) -> CallOutcome {
        if self.owner.is_fenced() {
            return CallOutcome::Failed(not_owner());
        }
        if self.is_repeatable() {
            return self.drop_adopted().await;
        }
        let unknown = CallError::unknown(
            "the entry that owned the call failed, and the agent did not report the outcome",
        );
        let unsettled = UnsettledAttempt {
            host: intent.host.clone(),
            agent_start: intent.agent_start,
        };
        self.close_adopted(intent, CallOutcome::Failed(unknown), Some(unsettled))
            .await
    }
}
