//! Emulated store: keyed topics, producer epochs and group membership.

mod group;

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jacinthhoist_codec::{KeyedRecord, StoreLimits};
use jacinthhoist_core::ClockTime;
use jacinthhoist_scheduler::{
    ErrorKind, Result,
    ports::{AppendSequence, Membership, NewestPage, ReadPage, StoreStream},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until, timeout_at},
};

use crate::network::Endpoint;

use group::MemberGroup;

pub(crate) use group::OwnershipFlap;

/// Maximum number of records on a page of newest records.
const MAX_PAGE_RECORDS: usize = 200;
/// Usual latency of an answer.
const ANSWER_LATENCY: Duration = Duration::from_millis(4);
/// Factor by which a slow store multiplies its latency.
const SLOW_FACTOR: u32 = 50;
/// Time for which an append occupies its stream; the appends to a stream run one at a time.
const APPEND_DURATION: Duration = Duration::from_millis(3);
/// Longest time for which an append waits for earlier ones before the store rejects it.
const MAX_APPEND_WAIT: Duration = Duration::from_secs(2);
/// Share of the writes that are affected while the store drops answers or delays writes.
const AFFECTED_WRITE_SHARE: f64 = 0.3;

/// Failure mode of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StoreMode {
    #[default]
    Normal,
    Down,
    Silent,
    Slow,
    DropAnswers,
    DelayWrites,
    /// Waiting reads return no new records.
    StaleReads,
}

#[derive(Debug, Default)]
struct ProducerState {
    epoch: u64,
    seq: Option<u64>,
}

/// Records with offsets; compaction keeps the newest record of each key.
#[derive(Debug)]
pub(crate) struct KeyedTopic<T> {
    history: Vec<(String, T)>,
    first_offset: u64,
    newest: BTreeMap<String, T>,
}

impl<T> Default for KeyedTopic<T> {
    fn default() -> Self {
        Self {
            history: Vec::new(),
            first_offset: 0,
            newest: BTreeMap::new(),
        }
    }
}

impl<T: Clone> KeyedTopic<T> {
    pub(crate) fn end(&self) -> u64 {
        self.first_offset + self.history.len() as u64
    }

    /// Appends a record; `removes_key` removes the key from the newest records.
    pub(crate) fn push(&mut self, key: &str, value: T, removes_key: bool) {
        if removes_key {
            self.newest.remove(key);
        } else {
            self.newest.insert(key.to_owned(), value.clone());
        }
        self.history.push((key.to_owned(), value));
    }

    pub(crate) fn read(&self, from: u64) -> Result<ReadPage<T>> {
        if from < self.first_offset {
            return Err(ErrorKind::Trimmed {
                first: self.first_offset,
            }
            .into());
        }
        let skipped = (from - self.first_offset) as usize;
        let items = self.history.iter().skip(skipped);
        Ok(ReadPage {
            items: items.map(|(_, value)| value.clone()).collect(),
            next: self.end(),
            end: self.end(),
        })
    }

    pub(crate) fn all_newest(&self) -> ReadPage<T> {
        ReadPage {
            items: self.newest.values().cloned().collect(),
            next: self.end(),
            end: self.end(),
        }
    }

    pub(crate) fn compact(&mut self) {
        self.first_offset = self.end();
        self.history.clear();
    }
}

#[derive(Debug)]
struct StoreState {
    mode: StoreMode,
    streams: [KeyedTopic<KeyedRecord>; 2],
    producers: BTreeMap<(usize, String), ProducerState>,
    group: MemberGroup,
    /// Time until which the appends received so far occupy each stream.
    busy_until: [Option<Instant>; 2],
    rng: StdRng,
}

/// Emulated store of a run.
#[derive(Debug)]
pub(crate) struct EmulatedStore {
    state: Mutex<StoreState>,
    changed: watch::Sender<u64>,
}

/// Outcome of a write.
pub(crate) enum WriteOutcome {
    /// The write was answered.
    Answered(Result<()>),
    /// The write took effect but is not answered.
    Unanswered,
    /// The write takes effect after a delay and is not answered.
    Later(Duration),
}

impl EmulatedStore {
    pub(crate) fn open(seed: u64) -> Self {
        let (changed, _) = watch::channel(0);
        Self {
            state: Mutex::new(StoreState {
                mode: StoreMode::Normal,
                streams: [KeyedTopic::default(), KeyedTopic::default()],
                producers: BTreeMap::new(),
                group: MemberGroup::default(),
                busy_until: [None, None],
                rng: StdRng::seed_from_u64(seed),
            }),
            changed,
        }
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_mode(&self, mode: StoreMode) {
        self.state().mode = mode;
    }

    pub(crate) fn compact(&self) {
        self.state()
            .streams
            .iter_mut()
            .for_each(KeyedTopic::compact);
    }

    /// Waits for the store's latency; `None` if the store does not answer.
    pub(crate) async fn answer(&self, call: &'static str) -> Option<Result<()>> {
        let mode = self.state().mode;
        let refused = || ErrorKind::Refused {
            call,
            message: "store is down".to_owned(),
        };
        match mode {
            StoreMode::Silent => return None,
            StoreMode::Down => return Some(Err(refused().into())),
            StoreMode::Slow => sleep(ANSWER_LATENCY * SLOW_FACTOR).await,
            _ => sleep(ANSWER_LATENCY).await,
        }
        Some(Ok(()))
    }

    /// Waits until the stream has processed this append and those before it.
    ///
    /// # Errors
    ///
    /// Too many appends are waiting.
    pub(crate) async fn queue_append(&self, stream: StoreStream) -> Result<()> {
        let done_at = {
            let mut state = self.state();
            let factor = if state.mode == StoreMode::Slow {
                SLOW_FACTOR
            } else {
                1
            };
            let now = Instant::now();
            let busy_until = &mut state.busy_until[stream_index(stream)];
            let starts_at = busy_until.unwrap_or(now).max(now);
            if starts_at - now > MAX_APPEND_WAIT {
                let message = "too many appends are waiting".to_owned();
                let call = "append";
                return Err(ErrorKind::Refused { call, message }.into());
            }
            *busy_until.insert(starts_at + APPEND_DURATION * factor)
        };
        sleep_until(done_at).await;
        Ok(())
    }

    /// Writes records according to the failure mode; a delayed write is left to the caller.
    pub(crate) fn write(
        &self,
        stream: StoreStream,
        sequence: &AppendSequence,
        records: &[KeyedRecord],
    ) -> WriteOutcome {
        let (mode, is_affected) = {
            let mut state = self.state();
            (state.mode, state.rng.random_bool(AFFECTED_WRITE_SHARE))
        };
        match mode {
            StoreMode::DelayWrites if is_affected => {
                let millis = self.state().rng.random_range(1_000..6_000);
                return WriteOutcome::Later(Duration::from_millis(millis));
            }
            StoreMode::DropAnswers if is_affected => {
                // The result is dropped because the answer is lost.
                let _ = self.append(stream, sequence, records);
                return WriteOutcome::Unanswered;
            }
            _ => {}
        }
        WriteOutcome::Answered(self.append(stream, sequence, records))
    }

    /// Appends records after checking the epoch and sequence number; an empty append only sets the
    /// epoch.
    pub(crate) fn append(
        &self,
        stream: StoreStream,
        sequence: &AppendSequence,
        records: &[KeyedRecord],
    ) -> Result<()> {
        let limits = StoreLimits::example();
        let admits_each = records.iter().all(|record| limits.admits(record));
        if !admits_each || !limits.admits_call(records) {
            let message = "over a size limit".to_owned();
            let call = "append";
            return Err(ErrorKind::Refused { call, message }.into());
        }
        let mut state = self.state();
        let index = stream_index(stream);
        let producer = state.producers.entry((index, sequence.producer.clone()));
        let producer = producer.or_default();
        if sequence.epoch < producer.epoch {
            return Err(ErrorKind::Fenced { call: "append" }.into());
        }
        if sequence.epoch > producer.epoch {
            *producer = ProducerState {
                epoch: sequence.epoch,
                seq: None,
            };
        }
        if records.is_empty() {
            return Ok(());
        }
        match producer.seq {
            Some(last) if sequence.seq <= last => return Ok(()),
            Some(last) if sequence.seq != last + 1 => return Err(ErrorKind::OutOfOrder.into()),
            _ => producer.seq = Some(sequence.seq),
        }
        for record in records {
            let removes_key = record.value.is_empty();
            state.streams[index].push(&record.key, record.clone(), removes_key);
        }
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        Ok(())
    }

    pub(crate) fn newest(&self, stream: StoreStream, after: Option<&str>) -> NewestPage {
        let state = self.state();
        let topic = &state.streams[stream_index(stream)];
        let later = topic.newest.iter();
        let mut later = later.filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let page: Vec<KeyedRecord> = later
            .by_ref()
            .take(MAX_PAGE_RECORDS)
            .map(|(_, record)| record.clone())
            .collect();
        let more = later.next().is_some();
        NewestPage {
            next: page.last().filter(|_| more).map(|last| last.key.clone()),
            records: page,
            end: topic.end(),
        }
    }

    /// Reads records from an offset on; waits up to `wait` for the first.
    pub(crate) async fn read(
        &self,
        stream: StoreStream,
        from: u64,
        wait: ClockTime,
    ) -> Result<ReadPage<KeyedRecord>> {
        let deadline = Instant::now() + Duration::from_millis(wait.as_millis());
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            let (page, stale) = {
                let state = self.state();
                let page = state.streams[stream_index(stream)].read(from)?;
                (page, state.mode == StoreMode::StaleReads)
            };
            if stale && wait > ClockTime::ZERO {
                sleep_until(deadline).await;
                return Ok(ReadPage {
                    items: Vec::new(),
                    next: from,
                    end: from,
                });
            }
            if page.next > from || Instant::now() >= deadline {
                return Ok(page);
            }
            // Wakes on any write, or at the end of the wait.
            let _ = timeout_at(deadline, changed.changed()).await;
        }
    }

    /// Sets how joins are answered while the pools change hands; `None` ends that.
    pub(crate) fn set_flap(&self, flap: Option<OwnershipFlap>) {
        self.state().group.flap = flap;
    }

    /// Returns the delay of the answer to a join; `None` if the join does not arrive.
    pub(crate) fn join_delay(&self, member: &str) -> Option<Duration> {
        let mut state = self.state();
        let StoreState { group, rng, .. } = &mut *state;
        group.join_delay(member, rng)
    }

    pub(crate) fn join(&self, member: &str, lifetime: ClockTime, now: ClockTime) -> Membership {
        let mut state = self.state();
        let StoreState { group, rng, .. } = &mut *state;
        group.join(member, lifetime, now, rng)
    }

    pub(crate) fn leave(&self, member: &str, now: ClockTime) {
        let mut state = self.state();
        let StoreState { group, rng, .. } = &mut *state;
        group.leave(member, now, rng);
    }

    pub(crate) fn owner(&self, now: ClockTime) -> Option<String> {
        let mut state = self.state();
        let StoreState { group, rng, .. } = &mut *state;
        group.expire(now, rng);
        group.owner.clone()
    }

    /// Member keys of the successive owners of the pools.
    pub(crate) fn owners(&self) -> Vec<String> {
        self.state().group.owners.clone()
    }

    /// Assigns the pools to a random member without a change of membership.
    pub(crate) fn reassign_owner(&self, now: ClockTime) {
        let mut state = self.state();
        let StoreState { group, rng, .. } = &mut *state;
        group.assign_owner(now, rng);
    }

    /// Returns how long the pools have belonged to a member other than the given one.
    pub(crate) fn replaced_for(&self, member: &Endpoint, now: ClockTime) -> Option<ClockTime> {
        let state = self.state();
        let owner = state.group.owner.as_ref()?;
        let is_other = !matches!(member, Endpoint::Member(index)
            if owner.starts_with(&format!("entry-{index}|")));
        is_other.then(|| now - state.group.owned_since)
    }
}

fn stream_index(stream: StoreStream) -> usize {
    match stream {
        StoreStream::Accepted => 0,
        StoreStream::Progress => 1,
    }
}
