//! Keyed topics, writers' epochs, the group.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jacinthhoist_codec::KeyedRecord;
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

/// Time for which a silent member of the group keeps its part.
const MEMBER_TTL: ClockTime = ClockTime::from_millis(1_000);
/// Records of one page of the newest.
const PAGE_RECORDS: usize = 200;
/// The usual time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
/// How many times the usual a slow store's answers take.
const SLOW_FACTOR: u32 = 50;
/// Share of the writes that are lost or late while the store loses some.
const LOST_SHARE: f64 = 0.3;

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StoreMode {
    #[default]
    Sound,
    Down,
    Silent,
    Slow,
    LoseAnswers,
    LateWrites,
    /// Reads that wait hear of nothing new.
    Deaf,
}

#[derive(Debug, Default)]
struct Writer {
    epoch: u64,
    seq: Option<u64>,
}

/// Records with offsets; the newest of each key outlives the history.
#[derive(Debug)]
pub(crate) struct Topic<T> {
    history: Vec<(String, T)>,
    first: u64,
    newest: BTreeMap<String, T>,
}

impl<T> Default for Topic<T> {
    fn default() -> Self {
        Self {
            history: Vec::new(),
            first: 0,
            newest: BTreeMap::new(),
        }
    }
}

impl<T: Clone> Topic<T> {
    pub(crate) fn end(&self) -> u64 {
        self.first + self.history.len() as u64
    }

    /// Writes a record; `drops` takes the key out of the newest.
    pub(crate) fn push(&mut self, key: &str, value: T, drops: bool) {
        if drops {
            self.newest.remove(key);
        } else {
            self.newest.insert(key.to_owned(), value.clone());
        }
        self.history.push((key.to_owned(), value));
    }

    pub(crate) fn read(&self, from: u64) -> Result<ReadPage<T>> {
        if from < self.first {
            return Err(ErrorKind::Trimmed { first: self.first }.into());
        }
        let skipped = (from - self.first) as usize;
        let items = self.history.iter().skip(skipped);
        Ok(ReadPage {
            items: items.map(|(_, value)| value.clone()).collect(),
            next: self.end(),
        })
    }

    pub(crate) fn all_newest(&self) -> ReadPage<T> {
        ReadPage {
            items: self.newest.values().cloned().collect(),
            next: self.end(),
        }
    }

    pub(crate) fn compact(&mut self) {
        self.first = self.end();
        self.history.clear();
    }
}

#[derive(Debug, Default)]
struct Group {
    members: BTreeMap<String, ClockTime>,
    owner: Option<String>,
    generation: u64,
    /// Owners one after the other.
    owners: Vec<String>,
}

#[derive(Debug)]
struct StoreState {
    mode: StoreMode,
    streams: [Topic<KeyedRecord>; 2],
    writers: BTreeMap<(usize, String), Writer>,
    group: Group,
    draws: StdRng,
}

/// The store of a day.
#[derive(Debug)]
pub(crate) struct EmulatedStore {
    state: Mutex<StoreState>,
    changed: watch::Sender<u64>,
}

/// What became of a write.
pub(crate) enum Written {
    /// It was answered.
    Answered(Result<()>),
    /// It was done and will not be answered.
    Unanswered,
    /// It will be done after a time and not be answered.
    Later(Duration),
}

impl EmulatedStore {
    pub(crate) fn open(seed: u64) -> Self {
        let (changed, _) = watch::channel(0);
        Self {
            state: Mutex::new(StoreState {
                mode: StoreMode::Sound,
                streams: [Topic::default(), Topic::default()],
                writers: BTreeMap::new(),
                group: Group::default(),
                draws: StdRng::seed_from_u64(seed),
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
        self.state().streams.iter_mut().for_each(Topic::compact);
    }

    /// Waits as the store takes to answer; none where it never does.
    pub(crate) async fn answer(&self, call: &'static str) -> Option<Result<()>> {
        let mode = self.state().mode;
        let refused = || ErrorKind::Refused {
            call,
            message: "the store is down".to_owned(),
        };
        match mode {
            StoreMode::Silent => return None,
            StoreMode::Down => return Some(Err(refused().into())),
            StoreMode::Slow => sleep(ANSWER * SLOW_FACTOR).await,
            _ => sleep(ANSWER).await,
        }
        Some(Ok(()))
    }

    /// Decides what becomes of a write, and does it unless it is late.
    pub(crate) fn write(
        &self,
        stream: StoreStream,
        mark: &AppendSequence,
        records: &[KeyedRecord],
    ) -> Written {
        let (mode, unlucky) = {
            let mut state = self.state();
            (state.mode, state.draws.random_bool(LOST_SHARE))
        };
        match mode {
            StoreMode::LateWrites if unlucky => {
                let millis = self.state().draws.random_range(1_000..6_000);
                return Written::Later(Duration::from_millis(millis));
            }
            StoreMode::LoseAnswers if unlucky => {
                // Its caller hears nothing of how it went.
                let _ = self.append(stream, mark, records);
                return Written::Unanswered;
            }
            _ => {}
        }
        Written::Answered(self.append(stream, mark, records))
    }

    /// Appends under the rules for epochs and sequence numbers.
    pub(crate) fn append(
        &self,
        stream: StoreStream,
        mark: &AppendSequence,
        records: &[KeyedRecord],
    ) -> Result<()> {
        let mut state = self.state();
        let at = index(stream);
        let writer = state.writers.entry((at, mark.producer.clone()));
        let writer = writer.or_default();
        if mark.epoch < writer.epoch {
            return Err(ErrorKind::Fenced { call: "append" }.into());
        }
        if mark.epoch > writer.epoch {
            *writer = Writer {
                epoch: mark.epoch,
                seq: None,
            };
        }
        if records.is_empty() {
            return Ok(());
        }
        match writer.seq {
            Some(last) if mark.seq <= last => return Ok(()),
            Some(last) if mark.seq != last + 1 => return Err(ErrorKind::OutOfOrder.into()),
            _ => writer.seq = Some(mark.seq),
        }
        for record in records {
            let drops = record.value.is_empty();
            state.streams[at].push(&record.key, record.clone(), drops);
        }
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        Ok(())
    }

    pub(crate) fn newest(&self, stream: StoreStream, after: Option<&str>) -> NewestPage {
        let state = self.state();
        let topic = &state.streams[index(stream)];
        let later = topic.newest.iter();
        let mut later = later.filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let page: Vec<KeyedRecord> = later
            .by_ref()
            .take(PAGE_RECORDS)
            .map(|(_, record)| record.clone())
            .collect();
        let more = later.next().is_some();
        NewestPage {
            next: page.last().filter(|_| more).map(|last| last.key.clone()),
            records: page,
            end: topic.end(),
        }
    }

    /// Records from an offset on; waits for the first.
    pub(crate) async fn read(
        &self,
        stream: StoreStream,
        from: u64,
        wait: ClockTime,
    ) -> Result<ReadPage<KeyedRecord>> {
        let until = Instant::now() + Duration::from_millis(wait.as_millis());
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            let (page, deaf) = {
                let state = self.state();
                let page = state.streams[index(stream)].read(from)?;
                (page, state.mode == StoreMode::Deaf)
            };
            if deaf && wait > ClockTime::ZERO {
                sleep_until(until).await;
                return Ok(ReadPage {
                    items: Vec::new(),
                    next: from,
                });
            }
            if page.next > from || Instant::now() >= until {
                return Ok(page);
            }
            // Woken by any write, or at the end of the wait.
            let _ = timeout_at(until, changed.changed()).await;
        }
    }

    pub(crate) fn join(&self, member: &str, now: ClockTime) -> Membership {
        let mut state = self.state();
        state.expire(now);
        let until = now + MEMBER_TTL;
        let group = &mut state.group;
        if group.members.insert(member.to_owned(), until).is_none() {
            state.deal();
        }
        let group = &state.group;
        Membership {
            generation: group.generation,
            owns: group.owner.as_deref() == Some(member),
        }
    }

    pub(crate) fn leave(&self, member: &str, now: ClockTime) {
        let mut state = self.state();
        state.expire(now);
        if state.group.members.remove(member).is_some() {
            state.deal();
        }
    }

    pub(crate) fn owner(&self, now: ClockTime) -> Option<String> {
        let mut state = self.state();
        state.expire(now);
        state.group.owner.clone()
    }

    /// Members that have owned the pools, one after the other.
    pub(crate) fn owners(&self) -> Vec<String> {
        self.state().group.owners.clone()
    }

    /// Deals the pools anew without being asked.
    pub(crate) fn deal_anew(&self) {
        self.state().deal();
    }
}

impl StoreState {
    fn expire(&mut self, now: ClockTime) {
        let before = self.group.members.len();
        self.group.members.retain(|_, until| *until > now);
        if self.group.members.len() < before {
            self.deal();
        }
    }

    /// Any member may get the pools with any change.
    fn deal(&mut self) {
        let group = &mut self.group;
        group.generation += 1;
        let count = group.members.len();
        group.owner = (count > 0).then(|| {
            let at = self.draws.random_range(0..count);
            let name = group.members.keys().nth(at);
            name.cloned().unwrap_or_default()
        });
        if let Some(owner) = &group.owner
            && group.owners.last() != Some(owner)
        {
            group.owners.push(owner.clone());
        }
    }
}

fn index(stream: StoreStream) -> usize {
    match stream {
        StoreStream::Accepted => 0,
        StoreStream::Progress => 1,
    }
}
