//! Seeded workloads of the two deployments.

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use serde::Serialize;

use crate::engine::EngineSettings;
use crate::testbed::{BackendKind, BackendPlan, Deployment, KELANIMATCH_KEY, SALISH_KEY};

/// Number of engines of a deployment under load.
pub(super) const ENGINES: u64 = 4;
/// Limit of the number of turns of a program; the distribution itself has none.
const MAX_TURNS: u64 = 16;
/// Limit of the generated tokens of one turn, as the caller requests it.
pub(super) const MAX_TOKENS: u64 = 80;

/// Deployment whose workload is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum WorkloadKind {
    /// Kelanimatch: clerks who call throughout the day.
    Kelanimatch,
    /// Salish Hullworks: air windows, rotas and emergencies.
    Salish,
}

/// Share of an urgency class in the programs, and its deadline.
#[derive(Debug)]
struct ClassShare {
    percent: u64,
    urgency: &'static str,
    /// Deadline as a multiple of the program's time on idle engines; 0 for no deadline.
    deadline_factor: u64,
}

const KELANIMATCH_CLASSES: &[ClassShare] = &[
    ClassShare {
        percent: 20,
        urgency: "interactive",
        deadline_factor: 3,
    },
    ClassShare {
        percent: 70,
        urgency: "ordinary",
        deadline_factor: 8,
    },
    ClassShare {
        percent: 10,
        urgency: "background",
        deadline_factor: 0,
    },
];
const SALISH_CLASSES: &[ClassShare] = &[
    ClassShare {
        percent: 10,
        urgency: "emergency",
        deadline_factor: 2,
    },
    ClassShare {
        percent: 50,
        urgency: "interactive",
        deadline_factor: 3,
    },
    ClassShare {
        percent: 30,
        urgency: "ordinary",
        deadline_factor: 8,
    },
    ClassShare {
        percent: 10,
        urgency: "background",
        deadline_factor: 0,
    },
];

/// Plan of one turn of a program.
#[derive(Debug, Clone, Copy)]
pub(super) struct TurnPlan {
    /// Number of words in the new message.
    pub(super) words: u64,
    /// Number of tokens in the answer.
    pub(super) tokens: u64,
    /// Pause after the turn in milliseconds, which stands for the time of tools.
    pub(super) pause_ms: u64,
    /// Whether a sub-agent with two turns runs before the pause.
    pub(super) sub_agent: bool,
}

/// Plan of one program.
#[derive(Debug, Clone)]
pub(super) struct ProgramPlan {
    /// Arrival in milliseconds after the start of the run.
    pub(super) arrival_ms: u64,
    /// Urgency class.
    pub(super) urgency: &'static str,
    /// Deadline in milliseconds after the program's start; `None` for no deadline.
    pub(super) deadline_ms: Option<u64>,
    /// Turns in their order.
    pub(super) turns: Vec<TurnPlan>,
}

impl WorkloadKind {
    /// Returns the deployment with the given number of engines, which take about 14 ms for a token at full
    /// batches.
    pub(super) fn deployment(self, engines: u64) -> Deployment {
        let (mut deployment, service) = match self {
            Self::Kelanimatch => (Deployment::kelanimatch(), "matcher"),
            Self::Salish => (Deployment::salish(), "surveyor"),
        };
        let domains: Vec<String> = deployment
            .entries
            .iter()
            .map(|plan| plan.failure_domain.clone())
            .collect();
        deployment.backends.retain(|plan| plan.service != service);
        let fencing = self == Self::Salish;
        for number in 1..=engines {
            let domain = &domains[usize::try_from(number).unwrap_or(0) % domains.len()];
            let engine = BackendKind::Engine(engine_settings(fencing));
            let plan = BackendPlan::new(&format!("{service}-{number}"), domain, service, engine);
            deployment.backends.push(plan);
        }
        deployment
    }

    /// Returns the name of the model service.
    pub(super) const fn model(self) -> &'static str {
        match self {
            Self::Kelanimatch => "matcher",
            Self::Salish => "surveyor",
        }
    }

    /// Returns the team's API key.
    pub(super) const fn team_key(self) -> &'static str {
        match self {
            Self::Kelanimatch => KELANIMATCH_KEY,
            Self::Salish => SALISH_KEY,
        }
    }

    /// Returns the names of the engines' hosts.
    pub(super) fn engine_hosts(self) -> Vec<String> {
        let model = self.model();
        (1..=ENGINES).map(|number| format!("{model}-{number}")).collect()
    }

    /// Returns the programs that arrive within `seconds` at a load in percent of the engines' capacity; the
    /// same seed gives the same programs.
    pub(super) fn plan_programs(self, load_percent: u64, seconds: u64, seed: u64) -> Vec<ProgramPlan> {
        let mut generator = StdRng::seed_from_u64(seed);
        let end_ms = seconds * 1_000;
        let mut plans = Vec::new();
        let mut arrival_ms = 0;
        loop {
            let plan = self.plan_program(arrival_ms, &mut generator);
            // The mean interval to the next arrival is the program's engine time divided by the requested
            // part of the capacity of all engines.
            let interval_ms = plan.engine_ms() * 100 / (load_percent * ENGINES);
            plans.push(plan);
            arrival_ms += draw_exponential(interval_ms, &mut generator);
            if arrival_ms >= end_ms {
                return plans;
            }
        }
    }

    fn plan_program(self, arrival_ms: u64, generator: &mut StdRng) -> ProgramPlan {
        let mut turns = Vec::new();
        while turns.is_empty() || (turns.len() as u64) < MAX_TURNS && generator.random_ratio(4, 5) {
            turns.push(TurnPlan {
                words: generator.random_range(20..=300),
                tokens: generator.random_range(10..=60),
                pause_ms: draw_exponential(200, generator).min(2_000),
                sub_agent: generator.random_ratio(1, 20),
            });
        }
        let classes = match self {
            Self::Kelanimatch => KELANIMATCH_CLASSES,
            Self::Salish => SALISH_CLASSES,
        };
        let mut point = generator.random_range(0..100);
        let drawn = classes.iter().find(|class| {
            let hit = point < class.percent;
            point = point.saturating_sub(class.percent);
            hit
        });
        let class = drawn.unwrap_or(&classes[0]);
        let mut plan = ProgramPlan {
            arrival_ms,
            urgency: class.urgency,
            deadline_ms: None,
            turns,
        };
        let deadline_ms = plan.idle_ms() * class.deadline_factor;
        plan.deadline_ms = (deadline_ms > 0).then_some(deadline_ms);
        plan
    }
}

impl ProgramPlan {
    /// Returns the time in milliseconds for which the program occupies all of one engine at full batches.
    ///
    /// A token takes 14 ms in a batch of 8 requests, and a word of the prompt 1/20 ms, see
    /// [`engine_settings`].
    fn engine_ms(&self) -> u64 {
        let tokens: u64 = self.all_turns().map(|turn| turn.tokens).sum();
        let words: u64 = self.all_turns().map(|turn| turn.words).sum();
        tokens * 14 / 8 + words / 20
    }

    /// Returns the time in milliseconds that the program takes on idle engines.
    ///
    /// A token takes 11 ms, a word of the prompt 1/20 ms, and each turn its pause and 50 ms.
    fn idle_ms(&self) -> u64 {
        let turn_ms = |turn: TurnPlan| turn.tokens * 11 + turn.words / 20 + turn.pause_ms + 50;
        self.all_turns().map(turn_ms).sum()
    }

    /// Returns the turns of the program and of its sub-agents. Both turns of a sub-agent equal the turn that
    /// starts it.
    fn all_turns(&self) -> impl Iterator<Item = TurnPlan> {
        let counted = |turn: &TurnPlan| std::iter::repeat_n(*turn, if turn.sub_agent { 3 } else { 1 });
        self.turns.iter().flat_map(counted)
    }
}

fn engine_settings(check_fencing: bool) -> EngineSettings {
    EngineSettings {
        capacity: 8,
        step_us: 10_000,
        decode_us: 500,
        prefill_us: 50,
        cache_tokens: 20_000,
        load_lag_ms: 200,
        event_lag_ms: 200,
        event_gap: 5,
        check_fencing,
        ..EngineSettings::default()
    }
}

/// Draws from an exponential distribution with the mean `mean_ms`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "milliseconds of a test run are small and positive"
)]
fn draw_exponential(mean_ms: u64, generator: &mut StdRng) -> u64 {
    let uniform: f64 = generator.random_range(f64::EPSILON..1.0);
    (-uniform.ln() * mean_ms as f64) as u64
}
