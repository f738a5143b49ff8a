//! Placement: selects the VM of a pool that runs the next request.

use crate::{clock::ClockTime, gate::LoadGate, health::VmHealth};

/// VM as seen by placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCandidate<'a> {
    /// Limiter of concurrent requests; acquiring it takes a slot.
    pub gate: &'a LoadGate,
    /// Number of the VM's slots that this member may use.
    pub limit: u32,
    /// Outlier detection for the VM.
    pub health: &'a VmHealth,
    /// False if the VM must not get new work.
    pub usable: bool,
}

/// Number of candidates whose load is compared first.
const COMPARED_CANDIDATES: usize = 2;

/// Selects one of `count` VMs, takes a slot of it and returns its index.
///
/// Tries the less loaded of the VMs at index `start` and the next one, then all VMs in turn, so the
/// cost grows with the size of the pool and not of the fleet. `avoid` lists VMs that earlier
/// attempts used.
///
/// ```
/// use jacinthhoist_core::{choose_vm, ClockTime, PlacementCandidate, LoadGate, VmHealth};
/// let gates = [LoadGate::default(), LoadGate::default()];
/// let health = VmHealth::default();
/// let candidate = |index: usize| PlacementCandidate {
///     gate: &gates[index], limit: 1, health: &health, usable: true,
/// };
/// let now = ClockTime::ZERO;
/// assert_eq!(choose_vm(2, 0, &[], now, candidate), Some(0));
/// assert_eq!(choose_vm(2, 0, &[], now, candidate), Some(1));
/// assert_eq!(choose_vm(2, 0, &[], now, candidate), None);
/// ```
pub fn choose_vm<'a>(
    count: usize,
    start: usize,
    avoid: &[usize],
    now: ClockTime,
    candidate: impl Fn(usize) -> PlacementCandidate<'a>,
) -> Option<usize> {
    if count == 0 {
        return None;
    }
    let first = start % count;
    let compared = (0..COMPARED_CANDIDATES.min(count)).map(|step| (first + step) % count);
    let least_loaded = compared.min_by_key(|&index| candidate(index).gate.held());
    let fallback = (0..count).map(|step| (first + step) % count);
    least_loaded
        .into_iter()
        .chain(fallback)
        .filter(|index| !avoid.contains(index))
        .find(|&index| try_take(&candidate(index), now))
}

/// Takes a slot of a VM if the VM is usable, has a free slot and is not ejected.
fn try_take(candidate: &PlacementCandidate<'_>, now: ClockTime) -> bool {
    if !candidate.usable || !candidate.gate.try_acquire(candidate.limit) {
        return false;
    }
    let admitted = candidate.health.try_admit(now);
    if !admitted {
        candidate.gate.release();
    }
    admitted
}
