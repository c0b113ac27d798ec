//! Calls of unknown outcome: ask the agent again once it is heard, until it proves one thing or the other.

use std::sync::Arc;

use domain::{CallOutcome, FinishedCall, TenureNumber, TimeMillis, UnsettledAttempt};
use errors::RunState;
use journal::JournalRecord;
use slog::info;
use wire::SettledCall;

use crate::context::EntryContext;
use crate::owner::core::OwnerCore;
use crate::pool::{CALL_TIMEOUT, call_context};

/// A call that an agent may still prove.
#[derive(Debug)]
struct OpenQuestion {
    finished: FinishedCall,
    unsettled: UnsettledAttempt,
    tenure: TenureNumber,
}

/// Asks the agents about every call whose outcome is not known.
pub(crate) async fn settle_unknown_calls(context: &EntryContext, owner: &Arc<OwnerCore>) {
    for question in open_questions(owner) {
        let Some(settled) = ask(context, &question).await else {
            continue;
        };
        let Some(record) = proof(&question, settled) else {
            continue;
        };
        info!(context.options.log, "unknown outcome settled"; "call" => %question.finished.call);
        // A record that is lost here is asked for again in the next round.
        let _ = owner.commit(vec![record]).await;
    }
}

fn open_questions(owner: &OwnerCore) -> Vec<OpenQuestion> {
    let mut questions = Vec::new();
    for cell in owner.table.all() {
        cell.with_program(|program| {
            for finished in &program.finished {
                if let Some(unsettled) = &finished.unsettled {
                    let (finished, unsettled) = (finished.clone(), unsettled.clone());
                    questions.push(OpenQuestion {
                        finished,
                        unsettled,
                        tenure: program.tenure,
                    });
                }
            }
        });
    }
    questions
}

async fn ask(context: &EntryContext, question: &OpenQuestion) -> Option<SettledCall> {
    let fleet = context.board.fleet();
    let peer = fleet.peer(&question.unsettled.host)?;
    let same_start = peer.heartbeat.start == question.unsettled.agent_start;
    if !same_start || peer.heard.elapsed() > context.options.suspect_after {
        return None;
    }
    let client = context.pool.agent(peer.heartbeat.address).await.ok()?;
    let call = question.finished.call;
    let asked = client.settle_call(
        call_context(CALL_TIMEOUT),
        call,
        question.tenure,
        peer.heartbeat.start,
    );
    let Ok(answer) = asked.await else {
        context.pool.forget(peer.heartbeat.address);
        return None;
    };
    answer.ok()
}

/// Returns the record that an agent's answer proves; `None` while the call runs.
fn proof(question: &OpenQuestion, settled: SettledCall) -> Option<JournalRecord> {
    match settled {
        SettledCall::Running(_) => None,
        SettledCall::Refused => Some(JournalRecord::Dropped(question.finished.call)),
        SettledCall::Finished(CallOutcome::Failed(error)) if error.run == RunState::NotRun => {
            Some(JournalRecord::Dropped(question.finished.call))
        }
        SettledCall::Finished(outcome) => Some(settled_record(question, outcome)),
        SettledCall::Unknown => Some(settled_record(question, question.finished.outcome.clone())),
    }
}

/// The price stays: what a call that may run only once costs does not depend on its answer.
fn settled_record(question: &OpenQuestion, outcome: CallOutcome) -> JournalRecord {
    let mut finished = question.finished.clone();
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
