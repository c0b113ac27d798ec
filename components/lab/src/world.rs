//! The run of a policy in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use routing::{
    BackendServer, LoadTracker, ServerDirectory, ServerKey, ServerQuery, ServerState, admits_program,
    choose_backend,
};
use serde::{Deserialize, Serialize};

use crate::engine::{EngineQueue, TurnWork};
use crate::report::PolicyResult;
use crate::site::{ProgramKind, SiteModel};
use crate::workload::Arrival;

/// Time in microseconds after which a refused program is asked to come back, drawn between the two.
const RETURN_US: std::ops::Range<u64> = 600_000..1_300_000;
/// Times that a program asks for its first turn.
const MOST_ASKED: u32 = 6;
/// Multiple of its aim after which a program is of no use any more.
const LATE_FACTOR: u64 = 2;

/// What is done when more programs come than the engines can serve.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LabPolicy {
    /// Nothing: every turn goes to an engine at once.
    Open,
    /// Turns of programs under way go before those of new ones, and both before those that are late.
    Stages,
    /// New programs are refused while the engines run and hold more than this many turns each, on average. It stands
    /// for entries that know the load of all engines.
    Bound(u32),
    /// The gateway's own admission, for entries that know the load of all engines.
    Admission,
}

/// What is due at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LabEvent {
    /// A program asks for its next turn.
    Turn(usize),
    /// An engine has ended a step.
    Step(usize),
}

#[derive(Debug, Clone, Copy)]
struct ProgramState {
    kind: usize,
    entry: usize,
    begun_us: u64,
    turns_left: u32,
    /// Number that the program keeps, for its admission.
    draw: u32,
    asked: u32,
    server: Option<(ServerKey, usize)>,
}

struct LabWorld<'a> {
    site: &'a SiteModel,
    policy: LabPolicy,
    now_us: u64,
    due: BinaryHeap<Reverse<(u64, LabEvent)>>,
    directory: ServerDirectory,
    boards: Vec<LoadTracker>,
    engines: Vec<EngineQueue>,
    programs: Vec<ProgramState>,
    draw: StdRng,
    result: PolicyResult,
}

/// Plays programs under a policy until all have ended.
pub fn run_policy(site: &SiteModel, arrivals: &[Arrival], policy: LabPolicy, seed: u64) -> PolicyResult {
    let mut world = LabWorld {
        site,
        policy,
        now_us: 0,
        due: BinaryHeap::new(),
        directory: directory_of(site.engines),
        boards: (0..site.entries).map(|_| LoadTracker::default()).collect(),
        engines: vec![EngineQueue::default(); site.engines],
        programs: Vec::new(),
        draw: StdRng::seed_from_u64(seed),
        result: PolicyResult::new(policy, site),
    };
    for (number, arrival) in arrivals.iter().enumerate() {
        let draw = world.draw.random();
        world.programs.push(ProgramState {
            kind: arrival.kind,
            entry: arrival.entry,
            begun_us: arrival.at_us,
            turns_left: site.kinds[arrival.kind].turns,
            draw,
            asked: 0,
            server: None,
        });
        world.due.push(Reverse((arrival.at_us, LabEvent::Turn(number))));
    }
    while let Some(Reverse((at_us, event))) = world.due.pop() {
        world.now_us = at_us;
        match event {
            LabEvent::Turn(program) => world.ask(program),
            LabEvent::Step(engine) => world.end_step(engine),
        }
    }
    world.result
}

/// Lists engines under names whose order is that of their indexes.
fn directory_of(engines: usize) -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    for number in 0..engines {
        directory.upsert(BackendServer {
            name: format!("engine-{number:05}"),
            started_at_ms: None,
            service: "models".to_owned(),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1),
            failure_domain: "lab".to_owned(),
            capacity: 1,
            state: ServerState::Ready,
        });
    }
    directory
}

impl LabWorld<'_> {
    fn kind(&self, program: usize) -> &ProgramKind {
        &self.site.kinds[self.programs[program].kind]
    }

    fn work(&self, program: usize) -> TurnWork {
        let kind = self.kind(program);
        TurnWork {
            program,
            prompt_tokens: kind.prompt_tokens,
            output_tokens: kind.output_tokens,
            urgency: self.urgency(program),
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "positive, and times of a run are far below the range"
    )]
    fn aim_us(&self, program: usize) -> u64 {
        let kind = self.kind(program);
        let turn_us = self.site.engine.idle_us(self.work(program)) + kind.pause_us;
        let idle_us = u64::from(kind.turns) * turn_us;
        (idle_us as f64 * kind.aim_factor) as u64 + kind.aim_us
    }

    fn urgency(&self, program: usize) -> u32 {
        let state = &self.programs[program];
        let is_first = state.turns_left == self.kind(program).turns;
        match self.policy {
            LabPolicy::Stages => u32::from(is_first),
            LabPolicy::Open | LabPolicy::Bound(_) | LabPolicy::Admission => 0,
        }
    }

    fn is_refused(&self, program: usize) -> bool {
        let state = &self.programs[program];
        if state.turns_left != self.kind(program).turns {
            return false;
        }
        let load: usize = self.engines.iter().map(EngineQueue::load).sum();
        match self.policy {
            LabPolicy::Open | LabPolicy::Stages => false,
            LabPolicy::Bound(most) => load >= most as usize * self.engines.len(),
            LabPolicy::Admission => {
                let slots = self.site.engine.slots * self.engines.len();
                !admits_program(state.draw, load as u64, slots as u64)
            }
        }
    }

    /// Sends the next turn of a program to an engine, or refuses it.
    fn ask(&mut self, program: usize) {
        let waited_us = self.now_us - self.programs[program].begun_us;
        if waited_us > LATE_FACTOR * self.aim_us(program) {
            self.result.note_failed(self.programs[program].kind);
            return;
        }
        if self.is_refused(program) {
            self.result.refusals += 1;
            self.programs[program].asked += 1;
            if self.programs[program].asked >= MOST_ASKED {
                self.result.note_failed(self.programs[program].kind);
                return;
            }
            let at_us = self.now_us + self.draw.random_range(RETURN_US);
            self.due.push(Reverse((at_us, LabEvent::Turn(program))));
            return;
        }
        let state = &self.programs[program];
        let query = ServerQuery {
            service: "models",
            failure_domain: "lab",
            preferred: state.server.map(|(key, _)| key),
            tried: &[],
            draw: self.draw.random(),
            now_ms: self.now_us / 1_000,
        };
        let board = &mut self.boards[state.entry];
        let Some(pick) = choose_backend(&self.directory, board, &query) else {
            return;
        };
        board.begin(pick.key);
        let engine = pick.key.0 as usize;
        let key = pick.key;
        let work = self.work(program);
        self.programs[program].server = Some((key, engine));
        if self.engines[engine].push(work) {
            self.begin_step(engine);
        }
    }

    fn begin_step(&mut self, engine: usize) {
        if let Some(step_us) = self.engines[engine].begin_step(&self.site.engine) {
            let at_us = self.now_us + step_us;
            self.due.push(Reverse((at_us, LabEvent::Step(engine))));
        }
    }

    fn end_step(&mut self, engine: usize) {
        let finished = self.engines[engine].end_step();
        for program in finished.ended {
            self.end_turn(program);
        }
        self.begin_step(engine);
    }

    fn end_turn(&mut self, program: usize) {
        let aim_us = self.aim_us(program);
        let pause_us = self.kind(program).pause_us;
        let state = &mut self.programs[program];
        if let Some((key, _)) = state.server {
            self.boards[state.entry].end(key);
        }
        state.turns_left -= 1;
        if state.turns_left > 0 {
            let at_us = self.now_us + pause_us;
            self.due.push(Reverse((at_us, LabEvent::Turn(program))));
            return;
        }
        let taken_us = self.now_us - state.begun_us;
        self.result
            .note_ended(state.kind, state.begun_us, taken_us, aim_us, LATE_FACTOR);
    }
}
