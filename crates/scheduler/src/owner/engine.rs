//! The task that holds the scheduler: takes events, decides, lets effects be performed.

use std::{sync::Arc, time::Duration};

use jacinthhoist_codec::{AcceptedRecord, JobAnswer, OwnerWord};
use jacinthhoist_core::{
    ClockTime,
    job::{JobCatalogue, JobId, Scheduler},
};
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};

use crate::{
    membership::PoolOwnership, operator::WaveRequests, ports::Platform, shared::MemberShared,
};

use super::{
    OwnerEvent, OwnerTask,
    load::load,
    perform::Performer,
    sources::{follow_workers, tail},
    workers::{WorkerPorts, meter_start},
};

/// Longest time between two decisions: short against the shortest tasks.
const STEP_PACE: Duration = Duration::from_millis(20);
/// Events taken in before the next decision.
const EVENTS_AT_ONCE: usize = 256;
/// Time between two words on loads to the other members.
const LOADS_PACE: ClockTime = ClockTime::from_millis(200);
/// Time between two reads of the list of VMs while orders or a wave are under way.
const VMS_PACE: ClockTime = ClockTime::from_millis(500);
/// Time between two reads of the list of VMs otherwise.
const VMS_IDLE_PACE: ClockTime = ClockTime::from_millis(3_000);
/// How old the last read of accepted jobs may be for the owner to say that there is no such job.
const TAIL_FRESH: ClockTime = ClockTime::from_millis(1_500);
/// How old the group's word that this member owns the pools may be for VMs to be ordered about: the
/// shortest time after which the store may have given them away.
const PLACE_FRESH: ClockTime = ClockTime::from_millis(900);

/// The owner pipe under one token.
pub(super) struct OwnerEngine<P: Platform> {
    shared: Arc<MemberShared>,
    scheduler: Scheduler,
    workers: WorkerPorts<P>,
    performer: Performer<P>,
    events: mpsc::UnboundedReceiver<OwnerEvent>,
    ownership: watch::Receiver<PoolOwnership>,
    waves: watch::Receiver<WaveRequests>,
    catalogue: Arc<JobCatalogue>,
    tail_seen_at: ClockTime,
    loads_at: ClockTime,
    vms_at: ClockTime,
    /// Ends with the engine.
    _sources: JoinSet<()>,
}

impl<P: Platform> OwnerEngine<P> {
    /// Takes over under a token.
    ///
    /// # Errors
    ///
    /// Why this member cannot be the owner.
    pub(super) async fn load(owner: &OwnerTask<P>, token: u64) -> Result<Self, &'static str> {
        let (platform, shared) = (owner.platform.clone(), owner.shared.clone());
        let loaded = load(&*platform, &shared, owner.limits, token).await?;
        let (sender, events) = mpsc::unbounded_channel();
        let mut sources = JoinSet::new();
        let next = loaded.accepted_next;
        sources.spawn(tail(platform.clone(), shared.clone(), sender.clone(), next));
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
        let workers = WorkerPorts::open(platform.clone(), shared.clone(), sender.clone(), token);
        Ok(Self {
            scheduler: loaded.scheduler,
            workers,
            performer: Performer::open(platform, shared.clone(), sender, token),
            events,
            ownership: owner.ownership.clone(),
            waves,
            catalogue: catalogue.ok_or("the catalogue is not known")?,
            tail_seen_at: shared.clock.now(),
            loads_at: ClockTime::ZERO,
            vms_at: ClockTime::ZERO,
            _sources: sources,
            shared,
        })
    }

    /// Owns the pools until that ends, and tells why.
    pub(super) async fn run(mut self) -> &'static str {
        let mut ticks = interval(STEP_PACE);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut taken = Vec::with_capacity(EVENTS_AT_ONCE);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                _ = self.events.recv_many(&mut taken, EVENTS_AT_ONCE) => {}
            }
            if let Some(reason) = self.lost() {
                break reason;
            }
            let mut fenced = None;
            for event in taken.drain(..) {
                if let OwnerEvent::Fenced(reason) = event {
                    fenced = Some(reason);
                } else {
                    self.take(event);
                }
            }
            if let Some(reason) = fenced {
                break reason;
            }
            self.follow();
            self.decide();
        }
    }

    fn lost(&self) -> Option<&'static str> {
        if self.shared.is_stopping() {
            return Some("the member stops");
        }
        let owned = self.ownership.borrow().owned_since.is_some();
        (!owned).then_some("the group gave the pools to another member")
    }

    /// Takes over what operators changed.
    fn follow(&mut self) {
        let now = self.shared.clock.now();
        let newest = self.shared.catalogue.load();
        if let Some(newest) = newest.as_ref()
            && newest.version != self.catalogue.version
        {
            self.catalogue = newest.clone();
            self.scheduler.publish(newest.clone());
        }
        if self.waves.has_changed().unwrap_or(false) {
            let requests: Vec<_> = self.waves.borrow_and_update().values().cloned().collect();
            for request in requests {
                self.scheduler.request_wave(request, now);
            }
        }
    }

    fn decide(&mut self) {
        let now = self.shared.clock.now();
        let confirmed_at = self.ownership.borrow().confirmed_at;
        self.scheduler
            .set_in_touch(now < confirmed_at + PLACE_FRESH);
        let effects = self.scheduler.step(now);
        let took = self.shared.clock.now() - now;
        let meter = &self.shared.meter;
        meter.step_time.record(took.as_secs_f64());
        self.workers.sync(&self.scheduler);
        for effect in effects {
            self.performer.perform(effect, &self.workers);
        }
        self.workers.hold_due(&mut self.scheduler, now);
        self.publish_loads(now);
        self.watch_vms(now);
    }

    fn publish_loads(&mut self, now: ClockTime) {
        if now < self.loads_at + LOADS_PACE {
            return;
        }
        self.loads_at = now;
        let open = self.scheduler.open_jobs();
        self.shared.meter.open_jobs.set(open as f64);
        let word = Arc::new(OwnerWord {
            loads: self.scheduler.loads().into_iter().collect(),
            read_age: now - self.tail_seen_at,
            place_age: now - self.ownership.borrow().confirmed_at,
        });
        self.shared.set_load_report(Arc::clone(&word));
        self.shared.report_feed.send_replace(word);
    }

    fn watch_vms(&mut self, now: ClockTime) {
        let pace = if self.scheduler.watches_vms() {
            VMS_PACE
        } else {
            VMS_IDLE_PACE
        };
        if now >= self.vms_at + pace {
            self.vms_at = now;
            self.performer.list_vms(now);
        }
    }

    fn take(&mut self, event: OwnerEvent) {
        let now = self.shared.clock.now();
        let scheduler = &mut self.scheduler;
        match event {
            OwnerEvent::Accepted(records) => {
                self.tail_seen_at = now;
                take_accepted(scheduler, records);
            }
            OwnerEvent::Told(records) => take_accepted(scheduler, records),
            OwnerEvent::WorkersListed(listed) => scheduler.list_workers(listed, now),
            OwnerEvent::WorkerChanged(id, Some(entry)) => {
                scheduler.worker_listed(id, entry, now);
            }
            OwnerEvent::WorkerChanged(id, None) => scheduler.worker_unlisted(&id, now),
            OwnerEvent::Held {
                worker,
                report,
                asked_at,
                look,
            } => {
                self.workers.held(&worker, report.is_some(), look);
                match report {
                    Some(report) => scheduler.report(&worker, report, asked_at, now),
                    None => scheduler.hold_failed(&worker, now),
                }
            }
            OwnerEvent::Started {
                worker,
                task,
                run,
                reply,
            } => {
                meter_start(&self.shared.meter, reply);
                scheduler.start_replied(&worker, task, run, reply, now);
            }
            OwnerEvent::Stopped {
                worker,
                task,
                run,
                reply,
            } => scheduler.stop_replied(&worker, task, run, reply, now),
            OwnerEvent::Stored(number) => scheduler.stored(number, now),
            OwnerEvent::Forgotten(jobs) => scheduler.forgotten(&jobs),
            OwnerEvent::Advised(advice) => scheduler.advised(advice, now),
            OwnerEvent::Vms { vms, asked_at } => scheduler.list_vms(vms, asked_at, now),
            OwnerEvent::VmOrdered { vm, reply } => scheduler.vm_replied(&vm, reply, now),
            OwnerEvent::Fenced(_) => {}
            OwnerEvent::Ask { job, reply } => {
                // The one who asked may have left.
                let _ = reply.send(self.answer(job, now));
            }
        }
    }

    /// What is known of a job; that there is none can only be said by one who has read all that was
    /// accepted until a moment ago and still owns the pools.
    fn answer(&self, job: JobId, now: ClockTime) -> JobAnswer {
        if let Some(state) = self.scheduler.state(job) {
            return JobAnswer::Known(state);
        }
        let fresh = now < self.tail_seen_at + TAIL_FRESH;
        let owns = now < self.ownership.borrow().confirmed_at + TAIL_FRESH;
        if fresh && owns {
            JobAnswer::Missing
        } else {
            JobAnswer::Unsure
        }
    }
}

/// Takes accepted records; what is known already changes nothing.
fn take_accepted(scheduler: &mut Scheduler, records: Vec<AcceptedRecord>) {
    for record in records {
        match record {
            AcceptedRecord::Job(id, spec) => scheduler.accept(id, Arc::new(spec)),
            AcceptedRecord::Cancel(id) => scheduler.cancel(id),
            AcceptedRecord::Dropped => {}
        }
    }
}
