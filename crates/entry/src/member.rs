//! Entry member: binds the addresses, starts the pipes and stops gracefully.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use jacinthhoist_core::{MemberJoin, MemberName, Offset, Step};
use snafu::ResultExt;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{Instant, interval, sleep, timeout, timeout_at},
};

use crate::{
    admin,
    answer_cache::CacheHandle,
    context::{BoundAddresses, ContextParts, MemberContext, StopPhase},
    control::{
        AppendTask, FoldTask, Observation, ObserveTask, PlanTask, PublishTask, ReadTask,
        SnapshotTask, proposal_channel,
    },
    error::{BindSnafu, Result},
    logs::log_line,
    peer::{self, BorrowTask, LinkTask},
    pipe,
    routes::RouteBuilder,
    settings::EntrySettings,
};

/// Delay between two attempts to join.
const JOIN_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Interval between checks of the membership and of the requests in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for each of the last steps of a stop: the append of pending steps, the leave and the end
/// of a task.
const STOP_STEP_TIMEOUT: Duration = Duration::from_secs(3);

/// Running entry member. Dropping it aborts its tasks; [`EntryMember::stop`] stops it gracefully.
pub struct EntryMember {
    context: Arc<MemberContext>,
    caller_task: JoinHandle<Result<()>>,
    flushed: watch::Receiver<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl EntryMember {
    /// Binds the addresses in the settings and starts a member on the current runtime.
    ///
    /// ```
    /// use jacinthhoist_entry::{EntryMember, EntrySettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let member = EntryMember::spawn(EntrySettings::example("entry-1")).await.unwrap();
    /// assert_ne!(member.addresses().caller.port(), 0);
    /// assert!(member.waits_for().is_some(), "the log is unreachable");
    /// # });
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn spawn(settings: EntrySettings) -> Result<Self> {
        let caller = bind(settings.member.caller_address).await?;
        let peer = bind(settings.member.peer_address).await?;
        let admin = bind(settings.member.admin_address).await?;
        let addresses = BoundAddresses {
            caller: bound_address(&caller, settings.member.caller_address),
            peer: bound_address(&peer, settings.member.peer_address),
            admin: bound_address(&admin, settings.member.admin_address),
        };
        let (proposals, proposal_receiver) = proposal_channel();
        let answer_cache = CacheHandle::spawn(settings.limits.kept_bytes);
        let nonce = rand::random::<u64>() >> 1;
        let parts = ContextParts {
            settings,
            nonce,
            addresses,
            proposals,
            answer_cache,
        };
        let context = MemberContext::open(parts);
        log_line!(
            info,
            Member,
            "{} listens for callers on {}.",
            context.name,
            addresses.caller
        );
        let (verdict_sender, verdict_receiver) = mpsc::unbounded_channel();
        let (routes_revision, route_changes) = watch::channel(Offset(0));
        let fold = FoldTask::spawn(context.clone(), verdict_sender, routes_revision);
        let observation = Arc::new(ArcSwap::from_pointee(Observation::default()));
        let (flushed_sender, flushed) = watch::channel(true);
        let plan = PlanTask::new(context.clone(), observation.clone(), route_changes.clone());
        let append = AppendTask {
            context: context.clone(),
            proposals: proposal_receiver,
            own_verdicts: verdict_receiver,
            seq: 0,
            flushed: flushed_sender,
        };
        let caller_task = tokio::spawn(pipe::serve_callers(context.clone(), caller));
        let tasks = vec![
            tokio::spawn(append.run()),
            tokio::spawn(
                ReadTask {
                    context: context.clone(),
                    fold: fold.clone(),
                }
                .run(),
            ),
            tokio::spawn(
                PublishTask {
                    context: context.clone(),
                    route_changes,
                }
                .run(),
            ),
            tokio::spawn(ObserveTask::new(context.clone(), observation).run()),
            tokio::spawn(plan.run()),
            tokio::spawn(
                SnapshotTask {
                    context: context.clone(),
                }
                .run(),
            ),
            tokio::spawn(LinkTask::new(context.clone(), fold.clone()).run()),
            tokio::spawn(
                BorrowTask {
                    context: context.clone(),
                }
                .run(),
            ),
            tokio::spawn(peer::serve_peers(context.clone(), fold, peer)),
            tokio::spawn(admin::serve_operators(context.clone(), admin)),
            tokio::spawn(maintain_membership(context.clone())),
        ];
        Ok(Self {
            context,
            caller_task,
            flushed,
            tasks,
        })
    }

    /// Returns the name of the member.
    pub fn name(&self) -> &MemberName {
        &self.context.name
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> BoundAddresses {
        self.context.addresses
    }

    /// Returns the condition that the member waits for before it is ready, if any.
    pub fn waits_for(&self) -> Option<&'static str> {
        self.context.waits_for()
    }

    /// Returns the number of open connections to the upstream that has the most of them.
    pub fn max_connections(&self) -> u32 {
        let routes = self.context.routes.load();
        let vms = routes.pools.values().flat_map(|pool| &pool.vms);
        vms.map(|vm| vm.endpoint.connections.count())
            .max()
            .unwrap_or(0)
    }

    /// Completes once the member has been evicted.
    pub async fn ended(&self) {
        self.context.wait_for_stop(StopPhase::Ended).await;
    }

    /// Stops gracefully: reports that it is not ready, accepts no new requests, waits for those in
    /// flight and leaves.
    ///
    /// The wait is limited by `limits.stop_ms`. Returns true if no request was cut off.
    pub async fn stop(mut self) -> bool {
        let limits = self.context.settings.limits.clone();
        let deadline = Instant::now() + Duration::from_millis(limits.stop_ms);
        self.context.advance_stop(StopPhase::Unready);
        log_line!(
            info,
            Member,
            "{} is stopping and no longer ready",
            self.context.name
        );
        sleep(Duration::from_millis(limits.unready_ms)).await;
        self.context.advance_stop(StopPhase::Draining);
        let served = timeout_at(deadline, &mut self.caller_task).await.is_ok();
        let is_idle = timeout_at(deadline, self.wait_until_idle()).await.is_ok();
        self.leave().await;
        self.context.advance_stop(StopPhase::Ended);
        for task in std::mem::take(&mut self.tasks) {
            // Only the end of the task matters here, not its result.
            let _ = timeout(STOP_STEP_TIMEOUT, task).await;
        }
        log_line!(info, Member, "{} has stopped", self.context.name);
        served && is_idle
    }

    async fn wait_until_idle(&self) {
        let mut check_tick = interval(CHECK_INTERVAL);
        while !RouteBuilder::is_idle(&self.context.routes.load()) {
            check_tick.tick().await;
        }
    }

    /// Appends the pending steps and then the leave.
    async fn leave(&mut self) {
        let flushed = self.flushed.wait_for(|flushed| *flushed);
        // If the log is down, the other members evict this one once it is missing from the VM list.
        let _ = timeout(STOP_STEP_TIMEOUT, flushed).await;
        if self.context.is_member() {
            let _ = timeout(
                STOP_STEP_TIMEOUT,
                self.context.proposals.propose(Step::Leave),
            )
            .await;
        }
    }
}

impl Drop for EntryMember {
    fn drop(&mut self) {
        self.context.advance_stop(StopPhase::Ended);
        self.caller_task.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { address })
        .map_err(Into::into)
}

fn bound_address(listener: &TcpListener, requested: std::net::SocketAddr) -> std::net::SocketAddr {
    listener.local_addr().unwrap_or(requested)
}

/// Joins once the log has been read and stops the member if it is evicted.
async fn maintain_membership(context: Arc<MemberContext>) {
    let mut check_tick = interval(CHECK_INTERVAL);
    while !context.is_caught_up() {
        check_tick.tick().await;
    }
    while !context.is_member() {
        let join = MemberJoin {
            member: context.name.clone(),
            nonce: context.nonce,
            peer_address: context.addresses.peer.to_string(),
            data_centre: context.settings.member.data_centre.clone(),
            based_on: context.state.load().folded(),
        };
        let verdict = context.proposals.propose(Step::Join(join)).await;
        if let Ok(Err(rejection)) = verdict {
            log_line!(
                warn,
                Member,
                "join rejected, retrying: {}",
                rejection.message
            );
            // A later join may succeed, after another member has left or the limit was raised.
            sleep(JOIN_RETRY_DELAY).await;
        }
    }
    log_line!(info, Member, "{} has joined", context.name);
    while context.is_member() {
        check_tick.tick().await;
    }
    if *context.stop.borrow() < StopPhase::Draining {
        log_line!(
            error,
            Member,
            "{} is no longer a member; stopping",
            context.name
        );
        context.advance_stop(StopPhase::Ended);
    }
}
