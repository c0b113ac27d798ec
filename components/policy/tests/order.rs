//! Order of waiting calls.

use domain::TimeMillis;
use domain::UrgencyClass::{self, Background, Emergency, Interactive, Ordinary};
use googletest::prelude::*;
use policy::{CallFacts, CallQueue, PolicyKind, ageing_bound_ms, call_priority, call_priority_by};
use proptest::prelude::*;

const NOW: TimeMillis = TimeMillis(1_800_000_000_000);

/// Returns a call that is queued `queued` milliseconds after `NOW`, of a program whose deadline is `due`
/// milliseconds after `NOW`.
fn call(urgency: UrgencyClass, queued: u64, due: Option<u64>, served_tokens: u64) -> CallFacts {
    CallFacts {
        urgency,
        deadline: due.map(|millis| NOW.plus(millis)),
        queued_at: NOW.plus(queued),
        served_tokens,
        predicted_ms: 1_000,
    }
}

struct OrderCase {
    name: &'static str,
    first: CallFacts,
    second: CallFacts,
}

fn case(name: &'static str, first: CallFacts, second: CallFacts) -> OrderCase {
    OrderCase { name, first, second }
}

#[gtest]
fn orders_calls_by_class_then_slack_then_service() {
    let plain = call(Ordinary, 0, None, 0);
    let mut slow = call(Ordinary, 0, Some(20_000), 0);
    slow.predicted_ms = 15_000;
    let late = call(Ordinary, 0, Some(0), 0);
    let cases = [
        case(
            "an emergency before an interactive call that has waited for half an hour",
            call(Emergency, 1_800_000, None, 0),
            call(Interactive, 0, None, 0),
        ),
        case(
            "an interactive call before an ordinary one with no slack",
            call(Interactive, 0, None, 0),
            call(Ordinary, 0, Some(1_000), 0),
        ),
        case(
            "a small slack before no deadline",
            call(Ordinary, 0, Some(9_000), 800_000),
            plain,
        ),
        case("less slack first", slow, call(Ordinary, 0, Some(20_000), 0)),
        case(
            "less attained service first if no deadline is near, even if the call was queued later",
            call(Ordinary, 5_000, Some(900_000), 2_000),
            call(Ordinary, 0, Some(100_000), 200_000),
        ),
        case(
            "a deadline that has passed is ignored",
            call(Ordinary, 0, Some(5_000), 0),
            late,
        ),
        case(
            "an aged background call before a new interactive one",
            call(Background, 0, None, 0),
            call(Interactive, 420_000, None, 0),
        ),
    ];
    for case in cases {
        let (first, second) = (call_priority(&case.first, NOW), call_priority(&case.second, NOW));
        expect_that!(first, lt(second), "{}", case.name);
    }
}

#[gtest]
fn baselines_serve_in_the_order_of_arrival() {
    let (plain, urgent) = (call(Ordinary, 0, None, 0), call(Emergency, 1, None, 0));
    for kind in [
        PolicyKind::RoundRobin,
        PolicyKind::LeastLoaded,
        PolicyKind::Sticky,
    ] {
        expect_that!(
            call_priority_by(kind, &plain, NOW),
            lt(call_priority_by(kind, &urgent, NOW))
        );
    }
}

#[gtest]
fn the_queue_pops_by_priority_then_arrival_and_skips_removed_calls() {
    let mut queue = CallQueue::new();
    queue.insert(5, 1);
    let removed = queue.insert(3, 2);
    queue.insert(3, 3);
    queue.insert(3, 4);
    expect_that!(queue.remove(removed), some(eq(2)));
    expect_that!(queue.remove(removed), none());
    expect_that!(
        queue.first().map(|(key, call)| (key.priority, call)),
        some(eq((3, 3)))
    );
    let popped: Vec<u32> = std::iter::from_fn(|| queue.pop()).collect();
    expect_that!(popped, eq(&vec![3, 4, 1]));
    expect_that!(queue.is_empty(), eq(true));
}

prop_compose! {
    fn any_facts()(
        urgency in prop::sample::select(vec![Emergency, Interactive, Ordinary, Background]),
        queued in 0..4_000_000_u64,
        due in prop::option::of(0..4_000_000_u64),
        served_tokens in 0..2_000_000_u64,
        predicted_ms in 0..600_000_u64,
    ) -> CallFacts {
        CallFacts { predicted_ms, ..call(urgency, queued, due, served_tokens) }
    }
}

proptest! {
    #[test]
    fn no_call_waits_behind_one_queued_past_the_ageing_bound(old in any_facts(), mut new in any_facts()) {
        let bound = ageing_bound_ms(old.urgency, new.urgency);
        new.queued_at = old.queued_at.plus(bound);
        prop_assert!(call_priority(&old, old.queued_at) < call_priority(&new, new.queued_at));
    }

    #[test]
    fn an_emergency_goes_before_every_other_call_of_the_last_hour(
        mut emergency in any_facts(),
        other in any_facts(),
        lag in 0..3_500_000_u64,
    ) {
        prop_assume!(other.urgency != Emergency);
        emergency.urgency = Emergency;
        emergency.queued_at = other.queued_at.plus(lag);
        prop_assert!(call_priority(&emergency, NOW) < call_priority(&other, NOW));
    }

    #[test]
    fn a_priority_does_not_depend_on_when_it_is_computed(facts in any_facts(), later in 0..1_000_u64) {
        let at = facts.queued_at;
        prop_assume!(facts.deadline.is_none_or(|deadline| deadline <= at || deadline > at.plus(later)));
        prop_assert_eq!(call_priority(&facts, at), call_priority(&facts, at.plus(later)));
    }
}
