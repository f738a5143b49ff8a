//! Placement: which VM of a pool takes the next request.

use crate::{clock::ClockTime, gate::LoadGate, health::VmHealth};

/// What placement looks at of one VM.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCandidate<'a> {
    /// Its gate; entering takes a slot.
    pub gate: &'a LoadGate,
    /// Slots this member may use of it.
    pub limit: u32,
    /// How it has fared.
    pub health: &'a VmHealth,
    /// Whether it may be used at all.
    pub usable: bool,
}

/// Candidates whose load is compared before the first is taken.
const COMPARED: usize = 2;

/// Chooses a VM among `count` and enters its gate; returns its index.
///
/// Starts at `start`, compares two, then walks the rest, so the cost grows with the pool and not
/// with the fleet. `avoid` names VMs that an earlier attempt used.
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
    let compared = (0..COMPARED.min(count)).map(|step| (first + step) % count);
    let least = compared.min_by_key(|&index| candidate(index).gate.held());
    let walk = (0..count).map(|step| (first + step) % count);
    least
        .into_iter()
        .chain(walk)
        .filter(|index| !avoid.contains(index))
        .find(|&index| take(&candidate(index), now))
}

fn take(candidate: &PlacementCandidate<'_>, now: ClockTime) -> bool {
    if !candidate.usable || !candidate.gate.try_acquire(candidate.limit) {
        return false;
    }
    let fit = candidate.health.try_admit(now);
    if !fit {
        candidate.gate.release();
    }
    fit
}
