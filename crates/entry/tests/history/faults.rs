//! Seeded fault injection into upstreams, the log, the VM list and members.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use jacinthhoist_experiments::LocalFleet;
use jacinthhoist_fakes::UpstreamFault;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep_until},
};

/// Interval between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(20);

/// Injects faults into a fleet.
pub(crate) struct FaultInjector {
    fleet: LocalFleet,
    random: StdRng,
    addresses: Arc<ArcSwap<Vec<SocketAddr>>>,
    next_at: Instant,
}

impl FaultInjector {
    pub(crate) fn new(fleet: LocalFleet, seed: u64) -> Self {
        let addresses = Arc::new(ArcSwap::from_pointee(Vec::new()));
        let random = StdRng::seed_from_u64(seed);
        let next_at = Instant::now() + FAULT_INTERVAL;
        let injector = Self {
            fleet,
            random,
            addresses,
            next_at,
        };
        injector.publish();
        injector
    }

    /// Returns the caller addresses of the current members.
    pub(crate) fn addresses(&self) -> Arc<ArcSwap<Vec<SocketAddr>>> {
        self.addresses.clone()
    }

    fn publish(&self) {
        let members = self.fleet.members.iter();
        self.addresses.store(Arc::new(
            members.map(|member| member.addresses().caller).collect(),
        ));
    }

    /// Injects faults until `stop` fires; returns the fleet with all faults cleared.
    pub(crate) async fn run(mut self, mut stop: oneshot::Receiver<()>) -> LocalFleet {
        loop {
            tokio::select! {
                () = sleep_until(self.next_at) => {}
                _ = &mut stop => break,
            }
            let fault = self.random.random_range(0..18);
            self.inject(fault).await;
            self.next_at = Instant::now() + FAULT_INTERVAL;
        }
        self.clear_faults().await;
        self.fleet
    }

    async fn inject(&mut self, fault: u32) {
        let names: Vec<String> = self.fleet.upstreams.keys().cloned().collect();
        let name = &names[self.random.random_range(0..names.len())];
        let upstream = &self.fleet.upstreams[name];
        match fault {
            0 => upstream.set_fault(UpstreamFault::FailAll).await,
            1 => upstream.set_fault(UpstreamFault::Silent).await,
            2 => upstream.set_fault(UpstreamFault::Truncate).await,
            3 => upstream.set_fault(UpstreamFault::WrongRequestId).await,
            4 => upstream.set_fault(UpstreamFault::Refuse).await,
            5 => self.fleet.log.set_down(true),
            6 => self.fleet.log.lose_replies(2),
            7 => self.fleet.list.set_state(name, "leaving").await,
            8 if self.fleet.members.len() > 2 => {
                self.fleet.kill_member(0).await;
                self.publish();
            }
            9 if self.fleet.members.len() < 4 => {
                self.fleet.add_member().await;
                self.publish();
            }
            10 => self.fleet.log.fail_appends(2),
            _ => self.clear_faults().await,
        }
    }

    /// Clears all faults.
    async fn clear_faults(&mut self) {
        self.fleet.log.set_down(false);
        for (name, upstream) in &self.fleet.upstreams {
            upstream.set_fault(UpstreamFault::None).await;
            self.fleet.list.set_state(name, "live").await;
        }
    }
}
