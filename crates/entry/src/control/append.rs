//! Append: steps of one member share records; one record at a time, until it is read back.

use std::time::Duration;

use jacinthhoist_codec::encode_record;
use jacinthhoist_core::{Category, ClaimKey, Offset, Record, RecordId, Step};
use std::sync::Arc;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep_until, timeout},
};

use super::fold::OwnFold;
use crate::{
    context::{MemberContext, StopPhase},
    logs::log_line,
    platform::LogClient,
};

/// Steps that share a record at the most.
const GROUP_STEPS: usize = 512;
/// How long the read-back of an append is waited for before it is appended again.
const READ_BACK: Duration = Duration::from_millis(1_500);
/// The first pause between repeats; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause between repeats.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// Why a step was rejected.
#[derive(Clone, Debug)]
pub(crate) struct StepRejection {
    pub(crate) category: Category,
    pub(crate) message: String,
}

/// What became of a step: where it was accepted, or why not.
pub(crate) type StepVerdict = Result<Offset, StepRejection>;

/// A step with the one who waits for its verdict.
pub(crate) struct Proposal {
    step: Step,
    verdict: Option<oneshot::Sender<StepVerdict>>,
}

/// The way to the append task.
#[derive(Clone)]
pub(crate) struct ProposalSender(mpsc::UnboundedSender<Proposal>);

/// The two ends of the way to the append task.
pub(crate) fn proposal_channel() -> (ProposalSender, mpsc::UnboundedReceiver<Proposal>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (ProposalSender(sender), receiver)
}

impl ProposalSender {
    /// Proposes a step whose verdict nobody waits for.
    pub(crate) fn post(&self, step: Step) {
        // The append task ends only with the member.
        let _ = self.0.send(Proposal {
            step,
            verdict: None,
        });
    }

    /// Proposes a step; the verdict comes once it was read back.
    pub(crate) fn propose(&self, step: Step) -> oneshot::Receiver<StepVerdict> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.0.send(Proposal {
            step,
            verdict: Some(sender),
        });
        receiver
    }

    /// Claims a key. If nobody waits any more when the claim is accepted, it is released.
    pub(crate) fn claim(&self, key: ClaimKey, digest: u64) -> oneshot::Receiver<StepVerdict> {
        self.propose(Step::Claim { key, digest })
    }
}

/// Appends the member's records, one at a time.
pub(crate) struct AppendTask {
    pub(crate) context: Arc<MemberContext>,
    pub(crate) proposals: mpsc::UnboundedReceiver<Proposal>,
    pub(crate) own: mpsc::UnboundedReceiver<OwnFold>,
    pub(crate) seq: u64,
    pub(crate) drained: watch::Sender<bool>,
}

impl AppendTask {
    /// Runs until the member has ended.
    pub(crate) async fn run(mut self) {
        let platform = &self.context.settings.platform;
        let mut log = LogClient::open(platform.log_address, &platform.log_stream);
        let spacing = Duration::from_secs(1) / self.context.settings.limits.appends_per_sec;
        let mut earliest = Instant::now();
        let context = self.context.clone();
        let ended = context.wait_for_stop(StopPhase::Ended);
        tokio::pin!(ended);
        loop {
            // Sending fails only where nobody watches.
            let _ = self.drained.send(self.proposals.is_empty());
            let first = tokio::select! {
                first = self.proposals.recv() => first,
                () = &mut ended => return,
            };
            let Some(first) = first else {
                return;
            };
            let _ = self.drained.send(false);
            sleep_until(earliest).await;
            earliest = Instant::now() + spacing;
            let group = self.collect(first).await;
            tokio::select! {
                () = self.append(&mut log, group) => {}
                () = &mut ended => return,
            }
        }
    }

    /// Waits a little for others that share the record; claims nobody waits for are left out.
    async fn collect(&mut self, first: Proposal) -> Vec<Proposal> {
        let mut group = vec![first];
        let until = Instant::now() + Duration::from_millis(self.context.settings.limits.group_ms);
        sleep_until(until).await;
        let is_part = |proposal: &Proposal| matches!(proposal.step, Step::Snapshot(_));
        while group.len() < GROUP_STEPS && !group.iter().any(is_part) {
            match self.proposals.try_recv() {
                Ok(proposal) => group.push(proposal),
                Err(_) => break,
            }
        }
        group.retain(|proposal| {
            let claim = matches!(proposal.step, Step::Claim { .. });
            !(claim
                && proposal
                    .verdict
                    .as_ref()
                    .is_none_or(oneshot::Sender::is_closed))
        });
        group
    }

    /// Appends a record, again and again under the same id, until it is read back.
    async fn append(&mut self, log: &mut LogClient, group: Vec<Proposal>) {
        if group.is_empty() {
            return;
        }
        self.seq += 1;
        let steps: Vec<Step> = group.iter().map(|proposal| proposal.step.clone()).collect();
        let id = RecordId {
            member: self.context.name.clone(),
            nonce: self.context.nonce,
            seq: self.seq,
        };
        let record = Record {
            id,
            at: self.context.clock.now(),
            steps,
        };
        let Ok(text) = encode_record(&record) else {
            log_line!(
                error,
                Control,
                "A record was not encoded. Report this as a fault."
            );
            return;
        };
        let mut pause = FIRST_PAUSE;
        let folded = loop {
            self.context.meter.appends.increment(1);
            if let Err(error) = log.append(&text).await {
                log_line!(debug, Control, "An append went unanswered: {error}.");
            }
            if let Some(folded) = self.read_back(READ_BACK + pause).await {
                break folded;
            }
            self.context.meter.append_retries.increment(1);
            pause = (pause * 2).min(LONGEST_PAUSE);
        };
        self.deliver(folded, group);
    }

    async fn read_back(&mut self, limit: Duration) -> Option<OwnFold> {
        let seq = self.seq;
        let wanted = async {
            loop {
                let folded = self.own.recv().await?;
                if folded.seq == seq {
                    return Some(folded);
                }
            }
        };
        timeout(limit, wanted).await.ok().flatten()
    }

    /// Tells each proposer its verdict.
    fn deliver(&self, folded: OwnFold, group: Vec<Proposal>) {
        for (proposal, verdict) in group.into_iter().zip(folded.verdicts) {
            let verdict = verdict.map(|()| folded.offset);
            if let Err(rejection) = &verdict {
                self.context.meter.rejected_steps.increment(1);
                log_line!(
                    debug,
                    Control,
                    "A step was rejected: {}.",
                    rejection.message
                );
            }
            let accepted = verdict.is_ok();
            let heard = proposal
                .verdict
                .is_some_and(|sender| sender.send(verdict).is_ok());
            if let (true, false, Step::Claim { key, .. }) = (accepted, heard, &proposal.step) {
                let step = Step::Release {
                    key: key.clone(),
                    claim: folded.offset,
                };
                self.context.proposals.post(step);
            }
        }
    }
}
