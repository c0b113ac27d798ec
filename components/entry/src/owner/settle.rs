//! Settlement of calls with an unknown outcome: queries the agent, once it is reachable, until it proves
//! whether the call ran.

use std::sync::Arc;

use domain::{CallOutcome, FinishedCall, TenureNumber, TimeMillis, UnsettledAttempt};
use errors::RunState;
use journal::JournalRecord;
use slog::info;
use wire::SettledCall;

use crate::context::EntryContext;
use crate::owner::core::OwnerCore;
use crate::pool::{CALL_TIMEOUT, call_context};

/// Call of unknown outcome with the agent that may still prove what happened to it.
#[derive(Debug)]
struct SettlementQuery {
    finished: FinishedCall,
    unsettled: UnsettledAttempt,
    tenure: TenureNumber,
}

/// Queries the agents about all calls whose outcome is unknown and records what their answers prove.
pub(crate) async fn settle_unknown_calls(context: &EntryContext, owner: &Arc<OwnerCore>) {
    for query in settlement_queries(owner) {
        let Some(settled) = query_agent(context, &query).await else {
            continue;
        };
        let Some(record) = proven_record(&query, settled) else {
            continue;
        };
        info!(context.options.log, "unknown outcome settled"; "call" => %query.finished.call);
        // If this commit fails, the call stays unsettled and the next round queries its agent again.
        let _ = owner.commit(vec![record]).await;
    }
}

fn settlement_queries(owner: &OwnerCore) -> Vec<SettlementQuery> {
    let mut queries = Vec::new();
    for cell in owner.table.all() {
        cell.with_program(|program| {
            for finished in &program.finished {
                if let Some(unsettled) = &finished.unsettled {
                    let (finished, unsettled) = (finished.clone(), unsettled.clone());
                    queries.push(SettlementQuery {
                        finished,
                        unsettled,
                        tenure: program.tenure,
                    });
                }
            }
        });
    }
    queries
}

async fn query_agent(context: &EntryContext, query: &SettlementQuery) -> Option<SettledCall> {
    let fleet = context.cluster.fleet();
    let peer = fleet.peer(&query.unsettled.host)?;
    let same_start = peer.heartbeat.start == query.unsettled.agent_start;
    if !same_start || peer.received_at.elapsed() > context.options.suspect_after {
        return None;
    }
    let client = context.pool.agent(peer.heartbeat.address).await.ok()?;
    let call = query.finished.call;
    let answered = client.settle_call(
        call_context(CALL_TIMEOUT),
        call,
        query.tenure,
        peer.heartbeat.start,
    );
    let Ok(answer) = answered.await else {
        context.pool.drop_connections(peer.heartbeat.address);
        return None;
    };
    answer.ok()
}

/// Returns the journal record that follows from an agent's answer; `None` while the call is running.
fn proven_record(query: &SettlementQuery, settled: SettledCall) -> Option<JournalRecord> {
    match settled {
        SettledCall::Running(_) => None,
        SettledCall::Refused => Some(JournalRecord::Dropped(query.finished.call)),
        SettledCall::Finished(CallOutcome::Failed(error)) if error.run == RunState::NotRun => {
            Some(JournalRecord::Dropped(query.finished.call))
        }
        SettledCall::Finished(outcome) => Some(settled_record(query, outcome)),
        SettledCall::Unknown => Some(settled_record(query, query.finished.outcome.clone())),
    }
}

/// Returns the record of a settled call. The price does not change, because the price of a call that may run
/// only once does not depend on its answer.
fn settled_record(query: &SettlementQuery, outcome: CallOutcome) -> JournalRecord {
    let mut finished = query.finished.clone();
    finished.outcome = outcome;
    finished.unsettled = None;
    JournalRecord::Finished {
        finished,
        new_messages: Vec::new(),
        host: None,
        served_tokens: 0,
        at: TimeMillis::now(),
    }
}
