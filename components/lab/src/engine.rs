//! The model of an engine: one step generates a token for each request that runs, and reads a part of one prompt.

use serde::{Deserialize, Serialize};

/// What an engine is like.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineModel {
    /// Requests that run at a time.
    pub slots: usize,
    /// Time of a step in microseconds.
    pub step_us: u64,
    /// Time in microseconds that each running request adds to a step.
    pub step_us_per_request: u64,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Most prompt tokens read in one step.
    pub prefill_chunk: u32,
}

impl EngineModel {
    /// Returns the time in microseconds in which so many prompt tokens are read.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive and far below the range"
    )]
    pub fn prefill_us(&self, tokens: u32) -> u64 {
        (f64::from(tokens) * 1_000.0 / self.prefill_tokens_per_ms) as u64
    }

    /// Returns the time in microseconds of a turn that runs alone.
    pub fn idle_us(&self, work: TurnWork) -> u64 {
        self.prefill_us(work.prompt_tokens)
            + u64::from(work.output_tokens) * (self.step_us + self.step_us_per_request)
    }
}

/// What a turn asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TurnWork {
    /// Program of the turn, an index.
    pub program: usize,
    /// Prompt tokens to read.
    pub prompt_tokens: u32,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// Place in the order of waiting turns; the least goes first, equal ones by arrival.
    pub urgency: u32,
}

/// A turn that runs.
#[derive(Debug, Clone, Copy)]
struct RunningTurn {
    program: usize,
    prompt_left: u32,
    output_left: u32,
    has_begun: bool,
}

/// What a step brought, as indexes of programs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FinishedStep {
    /// Turns whose first token came.
    pub begun: Vec<usize>,
    /// Turns that ended.
    pub ended: Vec<usize>,
}

/// One engine with the turns that run and wait.
#[derive(Debug, Clone, Default)]
pub struct EngineQueue {
    waiting: Vec<TurnWork>,
    running: Vec<RunningTurn>,
    /// Prompt tokens that the present step reads.
    chunk: u32,
}

impl EngineQueue {
    /// Adds a turn behind those that are as urgent; returns whether the engine was idle, so that a step must begin.
    pub fn push(&mut self, work: TurnWork) -> bool {
        let place = self
            .waiting
            .partition_point(|waiting| waiting.urgency <= work.urgency);
        self.waiting.insert(place, work);
        self.running.is_empty() && self.waiting.len() == 1
    }

    /// Returns the turns that run and wait.
    pub const fn load(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Begins a step and returns its time in microseconds; `None` when there is nothing to do.
    pub fn begin_step(&mut self, model: &EngineModel) -> Option<u64> {
        let free = model.slots.saturating_sub(self.running.len());
        let admitted = self.waiting.drain(..free.min(self.waiting.len()));
        self.running.extend(admitted.map(|work| RunningTurn {
            program: work.program,
            prompt_left: work.prompt_tokens,
            output_left: work.output_tokens,
            has_begun: false,
        }));
        if self.running.is_empty() {
            return None;
        }
        let reading = self.running.iter().find(|turn| turn.prompt_left > 0);
        self.chunk = reading.map_or(0, |turn| turn.prompt_left.min(model.prefill_chunk));
        let requests = self.running.len() as u64;
        Some(model.step_us + model.step_us_per_request * requests + model.prefill_us(self.chunk))
    }

    /// Ends the present step.
    pub fn end_step(&mut self) -> FinishedStep {
        let mut finished = FinishedStep::default();
        let chunk = std::mem::take(&mut self.chunk);
        let mut is_read = false;
        for turn in &mut self.running {
            if turn.prompt_left > 0 {
                if !is_read {
                    turn.prompt_left -= chunk;
                    is_read = true;
                }
                continue;
            }
            if !std::mem::replace(&mut turn.has_begun, true) {
                finished.begun.push(turn.program);
            }
            turn.output_left = turn.output_left.saturating_sub(1);
        }
        self.running.retain(|turn| {
            let has_ended = turn.prompt_left == 0 && turn.output_left == 0;
            if has_ended {
                finished.ended.push(turn.program);
            }
            !has_ended
        });
        finished
    }
}
