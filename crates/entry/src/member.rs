//! One entry member: binds its addresses, starts its pipes, stops in good order.

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
    answer_cache::AnswerCacheHandle,
    context::{BoundAddresses, ContextParts, MemberContext, StopPhase},
    control::{
        AppendTask, FoldTask, Observation, ObserveTask, PlanTask, PublishTask, ReadTask,
        SnapshotTask, proposal_channel,
    },
    error::{BindSnafu, Result},
    logs::log_line,
    peer::{self, LendTask, LinkTask},
    pipe,
    routes::RouteBuilder,
    settings::EntrySettings,
};

/// Pause between two attempts to join.
const JOIN_PAUSE: Duration = Duration::from_secs(2);
/// How often the member looks whether it still counts, or is idle.
const RECHECK: Duration = Duration::from_millis(50);
/// How long the last records of a member that stops may take.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// A running entry member. Dropping it ends its tasks at once; [`EntryMember::stop`] is the
/// planned way.
pub struct EntryMember {
    context: Arc<MemberContext>,
    callers: JoinHandle<Result<()>>,
    drained: watch::Receiver<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl EntryMember {
    /// Binds the addresses of the settings and starts a member on the current runtime.
    ///
    /// ```
    /// use jacinthhoist_entry::{EntryMember, EntrySettings};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let member = EntryMember::spawn(EntrySettings::example("entry-1")).await.unwrap();
    /// assert_ne!(member.addresses().caller.port(), 0);
    /// assert!(member.waits_for().is_some(), "there is no log to read");
    /// # });
    /// ```
    ///
    /// # Errors
    ///
    /// An address that cannot be bound.
    pub async fn spawn(settings: EntrySettings) -> Result<Self> {
        let caller = bind(settings.member.caller_address).await?;
        let peer = bind(settings.member.peer_address).await?;
        let admin = bind(settings.member.admin_address).await?;
        let addresses = BoundAddresses {
            caller: local(&caller, settings.member.caller_address),
            peer: local(&peer, settings.member.peer_address),
            admin: local(&admin, settings.member.admin_address),
        };
        let (proposals, proposed) = proposal_channel();
        let answer_cache = AnswerCacheHandle::spawn(settings.limits.kept_bytes);
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
        let (own, own_folds) = mpsc::unbounded_channel();
        let (routes, changes) = watch::channel(Offset(0));
        let fold = FoldTask::spawn(context.clone(), own, routes);
        let observation = Arc::new(ArcSwap::from_pointee(Observation::default()));
        let (drained_sender, drained) = watch::channel(true);
        let plan = PlanTask::new(context.clone(), observation.clone(), changes.clone());
        let append = AppendTask {
            context: context.clone(),
            proposals: proposed,
            own: own_folds,
            seq: 0,
            drained: drained_sender,
        };
        let callers = tokio::spawn(pipe::serve_callers(context.clone(), caller));
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
                    changes,
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
                LendTask {
                    context: context.clone(),
                }
                .run(),
            ),
            tokio::spawn(peer::serve_peers(context.clone(), fold, peer)),
            tokio::spawn(admin::serve_operators(context.clone(), admin)),
            tokio::spawn(keep_joined(context.clone())),
        ];
        Ok(Self {
            context,
            callers,
            drained,
            tasks,
        })
    }

    /// The member's name.
    pub fn name(&self) -> &MemberName {
        &self.context.name
    }

    /// Where it listens.
    pub fn addresses(&self) -> BoundAddresses {
        self.context.addresses
    }

    /// Why it is not ready, if it is not.
    pub fn waits_for(&self) -> Option<&'static str> {
        self.context.waits_for()
    }

    /// Connections that this member has open to upstreams, the most to any one of them.
    pub fn most_connections(&self) -> u32 {
        let routes = self.context.routes.load();
        let vms = routes.pools.values().flat_map(|pool| &pool.vms);
        vms.map(|vm| vm.endpoint.connections.count())
            .max()
            .unwrap_or(0)
    }

    /// Ends when the member has been put out of the agreed members.
    pub async fn ended(&self) {
        self.context.wait_for_stop(StopPhase::Ended).await;
    }

    /// Stops in good order: readiness off, no new requests, none in flight cut, then leaves.
    ///
    /// Ends early at the settings' limit; returns whether everything in flight had ended.
    pub async fn stop(mut self) -> bool {
        let limits = self.context.settings.limits.clone();
        let until = Instant::now() + Duration::from_millis(limits.stop_ms);
        self.context.advance_stop(StopPhase::Unready);
        log_line!(
            info,
            Member,
            "{} stops. Readiness is off.",
            self.context.name
        );
        sleep(Duration::from_millis(limits.unready_ms)).await;
        self.context.advance_stop(StopPhase::Draining);
        let served = timeout_at(until, &mut self.callers).await.is_ok();
        let idle = timeout_at(until, self.idle()).await.is_ok();
        self.leave().await;
        self.context.advance_stop(StopPhase::Ended);
        for task in std::mem::take(&mut self.tasks) {
            // A task that failed has ended, which is all that is wanted here.
            let _ = timeout(LEAVE_LIMIT, task).await;
        }
        log_line!(info, Member, "{} has stopped.", self.context.name);
        served && idle
    }

    async fn idle(&self) {
        let mut recheck = interval(RECHECK);
        while !RouteBuilder::is_idle(&self.context.routes.load()) {
            recheck.tick().await;
        }
    }

    /// Appends what is left to say, then the leave.
    async fn leave(&mut self) {
        let flushed = self.drained.wait_for(|drained| *drained);
        // The log may be down: the member is then evicted once it is gone from the VM list.
        let _ = timeout(LEAVE_LIMIT, flushed).await;
        if self.context.is_member() {
            let _ = timeout(LEAVE_LIMIT, self.context.proposals.propose(Step::Leave)).await;
        }
    }
}

impl Drop for EntryMember {
    fn drop(&mut self) {
        self.context.advance_stop(StopPhase::Ended);
        self.callers.abort();
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

fn local(listener: &TcpListener, wanted: std::net::SocketAddr) -> std::net::SocketAddr {
    listener.local_addr().unwrap_or(wanted)
}

/// Joins once the log is read, and ends the member when it is put out.
async fn keep_joined(context: Arc<MemberContext>) {
    let mut recheck = interval(RECHECK);
    while !context.is_caught_up() {
        recheck.tick().await;
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
                "The join was rejected: {}.",
                rejection.message
            );
            // Others may leave, or raise the limit: ask again later.
            sleep(JOIN_PAUSE).await;
        }
    }
    log_line!(info, Member, "{} has joined.", context.name);
    while context.is_member() {
        recheck.tick().await;
    }
    if *context.stop.borrow() < StopPhase::Draining {
        log_line!(
            error,
            Member,
            "{} was put out of the members. It ends.",
            context.name
        );
        context.advance_stop(StopPhase::Ended);
    }
}
