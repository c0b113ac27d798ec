//! The orders under way and what follows next from the configuration and the heartbeats.

use std::time::Duration;

use domain::{
    ClusterConfiguration, FailureDomain, HostName, ModelState, ServiceConfig, ServiceKind, ServiceName,
};
use errors::{CallError, ResultCode, RunState};
use policy::{EngineView, PlacementLimits, PlacementOrder, ServiceDemand, place_models};
use rand::{Rng, RngExt as _};
use tokio::time::Instant;

const LONGEST_BACKOFF_FACTOR: u32 = 16;

/// What the heartbeats tell of one agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentStatus {
    /// Host and start.
    pub target: OrderTarget,
    /// Service.
    pub service: ServiceName,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// State of the service's model at the engine.
    pub model: ModelState,
    /// Whether the agent is heard and its engine answers it.
    pub healthy: bool,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// Calls that wait or run.
    pub calls: u32,
    /// Arrival of the heartbeat.
    pub received_at: Instant,
}

/// One start of an agent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderTarget {
    /// Host.
    pub host: HostName,
    /// Start of the agent.
    pub start: u64,
}

/// An order to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineAction {
    /// Refuse smaller terms from now on.
    Announce,
    /// Load the model of the service.
    Load(ServiceName),
    /// Unload the model of the service.
    Unload(ServiceName),
}

/// Timing of the orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderTiming {
    /// First wait after a refused order.
    pub first_backoff: Duration,
    /// Time after an answer in which heartbeats may still tell of the time before it.
    pub heartbeat_delay: Duration,
    /// Time for which a surplus must have lasted before a model is unloaded.
    pub surplus_hold: Duration,
}

/// What the book keeps of one agent's start.
#[derive(Debug, Clone)]
struct TargetPage {
    target: OrderTarget,
    announced: bool,
    /// State of the model that an order leads to, until a heartbeat from after its answer.
    expected: Option<(ModelState, Instant)>,
    backoff: Option<(Instant, Duration)>,
}

/// Orders of one term.
#[derive(Debug)]
pub struct OrderPlanner {
    term: u64,
    timing: OrderTiming,
    pages: Vec<TargetPage>,
    surplus: Vec<(ServiceName, Instant)>,
}

impl OrderPlanner {
    /// Starts the book of a term: no agent has heard of it yet.
    pub const fn new(term: u64, timing: OrderTiming) -> Self {
        Self {
            term,
            timing,
            pages: Vec::new(),
            surplus: Vec::new(),
        }
    }

    /// Returns the term.
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Returns what to send now, at most one order to an agent.
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
        self.pages
            .retain(|page| agents.iter().any(|(agent, _)| agent.target == page.target));
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
        let unaware = views
            .iter()
            .filter(|view| !view.fenced && !view.backing_off && view.model != ModelState::Fixed);
        let mut orders: Vec<_> = unaware
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

    /// Notes the answer to an order.
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
        let page = self.page_mut(target);
        let refused = answer
            .as_ref()
            .is_err_and(|error| error.run != RunState::OutcomeUnknown);
        match (action, answer) {
            (EngineAction::Announce, Ok(())) => page.announced = true,
            (EngineAction::Load(_), _) if !refused => page.expected = Some((ModelState::Loading, now)),
            (EngineAction::Unload(_), _) if !refused => page.expected = Some((ModelState::Absent, now)),
            _ => {}
        }
        page.backoff = answer.is_err().then(|| {
            let earlier = page.backoff.map(|(_, delay)| delay * 2);
            let longest = first_backoff * LONGEST_BACKOFF_FACTOR;
            let delay = earlier.unwrap_or(first_backoff).min(longest);
            (now + delay.mul_f64(generator.random_range(0.5..1.0)), delay)
        });
    }

    /// Tells whether an answer shows that another controller has a later term.
    pub fn is_superseded(answer: &Result<(), CallError>) -> bool {
        answer
            .as_ref()
            .is_err_and(|error| error.code == ResultCode::StaleTenure)
    }

    fn view<'a>(&self, key: usize, agent: &'a AgentStatus, service: usize, now: Instant) -> EngineView<'a> {
        let page = self.pages.iter().find(|page| page.target == agent.target);
        let expected = page.and_then(|page| page.expected);
        let expected =
            expected.filter(|(_, answered)| agent.received_at <= *answered + self.timing.heartbeat_delay);
        EngineView {
            key: u32::try_from(key).unwrap_or(u32::MAX),
            service,
            failure_domain: &agent.failure_domain,
            model: expected.map_or(agent.model, |(model, _)| model),
            healthy: agent.healthy,
            leaving: agent.leaving,
            fenced: page.is_some_and(|page| page.announced),
            backing_off: page.is_some_and(|page| page.backoff.is_some_and(|(until, _)| now < until)),
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

    fn page_mut(&mut self, target: &OrderTarget) -> &mut TargetPage {
        let index = match self.pages.binary_search_by(|page| page.target.cmp(target)) {
            Ok(index) => index,
            Err(index) => {
                let page = TargetPage {
                    target: target.clone(),
                    announced: false,
                    expected: None,
                    backoff: None,
                };
                self.pages.insert(index, page);
                index
            }
        };
        &mut self.pages[index]
    }
}

fn agent_at<'a>(agents: &[(&'a AgentStatus, usize)], key: u32) -> &'a AgentStatus {
    agents[usize::try_from(key).unwrap_or(usize::MAX)].0
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
