//! Heartbeats over nng.

use googletest::prelude::*;
use wire::{ClusterSecret, HeartbeatPublisher};

#[gtest]
fn reports_the_address_that_it_bound() {
    let secret = ClusterSecret::from_bytes(b"a key of the tests").expect("long enough");
    let publisher =
        HeartbeatPublisher::bind("127.0.0.1:0".parse().expect("an address"), secret).expect("bound");
    let address = publisher.local_address();
    expect_that!(address.ip().to_string(), eq("127.0.0.1"));
    expect_that!(std::net::TcpStream::connect(address), ok(anything()));
}
