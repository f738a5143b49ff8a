//! Publish stage: rebuilds the request pipe's route table whenever the state it depends on changes.

use std::{sync::Arc, time::Duration};

use jacinthhoist_core::{MemberName, Offset};
use tokio::{sync::watch, time::interval};

use crate::{
    context::{MemberContext, StopPhase},
    pipe::QueueHandle,
    routes::RouteBuilder,
};

/// Interval between checks for newly suspected peers and for draining VMs that have become idle.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Task that builds route tables.
pub(crate) struct PublishTask {
    pub(crate) context: Arc<MemberContext>,
    pub(crate) route_changes: watch::Receiver<Offset>,
}

impl PublishTask {
    /// Runs until the member has ended.
    pub(crate) async fn run(mut self) {
        let context = self.context.clone();
        let mut builder = RouteBuilder::open(
            context.name.clone(),
            context.settings.limits.request_threads(),
        );
        let mut published_members: Vec<MemberName> = Vec::new();
        let mut check_tick = interval(CHECK_INTERVAL);
        let ended = context.wait_for_stop(StopPhase::Ended);
        tokio::pin!(ended);
        loop {
            let changed = tokio::select! {
                changed = self.route_changes.changed() => changed.is_ok(),
                () = context.rebuild.notified() => true,
                _ = check_tick.tick() => false,
                () = &mut ended => return,
            };
            let active_members = self.active_members();
            let has_draining = !context.routes.load().draining.is_empty();
            if !changed && !has_draining && active_members == published_members {
                continue;
            }
            let state = context.state.load_full();
            let open_queue = |pool: &_, load: &_| QueueHandle::spawn(&context, pool, load);
            let table = builder.build(&state, &active_members, open_queue);
            for pool in table.pools.values() {
                pool.queue.wake();
            }
            context.routes.store(Arc::new(table));
            published_members = active_members;
        }
    }

    /// Returns the live members that are not suspected, which share the slots.
    fn active_members(&self) -> Vec<MemberName> {
        let context = &self.context;
        let now = context.clock.now();
        let silence_timeout =
            jacinthhoist_core::ClockTime::from_millis(context.settings.limits.silent_ms);
        let state = context.state.load();
        let live = state.members().live().map(|record| &record.join.member);
        live.filter(|member| {
            **member == context.name || !context.peers.is_suspected(member, now, silence_timeout)
        })
        .cloned()
        .collect()
    }
}
