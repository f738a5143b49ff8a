//! Closable concurrency limiter.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bit that is set once the gate is closed.
const CLOSED_BIT: u64 = 1 << 63;

/// Counts the requests in flight on a VM or against a quota; once closed, it admits no more.
///
/// Acquiring a permit is wait-free: it increments the count, and decrements it again if the gate
/// was closed or full.
///
/// ```
/// use jacinthhoist_core::LoadGate;
/// let gate = LoadGate::default();
/// assert!(gate.try_acquire(1));
/// assert!(!gate.try_acquire(1));
/// gate.close();
/// assert!(!gate.is_drained());
/// gate.release();
/// assert!(gate.is_drained() && !gate.try_acquire(1));
/// ```
#[derive(Debug, Default)]
pub struct LoadGate(AtomicU64);

impl LoadGate {
    /// Acquires a permit unless the gate is closed or `limit` permits are held.
    pub fn try_acquire(&self, limit: u32) -> bool {
        let before = self.0.fetch_add(1, Ordering::SeqCst);
        let admitted = before & CLOSED_BIT == 0 && before < u64::from(limit);
        if !admitted {
            self.0.fetch_sub(1, Ordering::SeqCst);
        }
        admitted
    }

    /// Releases a permit acquired by [`LoadGate::try_acquire`].
    pub fn release(&self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }

    /// Closes the gate permanently; held permits stay valid.
    pub fn close(&self) {
        self.0.fetch_or(CLOSED_BIT, Ordering::SeqCst);
    }

    /// Returns true if the gate is closed.
    pub fn is_closed(&self) -> bool {
        self.0.load(Ordering::SeqCst) & CLOSED_BIT != 0
    }

    /// Returns the number of held permits.
    pub fn held(&self) -> u32 {
        (self.0.load(Ordering::SeqCst) & !CLOSED_BIT) as u32
    }

    /// Returns true if the gate is closed and no permits are held.
    pub fn is_drained(&self) -> bool {
        self.0.load(Ordering::SeqCst) == CLOSED_BIT
    }
}
