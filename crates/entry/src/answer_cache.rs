//! Bounded cache of the responses to claimed requests, for repeats with the same idempotency key.

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

/// Maximum number of queries for a claim that may be held.
const HELD_QUERY_ATTEMPTS: u32 = 40;
/// Pause between two of these queries.
const HELD_QUERY_PAUSE: Duration = Duration::from_millis(25);

/// Message to the task that owns the cache.
enum CacheMessage {
    Begin(ClaimKey),
    End(ClaimKey, ClaimReply),
    Query(ClaimKey, oneshot::Sender<ClaimReply>),
}

/// Handle of a running cache task.
#[derive(Clone)]
pub(crate) struct CacheHandle(mpsc::UnboundedSender<CacheMessage>);

impl CacheHandle {
    /// Starts a cache of at most `limit_bytes`; its task ends when the last handle is dropped.
    pub(crate) fn spawn(limit_bytes: usize) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(AnswerCache::new(limit_bytes).run(receiver));
        Self(sender)
    }

    /// Records that the claimed request is about to be sent.
    pub(crate) fn begin(&self, key: ClaimKey) {
        // Cannot fail: the cache task ends only after the last handle is dropped.
        let _ = self.0.send(CacheMessage::Begin(key));
    }

    /// Records the result of the claimed request.
    pub(crate) fn end(&self, key: ClaimKey, reply: ClaimReply) {
        let _ = self.0.send(CacheMessage::End(key, reply));
    }

    /// Returns the result of a request claimed by this member, waiting while it runs.
    ///
    /// A peer may read a claim in the log before its holder does, so an unknown claim that may still
    /// be held is queried again for a while.
    pub(crate) async fn query_held(
        &self,
        key: &ClaimKey,
        may_be_held: impl Fn() -> bool,
    ) -> ClaimReply {
        for _ in 0..HELD_QUERY_ATTEMPTS {
            let reply = self.query(key.clone()).await;
            if reply != ClaimReply::Gone || !may_be_held() {
                return reply;
            }
            sleep(HELD_QUERY_PAUSE).await;
        }
        ClaimReply::Gone
    }

    async fn query(&self, key: ClaimKey) -> ClaimReply {
        let (sender, receiver) = oneshot::channel();
        let _ = self.0.send(CacheMessage::Query(key, sender));
        receiver.await.unwrap_or(ClaimReply::Gone)
    }
}

struct AnswerCache {
    limit_bytes: usize,
    held_bytes: usize,
    insertion_order: VecDeque<ClaimKey>,
    replies: HashMap<ClaimKey, ClaimReply>,
    waiters: HashMap<ClaimKey, Vec<oneshot::Sender<ClaimReply>>>,
}

impl AnswerCache {
    fn new(limit_bytes: usize) -> Self {
        let (insertion_order, replies, waiters) = Default::default();
        Self {
            limit_bytes,
            held_bytes: 0,
            insertion_order,
            replies,
            waiters,
        }
    }

    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<CacheMessage>) {
        while let Some(message) = receiver.recv().await {
            match message {
                CacheMessage::Begin(key) => self.begin(key),
                CacheMessage::End(key, reply) => self.end(key, reply),
                CacheMessage::Query(key, sender) => self.query(key, sender),
            }
        }
    }

    fn begin(&mut self, key: ClaimKey) {
        self.replies.insert(key, ClaimReply::Running);
    }

    fn end(&mut self, key: ClaimKey, reply: ClaimReply) {
        for waiter in self.waiters.remove(&key).unwrap_or_default() {
            // The waiter may have given up.
            let _ = waiter.send(reply.clone());
        }
        if reply == ClaimReply::Released {
            self.replies.remove(&key);
            return;
        }
        self.held_bytes += entry_bytes(&key, &reply);
        self.replies.insert(key.clone(), reply);
        self.insertion_order.push_back(key);
        while self.held_bytes > self.limit_bytes {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            if let Some(reply) = self.replies.remove(&oldest) {
                self.held_bytes = self.held_bytes.saturating_sub(entry_bytes(&oldest, &reply));
            }
        }
    }

    fn query(&mut self, key: ClaimKey, sender: oneshot::Sender<ClaimReply>) {
        match self.replies.get(&key) {
            Some(ClaimReply::Running) => self.waiters.entry(key).or_default().push(sender),
            Some(reply) => drop(sender.send(reply.clone())),
            None => drop(sender.send(ClaimReply::Gone)),
        }
    }
}

/// Returns the number of bytes that a cached reply counts for.
fn entry_bytes(key: &ClaimKey, reply: &ClaimReply) -> usize {
    let body = match reply {
        ClaimReply::Answer(StoredResponse { body, .. }) => body.len(),
        _ => 0,
    };
    key.key.len() + body + size_of::<ClaimReply>()
}
