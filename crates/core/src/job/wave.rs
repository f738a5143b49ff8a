//! Which VM has its maintenance next.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{clock::ClockTime, name::VmName};

/// A wave as operators ask for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRequest {
    /// Its number.
    pub number: u64,
    /// The VMs that are due.
    pub vms: Vec<VmName>,
    /// The time in which all must have begun.
    pub within: ClockTime,
    /// VMs that may be down for it at once.
    pub cap: usize,
}

/// What is stored of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// VMs whose maintenance has begun.
    pub begun: BTreeSet<VmName>,
    /// Whether operators have been told that it is complete.
    pub completed: bool,
}

/// A wave under way.
#[derive(Clone, Debug)]
pub struct Wave {
    /// What was asked for.
    pub request: WaveRequest,
    /// When it is due.
    pub due: ClockTime,
    /// How far it is.
    pub progress: WaveProgress,
}

impl Wave {
    /// VMs that stay and whose maintenance has not begun.
    pub fn remaining<'a>(
        &'a self,
        stays: impl Fn(&VmName) -> bool + 'a,
    ) -> impl Iterator<Item = &'a VmName> {
        let vms = self.request.vms.iter();
        vms.filter(move |vm| !self.progress.begun.contains(*vm) && stays(vm))
    }
}

/// All waves that are known.
#[derive(Clone, Debug, Default)]
pub struct WaveTable {
    /// Waves by number.
    pub waves: BTreeMap<u64, Wave>,
    /// What was stored of waves whose request has not been read yet.
    stored: BTreeMap<u64, WaveProgress>,
}

impl WaveTable {
    /// Takes over what is stored of a wave.
    pub fn restore(&mut self, number: u64, progress: WaveProgress) {
        self.stored.insert(number, progress);
    }

    /// Takes an operator's request; a wave that is known already keeps its progress. True if it is
    /// new.
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
