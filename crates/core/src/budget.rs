//! Retry budget of a pool: limits retries to a fraction of first attempts.

use std::sync::atomic::{AtomicI64, Ordering};

/// Thousandths of a retry that one first attempt deposits.
const DEPOSIT_MILLIRETRIES: i64 = 100;
/// Thousandths of a retry that one retry withdraws.
const WITHDRAWAL_MILLIRETRIES: i64 = 1_000;
/// Maximum balance in thousandths of a retry.
const MAX_BALANCE_MILLIRETRIES: i64 = 10_000;
/// Initial balance in thousandths of a retry, so that the first requests of a pool can be retried.
const INITIAL_BALANCE_MILLIRETRIES: i64 = 5_000;

/// Token bucket that is filled by requests instead of by time.
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
        Self(AtomicI64::new(INITIAL_BALANCE_MILLIRETRIES))
    }
}

impl RetryBudget {
    /// Deposits for a first attempt.
    pub fn deposit(&self) {
        let before = self.0.fetch_add(DEPOSIT_MILLIRETRIES, Ordering::Relaxed);
        if before + DEPOSIT_MILLIRETRIES > MAX_BALANCE_MILLIRETRIES {
            self.0.fetch_sub(DEPOSIT_MILLIRETRIES, Ordering::Relaxed);
        }
    }

    /// Withdraws for one retry; returns false if the balance is too low.
    pub fn try_withdraw(&self) -> bool {
        let before = self.0.fetch_sub(WITHDRAWAL_MILLIRETRIES, Ordering::Relaxed);
        let is_sufficient = before >= WITHDRAWAL_MILLIRETRIES;
        if !is_sufficient {
            self.0.fetch_add(WITHDRAWAL_MILLIRETRIES, Ordering::Relaxed);
        }
        is_sufficient
    }
}
