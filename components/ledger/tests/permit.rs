//! Permits for backend servers that limit their requests.

mod support;

use std::time::Duration;

use domain::{InstanceKey, RequestRate};
use googletest::prelude::*;
use ledger::{LedgerHosts, PermitAnswer, PermitRequest, PermitTable};
use support::{addresses, client_of, start_hosts};
use tokio::time::sleep;

const SERVER: InstanceKey = InstanceKey(7);
const FOUR_PER_SECOND: RequestRate = RequestRate(4_000);

const fn request(rate: RequestRate, heard_ms_ago: u64, max_wait_ms: u64) -> PermitRequest {
    PermitRequest {
        instance: SERVER,
        rate,
        heard_ms_ago,
        max_wait_ms,
    }
}

const fn granted(wait_ms: u64, next_wait_ms: u64) -> PermitAnswer {
    PermitAnswer::Granted {
        wait_ms,
        next_wait_ms,
    }
}

/// What reaches a host, in milliseconds since its start.
enum PermitEvent {
    Asked(u64, PermitRequest, PermitAnswer),
    Lifted(u64, u64),
}

/// Events in their order.
struct PermitCase {
    name: &'static str,
    events: Vec<PermitEvent>,
}

#[gtest]
fn permits_are_handed_out_at_the_rate_that_the_server_named_last() {
    use PermitAnswer::{Lifted, Refused};
    use PermitEvent::Asked;
    let four = |heard_ms_ago, max_wait_ms| request(FOUR_PER_SECOND, heard_ms_ago, max_wait_ms);
    let cases = [
        PermitCase {
            name: "one after the other, those that can wait queue",
            events: vec![
                Asked(1_000, four(0, 0), granted(0, 250)),
                Asked(1_000, four(0, 0), Refused { wait_ms: 250 }),
                Asked(1_000, four(0, 300), granted(250, 500)),
                Asked(1_000, four(0, 300), Refused { wait_ms: 500 }),
                Asked(1_500, four(500, 0), granted(0, 250)),
            ],
        },
        PermitCase {
            name: "a short time without requests is made up for, a long one is not",
            events: vec![
                Asked(1_000, four(0, 0), granted(0, 250)),
                Asked(9_000, four(0, 0), granted(0, 0)),
                Asked(9_000, four(0, 0), granted(0, 0)),
                Asked(9_000, four(0, 0), granted(0, 250)),
                Asked(9_000, four(0, 0), Refused { wait_ms: 250 }),
            ],
        },
        PermitCase {
            name: "an entry that heard of an older limit gets the newer one",
            events: vec![
                Asked(1_000, request(RequestRate(1_000), 0, 0), granted(0, 1_000)),
                Asked(2_000, four(1_500, 0), granted(0, 1_000)),
                Asked(3_000, four(500, 0), granted(0, 250)),
            ],
        },
        PermitCase {
            name: "a lifted limit, and one that is named again",
            events: vec![
                Asked(1_000, four(0, 0), granted(0, 250)),
                PermitEvent::Lifted(2_000, 100),
                Asked(2_000, four(900, 0), Lifted),
                Asked(3_000, four(200, 0), granted(0, 0)),
            ],
        },
        PermitCase {
            name: "a server that takes nothing is asked now and then whether that still stands",
            events: vec![
                Asked(1_000, request(RequestRate(0), 0, 0), granted(0, 4_000)),
                Asked(2_000, request(RequestRate(0), 0, 0), Refused { wait_ms: 3_000 }),
            ],
        },
    ];
    for case in cases {
        let mut table = PermitTable::default();
        for (index, event) in case.events.into_iter().enumerate() {
            match event {
                Asked(at_ms, request, expected) => {
                    let answer = table.decide(request, at_ms * 1_000);
                    expect_that!(answer, eq(expected), "{}, event {index}", case.name);
                }
                PermitEvent::Lifted(at_ms, heard_ms_ago) => table.lift(SERVER, heard_ms_ago, at_ms * 1_000),
            }
        }
    }
}

/// Load pattern: hundreds of entries that each have a request for the server every few seconds, in waves.
#[gtest]
fn hundreds_of_entries_together_keep_to_the_limit_and_use_it() {
    const ENTRIES: u64 = 300;
    const SECONDS: u64 = 30;
    let mut table = PermitTable::default();
    let mut sent_ms = Vec::new();
    for at_ms in 0..SECONDS * 1_000 {
        let in_wave = at_ms / 2_000 % 2 == 0;
        for entry in (0..ENTRIES).filter(|entry| in_wave && (at_ms + entry * 7) % 1_900 == 0) {
            let max_wait_ms = entry % 3 * 400;
            if let PermitAnswer::Granted { wait_ms, .. } =
                table.decide(request(FOUR_PER_SECOND, 0, max_wait_ms), at_ms * 1_000)
            {
                sent_ms.push(at_ms + wait_ms);
            }
        }
    }
    sent_ms.sort_unstable();
    let windows = sent_ms.iter().map(|first| {
        let in_window = |at_ms: &&u64| **at_ms >= *first && **at_ms < first + 4_000;
        sent_ms.iter().filter(in_window).count()
    });
    // What the server allows in four seconds, and the credit of half a second and one request.
    expect_that!(windows.max(), some(le(16 + 3)));
    // The pauses of two seconds leave half of the time, and what waits goes on into them.
    expect_that!(sent_ms.len(), ge(60));
}

#[gtest]
#[tokio::test]
async fn permits_are_handed_out_while_any_one_host_is_away() {
    const NAMES: [&str; 3] = ["a", "b", "c"];
    for stopped in 0..NAMES.len() {
        let folder = tempfile::tempdir().expect("a folder");
        let hosts = start_hosts(&NAMES, folder.path()).await;
        let client = client_of(1, &LedgerHosts::new(addresses(&hosts))).await;
        hosts[stopped].task.abort();
        sleep(Duration::from_millis(300)).await;
        let mut answers = Vec::new();
        for _ in 0..4 {
            answers.push(client.request_permit(request(FOUR_PER_SECOND, 0, 0)).await);
        }
        let is_granted =
            |answer: &&Option<PermitAnswer>| matches!(answer, Some(PermitAnswer::Granted { .. }));
        expect_that!(
            answers.iter().filter(is_granted).count(),
            eq(1),
            "{}",
            NAMES[stopped]
        );
        expect_that!(
            answers.iter().all(Option::is_some),
            eq(true),
            "{}",
            NAMES[stopped]
        );
    }
}
