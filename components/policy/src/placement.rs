//! Choice of the engines that load or unload the models of services.

use domain::{FailureDomain, ModelState};

/// Replicas of one service that the configuration demands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceDemand<'a> {
    /// Number of backend servers that should serve.
    pub replicas: u32,
    /// Failure domains in which the backend servers should run, sorted; empty for all.
    pub failure_domains: &'a [FailureDomain],
    /// Time in milliseconds for which more than `replicas` backend servers have served without interruption.
    pub surplus_ms: u64,
}

/// State of an engine that the controller has received or expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fact of its own")]
pub struct EngineView<'a> {
    /// Index into the caller's arena.
    pub key: u32,
    /// Index of the engine's service in the list of demands.
    pub service: usize,
    /// Failure domain of the engine.
    pub failure_domain: &'a FailureDomain,
    /// State of the service's model.
    pub model: ModelState,
    /// Whether the engine answers its agent and the heartbeats of the agent arrive.
    pub healthy: bool,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// Whether the agent refuses orders of earlier controller terms. Until it does, such an order may start a
    /// load.
    pub fenced: bool,
    /// Whether the back-off delay after a refused order has not passed yet.
    pub backing_off: bool,
    /// Calls that wait or run.
    pub calls: u32,
}

/// Limits for all engines together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementLimits {
    /// Largest number of model loads that are in progress at the same time.
    pub loads_in_progress: u32,
    /// Time in milliseconds for which a surplus must have lasted before a model is unloaded.
    pub surplus_hold_ms: u64,
}

/// An order to the engine with the given key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementOrder {
    /// Loads the model of the engine's service.
    Load(u32),
    /// Unloads the model of the engine's service.
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

    const fn is_loading(&self) -> bool {
        self.healthy && !self.leaving && matches!(self.model, ModelState::Loading)
    }

    const fn takes_orders(&self) -> bool {
        self.healthy && !self.leaving && self.fenced && !self.backing_off
    }

    /// Returns whether the engine may be loading a model, by an order of this term or of an earlier one.
    const fn may_be_loading(&self) -> bool {
        matches!(self.model, ModelState::Loading)
            || (matches!(self.model, ModelState::Absent) && !self.fenced)
    }
}

/// Returns the orders that bring the engines closer to the demands.
///
/// The service with the smallest share of its replicas loads first, on an engine in the failure domain with
/// the fewest replicas of the service. A surplus that has lasted long enough is unloaded one idle engine at a
/// time, first outside the wanted failure domains, then in the failure domain with the most replicas. The
/// failure domains of each demand must be sorted.
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
    let loading = engines.iter().filter(|engine| engine.may_be_loading()).count();
    let limit = usize::try_from(limits.loads_in_progress).unwrap_or(usize::MAX);
    let mut engines = engines.to_vec();
    let mut orders = Vec::new();
    while loading + orders.len() < limit {
        let next = (0..demands.len())
            .filter_map(|service| {
                let engine = next_engine_to_load(service, &demands[service], &engines)?;
                Some((share_thousandths(service, &demands[service], &engines), engine))
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

/// Returns the index of the engine that should load next, if the service has too few replicas.
fn next_engine_to_load(
    service: usize,
    demand: &ServiceDemand<'_>,
    engines: &[EngineView<'_>],
) -> Option<usize> {
    if present_replicas(service, demand, engines) >= demand.replicas {
        return None;
    }
    let own = engines.iter().enumerate().filter(|(_, engine)| {
        engine.service == service && engine.takes_orders() && demand.allows(engine.failure_domain)
    });
    let absent = own.filter(|(_, engine)| engine.model == ModelState::Absent);
    let chosen = absent
        .min_by_key(|(_, engine)| (replicas_in(service, engine.failure_domain, engines), engine.key))?;
    Some(chosen.0)
}

/// Returns the number of replicas that serve or are being loaded in the wanted failure domains.
fn present_replicas(service: usize, demand: &ServiceDemand<'_>, engines: &[EngineView<'_>]) -> u32 {
    let present = engines.iter().filter(|engine| {
        engine.service == service
            && demand.allows(engine.failure_domain)
            && (engine.is_serving() || engine.is_loading())
    });
    u32::try_from(present.count()).unwrap_or(u32::MAX)
}

/// Returns the share of the wanted replicas that is present, in thousandths.
fn share_thousandths(service: usize, demand: &ServiceDemand<'_>, engines: &[EngineView<'_>]) -> u64 {
    u64::from(present_replicas(service, demand, engines)) * 1_000 / u64::from(demand.replicas.max(1))
}

/// Returns the number of replicas of a service that serve or are being loaded in one failure domain.
fn replicas_in(service: usize, failure_domain: &FailureDomain, engines: &[EngineView<'_>]) -> usize {
    let found = engines.iter().filter(|engine| {
        engine.service == service
            && engine.failure_domain == failure_domain
            && (engine.is_serving() || engine.is_loading())
    });
    found.count()
}

/// Returns the number of replicas that serve in the wanted failure domains, and in all.
fn serving_replicas(service: usize, demand: &ServiceDemand<'_>, engines: &[EngineView<'_>]) -> (u32, u32) {
    let own = engines
        .iter()
        .filter(|engine| engine.service == service && engine.is_serving());
    own.fold((0, 0), |(wanted, all), engine| {
        (wanted + u32::from(demand.allows(engine.failure_domain)), all + 1)
    })
}

impl ServiceDemand<'_> {
    /// Returns whether more engines serve than the demand needs, and enough of them in the wanted failure
    /// domains.
    pub fn has_surplus(&self, service: usize, engines: &[EngineView<'_>]) -> bool {
        let (wanted, all) = serving_replicas(service, self, engines);
        wanted >= self.replicas && all > self.replicas
    }
}

fn choose_unload(service: usize, demand: &ServiceDemand<'_>, engines: &[EngineView<'_>]) -> Option<u32> {
    if !demand.has_surplus(service, engines) {
        return None;
    }
    let (wanted, _) = serving_replicas(service, demand, engines);
    let candidates = engines.iter().filter(|engine| {
        engine.service == service
            && engine.takes_orders()
            && engine.model == ModelState::Loaded
            && engine.calls == 0
            && (wanted > demand.replicas || !demand.allows(engine.failure_domain))
    });
    let chosen = candidates.max_by_key(|engine| {
        let is_outside = !demand.allows(engine.failure_domain);
        (
            is_outside,
            replicas_in(service, engine.failure_domain, engines),
            engine.key,
        )
    })?;
    Some(chosen.key)
}
