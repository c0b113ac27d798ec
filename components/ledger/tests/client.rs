//! Reservations and turns on several hosts, some of them lost.

mod support;

use bytes::Bytes;
use domain::BuildKey;
use futures::future::join_all;
use googletest::prelude::*;
use ledger::{
    LedgerClient, LedgerError, LedgerHosts, ProgramKey, ReserveOutcome, TokenBudget, TurnClaim, TurnKey,
    TurnRecord,
};
use support::{
    CountingProxy, SilentListener, addresses, client_of, start_copying_hosts, start_host, start_hosts,
};
use tokio::time::{Duration, sleep, timeout};

const PROGRAM: ProgramKey = ProgramKey(1);
const BUDGET: TokenBudget = TokenBudget {
    tokens: 100,
    retention_ms: 60_000,
};
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn turn(number: u128, previous: Option<u128>) -> TurnRecord {
    TurnRecord {
        program: PROGRAM,
        turn: TurnKey(number),
        previous: previous.map(TurnKey),
        input: Bytes::from_static(b"in"),
        output: Bytes::from_static(b"out"),
        retention_ms: 60_000,
    }
}

async fn client(hosts: &[support::RunningHost]) -> LedgerClient {
    client_of(1, &LedgerHosts::new(addresses(hosts))).await
}

#[gtest]
#[tokio::test]
async fn concurrent_reservations_of_many_entries_never_exceed_the_budget() {
    let folder = tempfile::tempdir().expect("a folder");
    for hosts in [3, 4] {
        let names = ["a", "b", "c", "d"].map(|name| format!("{hosts}-{name}"));
        let names: Vec<&str> = names[..hosts].iter().map(String::as_str).collect();
        let hosts = start_hosts(&names, folder.path()).await;
        let clients = join_all((0..4).map(|_| client(&hosts))).await;
        let reserve =
            |number: usize| clients[number % 4].reserve(PROGRAM, TurnKey(number as u128), 10, BUDGET);
        let outcomes = join_all((0..40).map(reserve)).await;
        let granted = outcomes
            .iter()
            .filter(|outcome| matches!(outcome, Ok(ReserveOutcome::Reserved { .. })))
            .count();
        expect_that!(granted, le(10));
        // Refused reservations are released: ten turns fit after all others are settled.
        for number in 0..40 {
            clients[0].settle(PROGRAM, TurnKey(number), 0);
        }
        sleep(Duration::from_secs(1)).await;
        for number in 100..110 {
            let outcome = clients[1].reserve(PROGRAM, TurnKey(number), 10, BUDGET).await;
            expect_that!(outcome, ok(matches_pattern!(ReserveOutcome::Reserved { .. })));
        }
        let outcome = clients[2].reserve(PROGRAM, TurnKey(200), 10, BUDGET).await;
        expect_that!(outcome, ok(eq(&ReserveOutcome::Exhausted { committed: 100 })));
    }
}

#[gtest]
#[tokio::test]
async fn calls_succeed_with_one_lost_host_of_three_and_fail_at_once_with_two() {
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = start_hosts(&["a", "b", "c"], folder.path()).await;
    let client = client(&hosts).await;
    client.store_turn(turn(1, None)).await.expect("all hosts live");
    hosts[0].task.abort();
    sleep(Duration::from_millis(50)).await;
    expect_that!(
        client.reserve(PROGRAM, TurnKey(2), 10, BUDGET).await,
        ok(matches_pattern!(ReserveOutcome::Reserved { .. }))
    );
    client.store_turn(turn(2, Some(1))).await.expect("two hosts live");
    expect_that!(
        client
            .fetch_chain(TurnKey(2), Some(PROGRAM))
            .await
            .map(|chain| chain.len()),
        ok(eq(&2))
    );
    hosts[1].task.abort();
    let lost = async {
        while client.is_reachable() {
            client.settle(PROGRAM, TurnKey(3), 1);
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, lost).await.expect("the loss is detected");
    let outcome = client.reserve(PROGRAM, TurnKey(4), 10, BUDGET).await;
    expect_that!(
        outcome,
        err(eq(&LedgerError::TooFewHosts {
            answered: 0,
            needed: 2
        }))
    );
    expect_that!(client.store_turn(turn(5, None)).await.is_err(), eq(true));
    // The remaining host still holds the chain.
    expect_that!(
        client
            .fetch_chain(TurnKey(2), Some(PROGRAM))
            .await
            .map(|chain| chain.len()),
        ok(eq(&2))
    );
}

#[gtest]
#[tokio::test]
async fn a_chain_is_put_together_from_hosts_that_lack_parts() {
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = start_hosts(&["a", "b", "c"], folder.path()).await;
    for (number, holder) in [(1, 0), (2, 1), (3, 2)] {
        let previous = (number > 1).then_some(number - 1);
        let records = vec![ledger::LedgerRecord::Turn(turn(number, previous))];
        hosts[holder]
            .host
            .write_copied(records, 0)
            .await
            .expect("a working disk");
    }
    let client = client(&hosts).await;
    let chain = client
        .fetch_chain(TurnKey(3), Some(PROGRAM))
        .await
        .expect("every part is on some host");
    let turns: Vec<u128> = chain.iter().map(|record| record.turn.0).collect();
    expect_that!(turns, eq(&[3, 2, 1]));
    expect_that!(
        client.fetch_chain(TurnKey(9), Some(PROGRAM)).await,
        err(eq(&LedgerError::UnknownTurn))
    );
}

#[gtest]
#[tokio::test]
async fn a_host_that_is_still_copying_returns_no_counts() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut hosts = start_hosts(&["a"], folder.path()).await;
    for name in ["b", "c"] {
        let host = support::open_host(&folder.path().join(name), 1);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let task = tokio::spawn(support::serve(listener, host.clone()));
        hosts.push(support::RunningHost {
            name: name.to_owned(),
            address,
            host,
            task,
        });
    }
    let client = client(&hosts).await;
    let outcome = client.reserve(PROGRAM, TurnKey(1), 10, BUDGET).await;
    expect_that!(
        outcome,
        err(eq(&LedgerError::TooFewHosts {
            answered: 1,
            needed: 2
        }))
    );
    hosts[1].host.finish_copying();
    expect_that!(
        client.reserve(PROGRAM, TurnKey(2), 10, BUDGET).await,
        ok(matches_pattern!(ReserveOutcome::Reserved { .. }))
    );
}

#[gtest]
#[tokio::test]
async fn a_reservation_reports_whether_it_is_the_first_and_how_many_turns_are_open() {
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = start_hosts(&["a", "b", "c"], folder.path()).await;
    let (first, second) = (client(&hosts).await, client(&hosts).await);
    let expected = [(1, true, 1), (1, false, 2), (2, true, 3)];
    for (number, (program, is_first, open_turns)) in (0_u128..).zip(expected) {
        let entry = if number == 1 { &second } else { &first };
        let outcome = entry
            .reserve(ProgramKey(program), TurnKey(number), 10, BUDGET)
            .await;
        let expected = ReserveOutcome::Reserved { is_first, open_turns };
        expect_that!(outcome, ok(eq(&expected)), "turn {number}");
    }
}

#[gtest]
#[tokio::test]
async fn a_turn_whose_connection_breaks_is_stored_over_a_new_one() {
    let folder = tempfile::tempdir().expect("a folder");
    let host = support::open_host(folder.path(), 1);
    host.finish_copying();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let served = host.clone();
    tokio::spawn(async move {
        // The first connection is closed after a part of the call was received.
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut part = [0; 8];
        tokio::io::AsyncReadExt::read_exact(&mut stream, &mut part)
            .await
            .expect("a call");
        drop(stream);
        support::serve(listener, served).await;
    });
    let client = client_of(0, &LedgerHosts::new(vec![("a".to_owned(), address)])).await;
    expect_that!(client.store_turn(turn(1, None)).await, ok(anything()));
    expect_that!(host.sizes().1, eq(1));
}

#[gtest]
#[tokio::test]
async fn a_chain_survives_a_restart_of_every_host() {
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = start_hosts(&["a", "b", "c"], folder.path()).await;
    client(&hosts)
        .await
        .store_turn(turn(1, None))
        .await
        .expect("all hosts live");
    for host in &hosts {
        host.task.abort();
    }
    drop(hosts);
    let again = start_host("a", folder.path()).await;
    expect_that!(again.host.sizes().1 + 1, ge(1));
    let hosts = [
        again,
        start_host("b", folder.path()).await,
        start_host("c", folder.path()).await,
    ];
    expect_that!(
        client(&hosts)
            .await
            .fetch_chain(TurnKey(1), Some(PROGRAM))
            .await
            .map(|chain| chain.len()),
        ok(eq(&1))
    );
}

#[gtest]
#[tokio::test]
async fn a_settlement_reaches_a_lost_host_after_it_returns() {
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = start_hosts(&["a"], folder.path()).await;
    let client = client_of(0, &LedgerHosts::new(addresses(&hosts))).await;
    let outcome = client.reserve(PROGRAM, TurnKey(1), 40, BUDGET).await;
    expect_that!(outcome, ok(matches_pattern!(ReserveOutcome::Reserved { .. })));
    hosts[0].task.abort();
    let lost = async {
        // The failed call with another program's record reveals the loss.
        while client.is_reachable() {
            client.settle(ProgramKey(2), TurnKey(2), 1);
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, lost).await.expect("the loss is detected");
    client.settle(PROGRAM, TurnKey(1), 0);
    sleep(Duration::from_secs(1)).await;
    let listener = tokio::net::TcpListener::bind(hosts[0].address)
        .await
        .expect("the port is free again");
    tokio::spawn(support::serve(listener, hosts[0].host.clone()));
    let settled = async {
        let mut turns = (3..).map(TurnKey);
        while let Some(turn) = turns.next()
            && !matches!(
                client.reserve(PROGRAM, turn, 100, BUDGET).await,
                Ok(ReserveOutcome::Reserved { .. })
            )
        {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(WAIT_TIMEOUT, settled)
        .await
        .expect("the settlement arrives");
}

/// Load pattern: all hosts lose power and come back one after the other; an entry that is back first has sent a
/// connection request to a host without power, which the kernel repeats only after a second.
#[gtest]
#[tokio::test]
async fn connects_to_a_host_soon_after_it_answers_again() {
    let silent = SilentListener::start().await;
    let client = LedgerClient::new(0, support::silent_log());
    let hosts = vec![("a".to_owned(), silent.address())];
    client.set_hosts(&LedgerHosts::new(hosts));
    expect_that!(client.wait_reachable(Duration::from_millis(300)).await, eq(false));
    silent.answer().await;
    // Twice the interval at which a connection request is repeated; the kernel's interval is a second.
    expect_that!(client.wait_reachable(Duration::from_millis(300)).await, eq(true));
}

#[gtest]
#[tokio::test]
async fn waits_until_enough_hosts_are_connected() {
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = start_hosts(&["a", "b", "c"], folder.path()).await;
    let client = LedgerClient::new(1, support::silent_log());
    let addresses = addresses(&hosts);
    client.set_hosts(&LedgerHosts::new(addresses[..1].to_vec()));
    expect_that!(client.wait_reachable(Duration::from_millis(200)).await, eq(false));
    let waiting = client.wait_reachable(WAIT_TIMEOUT);
    let listed = async {
        sleep(Duration::from_millis(50)).await;
        client.set_hosts(&LedgerHosts::new(addresses.clone()));
    };
    expect_that!(futures::future::join(waiting, listed).await.0, eq(true));
}

/// Load pattern: the callers of stored turns change between entries, and each turn at another entry fetches its
/// chain. With every host of the group sending it, the chains were the most of all bytes between failure domains.
#[gtest]
#[tokio::test]
async fn a_chain_is_sent_by_one_host_of_its_group() {
    const INPUT_BYTES: usize = 200_000;
    let folder = tempfile::tempdir().expect("a folder");
    let names = ["a", "b", "c", "d", "e", "f"];
    let hosts = start_hosts(&names, folder.path()).await;
    let proxies = join_all(hosts.iter().map(|host| CountingProxy::start(host.address))).await;
    let addresses = names.iter().zip(&proxies);
    let addresses = addresses.map(|(name, proxy)| ((*name).to_owned(), proxy.address));
    let hosts = LedgerHosts::new(addresses.collect());
    let writer = client_of(1, &hosts).await;
    let mut record = turn(1, None);
    record.input = Bytes::from(vec![b'i'; INPUT_BYTES]);
    writer.store_turn(record).await.expect("all hosts live");
    let reader = client_of(1, &hosts).await;
    // The slowest of the group may confirm the turn after the writer has returned.
    sleep(Duration::from_millis(300)).await;
    let chain = reader.fetch_chain(TurnKey(1), Some(PROGRAM)).await;
    expect_that!(chain.map(|chain| chain.len()), ok(eq(&1)));
    sleep(Duration::from_millis(300)).await;
    let sent: u64 = proxies.iter().map(CountingProxy::sent_bytes).sum();
    expect_that!(sent, all![ge(INPUT_BYTES as u64), le(INPUT_BYTES as u64 * 3 / 2)]);
    // Another program may continue the turn; its own group does not hold it.
    let chain = reader.fetch_chain(TurnKey(1), Some(ProgramKey(77))).await;
    expect_that!(chain.map(|chain| chain.len()), ok(eq(&1)));
    let chain = reader.fetch_chain(TurnKey(1), None).await;
    expect_that!(chain.map(|chain| chain.len()), ok(eq(&1)));
}

/// Load pattern: all hosts have lost power and copy from one another after their start, while the first turns arrive.
#[gtest]
#[tokio::test]
async fn a_patient_reservation_waits_for_hosts_that_are_still_copying() {
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = start_copying_hosts(&["a", "b", "c"], folder.path()).await;
    let client = client(&hosts).await;
    let refused = client.reserve(PROGRAM, TurnKey(1), 10, BUDGET).await;
    expect_that!(refused, err(matches_pattern!(LedgerError::TooFewHosts { .. })));
    let copied = async {
        sleep(Duration::from_millis(200)).await;
        for host in &hosts {
            host.host.finish_copying();
        }
    };
    let claim = TurnClaim {
        program: PROGRAM,
        turn: TurnKey(2),
        tokens: 10,
        build: None,
    };
    let reserving = client.reserve_within(WAIT_TIMEOUT, claim, BUDGET);
    let (outcome, ()) = futures::future::join(reserving, copied).await;
    // The reservation is written several times and counts once; the refused one is released.
    expect_that!(
        outcome,
        ok(matches_pattern!(ReserveOutcome::Reserved {
            is_first: eq(&true),
            ..
        }))
    );
    let next = client.reserve(PROGRAM, TurnKey(3), 90, BUDGET).await;
    expect_that!(next, ok(matches_pattern!(ReserveOutcome::Reserved { .. })));
    let beyond = client.reserve(PROGRAM, TurnKey(4), 1, BUDGET).await;
    expect_that!(beyond, ok(eq(&ReserveOutcome::Exhausted { committed: 100 })));
}

/// Hosts that are lost after a stream has begun, and what is known of it.
struct BuildCase {
    name: &'static str,
    /// Software of the claim and of the move, if there is one.
    builds: (u64, Option<u64>),
    lost: &'static [usize],
    known: std::result::Result<Option<u64>, ()>,
}

#[gtest]
#[tokio::test]
async fn the_software_of_a_stream_outlives_the_entry_that_began_it_and_a_lost_host() {
    let case = |name, builds, lost, known| BuildCase {
        name,
        builds,
        lost,
        known,
    };
    let cases = [
        case("no host lost", (5, None), &[][..], Ok(Some(5))),
        case("first host lost", (5, None), &[0], Ok(Some(5))),
        case("second host lost", (5, None), &[1], Ok(Some(5))),
        case("third host lost", (5, None), &[2], Ok(Some(5))),
        case("moved", (5, Some(6)), &[], Ok(Some(6))),
        case("moved, first host lost", (5, Some(6)), &[0], Ok(Some(6))),
        case("moved, second host lost", (5, Some(6)), &[1], Ok(Some(6))),
        case("moved, third host lost", (5, Some(6)), &[2], Ok(Some(6))),
        case("two hosts lost", (5, None), &[0, 1], Err(())),
    ];
    for case in cases {
        let folder = tempfile::tempdir().expect("a folder");
        let hosts = start_hosts(&["a", "b", "c"], folder.path()).await;
        let first = client(&hosts).await;
        let claim = TurnClaim {
            program: PROGRAM,
            turn: TurnKey(1),
            tokens: 10,
            build: Some(BuildKey(case.builds.0)),
        };
        let claimed = first.reserve_within(Duration::ZERO, claim, BUDGET).await;
        expect_that!(claimed, ok(anything()), "{}", case.name);
        if let Some(build) = case.builds.1 {
            let moved = first.move_stream(PROGRAM, TurnKey(1), BuildKey(build)).await;
            expect_that!(moved, ok(anything()), "{}", case.name);
        }
        drop(first);
        let second = client(&hosts).await;
        for lost in case.lost {
            hosts[*lost].task.abort();
        }
        let known = second.fetch_build(PROGRAM, TurnKey(1)).await;
        let known = known.map(|build| build.map(|build| build.0)).map_err(drop);
        expect_that!(known, eq(case.known), "{}", case.name);
        let unknown = second.fetch_build(PROGRAM, TurnKey(2)).await;
        let unknown = unknown.map(|build| build.map(|build| build.0)).map_err(drop);
        expect_that!(unknown, eq(case.known.map(|_| None)), "{}", case.name);
    }
}
