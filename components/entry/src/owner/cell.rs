//! A program as its owner holds it in memory: the durable state and the calls in their order.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use domain::{CallKey, CallOutcome, CallReply, HostName, ProgramKey, ProgramState, TimeMillis, TokenCount};
use errors::{CallError, ResultCode};
use journal::{JournalRecord, apply_to_program};
use wire::{CallAttachment, ProgramSummary, SubmittedCall};

use crate::owner::call::{OpenCall, request_fingerprint};
use crate::owner::core::not_owner;

/// Number of closed calls that a program keeps, so that callers can still read the end of their output.
const MAX_CLOSED_CALLS: usize = 16;

/// Number of a program's tokens that the engine of one host holds in its cache.
#[derive(Debug, Clone)]
pub(crate) struct CacheHolding {
    /// Host of the engine.
    pub(crate) host: HostName,
    /// Number of cached tokens.
    pub(crate) tokens: TokenCount,
}

#[derive(Debug)]
struct CellState {
    program: ProgramState,
    next_call: u64,
    waiting: VecDeque<Arc<OpenCall>>,
    running: Option<Arc<OpenCall>>,
    closed: VecDeque<Arc<OpenCall>>,
    holdings: Vec<CacheHolding>,
    has_runner: bool,
}

/// Result of the submission of a call.
#[derive(Debug)]
pub(crate) enum SubmitStatus {
    /// A call with the same idempotency key exists; the request is attached to it.
    Attached(CallAttachment),
    /// The call is new and was appended to the queue.
    Queued {
        /// Identity of the call.
        attachment: CallAttachment,
        /// Whether the submitter must start a task that runs the program's calls, because none is active.
        start: bool,
    },
}

/// Shared, mutable state of one program: its durable state, its calls and the cache that hosts hold of it.
#[derive(Debug)]
pub(crate) struct ProgramCell {
    /// Identity of the program.
    pub(crate) key: ProgramKey,
    state: Mutex<CellState>,
}

impl ProgramCell {
    /// Creates a cell from the durable state. Open intents become the first calls to settle.
    pub(crate) fn new(program: ProgramState, now: TimeMillis) -> Self {
        let adopted = program
            .intents
            .iter()
            .map(|intent| Arc::new(OpenCall::adopt(intent.clone(), now)));
        let waiting: VecDeque<_> = adopted.collect();
        let highest_open = program
            .intents
            .iter()
            .map(|intent| intent.attempt.call.sequence + 1)
            .max();
        let next_call = program.next_call.max(highest_open.unwrap_or(1));
        let holdings = program.held_by.iter();
        let holdings = holdings
            .map(|host| CacheHolding {
                host: host.clone(),
                tokens: context_tokens(&program),
            })
            .collect();
        Self {
            key: program.key,
            state: Mutex::new(CellState {
                program,
                next_call,
                waiting,
                running: None,
                closed: VecDeque::new(),
                holdings,
                has_runner: false,
            }),
        }
    }

    /// Returns a copy of the durable state.
    pub(crate) fn program(&self) -> ProgramState {
        self.lock().program.clone()
    }

    /// Returns the result of `read` on the durable state, which stays locked meanwhile.
    pub(crate) fn with_program<T>(&self, read: impl FnOnce(&ProgramState) -> T) -> T {
        read(&self.lock().program)
    }

    /// Applies a record that has become durable.
    pub(crate) fn apply(&self, record: &JournalRecord) {
        apply_to_program(&mut self.lock().program, record);
    }

    /// Appends a call to the queue, or attaches the request to the call with the same idempotency key.
    ///
    /// # Errors
    ///
    /// Returns a not-run error: 1007 if the program has ended, 1008 if the key was used for another request,
    /// 3011 if the owner is being stopped and transfers its programs, and 3001 with a Retry-After delay if
    /// `limit` calls already wait.
    pub(crate) fn submit(
        &self,
        submitted: SubmittedCall,
        limit: usize,
        closing: bool,
        now: TimeMillis,
    ) -> Result<SubmitStatus, CallError> {
        let fingerprint = request_fingerprint(&submitted.request);
        let mut state = self.lock();
        if let Some(known_call) = state.known_call(&submitted.request.idempotency_key) {
            if known_call.1 != fingerprint {
                let message = "the idempotency key was used with a different request";
                return Err(CallError::not_run(ResultCode::KeyReused, message));
            }
            return Ok(SubmitStatus::Attached(CallAttachment {
                call: known_call.0,
                attached: true,
            }));
        }
        if closing {
            return Err(not_owner());
        }
        if state.program.phase != domain::ProgramPhase::Running {
            return Err(CallError::not_run(
                ResultCode::ProgramEnded,
                "the program has ended",
            ));
        }
        if state.waiting.len() >= limit {
            let refusal = CallError::not_run(
                ResultCode::QueueFull,
                "the program's queue of waiting calls is full",
            );
            return Err(refusal.with_retry_after_ms(1000));
        }
        let call = CallKey {
            program: self.key,
            sequence: state.next_call,
        };
        state.next_call += 1;
        let open = OpenCall::new(call, submitted.request, submitted.delivered, now);
        state.waiting.push_back(Arc::new(open));
        let start = !state.has_runner;
        state.has_runner = true;
        Ok(SubmitStatus::Queued {
            attachment: CallAttachment {
                call,
                attached: false,
            },
            start,
        })
    }

    /// Claims the right to run the program's calls. Returns `false` if none waits or another task runs them.
    pub(crate) fn claim(&self) -> bool {
        let mut state = self.lock();
        if state.has_runner || state.waiting.is_empty() {
            return false;
        }
        state.has_runner = true;
        true
    }

    /// Removes the next call from the queue and marks it as running. `None` releases the claim.
    pub(crate) fn next_call(&self) -> Option<Arc<OpenCall>> {
        let mut state = self.lock();
        let call = state.waiting.pop_front();
        state.has_runner = call.is_some();
        state.running.clone_from(&call);
        call
    }

    /// Adds a call to the closed calls and clears the running call. Removes the oldest closed call above the
    /// limit.
    pub(crate) fn move_to_closed(&self, call: &Arc<OpenCall>) {
        let mut state = self.lock();
        state.running = None;
        state.closed.push_back(Arc::clone(call));
        if state.closed.len() > MAX_CLOSED_CALLS {
            state.closed.pop_front();
        }
    }

    /// Returns a call that is running, waiting or among the latest closed calls.
    pub(crate) fn open_call(&self, key: CallKey) -> Option<Arc<OpenCall>> {
        let state = self.lock();
        let mut calls = state.waiting.iter().chain(&state.running).chain(&state.closed);
        calls.find(|call| call.key == key).cloned()
    }

    /// Returns the running call and the waiting calls.
    pub(crate) fn open_calls(&self) -> Vec<Arc<OpenCall>> {
        let state = self.lock();
        state.running.iter().chain(&state.waiting).cloned().collect()
    }

    /// Removes the waiting calls and returns them.
    pub(crate) fn take_waiting(&self) -> Vec<Arc<OpenCall>> {
        self.lock().waiting.drain(..).collect()
    }

    /// Returns the cached tokens of the program at each host.
    pub(crate) fn holdings(&self) -> Vec<CacheHolding> {
        self.lock().holdings.clone()
    }

    /// Sets the number of tokens of the program that a host holds in its cache.
    pub(crate) fn set_holding(&self, host: &HostName, tokens: TokenCount) {
        let mut state = self.lock();
        match state.holdings.iter_mut().find(|holding| holding.host == *host) {
            Some(holding) => holding.tokens = tokens,
            None => state.holdings.push(CacheHolding {
                host: host.clone(),
                tokens,
            }),
        }
    }

    /// Returns the row of the program in listings.
    pub(crate) fn summary(&self) -> ProgramSummary {
        let state = self.lock();
        let program = &state.program;
        let open = state.waiting.len() + usize::from(state.running.is_some());
        ProgramSummary::new(program, open)
    }

    fn lock(&self) -> MutexGuard<'_, CellState> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl CellState {
    /// Returns the identity and the request fingerprint of the call with the idempotency key.
    fn known_call(&self, idempotency_key: &str) -> Option<(CallKey, u64)> {
        if let Some(finished) = self.program.finished_call(idempotency_key) {
            return Some((finished.call, finished.fingerprint));
        }
        let mut open = self.waiting.iter().chain(&self.running);
        let found = open.find(|call| call.request.idempotency_key == idempotency_key)?;
        Some((found.key, found.fingerprint))
    }
}

/// Returns the number of tokens of a program's history, as its engine counted them at the last answered chat
/// call; 0 before the first one.
pub(crate) fn context_tokens(program: &ProgramState) -> TokenCount {
    let turns = program
        .finished
        .iter()
        .filter_map(|finished| match &finished.outcome {
            CallOutcome::Answered(CallReply::Chat { usage, .. }) => Some((finished.call.sequence, usage)),
            CallOutcome::Answered(CallReply::Plain(_)) | CallOutcome::Failed(_) => None,
        });
    let last = turns.max_by_key(|(sequence, _)| *sequence);
    last.map_or(0, |(_, usage)| usage.prompt_tokens + usage.completion_tokens)
}

/// Returns the number of consecutive latest answered calls of the program whose request has the fingerprint.
pub(crate) fn repetitions(program: &ProgramState, fingerprint: u64) -> u32 {
    let answered = program
        .finished
        .iter()
        .filter(|finished| matches!(finished.outcome, CallOutcome::Answered(_)));
    let mut calls: Vec<_> = answered
        .map(|finished| (finished.call.sequence, finished.fingerprint))
        .collect();
    calls.sort_unstable();
    let repeated = calls
        .iter()
        .rev()
        .take_while(|(_, latest)| *latest == fingerprint)
        .count();
    u32::try_from(repeated).unwrap_or(u32::MAX)
}
