//! An atomic gate: counts what is held and can be closed for good.

use std::sync::atomic::{AtomicU64, Ordering};

/// The bit that says the gate is closed.
const CLOSED: u64 = 1 << 63;

/// Counts work held on a VM, or against a quota; once closed, nothing more enters.
///
/// Entering is wait-free: it adds one, and takes it back where the gate was closed or full.
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
    /// Enters unless the gate is closed or `limit` are already inside.
    pub fn try_acquire(&self, limit: u32) -> bool {
        let before = self.0.fetch_add(1, Ordering::SeqCst);
        let open = before & CLOSED == 0 && before < u64::from(limit);
        if !open {
            self.0.fetch_sub(1, Ordering::SeqCst);
        }
        open
    }

    /// Takes one out that entered before.
    pub fn release(&self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }

    /// Lets nothing more in.
    pub fn close(&self) {
        self.0.fetch_or(CLOSED, Ordering::SeqCst);
    }

    /// Whether nothing more is let in.
    pub fn is_closed(&self) -> bool {
        self.0.load(Ordering::SeqCst) & CLOSED != 0
    }

    /// How many are inside.
    pub fn held(&self) -> u32 {
        (self.0.load(Ordering::SeqCst) & !CLOSED) as u32
    }

    /// Whether the gate is closed and nothing is inside.
    pub fn is_drained(&self) -> bool {
        self.0.load(Ordering::SeqCst) == CLOSED
    }
}
