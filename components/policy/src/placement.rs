//! Choice of the engines that load or unload the models of services.

use domain::{FailureDomain, ModelState};

/// What the configuration wants of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceDemand<'a> {
    /// Backend servers wanted.
    pub replicas: u32,
    /// Failure domains in which they stand; empty for all.
    pub failure_domains: &'a [FailureDomain],
    /// Time in milliseconds for which more than `replicas` have served without a pause.
    pub surplus_ms: u64,
}

/// An engine as the controller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fact of its own")]
pub struct EngineView<'a> {
    /// Index into the caller's arena.
    pub key: u32,
    /// Index of the service's demand.
    pub service: usize,
    /// Failure domain.
    pub failure_domain: &'a FailureDomain,
    /// State of the service's model.
    pub model: ModelState,
    /// Whether the engine answers its agent and the agent is heard.
    pub healthy: bool,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// Whether the agent refuses orders of earlier terms; until then one of them may start a load.
    pub fenced: bool,
    /// Whether an order to the engine was refused so lately that the next has to wait.
    pub backing_off: bool,
    /// Calls that wait or run.
    pub calls: u32,
}

/// Limits over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementLimits {
    /// Largest number of loads in progress.
    pub loads_in_progress: u32,
    /// Time in milliseconds for which a surplus must have lasted before a model is unloaded.
    pub surplus_hold_ms: u64,
}

/// One order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementOrder {
    /// Load the model of the engine's service.
    Load(u32),
    /// Unload it.
    Unload(u32),
}

impl ServiceDemand<'_> {
    fn allows(&self, failure_domain: &FailureDomain) -> bool {
        self.failure_domains.is_empty() || self.failure_domains.binary_search(failure_domain).is_ok()
    }
}

impl EngineView<'_> {
    const fn is_serving(&self) -> bool {
        self.healthy && !self.leaving && self.model.is_serving()
    }

    const fn is_coming(&self) -> bool {
        self.healthy && !self.leaving && matches!(self.model, ModelState::Loading)
    }

    const fn takes_orders(&self) -> bool {
        self.healthy && !self.leaving && self.fenced && !self.backing_off
    }

    /// Tells whether the engine may be loading, by this term's order or by an earlier one's.
    const fn occupies_load(&self) -> bool {
        matches!(self.model, ModelState::Loading)
            || (matches!(self.model, ModelState::Absent) && !self.fenced)
    }
}

/// Returns the orders that bring the fleet closer to the demands.
///
/// Loads go to the service with the smallest share of its replicas first and, within it, to the failure domain
/// with the fewest. A surplus that has lasted is unloaded one idle engine at a time, outside the wanted failure
/// domains first, then where most replicas stand. Failure domains must be sorted.
pub fn place_models(
    demands: &[ServiceDemand<'_>],
    engines: &[EngineView<'_>],
    limits: &PlacementLimits,
) -> Vec<PlacementOrder> {
    let mut orders = choose_loads(demands, engines, limits);
    for (service, demand) in demands.iter().enumerate() {
        if demand.surplus_ms >= limits.surplus_hold_ms {
            orders.extend(choose_unload(service, demand, engines).map(PlacementOrder::Unload));
        }
    }
    orders
}

fn choose_loads(
    demands: &[ServiceDemand<'_>],
    engines: &[EngineView<'_>],
    limits: &PlacementLimits,
) -> Vec<PlacementOrder> {
    let occupied = engines.iter().filter(|engine| engine.occupies_load()).count();
    let limit = usize::try_from(limits.loads_in_progress).unwrap_or(usize::MAX);
    let mut engines = engines.to_vec();
    let mut orders = Vec::new();
    while occupied + orders.len() < limit {
        let next = (0..demands.len())
            .filter_map(|service| {
                let engine = next_load(service, &demands[service], &engines)?;
                Some((share_of(service, &demands[service], &engines), engine))
            })
            .min();
        let Some((_, index)) = next else {
            break;
        };
        engines[index].model = ModelState::Loading;
        orders.push(PlacementOrder::Load(engines[index].key));
    }
    orders
}

/// Returns the index of the engine that the service loads next, if it lacks a replica.
fn next_load(service: usize, demand: &ServiceDemand<'_>, engines: &[EngineView<'_>]) -> Option<usize> {
    if present(service, demand, engines) >= demand.replicas {
        return None;
    }
    let own = engines.iter().enumerate().filter(|(_, engine)| {
        engine.service == service && engine.takes_orders() && demand.allows(engine.failure_domain)
    });
    let absent = own.filter(|(_, engine)| engine.model == ModelState::Absent);
    let chosen =
        absent.min_by_key(|(_, engine)| (crowd(service, engine.failure_domain, engines), engine.key))?;
    Some(chosen.0)
}

/// Returns the replicas that serve or are being loaded in the wanted failure domains.
fn present(service: usize, demand: &ServiceDemand<'_>, engines: &[EngineView<'_>]) -> u32 {
    let present = engines.iter().filter(|engine| {
        engine.service == service
            && demand.allows(engine.failure_domain)
            && (engine.is_serving() || engine.is_coming())
    });
    u32::try_from(present.count()).unwrap_or(u32::MAX)
}

/// Returns the share of the wanted replicas that is present, in thousandths.
fn share_of(service: usize, demand: &ServiceDemand<'_>, engines: &[EngineView<'_>]) -> u64 {
    u64::from(present(service, demand, engines)) * 1_000 / u64::from(demand.replicas.max(1))
}

/// Returns the replicas of a service in one failure domain.
fn crowd(service: usize, failure_domain: &FailureDomain, engines: &[EngineView<'_>]) -> usize {
    let there = engines.iter().filter(|engine| {
        engine.service == service
            && engine.failure_domain == failure_domain
            && (engine.is_serving() || engine.is_coming())
    });
    there.count()
}

/// Tells how many replicas serve in the wanted failure domains, and in all.
fn serving(service: usize, demand: &ServiceDemand<'_>, engines: &[EngineView<'_>]) -> (u32, u32) {
    let own = engines
        .iter()
        .filter(|engine| engine.service == service && engine.is_serving());
    own.fold((0, 0), |(wanted, all), engine| {
        (wanted + u32::from(demand.allows(engine.failure_domain)), all + 1)
    })
}

impl ServiceDemand<'_> {
    /// Tells whether more engines serve than the demand needs.
    pub fn has_surplus(&self, service: usize, engines: &[EngineView<'_>]) -> bool {
        let (wanted, all) = serving(service, self, engines);
        wanted >= self.replicas && all > self.replicas
    }
}

fn choose_unload(service: usize, demand: &ServiceDemand<'_>, engines: &[EngineView<'_>]) -> Option<u32> {
    if !demand.has_surplus(service, engines) {
        return None;
    }
    let (wanted, _) = serving(service, demand, engines);
    let candidates = engines.iter().filter(|engine| {
        engine.service == service
            && engine.takes_orders()
            && engine.model == ModelState::Loaded
            && engine.calls == 0
            && (wanted > demand.replicas || !demand.allows(engine.failure_domain))
    });
    let chosen = candidates.max_by_key(|engine| {
        let outside = !demand.allows(engine.failure_domain);
        (
            outside,
            crowd(service, engine.failure_domain, engines),
            engine.key,
        )
    })?;
    Some(chosen.key)
}
