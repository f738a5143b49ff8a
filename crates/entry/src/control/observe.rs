//! Observe stage: reads the VM list and immediately stops new work on VMs that the list shows as
//! leaving.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwap;
use jacinthhoist_codec::{ListedVm, VmListPage, VmRole};
use jacinthhoist_core::{AnyVm, ClockTime, ListedStatus, MemberName, VmDetails, VmListing, VmName};
use tokio::{
    net::TcpStream,
    time::{interval, timeout},
};

use crate::{
    context::{MemberContext, StopPhase},
    logs::log_line,
    platform::ListClient,
};

/// Timeout for the connection probe of a joining VM.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of list intervals for which a VM shown as leaving gets no new work.
const LEAVING_INTERVALS: u64 = 3;

/// Result of the latest read of the VM list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Observation {
    pub(crate) listing: Option<Arc<BTreeMap<VmName, VmListing>>>,
    pub(crate) expired_vms: BTreeSet<VmName>,
    pub(crate) evictable_members: Vec<(MemberName, u64)>,
    pub(crate) probed: BTreeSet<VmName>,
}

/// Content of the VM list by name; rebuilt only when the list has changed.
#[derive(Default)]
struct ListedVms {
    workers: Arc<BTreeMap<VmName, VmListing>>,
    entry_names: BTreeSet<MemberName>,
}

impl ListedVms {
    fn from_page(page: VmListPage) -> Self {
        let (workers, entry_names): (Vec<_>, Vec<_>) = page
            .vms
            .iter()
            .partition(|listed| listed.role == VmRole::Worker);
        Self {
            workers: Arc::new(workers.into_iter().map(to_listing).collect()),
            entry_names: entry_names
                .into_iter()
                .map(|listed| MemberName::new(&listed.name))
                .collect(),
        }
    }
}

/// Task that reads the VM list.
pub(crate) struct ObserveTask {
    pub(crate) context: Arc<MemberContext>,
    pub(crate) observation: Arc<ArcSwap<Observation>>,
    missing_vms: BTreeMap<VmName, ClockTime>,
    missing_members: BTreeMap<MemberName, ClockTime>,
}

impl ObserveTask {
    pub(crate) fn new(context: Arc<MemberContext>, observation: Arc<ArcSwap<Observation>>) -> Self {
        let (missing_vms, missing_members) = Default::default();
        Self {
            context,
            observation,
            missing_vms,
            missing_members,
        }
    }

    /// Runs until the member has ended.
    pub(crate) async fn run(mut self) {
        let context = self.context.clone();
        let mut client = ListClient::open(context.settings.platform.vm_list_address);
        let mut listed = ListedVms::default();
        let mut list_tick = interval(Duration::from_millis(context.settings.limits.vm_list_ms));
        list_tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut probe_tick = interval(Duration::from_millis(context.settings.limits.plan_ms));
        probe_tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let ended = context.wait_for_stop(StopPhase::Ended);
        tokio::pin!(ended);
        loop {
            tokio::select! {
                _ = list_tick.tick() => {}
                _ = probe_tick.tick() => {
                    self.refresh_probes().await;
                    continue;
                }
                () = &mut ended => return,
            }
            let read = client.fetch_changed().await;
            let observation = match read {
                Ok(changed) => {
                    listed = changed.map(ListedVms::from_page).unwrap_or(listed);
                    self.observe(&listed).await
                }
                Err(error) => {
                    log_line!(debug, Control, "failed to read the VM list: {error}");
                    self.missing_vms.clear();
                    self.missing_members.clear();
                    Observation::default()
                }
            };
            self.observation.store(Arc::new(observation));
        }
    }

    async fn observe(&mut self, listed: &ListedVms) -> Observation {
        self.mark_leaving(&listed.workers);
        Observation {
            listing: Some(listed.workers.clone()),
            expired_vms: self.expired_vms(&listed.workers),
            evictable_members: self.evictable_members(&listed.entry_names),
            probed: self.probe().await,
        }
    }

    /// Marks VMs that are not live in the list as leaving in the request pipe, before the change is
    /// agreed through the log.
    fn mark_leaving(&self, listing: &BTreeMap<VmName, VmListing>) {
        let routes = self.context.routes.load();
        let span = LEAVING_INTERVALS * self.context.settings.limits.vm_list_ms;
        let until = self.context.clock.now() + ClockTime::from_millis(span);
        for vm in routes.pools.values().flat_map(|pool| &pool.vms) {
            let live = listing
                .get(&vm.vm)
                .is_some_and(|listed| listed.status == ListedStatus::Live);
            if !live {
                vm.endpoint.mark_leaving(until);
            }
        }
    }

    fn expired_vms(&mut self, listing: &BTreeMap<VmName, VmListing>) -> BTreeSet<VmName> {
        let state = self.context.state.load();
        let known = state
            .fleet()
            .vms()
            .filter(|vm| !matches!(vm, AnyVm::Rebooting(_)));
        let names = known.map(|vm| vm.identity().vm.clone());
        let missing = names.filter(|vm| !listing.contains_key(vm)).collect();
        self.context.track_missing(&mut self.missing_vms, missing)
    }

    /// Returns the live members missing from the list for long enough; none if the list shows no
    /// entry VM at all.
    fn evictable_members(&mut self, entry_names: &BTreeSet<MemberName>) -> Vec<(MemberName, u64)> {
        let state = self.context.state.load();
        let live = state
            .members()
            .live()
            .map(|record| record.join.member.clone());
        let missing = live
            .filter(|member| !entry_names.is_empty() && !entry_names.contains(member))
            .collect();
        let evictable = self
            .context
            .track_missing(&mut self.missing_members, missing);
        let nonce =
            |member: &MemberName| state.members().get(member).map(|record| record.join.nonce);
        evictable
            .into_iter()
            .filter_map(|member| Some((member.clone(), nonce(&member)?)))
            .collect()
    }

    /// Probes joining VMs between two reads of the list, so that none has to wait for the next
    /// read.
    async fn refresh_probes(&self) {
        let probed = self.probe().await;
        if !probed.is_empty() {
            let mut observation = Observation::clone(&self.observation.load());
            observation.probed = probed;
            self.observation.store(Arc::new(observation));
        }
    }

    /// Returns the joining VMs that accept a connection.
    async fn probe(&self) -> BTreeSet<VmName> {
        let state = self.context.state.load_full();
        let joining = state.fleet().vms().filter_map(|vm| match vm {
            AnyVm::Joining(joining) => Some(joining),
            _ => None,
        });
        let probes = joining.map(|joining| async {
            let address = joining.identity.details.address.as_str();
            let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
            matches!(connected, Ok(Ok(_))).then(|| joining.identity.vm.clone())
        });
        futures::future::join_all(probes)
            .await
            .into_iter()
            .flatten()
            .collect()
    }
}

impl MemberContext {
    /// Records when each name went missing; returns those missing for at least the configured time.
    fn track_missing<N: Ord + Clone>(
        &self,
        since: &mut BTreeMap<N, ClockTime>,
        missing: BTreeSet<N>,
    ) -> BTreeSet<N> {
        let now = self.clock.now();
        since.retain(|name, _| missing.contains(name));
        for name in missing {
            since.entry(name).or_insert(now);
        }
        let missing_timeout = self.settings.limits.missing_timeout();
        let expired = since.iter().filter(|(_, at)| now - **at >= missing_timeout);
        expired.map(|(name, _)| name.clone()).collect()
    }
}

fn to_listing(listed: &ListedVm) -> (VmName, VmListing) {
    let details = VmDetails {
        address: listed.address.clone(),
        data_centre: listed.data_centre.clone(),
        rack: listed.rack.clone(),
        boot: listed.boot,
    };
    (
        VmName::new(&listed.name),
        VmListing {
            details,
            status: listed.state,
        },
    )
}
