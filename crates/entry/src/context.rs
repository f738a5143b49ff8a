//! State shared by the tasks of one member: immutable snapshots, handles and counters.

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
    answer_cache::CacheHandle, control::ProposalSender, meter::EntryMeter, peer::PeerTable,
    routes::RouteTable, settings::EntrySettings,
};

/// Addresses that a member is bound to.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// Progress of a member's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// The member serves requests.
    Running,
    /// The member reports that it is not ready, but still serves requests.
    Unready,
    /// The member refuses new requests.
    Draining,
    /// The member's tasks end.
    Ended,
}

/// State shared by the tasks of one member.
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
    pub(crate) answer_cache: CacheHandle,
    pub(crate) peers: PeerTable,
    pub(crate) loan_wanted: Notify,
    pub(crate) rebuild: Notify,
    pub(crate) stop: watch::Sender<StopPhase>,
    caught_up: AtomicBool,
    log_read_at: AtomicU64,
    log_gap: AtomicBool,
    last_timeout_at: AtomicU64,
    next_request_number: AtomicU64,
}

/// Parts that a context is created from.
pub(crate) struct ContextParts {
    pub(crate) settings: EntrySettings,
    pub(crate) nonce: u64,
    pub(crate) addresses: BoundAddresses,
    pub(crate) proposals: ProposalSender,
    pub(crate) answer_cache: CacheHandle,
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
            last_timeout_at: AtomicU64::new(0),
            next_request_number: AtomicU64::new(0),
        })
    }

    /// Returns a request number that is unique within this incarnation.
    pub(crate) fn next_request_number(&self) -> u64 {
        self.next_request_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the id of a request that callers and upstreams see.
    pub(crate) fn request_id(&self, number: u64) -> String {
        format!("{:x}-{number}", self.nonce)
    }

    /// Records that a request sent at this time timed out: other connections without a response
    /// since then may be dead too.
    pub(crate) fn record_timeout(&self, sent_at: ClockTime) {
        self.last_timeout_at
            .fetch_max(sent_at.as_millis(), Ordering::Relaxed);
    }

    /// Returns the time since which a connection must have had a response to carry work that is not
    /// repeatable.
    pub(crate) fn fresh_since(&self, now: ClockTime) -> ClockTime {
        let last_timeout = ClockTime::from_millis(self.last_timeout_at.load(Ordering::Relaxed));
        last_timeout.max(now - ClockTime::from_millis(self.settings.limits.fresh_ms))
    }

    /// Records a read of the log; `caught_up` is true if it reached the end of the log.
    pub(crate) fn record_log_read(&self, caught_up: bool) {
        self.log_read_at
            .store(self.clock.now().as_millis(), Ordering::Relaxed);
        if caught_up {
            self.caught_up.store(true, Ordering::SeqCst);
        }
    }

    /// Returns the time since the log was last read, or `None` before the first read.
    pub(crate) fn log_age(&self) -> Option<ClockTime> {
        match self.log_read_at.load(Ordering::Relaxed) {
            0 => None,
            at => Some(self.clock.now() - ClockTime::from_millis(at)),
        }
    }

    /// Sets whether the log has deleted records that this member has not read.
    pub(crate) fn set_log_gap(&self, missing: bool) {
        self.log_gap.store(missing, Ordering::Relaxed);
    }

    /// Returns true if the state covers the log up to its end at the time of the start.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.caught_up.load(Ordering::SeqCst)
    }

    /// Returns the result of a request that this member has claimed.
    pub(crate) async fn own_claim_reply(&self, key: &ClaimKey) -> ClaimReply {
        // A claim that is missing may not have been read from the log yet.
        let may_be_held = || {
            let state = self.state.load();
            let record = state.claims().get(key);
            record.is_none_or(|record| record.state == ClaimState::Held)
        };
        self.answer_cache.query_held(key, may_be_held).await
    }

    /// Returns true if this incarnation is a live member.
    pub(crate) fn is_member(&self) -> bool {
        self.state.load().members().is_live(&self.name, self.nonce)
    }

    /// Returns what the member waits for before it is ready, or `None` if it is ready.
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

    /// Waits until the shutdown reaches a phase.
    pub(crate) async fn wait_for_stop(&self, phase: StopPhase) {
        let mut stop = self.stop.subscribe();
        // Cannot fail: the sender lives as long as the context.
        let _ = stop.wait_for(|reached| *reached >= phase).await;
    }

    /// Advances the shutdown to a phase; never moves it back.
    pub(crate) fn advance_stop(&self, phase: StopPhase) {
        self.stop
            .send_modify(|reached| *reached = phase.max(*reached));
    }
}
