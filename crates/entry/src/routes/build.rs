//! Builds the route table from the agreed state, carrying counters over.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, atomic::Ordering},
};

use jacinthhoist_core::{
    AnyVm, FoldState, ListedStatus, MemberName, OwnerName, PolicyEntry, PoolName, Serving, Vm,
    VmName, WorkName, connection_share, slot_share,
};

use super::{
    OwnerLoad, PoolLoadState, PoolRoute, RouteTable, SlotLimit, VmEndpoint, VmRoute, WorkLoad,
    WorkRoute,
};
use crate::pipe::QueueHandle;

/// The one writer of route tables.
pub(crate) struct RouteBuilder {
    member: MemberName,
    workers: usize,
    works: HashMap<WorkName, Arc<WorkLoad>>,
    owners: HashMap<OwnerName, Arc<OwnerLoad>>,
    pools: HashMap<PoolName, (Arc<PoolLoadState>, QueueHandle)>,
    endpoints: HashMap<VmName, Arc<VmEndpoint>>,
    serving: BTreeMap<VmName, Arc<VmRoute>>,
    draining: Vec<Arc<VmRoute>>,
}

impl RouteBuilder {
    pub(crate) fn open(member: MemberName, workers: usize) -> Self {
        Self {
            member,
            workers,
            works: HashMap::new(),
            owners: HashMap::new(),
            pools: HashMap::new(),
            endpoints: HashMap::new(),
            serving: BTreeMap::new(),
            draining: Vec::new(),
        }
    }

    /// The table for a state, with slots shared among `sharers`.
    ///
    /// `open_queue` starts the queue of a pool that is new.
    pub(crate) fn build(
        &mut self,
        state: &FoldState,
        sharers: &[MemberName],
        open_queue: impl Fn(&PoolName, &Arc<PoolLoadState>) -> QueueHandle,
    ) -> RouteTable {
        let policy = state.catalogue().policy();
        self.close_departed(state);
        let mut vms = self.serve(state, &policy, sharers);
        let mut pools = HashMap::new();
        for (name, entry) in state.catalogue().pools() {
            let (load, queue) = self
                .pools
                .entry(name.clone())
                .or_insert_with(|| {
                    let load = Arc::new(PoolLoadState::default());
                    let queue = open_queue(&name, &load);
                    (load, queue)
                })
                .clone();
            let vms = vms.remove(&name).unwrap_or_default();
            let policy = policy.clone();
            let route = PoolRoute {
                entry: entry.clone(),
                vms,
                load,
                queue,
                policy,
            };
            pools.insert(name, Arc::new(route));
        }
        let works = self.works(state, sharers);
        let draining = self.draining.clone();
        RouteTable {
            folded: state.folded(),
            works,
            pools,
            draining,
        }
    }

    /// Closes the gate of each VM that no longer serves as it did.
    fn close_departed(&mut self, state: &FoldState) {
        let fleet = state.fleet();
        let stays = |route: &VmRoute| match fleet.vm(&route.vm) {
            Some(AnyVm::Serving(vm)) => vm.identity.revision == route.revision,
            _ => false,
        };
        let departed: Vec<VmName> = self
            .serving
            .values()
            .filter(|route| !stays(route))
            .map(|route| route.vm.clone())
            .collect();
        for vm in departed {
            if let Some(route) = self.serving.remove(&vm) {
                route.gate.close();
                self.draining.push(route);
            }
        }
        self.draining.retain(|route| !route.gate.is_drained());
        self.endpoints.retain(|vm, _| fleet.vm(vm).is_some());
    }

    fn serve(
        &mut self,
        state: &FoldState,
        policy: &PolicyEntry,
        sharers: &[MemberName],
    ) -> HashMap<PoolName, Vec<Arc<VmRoute>>> {
        let mut pools: HashMap<PoolName, Vec<Arc<VmRoute>>> = HashMap::new();
        for vm in state.fleet().vms() {
            let AnyVm::Serving(serving) = vm else {
                continue;
            };
            let Some(route) = self.route(serving, policy) else {
                continue;
            };
            let slots = state
                .catalogue()
                .pool(&serving.phase.pool)
                .map_or(0, |pool| pool.slots);
            route
                .slots
                .set_share(slot_share(sharers, &self.member, &route.vm, slots));
            if serving.identity.status == ListedStatus::Live {
                pools
                    .entry(serving.phase.pool.clone())
                    .or_default()
                    .push(route);
            }
        }
        pools
    }

    fn route(&mut self, serving: &Vm<Serving>, policy: &PolicyEntry) -> Option<Arc<VmRoute>> {
        let identity = &serving.identity;
        if let Some(route) = self.serving.get(&identity.vm) {
            return Some(route.clone());
        }
        let address = identity.details.address.parse().ok()?;
        let workers = self.workers;
        let share = connection_share(policy.vm_connections, policy.max_members);
        let endpoint = self
            .endpoints
            .entry(identity.vm.clone())
            .or_insert_with(|| Arc::new(VmEndpoint::open(share, workers)))
            .clone();
        let route = Arc::new(VmRoute {
            vm: identity.vm.clone(),
            address,
            revision: identity.revision,
            gate: Default::default(),
            slots: SlotLimit::default(),
            endpoint,
        });
        self.serving.insert(identity.vm.clone(), route.clone());
        Some(route)
    }

    fn works(
        &mut self,
        state: &FoldState,
        sharers: &[MemberName],
    ) -> HashMap<WorkName, Arc<WorkRoute>> {
        let members = sharers.len().max(1) as u32;
        let mut works = HashMap::new();
        for (name, entry) in state.catalogue().works() {
            let Some(owner) = state.catalogue().owner(&entry.owner) else {
                continue;
            };
            let load = self.works.entry(name.clone()).or_default().clone();
            let owner_load = self.owners.entry(entry.owner.clone()).or_default().clone();
            let route = WorkRoute {
                name: name.clone(),
                entry: Arc::new(entry.clone()),
                owner: owner.clone(),
                pool: entry.pool.clone(),
                load,
                owner_load,
                work_limit: entry.max_running.div_ceil(members),
                owner_limit: owner.max_running.div_ceil(members),
            };
            works.insert(name, Arc::new(route));
        }
        works
    }

    /// Requests that wait or run anywhere at this member.
    pub(crate) fn is_idle(table: &RouteTable) -> bool {
        let busy =
            |pool: &Arc<PoolRoute>| pool.held() > 0 || pool.load.waiting.load(Ordering::SeqCst) > 0;
        !table.pools.values().any(busy) && table.draining.iter().all(|vm| vm.gate.is_drained())
    }
}
