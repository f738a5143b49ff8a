//! Publish: builds the request pipe's route table whenever the state it depends on changes.

use std::{sync::Arc, time::Duration};

use jacinthhoist_core::{MemberName, Offset};
use tokio::{sync::watch, time::interval};

use crate::{
    context::{MemberContext, StopPhase},
    pipe::QueueHandle,
    routes::RouteBuilder,
};

/// How often it looks whether suspicions changed or closing VMs are clear.
const RECHECK: Duration = Duration::from_millis(200);

/// Builds route tables.
pub(crate) struct PublishTask {
    pub(crate) context: Arc<MemberContext>,
    pub(crate) changes: watch::Receiver<Offset>,
}

impl PublishTask {
    /// Runs until the member has ended.
    pub(crate) async fn run(mut self) {
        let context = self.context.clone();
        let mut builder = RouteBuilder::open(
            context.name.clone(),
            context.settings.limits.worker_threads(),
        );
        let mut shared: Vec<MemberName> = Vec::new();
        let mut recheck = interval(RECHECK);
        let ended = context.wait_for_stop(StopPhase::Ended);
        tokio::pin!(ended);
        loop {
            let changed = tokio::select! {
                changed = self.changes.changed() => changed.is_ok(),
                () = context.rebuild.notified() => true,
                _ = recheck.tick() => false,
                () = &mut ended => return,
            };
            let sharers = self.sharers();
            let closing = !context.routes.load().draining.is_empty();
            if !changed && !closing && sharers == shared {
                continue;
            }
            let state = context.state.load_full();
            let open_queue = |pool: &_, load: &_| QueueHandle::spawn(&context, pool, load);
            let table = builder.build(&state, &sharers, open_queue);
            for pool in table.pools.values() {
                pool.queue.wake();
            }
            context.routes.store(Arc::new(table));
            shared = sharers;
        }
    }

    /// Live members that are not suspected: they share the slots.
    fn sharers(&self) -> Vec<MemberName> {
        let context = &self.context;
        let now = context.clock.now();
        let silent = jacinthhoist_core::ClockTime::from_millis(context.settings.limits.silent_ms);
        let state = context.state.load();
        let live = state.members().live().map(|record| &record.join.member);
        live.filter(|member| {
            **member == context.name || !context.peers.is_suspected(member, now, silent)
        })
        .cloned()
        .collect()
    }
}
