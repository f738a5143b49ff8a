//! Workers: runs under a lease, ends that are listed until they are acknowledged, and a crash.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Reply, Request, Server, answer},
    json::{Json, number, table, text},
    record::Record,
    store::Store,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
pub const HOLD_MAX_MS: u64 = 6_000;
pub const DRAIN: Duration = Duration::from_millis(2_000);
/// Time after which a work unit that lasts is at work.
const STARTUP_MS: u64 = 500;

/// What the workers know of a step: they run what its submission asks for.
#[derive(Clone, Copy)]
pub struct Step {
    pub cpu: u64,
    pub mem_mb: u64,
    pub fills: bool,
    pub serves: bool,
    /// Kind of worker that the step requires.
    pub requires: Option<&'static str>,
    /// `None` for a work unit that lasts.
    pub work_ms: Option<u64>,
}

/// Steps of the submissions, by id.
pub type Steps = Arc<Mutex<BTreeMap<String, Vec<Step>>>>;

#[derive(Clone)]
struct Run {
    number: u64,
    began: Instant,
    step: Step,
}

struct State {
    id: String,
    boot: Instant,
    born: u64,
    fence: u64,
    deadline_ms: Option<u64>,
    runs: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    end_count: u64,
    /// Highest run that was stopped or has ended, by work unit.
    over: BTreeMap<String, u64>,
    is_draining: bool,
    is_up: bool,
    seq: u64,
    /// Time of the first entry of this boot.
    registers_at: Instant,
    /// Kind of this boot, one of its labels.
    kind: &'static str,
    /// Starts of work units whose step requires another kind.
    misplaced: usize,
}

#[derive(Clone)]
pub struct Place {
    pub machine: String,
    pub pool: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

pub struct Worker {
    pub place: Place,
    pub address: String,
    state: Arc<Mutex<State>>,
    server: Mutex<Option<Server>>,
    store: Store,
    steps: Steps,
    record: Record,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl State {
    fn open(id: &str, kind: &'static str) -> State {
        State {
            id: id.to_owned(),
            boot: Instant::now(),
            born: unix_ms(),
            fence: 0,
            deadline_ms: None,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            over: BTreeMap::new(),
            is_draining: false,
            is_up: true,
            seq: 0,
            registers_at: Instant::now(),
            kind,
            misplaced: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        100_000 + self.boot.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str, record: &Record) {
        if let Some(run) = self.runs.remove(task) {
            self.end_count += 1;
            self.over.insert(task.to_owned(), run.number);
            self.ended.push((self.end_count, task.to_owned(), run.number, how));
            record.write(&format!("end    {task} run {} on {}: {how}", run.number, self.id));
        }
    }

    /// Ends the runs that are done, and all of them once the lease has lapsed.
    fn tick(&mut self, record: &Record) {
        let lapsed = self.deadline_ms.is_some_and(|deadline| self.clock_ms() > deadline);
        for (task, run) in self.runs.clone() {
            let age = run.began.elapsed().as_millis() as u64;
            if run.step.work_ms.is_some_and(|work| age >= work) {
                self.end(&task, "done", record);
            } else if lapsed {
                self.end(&task, "lapsed", record);
            }
        }
    }

    fn extend(&mut self, body: &Json) {
        if let Some(deadline) = body.number("deadline_at_ms") {
            let longest = self.clock_ms() + HOLD_MAX_MS;
            self.deadline_ms = self.deadline_ms.max(Some(deadline.min(longest)));
        }
    }

    fn told(&self, status: u16, fields: &[(&str, Json)]) -> Reply {
        let mut body = vec![("clock_ms", number(self.clock_ms())), ("born", number(self.born))];
        body.extend(fields.iter().cloned());
        answer(status, &table(&body))
    }

    fn refused(&self, reason: &str) -> Reply {
        self.told(409, &[("reason", text(reason))])
    }

    fn lists(&self) -> Reply {
        let running = self.runs.iter().map(|(task, run)| {
            let age = run.began.elapsed().as_millis() as u64;
            let percent = age * 100 / run.step.work_ms.unwrap_or(STARTUP_MS).max(1);
            let load = if run.step.serves { 20 } else { run.step.cpu };
            Json::List(vec![
                text(task),
                number(run.number),
                text(""),
                number(percent.min(100)),
                number(load),
            ])
        });
        let ended = self.ended.iter().take(500).map(|(count, task, run, how)| {
            Json::List(vec![number(*count), text(task), number(*run), text(how), text("")])
        });
        let (running, ended) = (running.collect(), ended.collect());
        self.told(200, &[("running", Json::List(running)), ("ended", Json::List(ended))])
    }
}

impl Worker {
    pub fn start(
        id: &str,
        place: Place,
        ip: &str,
        store: &Store,
        steps: &Steps,
        record: &Record,
    ) -> std::io::Result<Arc<Worker>> {
        let state = Arc::new(Mutex::new(State::open(id, "a")));
        let server = serve(&format!("{ip}:0"), &state, steps, &place, record)?;
        let worker = Arc::new(Worker {
            place,
            address: server.address.to_string(),
            state,
            server: Mutex::new(Some(server)),
            store: store.clone(),
            steps: steps.clone(),
            record: record.clone(),
        });
        let ticker = worker.clone();
        thread::spawn(move || {
            loop {
                ticker.state.lock().unwrap().tick(&ticker.record);
                thread::sleep(Duration::from_millis(20));
            }
        });
        let reporter = worker.clone();
        thread::spawn(move || {
            loop {
                reporter.register();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(worker)
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().is_up
    }

    /// Names of the work units that are in progress, with their ages.
    pub fn runs(&self) -> Vec<(String, Duration)> {
        let mut state = self.state.lock().unwrap();
        state.tick(&self.record);
        let runs = state.runs.iter();
        runs.map(|(task, run)| (task.clone(), run.began.elapsed())).collect()
    }

    fn register(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up || Instant::now() < state.registers_at {
            return;
        }
        state.seq += 1;
        let capacity = table(&[
            ("cpu", number(self.place.cpu)),
            ("mem_mb", number(self.place.mem_mb)),
            ("gpu", number(0)),
        ]);
        let mut entry = vec![
            ("service", text(&self.place.pool)),
            ("address", text(&self.address)),
            ("zone", text("zone-a")),
            ("version", text("v1")),
            ("slots", number(8)),
            ("state", text(if state.is_draining { "draining" } else { "ready" })),
            ("cold_left_ms", number(0)),
            ("capacity", capacity),
            ("labels", Json::List(vec![text(state.kind), text(&self.place.rack)])),
            ("clock_ms", number(state.clock_ms())),
            ("born", number(state.born)),
            ("seq", number(state.seq)),
        ];
        if state.is_draining {
            entry.push(("remaining_ms", number(DRAIN.as_millis() as u64)));
        }
        self.store.put("keyed.servers", &state.id, &table(&entry).write());
    }

    fn bind(&self) -> std::io::Result<Server> {
        serve(&self.address, &self.state, &self.steps, &self.place, &self.record)
    }

    /// Reports that it drains, goes on for the time of a drain and a little longer, and leaves for good.
    pub fn drain_and_leave(&self) {
        self.state.lock().unwrap().is_draining = true;
        self.register();
        self.record.write(&format!("worker {} drains", self.id()));
        thread::sleep(DRAIN + Duration::from_millis(1_000));
        self.leave("has left");
    }

    /// Ends the process for good, and its entry with it.
    pub fn leave(&self, why: &str) {
        self.go_down(why);
        self.store.put("keyed.servers", &self.id(), "");
    }

    /// Ends the process: all runs are gone and connections are refused.
    pub fn go_down(&self, why: &str) {
        let server = self.server.lock().unwrap().take();
        if let Some(mut server) = server {
            server.stop();
        }
        let mut state = self.state.lock().unwrap();
        state.is_up = false;
        for (task, run) in std::mem::take(&mut state.runs) {
            let id = &state.id;
            self.record.write(&format!("end    {task} run {} on {id}: gone with it", run.number));
        }
        self.record.write(&format!("worker {} {why}", state.id));
    }

    /// Boots again at the same address, under an id and as a kind, and writes its entry after `delay`.
    pub fn come_back(&self, id: &str, kind: &'static str, delay: Duration) -> std::io::Result<()> {
        {
            let mut state = self.state.lock().unwrap();
            *state = State::open(id, kind);
            state.registers_at = Instant::now() + delay;
        }
        *self.server.lock().unwrap() = Some(self.bind()?);
        self.record.write(&format!("worker {id} is up as kind {kind} at {}", self.address));
        thread::sleep(delay);
        self.register();
        Ok(())
    }

    /// Number of starts in this boot whose step requires another kind.
    pub fn misplaced(&self) -> usize {
        self.state.lock().unwrap().misplaced
    }
}

fn serve(
    address: &str,
    state: &Arc<Mutex<State>>,
    steps: &Steps,
    place: &Place,
    record: &Record,
) -> std::io::Result<Server> {
    let (state, steps, record) = (state.clone(), steps.clone(), record.clone());
    let place = place.clone();
    Server::start(
        address,
        Arc::new(move |request: &Request| handle(request, &state, &steps, &place, &record)),
    )
}

fn handle(
    request: &Request,
    shared: &Mutex<State>,
    steps: &Steps,
    place: &Place,
    record: &Record,
) -> Reply {
    let body = request.json();
    let mut state = shared.lock().unwrap();
    let target = request.header("target-instance");
    if !target.is_empty() && target != state.id {
        return answer(421, &table(&[]));
    }
    if request.path == "/healthz" {
        return answer(200, &table(&[]));
    }
    state.tick(record);
    let fence = body.number("fencing_token").unwrap_or(0);
    if fence < state.fence {
        return state.refused("fence");
    }
    state.fence = fence;
    let (task, run) = (body.text("task"), body.number("run").unwrap_or(0));
    match request.path.as_str() {
        "/v1/hold" => {
            state.extend(&body);
            let cursor = body.number("ack_cursor").unwrap_or(0);
            let id = state.id.clone();
            state.ended.retain(|(count, task, run, how)| {
                if *count <= cursor {
                    record.write(&format!("ack    {task} run {run} on {id}: {how}"));
                }
                *count > cursor
            });
            let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
            let until = Instant::now() + wait;
            while state.ended.is_empty() && state.is_up && Instant::now() < until {
                drop(state);
                thread::sleep(Duration::from_millis(5));
                state = shared.lock().unwrap();
                state.tick(record);
            }
            state.lists()
        }
        "/v1/run-start" => {
            if state.runs.get(&task).is_some_and(|known| known.number == run) {
                state.extend(&body);
                return state.told(200, &[]);
            }
            let running = state.runs.get(&task).map_or(0, |known| known.number);
            if run <= running.max(state.over.get(&task).copied().unwrap_or(0)) {
                state.extend(&body);
                return state.refused("old");
            }
            if body.number("deadline_at_ms").is_some_and(|deadline| deadline < state.clock_ms()) {
                return state.refused("late");
            }
            let mut parts = task.split('.');
            let job = parts.next().unwrap_or_default();
            let index = parts.nth(1).and_then(|step| step.parse::<usize>().ok());
            let known = steps.lock().unwrap().get(job).cloned().unwrap_or_default();
            let Some(step) = index.and_then(|index| known.get(index)).copied() else {
                record.write(&format!("start  {task} run {run} on {}: NOBODY SENT IT", state.id));
                return answer(400, &table(&[]));
            };
            let cost = |step: &Step| if step.fills { 0 } else { step.cpu };
            let cpu: u64 = state.runs.values().map(|run| cost(&run.step)).sum();
            let mem: u64 = state.runs.values().map(|run| run.step.mem_mb).sum();
            state.extend(&body);
            if cpu + cost(&step) > place.cpu || mem + step.mem_mb > place.mem_mb {
                return state.refused("room");
            }
            record.write(&format!("start  {task} run {run} on {} (fence {fence})", state.id));
            if let Some(kind) = step.requires.filter(|kind| *kind != state.kind) {
                state.misplaced += 1;
                record.write(&format!("       it requires kind {kind}, the worker is of kind {}", state.kind));
            }
            state.runs.insert(task, Run { number: run, began: Instant::now(), step });
            state.told(200, &[])
        }
        "/v1/run-stop" => {
            let over = state.over.entry(task.clone()).or_insert(0);
            *over = run.max(*over);
            if state.runs.get(&task).is_some_and(|known| known.number <= run) {
                record.write(&format!("stop   {task} run {run} on {}", state.id));
                state.end(&task, "stopped", record);
            }
            state.told(200, &[])
        }
        "/v1/pace" => state.told(200, &[]),
        _ => answer(404, &table(&[])),
    }
}
