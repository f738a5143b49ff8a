//! Caller pipe: accept → classify → permit → admit → store → answer.
//!
//! A call is a typestate: each filter consumes it in one phase and returns it in the next, or
//! returns the final reply. The pipe only loads snapshots and sends to channels; it has no state of
//! its own.

use std::{future::Future, sync::Arc, time::Duration};

use jacinthhoist_codec::{JobReply, KeyedRecord, StoreOutcome, encode_cancel, encode_job};
use jacinthhoist_core::{
    ClockTime, TenantName, WorkName,
    job::{
        CallerLimits, JobCatalogue, JobError, JobId, JobRefusal, JobSize, JobSpec, JobState,
        JobTerms, JobWork, KeyHash, KeyRefusal, RefusalGround, RepeatPlan, StepSpec, WorkLoad,
        admit_job, admit_tenant_job, outage_retry,
    },
};
use serde_json::json;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout_at},
};

use crate::{
    accept::StoreRequest, append::duration, eventlog::EventKind, peer::JobQuery,
    shared::MemberShared,
};

/// Longest part of a caller's timeout that is reserved for the transmission of the answer.
const ANSWER_MARGIN: ClockTime = ClockTime::from_millis(300);
/// Share of a short timeout that is reserved instead, as one over this number.
const MARGIN_DIVISOR: u64 = 4;
/// Maximum wait of a cancellation for an owner of the pools, and timeout of callers that state none.
const OWNER_TIMEOUT: ClockTime = ClockTime::from_millis(2_000);
/// Delay before a query is sent to the owner again.
const QUERY_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum age of the load in the owner's heartbeat; the callers' protocol allows counts that are
/// two seconds old.
const MAX_LOAD_AGE: ClockTime = ClockTime::from_millis(1_500);
/// Time without an answer from the store after which the member reports itself as not ready.
const MAX_STORE_SILENCE: ClockTime = ClockTime::from_millis(3_000);

/// Job as described by a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct JobBody {
    /// Input of each task.
    pub payload: Arc<str>,
    /// Steps of the job.
    pub steps: Vec<StepSpec>,
    /// Schedule of repetitions.
    pub repeat: Option<RepeatPlan>,
}

/// Action that a caller requests.
#[derive(Clone, Debug)]
pub enum CallerAction {
    /// Submits a job; `Err` holds the reason why the body could not be decoded.
    Submit(Result<JobBody, String>),
    /// Queries the state of a job, or the number of waiting jobs.
    Show,
    /// Cancels a job.
    Cancel,
}

impl CallerAction {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Show => "show",
            Self::Cancel => "cancel",
        }
    }
}

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Host of the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Requested action.
    pub action: CallerAction,
    /// Hash of the key that the request carries.
    pub key: Option<KeyHash>,
    /// Time for which the caller waits for the answer.
    pub timeout: Option<ClockTime>,
}

/// Reply to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerReply {
    /// The job has been stored and will run.
    Accepted,
    /// The job has been cancelled.
    Cancelled,
    /// State of the job.
    State(JobState),
    /// Number of waiting jobs.
    Waiting(u32),
    /// The host and path belong to no kind of work.
    NoSuchWork,
    /// The request carries no key that counts.
    NotPermitted(KeyRefusal),
    /// The job does not exist.
    NoSuchJob,
    /// The request is malformed.
    BadCall(String),
    /// The job was not accepted and will not run, as its pool is overloaded.
    Busy {
        /// Delay before a retry.
        retry_after: ClockTime,
    },
    /// The request had no effect, as the store or the owner cannot be reached.
    Unavailable {
        /// Delay before a retry.
        retry_after: ClockTime,
    },
    /// The outcome is unknown: the job may have been accepted.
    Unknown,
}

impl CallerReply {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Cancelled => "cancelled",
            Self::State(_) => "state",
            Self::Waiting(_) => "waiting",
            Self::NoSuchWork => "no_such_work",
            Self::NotPermitted(_) => "not_permitted",
            Self::NoSuchJob => "no_such_job",
            Self::BadCall(_) => "bad_call",
            Self::Busy { .. } => "busy",
            Self::Unavailable { .. } => "unavailable",
            Self::Unknown => "unknown",
        }
    }
}

/// What became known of a call, for its log line.
#[derive(Debug, Default)]
struct ServedCall {
    work: Option<WorkName>,
    tenant: Option<TenantName>,
    /// Why its job was refused for load.
    ground: Option<RefusalGround>,
}

/// Phase: the request has arrived.
struct Received(());

/// Catalogue as of a moment of a call.
struct CatalogueView {
    catalogue: Arc<JobCatalogue>,
    /// True if it was recent enough for keys to count.
    counts_keys: bool,
}

/// Phase: the kind of work is known.
struct Classified {
    view: CatalogueView,
    work: WorkName,
    /// Path after the prefix of the kind of work.
    rest: String,
}

/// Phase: the caller may use the kind of work.
struct Permitted {
    classified: Classified,
    /// Tenant of the caller; none if no key is needed.
    tenant: Option<TenantName>,
}

/// Phase: the job may be stored.
struct Admitted {
    work: WorkName,
    job: JobId,
    size: JobSize,
    /// Time in which the job's pool works off its backlog.
    drain: ClockTime,
    record: KeyedRecord,
}

/// Caller request in one phase of the pipe.
struct JobCall<P> {
    request: CallerRequest,
    received_at: ClockTime,
    deadline: Instant,
    phase: P,
}

impl<P> JobCall<P> {
    fn with_phase<N>(self, phase: N) -> JobCall<N> {
        JobCall {
            request: self.request,
            received_at: self.received_at,
            deadline: self.deadline,
            phase,
        }
    }
}

/// Pipe that serves callers.
#[derive(Clone)]
pub struct CallerPipe {
    shared: Arc<MemberShared>,
    store: mpsc::UnboundedSender<StoreRequest>,
    queries: mpsc::UnboundedSender<JobQuery>,
}

impl CallerPipe {
    pub(crate) fn open(
        shared: Arc<MemberShared>,
        store: mpsc::UnboundedSender<StoreRequest>,
        queries: mpsc::UnboundedSender<JobQuery>,
    ) -> Self {
        Self {
            shared,
            store,
            queries,
        }
    }

    /// Returns `true` if the member can serve new callers.
    pub fn is_ready(&self) -> bool {
        !self.shared.is_stopping()
            && self.shared.catalogue.load().is_some()
            && self.shared.store_silence() < MAX_STORE_SILENCE
            && self.shared.may_trust_keys()
    }

    /// Returns `true` if the member is stopping and connections should be closed after the next
    /// answer.
    pub fn is_stopping(&self) -> bool {
        self.shared.is_stopping()
    }

    /// Returns the limits on caller requests; `None` before the first catalogue has been read.
    pub fn limits(&self) -> Option<CallerLimits> {
        let catalogue = self.shared.catalogue.load();
        catalogue.as_ref().map(|catalogue| catalogue.limits)
    }

    /// Answers a request.
    pub async fn answer(&self, request: CallerRequest) -> CallerReply {
        let received_at = self.shared.clock.now();
        let (action, path) = (request.action.as_str(), request.path.clone());
        let received = self.receive(request, received_at);
        let mut served = ServedCall::default();
        let reply = self.serve(received, &mut served).await;
        let elapsed = self.shared.clock.now() - received_at;
        let meter = &self.shared.meter;
        meter.answer_time.record(elapsed.as_secs_f64());
        meter.count_answer(action, reply.as_str());
        // Successful status queries are not logged.
        if !matches!(reply, CallerReply::State(_) | CallerReply::Waiting(_)) {
            self.log_answer(action, &path, &served, &reply, elapsed);
        }
        reply
    }

    fn log_answer(
        &self,
        action: &'static str,
        path: &str,
        served: &ServedCall,
        reply: &CallerReply,
        elapsed: ClockTime,
    ) {
        let job = path.rsplit('/').next().unwrap_or_default();
        let catalogue = self.shared.catalogue.load();
        let version = catalogue.as_ref().map(|catalogue| catalogue.version);
        let load = served.work.as_ref();
        let load = load.map(|work| self.shared.work_load(work));
        let fields = json!({
            "job": job,
            "call": action,
            "work": served.work.as_ref().map(WorkName::as_str),
            "tenant": served.tenant.as_ref().map(TenantName::as_str),
            "ground": served.ground.map(RefusalGround::label),
            "catalogue_age_ms": self.shared.catalogue_age().map(ClockTime::as_millis),
            "outcome": reply.as_str(),
            "detail": format!("{reply:?}"),
            "took_ms": elapsed.as_millis(),
            "catalogue": version,
            "drain_ms": load.map(|(load, _)| load.drain.as_millis()),
            "load_age_ms": load.map(|(_, age)| age.as_millis()),
            "store_silence_ms": self.shared.store_silence().as_millis(),
        });
        self.shared.log.write(EventKind::Request, fields);
    }

    fn receive(&self, request: CallerRequest, received_at: ClockTime) -> JobCall<Received> {
        let timeout = request.timeout.unwrap_or(OWNER_TIMEOUT + ANSWER_MARGIN);
        JobCall {
            request,
            received_at,
            deadline: Instant::now() + duration(timeout - answer_margin(timeout)),
            phase: Received(()),
        }
    }

    async fn serve(&self, call: JobCall<Received>, served: &mut ServedCall) -> CallerReply {
        if matches!(call.request.action, CallerAction::Show) {
            self.await_catalogue(call.deadline).await;
        }
        let call = match self.classify(call) {
            Ok(call) => call,
            Err(reply) => return reply,
        };
        let work = call.phase.work.clone();
        served.work = Some(work.clone());
        let call = match self.permit(call) {
            Ok(call) => call,
            Err(reply) => return reply,
        };
        served.tenant = call.phase.tenant.clone();
        match &call.request.action {
            CallerAction::Submit(_) => match self.admit(call, served) {
                Ok(call) => self.store(call, served).await,
                Err(reply) => reply,
            },
            CallerAction::Show if call.phase.classified.rest.is_empty() => {
                self.count_waiting(&work)
            }
            CallerAction::Show => self.show(call).await,
            CallerAction::Cancel => self.cancel(call).await,
        }
    }

    /// Waits until the first catalogue has been read, or until a deadline. A member that has just
    /// started reads it within the time for which most callers wait.
    async fn await_catalogue(&self, deadline: Instant) {
        while self.shared.catalogue.load().is_none()
            && Instant::now() + QUERY_RETRY_DELAY < deadline
        {
            sleep(QUERY_RETRY_DELAY).await;
        }
    }

    /// Returns the present catalogue. What tells whether it is recent is read first: a newer catalogue is published
    /// before the proof that it is the newest.
    fn view_catalogue(&self) -> Option<CatalogueView> {
        let counts_keys = self.shared.may_trust_keys();
        let catalogue = self.shared.catalogue.load_full()?;
        Some(CatalogueView {
            catalogue,
            counts_keys,
        })
    }

    fn classify(&self, call: JobCall<Received>) -> Result<JobCall<Classified>, CallerReply> {
        let view = self.view_catalogue().ok_or_else(|| self.unavailable(0))?;
        let host = call.request.host.split(':').next().unwrap_or_default();
        let path = call.request.path.split('?').next().unwrap_or_default();
        let found = view.catalogue.find(host, path);
        let (work, rest) = found.ok_or_else(|| {
            if view.catalogue.may_be_unreadable(host, path) {
                self.unavailable(0)
            } else {
                CallerReply::NoSuchWork
            }
        })?;
        let phase = Classified {
            work: work.name.clone(),
            rest: rest.to_owned(),
            view,
        };
        Ok(call.with_phase(phase))
    }

    /// Finds the tenant of the caller. Keys count only while the catalogue is recent enough.
    fn permit(&self, call: JobCall<Classified>) -> Result<JobCall<Permitted>, CallerReply> {
        let Classified { view, work, .. } = &call.phase;
        let tenant = self.find_tenant(view, work, call.request.key.as_ref())?;
        let (request, received_at, deadline) = (call.request, call.received_at, call.deadline);
        Ok(JobCall {
            request,
            received_at,
            deadline,
            phase: Permitted {
                classified: call.phase,
                tenant,
            },
        })
    }

    fn find_tenant(
        &self,
        view: &CatalogueView,
        work: &WorkName,
        key: Option<&KeyHash>,
    ) -> Result<Option<TenantName>, CallerReply> {
        let work = view.catalogue.work(work);
        let work = work.ok_or(CallerReply::NoSuchWork)?;
        let tenant = view.catalogue.authorize(work, key);
        let tenant = tenant.map_err(|refusal| {
            self.shared.meter.count_key_refusal(refusal.label());
            CallerReply::NotPermitted(refusal)
        })?;
        if tenant.is_some() && !view.counts_keys {
            self.shared.meter.outdated_catalogues.increment(1);
            return Err(self.unavailable(0));
        }
        Ok(tenant)
    }

    fn admit(
        &self,
        call: JobCall<Permitted>,
        served: &mut ServedCall,
    ) -> Result<JobCall<Admitted>, CallerReply> {
        let Permitted { classified, tenant } = &call.phase;
        let id = job_id(&classified.rest)?;
        let CallerAction::Submit(body) = call.request.action.clone() else {
            return Err(CallerReply::BadCall("not a job".to_owned()));
        };
        let body = body.map_err(CallerReply::BadCall)?;
        let catalogue = &classified.view.catalogue;
        let work = catalogue.work(&classified.work);
        let work = work.ok_or(CallerReply::NoSuchWork)?;
        let (received_on, received_at) = self.shared.on_owner_clock(call.received_at);
        let spec = JobSpec {
            work: work.name.clone(),
            terms: JobTerms::of(work),
            tenant: tenant.clone(),
            received_at,
            received_on: Some(received_on),
            payload: body.payload,
            steps: body.steps,
            repeat: body.repeat,
        };
        spec.check().map_err(bad_job)?;
        let (size, drain) = (JobSize::of(&spec), self.admission_load(&work.name).drain);
        let admitted = self.admit_load(work, &spec);
        admitted
            .and_then(|()| self.admit_memory(&spec, size, drain))
            .map_err(|refusal| self.busy(refusal, served))?;
        let record = encode_job(id, &spec);
        let record = record.map_err(|error| CallerReply::BadCall(error.to_string()))?;
        let work = classified.work.clone();
        let job = id;
        Ok(call.with_phase(Admitted {
            work,
            job,
            size,
            drain,
            record,
        }))
    }

    fn busy(&self, refusal: JobRefusal, served: &mut ServedCall) -> CallerReply {
        served.ground = Some(refusal.ground);
        self.shared.meter.count_job_refusal(refusal.ground.label());
        CallerReply::Busy {
            retry_after: refusal.retry_after,
        }
    }

    /// Refuses a job for which the owner has no memory left.
    fn admit_memory(
        &self,
        spec: &JobSpec,
        size: JobSize,
        drain: ClockTime,
    ) -> Result<(), JobRefusal> {
        // An owner of an earlier release would skip the record.
        let is_readable =
            spec.is_readable_by_earlier_releases() || self.shared.owner_bounds_memory();
        let report = self.shared.memory_report();
        let report = if is_readable {
            report
        } else {
            report.less(u64::MAX, u64::MAX)
        };
        let admitted = report.admit(size, drain);
        if admitted.is_err() {
            self.shared.meter.count_memory_refusal(size.bytes);
        }
        admitted
    }

    /// Refuses a job that is expected to miss its objective under the current load.
    fn admit_load(&self, work: &JobWork, spec: &JobSpec) -> Result<(), JobRefusal> {
        if !spec.runs_once() {
            return Ok(());
        }
        let load = self.admission_load(&work.name);
        let chain = load.task.as_millis().saturating_mul(spec.chain_len());
        let stretched = ClockTime::from_millis((chain as f64 * work.stretch) as u64);
        let objective = stretched + work.objective;
        match &spec.tenant {
            Some(tenant) => {
                let tenant_load = self.shared.tenant_load(tenant, &work.pool);
                admit_tenant_job(&load, &tenant_load, objective)
            }
            None => admit_job(&load, objective),
        }
    }

    async fn store(&self, call: JobCall<Admitted>, served: &mut ServedCall) -> CallerReply {
        let Admitted {
            work,
            job,
            size,
            drain,
            record,
        } = call.phase;
        // The key may have been withdrawn since the call arrived.
        if let Some(view) = self.view_catalogue()
            && let Err(reply) = self.find_tenant(&view, &work, call.request.key.as_ref())
            && reply != CallerReply::NoSuchWork
        {
            return reply;
        }
        match self.append(record, Some(size), call.deadline).await {
            StoreOutcome::Stored => CallerReply::Accepted,
            StoreOutcome::NotStored => self.unavailable(job.0),
            StoreOutcome::NoRoom => {
                let full = self.shared.memory_report().less(u64::MAX, u64::MAX);
                match full.admit(size, drain) {
                    Err(refusal) => self.busy(refusal, served),
                    Ok(()) => self.unavailable(job.0),
                }
            }
            StoreOutcome::Unknown => CallerReply::Unknown,
        }
    }

    async fn show(&self, call: JobCall<Permitted>) -> CallerReply {
        let id = match job_id(&call.phase.classified.rest) {
            Ok(id) => id,
            Err(reply) => return reply,
        };
        match self.query(id, call.phase.tenant, call.deadline).await {
            JobReply::Known(state) => CallerReply::State(state),
            JobReply::Missing => CallerReply::NoSuchJob,
            JobReply::Unsure => self.unavailable(id.0),
        }
    }

    async fn cancel(&self, call: JobCall<Permitted>) -> CallerReply {
        let tenant = call.phase.tenant;
        let id = match job_id(&call.phase.classified.rest) {
            Ok(id) => id,
            Err(reply) => return reply,
        };
        // The cancellation is stored even if the owner does not know the job, which may have been
        // accepted a moment ago. The record affects only the job that it names.
        let owner_deadline = Instant::now() + duration(OWNER_TIMEOUT);
        let deadline = call.deadline.min(owner_deadline);
        let known = self.query(id, tenant.clone(), deadline).await;
        let record = match encode_cancel(id, tenant.as_ref()) {
            Ok(record) => record,
            Err(error) => return CallerReply::BadCall(error.to_string()),
        };
        match self.append(record, None, call.deadline).await {
            StoreOutcome::Stored if known == JobReply::Missing => CallerReply::NoSuchJob,
            StoreOutcome::Stored => CallerReply::Cancelled,
            StoreOutcome::NotStored | StoreOutcome::NoRoom => self.unavailable(id.0),
            StoreOutcome::Unknown => CallerReply::Unknown,
        }
    }

    async fn append(
        &self,
        record: KeyedRecord,
        size: Option<JobSize>,
        deadline: Instant,
    ) -> StoreOutcome {
        let (request, outcome) = StoreRequest::new(record, size);
        if self.store.send(request).is_err() {
            return StoreOutcome::NotStored;
        }
        let outcome = recv_before(deadline, outcome).await;
        outcome.unwrap_or(StoreOutcome::Unknown)
    }

    async fn query(&self, job: JobId, tenant: Option<TenantName>, deadline: Instant) -> JobReply {
        loop {
            let (reply, answer) = oneshot::channel();
            let tenant = tenant.clone();
            if self.queries.send(JobQuery { job, tenant, reply }).is_err() {
                return JobReply::Unsure;
            }
            match recv_before(deadline, answer).await {
                Some(JobReply::Unsure) if Instant::now() + QUERY_RETRY_DELAY < deadline => {
                    sleep(QUERY_RETRY_DELAY).await;
                }
                Some(answer) => return answer,
                None if Instant::now() < deadline => sleep(QUERY_RETRY_DELAY).await,
                None => return JobReply::Unsure,
            }
        }
    }

    /// Returns the reply for an unreachable store or owner; `spread` varies the retry delay between
    /// callers.
    fn unavailable(&self, spread: u64) -> CallerReply {
        CallerReply::Unavailable {
            retry_after: outage_retry(self.shared.store_silence(), spread),
        }
    }

    /// Returns the number of waiting jobs, or `Unavailable` if the load is too old.
    fn count_waiting(&self, work: &WorkName) -> CallerReply {
        let (load, age) = self.shared.work_load(work);
        if age > MAX_LOAD_AGE {
            return self.unavailable(0);
        }
        CallerReply::Waiting(load.waiting)
    }

    /// Returns the load used for admission; no load is assumed if the data is too old, as a new
    /// owner may be about to take over.
    fn admission_load(&self, work: &WorkName) -> WorkLoad {
        let (load, age) = self.shared.work_load(work);
        if age > MAX_LOAD_AGE {
            return WorkLoad::default();
        }
        load
    }
}

/// Returns the part of a caller's timeout that is reserved for the transmission of the answer.
fn answer_margin(timeout: ClockTime) -> ClockTime {
    ANSWER_MARGIN.min(ClockTime::from_millis(timeout.as_millis() / MARGIN_DIVISOR))
}

fn job_id(text: &str) -> Result<JobId, CallerReply> {
    text.parse().map_err(bad_job)
}

fn bad_job(error: JobError) -> CallerReply {
    CallerReply::BadCall(error.to_string())
}

/// Waits for a reply until a deadline; returns `None` if it does not arrive.
async fn recv_before<T, E>(
    deadline: Instant,
    reply: impl Future<Output = Result<T, E>>,
) -> Option<T> {
    timeout_at(deadline, reply).await.ok()?.ok()
}
