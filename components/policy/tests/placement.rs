//! Placement of models.

use domain::{FailureDomain, ModelState};
use googletest::prelude::*;
use policy::PlacementOrder::{Load, Unload};
use policy::{EngineView, PlacementLimits, PlacementOrder, ServiceDemand, place_models};
use proptest::prelude::*;

const LIMITS: PlacementLimits = PlacementLimits {
    loads_in_progress: 2,
    surplus_hold_ms: 1_000,
};

struct PlacementCase {
    name: &'static str,
    replicas: u32,
    wanted_domains: &'static [&'static str],
    surplus_ms: u64,
    /// Each engine as its failure domain, a space, a letter for the model (a absent, l loading, s loaded, f
    /// fixed) and letters for the flags (d unhealthy, v leaving, u not fenced, b backing off, c with calls).
    engines: &'static [&'static str],
    orders: &'static [PlacementOrder],
}

#[rustfmt::skip]
const CASES: &[PlacementCase] = &[
    PlacementCase { name: "enough replicas", replicas: 2, wanted_domains: &[], surplus_ms: 0, engines: &["a s", "b s", "c a"], orders: &[] },
    PlacementCase { name: "an unhealthy replica is replaced in a domain without replicas", replicas: 2, wanted_domains: &[], surplus_ms: 0, engines: &["a s", "b sd", "a a", "c a"], orders: &[Load(3)] },
    PlacementCase { name: "a leaving replica is replaced and receives no order", replicas: 1, wanted_domains: &[], surplus_ms: 9_000, engines: &["a sv", "a av", "a a"], orders: &[Load(2)] },
    PlacementCase { name: "a load in progress counts", replicas: 2, wanted_domains: &[], surplus_ms: 0, engines: &["a s", "b l", "c a"], orders: &[] },
    PlacementCase { name: "the limit on loads from the weight store", replicas: 9, wanted_domains: &[], surplus_ms: 0, engines: &["a a", "b a", "c a"], orders: &[Load(0), Load(1)] },
    PlacementCase { name: "a load on a leaving engine counts towards the limit", replicas: 9, wanted_domains: &[], surplus_ms: 0, engines: &["a lv", "b a", "c a"], orders: &[Load(1)] },
    PlacementCase { name: "an engine that is not fenced may be loading", replicas: 9, wanted_domains: &[], surplus_ms: 0, engines: &["a au", "b a", "c a"], orders: &[Load(1)] },
    PlacementCase { name: "an engine that is backing off receives no order", replicas: 1, wanted_domains: &[], surplus_ms: 0, engines: &["a ab", "b a"], orders: &[Load(1)] },
    PlacementCase { name: "only the wanted domains load", replicas: 2, wanted_domains: &["b"], surplus_ms: 0, engines: &["a a", "b a"], orders: &[Load(1)] },
    PlacementCase { name: "a fresh surplus stays", replicas: 1, wanted_domains: &[], surplus_ms: 999, engines: &["a s", "b s"], orders: &[] },
    PlacementCase { name: "a lasting surplus is unloaded in the domain with the most replicas, one at a time", replicas: 1, wanted_domains: &[], surplus_ms: 1_000, engines: &["a s", "b s", "b s"], orders: &[Unload(2)] },
    PlacementCase { name: "a surplus with calls stays", replicas: 1, wanted_domains: &[], surplus_ms: 1_000, engines: &["a sc", "b sc"], orders: &[] },
    PlacementCase { name: "a replica outside the wanted domains is unloaded if there are enough inside", replicas: 1, wanted_domains: &["b"], surplus_ms: 1_000, engines: &["a s", "b s"], orders: &[Unload(0)] },
    PlacementCase { name: "a replica outside the wanted domains stays while there are too few inside", replicas: 2, wanted_domains: &["b"], surplus_ms: 1_000, engines: &["a s", "a s", "b s"], orders: &[] },
    PlacementCase { name: "no replica inside the wanted domains is unloaded instead of a busy one outside", replicas: 1, wanted_domains: &["b"], surplus_ms: 1_000, engines: &["a sc", "b s"], orders: &[] },
    PlacementCase { name: "an engine with a fixed model receives no order", replicas: 1, wanted_domains: &[], surplus_ms: 1_000, engines: &["a f", "b f"], orders: &[] },
];

fn domain(name: &str) -> FailureDomain {
    name.parse().unwrap()
}

fn view<'a>(key: usize, service: usize, text: &str, failure_domain: &'a FailureDomain) -> EngineView<'a> {
    let letters = text.split_once(' ').map_or(text, |(_, letters)| letters);
    let has = |letter| letters.contains(letter);
    let model = match letters.chars().next() {
        Some('a') => ModelState::Absent,
        Some('l') => ModelState::Loading,
        Some('s') => ModelState::Loaded,
        _ => ModelState::Fixed,
    };
    EngineView {
        key: u32::try_from(key).unwrap(),
        service,
        failure_domain,
        model,
        healthy: !has('d'),
        leaving: has('v'),
        fenced: !has('u'),
        backing_off: has('b'),
        calls: u32::from(has('c')),
    }
}

#[gtest]
fn orders_move_the_models_towards_the_demand() {
    for case in CASES {
        let domains: Vec<_> = case.engines.iter().map(|text| domain(&text[..1])).collect();
        let wanted: Vec<_> = case.wanted_domains.iter().map(|name| domain(name)).collect();
        let views = case.engines.iter().zip(&domains).enumerate();
        let views: Vec<_> = views
            .map(|(key, (text, domain))| view(key, 0, text, domain))
            .collect();
        let demand = ServiceDemand {
            replicas: case.replicas,
            failure_domains: &wanted,
            surplus_ms: case.surplus_ms,
        };
        let orders = place_models(&[demand], &views, &LIMITS);
        expect_that!(orders, eq(case.orders), "{}", case.name);
    }
}

proptest! {
    #[test]
    fn orders_respect_the_load_limit_the_replicas_and_leaving_hosts(
        rows in prop::collection::vec((0_usize..2, 0_usize..3, "[alsf](d?)(v?)(u?)(b?)(c?)"), 0..12),
        replicas in prop::array::uniform2(1_u32..5),
        wanted in prop::array::uniform2(prop::collection::btree_set(0_usize..3, 0..3)),
        limit in 1_u32..4,
    ) {
        let domains = ["a", "b", "c"].map(domain);
        let wanted = wanted.map(|set| set.into_iter().map(|index| domains[index].clone()).collect::<Vec<_>>());
        let views: Vec<_> = rows.iter().enumerate()
            .map(|(key, (service, domain_index, letters))| view(key, *service, letters, &domains[*domain_index])).collect();
        let demands = [0, 1].map(|service| ServiceDemand {
            replicas: replicas[service], failure_domains: &wanted[service], surplus_ms: 1_000,
        });
        let limits = PlacementLimits { loads_in_progress: limit, surplus_hold_ms: 1_000 };
        let orders = place_models(&demands, &views, &limits);
        let allowed = |view: &EngineView<'_>| {
            let wanted = &wanted[view.service];
            wanted.is_empty() || wanted.contains(view.failure_domain)
        };
        let serves = |view: &EngineView<'_>| view.healthy && !view.leaving && view.model.is_serving() && allowed(view);
        let mut loads = views.iter().filter(|view| view.model == ModelState::Loading
            || view.model == ModelState::Absent && !view.fenced).count();
        let loads_before = loads;
        let mut serving = [0, 1].map(|service| views.iter().filter(|view| view.service == service && serves(view)).count());
        for order in &orders {
            let (Load(key) | Unload(key)) = order;
            let view = views[*key as usize];
            prop_assert!(view.healthy && !view.leaving && view.fenced);
            match order {
                Load(_) => {
                    loads += 1;
                    prop_assert!(view.model == ModelState::Absent && allowed(&view));
                }
                Unload(_) => {
                    prop_assert!(view.model == ModelState::Loaded && view.calls == 0);
                    serving[view.service] -= usize::from(serves(&view));
                    prop_assert!(serving[view.service] >= replicas[view.service] as usize);
                }
            }
        }
        prop_assert!(loads == loads_before || loads <= limit as usize);
    }
}
