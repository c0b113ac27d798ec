//! Requests under which backend servers crash.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use domain::{ContentKey, InstanceKey};
use googletest::prelude::*;
use ledger::{
    CRASH_RETENTION_MS, ContentScope, CrashReport, CrashTable, FactChange, FactReport, LedgerClient,
    LedgerHosts, SuspectNotice,
};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use support::{addresses, client_of, start_hosts};
use tokio::time::{sleep, timeout};

const fn report(content: u64, instance: u64) -> CrashReport {
    CrashReport {
        content: ContentKey(content),
        scope: ContentScope::Whole,
        instance: InstanceKey(instance),
    }
}

/// What a host hears, and what follows.
enum CrashEvent {
    /// A server, and the requests that were lost with it.
    Crashed(u64, &'static [u64]),
    /// A request that a server has run to its end.
    Finished(u64),
    /// Time that passes, in milliseconds.
    Passed(u64),
}

struct VerdictCase {
    name: &'static str,
    events: Vec<CrashEvent>,
    convicted: &'static [u64],
}

fn convicted(table: &CrashTable) -> Vec<u64> {
    let notices = table.notices().iter();
    let convicted = notices.filter(|notice| notice.is_convicted);
    convicted.map(|notice| notice.content.0).collect()
}

#[gtest]
fn a_request_is_convicted_by_three_servers_for_whose_crash_no_other_one_accounts() {
    use CrashEvent::{Crashed, Finished, Passed};
    let case = |name, events, convicted| VerdictCase {
        name,
        events,
        convicted,
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
    ];
    for case in cases {
        let mut table = CrashTable::default();
        let mut now_ms = 0;
        for event in case.events {
            match event {
                Crashed(instance, contents) => {
                    let reports = contents.iter().map(|content| report(*content, instance));
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
    }
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
            let reports = lost.iter().map(|content| report(*content, crashes));
            table.record(&reports.collect::<Vec<_>>(), 0);
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
            if let FactChange::Suspects(notices) = change {
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
        for instance in 0..3 {
            first
                .report_facts(vec![FactReport::Crash(report(7, instance))])
                .await;
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
    for instance in 0..3 {
        client
            .report_facts(vec![FactReport::Crash(report(7, instance))])
            .await;
    }
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
}
