//! Adoption: taking over the programs of sealed incarnations.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use budget::{BudgetManager, ProvenSpend};
use domain::{IncarnationId, MemberState, MemberTable, ProgramState, successor_of};
use errors::{CallError, ResultCode};
use journal::{BudgetSlice, JournalError, JournalState, replay_journal, seal_journal};
use slog::{info, warn};
use store::ObjectStore;
use tokio::time::{sleep, timeout};

use crate::context::EntryContext;
use crate::owner::{OwnerCore, proven_spend, resume_intents};

const RETRY_DELAY: Duration = Duration::from_millis(200);
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Call numbers reserved for each owner of a program. The numbers of the next owner start after them.
const CALLS_PER_TENURE: u64 = 1_000_000_000;

/// Adopts programs whenever the member table names this incarnation as a successor.
pub(crate) async fn run_adoption(context: Arc<EntryContext>) {
    let mut changed = context.cluster.watch_members();
    loop {
        let owner = context.owner();
        let table = context.cluster.members().table.clone();
        for from in pending_adoptions(&table, &owner) {
            match adopt_from(&context, &owner, &table, from).await {
                Ok(count) => {
                    info!(context.options.log, "adopted"; "incarnation" => from.0, "programs" => count);
                }
                Err(error) => {
                    warn!(context.options.log, "adoption failed"; "incarnation" => from.0,
                        "code" => code_of(&error).number(), "error" => format!("{error:#}"));
                }
            }
        }
        // The member table may have named a new incarnation of this entry as a successor just before the
        // entry switched to it, so the table is also checked when it has not changed.
        if let Ok(Err(_closed)) = timeout(RECHECK_INTERVAL, changed.changed()).await {
            return;
        }
    }
}

/// Returns the sealed incarnations that name this one as a successor and that it has not adopted yet.
fn pending_adoptions(table: &MemberTable, owner: &OwnerCore) -> Vec<IncarnationId> {
    if owner.is_fenced() {
        return Vec::new();
    }
    let own = owner.incarnation();
    let sealed = table.members.iter().filter(|member| match &member.state {
        MemberState::Sealed { successors } => successors.contains(&own),
        MemberState::Live => false,
    });
    let pending = sealed
        .map(|member| member.incarnation)
        .filter(|from| !owner.has_adopted(*from));
    pending.collect()
}

async fn adopt_from(
    context: &Arc<EntryContext>,
    owner: &Arc<OwnerCore>,
    table: &MemberTable,
    from: IncarnationId,
) -> Result<usize> {
    let own = owner.incarnation();
    let reader = SealedStateReader {
        store: context.options.store.as_ref(),
        table,
        own,
    };
    let successors = reader.successors_of(from).unwrap_or_default();
    // Programs assigned to another successor are read from that successor's journal once it is sealed as
    // well.
    let sealed_state = reader.read_sealed_state(from).await?;
    let proven = proven_spend(&sealed_state.slices);
    let assigned = sealed_state
        .programs
        .into_iter()
        .filter(|program| successor_of(program.key, successors) == Some(own));
    let programs: Vec<_> = assigned.map(|program| take_over(program, from)).collect();
    let count = programs.len();
    context.metrics().record_adoption(count);
    let cells = owner.adopt(from, programs).await?;
    resume_intents(context, owner, &cells);
    tokio::spawn(adopt_budget(owner.budget().clone(), from, proven));
    Ok(count)
}

/// Closes the budget slices of a sealed incarnation and retries until it succeeds. Budget that the journal
/// does not prove unspent counts as spent.
async fn adopt_budget(budget: BudgetManager, from: IncarnationId, proven: Vec<ProvenSpend>) {
    while budget.adopt_slice(from, &proven).await.is_err() {
        sleep(RETRY_DELAY).await;
    }
}

/// State of a sealed incarnation that its successors take over.
#[derive(Debug)]
struct SealedState {
    /// Programs, sorted by key.
    programs: Vec<ProgramState>,
    /// Parts of the teams' budgets that the incarnation held.
    slices: Vec<BudgetSlice>,
}

/// Reads the state of sealed incarnations from their journals.
#[derive(Debug, Clone, Copy)]
struct SealedStateReader<'a> {
    store: &'a dyn ObjectStore,
    table: &'a MemberTable,
    own: IncarnationId,
}

impl<'a> SealedStateReader<'a> {
    fn successors_of(&self, from: IncarnationId) -> Option<&'a [IncarnationId]> {
        match &self.table.member(from)?.state {
            MemberState::Sealed { successors } => Some(successors),
            MemberState::Live => None,
        }
    }

    /// Returns the state of an incarnation when it was sealed, including the programs that were assigned to
    /// it but that it had not adopted yet.
    async fn read_sealed_state(&self, from: IncarnationId) -> Result<SealedState> {
        let state = self.replay_sealed(from).await?;
        let mut programs = state.programs().to_vec();
        for member in &self.table.members {
            let MemberState::Sealed { successors } = &member.state else {
                continue;
            };
            if !successors.contains(&from) || state.has_adopted(member.incarnation) {
                continue;
            }
            let unadopted = Box::pin(self.read_sealed_state(member.incarnation)).await?;
            let assigned = unadopted
                .programs
                .into_iter()
                .filter(|program| successor_of(program.key, successors) == Some(from));
            for program in assigned {
                insert_latest(&mut programs, program);
            }
        }
        Ok(SealedState {
            programs,
            slices: state.slices().to_vec(),
        })
    }

    /// Replays a sealed journal. Writes the seal first if the sealer failed before it could do so.
    async fn replay_sealed(&self, from: IncarnationId) -> Result<JournalState> {
        let successors = self.successors_of(from).unwrap_or_default().to_vec();
        seal_journal(self.store, from, self.own, successors).await?;
        Ok(replay_journal(self.store, from).await?.state)
    }
}

fn insert_latest(programs: &mut Vec<ProgramState>, program: ProgramState) {
    match programs.binary_search_by_key(&program.key, |known| known.key) {
        Ok(index) if programs[index].tenure < program.tenure => programs[index] = program,
        Ok(_) => {}
        Err(index) => programs.insert(index, program),
    }
}

/// Returns the program as owned by this incarnation.
///
/// The earlier owner may have dispatched calls whose intents are in no journal, because it was fenced before
/// they were appended. An agent identifies a call by its number, so none of those numbers may be used again.
fn take_over(mut program: ProgramState, from: IncarnationId) -> ProgramState {
    program.next_call = program.next_call.max(program.tenure.0 * CALLS_PER_TENURE + 1);
    program.tenure = program.tenure.next();
    program.past_owners.push(from);
    program
}

fn code_of(error: &anyhow::Error) -> ResultCode {
    let journal = error.downcast_ref::<JournalError>().cloned();
    journal.map_or(ResultCode::Internal, |error| CallError::from(error).code)
}
