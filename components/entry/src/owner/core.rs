//! State of an entry as the owner of programs during one incarnation.

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

/// Upper limit of the time in milliseconds for which one request for output may wait.
const MAX_OUTPUT_WAIT_MS: u64 = 20_000;

/// Owner of the programs of one incarnation, which is one start of the entry.
///
/// After its journal was sealed, the owner is fenced and refuses every request with 3011.
#[derive(Debug)]
pub(crate) struct OwnerCore {
    incarnation: IncarnationId,
    journal: JournalWriter,
    budget: BudgetManager,
    /// Programs that are held in memory.
    pub(crate) table: ProgramTable,
    /// Calls that were sent to agents and have not ended.
    pub(crate) in_flight: InFlightTable,
    /// Durable spending ceilings of the teams.
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

    /// Returns the incarnation whose programs this owner holds.
    pub(crate) const fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Returns the state of the commits in progress.
    pub(crate) const fn commits(&self) -> &CommitTracker {
        &self.commits
    }

    /// Returns the writer of the journal of this incarnation.
    pub(crate) const fn journal(&self) -> &JournalWriter {
        &self.journal
    }

    /// Returns the manager of the teams' budget slices.
    pub(crate) const fn budget(&self) -> &BudgetManager {
        &self.budget
    }

    /// Returns whether a peer sealed the journal, so that successors own the programs.
    pub(crate) fn is_fenced(&self) -> bool {
        self.fenced.load(Ordering::Acquire)
    }

    /// Returns whether the owner refuses new calls because a planned stop transfers its programs to
    /// successors.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Starts a planned stop: refuses new calls and ends the waiting ones with 3011, so that the relaying
    /// entries submit them to the successor.
    pub(crate) fn begin_closing(&self) {
        self.closing.store(true, Ordering::Release);
        for cell in self.table.all() {
            for call in cell.take_waiting() {
                close_call(&cell, &call, CallOutcome::Failed(not_owner()));
            }
        }
    }

    /// Stops the owner after its journal was sealed. Open calls end with 3011 and continue at the successors.
    pub(crate) fn fence(&self) {
        self.fenced.store(true, Ordering::Release);
        for cell in self.table.all() {
            for call in cell.open_calls() {
                call.close(CallOutcome::Failed(not_owner()));
                call.stop.cancel();
            }
        }
    }

    /// Starts a program and returns its summary once the start is durable.
    ///
    /// # Errors
    ///
    /// Returns a not-run error: 3011 if the journal is sealed, 3012 if it does not store the record in time.
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

    /// Adopts programs of a sealed incarnation and returns their cells once the adoption is durable.
    ///
    /// # Errors
    ///
    /// Fails if this owner's journal is sealed or closed, or if the object API is unavailable.
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

    /// Returns whether this owner's journal holds the programs adopted from a sealed incarnation.
    pub(crate) fn has_adopted(&self, from: IncarnationId) -> bool {
        self.lock_adopted().contains(&from)
    }

    /// Returns the sealed incarnations whose programs this owner's journal holds, sorted.
    pub(crate) fn adopted(&self) -> Vec<IncarnationId> {
        let mut adopted = self.lock_adopted().clone();
        adopted.sort_unstable();
        adopted
    }

    /// Returns a program if the team may access it. `None` stands for an operator, who may access all.
    ///
    /// # Errors
    ///
    /// Returns 3011 if the owner is fenced, 1005 if the program is unknown, and 2002 if it belongs to another
    /// team.
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

    /// Returns the output of a call from an offset on. Waits until there is new output, the call ends or the
    /// requested time, limited by `MAX_OUTPUT_WAIT_MS`, has passed.
    ///
    /// # Errors
    ///
    /// Returns 3011 if the owner is fenced, 1005 if the program is unknown, and 1006 if the call is.
    pub(crate) async fn read_output(&self, request: OutputRequest) -> Result<OutputChunk, CallError> {
        let cell = self.find_program(None, request.call.program)?;
        if let Some(call) = cell.open_call(request.call) {
            let wait = std::time::Duration::from_millis(request.wait_ms.min(MAX_OUTPUT_WAIT_MS));
            return Ok(call.read(request.offset, wait).await);
        }
        let outcome = finished_outcome(&cell, request.call);
        let outcome = outcome.ok_or_else(|| {
            let refusal = CallError::not_run(
                ResultCode::UnknownCall,
                format!("call {} is neither open nor finished at its owner", request.call),
            );
            refusal.with_retry_after_ms(0)
        })?;
        Ok(finished_chunk(outcome, request.offset))
    }

    /// Ends a program and cancels its open calls. A program that has already ended stays unchanged.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::find_program`] does, or if the journal does not store the record in time.
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

/// Returns the 3011 refusal of an entry that does not own the program.
///
/// The Retry-After delay is short, since the request can be repeated at the successor at once.
pub(crate) fn not_owner() -> CallError {
    CallError::not_run(
        ResultCode::NotOwner,
        "this entry does not own the program; retry at its current owner",
    )
    .with_retry_after_ms(50)
}

/// Returns the 1005 refusal for a program that does not exist.
pub(crate) fn unknown_program(key: ProgramKey) -> CallError {
    CallError::not_run(ResultCode::UnknownProgram, format!("no program {key}"))
}

/// Returns the final error of a call whose program was ended before the call ran.
pub(crate) fn cancelled() -> CallError {
    CallError::not_run(ResultCode::Cancelled, "the program was ended before the call ran")
}

/// Marks the outcome of a failed end of a program as unknown if its record may still become durable.
fn mark_end_uncertain(mut refusal: CallError) -> CallError {
    if refusal.code == ResultCode::PlatformUnavailable {
        refusal.run = RunState::OutcomeUnknown;
    }
    refusal
}

/// Converts the error of a failed append into the refusal of a request that did not run.
pub(crate) fn journal_refusal(error: JournalError) -> CallError {
    match error {
        JournalError::Sealed { .. } => not_owner(),
        other => CallError::from(other),
    }
}

/// Returns the durable final state of a call; `None` if the program has no finished call with this key.
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

/// Sets the final state of a call and moves it to the closed calls, where its output can still be read.
pub(crate) fn close_call(cell: &ProgramCell, call: &Arc<OpenCall>, outcome: CallOutcome) {
    call.close(outcome);
    cell.move_to_closed(call);
}
