//! The retry budget of a pool: retries are a fraction of fresh requests.

use std::sync::atomic::{AtomicI64, Ordering};

/// Thousandths of a retry that one fresh request earns.
const EARN_MILLIS: i64 = 100;
/// Thousandths that one retry costs.
const COST_MILLIS: i64 = 1_000;
/// The most that can be saved up, in thousandths.
const SAVED_MILLIS: i64 = 10_000;
/// What a pool starts with, so that its first requests may be retried, in thousandths.
const START_MILLIS: i64 = 5_000;

/// A token bucket filled by requests instead of time.
///
/// ```
/// use jacinthhoist_core::RetryBudget;
/// let budget = RetryBudget::default();
/// while budget.try_withdraw() {}
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.try_withdraw());
/// assert!(!budget.try_withdraw());
/// ```
#[derive(Debug)]
pub struct RetryBudget(AtomicI64);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(AtomicI64::new(START_MILLIS))
    }
}

impl RetryBudget {
    /// Notes a fresh request.
    pub fn deposit(&self) {
        let before = self.0.fetch_add(EARN_MILLIS, Ordering::Relaxed);
        if before + EARN_MILLIS > SAVED_MILLIS {
            self.0.fetch_sub(EARN_MILLIS, Ordering::Relaxed);
        }
    }

    /// Takes the price of one retry, if it is there.
    pub fn try_withdraw(&self) -> bool {
        let before = self.0.fetch_sub(COST_MILLIS, Ordering::Relaxed);
        let paid = before >= COST_MILLIS;
        if !paid {
            self.0.fetch_add(COST_MILLIS, Ordering::Relaxed);
        }
        paid
    }
}
