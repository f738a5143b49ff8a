//! Plan and propose stages: propose the steps that are due, after a delay that depends on this
//! member's rank.

use std::{collections::HashMap, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use jacinthhoist_core::{
    AnyVm, ClockTime, DemandTracker, FoldState, MemberName, Offset, PlanInput, PoolDemand, Step,
    VmName, plan, rendezvous_rank,
};
use tokio::{sync::watch, time::interval};

use super::Observation;
use crate::{
    context::{MemberContext, StopPhase},
    logs::log_line,
    platform::ListClient,
};

/// Additional time for which a step must be due, per rank, before the member proposes it.
const RANK_DELAY: ClockTime = ClockTime::from_secs(2);
/// Time after which a proposed step that is still due is proposed again.
const PROPOSE_INTERVAL: ClockTime = ClockTime::from_secs(3);

/// Task that runs the planner and proposes its steps.
pub(crate) struct PlanTask {
    context: Arc<MemberContext>,
    observation: Arc<ArcSwap<Observation>>,
    route_changes: watch::Receiver<Offset>,
    demand: DemandTracker,
    due: HashMap<String, DueStep>,
    reboot_requests: HashMap<VmName, ClockTime>,
}

/// Times at which a step became due and was last proposed.
#[derive(Clone, Copy)]
struct DueStep {
    since: ClockTime,
    proposed_at: Option<ClockTime>,
}

impl PlanTask {
    pub(crate) fn new(
        context: Arc<MemberContext>,
        observation: Arc<ArcSwap<Observation>>,
        route_changes: watch::Receiver<Offset>,
    ) -> Self {
        let (demand, due, reboot_requests) = Default::default();
        Self {
            context,
            observation,
            route_changes,
            demand,
            due,
            reboot_requests,
        }
    }

    /// Runs until the member has ended.
    pub(crate) async fn run(mut self) {
        let context = self.context.clone();
        let mut list = ListClient::open(context.settings.platform.vm_list_address);
        let mut tick = interval(Duration::from_millis(context.settings.limits.plan_ms));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let ended = context.wait_for_stop(StopPhase::Ended);
        tokio::pin!(ended);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                Ok(()) = self.route_changes.changed() => {}
                () = &mut ended => return,
            }
            if !context.is_member() || !context.is_caught_up() {
                continue;
            }
            let state = context.state.load_full();
            self.confirm_drains(&state);
            self.propose_planned(&state);
            self.reboot(&state, &mut list).await;
        }
    }

    /// Confirms the drain of each VM on which this member has no request in flight.
    fn confirm_drains(&mut self, state: &FoldState) {
        let routes = self.context.routes.load();
        let mut steps = Vec::new();
        for vm in state.fleet().vms() {
            let AnyVm::Draining(draining) = vm else {
                continue;
            };
            let is_own = |(member, nonce): &(MemberName, u64)| {
                *member == self.context.name && *nonce == self.context.nonce
            };
            let name = &draining.identity.vm;
            let drain_applied = routes.folded >= Some(draining.phase.drain);
            let has_requests = routes
                .draining
                .iter()
                .any(|route| route.vm == *name && !route.gate.is_drained());
            if drain_applied && !has_requests && !draining.phase.confirmed.iter().any(is_own) {
                steps.push(Step::Confirm {
                    vm: name.clone(),
                    drain: draining.phase.drain,
                });
            }
        }
        drop(routes);
        self.propose_due(steps, 0);
    }

    fn propose_planned(&mut self, state: &FoldState) {
        let now = self.context.clock.now();
        let policy = state.catalogue().policy();
        let pool_demands = self.pool_demands(state);
        self.demand.observe(&policy, now, &pool_demands);
        let observation = self.observation.load();
        let input = PlanInput {
            listing: observation.listing.clone(),
            expired_vms: observation.expired_vms.clone(),
            evictable_members: observation.evictable_members.clone(),
            probed: observation.probed.clone(),
            demand: self.demand.clone(),
            now,
        };
        let steps = plan(state, &input);
        let members: Vec<MemberName> = state
            .members()
            .live()
            .map(|record| record.join.member.clone())
            .collect();
        let rank = rendezvous_rank(&members, &self.context.name, "planner");
        self.propose_due(steps, rank);
        // Steps that became due long ago are removed; one that is still due is added again.
        self.due.retain(|_, due| {
            now - due.since < PROPOSE_INTERVAL + PROPOSE_INTERVAL + rank_delay(rank)
        });
    }

    /// Proposes the steps that have been due for the delay of this rank, each at most once per
    /// interval.
    fn propose_due(&mut self, steps: Vec<Step>, rank: usize) {
        let now = self.context.clock.now();
        for step in steps {
            let key = format!("{step:?}");
            let due = self.due.entry(key).or_insert(DueStep {
                since: now,
                proposed_at: None,
            });
            let rank_elapsed = now - due.since >= rank_delay(rank);
            let interval_elapsed = due
                .proposed_at
                .is_none_or(|at| now - at >= PROPOSE_INTERVAL);
            if rank_elapsed && interval_elapsed {
                due.proposed_at = Some(now);
                self.context.proposals.propose_detached(step);
            }
        }
    }

    /// Returns the demand for each pool, summed over all members.
    fn pool_demands(&self, state: &FoldState) -> Vec<PoolDemand> {
        let routes = self.context.routes.load();
        let counts = state.fleet().counts();
        let mut pool_demands = Vec::new();
        for (pool, entry) in state.catalogue().pools() {
            let available = counts.get(&pool).map_or(0, |count| count.available as u32);
            let own = routes.pools.get(&pool);
            let own_running = own.map_or(0, |route| route.held());
            let own_waiting = own.map_or(0, |route| route.waiting());
            let others = self.context.peers.pool_load(&pool);
            pool_demands.push(PoolDemand {
                running: others.running.saturating_add(own_running),
                waiting: others.waiting.saturating_add(own_waiting),
                slots: available * entry.slots,
                pool,
            });
        }
        pool_demands
    }

    /// Asks the platform to reboot the VMs that are due for it; repeating the request has no
    /// effect.
    async fn reboot(&mut self, state: &FoldState, list: &mut ListClient) {
        let now = self.context.clock.now();
        self.reboot_requests
            .retain(|_, at| now - *at < PROPOSE_INTERVAL);
        for vm in state.fleet().vms() {
            let AnyVm::Rebooting(rebooting) = vm else {
                continue;
            };
            let name = &rebooting.identity.vm;
            let is_pending = rebooting.identity.details.boot <= rebooting.phase.old_boot;
            if !is_pending || self.reboot_requests.contains_key(name) {
                continue;
            }
            self.reboot_requests.insert(name.clone(), now);
            if let Err(error) = list.reboot(name, rebooting.phase.old_boot).await {
                log_line!(
                    debug,
                    Control,
                    "failed to request the reboot of {name}: {error}"
                );
            }
        }
    }
}

fn rank_delay(rank: usize) -> ClockTime {
    ClockTime::from_millis(RANK_DELAY.as_millis() * rank as u64)
}
