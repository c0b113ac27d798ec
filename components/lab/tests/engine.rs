//! Duration of turns in the model of an engine.

use googletest::prelude::*;
use lab::{EngineModel, EngineQueue, TurnWork};

const MODEL: EngineModel = EngineModel {
    slots: 2,
    step_us: 1_000,
    step_us_per_request: 100,
    prefill_tokens_per_ms: 100.0,
    prefill_chunk: 500,
};

const fn work(program: usize, prompt_tokens: u32, output_tokens: u32, urgency: u32) -> TurnWork {
    TurnWork {
        program,
        prompt_tokens,
        output_tokens,
        urgency,
    }
}

/// Runs steps until the engine is idle; returns for each program the times of its first token and of its end.
fn run(queue: &mut EngineQueue) -> Vec<(usize, u64, u64)> {
    let mut now_us = 0;
    let mut first_tokens: Vec<(usize, u64)> = Vec::new();
    let mut ended = Vec::new();
    while let Some(step_us) = queue.start_step(&MODEL) {
        now_us += step_us;
        let finished = queue.end_step();
        first_tokens.extend(finished.started.into_iter().map(|program| (program, now_us)));
        for program in finished.ended {
            let first = first_tokens.iter().find(|(started, _)| *started == program);
            ended.push((program, first.expect("a first token before the end").1, now_us));
        }
    }
    ended
}

/// Turns, and the expected times of their first token and end in microseconds.
struct StepCase {
    name: &'static str,
    turns: Vec<TurnWork>,
    ends: Vec<(usize, u64, u64)>,
}

#[gtest]
fn running_turns_share_the_steps_of_an_engine() {
    let cases = [
        StepCase {
            name: "alone without a prompt",
            turns: vec![work(0, 0, 3, 0)],
            ends: vec![(0, 1_100, 3_300)],
        },
        StepCase {
            name: "alone with a prompt of two chunks",
            turns: vec![work(0, 600, 1, 0)],
            // Prefill adds 5 ms (500 tokens) and 1 ms (100 tokens) to two steps; a third generates the token.
            ends: vec![(0, 9_300, 9_300)],
        },
        StepCase {
            name: "two at a time",
            turns: vec![work(0, 0, 2, 0), work(1, 0, 1, 0)],
            ends: vec![(1, 1_200, 1_200), (0, 1_200, 2_300)],
        },
        StepCase {
            name: "a third turn waits for a slot",
            turns: vec![work(0, 0, 1, 0), work(1, 0, 2, 0), work(2, 0, 1, 0)],
            ends: vec![(0, 1_200, 1_200), (1, 1_200, 2_400), (2, 2_400, 2_400)],
        },
        StepCase {
            name: "the most urgent waiting turn runs first",
            turns: vec![
                work(0, 0, 1, 0),
                work(1, 0, 1, 0),
                work(2, 0, 1, 5),
                work(3, 0, 1, 5),
                work(4, 0, 1, 1),
            ],
            ends: vec![
                (0, 1_200, 1_200),
                (1, 1_200, 1_200),
                (4, 2_400, 2_400),
                (2, 2_400, 2_400),
                (3, 3_500, 3_500),
            ],
        },
    ];
    for case in cases {
        let mut queue = EngineQueue::default();
        for turn in case.turns {
            queue.push(turn);
        }
        expect_that!(run(&mut queue), eq(&case.ends), "{}", case.name);
        expect_that!(queue.load(), eq(0), "{}", case.name);
    }
}

#[gtest]
fn a_turn_without_other_load_takes_its_unloaded_time() {
    let turn = work(0, 400, 10, 0);
    let mut queue = EngineQueue::default();
    expect_that!(queue.push(turn), eq(true));
    let ended = run(&mut queue);
    // The step that prefills the prompt generates no token.
    let prefill_step_us = MODEL.step_us + MODEL.step_us_per_request;
    expect_that!(ended[0].2, eq(MODEL.unloaded_turn_us(turn) + prefill_step_us));
}
