//! Plans the next orders to agents from the configuration, the heartbeats and the answers to earlier orders.

use std::time::Duration;

use domain::{
    ClusterConfiguration, FailureDomain, HostName, ModelState, ServiceConfig, ServiceKind, ServiceName,
};
use errors::{CallError, ResultCode, RunState};
use policy::{EngineView, PlacementLimits, PlacementOrder, ServiceDemand, place_models};
use rand::{Rng, RngExt as _};
use tokio::time::Instant;

/// Upper bound of the backoff, as a multiple of the first one.
const MAX_BACKOFF_FACTOR: u32 = 16;

/// Status of one agent, from its latest heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentStatus {
    /// Host and start of the agent, to which orders are addressed.
    pub target: OrderTarget,
    /// Service whose model the agent's engine can load.
    pub service: ServiceName,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// State of the service's model at the engine.
    pub model: ModelState,
    /// Whether heartbeats arrive and the engine answers the agent.
    pub healthy: bool,
    /// Whether the host is leaving the fleet.
    pub leaving: bool,
    /// Number of calls that wait or run.
    pub calls: u32,
    /// Time at which the heartbeat arrived.
    pub received_at: Instant,
}

/// One start of the agent on a host. An order reaches only the process to which it is addressed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderTarget {
    /// Host of the agent.
    pub host: HostName,
    /// Random number that the agent draws when it starts.
    pub start: u64,
}

/// Order to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineAction {
    /// Refuse orders with smaller terms from now on.
    Announce,
    /// Load the model of the service.
    Load(ServiceName),
    /// Unload the model of the service.
    Unload(ServiceName),
}

/// Delays that the planner applies to orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderTiming {
    /// Delay after the first failed order, shortened at random by up to half. Doubles with each further
    /// failure.
    pub first_backoff: Duration,
    /// Time after an answer during which a heartbeat may still report the state from before the order.
    pub heartbeat_delay: Duration,
    /// Time for which a service must have surplus replicas before a model is unloaded.
    pub surplus_hold: Duration,
}

/// State of the orders to one agent process.
#[derive(Debug, Clone)]
struct TargetState {
    target: OrderTarget,
    /// Whether the agent has acknowledged the term.
    announced: bool,
    /// Model state that the latest order leads to and the time of its answer. It replaces the reported state
    /// until a heartbeat arrives more than `heartbeat_delay` after the answer.
    expected: Option<(ModelState, Instant)>,
    /// Time until which no order is sent and the delay that led to it.
    backoff: Option<(Instant, Duration)>,
}

/// Plans the orders of one term of the lease.
#[derive(Debug)]
pub struct OrderPlanner {
    term: u64,
    timing: OrderTiming,
    targets: Vec<TargetState>,
    /// Services with surplus replicas and the time since which they have them.
    surplus: Vec<(ServiceName, Instant)>,
}

impl OrderPlanner {
    /// Creates the planner of a term that was not announced to any agent yet.
    pub const fn new(term: u64, timing: OrderTiming) -> Self {
        Self {
            term,
            timing,
            targets: Vec::new(),
            surplus: Vec::new(),
        }
    }

    /// Returns the term of the lease under which the orders are sent.
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Returns the orders to send now, at most one for each agent.
    pub fn next_orders(
        &mut self,
        configuration: &ClusterConfiguration,
        agents: &[AgentStatus],
        now: Instant,
    ) -> Vec<(OrderTarget, EngineAction)> {
        let services: Vec<_> = configuration
            .services
            .iter()
            .filter(|service| service.kind == ServiceKind::Model)
            .collect();
        let index_of = |name: &ServiceName| services.iter().position(|service| service.name == *name);
        let agents: Vec<_> = agents
            .iter()
            .filter_map(|agent| Some((agent, index_of(&agent.service)?)))
            .collect();
        self.targets
            .retain(|state| agents.iter().any(|(agent, _)| agent.target == state.target));
        let views: Vec<_> = agents
            .iter()
            .enumerate()
            .map(|(key, (agent, service))| self.view(key, agent, *service, now))
            .collect();
        let demands = self.demands(&services, &views, now);
        let limits = PlacementLimits {
            loads_in_progress: configuration.loads_in_progress,
            surplus_hold_ms: millis(self.timing.surplus_hold),
        };
        let unannounced = views
            .iter()
            .filter(|view| !view.fenced && !view.backing_off && view.model != ModelState::Fixed);
        let mut orders: Vec<_> = unannounced
            .map(|view| (agent_at(&agents, view.key).target.clone(), EngineAction::Announce))
            .collect();
        orders.extend(place_models(&demands, &views, &limits).into_iter().map(|order| {
            let (PlacementOrder::Load(key) | PlacementOrder::Unload(key)) = order;
            let agent = agent_at(&agents, key);
            let action = match order {
                PlacementOrder::Load(_) => EngineAction::Load(agent.service.clone()),
                PlacementOrder::Unload(_) => EngineAction::Unload(agent.service.clone()),
            };
            (agent.target.clone(), action)
        }));
        orders
    }

    fn demands<'a>(
        &mut self,
        services: &[&'a ServiceConfig],
        views: &[EngineView<'_>],
        now: Instant,
    ) -> Vec<ServiceDemand<'a>> {
        let demand_of = |(index, service): (usize, &&'a ServiceConfig)| {
            let mut demand = ServiceDemand {
                replicas: service.replicas,
                failure_domains: &service.failure_domains,
                surplus_ms: 0,
            };
            let has_surplus = demand.has_surplus(index, views);
            demand.surplus_ms = millis(self.track_surplus(&service.name, has_surplus, now));
            demand
        };
        services.iter().enumerate().map(demand_of).collect()
    }

    /// Records the answer to an order, which decides the expected model state and the backoff of the agent.
    pub fn handle_answer(
        &mut self,
        target: &OrderTarget,
        action: &EngineAction,
        answer: &Result<(), CallError>,
        now: Instant,
        generator: &mut impl Rng,
    ) {
        let first_backoff = self.timing.first_backoff;
        if let (EngineAction::Unload(service), Ok(())) = (action, answer) {
            self.surplus.retain(|(name, _)| name != service);
        }
        let state = self.state_mut(target);
        let refused = answer
            .as_ref()
            .is_err_and(|error| error.run != RunState::OutcomeUnknown);
        match (action, answer) {
            (EngineAction::Announce, Ok(())) => state.announced = true,
            (EngineAction::Load(_), _) if !refused => state.expected = Some((ModelState::Loading, now)),
            (EngineAction::Unload(_), _) if !refused => state.expected = Some((ModelState::Absent, now)),
            _ => {}
        }
        state.backoff = answer.is_err().then(|| {
            let earlier = state.backoff.map(|(_, delay)| delay * 2);
            let longest = first_backoff * MAX_BACKOFF_FACTOR;
            let delay = earlier.unwrap_or(first_backoff).min(longest);
            (now + delay.mul_f64(generator.random_range(0.5..1.0)), delay)
        });
    }

    /// Returns whether an answer shows that another controller has a later term.
    pub fn is_superseded(answer: &Result<(), CallError>) -> bool {
        answer
            .as_ref()
            .is_err_and(|error| error.code == ResultCode::StaleTenure)
    }

    fn view<'a>(&self, key: usize, agent: &'a AgentStatus, service: usize, now: Instant) -> EngineView<'a> {
        let state = self.targets.iter().find(|state| state.target == agent.target);
        let expected = state.and_then(|state| state.expected);
        let expected =
            expected.filter(|(_, answered)| agent.received_at <= *answered + self.timing.heartbeat_delay);
        EngineView {
            key: u32::try_from(key).unwrap_or(u32::MAX),
            service,
            failure_domain: &agent.failure_domain,
            model: expected.map_or(agent.model, |(model, _)| model),
            healthy: agent.healthy,
            leaving: agent.leaving,
            fenced: state.is_some_and(|state| state.announced),
            backing_off: state.is_some_and(|state| state.backoff.is_some_and(|(until, _)| now < until)),
            calls: agent.calls,
        }
    }

    fn track_surplus(&mut self, service: &ServiceName, has_surplus: bool, now: Instant) -> Duration {
        let found = self.surplus.iter().position(|(name, _)| name == service);
        match (found, has_surplus) {
            (Some(index), true) => now.duration_since(self.surplus[index].1),
            (Some(index), false) => {
                self.surplus.swap_remove(index);
                Duration::ZERO
            }
            (None, true) => {
                self.surplus.push((service.clone(), now));
                Duration::ZERO
            }
            (None, false) => Duration::ZERO,
        }
    }

    fn state_mut(&mut self, target: &OrderTarget) -> &mut TargetState {
        let index = match self.targets.binary_search_by(|state| state.target.cmp(target)) {
            Ok(index) => index,
            Err(index) => {
                let state = TargetState {
                    target: target.clone(),
                    announced: false,
                    expected: None,
                    backoff: None,
                };
                self.targets.insert(index, state);
                index
            }
        };
        &mut self.targets[index]
    }
}

fn agent_at<'a>(agents: &[(&'a AgentStatus, usize)], key: u32) -> &'a AgentStatus {
    agents[usize::try_from(key).unwrap_or(usize::MAX)].0
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
