//! What the parts of one member share: immutable snapshots, handles and counters.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use imbl::Vector;
use jacinthhoist_codec::{ClaimReply, LogRecord};
use jacinthhoist_core::{ClaimKey, ClaimState, ClockTime, FoldState, MemberName};
use jacinthhoist_net::RunClock;
use tokio::sync::{Notify, watch};

use crate::{
    answer_cache::AnswerCacheHandle, control::ProposalSender, meter::EntryMeter, peer::PeerTable,
    routes::RouteTable, settings::EntrySettings,
};

/// Where a member listens once it is bound.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For peers.
    pub peer: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// How far a member's stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// It serves.
    Running,
    /// It is not ready, and still serves.
    Unready,
    /// It takes no new requests.
    Draining,
    /// Its tasks end.
    Ended,
}

/// What the parts of one member share.
pub(crate) struct MemberContext {
    pub(crate) settings: EntrySettings,
    pub(crate) name: MemberName,
    pub(crate) nonce: u64,
    pub(crate) clock: RunClock,
    pub(crate) addresses: BoundAddresses,
    pub(crate) state: ArcSwap<FoldState>,
    pub(crate) routes: ArcSwap<RouteTable>,
    pub(crate) log_tail: ArcSwap<Vector<LogRecord>>,
    pub(crate) meter: EntryMeter,
    pub(crate) proposals: ProposalSender,
    pub(crate) answer_cache: AnswerCacheHandle,
    pub(crate) peers: PeerTable,
    pub(crate) loan_wanted: Notify,
    pub(crate) rebuild: Notify,
    pub(crate) stop: watch::Sender<StopPhase>,
    caught_up: AtomicBool,
    log_read_at: AtomicU64,
    log_gap: AtomicBool,
    silent_since: AtomicU64,
    next_request: AtomicU64,
}

/// The handles that a context is made of.
pub(crate) struct ContextParts {
    pub(crate) settings: EntrySettings,
    pub(crate) nonce: u64,
    pub(crate) addresses: BoundAddresses,
    pub(crate) proposals: ProposalSender,
    pub(crate) answer_cache: AnswerCacheHandle,
}

impl MemberContext {
    pub(crate) fn open(parts: ContextParts) -> Arc<Self> {
        let ContextParts {
            settings,
            nonce,
            addresses,
            proposals,
            answer_cache,
        } = parts;
        let meter = EntryMeter::open(settings.member.name.as_str());
        Arc::new(Self {
            name: settings.member.name.clone(),
            settings,
            nonce,
            clock: RunClock::start(),
            addresses,
            state: ArcSwap::default(),
            routes: ArcSwap::default(),
            log_tail: ArcSwap::default(),
            meter,
            proposals,
            answer_cache,
            peers: PeerTable::default(),
            loan_wanted: Notify::new(),
            rebuild: Notify::new(),
            stop: watch::channel(StopPhase::Running).0,
            caught_up: AtomicBool::new(false),
            log_read_at: AtomicU64::new(0),
            log_gap: AtomicBool::new(false),
            silent_since: AtomicU64::new(0),
            next_request: AtomicU64::new(0),
        })
    }

    /// A request number, unique within this incarnation.
    pub(crate) fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// A request's id as callers and upstreams see it.
    pub(crate) fn request_id(&self, number: u64) -> String {
        format!("{:x}-{number}", self.nonce)
    }

    /// Notes that a request sent at this time got no answer: connections that have not answered
    /// since then may be as silent.
    pub(crate) fn record_silence(&self, sent_at: ClockTime) {
        self.silent_since
            .fetch_max(sent_at.as_millis(), Ordering::Relaxed);
    }

    /// Since when a connection must have answered to carry work that may run once only.
    pub(crate) fn fresh_since(&self, now: ClockTime) -> ClockTime {
        let silent = ClockTime::from_millis(self.silent_since.load(Ordering::Relaxed));
        silent.max(now - ClockTime::from_millis(self.settings.limits.fresh_ms))
    }

    /// Notes that the log was read to its end.
    pub(crate) fn record_log_read(&self, caught_up: bool) {
        self.log_read_at
            .store(self.clock.now().as_millis(), Ordering::Relaxed);
        if caught_up {
            self.caught_up.store(true, Ordering::SeqCst);
        }
    }

    /// Time since the log was last read, if ever.
    pub(crate) fn log_age(&self) -> Option<ClockTime> {
        match self.log_read_at.load(Ordering::Relaxed) {
            0 => None,
            at => Some(self.clock.now() - ClockTime::from_millis(at)),
        }
    }

    /// Notes whether records are missing that the log no longer keeps.
    pub(crate) fn set_log_gap(&self, missing: bool) {
        self.log_gap.store(missing, Ordering::Relaxed);
    }

    /// Whether the state is agreed up to the log's end as it was at the start.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.caught_up.load(Ordering::SeqCst)
    }

    /// What became of a request that this member has claimed.
    pub(crate) async fn own_claim_reply(&self, key: &ClaimKey) -> ClaimReply {
        let is_held = || {
            let state = self.state.load();
            state
                .claims()
                .get(key)
                .is_some_and(|record| record.state == ClaimState::Held)
        };
        self.answer_cache.ask_held(key, is_held).await
    }

    /// Whether this very process is a member.
    pub(crate) fn is_member(&self) -> bool {
        self.state.load().members().is_live(&self.name, self.nonce)
    }

    /// Why the member is not ready, if it is not.
    pub(crate) fn waits_for(&self) -> Option<&'static str> {
        if *self.stop.borrow() > StopPhase::Running {
            return Some("the stop to end");
        }
        if self.log_gap.load(Ordering::Relaxed) {
            return Some("a snapshot: the log no longer keeps the records that are missing");
        }
        if !self.is_caught_up() {
            return Some("the log, or a peer that holds the state");
        }
        if !self.is_member() {
            return Some("its own join to be accepted");
        }
        None
    }

    /// Ends when the stop reaches a phase.
    pub(crate) async fn wait_for_stop(&self, phase: StopPhase) {
        let mut stop = self.stop.subscribe();
        // The sender lives as long as the context, so the wait cannot fail.
        let _ = stop.wait_for(|reached| *reached >= phase).await;
    }

    /// Moves the stop forward.
    pub(crate) fn advance_stop(&self, phase: StopPhase) {
        self.stop
            .send_modify(|reached| *reached = phase.max(*reached));
    }
}
