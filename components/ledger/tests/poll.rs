//! The host that a poll for snapshots asks.

use googletest::prelude::*;
use ledger::polled_host;

/// The hosts that the first polls ask, by index.
struct PollCase {
    name: &'static str,
    hosts: usize,
    keepers: usize,
    asked: [usize; 8],
}

#[gtest]
fn polls_alternate_between_the_watch_keepers_and_the_other_hosts() {
    let cases = [
        PollCase {
            name: "one host",
            hosts: 1,
            keepers: 2,
            asked: [0; 8],
        },
        PollCase {
            name: "only keepers",
            hosts: 2,
            keepers: 2,
            asked: [0, 1, 0, 1, 0, 1, 0, 1],
        },
        PollCase {
            name: "one other host",
            hosts: 3,
            keepers: 2,
            asked: [0, 2, 1, 2, 0, 2, 1, 2],
        },
        PollCase {
            name: "many other hosts",
            hosts: 24,
            keepers: 3,
            asked: [0, 3, 1, 4, 2, 5, 0, 6],
        },
        PollCase {
            name: "no keepers",
            hosts: 3,
            keepers: 0,
            asked: [0, 1, 2, 0, 1, 2, 0, 1],
        },
    ];
    for case in cases {
        let asked: [usize; 8] = std::array::from_fn(|poll| polled_host(poll, case.hosts, case.keepers));
        expect_that!(asked, eq(case.asked), "{}", case.name);
    }
}
