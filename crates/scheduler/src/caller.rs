//! The caller pipe: accept → classify → admit → store → answer.
//!
//! A call is a typestate: each filter consumes it in one phase and returns it in the next, or the
//! reply that ends it. The pipe loads snapshots and sends to channels; it holds nothing else.

use std::{future::Future, sync::Arc, time::Duration};

use jacinthhoist_codec::{JobAnswer, KeyedRecord, encode_cancel, encode_job};
use jacinthhoist_core::{
    ClockTime, WorkName,
    job::{
        CallerLimits, JobCatalogue, JobError, JobId, JobSpec, JobState, JobTerms, JobWork,
        RepeatPlan, StepSpec, WorkLoad, admit_job, outage_retry,
    },
};
use serde_json::json;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout_at},
};

use crate::{
    accept::{StoreRequest, Stored},
    eventlog::EventKind,
    peer::AskRequest,
    shared::MemberShared,
};

/// Time left of a caller's wait in which the answer travels back.
const ANSWER_MARGIN: ClockTime = ClockTime::from_millis(300);
/// How long a call waits for the owner of the pools while there is none; a takeover takes less.
const OWNER_WAIT: ClockTime = ClockTime::from_millis(2_000);
/// Pause before the owner is asked again.
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// How old the owner's word on loads may be: counts may be two seconds old by the callers' protocol.
const LOAD_FRESH: ClockTime = ClockTime::from_millis(1_500);
/// How long the store may be silent before the member sends new callers elsewhere.
const STORE_SILENCE: ClockTime = ClockTime::from_millis(3_000);

/// A job as a caller describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobBody {
    /// What each task is given.
    pub payload: Arc<str>,
    /// Its steps.
    pub steps: Vec<StepSpec>,
    /// Its repetitions.
    pub repeat: Option<RepeatPlan>,
}

/// What a caller wants.
#[derive(Clone, Debug)]
pub enum CallerAction {
    /// To hand in a job.
    Submit(Result<JobBody, String>),
    /// To know a job's state, or how many jobs wait.
    Show,
    /// To cancel a job.
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

/// A caller's call.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The host that it names.
    pub host: String,
    /// The path that it names.
    pub path: String,
    /// What it wants.
    pub action: CallerAction,
    /// How long the caller waits.
    pub timeout: Option<ClockTime>,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerReply {
    /// The job is stored and will run.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// The job's state.
    State(JobState),
    /// Jobs that wait.
    Waiting(u32),
    /// There is no such kind of work.
    NoSuchWork,
    /// There is no such job.
    NoSuchJob,
    /// The call is not well formed.
    BadCall(String),
    /// The job was not accepted and never runs: its pool is too busy.
    Busy {
        /// When to come back.
        retry_after: ClockTime,
    },
    /// Nothing was done: the store or the owner cannot be reached.
    Unavailable {
        /// When to come back.
        retry_after: ClockTime,
    },
    /// The job may have been accepted.
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
            Self::NoSuchJob => "no_such_job",
            Self::BadCall(_) => "bad_call",
            Self::Busy { .. } => "busy",
            Self::Unavailable { .. } => "unavailable",
            Self::Unknown => "unknown",
        }
    }
}

/// It has arrived.
struct Received(());

/// Its kind of work is known.
struct Classified {
    catalogue: Arc<JobCatalogue>,
    work: WorkName,
    /// What follows the kind of work's prefix.
    rest: String,
}

/// It is a job that may be stored.
struct Admitted {
    job: JobId,
    record: KeyedRecord,
}

/// A call in one phase.
struct JobCall<P> {
    call: CallerRequest,
    received_at: ClockTime,
    until: Instant,
    phase: P,
}

impl<P> JobCall<P> {
    fn turn<N>(self, phase: N) -> JobCall<N> {
        JobCall {
            call: self.call,
            received_at: self.received_at,
            until: self.until,
            phase,
        }
    }
}

/// Serves callers.
#[derive(Clone)]
pub struct CallerPipe {
    shared: Arc<MemberShared>,
    store: mpsc::UnboundedSender<StoreRequest>,
    asks: mpsc::UnboundedSender<AskRequest>,
}

impl CallerPipe {
    pub(crate) fn open(
        shared: Arc<MemberShared>,
        store: mpsc::UnboundedSender<StoreRequest>,
        asks: mpsc::UnboundedSender<AskRequest>,
    ) -> Self {
        Self {
            shared,
            store,
            asks,
        }
    }

    /// Whether new callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.shared.is_stopping()
            && self.shared.catalogue.load().is_some()
            && self.shared.store_silence() < STORE_SILENCE
    }

    /// Whether the member stops, so that connections should be closed after the next answer.
    pub fn is_stopping(&self) -> bool {
        self.shared.is_stopping()
    }

    /// Limits on callers' requests; none before the catalogue is known.
    pub fn limits(&self) -> Option<CallerLimits> {
        let catalogue = self.shared.catalogue.load();
        catalogue.as_ref().map(|catalogue| catalogue.limits)
    }

    /// Answers a call.
    pub async fn answer(&self, call: CallerRequest) -> CallerReply {
        let received_at = self.shared.clock.now();
        let (verb, path) = (call.action.as_str(), call.path.clone());
        let received = self.receive(call, received_at);
        let (work, reply) = self.serve(received).await;
        let took = self.shared.clock.now() - received_at;
        let meter = &self.shared.meter;
        meter.answer_time.record(took.as_secs_f64());
        meter.answered(verb, reply.as_str());
        // A caller that looks after its job and learns its state needs no line of its own.
        if !matches!(reply, CallerReply::State(_) | CallerReply::Waiting(_)) {
            self.log_answer(verb, &path, work, &reply, took);
        }
        reply
    }

    fn log_answer(
        &self,
        verb: &'static str,
        path: &str,
        work: Option<WorkName>,
        reply: &CallerReply,
        took: ClockTime,
    ) {
        let job = path.rsplit('/').next().unwrap_or_default();
        let catalogue = self.shared.catalogue.load();
        let version = catalogue.as_ref().map(|catalogue| catalogue.version);
        let load = work.as_ref().map(|work| self.shared.load(work));
        let fields = json!({
            "job": job,
            "call": verb,
            "work": work.as_ref().map(WorkName::as_str),
            "outcome": reply.as_str(),
            "detail": format!("{reply:?}"),
            "took_ms": took.as_millis(),
            "catalogue": version,
            "drain_ms": load.map(|(load, _)| load.drain.as_millis()),
            "load_age_ms": load.map(|(_, age)| age.as_millis()),
            "store_silence_ms": self.shared.store_silence().as_millis(),
        });
        self.shared.log.write(EventKind::Request, fields);
    }

    fn receive(&self, call: CallerRequest, received_at: ClockTime) -> JobCall<Received> {
        let patience = call.timeout.unwrap_or(OWNER_WAIT + ANSWER_MARGIN) - ANSWER_MARGIN;
        JobCall {
            call,
            received_at,
            until: Instant::now() + Duration::from_millis(patience.as_millis()),
            phase: Received(()),
        }
    }

    async fn serve(&self, call: JobCall<Received>) -> (Option<WorkName>, CallerReply) {
        let call = match self.classify(call) {
            Ok(call) => call,
            Err(reply) => return (None, reply),
        };
        let work = call.phase.work.clone();
        let reply = match &call.call.action {
            CallerAction::Submit(_) => match self.admit(call) {
                Ok(call) => self.store(call).await,
                Err(reply) => reply,
            },
            CallerAction::Show if call.phase.rest.is_empty() => self.count(&work),
            CallerAction::Show => self.show(call).await,
            CallerAction::Cancel => self.cancel(call).await,
        };
        (Some(work), reply)
    }

    fn classify(&self, call: JobCall<Received>) -> Result<JobCall<Classified>, CallerReply> {
        let catalogue = self.shared.catalogue.load_full();
        let catalogue = catalogue.ok_or_else(|| self.unavailable(0))?;
        let host = call.call.host.split(':').next().unwrap_or_default();
        let path = call.call.path.split('?').next().unwrap_or_default();
        let found = catalogue.find(host, path);
        let (work, rest) = found.ok_or(CallerReply::NoSuchWork)?;
        let phase = Classified {
            work: work.name.clone(),
            rest: rest.to_owned(),
            catalogue,
        };
        Ok(call.turn(phase))
    }

    fn admit(&self, call: JobCall<Classified>) -> Result<JobCall<Admitted>, CallerReply> {
        let id = job_id(&call.phase.rest)?;
        let CallerAction::Submit(body) = call.call.action.clone() else {
            return Err(CallerReply::BadCall("not a job".to_owned()));
        };
        let body = body.map_err(CallerReply::BadCall)?;
        let catalogue = &call.phase.catalogue;
        let work = catalogue.work(&call.phase.work);
        let work = work.ok_or(CallerReply::NoSuchWork)?;
        let spec = JobSpec {
            work: work.name.clone(),
            terms: JobTerms::of(work),
            received_at: call.received_at,
            payload: body.payload,
            steps: body.steps,
            repeat: body.repeat,
        };
        spec.check().map_err(bad_job)?;
        self.admit_load(work, &spec)?;
        let record = encode_job(id, &spec);
        let record = record.map_err(|error| CallerReply::BadCall(error.to_string()))?;
        Ok(call.turn(Admitted { job: id, record }))
    }

    /// Refuses a job that would be served too late to be worth anything.
    fn admit_load(&self, work: &JobWork, spec: &JobSpec) -> Result<(), CallerReply> {
        if spec.is_long_running() || spec.repeat.is_some() {
            return Ok(());
        }
        let load = self.load(&work.name);
        let chain = load.task.as_millis() * spec.chain_len();
        let objective = (chain as f64 * work.stretch) as u64 + work.objective.as_millis();
        admit_job(&load, ClockTime::from_millis(objective)).map_err(|refusal| CallerReply::Busy {
            retry_after: refusal.retry_after,
        })
    }

    async fn store(&self, call: JobCall<Admitted>) -> CallerReply {
        let Admitted { job, record } = call.phase;
        match self.append(record, call.until).await {
            Stored::Yes => CallerReply::Accepted,
            Stored::No => self.unavailable(job.0),
            Stored::Unknown => CallerReply::Unknown,
        }
    }

    async fn show(&self, call: JobCall<Classified>) -> CallerReply {
        let id = match job_id(&call.phase.rest) {
            Ok(id) => id,
            Err(reply) => return reply,
        };
        match self.ask(id, call.until).await {
            JobAnswer::Known(state) => CallerReply::State(state),
            JobAnswer::Missing => CallerReply::NoSuchJob,
            JobAnswer::Unsure => self.unavailable(id.0),
        }
    }

    async fn cancel(&self, call: JobCall<Classified>) -> CallerReply {
        let id = match job_id(&call.phase.rest) {
            Ok(id) => id,
            Err(reply) => return reply,
        };
        // The cancellation is stored whatever the owner says: a job that it does not know may have been
        // accepted a moment ago, and the record only ever concerns the job that it names.
        let known = self.ask(id, call.until).await;
        match self.append(encode_cancel(id), call.until).await {
            Stored::Yes if known == JobAnswer::Missing => CallerReply::NoSuchJob,
            Stored::Yes => CallerReply::Cancelled,
            Stored::No => self.unavailable(id.0),
            Stored::Unknown => CallerReply::Unknown,
        }
    }

    async fn append(&self, record: KeyedRecord, until: Instant) -> Stored {
        let (reply, stored) = oneshot::channel();
        if self.store.send(StoreRequest { record, reply }).is_err() {
            return Stored::No;
        }
        let stored = within(until, stored).await;
        stored.unwrap_or(Stored::Unknown)
    }

    async fn ask(&self, job: JobId, until: Instant) -> JobAnswer {
        let patience = Instant::now() + Duration::from_millis(OWNER_WAIT.as_millis());
        let until = until.min(patience);
        loop {
            let (reply, answer) = oneshot::channel();
            if self.asks.send(AskRequest { job, reply }).is_err() {
                return JobAnswer::Unsure;
            }
            match within(until, answer).await {
                Some(JobAnswer::Unsure) if Instant::now() + ASK_PAUSE < until => {
                    sleep(ASK_PAUSE).await;
                }
                Some(answer) => return answer,
                None if Instant::now() < until => sleep(ASK_PAUSE).await,
                None => return JobAnswer::Unsure,
            }
        }
    }

    /// Nothing was done for want of the store or the owner; `spread` differs between callers.
    fn unavailable(&self, spread: u64) -> CallerReply {
        CallerReply::Unavailable {
            retry_after: outage_retry(self.shared.store_silence(), spread),
        }
    }

    /// How many jobs wait; unknown where the owner has been silent.
    fn count(&self, work: &WorkName) -> CallerReply {
        let (load, age) = self.shared.load(work);
        if age > LOAD_FRESH {
            return self.unavailable(0);
        }
        CallerReply::Waiting(load.waiting)
    }

    /// The load that admission goes by; none is assumed where the owner has been silent, as a new
    /// owner may be about to serve.
    fn load(&self, work: &WorkName) -> WorkLoad {
        let (load, age) = self.shared.load(work);
        if age > LOAD_FRESH {
            return WorkLoad::default();
        }
        load
    }
}

fn job_id(text: &str) -> Result<JobId, CallerReply> {
    text.parse().map_err(bad_job)
}

fn bad_job(error: JobError) -> CallerReply {
    CallerReply::BadCall(error.to_string())
}

/// What a reply brings before a time; none where it does not come.
async fn within<T, E>(until: Instant, reply: impl Future<Output = Result<T, E>>) -> Option<T> {
    timeout_at(until, reply).await.ok()?.ok()
}
