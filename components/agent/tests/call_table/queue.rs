//! Tests of the order and the removal of waiting calls.

use agent::CallQueue;
use domain::TimeMillis;
use googletest::prelude::*;

use crate::support::{OrderKind, attempt, call, order_at};

struct QueueCase {
    name: &'static str,
    /// Priorities in the order of arrival.
    arrivals: &'static [u64],
    /// Positions of arrival in the order of departure.
    departures: &'static [u64],
}

#[gtest]
fn smaller_priorities_leave_first_and_equal_ones_in_order_of_arrival() {
    let cases = [
        QueueCase {
            name: "equal",
            arrivals: &[5, 5, 5],
            departures: &[0, 1, 2],
        },
        QueueCase {
            name: "falling",
            arrivals: &[3, 2, 1],
            departures: &[2, 1, 0],
        },
        QueueCase {
            name: "mixed",
            arrivals: &[2, 1, 2, 1, 0],
            departures: &[4, 1, 3, 0, 2],
        },
    ];
    for case in cases {
        let mut queue = CallQueue::default();
        for (position, priority) in (0..).zip(case.arrivals) {
            queue.push(order_at(
                OrderKind::Chat,
                attempt(call(position), 1, 1),
                *priority,
                None,
            ));
        }
        let departures: Vec<_> = std::iter::from_fn(|| queue.pop())
            .map(|call| call.order.attempt().call.sequence)
            .collect();
        expect_that!(departures, eq(case.departures), "{}", case.name);
    }
}

#[gtest]
fn only_expired_and_named_calls_are_removed() {
    let mut queue = CallQueue::default();
    for (sequence, start_before) in [(1, Some(10)), (2, None), (3, Some(30)), (4, Some(20))] {
        queue.push(order_at(
            OrderKind::Chat,
            attempt(call(sequence), 1, 1),
            0,
            start_before,
        ));
    }
    expect_that!(queue.next_expiry(), some(eq(TimeMillis(10))));
    let expired = queue.remove_expired(TimeMillis(11));
    expect_that!(expired.len(), eq(1));
    expect_that!(queue.remove(call(4)), some(anything()));
    expect_that!(queue.remove(call(4)), none());
    expect_that!(queue.len(), eq(2));
}
