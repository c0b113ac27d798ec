//! Server of the process port of an entry.

use std::sync::Arc;
use std::time::Duration;

use domain::{
    AppliedConfiguration, CallKey, CallOutcome, Generation, IncarnationId, ProgramKey, ProgramPhase,
    ProgramState, TeamName, TenureNumber, TimeMillis,
};
use errors::{CallError, ResultCode};
use tarpc::context::Context;
use tokio::time::{sleep, timeout};
use wire::{CallAttachment, OutputChunk, OutputRequest, OwnerPort, ProgramSummary, SubmittedCall};

use crate::configuration::configuration_for_peer;
use crate::context::EntryContext;
use crate::owner::admission::find_service;
use crate::owner::archive::read_archive;
use crate::owner::cell::SubmitStatus;
use crate::owner::core::{OwnerCore, finished_outcome, not_owner, unknown_program};
use crate::owner::release::release_cache;
use crate::owner::run::run_calls;

/// Retry-After delay in milliseconds if the archive cannot be read.
const ARCHIVE_RETRY_AFTER_MS: u64 = 1000;
/// Interval between the checks of a request that waits for an adoption.
const ADOPTION_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Handles the requests of peers and of the entry's own callers for the programs that the entry owns.
#[derive(Debug, Clone)]
pub(crate) struct OwnerServer {
    context: Arc<EntryContext>,
}

impl OwnerServer {
    /// Creates the server for the shared state of the entry.
    pub(crate) const fn new(context: Arc<EntryContext>) -> Self {
        Self { context }
    }

    /// Returns the current owner if it holds the program.
    ///
    /// # Errors
    ///
    /// Returns 3011 if another incarnation owns the program, or if its adoption from a sealed incarnation is
    /// not complete. Returns 1005 if the program does not exist.
    fn owner_of(&self, program: ProgramKey) -> Result<Arc<OwnerCore>, CallError> {
        let owner = self.context.owner();
        if owner.table.find(program).is_some() {
            return Ok(owner);
        }
        let members = self.context.cluster.members();
        if owner.is_fenced() || program.incarnation != owner.incarnation() {
            let is_successor = members.table.owner_of(program) == Some(owner.incarnation());
            let adopted = is_successor && self.has_adopted_all(&owner, program);
            return Err(if adopted {
                unknown_program(program)
            } else {
                not_owner()
            });
        }
        Err(unknown_program(program))
    }

    /// Returns whether the owner has adopted the sealed incarnation from which it inherits the program. That
    /// adoption includes the programs that the sealed incarnation had itself not adopted yet.
    fn has_adopted_all(&self, owner: &OwnerCore, program: ProgramKey) -> bool {
        let members = self.context.cluster.members();
        let Some(last) = members.table.predecessor_of(program, owner.incarnation()) else {
            return false;
        };
        owner.has_adopted(last)
    }

    /// Appends a call to the queue of its program, or attaches the request to the call with the same
    /// idempotency key. Starts a task that runs the calls if none is active.
    pub(crate) fn submit(&self, submitted: SubmittedCall) -> Result<CallAttachment, CallError> {
        let owner = self.owner_of(submitted.program)?;
        let cell = owner.find_program(Some(&submitted.team), submitted.program)?;
        let (_, service) = find_service(&self.context, &submitted.request.service)?;
        let limit = usize::try_from(service.limits.queue_length).unwrap_or(usize::MAX);
        match cell.submit(submitted, limit, owner.is_closing(), TimeMillis::now())? {
            SubmitStatus::Attached(attachment) => Ok(attachment),
            SubmitStatus::Queued { attachment, start } => {
                if start {
                    tokio::spawn(run_calls(Arc::clone(&self.context), owner, cell));
                }
                Ok(attachment)
            }
        }
    }

    /// Ends a program and releases its cache in the background. Without a team, an operator cancels the
    /// program.
    pub(crate) async fn end(
        &self,
        team: Option<TeamName>,
        program: ProgramKey,
    ) -> Result<ProgramSummary, CallError> {
        let owner = self.owner_of(program)?;
        let phase = if team.is_some() {
            ProgramPhase::Ended
        } else {
            ProgramPhase::Cancelled
        };
        let summary = owner.end_program(team.as_ref(), program, phase).await?;
        tokio::spawn(release_cache(Arc::clone(&self.context), owner, program));
        Ok(summary)
    }

    /// Returns the state of a program, from the archive if it has been removed from memory after its end.
    pub(crate) async fn read(
        &self,
        team: Option<&TeamName>,
        program: ProgramKey,
    ) -> Result<ProgramState, CallError> {
        let found = self
            .owner_of(program)
            .and_then(|owner| owner.find_program(team, program));
        match found {
            Err(error) if error.code == ResultCode::UnknownProgram => self.read_archived(team, program).await,
            found => Ok(found?.program()),
        }
    }

    async fn read_archived(
        &self,
        team: Option<&TeamName>,
        program: ProgramKey,
    ) -> Result<ProgramState, CallError> {
        let archived = read_archive(self.context.options.store.as_ref(), program).await;
        let archived = archived.map_err(|error| {
            let refusal = CallError::not_run(ResultCode::PlatformUnavailable, format!("{error:#}"));
            refusal.with_retry_after_ms(ARCHIVE_RETRY_AFTER_MS)
        })?;
        let permitted = archived.filter(|state| team.is_none_or(|team| state.team == *team));
        permitted.ok_or_else(|| unknown_program(program))
    }

    /// Returns the output of a call from an offset on.
    pub(crate) async fn output(&self, request: OutputRequest) -> Result<OutputChunk, CallError> {
        let owner = self.owner_of(request.call.program)?;
        owner.read_output(request).await
    }

    /// Returns the summaries of the programs that this entry holds in memory.
    pub(crate) fn list(&self) -> Vec<ProgramSummary> {
        self.context
            .owner()
            .table
            .all()
            .iter()
            .map(|cell| cell.summary())
            .collect()
    }
}

impl OwnerPort for OwnerServer {
    async fn submit_call(self, _: Context, submitted: SubmittedCall) -> Result<CallAttachment, CallError> {
        self.submit(submitted)
    }

    async fn read_output(self, _: Context, request: OutputRequest) -> Result<OutputChunk, CallError> {
        self.output(request).await
    }

    async fn read_program(
        self,
        _: Context,
        team: Option<TeamName>,
        program: ProgramKey,
    ) -> Result<ProgramState, CallError> {
        self.read(team.as_ref(), program).await
    }

    async fn end_program(
        self,
        _: Context,
        team: Option<TeamName>,
        program: ProgramKey,
    ) -> Result<ProgramSummary, CallError> {
        let ended = tokio::spawn(async move { self.end(team, program).await });
        ended
            .await
            .unwrap_or_else(|error| Err(CallError::unknown(error.to_string())))
    }

    async fn call_outcome(
        self,
        _: Context,
        team: TeamName,
        call: CallKey,
    ) -> Result<Option<CallOutcome>, CallError> {
        let owner = self.owner_of(call.program)?;
        let cell = owner.find_program(Some(&team), call.program)?;
        let open = cell.open_call(call).and_then(|call| call.outcome());
        Ok(open.or_else(|| finished_outcome(&cell, call)))
    }

    async fn list_programs(self, _: Context) -> Result<Vec<ProgramSummary>, CallError> {
        Ok(self.list())
    }

    async fn released_programs(
        self,
        _: Context,
        held: Vec<(ProgramKey, TenureNumber)>,
    ) -> Result<Vec<ProgramKey>, CallError> {
        let released =
            held.into_iter()
                .map(|(program, _)| program)
                .filter(|program| match self.owner_of(*program) {
                    Ok(owner) => {
                        let cell = owner.table.find(*program);
                        cell.is_none_or(|cell| {
                            cell.with_program(|state| state.phase != ProgramPhase::Running)
                        })
                    }
                    Err(error) => error.code == ResultCode::UnknownProgram,
                });
        Ok(released.collect())
    }

    async fn fetch_configuration(self, _: Context) -> Result<Option<AppliedConfiguration>, CallError> {
        configuration_for_peer(&self.context)
    }

    async fn await_adoption(
        self,
        _: Context,
        members: Generation,
        from: IncarnationId,
    ) -> Result<bool, CallError> {
        const ADOPTION_TIMEOUT: Duration = Duration::from_secs(1);
        self.context.record_announced_members(members);
        let owner = self.context.owner();
        let adopted = async {
            while !owner.has_adopted(from) {
                sleep(ADOPTION_CHECK_INTERVAL).await;
            }
        };
        Ok(timeout(ADOPTION_TIMEOUT, adopted).await.is_ok())
    }

    async fn drain_host(self, _: Context) -> Result<(), CallError> {
        self.context.drain.notify_one();
        Ok(())
    }
}
