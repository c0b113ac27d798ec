//! Passes a caller's request to the owner of its program and the output back, across changes of the owner.

use std::sync::Arc;
use std::time::Duration;

use domain::{CallKey, CallOutcome, IncarnationId, ProgramKey, ProgramState, TeamName};
use errors::{CallError, ResultCode, RunState};
use rand::RngExt as _;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use wire::{CallAttachment, OutputChunk, OutputRequest, OwnerPortClient, ProgramSummary, SubmittedCall};
use xxhash_rust::xxh3::xxh3_64;

use crate::context::EntryContext;
use crate::member::read_members;
use crate::owner::{OwnerServer, unknown_program};
use crate::pool::{CALL_TIMEOUT, call_context, lost_answer};

/// Time for which a request looks for the owner of its program.
const OWNER_PATIENCE: Duration = Duration::from_secs(30);
const READ_WAIT: Duration = Duration::from_secs(5);
const READ_GRACE: Duration = Duration::from_secs(1);
const SHORTEST_PAUSE_MS: u64 = 20;
const LONGEST_PAUSE_MS: u64 = 400;
const OWNER_RETRY_MS: u64 = 2000;

/// Way to the owner of a program.
#[derive(Debug, Clone)]
enum OwnerLink {
    /// This process.
    Local(OwnerServer),
    /// Another entry.
    Remote(OwnerPortClient, std::net::SocketAddr),
}

/// Place in a stream up to which the caller holds the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StreamPosition {
    /// Offset in bytes.
    pub(crate) offset: u64,
    /// Hash of the text before the offset.
    pub(crate) hash: u64,
}

impl StreamPosition {
    /// Returns the position behind a text.
    pub(crate) fn behind(text: &str) -> Self {
        Self {
            offset: text.len() as u64,
            hash: xxh3_64(text.as_bytes()),
        }
    }
}

/// Output of a call on its way to the caller.
#[derive(Debug)]
pub(crate) enum RelayEvent {
    /// Text and the position behind it.
    Text(String, StreamPosition),
    /// Identity and final state; nothing follows.
    End(Option<CallKey>, CallOutcome),
}

/// Passes one call on.
#[derive(Debug)]
pub(crate) struct CallRelay {
    context: Arc<EntryContext>,
    submitted: SubmittedCall,
    resume: Option<StreamPosition>,
    text: String,
    emitted: usize,
    sent: bool,
}

impl CallRelay {
    /// Creates the relay; the text before `resume` is not sent again.
    pub(crate) const fn new(
        context: Arc<EntryContext>,
        submitted: SubmittedCall,
        resume: Option<StreamPosition>,
    ) -> Self {
        Self {
            context,
            submitted,
            resume,
            text: String::new(),
            emitted: 0,
            sent: false,
        }
    }

    /// Runs until the call has its final state; a caller that has gone away does not stop the call.
    pub(crate) async fn run(mut self, events: mpsc::Sender<RelayEvent>) {
        let mut until = Instant::now() + OWNER_PATIENCE;
        let mut pause_ms = SHORTEST_PAUSE_MS;
        loop {
            let progress = self.text.len();
            let (call, error) = match self.pass_once(&events).await {
                Ok((call, outcome)) => {
                    let _ = events.send(RelayEvent::End(Some(call), outcome)).await;
                    return;
                }
                Err(failure) => failure,
            };
            if self.text.len() > progress {
                until = Instant::now() + OWNER_PATIENCE;
                pause_ms = SHORTEST_PAUSE_MS;
            }
            if events.is_closed() {
                return;
            }
            if !is_passing(&error) || Instant::now() >= until {
                let last_word = self.last_word(error);
                let _ = events
                    .send(RelayEvent::End(call, CallOutcome::Failed(last_word)))
                    .await;
                return;
            }
            let jittered_ms = rand::rng().random_range(SHORTEST_PAUSE_MS..=pause_ms);
            sleep(Duration::from_millis(jittered_ms)).await;
            pause_ms = (pause_ms * 2).min(LONGEST_PAUSE_MS);
        }
    }

    /// Returns the final answer when the owner was not found in time.
    fn last_word(&self, error: CallError) -> CallError {
        if !is_passing(&error) {
            return error;
        }
        let message = format!("the owner of the program cannot be reached: {}", error.message);
        let mut refusal = CallError::not_run(ResultCode::OwnerUnreachable, message);
        if self.sent {
            refusal.run = RunState::OutcomeUnknown;
        }
        refusal.with_retry_after_ms(OWNER_RETRY_MS)
    }

    async fn pass_once(
        &mut self,
        events: &mpsc::Sender<RelayEvent>,
    ) -> Result<(CallKey, CallOutcome), (Option<CallKey>, CallError)> {
        let link = find_owner(&self.context, self.submitted.program)
            .await
            .map_err(|error| (None, error))?;
        self.submitted.delivered.clone_from(&self.text);
        let submitted = submit(&self.context, &link, self.submitted.clone()).await;
        self.sent |= !matches!(&submitted, Err(error) if error.run == RunState::NotRun);
        let attachment = submitted.map_err(|error| (None, error))?;
        let call = attachment.call;
        let followed = self.follow(&link, call, attachment.attached, events).await;
        match followed {
            Ok(CallOutcome::Failed(error)) if is_passing(&error) => Err((Some(call), error)),
            Ok(outcome) => Ok((call, outcome)),
            Err(error) => Err((Some(call), error)),
        }
    }

    async fn follow(
        &mut self,
        link: &OwnerLink,
        call: CallKey,
        attached: bool,
        events: &mpsc::Sender<RelayEvent>,
    ) -> Result<CallOutcome, CallError> {
        if attached && !self.text.is_empty() {
            self.compare_text(link, call).await?;
        }
        loop {
            let offset = self.text.len() as u64;
            let wait_ms = u64::try_from(READ_WAIT.as_millis()).unwrap_or(u64::MAX);
            let chunk = read(
                &self.context,
                link,
                OutputRequest {
                    call,
                    offset,
                    wait_ms,
                },
            )
            .await?;
            if !chunk.text.is_empty() {
                self.take_text(&chunk.text, events).await?;
            }
            let Some(outcome) = chunk.outcome else {
                continue;
            };
            if matches!(outcome, CallOutcome::Answered(_)) && self.held_back() {
                return Err(broken_stream());
            }
            return Ok(outcome);
        }
    }

    /// Checks after a change of the owner that the text goes on where the delivered one stopped.
    async fn compare_text(&self, link: &OwnerLink, call: CallKey) -> Result<(), CallError> {
        let mut offset = 0;
        while offset < self.text.len() {
            let request = OutputRequest {
                call,
                offset: offset as u64,
                wait_ms: 1000,
            };
            let chunk = read(&self.context, link, request).await?;
            let shared = chunk.text.len().min(self.text.len() - offset);
            if chunk.text.as_bytes()[..shared] != self.text.as_bytes()[offset..offset + shared] {
                return Err(broken_stream());
            }
            offset += shared;
            if chunk.outcome.is_some() && offset < self.text.len() {
                return match chunk.outcome {
                    Some(CallOutcome::Failed(error)) => Err(error),
                    _ => Err(broken_stream()),
                };
            }
        }
        Ok(())
    }

    async fn take_text(&mut self, text: &str, events: &mpsc::Sender<RelayEvent>) -> Result<(), CallError> {
        self.text.push_str(text);
        if self.held_back() {
            return Ok(());
        }
        if let Some(position) = self.resume.take() {
            let held = usize::try_from(position.offset).unwrap_or(usize::MAX);
            let matches = self
                .text
                .get(..held)
                .is_some_and(|held| xxh3_64(held.as_bytes()) == position.hash);
            if !matches {
                return Err(broken_stream());
            }
            self.emitted = held;
        }
        let fresh = self.text[self.emitted..].to_owned();
        self.emitted = self.text.len();
        if !fresh.is_empty() {
            let event = RelayEvent::Text(fresh, StreamPosition::behind(&self.text));
            let _ = events.send(event).await;
        }
        Ok(())
    }

    /// Tells whether the text has not yet reached the place from which the caller resumes.
    fn held_back(&self) -> bool {
        self.resume
            .is_some_and(|position| position.offset > self.text.len() as u64)
    }
}

fn broken_stream() -> CallError {
    CallError::ran(
        ResultCode::StreamBroken,
        "the stream cannot be continued without mixing two answers",
    )
}

/// Tells whether an error passes once the program has a reachable owner again.
fn is_passing(error: &CallError) -> bool {
    matches!(
        error.code,
        ResultCode::NotOwner
            | ResultCode::JournalSealed
            | ResultCode::PeerUnreachable
            | ResultCode::UnknownCall
    )
}

async fn find_owner(context: &Arc<EntryContext>, program: ProgramKey) -> Result<OwnerLink, CallError> {
    let mut members = context.board.members();
    if program.incarnation >= members.table.next {
        if let Ok(view) = read_members(context.options.store.as_ref()).await {
            context.board.raise_members(view);
        }
        members = context.board.members();
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

async fn submit(
    context: &EntryContext,
    link: &OwnerLink,
    submitted: SubmittedCall,
) -> Result<CallAttachment, CallError> {
    match link {
        OwnerLink::Local(server) => server.submit(submitted),
        OwnerLink::Remote(client, address) => {
            let answered = client.submit_call(call_context(CALL_TIMEOUT), submitted).await;
            unwrap_answer(context, *address, answered)
        }
    }
}

async fn read(
    context: &EntryContext,
    link: &OwnerLink,
    request: OutputRequest,
) -> Result<OutputChunk, CallError> {
    match link {
        OwnerLink::Local(server) => server.output(request).await,
        OwnerLink::Remote(client, address) => {
            let answered = client
                .read_output(call_context(READ_WAIT + READ_GRACE), request)
                .await;
            unwrap_answer(context, *address, answered)
        }
    }
}

fn unwrap_answer<T>(
    context: &EntryContext,
    address: std::net::SocketAddr,
    answered: Result<Result<T, CallError>, tarpc::client::RpcError>,
) -> Result<T, CallError> {
    answered.map_err(|error| {
        context.pool.forget(address);
        lost_answer(&error)
    })?
}

/// Repeats a request to the owner of a program while the owner changes.
macro_rules! ask_owner {
    ($context:expr, $program:expr, $link:ident => $local:expr, $client:ident => $remote:expr) => {{
        let until = Instant::now() + OWNER_PATIENCE;
        loop {
            let answered = match find_owner($context, $program).await {
                Ok(OwnerLink::Local($link)) => $local,
                Ok(OwnerLink::Remote($client, address)) => unwrap_answer($context, address, $remote),
                Err(error) => Err(error),
            };
            match answered {
                Err(error) if is_passing(&error) && Instant::now() < until => {
                    sleep(Duration::from_millis(LONGEST_PAUSE_MS / 4)).await;
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
    ask_owner!(context, program,
        server => server.read(team, program).await,
        client => client.read_program(call_context(CALL_TIMEOUT), team.cloned(), program).await)
}

/// Ends a program at its owner; `None` as team stands for an operator, who cancels it.
///
/// # Errors
///
/// Returns 1005 for an unknown program and 8001 or 3011 when the owner is not found in time.
pub(crate) async fn end_program(
    context: &Arc<EntryContext>,
    team: Option<&TeamName>,
    program: ProgramKey,
) -> Result<ProgramSummary, CallError> {
    ask_owner!(context, program,
        server => server.end(team.cloned(), program).await,
        client => client.end_program(call_context(CALL_TIMEOUT), team.cloned(), program).await)
}

/// Lists the programs of every live entry that answers.
pub(crate) async fn list_programs(context: &Arc<EntryContext>) -> Vec<ProgramSummary> {
    let mut programs = OwnerServer::new(Arc::clone(context)).list();
    let members = context.board.members();
    for incarnation in members.table.live() {
        programs.extend(list_remote(context, incarnation).await);
    }
    programs.sort_unstable_by_key(|program| program.key);
    programs
}

async fn list_remote(context: &EntryContext, incarnation: IncarnationId) -> Vec<ProgramSummary> {
    let members = context.board.members();
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
