//! One program of an owner: its durable state, its open calls and their order.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use domain::{CallKey, CallOutcome, CallReply, HostName, ProgramKey, ProgramState, TimeMillis, TokenCount};
use errors::{CallError, ResultCode};
use journal::{JournalRecord, apply_to_program};
use wire::{CallAttachment, ProgramSummary, SubmittedCall};

use crate::owner::call::{OpenCall, request_fingerprint};
use crate::owner::core::not_owner;

/// Closed calls that stay readable for callers who have not read the end yet.
const MAX_CLOSED_CALLS: usize = 16;

/// Tokens of a program in the cache of one host's engine.
#[derive(Debug, Clone)]
pub(crate) struct CacheHolding {
    /// Host.
    pub(crate) host: HostName,
    /// Tokens.
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

/// What became of a submitted call.
#[derive(Debug)]
pub(crate) enum SubmitStatus {
    /// The call is known.
    Attached(CallAttachment),
    /// The call is new; when `start` is set, the caller of this function runs the program's calls.
    Queued {
        /// Identity for the caller.
        attachment: CallAttachment,
        /// Whether nobody runs the program's calls yet.
        start: bool,
    },
}

/// A program with its calls.
#[derive(Debug)]
pub(crate) struct ProgramCell {
    /// Identity.
    pub(crate) key: ProgramKey,
    state: Mutex<CellState>,
}

impl ProgramCell {
    /// Creates a cell from the durable state; open intents become the first calls to settle.
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

    /// Reads a part of the durable state.
    pub(crate) fn with_program<T>(&self, read: impl FnOnce(&ProgramState) -> T) -> T {
        read(&self.lock().program)
    }

    /// Applies a durable record.
    pub(crate) fn apply(&self, record: &JournalRecord) {
        apply_to_program(&mut self.lock().program, record);
    }

    /// Takes a call in, in the order of arrival.
    ///
    /// # Errors
    ///
    /// Returns 1007 when the program has ended, 1008 when the key was used for another request and 3011 when
    /// the owner hands its programs on; none of them ran.
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
            let refusal = CallError::not_run(ResultCode::QueueFull, "too many calls of the program wait");
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

    /// Claims the right to run the program's calls; `false` when there are none or somebody runs them.
    pub(crate) fn claim(&self) -> bool {
        let mut state = self.lock();
        if state.has_runner || state.waiting.is_empty() {
            return false;
        }
        state.has_runner = true;
        true
    }

    /// Returns the next call to run; `None` gives the claim up.
    pub(crate) fn next_call(&self) -> Option<Arc<OpenCall>> {
        let mut state = self.lock();
        let call = state.waiting.pop_front();
        state.has_runner = call.is_some();
        state.running.clone_from(&call);
        call
    }

    /// Moves the running call to the closed ones.
    pub(crate) fn move_to_closed(&self, call: &Arc<OpenCall>) {
        let mut state = self.lock();
        state.running = None;
        state.closed.push_back(Arc::clone(call));
        if state.closed.len() > MAX_CLOSED_CALLS {
            state.closed.pop_front();
        }
    }

    /// Returns a call that runs, waits or has ended a short time ago.
    pub(crate) fn open_call(&self, key: CallKey) -> Option<Arc<OpenCall>> {
        let state = self.lock();
        let mut calls = state.waiting.iter().chain(&state.running).chain(&state.closed);
        calls.find(|call| call.key == key).cloned()
    }

    /// Returns the calls that run or wait.
    pub(crate) fn open_calls(&self) -> Vec<Arc<OpenCall>> {
        let state = self.lock();
        state.running.iter().chain(&state.waiting).cloned().collect()
    }

    /// Removes the calls that wait and returns them.
    pub(crate) fn take_waiting(&self) -> Vec<Arc<OpenCall>> {
        self.lock().waiting.drain(..).collect()
    }

    /// Returns the tokens that hosts hold of the program.
    pub(crate) fn holdings(&self) -> Vec<CacheHolding> {
        self.lock().holdings.clone()
    }

    /// Records the tokens that a host holds of the program.
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

    /// Returns one row for listings.
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
    /// Returns the identity and fingerprint of the call with the idempotency key.
    fn known_call(&self, idempotency_key: &str) -> Option<(CallKey, u64)> {
        if let Some(finished) = self.program.finished_call(idempotency_key) {
            return Some((finished.call, finished.fingerprint));
        }
        let mut open = self.waiting.iter().chain(&self.running);
        let found = open.find(|call| call.request.idempotency_key == idempotency_key)?;
        Some((found.key, found.fingerprint))
    }
}

/// Returns the tokens of a program's history as its engine counted them at the last turn.
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

/// Returns how many of the program's latest answered calls, one after the other, made the same request.
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
