//! Workers: runs under leases, lists of runs and ends, registration in the store.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Request, json},
    json::{Json, quote},
    platform::{Record, Submissions, unix_ms},
    store::Store,
};

/// Ends in one answer, as the pages say.
const LISTED_ENDS: usize = 500;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const SILENCE_BEFORE_REMOVAL: Duration = Duration::from_millis(4_500);

/// One run, as seen by its worker.
#[derive(Clone, Debug)]
pub struct SeenRun {
    pub worker: String,
    pub run: u64,
    pub started: Instant,
    pub ended: Option<(Instant, &'static str)>,
    /// Time at which the cursor has reached the end.
    pub noted: Option<Instant>,
    /// True if the lease lapsed after the end and before it was taken note of.
    pub lapsed: bool,
    /// True if the worker crashed with the run.
    pub crashed: bool,
}

/// All runs by work unit.
pub type SeenRuns = Arc<Mutex<BTreeMap<String, Vec<SeenRun>>>>;

struct ActiveRun {
    run: u64,
    started: Instant,
    duration: Option<Duration>,
    fails: bool,
    need: (u64, u64),
}

struct EndedRun {
    number: u64,
    unit: String,
    run: u64,
    how: &'static str,
    index: usize,
}

struct Process {
    boot: Instant,
    born: u64,
    token: u64,
    deadline: Option<u64>,
    runs: BTreeMap<String, ActiveRun>,
    finished: HashMap<String, u64>,
    ends: Vec<EndedRun>,
    end_count: u64,
}

impl Process {
    fn new() -> Self {
        Self {
            boot: Instant::now(),
            born: unix_ms(),
            token: 0,
            deadline: None,
            runs: BTreeMap::new(),
            finished: HashMap::new(),
            ends: Vec::new(),
            end_count: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.boot.elapsed().as_millis() as u64 + 1
    }
}

pub struct Worker {
    pub id: String,
    pub pool: String,
    capacity: (u64, u64),
    hold_max_ms: u64,
    process: Mutex<Process>,
    ended: Condvar,
    /// True while nothing reaches the worker and nothing leaves it.
    pub cut: AtomicBool,
    crashed: AtomicBool,
    holds: AtomicU64,
    /// Called once, when a work unit has been started and before the order is answered.
    pub trap: Mutex<Option<Box<dyn FnOnce() + Send>>>,
    seen: SeenRuns,
    submissions: Submissions,
    record: Record,
}

impl Worker {
    pub fn spawn(
        id: &str,
        pool: &str,
        capacity: (u64, u64),
        hold_max_ms: u64,
        store: Arc<Store>,
        seen: SeenRuns,
        submissions: Submissions,
        record: Record,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            id: id.to_owned(),
            pool: pool.to_owned(),
            capacity,
            hold_max_ms,
            process: Mutex::new(Process::new()),
            ended: Condvar::new(),
            cut: AtomicBool::new(false),
            crashed: AtomicBool::new(false),
            holds: AtomicU64::new(0),
            trap: Mutex::new(None),
            seen,
            submissions,
            record,
        });
        let served = worker.clone();
        let address = http::serve(move |request| served.answer(request));
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                ticking.advance();
            }
        });
        let registered = worker.clone();
        thread::spawn(move || registered.register(&store, address));
        worker
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst) || self.crashed.load(Ordering::SeqCst)
    }

    /// Ends the process with all runs; another one starts at the same address after `down`.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        let mut process = self.process.lock().unwrap();
        if self.crashed.swap(true, Ordering::SeqCst) {
            return;
        }
        let runs = std::mem::take(&mut process.runs);
        self.record.line(&format!("worker {} crashes with {} runs", self.id, runs.len()));
        let mut seen = self.seen.lock().unwrap();
        for (unit, run) in runs {
            let known = seen.get_mut(&unit).and_then(|runs| runs.iter_mut().find(|row| row.run == run.run));
            if let Some(row) = known {
                row.crashed = true;
                row.ended = Some((Instant::now(), "crashed"));
            }
        }
        drop((seen, process));
        self.ended.notify_all();
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            *worker.process.lock().unwrap() = Process::new();
            worker.crashed.store(false, Ordering::SeqCst);
            worker.record.line(&format!("worker {} has started again", worker.id));
        });
    }

    /// Cuts the worker off from the members, or ends the cut.
    pub fn cut_off(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        let what = if cut { "is cut off" } else { "is reached again" };
        self.record.line(&format!("worker {} {what}", self.id));
    }

    /// Waits until a call for a hold has been answered.
    pub fn wait_hold(&self) {
        let count = self.holds.load(Ordering::SeqCst);
        while self.holds.load(Ordering::SeqCst) == count {
            thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn running(&self) -> usize {
        self.process.lock().unwrap().runs.len()
    }

    /// Capacity of the worker; none while it is down.
    pub fn up_cpu(&self) -> u64 {
        if self.crashed.load(Ordering::SeqCst) { 0 } else { self.capacity.0 }
    }

    pub fn used_cpu(&self) -> u64 {
        self.process.lock().unwrap().runs.values().map(|run| run.need.0).sum()
    }

    fn register(&self, store: &Store, address: SocketAddr) {
        let (mut seq, mut silent_since) = (0u64, None::<Instant>);
        loop {
            if self.crashed.load(Ordering::SeqCst) {
                let since = *silent_since.get_or_insert_with(Instant::now);
                if since.elapsed() > SILENCE_BEFORE_REMOVAL {
                    store.put("keyed.servers", &self.id, "");
                }
                thread::sleep(Duration::from_millis(100));
                continue;
            }
            silent_since = None;
            seq += 1;
            let born = self.process.lock().unwrap().born;
            let (cpu, mem_mb) = self.capacity;
            let entry = format!(
                "{{\"service\":{},\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{born},\"capacity\":{{\"cpu\":{cpu},\"mem_mb\":{mem_mb},\"gpu\":0}},\"labels\":[\"a\",\"r1-1\"]}}",
                quote(&self.pool)
            );
            store.put("keyed.servers", &self.id, &entry);
            let slept = Instant::now();
            while slept.elapsed() < HEARTBEAT && !self.crashed.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Ends the runs that are over, and all runs once the lease has lapsed.
    fn advance(&self) {
        let mut process = self.process.lock().unwrap();
        let (now, clock) = (Instant::now(), process.clock_ms());
        let lapsed = process.deadline.is_some_and(|deadline| clock > deadline);
        let over = process.runs.iter().filter_map(|(unit, run)| {
            let is_over = run.duration.is_some_and(|span| run.started + span <= now);
            let how = if run.fails { "failed" } else { "done" };
            let how = is_over.then_some(how).or(lapsed.then_some("lapsed"))?;
            Some((unit.clone(), how))
        });
        let over: Vec<(String, &'static str)> = over.collect();
        for (unit, how) in &over {
            self.end(&mut process, unit, how);
        }
        if lapsed && !process.ends.is_empty() {
            let mut seen = self.seen.lock().unwrap();
            for end in &process.ends {
                if let Some(row) = seen.get_mut(&end.unit).and_then(|rows| rows.get_mut(end.index)) {
                    row.lapsed |= row.noted.is_none();
                }
            }
        }
        if !over.is_empty() {
            self.ended.notify_all();
        }
    }

    fn end(&self, process: &mut Process, unit: &str, how: &'static str) {
        let Some(run) = process.runs.remove(unit) else {
            return;
        };
        process.end_count += 1;
        process.finished.insert(unit.to_owned(), run.run);
        let mut seen = self.seen.lock().unwrap();
        let rows = seen.entry(unit.to_owned()).or_default();
        let index = rows.iter().rposition(|row| row.run == run.run && row.worker == self.id);
        let index = index.unwrap_or(0);
        if let Some(row) = rows.get_mut(index) {
            row.ended = Some((Instant::now(), how));
        }
        let number = process.end_count;
        process.ends.push(EndedRun { number, unit: unit.to_owned(), run: run.run, how, index });
    }

    fn answer(&self, request: Request) -> Answer {
        if self.is_cut() {
            return self.wait_and_close();
        }
        if request.headers.get("target-instance").is_some_and(|target| *target != self.id) {
            return json(421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return json(400, "{}".to_owned());
        };
        let answer = match request.path.as_str() {
            "/v1/run-start" => self.start(&body),
            "/v1/run-stop" => self.stop(&body),
            "/v1/hold" => self.hold(&body),
            "/v1/pace" => json(200, format!("{{\"clock_ms\":{}}}", self.process.lock().unwrap().clock_ms())),
            _ => json(404, "{}".to_owned()),
        };
        // An answer that a partition holds up is lost once the caller resets the connection.
        if self.is_cut() { self.wait_and_close() } else { answer }
    }

    fn wait_and_close(&self) -> Answer {
        while self.is_cut() {
            thread::sleep(Duration::from_millis(5));
        }
        Answer::Close
    }

    fn refusal(process: &Process, reason: &str) -> Answer {
        let (clock, born) = (process.clock_ms(), process.born);
        json(409, format!("{{\"clock_ms\":{clock},\"born\":{born},\"reason\":\"{reason}\"}}"))
    }

    fn accepts_token(process: &mut Process, body: &Json) -> bool {
        let token = body.get("fencing_token").number().unwrap_or(0);
        let accepted = token >= process.token;
        process.token = process.token.max(token);
        accepted
    }

    fn extend(&self, process: &mut Process, body: &Json) {
        let latest = process.clock_ms() + self.hold_max_ms;
        let asked = body.get("deadline_at_ms").number().map(|deadline| deadline.min(latest));
        process.deadline = process.deadline.max(asked);
    }

    fn start(&self, body: &Json) -> Answer {
        let mut process = self.process.lock().unwrap();
        if self.crashed.load(Ordering::SeqCst) {
            return Answer::Close;
        }
        if !Self::accepts_token(&mut process, body) {
            return Self::refusal(&process, "fence");
        }
        let unit = body.get("task").text().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        let is_there = process.runs.get(&unit).is_some_and(|active| active.run == run);
        if !is_there {
            if body.get("deadline_at_ms").number().is_some_and(|at| at < process.clock_ms()) {
                return Self::refusal(&process, "late");
            }
            self.extend(&mut process, body);
            let highest = process.finished.get(&unit).copied().unwrap_or(0);
            let active = process.runs.get(&unit).map_or(0, |active| active.run);
            if run <= highest.max(active) {
                return Self::refusal(&process, "old");
            }
            let need = self.submissions.need(&unit);
            let used = process.runs.values().fold((0, 0), |sum, run| (sum.0 + run.need.0, sum.1 + run.need.1));
            if used.0 + need.0 > self.capacity.0 || used.1 + need.1 > self.capacity.1 {
                return Self::refusal(&process, "room");
            }
            let plan = body.get("task_spec").text();
            let duration = plan.strip_prefix("ms=").and_then(|text| text.split(';').next()?.parse::<u64>().ok());
            // Work units of one step last up to 15% more or less than their mean.
            let spread = 850 + spread_of(&unit) % 301;
            let duration = duration.map(|mean| Duration::from_millis(mean * spread / 1_000));
            let started = Instant::now();
            let fails = plan.contains("fail");
            process.runs.insert(unit.clone(), ActiveRun { run, started, duration, fails, need });
            let row = SeenRun {
                worker: self.id.clone(),
                run,
                started,
                ended: None,
                noted: None,
                lapsed: false,
                crashed: false,
            };
            self.seen.lock().unwrap().entry(unit).or_default().push(row);
            if let Some(act) = self.trap.lock().unwrap().take() {
                act();
            }
        }
        json(200, format!("{{\"clock_ms\":{},\"born\":{}}}", process.clock_ms(), process.born))
    }

    fn stop(&self, body: &Json) -> Answer {
        let mut process = self.process.lock().unwrap();
        if !Self::accepts_token(&mut process, body) {
            return Self::refusal(&process, "fence");
        }
        let unit = body.get("task").text().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        if process.runs.get(&unit).is_some_and(|active| active.run <= run) {
            self.end(&mut process, &unit, "stopped");
        }
        let highest = process.finished.entry(unit).or_default();
        *highest = run.max(*highest);
        self.ended.notify_all();
        json(200, format!("{{\"clock_ms\":{},\"born\":{}}}", process.clock_ms(), process.born))
    }

    fn hold(&self, body: &Json) -> Answer {
        let until = Instant::now() + Duration::from_millis(body.get("wait_ms").number().unwrap_or(0).min(2_000));
        let mut process = self.process.lock().unwrap();
        if !Self::accepts_token(&mut process, body) {
            return Self::refusal(&process, "fence");
        }
        let born = process.born;
        self.extend(&mut process, body);
        let cursor = body.get("ack_cursor").number().unwrap_or(0);
        let (forgotten, kept) = std::mem::take(&mut process.ends).into_iter().partition(|end| end.number <= cursor);
        process.ends = kept;
        let forgotten: Vec<EndedRun> = forgotten;
        if !forgotten.is_empty() {
            let mut seen = self.seen.lock().unwrap();
            for end in forgotten {
                if let Some(row) = seen.get_mut(&end.unit).and_then(|rows| rows.get_mut(end.index)) {
                    row.noted.get_or_insert_with(Instant::now);
                }
            }
        }
        loop {
            let now = Instant::now();
            if !process.ends.is_empty() || now >= until || process.born != born || self.is_cut() {
                break;
            }
            process = self.ended.wait_timeout(process, (until - now).min(Duration::from_millis(20))).unwrap().0;
        }
        let now = Instant::now();
        let running = process.runs.iter().map(|(unit, run)| {
            let percent = run.duration.map_or(100, |span| {
                let done = (now - run.started).as_millis() * 100 / span.as_millis().max(1);
                done.min(99) as u64
            });
            format!("[{},{},\"\",{percent},{}]", quote(unit), run.run, run.need.0)
        });
        let running: Vec<String> = running.collect();
        let ended = process.ends.iter().take(LISTED_ENDS);
        let ended = ended.map(|end| format!("[{},{},{},\"{}\",\"\"]", end.number, quote(&end.unit), end.run, end.how));
        let ended: Vec<String> = ended.collect();
        let (clock, born) = (process.clock_ms(), process.born);
        self.holds.fetch_add(1, Ordering::SeqCst);
        json(
            200,
            format!(
                "{{\"clock_ms\":{clock},\"born\":{born},\"running\":[{}],\"ended\":[{}]}}",
                running.join(","),
                ended.join(",")
            ),
        )
    }
}

fn spread_of(unit: &str) -> u64 {
    unit.bytes().fold(1_469_598_103_934_665_603u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(1_099_511_628_211)
    }) >> 20
}
