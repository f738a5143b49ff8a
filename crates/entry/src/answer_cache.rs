//! Keeps the answers of claimed requests for repeats, within a bound.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use jacinthhoist_codec::{ClaimReply, StoredResponse};
use jacinthhoist_core::ClaimKey;
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};

/// How often a claim is asked about that the log shows as held.
const HELD_ASKS: u32 = 40;
/// Pause between two such questions.
const HELD_PAUSE: Duration = Duration::from_millis(25);

/// What the request pipe tells the keeper.
enum KeeperMessage {
    Begin(ClaimKey),
    End(ClaimKey, ClaimReply),
    Ask(ClaimKey, oneshot::Sender<ClaimReply>),
}

/// A running keeper.
#[derive(Clone)]
pub(crate) struct AnswerCacheHandle(mpsc::UnboundedSender<KeeperMessage>);

impl AnswerCacheHandle {
    /// Starts a cache that holds at most `bytes` of answers; it ends with its last handle.
    pub(crate) fn spawn(bytes: usize) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(AnswerKeeper::new(bytes).run(receiver));
        Self(sender)
    }

    /// The claimed request is about to be sent.
    pub(crate) fn begin(&self, key: ClaimKey) {
        // The cache ends only after every handle is gone.
        let _ = self.0.send(KeeperMessage::Begin(key));
    }

    /// The claimed request has ended.
    pub(crate) fn end(&self, key: ClaimKey, reply: ClaimReply) {
        let _ = self.0.send(KeeperMessage::End(key, reply));
    }

    /// What became of a claimed request of this member; waits while it runs.
    ///
    /// A peer may read a claim before its holder has heard of it: a claim that the log still shows
    /// as held is asked about again for a while.
    pub(crate) async fn ask_held(&self, key: &ClaimKey, is_held: impl Fn() -> bool) -> ClaimReply {
        for _ in 0..HELD_ASKS {
            let reply = self.ask(key.clone()).await;
            if reply != ClaimReply::Gone || !is_held() {
                return reply;
            }
            sleep(HELD_PAUSE).await;
        }
        ClaimReply::Gone
    }

    async fn ask(&self, key: ClaimKey) -> ClaimReply {
        let (sender, receiver) = oneshot::channel();
        let _ = self.0.send(KeeperMessage::Ask(key, sender));
        receiver.await.unwrap_or(ClaimReply::Gone)
    }
}

struct AnswerKeeper {
    limit: usize,
    held: usize,
    order: VecDeque<ClaimKey>,
    answers: HashMap<ClaimKey, ClaimReply>,
    waiters: HashMap<ClaimKey, Vec<oneshot::Sender<ClaimReply>>>,
}

impl AnswerKeeper {
    fn new(limit: usize) -> Self {
        let (order, answers, waiters) = Default::default();
        Self {
            limit,
            held: 0,
            order,
            answers,
            waiters,
        }
    }

    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<KeeperMessage>) {
        while let Some(message) = receiver.recv().await {
            match message {
                KeeperMessage::Begin(key) => self.begin(key),
                KeeperMessage::End(key, reply) => self.end(key, reply),
                KeeperMessage::Ask(key, sender) => self.ask(key, sender),
            }
        }
    }

    fn begin(&mut self, key: ClaimKey) {
        self.answers.insert(key, ClaimReply::Running);
    }

    fn end(&mut self, key: ClaimKey, reply: ClaimReply) {
        for waiter in self.waiters.remove(&key).unwrap_or_default() {
            // A waiter that went away needs no answer.
            let _ = waiter.send(reply.clone());
        }
        if reply == ClaimReply::Released {
            self.answers.remove(&key);
            return;
        }
        self.held += size(&key, &reply);
        self.answers.insert(key.clone(), reply);
        self.order.push_back(key);
        while self.held > self.limit {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(reply) = self.answers.remove(&oldest) {
                self.held = self.held.saturating_sub(size(&oldest, &reply));
            }
        }
    }

    fn ask(&mut self, key: ClaimKey, sender: oneshot::Sender<ClaimReply>) {
        match self.answers.get(&key) {
            Some(ClaimReply::Running) => self.waiters.entry(key).or_default().push(sender),
            Some(reply) => drop(sender.send(reply.clone())),
            None => drop(sender.send(ClaimReply::Gone)),
        }
    }
}

/// Bytes that a kept answer counts for.
fn size(key: &ClaimKey, reply: &ClaimReply) -> usize {
    let body = match reply {
        ClaimReply::Answer(StoredResponse { body, .. }) => body.len(),
        _ => 0,
    };
    key.key.len() + body + size_of::<ClaimReply>()
}
