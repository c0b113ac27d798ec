//! Model of an engine: a step generates a token for each running request and prefills a chunk of one prompt.

use serde::{Deserialize, Serialize};

/// Parameters of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineModel {
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// Base duration of a step in microseconds.
    pub step_us: u64,
    /// Duration in microseconds that each running request adds to a step.
    pub step_us_per_request: u64,
    /// Prefill throughput in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Maximum number of prompt tokens that one step prefills.
    pub prefill_chunk: u32,
}

impl EngineModel {
    /// Returns the prefill duration of so many prompt tokens in microseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive and far below the range"
    )]
    pub fn prefill_us(&self, tokens: u32) -> u64 {
        (f64::from(tokens) * 1_000.0 / self.prefill_tokens_per_ms) as u64
    }

    /// Returns the duration in microseconds of a turn on an engine without other load.
    pub fn unloaded_turn_us(&self, work: TurnWork) -> u64 {
        self.prefill_us(work.prompt_tokens)
            + u64::from(work.output_tokens) * (self.step_us + self.step_us_per_request)
    }
}

/// Work that a turn requires from an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TurnWork {
    /// Index of the program to which the turn belongs.
    pub program: usize,
    /// Number of prompt tokens to prefill.
    pub prompt_tokens: u32,
    /// Number of tokens to generate.
    pub output_tokens: u32,
    /// Priority in the queue: the lowest value goes first, equal values in order of arrival.
    pub urgency: u32,
}

/// A running turn with its remaining work.
#[derive(Debug, Clone, Copy)]
struct RunningTurn {
    program: usize,
    prompt_tokens_left: u32,
    output_tokens_left: u32,
    has_started: bool,
}

/// Turns that changed in a step, as indexes of their programs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FinishedStep {
    /// Turns that generated their first token.
    pub started: Vec<usize>,
    /// Turns that generated their last token.
    pub ended: Vec<usize>,
}

/// One engine with its running and waiting turns.
#[derive(Debug, Clone, Default)]
pub struct EngineQueue {
    waiting: Vec<TurnWork>,
    running: Vec<RunningTurn>,
    /// Prompt tokens that the current step prefills.
    chunk_tokens: u32,
}

impl EngineQueue {
    /// Queues a turn behind the waiting turns of the same or a lower urgency value.
    ///
    /// Returns whether the engine was idle, in which case the caller must start a step.
    pub fn push(&mut self, work: TurnWork) -> bool {
        let position = self
            .waiting
            .partition_point(|waiting| waiting.urgency <= work.urgency);
        self.waiting.insert(position, work);
        self.running.is_empty() && self.waiting.len() == 1
    }

    /// Returns the number of running and waiting turns.
    pub const fn load(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Starts a step and returns its duration in microseconds, or `None` when no turn runs or waits.
    pub fn start_step(&mut self, model: &EngineModel) -> Option<u64> {
        let free_slots = model.slots.saturating_sub(self.running.len());
        let admitted = self.waiting.drain(..free_slots.min(self.waiting.len()));
        self.running.extend(admitted.map(|work| RunningTurn {
            program: work.program,
            prompt_tokens_left: work.prompt_tokens,
            output_tokens_left: work.output_tokens,
            has_started: false,
        }));
        if self.running.is_empty() {
            return None;
        }
        let prefilling = self.running.iter().find(|turn| turn.prompt_tokens_left > 0);
        self.chunk_tokens = prefilling.map_or(0, |turn| turn.prompt_tokens_left.min(model.prefill_chunk));
        let requests = self.running.len() as u64;
        Some(model.step_us + model.step_us_per_request * requests + model.prefill_us(self.chunk_tokens))
    }

    /// Ends the current step and returns the turns that generated their first or last token in it.
    pub fn end_step(&mut self) -> FinishedStep {
        let mut finished = FinishedStep::default();
        let chunk_tokens = std::mem::take(&mut self.chunk_tokens);
        let mut is_chunk_processed = false;
        for turn in &mut self.running {
            if turn.prompt_tokens_left > 0 {
                if !is_chunk_processed {
                    turn.prompt_tokens_left -= chunk_tokens;
                    is_chunk_processed = true;
                }
                continue;
            }
            if !std::mem::replace(&mut turn.has_started, true) {
                finished.started.push(turn.program);
            }
            turn.output_tokens_left = turn.output_tokens_left.saturating_sub(1);
        }
        self.running.retain(|turn| {
            let has_ended = turn.prompt_tokens_left == 0 && turn.output_tokens_left == 0;
            if has_ended {
                finished.ended.push(turn.program);
            }
            !has_ended
        });
        finished
    }
}
