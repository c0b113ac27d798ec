//! Common scheduling policies that serve as baselines in measurements of the product's own policy.

use domain::{PolicyWeights, TimeMillis};
use rand::Rng;

use crate::order::{CallFacts, call_priority};
use crate::server::{CallShape, ServerChoice, ServerCosts, ServerView, choose_server};

/// Policy for the order of calls and the choice of backend servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum PolicyKind {
    /// The product's own policy: program-aware order, and the backend server with the least weighted cost.
    #[default]
    PredictedFinish,
    /// First come, first served; backend servers in turn.
    RoundRobin,
    /// First come, first served; the backend server with the fewest calls for its capacity.
    LeastLoaded,
    /// First come, first served; the backend server that holds the most cached tokens of the program, or the
    /// least loaded one among equals.
    Sticky,
}

/// Returns the priority of a waiting call under a policy; the smallest value goes first.
pub fn call_priority_by(kind: PolicyKind, facts: &CallFacts, now: TimeMillis) -> u64 {
    match kind {
        PolicyKind::PredictedFinish => call_priority(facts, now),
        PolicyKind::RoundRobin | PolicyKind::LeastLoaded | PolicyKind::Sticky => facts.queued_at.0,
    }
}

/// Chooses a backend server under a policy; `sequence` is the number of the call at this chooser, used by
/// round robin.
///
/// Returns `None` when no backend server takes new work.
pub fn choose_server_by(
    kind: PolicyKind,
    sequence: u64,
    views: &[ServerView],
    shape: &CallShape,
    costs: &ServerCosts,
    weights: &PolicyWeights,
    generator: &mut impl Rng,
) -> Option<ServerChoice> {
    let eligible = || views.iter().filter(|view| view.is_eligible());
    let view = match kind {
        PolicyKind::PredictedFinish => return choose_server(views, shape, costs, weights, generator),
        PolicyKind::RoundRobin => {
            let count = u64::try_from(eligible().count()).unwrap_or(u64::MAX);
            let index = sequence.checked_rem(count)?;
            eligible().nth(usize::try_from(index).unwrap_or_default())?
        }
        PolicyKind::LeastLoaded => eligible().min_by_key(|view| load_thousandths(view))?,
        PolicyKind::Sticky => {
            eligible().min_by_key(|view| (std::cmp::Reverse(view.held_tokens), load_thousandths(view)))?
        }
    };
    choose_server(&[*view], shape, costs, weights, generator)
}

fn load_thousandths(view: &ServerView) -> u64 {
    let calls = u64::from(view.running) + u64::from(view.queued) + u64::from(view.own_in_flight);
    calls * 1_000 / u64::from(view.capacity.max(1))
}
