//! Progress of maintenance waves, which take the VMs of a fleet down a few at a time.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{clock::ClockTime, name::VmName};

/// A maintenance wave as requested by operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRequest {
    /// Wave number.
    pub number: u64,
    /// VMs to be maintained.
    pub vms: Vec<VmName>,
    /// Period within which the maintenance of every VM must have begun.
    pub within: ClockTime,
    /// Maximum number of VMs that are down for the wave at once.
    pub cap: usize,
}

/// Persisted progress of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// VMs whose maintenance has begun.
    pub begun: BTreeSet<VmName>,
    /// True once operators have been notified that the wave is complete.
    pub completed: bool,
}

/// A wave in progress.
#[derive(Clone, Debug)]
pub struct Wave {
    /// Request of the operators.
    pub request: WaveRequest,
    /// Time by which the maintenance of every VM must have begun.
    pub due: ClockTime,
    /// Progress so far.
    pub progress: WaveProgress,
}

impl Wave {
    /// VMs whose maintenance has not begun, of those for which `exists` returns true.
    pub fn remaining<'a>(
        &'a self,
        exists: impl Fn(&VmName) -> bool + 'a,
    ) -> impl Iterator<Item = &'a VmName> {
        let vms = self.request.vms.iter();
        vms.filter(move |vm| !self.progress.begun.contains(*vm) && exists(vm))
    }
}

/// All known waves.
#[derive(Clone, Debug, Default)]
pub struct WaveTable {
    /// Waves by number.
    pub waves: BTreeMap<u64, Wave>,
    /// Persisted progress of waves whose request has not been read yet.
    stored: BTreeMap<u64, WaveProgress>,
}

impl WaveTable {
    /// Restores the persisted progress of a wave before its request is read.
    pub fn restore(&mut self, number: u64, progress: WaveProgress) {
        self.stored.insert(number, progress);
    }

    /// Adds or replaces the request of a wave; a known wave keeps its progress. Returns true if the
    /// wave is new.
    pub fn request(&mut self, request: WaveRequest, now: ClockTime) -> bool {
        let number = request.number;
        if let Some(wave) = self.waves.get_mut(&number) {
            wave.request = request;
            return false;
        }
        let progress = self.stored.remove(&number).unwrap_or_default();
        let due = now + request.within;
        let wave = Wave {
            request,
            due,
            progress,
        };
        self.waves.insert(number, wave);
        true
    }
}
