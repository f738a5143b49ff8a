//! Builds the route table from the replicated state, keeping the counters of earlier tables.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, atomic::Ordering},
};

use jacinthhoist_core::{
    AnyVm, FoldState, ListedStatus, MemberName, OwnerName, PolicyEntry, PoolName, Serving, Vm,
    VmName, WorkName, connection_share, slot_share,
};

use super::{
    OwnerCounters, PoolCounters, PoolRoute, RouteTable, SlotLimit, VmEndpoint, VmRoute,
    WorkCounters, WorkRoute,
};
use crate::pipe::QueueHandle;

/// Builder of route tables; the only writer of them.
pub(crate) struct RouteBuilder {
    member: MemberName,
    threads: usize,
    works: HashMap<WorkName, Arc<WorkCounters>>,
    owners: HashMap<OwnerName, Arc<OwnerCounters>>,
    pools: HashMap<PoolName, (Arc<PoolCounters>, QueueHandle)>,
    endpoints: HashMap<VmName, Arc<VmEndpoint>>,
    serving: BTreeMap<VmName, Arc<VmRoute>>,
    draining: Vec<Arc<VmRoute>>,
}

impl RouteBuilder {
    pub(crate) fn open(member: MemberName, threads: usize) -> Self {
        Self {
            member,
            threads,
            works: HashMap::new(),
            owners: HashMap::new(),
            pools: HashMap::new(),
            endpoints: HashMap::new(),
            serving: BTreeMap::new(),
            draining: Vec::new(),
        }
    }

    /// Builds the table for a state, with the slots divided among `active_members`.
    ///
    /// `open_queue` starts the queue of a new pool.
    pub(crate) fn build(
        &mut self,
        state: &FoldState,
        active_members: &[MemberName],
        open_queue: impl Fn(&PoolName, &Arc<PoolCounters>) -> QueueHandle,
    ) -> RouteTable {
        let policy = state.catalogue().policy();
        self.drain_departed(state);
        let mut vms = self.serving_routes(state, &policy, active_members);
        let mut pools = HashMap::new();
        for (name, entry) in state.catalogue().pools() {
            let (counters, queue) = self
                .pools
                .entry(name.clone())
                .or_insert_with(|| {
                    let counters = Arc::new(PoolCounters::default());
                    let queue = open_queue(&name, &counters);
                    (counters, queue)
                })
                .clone();
            let vms = vms.remove(&name).unwrap_or_default();
            let policy = policy.clone();
            let route = PoolRoute {
                entry: entry.clone(),
                vms,
                counters,
                queue,
                policy,
            };
            pools.insert(name, Arc::new(route));
        }
        let works = self.work_routes(state, active_members);
        let draining = self.draining.clone();
        RouteTable {
            folded: state.folded(),
            works,
            pools,
            draining,
        }
    }

    /// Closes the gate of each VM whose service ended or was started anew.
    fn drain_departed(&mut self, state: &FoldState) {
        let fleet = state.fleet();
        let is_unchanged = |route: &VmRoute| match fleet.vm(&route.vm) {
            Some(AnyVm::Serving(vm)) => vm.identity.revision == route.revision,
            _ => false,
        };
        let departed: Vec<VmName> = self
            .serving
            .values()
            .filter(|route| !is_unchanged(route))
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

    fn serving_routes(
        &mut self,
        state: &FoldState,
        policy: &PolicyEntry,
        active_members: &[MemberName],
    ) -> HashMap<PoolName, Vec<Arc<VmRoute>>> {
        let mut pools: HashMap<PoolName, Vec<Arc<VmRoute>>> = HashMap::new();
        for vm in state.fleet().vms() {
            let AnyVm::Serving(serving) = vm else {
                continue;
            };
            let Some(route) = self.vm_route(serving, policy) else {
                continue;
            };
            let slots = state
                .catalogue()
                .pool(&serving.phase.pool)
                .map_or(0, |pool| pool.slots);
            route
                .slots
                .set_share(slot_share(active_members, &self.member, &route.vm, slots));
            if serving.identity.status == ListedStatus::Live {
                pools
                    .entry(serving.phase.pool.clone())
                    .or_default()
                    .push(route);
            }
        }
        pools
    }

    fn vm_route(&mut self, serving: &Vm<Serving>, policy: &PolicyEntry) -> Option<Arc<VmRoute>> {
        let identity = &serving.identity;
        if let Some(route) = self.serving.get(&identity.vm) {
            return Some(route.clone());
        }
        let address = identity.details.address.parse().ok()?;
        let threads = self.threads;
        let connection_limit = connection_share(policy.vm_connections, policy.max_members);
        let endpoint = self
            .endpoints
            .entry(identity.vm.clone())
            .or_insert_with(|| Arc::new(VmEndpoint::open(connection_limit, threads)))
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

    fn work_routes(
        &mut self,
        state: &FoldState,
        active_members: &[MemberName],
    ) -> HashMap<WorkName, Arc<WorkRoute>> {
        let member_count = active_members.len().max(1) as u32;
        let mut works = HashMap::new();
        for (name, entry) in state.catalogue().works() {
            let Some(owner) = state.catalogue().owner(&entry.owner) else {
                continue;
            };
            let counters = self.works.entry(name.clone()).or_default().clone();
            let owner_counters = self.owners.entry(entry.owner.clone()).or_default().clone();
            let route = WorkRoute {
                name: name.clone(),
                entry: Arc::new(entry.clone()),
                owner: owner.clone(),
                pool: entry.pool.clone(),
                counters,
                owner_counters,
                work_limit: entry.max_running.div_ceil(member_count),
                owner_limit: owner.max_running.div_ceil(member_count),
            };
            works.insert(name, Arc::new(route));
        }
        works
    }

    /// Returns true if no request is waiting or running at this member.
    pub(crate) fn is_idle(table: &RouteTable) -> bool {
        let busy = |pool: &Arc<PoolRoute>| {
            pool.held() > 0 || pool.counters.waiting.load(Ordering::SeqCst) > 0
        };
        !table.pools.values().any(busy) && table.draining.iter().all(|vm| vm.gate.is_drained())
    }
}
