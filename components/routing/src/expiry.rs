//! Use of backend servers whose registrations are missing.
//!
//! Load pattern: an outage of the discovery service expires the registrations of live servers, which register again
//! within seconds of its end, while other servers leave as planned and without notice. Dropping the first would turn
//! callers away; sending requests to the second would lose them.

use serde::{Deserialize, Serialize};

/// Time in milliseconds for which servers remain in use when so many registrations disappear at once that they may
/// have expired in an outage that was not detected. Together with the delay until the change arrives, it stays below
/// the two seconds for which a leaving server still serves.
const MASS_EXPIRY_GRACE_MS: u64 = 1_200;

/// Inputs to the decision about servers whose registrations are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpiryEvidence {
    /// Time since the discovery service was last seen to be unavailable, in milliseconds; `None` if it never was.
    pub unavailable_ms_ago: Option<u64>,
    /// Time after an outage of the discovery service in which the servers register again, in milliseconds.
    pub registration_ms: u64,
    /// Whether so many servers are missing at once that their registrations may have expired.
    pub is_mass_expiry: bool,
}

/// Returns for how many milliseconds servers without a registration remain in use; `None` if they have left.
///
/// The time runs from the latest proof that the discovery service was unavailable, not from the first answer after
/// it: a process that notices the return late must not use servers for longer than the others.
pub fn expiry_grace_ms(evidence: ExpiryEvidence) -> Option<u64> {
    let since_outage = evidence.unavailable_ms_ago;
    let outage_grace = since_outage.and_then(|ago_ms| evidence.registration_ms.checked_sub(ago_ms));
    outage_grace.or(evidence.is_mass_expiry.then_some(MASS_EXPIRY_GRACE_MS))
}
