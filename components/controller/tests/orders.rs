//! Tests of orders in consecutive terms, sent to in-memory agents that refuse earlier terms as the real
//! agents do.

use std::time::Duration;

use controller::{AgentStatus, EngineAction, OrderPlanner, OrderTarget, OrderTiming};
use domain::{ClusterConfiguration, ModelState};
use errors::{CallError, ResultCode};
use googletest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use tokio::time::Instant;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const LOAD_HEARTBEATS: u32 = 8;
const SEED: u64 = 20_261_203;
const TIMING: OrderTiming = OrderTiming {
    first_backoff: Duration::from_secs(1),
    heartbeat_delay: HEARTBEAT_INTERVAL,
    surplus_hold: Duration::from_secs(30),
};

/// Agent with its engine.
struct FakeAgent {
    facts: AgentStatus,
    largest_term: u64,
    load_left: u32,
    /// Number of loads that the weight store refuses before it accepts one.
    store_busy: u32,
}

struct FakeFleet {
    agents: Vec<FakeAgent>,
    configuration: ClusterConfiguration,
    now: Instant,
    generator: SmallRng,
    max_loads: usize,
    refused_loads: Vec<Instant>,
}

impl FakeFleet {
    fn new(replicas: u32, models: &[ModelState]) -> Self {
        println!("seed {SEED}");
        let text = include_str!("fixtures/cluster.ini").replace("REPLICAS", &replicas.to_string());
        let now = Instant::now();
        let agents = models.iter().enumerate().map(|(index, model)| FakeAgent {
            facts: AgentStatus {
                target: OrderTarget {
                    host: format!("matcher-{index}").parse().unwrap(),
                    start: index as u64,
                },
                service: "matcher".parse().unwrap(),
                failure_domain: ["a", "b", "c"][index % 3].parse().unwrap(),
                model: *model,
                healthy: true,
                leaving: false,
                calls: 0,
                received_at: now,
            },
            largest_term: 0,
            load_left: 0,
            store_busy: 0,
        });
        Self {
            agents: agents.collect(),
            configuration: config::parse_configuration(&text).unwrap(),
            now,
            generator: SmallRng::seed_from_u64(SEED),
            max_loads: 0,
            refused_loads: Vec::new(),
        }
    }

    fn apply(
        &mut self,
        target: &OrderTarget,
        action: &EngineAction,
        term: u64,
    ) -> std::result::Result<(), CallError> {
        let agent = self.agents.iter_mut().find(|agent| agent.facts.target == *target);
        let agent = agent.ok_or_else(|| CallError::not_run(ResultCode::AgentRestarted, "restarted"))?;
        if term < agent.largest_term {
            return Err(CallError::not_run(ResultCode::StaleTenure, "an older term"));
        }
        agent.largest_term = term;
        match action {
            EngineAction::Announce => {}
            EngineAction::Load(_) if agent.store_busy > 0 => {
                agent.store_busy -= 1;
                self.refused_loads.push(self.now);
                return Err(CallError::not_run(
                    ResultCode::QueueFull,
                    "the weight store is busy",
                ));
            }
            EngineAction::Load(_) => {
                agent.facts.model = ModelState::Loading;
                agent.load_left = LOAD_HEARTBEATS;
            }
            EngineAction::Unload(_) => agent.facts.model = ModelState::Absent,
        }
        Ok(())
    }

    /// Advances the time by one heartbeat interval and applies the orders that the controller then sends.
    fn advance(&mut self, planner: &mut OrderPlanner) -> Vec<(OrderTarget, EngineAction)> {
        self.now += HEARTBEAT_INTERVAL;
        for agent in &mut self.agents {
            agent.facts.received_at = self.now;
            if agent.facts.model == ModelState::Loading {
                agent.load_left -= 1;
                if agent.load_left == 0 {
                    agent.facts.model = ModelState::Loaded;
                }
            }
        }
        let facts: Vec<_> = self.agents.iter().map(|agent| agent.facts.clone()).collect();
        let orders = planner.next_orders(&self.configuration, &facts, self.now);
        for (target, action) in &orders {
            let answer = self.apply(target, action, planner.term());
            planner.handle_answer(target, action, &answer, self.now, &mut self.generator);
        }
        let loading = self
            .agents
            .iter()
            .filter(|agent| agent.facts.model == ModelState::Loading);
        self.max_loads = self.max_loads.max(loading.count());
        orders
    }

    fn advance_by(&mut self, planner: &mut OrderPlanner, count: u32) {
        for _ in 0..count {
            self.advance(planner);
        }
    }

    fn states(&self) -> Vec<ModelState> {
        self.agents.iter().map(|agent| agent.facts.model).collect()
    }

    fn serving(&self) -> usize {
        let serves = |agent: &&FakeAgent| agent.facts.healthy && agent.facts.model.is_serving();
        self.agents.iter().filter(serves).count()
    }
}

use ModelState::{Absent, Loaded};

#[gtest]
fn an_order_of_an_earlier_term_is_refused_once_the_next_term_is_announced() {
    let mut fleet = FakeFleet::new(1, &[Absent]);
    let mut frozen = OrderPlanner::new(1, TIMING);
    fleet.advance(&mut frozen);
    let facts = [fleet.agents[0].facts.clone()];
    let delayed = frozen.next_orders(&fleet.configuration, &facts, fleet.now);
    expect_that!(delayed, len(eq(1)));
    let mut next = OrderPlanner::new(2, TIMING);
    fleet.advance(&mut next);
    for (target, action) in delayed {
        let answer = fleet.apply(&target, &action, 1);
        expect_true!(OrderPlanner::is_superseded(&answer));
    }
    expect_that!(fleet.agents[0].largest_term, eq(2));
}

#[gtest]
fn an_order_that_arrives_before_the_announcement_counts_against_the_limit() {
    let mut fleet = FakeFleet::new(4, &[Absent; 4]);
    let mut frozen = OrderPlanner::new(1, TIMING);
    fleet.advance(&mut frozen);
    let facts: Vec<_> = fleet.agents.iter().map(|agent| agent.facts.clone()).collect();
    let delayed = frozen.next_orders(&fleet.configuration, &facts, fleet.now);
    expect_that!(delayed, len(eq(2)));
    let mut next = OrderPlanner::new(2, TIMING);
    // The next controller cannot reach the agents yet, so the agents still accept the delayed orders.
    let unsent = next.next_orders(&fleet.configuration, &facts, fleet.now);
    expect_true!(unsent.iter().all(|(_, action)| *action == EngineAction::Announce));
    for (target, action) in delayed {
        expect_that!(fleet.apply(&target, &action, 1), ok(anything()));
    }
    fleet.advance_by(&mut next, LOAD_HEARTBEATS * 4);
    expect_that!(fleet.states(), eq(&vec![Loaded; 4]));
    expect_that!(fleet.max_loads, eq(2));
}

#[gtest]
fn a_heartbeat_from_before_an_answer_orders_no_second_load() {
    let mut fleet = FakeFleet::new(1, &[Absent, Absent]);
    let mut planner = OrderPlanner::new(1, TIMING);
    fleet.advance_by(&mut planner, 1);
    let before: Vec<_> = fleet.agents.iter().map(|agent| agent.facts.clone()).collect();
    fleet.advance_by(&mut planner, 1);
    expect_that!(fleet.states(), eq(&vec![ModelState::Loading, Absent]));
    let orders = planner.next_orders(&fleet.configuration, &before, fleet.now);
    expect_that!(orders, is_empty());
}

#[gtest]
fn a_dead_servers_replica_is_replaced_and_one_surplus_replica_is_unloaded_after_it_returns() {
    let mut fleet = FakeFleet::new(2, &[Loaded, Loaded, Absent]);
    let mut planner = OrderPlanner::new(1, TIMING);
    fleet.advance_by(&mut planner, 4);
    expect_that!(fleet.states(), eq(&vec![Loaded, Loaded, Absent]));
    fleet.agents[1].facts.healthy = false;
    fleet.advance_by(&mut planner, LOAD_HEARTBEATS + 4);
    expect_that!(fleet.serving(), eq(2));
    fleet.agents[1].facts.healthy = true;
    let mut unloads = 0;
    for _ in 0..200 {
        let orders = fleet.advance(&mut planner);
        let unloaded = orders
            .iter()
            .filter(|(_, action)| matches!(action, EngineAction::Unload(_)));
        unloads += unloaded.count();
        expect_that!(fleet.serving(), ge(2));
    }
    expect_that!(unloads, eq(1));
    expect_that!(fleet.serving(), eq(2));
}

#[gtest]
fn a_flapping_server_causes_no_loads_or_unloads() {
    let mut fleet = FakeFleet::new(2, &[Loaded, Loaded, Loaded]);
    let mut planner = OrderPlanner::new(1, TIMING);
    for round in 0..200 {
        fleet.agents[2].facts.healthy = round % 40 < 20;
        for (_, action) in fleet.advance(&mut planner) {
            expect_that!(action, eq(&EngineAction::Announce));
        }
    }
}

#[gtest]
fn loads_refused_by_a_busy_weight_store_are_retried_with_backoff() {
    let mut fleet = FakeFleet::new(1, &[Absent]);
    fleet.agents[0].store_busy = 5;
    let mut planner = OrderPlanner::new(1, TIMING);
    fleet.advance_by(&mut planner, 100);
    expect_that!(fleet.serving(), eq(1));
    let gaps: Vec<_> = fleet
        .refused_loads
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    println!("gaps {gaps:?}");
    for (index, gap) in gaps.iter().enumerate() {
        expect_that!(*gap, ge(TIMING.first_backoff * (1 << index) / 2));
    }
}
