//! Progress of maintenance waves, which take the VMs of a fleet down a few at a time.
//!
//! Pattern: a wave over a large part of the fleet meets surges. As many VMs at once as the cap allows
//! would take a fifth of the capacity out of service, and once more as many while they are
//! evacuated; instead, the wave is spread over its period.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{clock::ClockTime, name::VmName};

/// Part of the period of a wave over which its maintenance is spread, in percent; the rest is for outages
/// and for VMs that are slow to evacuate.
const PLANNED_PERIOD_PERCENT: u64 = 40;
/// Expected time for which a busy VM is evacuated.
const EVACUATION_TIME: ClockTime = ClockTime::from_millis(2_000);

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
    /// VMs that may have been ordered into maintenance and are not known to have begun it. An order without a
    /// reply may be carried out late, also after its sender has ended.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub ordered: BTreeSet<VmName>,
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

    /// Number of VMs that are out of service at once, in evacuation or maintenance, so that the
    /// `remaining` ones are done in time; at most the cap. It may exceed `remaining`, as VMs whose
    /// maintenance has begun are out of service, too.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, VmName, job::{WaveRequest, WaveTable}};
    /// let ms = ClockTime::from_millis;
    /// let mut table = WaveTable::default();
    /// let vms = (0..120).map(|number| VmName::new(&format!("vm-{number}"))).collect();
    /// let request = WaveRequest { number: 1, vms, within: ms(24_000), cap: 70 };
    /// table.request(request, ms(0));
    /// let wave = &table.waves[&1];
    /// let maintenance_time = ms(2_000);
    /// assert_eq!(wave.paced_count(120, maintenance_time, ms(0)), 50);
    /// assert_eq!(wave.paced_count(100, maintenance_time, ms(12_000)), 70);
    /// assert_eq!(wave.paced_count(1, maintenance_time, ms(9_000)), 7);
    /// assert_eq!(wave.paced_count(1, maintenance_time, ms(30_000)), 70);
    /// ```
    pub fn paced_count(
        &self,
        remaining: usize,
        maintenance_time: ClockTime,
        now: ClockTime,
    ) -> usize {
        let reserve_percent = 100 - PLANNED_PERIOD_PERCENT;
        let reserve = self.request.within.as_millis();
        let reserve = reserve.saturating_mul(reserve_percent) / 100;
        let time_left = (self.due - now).as_millis().saturating_sub(reserve);
        let vm_time = (maintenance_time + EVACUATION_TIME).as_millis();
        let work = vm_time.saturating_mul(remaining as u64);
        let needed = work.div_ceil(time_left.max(1));
        (needed as usize).clamp(1, self.request.cap.max(1))
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
