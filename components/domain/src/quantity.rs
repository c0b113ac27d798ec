//! Quantities with their units.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of tokens of a prompt, an answer or a cache.
pub type TokenCount = u64;

/// Price or amount of budget, in millionths of the accounting unit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MicroUnits(pub u64);

impl MicroUnits {
    /// Zero: an empty budget or no charge.
    pub const ZERO: Self = Self(0);

    /// Returns the sum of two amounts, or the largest representable amount on overflow.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or zero when `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for MicroUnits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Point in time in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeMillis(pub u64);

impl TimeMillis {
    /// Returns the current time of this host's system clock.
    ///
    /// Returns zero when the clock is set before the Unix epoch.
    pub fn now() -> Self {
        let elapsed = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        Self(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the milliseconds from `earlier` to this point in time, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the point in time `millis` milliseconds later, or the largest representable one on overflow.
    #[must_use]
    pub const fn plus(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }
}
