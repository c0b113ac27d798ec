//! Connections to a ledger host through a relay.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;

use googletest::prelude::*;
use ledger::{LedgerHosts, ProgramKey, ReserveOutcome, TokenBudget, TurnKey, serve_relay};
use support::{client_of, open_host, serve};

/// Returns an address that refuses connections until it is bound.
fn unbound_address() -> SocketAddr {
    let unbound = TcpListener::bind("127.0.0.1:0").expect("a free port");
    unbound.local_addr().expect("a bound address")
}

/// Returns a listener with its address.
async fn listen() -> (tokio::net::TcpListener, SocketAddr) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    (listener, address)
}

#[gtest]
#[tokio::test]
async fn a_host_that_is_unreachable_directly_answers_through_a_relay() {
    let folder = tempfile::tempdir().expect("a folder");
    let host = open_host(folder.path(), 1);
    host.finish_copying();
    // The port refuses connections until the relay is about to open one.
    let address = unbound_address();
    let (relay, relay_address) = listen().await;
    let bound = std::sync::Arc::new(Mutex::new(false));
    let binds = std::sync::Arc::clone(&bound);
    tokio::spawn(async move {
        while let Ok((stream, _)) = relay.accept().await {
            let (host, binds) = (host.clone(), std::sync::Arc::clone(&binds));
            tokio::spawn(serve_relay(stream, move |target| {
                if !std::mem::replace(&mut *binds.lock().expect("unpoisoned"), true) {
                    let listener = TcpListener::bind(target).expect("the port is still free");
                    listener.set_nonblocking(true).expect("an open socket");
                    let listener = tokio::net::TcpListener::from_std(listener).expect("a runtime");
                    tokio::spawn(serve(listener, host.clone()));
                }
                target == address
            }));
        }
    });
    let hosts = LedgerHosts::new(vec![("ledger-a".to_owned(), address)]).with_relays(vec![relay_address]);
    let client = client_of(0, &hosts).await;
    let outcome = client
        .reserve(
            ProgramKey(1),
            TurnKey(1),
            5,
            TokenBudget {
                tokens: 10,
                retention_ms: 0,
            },
        )
        .await;
    expect_that!(outcome, ok(matches_pattern!(ReserveOutcome::Reserved { .. })));
    expect_that!(*bound.lock().expect("unpoisoned"), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_link_switches_from_the_relay_to_a_direct_connection() {
    let folder = tempfile::tempdir().expect("a folder");
    let host = open_host(folder.path(), 1);
    host.finish_copying();
    // The relay serves the host itself, since the host's address refuses connections until the test binds it.
    let address = unbound_address();
    let (relay, relay_address) = listen().await;
    let relayed = host.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = relay.accept().await {
            let host = relayed.clone();
            tokio::spawn(async move {
                let mut line = vec![0; format!("{address}\n").len()];
                tokio::io::AsyncReadExt::read_exact(&mut stream, &mut line)
                    .await
                    .expect("the target");
                tokio::io::AsyncWriteExt::write_all(&mut stream, b"ok\n")
                    .await
                    .expect("an open connection");
                ledger::serve_port(stream, host).await;
            });
        }
    });
    let hosts = LedgerHosts::new(vec![("ledger-a".to_owned(), address)]).with_relays(vec![relay_address]);
    let client = client_of(0, &hosts).await;
    let direct = tokio::net::TcpListener::bind(address)
        .await
        .expect("the port is still free");
    let accepting = tokio::time::timeout(std::time::Duration::from_secs(20), direct.accept());
    let (stream, _) = accepting
        .await
        .expect("the direct connection is tried")
        .expect("a connection");
    tokio::spawn(ledger::serve_port(stream, host));
    expect_that!(client.is_reachable(), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_relay_refuses_targets_that_are_not_allowed() {
    let (relay, address) = listen().await;
    let served = tokio::spawn(async move {
        let (stream, _) = relay.accept().await.expect("a connection");
        serve_relay(stream, |_| false).await
    });
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("the relay listens");
    tokio::io::AsyncWriteExt::write_all(&mut stream, b"127.0.0.1:9\n")
        .await
        .expect("an open connection");
    let result = served.await.expect("no panic");
    expect_that!(
        result.map_err(|failure| failure.kind()),
        err(eq(std::io::ErrorKind::PermissionDenied))
    );
}
