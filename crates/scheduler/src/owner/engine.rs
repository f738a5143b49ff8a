//! Task that holds the scheduler: applies events, takes scheduling steps and starts their effects.

use std::{sync::Arc, time::Duration};

use jacinthhoist_codec::{AcceptedRecord, JobReply, OwnerHeartbeat};
use jacinthhoist_core::{
    ClockTime,
    job::{
        JobCatalogue, MemoryReport, OrderReply, Scheduler, StartReply, StepPace, SuccessionRecord,
    },
};
use smallvec::SmallVec;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    append::duration, eventlog::event, membership::PoolOwnership, operator::WaveRequests,
    peer::JobQuery, ports::Platform, shared::MemberShared,
};

use super::{
    AcceptedRead, OwnerEvent, OwnerTask,
    authority::{MAX_AUTHORITY_AGE, OwnerAuthority},
    decisions::{log_pool, log_tenant},
    effects::EffectRunner,
    questions::{OpenQuestions, ReadDemand},
    sources::{AcceptedReader, follow_workers},
    takeover::load_state,
    wall_times::WallTimes,
    workers::{WorkerConnections, count_start_reply},
};

/// Interval of scheduling steps while no events arrive; short compared with the shortest tasks.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum events applied before the next scheduling step.
const MAX_STEP_EVENTS: usize = 1_024;
/// Interval between heartbeats to the other members.
const HEARTBEAT_INTERVAL: ClockTime = ClockTime::from_millis(200);
/// Interval between reads of the VM list while VM orders or a maintenance wave are in progress.
const VM_LIST_INTERVAL: ClockTime = ClockTime::from_millis(500);
/// Interval between reads of the VM list otherwise.
const VM_LIST_IDLE_INTERVAL: ClockTime = ClockTime::from_millis(3_000);
/// Interval between log lines on the load of the pools.
const POOL_LOG_INTERVAL: ClockTime = ClockTime::from_millis(1_000);
/// Interval between log lines on the leases of an owner without evidence from the store.
const LEASE_LOG_INTERVAL: ClockTime = ClockTime::from_millis(1_000);
/// Time after a takeover at which most other members have opened their links; they look for the owner
/// every 100 ms.
const SUCCESSION_DELAY: ClockTime = ClockTime::from_millis(300);

/// Owner pipe under one fencing token.
pub(super) struct OwnerEngine<P: Platform> {
    shared: Arc<MemberShared>,
    scheduler: Scheduler,
    workers: WorkerConnections<P>,
    effect_runner: EffectRunner<P>,
    authority: OwnerAuthority,
    events: mpsc::UnboundedReceiver<OwnerEvent>,
    ownership: watch::Receiver<PoolOwnership>,
    waves: watch::Receiver<WaveRequests>,
    catalogue: Arc<JobCatalogue>,
    pace: StepPace,
    tail_read_at: ClockTime,
    questions: OpenQuestions,
    heartbeat_at: ClockTime,
    vms_listed_at: ClockTime,
    pools_logged_at: ClockTime,
    leases_logged_at: ClockTime,
    member_key: Arc<str>,
    wall_times: WallTimes,
    taken_over_at: ClockTime,
    /// Aborted when the engine is dropped.
    _sources: JoinSet<()>,
}

impl<P: Platform> OwnerEngine<P> {
    /// Takes over the pools under a token: loads the stored state and starts the event sources.
    ///
    /// # Errors
    ///
    /// Returns the reason for which this member cannot own the pools.
    pub(super) async fn take_over(owner: &OwnerTask<P>, token: u64) -> Result<Self, &'static str> {
        let (platform, shared) = (owner.platform.clone(), owner.shared.clone());
        let loaded = load_state(owner, token).await?;
        let (sender, events) = mpsc::unbounded_channel();
        let mut sources = JoinSet::new();
        let demand = Arc::new(ReadDemand::default());
        let reader = AcceptedReader {
            platform: platform.clone(),
            shared: shared.clone(),
            events: sender.clone(),
            demand: demand.clone(),
            next: Arc::new(loaded.accepted_next.into()),
        };
        sources.spawn(reader.clone().tail());
        sources.spawn(reader.read_on_demand());
        let next = loaded.workers_next;
        sources.spawn(follow_workers(
            platform.clone(),
            shared.clone(),
            sender.clone(),
            next,
        ));
        let catalogue = shared.catalogue.load_full();
        let mut waves = owner.waves.clone();
        waves.mark_changed();
        shared.owner_inbox.store(Some(Arc::new(sender.clone())));
        let workers = WorkerConnections::open(platform.clone(), shared.clone(), sender.clone());
        Ok(Self {
            scheduler: loaded.scheduler,
            workers,
            effect_runner: EffectRunner::open(
                platform,
                shared.clone(),
                sender,
                token,
                loaded.stored_parts,
            ),
            authority: OwnerAuthority::open(shared.clock, token, loaded.proof),
            events,
            ownership: owner.ownership.clone(),
            waves,
            catalogue: catalogue.ok_or("the catalogue is not known")?,
            pace: StepPace::default(),
            tail_read_at: loaded.accepted_read_at,
            questions: OpenQuestions::open(demand, shared.clock.now()),
            heartbeat_at: ClockTime::ZERO,
            vms_listed_at: ClockTime::ZERO,
            pools_logged_at: ClockTime::ZERO,
            leases_logged_at: ClockTime::ZERO,
            wall_times: WallTimes::open(shared.clock.now()),
            member_key: shared.identity.member_key().into(),
            taken_over_at: shared.clock.now(),
            _sources: sources,
            shared,
        })
    }

    /// Owns the pools until the ownership ends, and returns the reason.
    pub(super) async fn run(mut self) -> &'static str {
        let mut ticks = interval(STEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut events = Vec::with_capacity(MAX_STEP_EVENTS);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                _ = self.events.recv_many(&mut events, MAX_STEP_EVENTS) => {}
            }
            // Everything that arrives until then is part of the next step.
            sleep(duration(self.pace.next_at() - self.shared.clock.now())).await;
            while events.len() < MAX_STEP_EVENTS
                && let Ok(event) = self.events.try_recv()
            {
                events.push(event);
            }
            let began_at = self.shared.clock.now();
            if let Some(reason) = self.end_reason() {
                break reason;
            }
            if let Some(reason) = self.find_fence(&events) {
                break reason;
            }
            for event in events.drain(..) {
                self.apply(event);
            }
            self.apply_operator_records();
            self.step();
            self.pace.record(began_at, self.shared.clock.now());
        }
    }

    /// Returns the reason for which the ownership ends if an event shows that a later owner has taken over.
    /// Nothing else that has arrived is decided on then.
    fn find_fence(&self, events: &[OwnerEvent]) -> Option<&'static str> {
        let (event, reason) = events
            .iter()
            .find_map(|event| Some((event, event.fence()?)))?;
        let (worker, task, run, order) = match event {
            OwnerEvent::Started {
                worker, task, run, ..
            } => {
                count_start_reply(&self.shared.meter, StartReply::Fenced);
                (worker, task, run, "start")
            }
            OwnerEvent::Stopped {
                worker, task, run, ..
            } => (worker, task, run, "stop"),
            _ => return Some(reason),
        };
        event!(self.shared.log, OrderFenced, "worker": worker.as_str(), "order": order,
            "task": task.to_string(), "run": run, "token": self.authority.token());
        Some(reason)
    }

    fn end_reason(&self) -> Option<&'static str> {
        if self.shared.is_stopping() {
            return Some("the member is stopping");
        }
        let owned = self.ownership.borrow().owned_since.is_some();
        (!owned).then_some("the group assigned the pools to another member")
    }

    /// Passes a new catalogue and new wave requests to the scheduler.
    fn apply_operator_records(&mut self) {
        let now = self.shared.clock.now();
        let newest = self.shared.catalogue.load();
        if let Some(newest) = newest.as_ref()
            && newest.version != self.catalogue.version
        {
            self.catalogue = newest.clone();
            self.scheduler.set_catalogue(newest.clone());
        }
        if self.waves.has_changed().unwrap_or(false) {
            let requests: Vec<_> = self.waves.borrow_and_update().values().cloned().collect();
            for request in requests {
                self.scheduler.request_wave(request, now);
            }
        }
    }

    fn step(&mut self) {
        let now = self.shared.clock.now();
        let ownership = *self.ownership.borrow();
        self.authority.record_confirmation(ownership, now);
        if self.authority.needs_append(now) {
            self.scheduler.request_append();
        }
        self.authority.record_promises(self.promised_until());
        self.settle_questions(now);
        self.scheduler.set_evidence(self.authority.evidence());
        self.scheduler
            .set_starts_until(self.authority.starts_until());
        self.update_succession(now);
        let wall_reading = self.wall_times.read(&self.shared, &self.scheduler, now);
        self.scheduler.set_wall_reading(wall_reading);
        let is_confirmed = self.authority.is_confirmed(now);
        self.scheduler.set_ownership_confirmed(is_confirmed);
        let effects = self.scheduler.step(now);
        let elapsed = self.shared.clock.now() - now;
        let meter = &self.shared.meter;
        meter.step_time.record(elapsed.as_secs_f64());
        self.workers.sync(&self.scheduler);
        for effect in effects {
            let authority = &self.authority;
            self.effect_runner.run(effect, &self.workers, authority);
        }
        let authority = &self.authority;
        self.workers.renew_due(&mut self.scheduler, authority, now);
        self.publish_heartbeat(now);
        self.poll_vms(now);
        self.log_pools(now);
        self.log_leases(now);
    }

    /// Returns the time before which no member takes over by the promises of the others, which count once
    /// it is stored whose are needed.
    fn promised_until(&self) -> ClockTime {
        let standings = &self.shared.standings;
        let successors = self.scheduler.successors();
        successors.map_or(ClockTime::ZERO, |members| standings.promised_until(members))
    }

    /// Notes which former owners extend leases no more: those that follow this member, or in whose place
    /// another process does.
    fn review_former_owners(&mut self, now: ClockTime) {
        let standings = &self.shared.standings;
        let formers = self.scheduler.former_owners().iter();
        let ended = formers.filter(|former| {
            standings.has_ended(&former.key, self.taken_over_at)
                || standings.follows_since(&former.key, self.taken_over_at)
        });
        let ended: SmallVec<[Arc<str>; 2]> = ended.map(|former| former.key.clone()).collect();
        for key in ended {
            event!(self.shared.log, Ownership, "outcome": "a former owner has ended", "owner": &*key);
            self.scheduler.former_owner_ended(&key, now);
        }
    }

    /// Stores the members that may take over.
    fn update_succession(&mut self, now: ClockTime) {
        self.review_former_owners(now);
        if now >= self.taken_over_at + SUCCESSION_DELAY {
            let record = SuccessionRecord {
                owner: self.member_key.clone(),
                members: self.shared.standings.successors(now),
                formers: self.scheduler.former_owners().iter().cloned().collect(),
            };
            self.scheduler.set_succession(record);
        }
    }

    /// Logs until when the leases run that an owner without evidence from the store has granted.
    fn log_leases(&mut self, now: ClockTime) {
        let evidence = self.authority.evidence();
        let evidence_at = evidence.stored_at;
        let is_due = now >= self.leases_logged_at + LEASE_LOG_INTERVAL;
        if now < evidence_at + MAX_AUTHORITY_AGE || !is_due {
            return;
        }
        self.leases_logged_at = now;
        let busy = self.scheduler.workers().filter(|worker| !worker.is_empty());
        let granted = busy.filter_map(|worker| worker.process.lease.granted_until());
        let (count, until) = granted
            .filter(|until| *until > now)
            .fold((0, ClockTime::ZERO), |(count, latest), until| {
                (count + 1, latest.max(until))
            });
        event!(self.shared.log, Leases, "evidence_age_ms": (now - evidence_at).as_millis(),
            "stands_until_ms": evidence.stands_until().as_millis(), "workers": count,
            "until_ms": until.as_millis());
    }

    fn log_pools(&mut self, now: ClockTime) {
        if now < self.pools_logged_at + POOL_LOG_INTERVAL {
            return;
        }
        self.pools_logged_at = now;
        for summary in self.scheduler.pool_summaries() {
            log_pool(&self.shared.log, &summary);
        }
        let usage = self.scheduler.memory_usage();
        event!(self.shared.log, Memory, "finite": usage.finite, "lasting": usage.lasting,
            "closed": usage.closed, "budget": self.scheduler.job_memory(),
            "jobs": self.scheduler.open_jobs(), "parked": self.scheduler.parked_jobs());
        for summary in self.scheduler.tenant_summaries() {
            log_tenant(&self.shared.log, &summary);
            self.shared.meter.set_tenant(&summary);
        }
    }

    /// Returns the room for further jobs, by the smallest memory of the members that may own the pools.
    fn report_memory(&mut self) -> MemoryReport {
        let (smallest, followers) = self.shared.standings.job_memory();
        let own = self.shared.job_memory;
        let budget = smallest.map_or(own, |smallest| smallest.min(own));
        self.scheduler.set_job_memory(budget);
        let report = self.scheduler.memory_report(followers + 1);
        self.shared
            .meter
            .set_memory(self.scheduler.memory_usage(), &report);
        report
    }

    fn publish_heartbeat(&mut self, now: ClockTime) {
        if now < self.heartbeat_at + HEARTBEAT_INTERVAL {
            return;
        }
        self.heartbeat_at = now;
        let open = self.scheduler.open_jobs();
        self.shared.meter.open_jobs.set(open as f64);
        let asks_wall_time = self.wall_times.is_due(now);
        let heartbeat = Arc::new(OwnerHeartbeat {
            loads: self.scheduler.load_report(),
            read_age: now - self.tail_read_at,
            place_age: now - self.authority.confirmed_at(),
            sent_at: now,
            asks_wall_time,
            memory: Some(self.report_memory()),
        });
        self.shared.set_heartbeat(Arc::clone(&heartbeat));
        let is_reported = |id| self.scheduler.state(id).is_some();
        self.shared.unreported_jobs.drop_reported(is_reported);
        self.shared.heartbeats.publish(heartbeat);
    }

    fn poll_vms(&mut self, now: ClockTime) {
        let list_interval = if self.scheduler.needs_vm_list() {
            VM_LIST_INTERVAL
        } else {
            VM_LIST_IDLE_INTERVAL
        };
        if now >= self.vms_listed_at + list_interval {
            self.vms_listed_at = now;
            self.effect_runner.list_vms(now);
        }
    }

    fn apply(&mut self, event: OwnerEvent) {
        let now = self.shared.clock.now();
        let scheduler = &mut self.scheduler;
        match event {
            OwnerEvent::Accepted {
                records,
                read_at,
                read,
            } => {
                self.tail_read_at = read_at.unwrap_or(self.tail_read_at);
                apply_accepted(scheduler, records);
                match read {
                    AcceptedRead::OnDemand(number) if read_at.is_some() => {
                        self.questions.record_read(number);
                    }
                    AcceptedRead::List => self.questions.record_list(now),
                    AcceptedRead::OnDemand(_) | AcceptedRead::Tail => {}
                }
            }
            OwnerEvent::Forwarded(records) => apply_accepted(scheduler, records),
            OwnerEvent::WorkersListed(listed) => scheduler.workers_listed(listed, now),
            OwnerEvent::WorkerChanged(id, Some(entry)) => {
                scheduler.worker_listed(id, entry, now);
            }
            OwnerEvent::WorkerChanged(id, None) => scheduler.worker_unlisted(&id, now),
            OwnerEvent::Renewed {
                worker,
                report,
                asked_at,
                probe,
            } => {
                self.workers
                    .record_renewal(&worker, Some(report.is_some()), probe);
                match report {
                    Some(report) => scheduler.report(&worker, report, asked_at, now),
                    None => scheduler.renewal_failed(&worker, now),
                }
            }
            OwnerEvent::RenewalExpired { worker, probe } => {
                event!(self.shared.log, OrderExpired, "worker": worker.as_str(),
                    "order": "renewal");
                self.workers.record_renewal(&worker, None, probe);
            }
            OwnerEvent::Started {
                worker,
                task,
                run,
                reply,
            } => {
                count_start_reply(&self.shared.meter, reply);
                scheduler.start_replied(&worker, task, run, reply, now);
            }
            OwnerEvent::Stopped {
                worker,
                task,
                run,
                reply,
            } => {
                if reply == OrderReply::Expired {
                    event!(self.shared.log, OrderExpired, "worker": worker.as_str(),
                        "order": "stop", "task": task.to_string(), "run": run);
                }
                scheduler.stop_replied(&worker, task, run, reply, now);
            }
            OwnerEvent::Stored { number, asked_at } => {
                self.authority.record_append(asked_at);
                scheduler.batch_stored(number, now);
            }
            OwnerEvent::BodiesRemoved(jobs) => scheduler.bodies_removed(&jobs),
            OwnerEvent::Loaded { wanted, loaded } => scheduler.jobs_loaded(&wanted, loaded),
            OwnerEvent::Advised(advice) => scheduler.advice_received(advice, now),
            OwnerEvent::Vms { vms, asked_at } => scheduler.vms_listed(vms, asked_at, now),
            OwnerEvent::VmOrdered { vm, reply } => scheduler.vm_order_replied(&vm, reply, now),
            OwnerEvent::Fenced(_) => {}
            OwnerEvent::Query { query } => match find_job(scheduler, &query) {
                Some(answer) => {
                    // The sender of the query may no longer be waiting.
                    let _ = query.reply.send(answer);
                }
                None => self.questions.put(query, now),
            },
        }
    }

    /// Answers the questions that have waited for a read of accepted jobs.
    fn settle_questions(&mut self, now: ClockTime) {
        let owned_at = self.authority.evidence().stored_at;
        let find = |query: &JobQuery| find_job(&self.scheduler, query);
        self.questions.settle(owned_at, now, find);
    }
}

/// Returns the answer to a query for a job that the scheduler knows. A job of another tenant does not exist for the
/// caller.
fn find_job(scheduler: &Scheduler, query: &JobQuery) -> Option<JobReply> {
    let state = scheduler.state(query.job)?;
    let is_visible = scheduler.is_visible(query.job, query.tenant.as_ref());
    Some(if is_visible {
        JobReply::Known(state)
    } else {
        JobReply::Missing
    })
}

/// Applies accepted records; records that are already known have no effect.
fn apply_accepted(scheduler: &mut Scheduler, records: Vec<AcceptedRecord>) {
    for record in records {
        match record {
            AcceptedRecord::Job(id, spec) => scheduler.accept(id, Arc::new(spec)),
            AcceptedRecord::Cancel(id, tenant) => scheduler.cancel(id, tenant.as_ref()),
            AcceptedRecord::Removed => {}
        }
    }
}
