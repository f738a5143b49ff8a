//! Fault in which the store assigns the pools to another member and back, unnoticed by the members.

use std::{ops::Range, time::Duration};

use rand::RngExt;
use tokio::time::{Instant, sleep};

use crate::{
    fleet::EmulatedFleet, network::Endpoint, scenario::ScenarioFault, store::OwnershipFlap,
};

/// Time for which the store does not hear the owner first, so that another member takes over.
const UNHEARD_TIME: Range<Duration> = Duration::from_millis(1_300)..Duration::from_millis(2_200);
/// Time between two assignments of the pools.
const ASSIGNMENT_INTERVAL: Range<Duration> = Duration::from_millis(50)..Duration::from_millis(400);

impl EmulatedFleet {
    /// Lets the pools change hands. The owner reaches no workers but those that run something and a share
    /// of the others; the other members reach no others than these.
    pub(crate) async fn flap_ownership(&self, fault: &ScenarioFault, span: Duration) {
        let ends_at = Instant::now() + span;
        let order = self.owner_first();
        let Some((owner, others)) = order.split_first() else {
            return;
        };
        self.divide_workers(*owner, others, fault.worker_share, true);
        let unheard = Some(format!("entry-{owner}|"));
        let unheard_for = self.model.state().rng.random_range(UNHEARD_TIME);
        let store = &self.model.store;
        let granted_share = fault.share;
        store.set_flap(Some(OwnershipFlap {
            unheard,
            granted_share,
        }));
        sleep(unheard_for).await;
        store.set_flap(Some(OwnershipFlap {
            unheard: None,
            granted_share,
        }));
        while Instant::now() < ends_at {
            let interval = self.model.state().rng.random_range(ASSIGNMENT_INTERVAL);
            sleep(interval).await;
            store.reassign_owner(self.model.clock.now());
        }
        store.set_flap(None);
        self.divide_workers(*owner, others, 0.0, false);
    }

    /// Cuts each worker off from the owner or from the other members, or undoes that.
    fn divide_workers(&self, owner: usize, others: &[usize], share: f64, cut: bool) {
        let workers: Vec<_> = {
            let mut state = self.model.state();
            let state = &mut *state;
            let workers = state.workers.iter();
            workers
                .map(|(id, worker)| {
                    let is_busy = worker.cpu_use().is_some_and(|(_, used)| used > 0);
                    (id.clone(), is_busy || cut && state.rng.random_bool(share))
                })
                .collect()
        };
        let network = &self.model.network;
        for (id, with_owner) in workers {
            let worker = Endpoint::Worker(id);
            if !cut || !with_owner {
                network.set_partitioned(Endpoint::Member(owner), worker.clone(), cut);
            }
            for other in others.iter().filter(|_| !cut || with_owner) {
                network.set_partitioned(Endpoint::Member(*other), worker.clone(), cut);
            }
        }
    }
}
