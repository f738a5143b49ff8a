//! Append stage: groups proposed steps into records and appends one record at a time, retrying
//! until the record is read back from the log.

use std::{sync::Arc, time::Duration};

use jacinthhoist_codec::encode_record;
use jacinthhoist_core::{Category, ClaimKey, Offset, Record, RecordId, Step};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep_until, timeout},
};

use super::fold::RecordVerdicts;
use crate::{
    context::{MemberContext, StopPhase},
    logs::log_line,
    platform::LogClient,
};

/// Maximum number of steps in a record.
const MAX_STEPS_PER_RECORD: usize = 512;
/// Time to wait for a record to be read back before it is appended again, in addition to the
/// backoff.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Backoff after the first attempt; doubles after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff between attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Reason for which a step was rejected.
#[derive(Clone, Debug)]
pub(crate) struct StepRejection {
    pub(crate) category: Category,
    pub(crate) message: String,
}

/// Result of a proposed step: the offset at which it was accepted, or the rejection.
pub(crate) type StepVerdict = Result<Offset, StepRejection>;

/// Proposed step, with the sender for its verdict if a caller awaits one.
pub(crate) struct Proposal {
    step: Step,
    verdict: Option<oneshot::Sender<StepVerdict>>,
}

/// Sending half of the proposal channel.
#[derive(Clone)]
pub(crate) struct ProposalSender(mpsc::UnboundedSender<Proposal>);

/// Creates the channel through which steps reach the append task.
pub(crate) fn proposal_channel() -> (ProposalSender, mpsc::UnboundedReceiver<Proposal>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (ProposalSender(sender), receiver)
}

impl ProposalSender {
    /// Proposes a step without waiting for its verdict.
    pub(crate) fn propose_detached(&self, step: Step) {
        // Sending fails only after the append task has ended with the member.
        let _ = self.0.send(Proposal {
            step,
            verdict: None,
        });
    }

    /// Proposes a step; the receiver yields the verdict once the record has been read back.
    pub(crate) fn propose(&self, step: Step) -> oneshot::Receiver<StepVerdict> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.0.send(Proposal {
            step,
            verdict: Some(sender),
        });
        receiver
    }

    /// Claims a key. The claim is released again if the receiver has been dropped by the time that
    /// it is accepted.
    pub(crate) fn claim(&self, key: ClaimKey, digest: u64) -> oneshot::Receiver<StepVerdict> {
        self.propose(Step::Claim { key, digest })
    }
}

/// Task that appends the member's records, one at a time.
pub(crate) struct AppendTask {
    pub(crate) context: Arc<MemberContext>,
    pub(crate) proposals: mpsc::UnboundedReceiver<Proposal>,
    pub(crate) own_verdicts: mpsc::UnboundedReceiver<RecordVerdicts>,
    /// Sequence number of the member's last record.
    pub(crate) seq: u64,
    /// True while no proposal is waiting to be appended.
    pub(crate) flushed: watch::Sender<bool>,
}

impl AppendTask {
    /// Runs until the member has ended.
    pub(crate) async fn run(mut self) {
        let platform = &self.context.settings.platform;
        let mut log = LogClient::open(platform.log_address, &platform.log_stream);
        let min_interval = Duration::from_secs(1) / self.context.settings.limits.appends_per_sec;
        let mut next_append_at = Instant::now();
        let context = self.context.clone();
        let ended = context.wait_for_stop(StopPhase::Ended);
        tokio::pin!(ended);
        loop {
            // Sending fails only if there is no receiver.
            let _ = self.flushed.send(self.proposals.is_empty());
            let first = tokio::select! {
                first = self.proposals.recv() => first,
                () = &mut ended => return,
            };
            let Some(first) = first else {
                return;
            };
            let _ = self.flushed.send(false);
            sleep_until(next_append_at).await;
            next_append_at = Instant::now() + min_interval;
            let group = self.collect(first).await;
            tokio::select! {
                () = self.append(&mut log, group) => {}
                () = &mut ended => return,
            }
        }
    }

    /// Collects the proposals that arrive within the grouping interval, without claims whose
    /// receiver was dropped.
    async fn collect(&mut self, first: Proposal) -> Vec<Proposal> {
        let mut group = vec![first];
        let group_end =
            Instant::now() + Duration::from_millis(self.context.settings.limits.group_ms);
        sleep_until(group_end).await;
        let is_snapshot_part = |proposal: &Proposal| matches!(proposal.step, Step::Snapshot(_));
        while group.len() < MAX_STEPS_PER_RECORD && !group.iter().any(is_snapshot_part) {
            match self.proposals.try_recv() {
                Ok(proposal) => group.push(proposal),
                Err(_) => break,
            }
        }
        group.retain(|proposal| {
            let is_claim = matches!(proposal.step, Step::Claim { .. });
            !(is_claim
                && proposal
                    .verdict
                    .as_ref()
                    .is_none_or(oneshot::Sender::is_closed))
        });
        group
    }

    /// Appends a record under the same id until it is read back; duplicates have no effect.
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
                "failed to encode a record: this is a bug, please report it"
            );
            return;
        };
        let mut backoff = INITIAL_BACKOFF;
        let record_verdicts = loop {
            self.context.meter.appends.increment(1);
            if let Err(error) = log.append(&text).await {
                log_line!(
                    debug,
                    Control,
                    "failed to append a record, retrying unless it is read back: {error}"
                );
            }
            if let Some(record_verdicts) = self.read_back(READ_BACK_TIMEOUT + backoff).await {
                break record_verdicts;
            }
            self.context.meter.append_retries.increment(1);
            backoff = (backoff * 2).min(MAX_BACKOFF);
        };
        self.deliver(record_verdicts, group);
    }

    /// Waits for the verdicts on the last record; none if the time limit elapses first.
    async fn read_back(&mut self, time_limit: Duration) -> Option<RecordVerdicts> {
        let seq = self.seq;
        let matching = async {
            loop {
                let record_verdicts = self.own_verdicts.recv().await?;
                if record_verdicts.seq == seq {
                    return Some(record_verdicts);
                }
            }
        };
        timeout(time_limit, matching).await.ok().flatten()
    }

    /// Sends each verdict to its proposer.
    fn deliver(&self, record_verdicts: RecordVerdicts, group: Vec<Proposal>) {
        for (proposal, verdict) in group.into_iter().zip(record_verdicts.verdicts) {
            let verdict = verdict.map(|()| record_verdicts.offset);
            if let Err(rejection) = &verdict {
                self.context.meter.rejected_steps.increment(1);
                log_line!(debug, Control, "step rejected: {}", rejection.message);
            }
            let accepted = verdict.is_ok();
            let delivered = proposal
                .verdict
                .is_some_and(|sender| sender.send(verdict).is_ok());
            if let (true, false, Step::Claim { key, .. }) = (accepted, delivered, &proposal.step) {
                let step = Step::Release {
                    key: key.clone(),
                    claim: record_verdicts.offset,
                };
                self.context.proposals.propose_detached(step);
            }
        }
    }
}
