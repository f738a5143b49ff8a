//! Seeds of a soak and the random sequences that are drawn from them.

use std::ops::Range;

use rand::{SeedableRng, rngs::StdRng};

/// Odd factor that separates the random sequences of neighbouring seeds.
const SEED_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

/// Seeds to play, and the time with faults of each run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    /// Seeds, in order.
    pub seeds: Range<u64>,
    /// Time with faults of each run, in seconds.
    pub secs: u64,
}

impl SoakPlan {
    /// Plan from the environment: `JACINTHHOIST_SOAK_FROM`, `JACINTHHOIST_SOAK_SEEDS` and
    /// `JACINTHHOIST_SOAK_SECS`; by default the first `count` seeds, of `secs` seconds each.
    ///
    /// # Panics
    ///
    /// Panics if one of the variables is not a number.
    ///
    /// ```
    /// use jacinthhoist_experiments::soak::SoakPlan;
    /// let plan = SoakPlan::from_environment(2, 25);
    /// assert!(!plan.seeds.is_empty());
    /// ```
    pub fn from_environment(count: u64, secs: u64) -> Self {
        let first = variable("JACINTHHOIST_SOAK_FROM", 1);
        let count = variable("JACINTHHOIST_SOAK_SEEDS", count);
        Self {
            seeds: first..first + count,
            secs: variable("JACINTHHOIST_SOAK_SECS", secs),
        }
    }
}

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| {
        text.parse().expect("the variable is a number")
    })
}

/// Random sequence of one part of a run; the parts of a seed have sequences of their own.
///
/// ```
/// use jacinthhoist_experiments::soak::random_sequence;
/// assert_eq!(random_sequence(1, 2), random_sequence(1, 2));
/// assert_ne!(random_sequence(1, 2), random_sequence(2, 2));
/// ```
pub fn random_sequence(seed: u64, part: u64) -> StdRng {
    StdRng::seed_from_u64(seed.wrapping_mul(SEED_FACTOR).wrapping_add(part))
}
