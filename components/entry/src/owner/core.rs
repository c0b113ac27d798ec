//! The owner of programs during one incarnation.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use budget::BudgetManager;
use domain::{
    CallKey, CallOutcome, CallReply, IncarnationId, ProgramKey, ProgramPhase, ProgramState, TeamName,
    TimeMillis,
};
use errors::{CallError, ResultCode, RunState};
use journal::{JournalError, JournalRecord, JournalWriter};
use wire::{OutputChunk, OutputRequest, ProgramStart, ProgramSummary};

use crate::owner::call::{OpenCall, first_chunk, text_from};
use crate::owner::ceiling::CeilingTable;
use crate::owner::cell::ProgramCell;
use crate::owner::commit::CommitTracker;
use crate::owner::in_flight::InFlightTable;
use crate::owner::table::ProgramTable;

/// Longest wait of one request for output.
const MAX_OUTPUT_WAIT_MS: u64 = 20_000;

/// Owner of programs. A sealed one answers every request with 3011.
#[derive(Debug)]
pub(crate) struct OwnerCore {
    incarnation: IncarnationId,
    journal: JournalWriter,
    budget: BudgetManager,
    /// Programs.
    pub(crate) table: ProgramTable,
    /// Calls in flight.
    pub(crate) in_flight: InFlightTable,
    /// Ceilings of spending that the journal holds.
    pub(crate) ceilings: CeilingTable,
    commits: CommitTracker,
    next_program: AtomicU64,
    fenced: AtomicBool,
    closing: AtomicBool,
    adopted: std::sync::Mutex<Vec<IncarnationId>>,
}

impl OwnerCore {
    /// Creates an owner without programs.
    pub(crate) fn new(incarnation: IncarnationId, journal: JournalWriter, budget: BudgetManager) -> Self {
        Self {
            incarnation,
            journal,
            budget,
            table: ProgramTable::default(),
            in_flight: InFlightTable::default(),
            ceilings: CeilingTable::default(),
            commits: CommitTracker::new(),
            next_program: AtomicU64::new(1),
            fenced: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            adopted: std::sync::Mutex::default(),
        }
    }

    /// Returns the incarnation.
    pub(crate) const fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Returns the commits under way.
    pub(crate) const fn commits(&self) -> &CommitTracker {
        &self.commits
    }

    /// Returns the journal.
    pub(crate) const fn journal(&self) -> &JournalWriter {
        &self.journal
    }

    /// Returns the budget slices.
    pub(crate) const fn budget(&self) -> &BudgetManager {
        &self.budget
    }

    /// Tells whether a peer has sealed the journal.
    pub(crate) fn is_fenced(&self) -> bool {
        self.fenced.load(Ordering::Acquire)
    }

    /// Tells whether the owner takes no new calls because it hands its programs on.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Prepares the planned stop: waiting calls go back to their relays, which find the successor.
    pub(crate) fn begin_closing(&self) {
        self.closing.store(true, Ordering::Release);
        for cell in self.table.all() {
            for call in cell.take_waiting() {
                close_call(&cell, &call, CallOutcome::Failed(not_owner()));
            }
        }
    }

    /// Stops the owner after its journal was sealed: open calls end as "not owner" and move to the
    /// successors.
    pub(crate) fn fence(&self) {
        self.fenced.store(true, Ordering::Release);
        for cell in self.table.all() {
            for call in cell.open_calls() {
                call.close(CallOutcome::Failed(not_owner()));
                call.stop.cancel();
            }
        }
    }

    /// Starts a program.
    ///
    /// # Errors
    ///
    /// Returns 3011 or 3012, not run, when the journal does not take the record.
    pub(crate) async fn start_program(
        self: &Arc<Self>,
        start: ProgramStart,
    ) -> Result<ProgramSummary, CallError> {
        let now = TimeMillis::now();
        let sequence = self.next_program.fetch_add(1, Ordering::Relaxed);
        let key = ProgramKey {
            incarnation: self.incarnation,
            sequence,
        };
        let mut program = ProgramState::new(key, start.team, start.urgency, now);
        program.parent = start.parent;
        program.deadline = start.deadline;
        let undo = JournalRecord::Ended {
            program: key,
            phase: ProgramPhase::Cancelled,
            at: now,
        };
        self.commit_or_undo(vec![JournalRecord::Started(program.clone())], vec![undo])
            .await?;
        let cell = Arc::new(ProgramCell::new(program, now));
        let summary = cell.summary();
        self.table.insert(cell);
        Ok(summary)
    }

    /// Takes programs over from a sealed incarnation and returns their cells.
    ///
    /// # Errors
    ///
    /// Fails when the own journal is sealed or the object API does not answer.
    pub(crate) async fn adopt(
        self: &Arc<Self>,
        from: IncarnationId,
        programs: Vec<ProgramState>,
    ) -> Result<Vec<Arc<ProgramCell>>, JournalError> {
        let mut records: Vec<_> = programs.iter().cloned().map(JournalRecord::Started).collect();
        records.push(JournalRecord::Adopted { from });
        self.commit(records).await.unwrap_or(Err(JournalError::Closed))?;
        let now = TimeMillis::now();
        let cells: Vec<_> = programs
            .into_iter()
            .map(|program| Arc::new(ProgramCell::new(program, now)))
            .collect();
        for cell in &cells {
            self.table.insert(Arc::clone(cell));
        }
        self.lock_adopted().push(from);
        Ok(cells)
    }

    /// Tells whether the programs of a sealed incarnation stand in the own journal.
    pub(crate) fn has_adopted(&self, from: IncarnationId) -> bool {
        self.lock_adopted().contains(&from)
    }

    /// Returns the sealed incarnations whose programs stand in the own journal, sorted.
    pub(crate) fn adopted(&self) -> Vec<IncarnationId> {
        let mut adopted = self.lock_adopted().clone();
        adopted.sort_unstable();
        adopted
    }

    /// Returns a program of the team; `None` as team stands for an operator.
    ///
    /// # Errors
    ///
    /// Returns 3011 when the owner is fenced, 1005 or 2002 when the program is unknown or another team's.
    pub(crate) fn find_program(
        &self,
        team: Option<&TeamName>,
        key: ProgramKey,
    ) -> Result<Arc<ProgramCell>, CallError> {
        if self.is_fenced() {
            return Err(not_owner());
        }
        let Some(cell) = self.table.find(key) else {
            return Err(unknown_program(key));
        };
        let permitted = team.is_none_or(|team| cell.with_program(|program| program.team == *team));
        if !permitted {
            return Err(CallError::not_run(
                ResultCode::Forbidden,
                format!("no program {key}"),
            ));
        }
        Ok(cell)
    }

    /// Returns output of a call behind an offset and waits until there is some.
    ///
    /// # Errors
    ///
    /// Returns 3011 when the owner is fenced, 1005 or 1006 when the program or the call is unknown.
    pub(crate) async fn read_output(&self, request: OutputRequest) -> Result<OutputChunk, CallError> {
        let cell = self.find_program(None, request.call.program)?;
        if let Some(call) = cell.open_call(request.call) {
            let wait = std::time::Duration::from_millis(request.wait_ms.min(MAX_OUTPUT_WAIT_MS));
            return Ok(call.read(request.offset, wait).await);
        }
        let outcome = finished_outcome(&cell, request.call);
        let outcome = outcome.ok_or_else(|| {
            let refusal = CallError::not_run(ResultCode::UnknownCall, format!("no call {}", request.call));
            refusal.with_retry_after_ms(0)
        })?;
        Ok(finished_chunk(outcome, request.offset))
    }

    /// Ends a program; its open calls are cancelled.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::find_program`] does, or when the journal does not take the record.
    pub(crate) async fn end_program(
        self: &Arc<Self>,
        team: Option<&TeamName>,
        key: ProgramKey,
        phase: ProgramPhase,
    ) -> Result<ProgramSummary, CallError> {
        let cell = self.find_program(team, key)?;
        if cell.with_program(|program| program.phase) != ProgramPhase::Running {
            return Ok(cell.summary());
        }
        let record = JournalRecord::Ended {
            program: key,
            phase,
            at: TimeMillis::now(),
        };
        self.commit_or_undo(vec![record], Vec::new())
            .await
            .map_err(mark_end_uncertain)?;
        for call in cell.take_waiting() {
            call.close(CallOutcome::Failed(cancelled()));
            cell.move_to_closed(&call);
        }
        for call in cell.open_calls() {
            call.stop.cancel();
        }
        Ok(cell.summary())
    }

    fn lock_adopted(&self) -> std::sync::MutexGuard<'_, Vec<IncarnationId>> {
        self.adopted
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Returns the refusal of an owner that is no longer one; the request may be repeated at the successor at
/// once.
pub(crate) fn not_owner() -> CallError {
    CallError::not_run(ResultCode::NotOwner, "the program has another owner now").with_retry_after_ms(50)
}

/// Returns the refusal for a program that does not exist.
pub(crate) fn unknown_program(key: ProgramKey) -> CallError {
    CallError::not_run(ResultCode::UnknownProgram, format!("no program {key}"))
}

/// Returns the end of a call whose program was ended.
pub(crate) fn cancelled() -> CallError {
    CallError::not_run(ResultCode::Cancelled, "the program was ended")
}

/// Corrects the refusal of a program's end that may still become durable.
fn mark_end_uncertain(mut refusal: CallError) -> CallError {
    if refusal.code == ResultCode::PlatformUnavailable {
        refusal.run = RunState::OutcomeUnknown;
    }
    refusal
}

/// Turns a failed append into a refusal of a request that did not run.
pub(crate) fn journal_refusal(error: JournalError) -> CallError {
    match error {
        JournalError::Sealed { .. } => not_owner(),
        other => CallError::from(other),
    }
}

/// Returns the final state of a finished call.
pub(crate) fn finished_outcome(cell: &ProgramCell, key: CallKey) -> Option<CallOutcome> {
    cell.with_program(|program| {
        let finished = program.finished.iter().find(|finished| finished.call == key);
        finished.map(|finished| finished.outcome.clone())
    })
}

fn finished_chunk(outcome: CallOutcome, offset: u64) -> OutputChunk {
    let text = match &outcome {
        CallOutcome::Answered(CallReply::Chat { text, .. }) => text.as_str(),
        CallOutcome::Answered(CallReply::Plain(_)) | CallOutcome::Failed(_) => "",
    };
    let (text, is_complete) = first_chunk(text_from(text, offset));
    let text = text.to_owned();
    OutputChunk {
        offset,
        text,
        outcome: is_complete.then_some(outcome),
    }
}

/// Closes a call and lets readers see its end.
pub(crate) fn close_call(cell: &ProgramCell, call: &Arc<OpenCall>, outcome: CallOutcome) {
    call.close(outcome);
    cell.move_to_closed(call);
}
