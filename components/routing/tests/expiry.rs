//! Use of backend servers whose registrations are missing.

use googletest::prelude::*;
use routing::{ExpiryEvidence, expiry_grace_ms};

/// What is known when a registration is missing, and for how long its server remains in use.
struct ExpiryCase {
    name: &'static str,
    unavailable_ms_ago: Option<u64>,
    is_mass_expiry: bool,
    grace_ms: Option<u64>,
}

#[gtest]
fn servers_without_a_registration_remain_in_use_for_a_time_counted_from_the_outage() {
    const REGISTRATION_MS: u64 = 2_800;
    let cases = [
        ExpiryCase {
            name: "single server in calm",
            unavailable_ms_ago: None,
            is_mass_expiry: false,
            grace_ms: None,
        },
        ExpiryCase {
            name: "many servers in calm",
            unavailable_ms_ago: None,
            is_mass_expiry: true,
            grace_ms: Some(1_200),
        },
        ExpiryCase {
            name: "in an outage",
            unavailable_ms_ago: Some(0),
            is_mass_expiry: false,
            grace_ms: Some(2_800),
        },
        ExpiryCase {
            name: "return noticed late",
            unavailable_ms_ago: Some(2_300),
            is_mass_expiry: false,
            grace_ms: Some(500),
        },
        ExpiryCase {
            name: "long after an outage",
            unavailable_ms_ago: Some(2_801),
            is_mass_expiry: false,
            grace_ms: None,
        },
        ExpiryCase {
            name: "many servers long after an outage",
            unavailable_ms_ago: Some(60_000),
            is_mass_expiry: true,
            grace_ms: Some(1_200),
        },
    ];
    for case in cases {
        let grace_ms = expiry_grace_ms(ExpiryEvidence {
            unavailable_ms_ago: case.unavailable_ms_ago,
            registration_ms: REGISTRATION_MS,
            is_mass_expiry: case.is_mass_expiry,
        });
        expect_that!(grace_ms, eq(case.grace_ms), "{}", case.name);
    }
}
