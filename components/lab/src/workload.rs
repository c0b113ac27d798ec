//! Generation of the arriving programs from a seed.

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use serde::{Deserialize, Serialize};

use crate::site::SiteModel;

/// Microseconds per second.
const US_PER_SECOND: f64 = 1_000_000.0;

/// Arrival of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrival {
    /// Arrival time in microseconds since the start of the run.
    pub at_us: u64,
    /// Index of the kind of program in the site description.
    pub kind: usize,
    /// Index of the entry that the caller uses.
    pub entry: usize,
}

/// Draws the arrivals of a site and returns them ordered by time.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "times of a run are far below the range"
)]
pub fn arrivals(site: &SiteModel, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (kind, program) in site.kinds.iter().enumerate() {
        let mut at_us = 0.0;
        loop {
            let factor = match &site.burst {
                Some(burst) if (burst.at_us..burst.at_us + burst.length_us).contains(&(at_us as u64)) => {
                    burst.factor
                }
                _ => 1.0,
            };
            // Callers are independent, so the intervals between arrivals are exponentially distributed.
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at_us += -uniform.ln() * US_PER_SECOND / (program.per_second * factor);
            if at_us >= site.length_us as f64 {
                break;
            }
            arrivals.push(Arrival {
                at_us: at_us as u64,
                kind,
                entry: rng.random_range(0..site.entries),
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}
