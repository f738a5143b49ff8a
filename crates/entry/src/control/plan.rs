//! Plan and propose: due steps go to the log, this member's turn coming by its rank.

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

/// How much longer each further rank waits before it proposes what is still due.
const RANK_PAUSE: ClockTime = ClockTime::from_secs(2);
/// How long a proposed step is given before it is proposed again.
const PROPOSE_AGAIN: ClockTime = ClockTime::from_secs(3);

/// Plans and proposes.
pub(crate) struct PlanTask {
    context: Arc<MemberContext>,
    observation: Arc<ArcSwap<Observation>>,
    changes: watch::Receiver<Offset>,
    demand: DemandTracker,
    due: HashMap<String, DueStep>,
    rebooted: HashMap<VmName, ClockTime>,
}

/// Since when a step is due, and when it was last proposed.
#[derive(Clone, Copy)]
struct DueStep {
    since: ClockTime,
    proposed: Option<ClockTime>,
}

impl PlanTask {
    pub(crate) fn new(
        context: Arc<MemberContext>,
        observation: Arc<ArcSwap<Observation>>,
        changes: watch::Receiver<Offset>,
    ) -> Self {
        let (demand, due, rebooted) = Default::default();
        Self {
            context,
            observation,
            changes,
            demand,
            due,
            rebooted,
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
                Ok(()) = self.changes.changed() => {}
                () = &mut ended => return,
            }
            if !context.is_member() || !context.is_caught_up() {
                continue;
            }
            let state = context.state.load_full();
            self.confirm(&state);
            self.propose(&state);
            self.reboot(&state, &mut list).await;
        }
    }

    /// Confirms each drain of a VM on which this member holds nothing.
    fn confirm(&mut self, state: &FoldState) {
        let routes = self.context.routes.load();
        let mut steps = Vec::new();
        for vm in state.fleet().vms() {
            let AnyVm::Draining(draining) = vm else {
                continue;
            };
            let own = |(member, nonce): &(MemberName, u64)| {
                *member == self.context.name && *nonce == self.context.nonce
            };
            let name = &draining.identity.vm;
            let seen = routes.folded >= Some(draining.phase.drain);
            let held = routes
                .draining
                .iter()
                .any(|route| route.vm == *name && !route.gate.is_drained());
            if seen && !held && !draining.phase.confirmed.iter().any(own) {
                steps.push(Step::Confirm {
                    vm: name.clone(),
                    drain: draining.phase.drain,
                });
            }
        }
        drop(routes);
        self.post_due(steps, 0);
    }

    fn propose(&mut self, state: &FoldState) {
        let now = self.context.clock.now();
        let policy = state.catalogue().policy();
        let demands = self.demands(state);
        self.demand.observe(&policy, now, &demands);
        let observation = self.observation.load();
        let input = PlanInput {
            listing: observation.listing.clone(),
            expired_vms: observation.forgettable.clone(),
            evictable_members: observation.gone_members.clone(),
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
        self.post_due(steps, rank);
        self.due
            .retain(|_, due| now - due.since < PROPOSE_AGAIN + PROPOSE_AGAIN + rank_pause(rank));
    }

    /// Posts steps that have been due for this member's rank; each again only after a while.
    fn post_due(&mut self, steps: Vec<Step>, rank: usize) {
        let now = self.context.clock.now();
        for step in steps {
            let key = format!("{step:?}");
            let due = self.due.entry(key).or_insert(DueStep {
                since: now,
                proposed: None,
            });
            let waited = now - due.since >= rank_pause(rank);
            let again = due.proposed.is_none_or(|at| now - at >= PROPOSE_AGAIN);
            if waited && again {
                due.proposed = Some(now);
                self.context.proposals.post(step);
            }
        }
    }

    /// What all members together want of each pool.
    fn demands(&self, state: &FoldState) -> Vec<PoolDemand> {
        let routes = self.context.routes.load();
        let counts = state.fleet().counts();
        let mut demands = Vec::new();
        for (pool, entry) in state.catalogue().pools() {
            let available = counts.get(&pool).map_or(0, |count| count.available as u32);
            let own = routes.pools.get(&pool);
            let own_running = own.map_or(0, |route| route.held());
            let own_waiting = own.map_or(0, |route| route.waiting());
            let others = self.context.peers.pool_load(&pool);
            demands.push(PoolDemand {
                running: own_running + others.running,
                waiting: own_waiting + others.waiting,
                slots: available * entry.slots,
                pool,
            });
        }
        demands
    }

    /// Asks the platform to reboot VMs whose turn it is; asking twice does no harm.
    async fn reboot(&mut self, state: &FoldState, list: &mut ListClient) {
        let now = self.context.clock.now();
        self.rebooted.retain(|_, at| now - *at < PROPOSE_AGAIN);
        for vm in state.fleet().vms() {
            let AnyVm::Rebooting(rebooting) = vm else {
                continue;
            };
            let name = &rebooting.identity.vm;
            let waiting = rebooting.identity.details.boot <= rebooting.phase.old_boot;
            if !waiting || self.rebooted.contains_key(name) {
                continue;
            }
            self.rebooted.insert(name.clone(), now);
            if let Err(error) = list.reboot(name, rebooting.phase.old_boot).await {
                log_line!(
                    debug,
                    Control,
                    "The reboot of {name} was not taken: {error}."
                );
            }
        }
    }
}

fn rank_pause(rank: usize) -> ClockTime {
    ClockTime::from_millis(RANK_PAUSE.as_millis() * rank as u64)
}
