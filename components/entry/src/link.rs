//! Requests to the owner of a program, which is this process or another entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use domain::{IncarnationId, ProgramKey, ProgramState, TeamName};
use errors::{CallError, ResultCode};
use tokio::time::{Instant, sleep};
use wire::{CallAttachment, OutputChunk, OutputRequest, OwnerPortClient, ProgramSummary, SubmittedCall};

use crate::context::EntryContext;
use crate::member::read_members;
use crate::owner::{OwnerServer, unknown_program};
use crate::pool::{CALL_TIMEOUT, call_context, lost_answer};

/// Time for which a request is retried while the owner of its program changes or is unreachable.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time that the owner waits for new output before it answers a request for output.
pub(crate) const OUTPUT_POLL_TIMEOUT: Duration = Duration::from_secs(5);
const OUTPUT_POLL_MARGIN: Duration = Duration::from_secs(1);
/// Retry-After delay in milliseconds while the member table cannot be read.
const MEMBERS_RETRY_AFTER_MS: u64 = 1_000;
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Connection to the owner of a program.
#[derive(Debug, Clone)]
pub(crate) enum OwnerLink {
    /// This process.
    Local(OwnerServer),
    /// Another entry.
    Remote(OwnerPortClient, SocketAddr),
}

/// Returns whether a request with this error may succeed once the program has a reachable owner again.
pub(crate) fn is_transient(error: &CallError) -> bool {
    matches!(
        error.code,
        ResultCode::NotOwner
            | ResultCode::JournalSealed
            | ResultCode::PeerUnreachable
            | ResultCode::UnknownCall
    )
}

/// Finds the owner of a program in the member table, which is read again when it lacks the program's
/// incarnation.
///
/// # Errors
///
/// Returns 1005 for an unknown program, 3012 when the member table that may list its owner cannot be read, and
/// 8001 when the owner cannot be reached.
pub(crate) async fn find_owner(
    context: &Arc<EntryContext>,
    program: ProgramKey,
) -> Result<OwnerLink, CallError> {
    let mut members = context.cluster.members();
    if program.incarnation >= members.table.next {
        let view = read_members(context.options.store.as_ref())
            .await
            .map_err(|error| {
                let message = format!("the member table, which may list the program's owner: {error:#}");
                let refusal = CallError::not_run(ResultCode::PlatformUnavailable, message);
                refusal.with_retry_after_ms(MEMBERS_RETRY_AFTER_MS)
            })?;
        context.cluster.advance_members(view);
        members = context.cluster.members();
    }
    let Some(owner) = members.table.owner_of(program) else {
        return Err(unknown_program(program));
    };
    if owner == context.incarnation() {
        return Ok(OwnerLink::Local(OwnerServer::new(Arc::clone(context))));
    }
    let Some(member) = members.table.member(owner) else {
        return Err(unknown_program(program));
    };
    let client = context.pool.owner(member.address).await?;
    Ok(OwnerLink::Remote(client, member.address))
}

impl OwnerLink {
    /// Submits a call to the owner.
    ///
    /// # Errors
    ///
    /// Returns the owner's refusal, or 8001 with an unknown outcome when the owner did not answer.
    pub(crate) async fn submit(
        &self,
        context: &EntryContext,
        submitted: SubmittedCall,
    ) -> Result<CallAttachment, CallError> {
        match self {
            Self::Local(server) => server.submit(submitted),
            Self::Remote(client, address) => {
                let answered = client.submit_call(call_context(CALL_TIMEOUT), submitted).await;
                unwrap_answer(context, *address, answered)
            }
        }
    }

    /// Reads output of a call and waits for it if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns the owner's refusal, or 8001 with an unknown outcome when the owner did not answer.
    pub(crate) async fn read(
        &self,
        context: &EntryContext,
        request: OutputRequest,
    ) -> Result<OutputChunk, CallError> {
        match self {
            Self::Local(server) => server.output(request).await,
            Self::Remote(client, address) => {
                let answered = client
                    .read_output(call_context(OUTPUT_POLL_TIMEOUT + OUTPUT_POLL_MARGIN), request)
                    .await;
                unwrap_answer(context, *address, answered)
            }
        }
    }
}

fn unwrap_answer<T>(
    context: &EntryContext,
    address: SocketAddr,
    answered: Result<Result<T, CallError>, tarpc::client::RpcError>,
) -> Result<T, CallError> {
    answered.map_err(|error| {
        context.pool.drop_connections(address);
        lost_answer(&error)
    })?
}

/// Repeats a request to the owner of a program after transient errors, until `OWNER_TIMEOUT` has passed.
macro_rules! retry_at_owner {
    ($context:expr, $program:expr, $link:ident => $local:expr, $client:ident => $remote:expr) => {{
        let deadline = Instant::now() + OWNER_TIMEOUT;
        loop {
            let answered = match find_owner($context, $program).await {
                Ok(OwnerLink::Local($link)) => $local,
                Ok(OwnerLink::Remote($client, address)) => unwrap_answer($context, address, $remote),
                Err(error) => Err(error),
            };
            match answered {
                Err(error) if is_transient(&error) && Instant::now() < deadline => {
                    sleep(OWNER_RETRY_DELAY).await;
                }
                answered => break answered,
            }
        }
    }};
}

/// Reads the state of a program from its owner.
///
/// # Errors
///
/// Returns 1005 for an unknown program and 8001 or 3011 when the owner is not found in time.
pub(crate) async fn read_program(
    context: &Arc<EntryContext>,
    team: Option<&TeamName>,
    program: ProgramKey,
) -> Result<ProgramState, CallError> {
    retry_at_owner!(context, program,
        server => server.read(team, program).await,
        client => client.read_program(call_context(CALL_TIMEOUT), team.cloned(), program).await)
}

/// Ends a program at its owner. `None` as team means that an operator cancels it.
///
/// # Errors
///
/// Returns 1005 for an unknown program and 8001 or 3011 when the owner is not found in time.
pub(crate) async fn end_program(
    context: &Arc<EntryContext>,
    team: Option<&TeamName>,
    program: ProgramKey,
) -> Result<ProgramSummary, CallError> {
    retry_at_owner!(context, program,
        server => server.end(team.cloned(), program).await,
        client => client.end_program(call_context(CALL_TIMEOUT), team.cloned(), program).await)
}

/// Lists the programs of every live entry that answers.
pub(crate) async fn list_programs(context: &Arc<EntryContext>) -> Vec<ProgramSummary> {
    let mut programs = OwnerServer::new(Arc::clone(context)).list();
    let members = context.cluster.members();
    for incarnation in members.table.live() {
        programs.extend(list_remote(context, incarnation).await);
    }
    programs.sort_unstable_by_key(|program| program.key);
    programs
}

async fn list_remote(context: &EntryContext, incarnation: IncarnationId) -> Vec<ProgramSummary> {
    let members = context.cluster.members();
    let Some(member) = members
        .table
        .member(incarnation)
        .filter(|_| incarnation != context.incarnation())
    else {
        return Vec::new();
    };
    let Ok(client) = context.pool.owner(member.address).await else {
        return Vec::new();
    };
    match client.list_programs(call_context(CALL_TIMEOUT)).await {
        Ok(Ok(programs)) => programs,
        Ok(Err(_)) | Err(_) => Vec::new(),
    }
}
