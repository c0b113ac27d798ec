//! Quantities with their units.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Counts tokens.
pub type TokenCount = u64;

/// Amount of budget in millionths of the accounting unit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MicroUnits(pub u64);

impl MicroUnits {
    /// No budget.
    pub const ZERO: Self = Self(0);

    /// Adds two amounts and stops at the largest representable amount.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Subtracts an amount and stops at zero.
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
    /// Reads the clock of this host.
    pub fn now() -> Self {
        let elapsed = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        Self(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the milliseconds from `earlier` to this point, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the point `millis` milliseconds later.
    #[must_use]
    pub const fn plus(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }
}
