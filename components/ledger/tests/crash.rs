//! Requests under which backend servers crash.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use domain::{ContentKey, InstanceKey};
use googletest::prelude::*;
use ledger::{
    CRASH_RETENTION_MS, ContentScope, CrashReport, CrashTable, FactChange, FactReport, LedgerClient,
    LedgerHosts, LossReport, PermitAnswer, SuspectNotice,
};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use support::{addresses, client_of, start_hosts};
use tokio::time::{sleep, timeout};

/// Time between two crashes that have nothing to do with one another, in milliseconds.
const INTERVAL_MS: u64 = 1_000;
/// Time for which the requests of most cases have run when their servers crash.
const RAN_MS: u32 = 5_000;

/// Returns the report of a server that crashed under a request some milliseconds ago.
const fn loss(content: u64, instance: u64, lost_ms_ago: u32) -> LossReport {
    LossReport {
        ran_ms: RAN_MS,
        crash: CrashReport {
            content: ContentKey(content),
            scope: ContentScope::Whole,
            instance: InstanceKey(instance),
        },
        lost_ms_ago,
    }
}

/// Returns the reports of three servers that crashed under a request one after the other.
fn three_crashes(content: u64) -> Vec<FactReport> {
    let losses = [(0, 3_000), (1, 2_000), (2, 1_000)];
    let losses = losses.map(|(instance, lost_ms_ago)| loss(content, instance, lost_ms_ago));
    let losses = losses.into_iter();
    losses.map(FactReport::Loss).collect()
}

/// What a host hears, and what follows.
enum CrashEvent {
    /// A server, and the requests that were lost with it, some time after the event before.
    Crashed(u64, &'static [u64]),
    /// The same, at the same time as the event before.
    CrashedToo(u64, &'static [u64]),
    /// A request that a server has run to its end.
    Finished(u64),
    /// Time that passes, in milliseconds.
    Passed(u64),
}

struct VerdictCase {
    name: &'static str,
    events: Vec<CrashEvent>,
    convicted: &'static [u64],
    on_trial: &'static [u64],
}

fn on_trial(table: &CrashTable, now_ms: u64) -> Vec<u64> {
    let details = table.details(now_ms);
    details.on_trial.iter().map(|content| content.0).collect()
}

fn convicted(table: &CrashTable) -> Vec<u64> {
    let notices = table.notices().iter();
    let convicted = notices.filter(|notice| notice.is_convicted);
    convicted.map(|notice| notice.content.0).collect()
}

#[gtest]
fn a_request_is_convicted_by_three_servers_for_whose_crash_no_other_one_accounts() {
    use CrashEvent::{Crashed, CrashedToo, Finished, Passed};
    let case = |name, events, convicted| VerdictCase {
        name,
        events,
        convicted,
        on_trial: &[],
    };
    let trial_case = |name, events, convicted, on_trial| VerdictCase {
        name,
        events,
        convicted,
        on_trial,
    };
    let together = || {
        vec![
            Crashed(11, &[7, 8]),
            CrashedToo(12, &[7]),
            CrashedToo(13, &[7, 9]),
            CrashedToo(14, &[7]),
        ]
    };
    let three = || vec![Crashed(1, &[7]), Crashed(2, &[7]), Crashed(3, &[7])];
    let with = |mut events: Vec<CrashEvent>, more: Vec<CrashEvent>| {
        events.extend(more);
        events
    };
    let cases = [
        case("two servers", vec![Crashed(1, &[7]), Crashed(2, &[7])], &[]),
        case(
            "one server, reported three times",
            vec![Crashed(1, &[7]), Crashed(1, &[7]), Crashed(1, &[7])],
            &[],
        ),
        case("three servers", three(), &[7]),
        case(
            "lost with the same servers, less often",
            with(
                three(),
                vec![Crashed(4, &[7, 8]), Crashed(1, &[8]), Crashed(2, &[8])],
            ),
            &[7],
        ),
        case(
            "convicted wrongly until another one accounts for its servers",
            vec![
                Crashed(1, &[7, 8]),
                Crashed(2, &[7, 8]),
                Crashed(3, &[8]),
                Crashed(4, &[7]),
                Crashed(3, &[7]),
            ],
            &[7],
        ),
        case(
            "two requests at once",
            with(
                three(),
                vec![Crashed(4, &[8]), Crashed(5, &[8]), Crashed(6, &[8, 9])],
            ),
            &[7, 8],
        ),
        case(
            "run to its end in between",
            with(three(), vec![Finished(7), Crashed(4, &[7])]),
            &[],
        ),
        case(
            "remembered",
            with(three(), vec![Passed(CRASH_RETENTION_MS - 1)]),
            &[7],
        ),
        case("forgotten", with(three(), vec![Passed(CRASH_RETENTION_MS)]), &[]),
        trial_case("a failure domain is lost", together(), &[], &[7]),
        trial_case(
            "two failure domains are lost, one after the other",
            with(
                together(),
                vec![Crashed(21, &[7]), CrashedToo(22, &[7, 9]), CrashedToo(23, &[8])],
            ),
            &[],
            &[7],
        ),
        trial_case(
            "a failure domain is lost, and a server has run the request to its end",
            with(together(), vec![Finished(7)]),
            &[],
            &[],
        ),
        trial_case(
            "crashes servers together, then one more and one more",
            with(together(), vec![Crashed(15, &[7]), Crashed(16, &[7])]),
            &[7],
            &[],
        ),
        trial_case(
            "lost beside a request that crashes servers, and with a failure domain",
            vec![
                Crashed(1, &[7]),
                Crashed(2, &[7]),
                Crashed(3, &[7, 8]),
                Crashed(11, &[8]),
                CrashedToo(12, &[8]),
                CrashedToo(13, &[8]),
            ],
            &[7],
            &[8],
        ),
        trial_case(
            "a failure domain is lost together with a server that a request crashes",
            with(
                three(),
                vec![CrashedToo(31, &[8]), CrashedToo(32, &[8]), CrashedToo(33, &[8])],
            ),
            &[7],
            &[8],
        ),
        trial_case(
            "a failure domain is lost long ago",
            with(together(), vec![Passed(CRASH_RETENTION_MS)]),
            &[],
            &[],
        ),
    ];
    for case in cases {
        let mut table = CrashTable::default();
        let mut now_ms = CRASH_RETENTION_MS;
        for event in case.events {
            match event {
                Crashed(instance, contents) | CrashedToo(instance, contents) => {
                    if matches!(event, Crashed(..)) {
                        now_ms += INTERVAL_MS;
                    }
                    let reports = contents.iter().map(|content| loss(*content, instance, 0));
                    table.record(&reports.collect::<Vec<_>>(), now_ms);
                }
                Finished(content) => table.acquit(&[ContentKey(content)]),
                Passed(ms) => {
                    now_ms += ms;
                    table.prune(now_ms);
                }
            }
        }
        expect_that!(
            convicted(&table),
            container_eq(case.convicted.to_vec()),
            "{}",
            case.name
        );
        expect_that!(
            on_trial(&table, now_ms),
            container_eq(case.on_trial.to_vec()),
            "{} on trial",
            case.name
        );
    }
}

/// Servers that crash under one request.
struct MomentCase {
    name: &'static str,
    /// When each does, in milliseconds.
    times_ms: &'static [u32],
    /// For how long the request has run there.
    ran_ms: u32,
    is_convicted: bool,
}

/// One crash of several servers convicted every request that began like those that were lost with them.
#[gtest]
fn servers_that_crash_at_one_moment_count_as_one() {
    let case = |name, times_ms, ran_ms, is_convicted| MomentCase {
        name,
        times_ms,
        ran_ms,
        is_convicted,
    };
    let cases = [
        case("together", &[0, 0, 0, 0], RAN_MS, false),
        case("noticed one after the other", &[0, 3, 80, 240], RAN_MS, false),
        case("a whole service", &[0; 60], RAN_MS, false),
        case("two moments", &[0, 0, 0, 2_000, 2_000, 2_000], RAN_MS, false),
        case("one after the other", &[0, 250, 500], RAN_MS, true),
        case("two at once, and two more", &[0, 10, 1_000, 2_000], RAN_MS, true),
        case("together, at the beginning of the runs", &[0, 0, 0, 0], 0, false),
        case("sent again after each crash", &[0, 100, 200], 99, true),
        case(
            "sent again after each crash, which comes soon",
            &[0, 30, 60],
            29,
            true,
        ),
        case("running before the first crash", &[0, 100, 200], 190, false),
        case(
            "sent again while servers crash within a few milliseconds",
            &[0, 5, 10, 15],
            4,
            false,
        ),
        case(
            "copies at the same time, and one of them again",
            &[0, 0, 0, 100],
            90,
            false,
        ),
    ];
    for case in cases {
        // Entries report a crash at different times, and the latest one first.
        for delay_ms in [0, 400] {
            let mut table = CrashTable::default();
            let end_ms = CRASH_RETENTION_MS + 10_000;
            for (instance, at_ms) in case.times_ms.iter().enumerate().rev() {
                let lost_ms_ago = 10_000 - at_ms;
                let report = LossReport {
                    ran_ms: case.ran_ms,
                    ..loss(7, instance as u64, lost_ms_ago)
                };
                let late = LossReport {
                    lost_ms_ago: lost_ms_ago + delay_ms,
                    ..report
                };
                table.record(&[late], end_ms + u64::from(delay_ms));
                table.record(&[report], end_ms);
            }
            let expected: &[u64] = if case.is_convicted { &[7] } else { &[] };
            expect_that!(
                convicted(&table),
                container_eq(expected.to_vec()),
                "{} {delay_ms}",
                case.name
            );
            expect_that!(
                on_trial(&table, end_ms).is_empty(),
                eq(case.is_convicted),
                "{} {delay_ms}",
                case.name
            );
        }
    }
}

/// Attempts with a request that is on trial, with the time after which each comes in milliseconds.
#[gtest]
fn a_request_on_trial_is_sent_to_one_server_at_a_time() {
    const SERVERS: u64 = 4;
    let mut table = CrashTable::default();
    let mut now_ms = CRASH_RETENTION_MS;
    let decide = |table: &mut CrashTable, now_ms| table.decide_trial(ContentKey(7), now_ms);
    expect_that!(decide(&mut table, now_ms), eq(PermitAnswer::Lifted));
    let lost: Vec<LossReport> = (0..SERVERS).map(|instance| loss(7, instance, 0)).collect();
    table.record(&lost, now_ms);
    // Copies of the request come all the time, and each one that is sent crashes its server.
    let mut crashes = SERVERS;
    for _ in 0..100 {
        now_ms += 50;
        if matches!(decide(&mut table, now_ms), PermitAnswer::Granted { .. }) {
            table.record(&[loss(7, crashes, 0)], now_ms + 30);
            crashes += 1;
        }
        if !convicted(&table).is_empty() {
            break;
        }
    }
    expect_that!(crashes, eq(SERVERS + 2));
    expect_that!(convicted(&table), container_eq([7]));

    // A request whose runs last long is sent more and more often.
    let mut table = CrashTable::default();
    table.record(&lost, now_ms);
    let sent = |table: &mut CrashTable, from_ms: u64| {
        let times = (from_ms..from_ms + 1_000).step_by(10);
        let granted = times.filter(|at_ms| matches!(decide(table, *at_ms), PermitAnswer::Granted { .. }));
        granted.count()
    };
    expect_that!(sent(&mut table, now_ms), eq(1));
    expect_that!(sent(&mut table, now_ms + 1_000), ge(5));
    expect_that!(sent(&mut table, now_ms + 2_000), ge(50));
}

/// Load pattern: two requests crash one server after the other until they are refused, each with up to ninety others in
/// its queue, of which a third has been lost before.
#[gtest]
fn two_requests_are_told_from_all_those_that_are_lost_with_their_servers() {
    const DEADLY: [u64; 2] = [1, 2];
    /// Three crashes that show a request, and three retries, for each of the two.
    const CRASHES_ALLOWED: u64 = 12;
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut table = CrashTable::default();
        let mut sound: Vec<u64> = Vec::new();
        let mut crashes = 0;
        loop {
            let refused = convicted(&table);
            let coming: Vec<u64> = DEADLY
                .into_iter()
                .filter(|deadly| !refused.contains(deadly))
                .collect();
            if coming.is_empty() || crashes > CRASHES_ALLOWED {
                break;
            }
            let mut lost = vec![coming[random.random_range(0..coming.len())]];
            for _ in 0..random.random_range(0..90) {
                let returns = !sound.is_empty() && random.random_range(0..3) == 0;
                if !returns {
                    sound.push(1_000 + sound.len() as u64);
                }
                let returned = random.random_range(0..sound.len());
                lost.push(if returns {
                    sound[returned]
                } else {
                    sound[sound.len() - 1]
                });
            }
            lost.retain(|content| !refused.contains(content));
            let reports = lost.iter().map(|content| loss(*content, crashes, 0));
            table.record(
                &reports.collect::<Vec<_>>(),
                CRASH_RETENTION_MS + crashes * INTERVAL_MS,
            );
            crashes += 1;
        }
        expect_that!(convicted(&table), container_eq(DEADLY), "seed {seed}");
        expect_that!(crashes, le(CRASHES_ALLOWED), "seed {seed}");
    }
}

/// Follows the notices of a client's hosts.
fn follow(client: &LedgerClient) -> Arc<Mutex<Vec<SuspectNotice>>> {
    let notices: Arc<Mutex<Vec<SuspectNotice>>> = Arc::default();
    let (client, seen) = (client.clone(), Arc::clone(&notices));
    tokio::spawn(async move {
        let apply = |change: FactChange<'_>| {
            if let FactChange::Suspects { notices, .. } = change {
                *seen.lock().expect("unpoisoned") = notices.to_vec();
            }
        };
        client.follow_facts(apply).await;
    });
    notices
}

async fn wait_for_conviction(notices: &Mutex<Vec<SuspectNotice>>) -> bool {
    let waiting = async {
        while !notices
            .lock()
            .expect("unpoisoned")
            .iter()
            .any(|notice| notice.is_convicted)
        {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(5), waiting).await.is_ok()
}

#[gtest]
#[tokio::test]
async fn entries_learn_of_a_verdict_while_any_one_host_is_away() {
    const NAMES: [&str; 3] = ["a", "b", "c"];
    for stopped in 0..NAMES.len() {
        let folder = tempfile::tempdir().expect("a folder");
        let hosts = start_hosts(&NAMES, folder.path()).await;
        let list = LedgerHosts::new(addresses(&hosts));
        let first = client_of(1, &list).await;
        for report in three_crashes(7) {
            first.report_facts(vec![report]).await;
        }
        hosts[stopped].task.abort();
        let second = client_of(1, &list).await;
        let notices = follow(&second);
        expect_that!(
            wait_for_conviction(&notices).await,
            eq(true),
            "{}",
            NAMES[stopped]
        );
    }
}

/// Hosts keep verdicts in memory only.
#[gtest]
#[tokio::test]
async fn a_host_that_starts_anew_is_told_the_verdicts() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut hosts = start_hosts(&["a", "b", "c"], folder.path()).await;
    let client = client_of(1, &LedgerHosts::new(addresses(&hosts))).await;
    let notices = follow(&client);
    for report in three_crashes(7) {
        client.report_facts(vec![report]).await;
    }
    // Beside it, servers that crashed together.
    let together = (10..14).map(|instance| FactReport::Loss(loss(8, instance, 5_000)));
    client.report_facts(together.collect()).await;
    expect_that!(wait_for_conviction(&notices).await, eq(true));
    // Both hosts that have the reports are replaced, one after the other.
    for (index, name) in [(0, "a2"), (1, "b2")] {
        hosts[index].task.abort();
        hosts[index] = support::start_host(name, folder.path()).await;
        client.set_hosts(&LedgerHosts::new(addresses(&hosts)));
        sleep(Duration::from_millis(4_500)).await;
    }
    let late = client_of(1, &LedgerHosts::new(addresses(&hosts))).await;
    let notices = follow(&late);
    expect_that!(wait_for_conviction(&notices).await, eq(true));
    // What crashed together still counts as one.
    let notices = notices.lock().expect("unpoisoned").clone();
    let convicted = notices.iter().filter(|notice| notice.is_convicted);
    expect_that!(
        convicted.map(|notice| notice.content.0).collect::<Vec<u64>>(),
        eq(&[7])
    );
    expect_that!(notices.iter().any(|notice| notice.content.0 == 8), eq(true));
    let answer = late.request_trial(ContentKey(8)).await;
    expect_that!(
        matches!(answer, Some(PermitAnswer::Granted { .. })),
        eq(true),
        "{answer:?}"
    );
}
