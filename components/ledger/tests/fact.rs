//! Facts that entries tell one another, and what they and permits cost.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use domain::{ContentKey, InstanceKey, RequestQuota, RequestRate, WorkspaceKey};
use googletest::prelude::*;
use ledger::{
    ContentScope, CrashReport, FactChange, FactReport, LedgerClient, LedgerHosts, LimitReport, PermitRequest,
    QuotaAnswer, QuotaClass, QuotaDemand,
};
use support::{CountingProxy, addresses, client_of, start_hosts};
use tokio::time::{sleep, timeout};

const fn limit(server: u64) -> FactReport {
    FactReport::Limit(LimitReport {
        instance: InstanceKey(server),
        rate: Some(RequestRate(4_000)),
        heard_ms_ago: 0,
    })
}

const fn crash(server: u64) -> FactReport {
    FactReport::Crash(CrashReport {
        content: ContentKey(7),
        scope: ContentScope::Whole,
        instance: InstanceKey(server),
    })
}

/// Numbers of limits and of suspects that a client knows.
type KnownNumbers = Arc<Mutex<(usize, usize)>>;

fn follow(client: &LedgerClient) -> KnownNumbers {
    let numbers = KnownNumbers::default();
    let (client, seen) = (client.clone(), Arc::clone(&numbers));
    tokio::spawn(async move {
        let apply = |change: FactChange<'_>| {
            let mut seen = seen.lock().expect("unpoisoned");
            match change {
                FactChange::Limits(reports) => seen.0 = reports.len(),
                FactChange::Suspects { notices, .. } => seen.1 = notices.len(),
            }
        };
        client.follow_facts(apply).await;
    });
    numbers
}

#[gtest]
#[tokio::test]
async fn facts_of_every_kind_reach_the_other_entries_while_any_one_host_is_away() {
    const NAMES: [&str; 3] = ["a", "b", "c"];
    for stopped in 0..NAMES.len() {
        let folder = tempfile::tempdir().expect("a folder");
        let hosts = start_hosts(&NAMES, folder.path()).await;
        let listed = LedgerHosts::new(addresses(&hosts));
        let (reporting, following) = (client_of(1, &listed).await, client_of(1, &listed).await);
        let known = follow(&following);
        sleep(Duration::from_millis(300)).await;
        hosts[stopped].task.abort();
        sleep(Duration::from_millis(300)).await;
        reporting.report_facts(vec![limit(1), crash(1), crash(2)]).await;
        let waiting = async {
            while *known.lock().expect("unpoisoned") != (1, 1) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let is_known = timeout(Duration::from_secs(5), waiting).await.is_ok();
        expect_that!(is_known, eq(true), "{}", NAMES[stopped]);
    }
}

/// Load pattern: hundreds of servers limit themselves for minutes. Their limits are sent once for each host that is followed,
/// not each time.
#[gtest]
#[tokio::test]
async fn a_client_that_goes_from_host_to_host_is_sent_unchanged_facts_once() {
    const SERVERS: u64 = 400;
    /// Largest size of a limit on the wire with its part of the answer, in bytes.
    const LIMIT_BYTES: u64 = 40;
    /// Largest number of bytes of the answers that bring nothing, in the time of the test.
    const EMPTY_ANSWER_BYTES: u64 = 1_000;
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = start_hosts(&["a", "b"], folder.path()).await;
    let mut proxies = Vec::new();
    for host in &hosts {
        proxies.push(CountingProxy::start(host.address).await);
    }
    let direct = client_of(1, &LedgerHosts::new(addresses(&hosts))).await;
    direct.report_facts((0..SERVERS).map(limit).collect()).await;
    let named = hosts.iter().zip(&proxies);
    let listed = named.map(|(host, proxy)| (host.name.clone(), proxy.address));
    let client = client_of(1, &LedgerHosts::new(listed.collect())).await;
    let known = follow(&client);
    sleep(Duration::from_secs(7)).await;
    expect_that!(known.lock().expect("unpoisoned").0, eq(400));
    for proxy in &proxies {
        expect_that!(proxy.sent_bytes(), le(SERVERS * LIMIT_BYTES + EMPTY_ANSWER_BYTES));
    }
}

/// Sizes of calls on the wire, which docs/CAPACITY.md multiplies by their number.
#[gtest]
#[tokio::test]
async fn a_permit_costs_few_bytes() {
    const CALLS: u64 = 100;
    /// Largest size of a question and of its answer in bytes, without the headers of packets.
    const CALL_BYTES: (u64, u64) = (100, 30);
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = start_hosts(&["a"], folder.path()).await;
    let proxy = CountingProxy::start(hosts[0].address).await;
    let client = client_of(0, &LedgerHosts::new(vec![("a".to_owned(), proxy.address)])).await;
    let count = || (proxy.received_bytes(), proxy.sent_bytes());
    let demand = QuotaDemand {
        workspace: WorkspaceKey(1),
        quota: RequestQuota {
            rate: RequestRate(1_000_000_000),
            burst: 1_000_000,
        },
        version: 1,
        class: QuotaClass::UnderWay,
        max_wait_ms: 0,
    };
    let request = PermitRequest {
        instance: InstanceKey(1),
        rate: RequestRate(1_000_000_000),
        heard_ms_ago: 0,
        max_wait_ms: 0,
    };
    let mut before = count();
    for kind in ["workspace", "server"] {
        for _ in 0..CALLS {
            if kind == "workspace" {
                match client.request_quota(demand).await {
                    QuotaAnswer::Granted(permit) => permit.use_up(),
                    QuotaAnswer::Refused { .. } | QuotaAnswer::Unreachable => {}
                }
            } else {
                client.request_permit(request).await;
            }
        }
        let after = count();
        let each = ((after.0 - before.0) / CALLS, (after.1 - before.1) / CALLS);
        println!("permit of a {kind}: {} bytes asked, {} answered", each.0, each.1);
        expect_that!(each.0, le(CALL_BYTES.0), "{kind}");
        expect_that!(each.1, le(CALL_BYTES.1), "{kind}");
        before = after;
    }
}

/// Load pattern: many entries hear of the limits of many servers at once. A host that has told a change does not answer again
/// until there is another one, else the entries would ask without a pause.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn entries_are_not_woken_again_by_reports_that_arrive_together() {
    const ROUNDS: u64 = 200;
    const REPORTERS: u64 = 8;
    /// Largest number of bytes of the answers that bring nothing, in the time of the test.
    const QUIET_BYTES: u64 = 1_000;
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = start_hosts(&["a"], folder.path()).await;
    let proxy = CountingProxy::start(hosts[0].address).await;
    let listed = LedgerHosts::new(addresses(&hosts));
    let mut reporters = Vec::new();
    for reporter in 0..REPORTERS {
        let client = client_of(0, &listed).await;
        reporters.push(tokio::spawn(async move {
            for round in 0..ROUNDS {
                client
                    .report_facts(vec![limit(round * REPORTERS + reporter)])
                    .await;
            }
        }));
    }
    futures::future::join_all(reporters).await;
    let client = client_of(0, &LedgerHosts::new(vec![("a".to_owned(), proxy.address)])).await;
    follow(&client);
    sleep(Duration::from_secs(1)).await;
    let before = proxy.sent_bytes();
    sleep(Duration::from_secs(2)).await;
    expect_that!(proxy.sent_bytes() - before, le(QUIET_BYTES));
}
