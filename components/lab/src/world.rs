//! Discrete-event simulation of one policy.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use routing::{
    AdmissionControl, BackendServer, EngineLoad, LoadTracker, ServerDirectory, ServerKey, ServerQuery,
    ServerState, choose_backend,
};
use serde::{Deserialize, Serialize};

use crate::engine::{EngineQueue, TurnWork};
use crate::report::PolicyResult;
use crate::site::{ProgramKind, SiteModel};
use crate::workload::Arrival;

/// Range in microseconds from which the Retry-After delay of a refused program is drawn.
const RETRY_DELAY_US: std::ops::Range<u64> = 600_000..1_300_000;
/// Number of attempts for the first turn after which a refused program counts as failed.
const MAX_ATTEMPTS: u32 = 6;
/// A program that takes longer than this multiple of its aim counts as failed.
const LATE_FACTOR: u64 = 2;

/// Policy for more programs than the engines can serve.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LabPolicy {
    /// No admission control: every turn is sent to an engine immediately.
    Open,
    /// Waiting turns of programs in progress go before the first turns of new programs.
    Stages,
    /// New programs are refused while the engines have on average at least this many running and waiting
    /// turns. This models entries that have the exact load of all engines.
    Bound(u32),
    /// Admission control of the gateway, for entries that have the exact load of all engines.
    Admission,
}

/// Event at a point in simulated time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LabEvent {
    /// The program with this index submits its next turn.
    Turn(usize),
    /// The engine with this index ends a step.
    Step(usize),
}

#[derive(Debug, Clone, Copy)]
struct ProgramState {
    kind: usize,
    entry: usize,
    started_at_us: u64,
    turns_left: u32,
    /// Random number that stays the same for all admission decisions on the program.
    draw: u32,
    attempts: u32,
    server: Option<(ServerKey, usize)>,
}

struct LabSimulation<'a> {
    site: &'a SiteModel,
    policy: LabPolicy,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, LabEvent)>>,
    directory: ServerDirectory,
    load_trackers: Vec<LoadTracker>,
    /// Admission control of each entry.
    controls: Vec<AdmissionControl>,
    engines: Vec<EngineQueue>,
    programs: Vec<ProgramState>,
    rng: StdRng,
    result: PolicyResult,
}

/// Simulates the arriving programs under a policy until each has ended or failed.
pub fn run_policy(site: &SiteModel, arrivals: &[Arrival], policy: LabPolicy, seed: u64) -> PolicyResult {
    let mut simulation = LabSimulation {
        site,
        policy,
        now_us: 0,
        events: BinaryHeap::new(),
        directory: directory_of(site.engines),
        load_trackers: (0..site.entries).map(|_| LoadTracker::default()).collect(),
        controls: vec![AdmissionControl::default(); site.entries],
        engines: vec![EngineQueue::default(); site.engines],
        programs: Vec::new(),
        rng: StdRng::seed_from_u64(seed),
        result: PolicyResult::new(policy, site),
    };
    for (number, arrival) in arrivals.iter().enumerate() {
        let draw = simulation.rng.random();
        simulation.programs.push(ProgramState {
            kind: arrival.kind,
            entry: arrival.entry,
            started_at_us: arrival.at_us,
            turns_left: site.kinds[arrival.kind].turns,
            draw,
            attempts: 0,
            server: None,
        });
        simulation
            .events
            .push(Reverse((arrival.at_us, LabEvent::Turn(number))));
    }
    while let Some(Reverse((at_us, event))) = simulation.events.pop() {
        simulation.now_us = at_us;
        match event {
            LabEvent::Turn(program) => simulation.submit_turn(program),
            LabEvent::Step(engine) => simulation.end_step(engine),
        }
    }
    simulation.result
}

/// Returns a directory of engines whose names sort in the order of their indexes.
fn directory_of(engines: usize) -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    for number in 0..engines {
        directory.upsert(BackendServer {
            name: format!("engine-{number:05}"),
            started_at_ms: None,
            service: "models".to_owned(),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1),
            failure_domain: "lab".to_owned(),
            software_version: "v1".to_owned(),
            capacity: 1,
            state: ServerState::Ready,
        });
    }
    directory
}

impl LabSimulation<'_> {
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
        let turn_us = self.site.engine.unloaded_turn_us(self.work(program)) + kind.pause_us;
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

    fn is_refused(&mut self, program: usize) -> bool {
        let ends_at_us = self.programs[program].started_at_us + self.aim_us(program);
        let left_ms = ends_at_us.saturating_sub(self.now_us) / 1_000;
        let is_first = self.programs[program].turns_left == self.kind(program).turns;
        let load: usize = self.engines.iter().map(EngineQueue::load).sum();
        match self.policy {
            LabPolicy::Open | LabPolicy::Stages => false,
            LabPolicy::Bound(limit) => is_first && load >= limit as usize * self.engines.len(),
            LabPolicy::Admission => {
                let load = EngineLoad {
                    open_turns: load as u64,
                    slots: (self.site.engine.slots * self.engines.len()) as u64,
                    engines: self.engines.len() as u64,
                };
                let state = &self.programs[program];
                let control = &mut self.controls[state.entry];
                control.observe(load, self.now_us / 1_000);
                is_first && control.admit(state.draw, Some(left_ms), load).is_err()
            }
        }
    }

    /// Sends the next turn of a program to an engine, or refuses it and schedules the retry.
    fn submit_turn(&mut self, program: usize) {
        let elapsed_us = self.now_us - self.programs[program].started_at_us;
        if elapsed_us > LATE_FACTOR * self.aim_us(program) {
            self.result.record_failed(self.programs[program].kind);
            return;
        }
        if self.is_refused(program) {
            self.result.refusals += 1;
            self.programs[program].attempts += 1;
            if self.programs[program].attempts >= MAX_ATTEMPTS {
                self.result.record_failed(self.programs[program].kind);
                return;
            }
            let at_us = self.now_us + self.rng.random_range(RETRY_DELAY_US);
            self.events.push(Reverse((at_us, LabEvent::Turn(program))));
            return;
        }
        let state = &self.programs[program];
        let query = ServerQuery {
            prompt: None,
            service: "models",
            failure_domain: "lab",
            preferred: state.server.map(|(key, _)| key),
            tried: &[],
            build: None,
            limits: None,
            memory: None,
            risks: &[],
            left_ms: 0,
            draw: self.rng.random(),
            now_ms: self.now_us / 1_000,
        };
        let load_tracker = &mut self.load_trackers[state.entry];
        let Some(pick) = choose_backend(&self.directory, load_tracker, &query) else {
            return;
        };
        load_tracker.begin(pick.key);
        let engine = pick.key.0 as usize;
        let key = pick.key;
        let work = self.work(program);
        self.programs[program].server = Some((key, engine));
        if self.engines[engine].push(work) {
            self.start_step(engine);
        }
    }

    fn start_step(&mut self, engine: usize) {
        if let Some(step_us) = self.engines[engine].start_step(&self.site.engine) {
            let at_us = self.now_us + step_us;
            self.events.push(Reverse((at_us, LabEvent::Step(engine))));
        }
    }

    fn end_step(&mut self, engine: usize) {
        let finished = self.engines[engine].end_step();
        for program in finished.ended {
            self.end_turn(program);
        }
        self.start_step(engine);
    }

    fn end_turn(&mut self, program: usize) {
        let aim_us = self.aim_us(program);
        let pause_us = self.kind(program).pause_us;
        let state = &mut self.programs[program];
        if let Some((key, _)) = state.server {
            self.load_trackers[state.entry].end(key);
        }
        state.turns_left -= 1;
        if state.turns_left > 0 {
            let at_us = self.now_us + pause_us;
            self.events.push(Reverse((at_us, LabEvent::Turn(program))));
            return;
        }
        let duration_us = self.now_us - state.started_at_us;
        self.result
            .record_finished(state.kind, state.started_at_us, duration_us, aim_us, LATE_FACTOR);
    }
}
