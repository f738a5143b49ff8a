//! Jobs that ask for more than the others of their load.

use jacinthhoist_core::job::{JobId, StepSpec};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{model::PlatformModel, scenario::ScenarioLoad};

/// Distinguishes the draw from others that are seeded with a job's id.
const DEMAND_SEED: u64 = 0x6465_6d61_6e64;

/// What the tasks of a job ask for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum JobDemand {
    /// What the load says.
    #[default]
    Usual,
    /// More CPU than a worker has.
    LargerThanWorker,
    /// A label that no worker has.
    UnknownLabel,
    /// A gang with more tasks than all VMs have room for.
    LargerThanFleet,
    /// A worker for each of more tasks than the pool has workers.
    Spread,
    /// A whole worker.
    WholeWorker,
}

impl JobDemand {
    const UNUSUAL: [Self; 5] = [
        Self::LargerThanWorker,
        Self::UnknownLabel,
        Self::LargerThanFleet,
        Self::Spread,
        Self::WholeWorker,
    ];

    /// Draws the demand of a job from its id, so that the other draws of a day stay as they are.
    pub(crate) fn draw(job: JobId, load: &ScenarioLoad) -> Self {
        let mut rng = StdRng::seed_from_u64(job.0 ^ DEMAND_SEED);
        if !rng.random_bool(load.unusual) {
            return Self::Usual;
        }
        Self::UNUSUAL[rng.random_range(0..Self::UNUSUAL.len())]
    }

    /// Returns whether no worker can ever run the job's tasks.
    pub(crate) fn is_in_vain(self) -> bool {
        matches!(
            self,
            Self::LargerThanWorker | Self::UnknownLabel | Self::LargerThanFleet
        )
    }

    /// Number of tasks of each step, and the CPU of each in thousandths of a core.
    pub(crate) fn size(self, load: &ScenarioLoad, model: &PlatformModel) -> (u16, u64) {
        let worker_cpu = model.capacity().cpu;
        let vms = u16::try_from(model.state().vms.len()).unwrap_or(u16::MAX);
        match self {
            Self::Usual | Self::UnknownLabel => (load.tasks.max(1), load.cpu),
            Self::LargerThanWorker => (load.tasks.max(1), worker_cpu + 1),
            Self::LargerThanFleet => (vms.saturating_add(1), worker_cpu / 2 + 1),
            Self::Spread => (vms.saturating_add(1), load.cpu),
            Self::WholeWorker => (1, worker_cpu),
        }
    }

    /// Adds the demand to a step.
    pub(crate) fn apply(self, step: StepSpec) -> StepSpec {
        match self {
            Self::Usual | Self::LargerThanWorker | Self::WholeWorker => step,
            Self::UnknownLabel => StepSpec {
                requires: Some("unknown".into()),
                ..step
            },
            Self::LargerThanFleet => StepSpec { gang: true, ..step },
            Self::Spread => StepSpec {
                max_per_worker: 1,
                ..step
            },
        }
    }
}
