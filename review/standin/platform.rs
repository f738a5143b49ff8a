//! A small installation: store, workers, the list of machines, the members, and consumers.

use std::{
    collections::HashMap,
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Answer, Request, json},
    json::{Json, quote},
    store::Store,
    worker::{SeenRuns, Worker},
};

pub const HOST: &str = "review.example";
pub const PREFIX: &str = "/work/";
pub const SERVICE: &str = "galerij";
const CONSUMER_LIMIT: Duration = Duration::from_millis(3_000);

/// Processes of members that have been started and not ended.
pub static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn end_child(mut child: Child) {
    let _ = child.kill();
    let _ = child.wait();
    STARTED.lock().unwrap().retain(|process| *process != child.id());
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

/// The record of a run of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn open(folder: &str) -> Self {
        let file = File::create(format!("{folder}/record.txt")).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), begun: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {text}");
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }

    /// Writes a line to the record alone.
    pub fn detail(&self, at: Instant, text: &str) {
        let at = at.saturating_duration_since(self.begun).as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// What consumers have handed in: processor and memory of each step.
#[derive(Clone, Default)]
pub struct Submissions(Arc<Mutex<HashMap<String, Vec<(u64, u64)>>>>);

impl Submissions {
    fn add(&self, id: &str, steps: Vec<(u64, u64)>) {
        self.0.lock().unwrap().insert(id.to_owned(), steps);
    }

    /// Need of a work unit, by its name.
    pub fn need(&self, unit: &str) -> (u64, u64) {
        let mut parts = unit.split('.');
        let id = parts.next().unwrap_or_default();
        let step = parts.nth(1).and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
        let known = self.0.lock().unwrap();
        known.get(id).and_then(|steps| steps.get(step)).copied().unwrap_or((0, 0))
    }
}

pub struct Member {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// Sizes of the installation of a case.
pub struct Size {
    pub members: usize,
    pub workers: usize,
    pub hold_max_ms: u64,
    pub status_s: u64,
    pub attempts: u64,
}

pub struct Platform {
    pub record: Record,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub members: Vec<Member>,
    pub seen: SeenRuns,
    submissions: Submissions,
    folder: PathBuf,
}

impl Platform {
    pub fn spawn(folder: &str, size: &Size) -> Self {
        let record = Record::open(folder);
        let (store, seen) = (Arc::new(Store::default()), SeenRuns::default());
        let submissions = Submissions::default();
        let temporary = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&temporary).expect("a temporary folder");
        let served = store.clone();
        let store_address = http::serve(move |request| served.answer(request));
        let workers = (1..=size.workers).map(|number| {
            Worker::spawn(
                &format!("w{number}"),
                SERVICE,
                (16_000, 65_536),
                size.hold_max_ms,
                store.clone(),
                seen.clone(),
                submissions.clone(),
                record.clone(),
            )
        });
        let workers: Vec<Arc<Worker>> = workers.collect();
        let listed: Vec<String> = workers.iter().enumerate().map(|(number, worker)| {
            format!(
                "{{\"machine\":\"m{}\",\"pool\":{},\"state\":\"up\",\"zone\":\"z1\",\"labels\":[\"a\",\"r1-1\"],\"capacity\":{{\"cpu\":16000,\"mem_mb\":65536,\"gpu\":0}},\"id\":{}}}",
                number + 1,
                quote(SERVICE),
                quote(&worker.id)
            )
        }).collect();
        let orders = record.clone();
        let machines = http::serve(move |request| list_machines(&request, &listed, &orders));
        store.put("keyed.op", "config", &configuration(size));
        // The members' metrics have a fixed port, so that each member of each run needs an address of its own.
        let [.., high, low] = std::process::id().to_be_bytes();
        let members = (1..=size.members).map(|number| {
            let ip = format!("127.{}.{high}.{low}", 70 + number);
            Member::prepare(&temporary, number, &ip, size, store_address, machines)
        });
        let members = members.collect();
        let mut platform = Self { record, store, workers, members, seen, submissions, folder: temporary };
        for index in 0..size.members {
            platform.start_member(index);
        }
        platform
    }

    pub fn start_member(&mut self, index: usize) {
        let member = &mut self.members[index];
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{}.log", member.name)));
        let log = log.expect("a log file");
        let child = Command::new("target/release/jacinthhoistd")
            .arg("schedule")
            .env("JACINTHHOIST_NODE_FILE", &member.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        let child = child.expect("target/release/jacinthhoistd can be started");
        self.record.line(&format!("member {} starts as process {}", member.name, child.id()));
        STARTED.lock().unwrap().push(child.id());
        member.child = Some(child);
    }

    /// Sends a signal to the process of a member.
    pub fn signal(&self, index: usize, signal: &str) {
        let member = &self.members[index];
        if let Some(child) = &member.child {
            self.record.line(&format!("member {} gets SIG{signal}", member.name));
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Process of a member.
    pub fn process(&self, index: usize) -> Option<u32> {
        self.members[index].child.as_ref().map(Child::id)
    }

    /// Kills the process of a member and waits for its end.
    pub fn kill(&mut self, index: usize) {
        self.signal(index, "KILL");
        if let Some(child) = self.members[index].child.take() {
            end_child(child);
        }
    }

    /// Index of the member that holds the partition in the store.
    pub fn owner(&self) -> Option<usize> {
        let owner = self.store.owner()?;
        let name = owner.split('|').next()?;
        self.members.iter().position(|member| member.name == name)
    }

    /// Waits until all members are ready and one of them answers for the submissions.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let ready = self.members.iter().all(|member| {
                let call = |address, path: &str| {
                    http::call(address, "GET", HOST, path, "", Duration::from_millis(500)).map(|answer| answer.0)
                };
                call(member.ready, "/v1/ready") == Some(200)
                    && call(member.front, &format!("{PREFIX}00000000000000ff")) == Some(410)
            });
            if ready {
                self.record.line("all members are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line("the members are not ready");
        false
    }

    /// Submits until a member has accepted or rejected; a consumer repeats what got no answer.
    pub fn submit(&self, member: usize, id: &str, body: &str, steps: Vec<(u64, u64)>) -> bool {
        self.submissions.add(id, steps);
        for attempt in 0..12 {
            let front = self.members[(member + attempt) % self.members.len()].front;
            let sent = Instant::now();
            let answer = http::call(front, "POST", HOST, &format!("{PREFIX}{id}"), body, CONSUMER_LIMIT);
            let status = answer.map(|answer| answer.0);
            self.record.detail(sent, &format!("POST {id} {}", &body[..body.len().min(160)]));
            self.record.detail(Instant::now(), &format!("POST {id} -> {status:?}"));
            match status {
                Some(200) => return true,
                Some(400 | 404 | 413) => return false,
                _ => thread::sleep(Duration::from_millis(1_000)),
            }
        }
        false
    }

    pub fn state(&self, member: usize, id: &str) -> (Option<u16>, String) {
        let front = self.members[member % self.members.len()].front;
        let answer = http::call(front, "GET", HOST, &format!("{PREFIX}{id}"), "", CONSUMER_LIMIT);
        let Some((status, body)) = answer else {
            return (None, String::new());
        };
        let body = Json::parse(&body).unwrap_or(Json::Null);
        (Some(status), body.get("state").text().to_owned())
    }

    /// Waits for an end of a submission; returns the last state seen.
    pub fn wait_end(&self, member: usize, id: &str, limit: Duration) -> String {
        let (until, mut last) = (Instant::now() + limit, String::new());
        while Instant::now() < until {
            let (status, state) = self.state(member, id);
            let shown = format!("{status:?} {state}");
            if shown != last {
                self.record.line(&format!("GET {id} -> {shown}"));
                last = shown;
            }
            if matches!(state.as_str(), "completed" | "failed" | "cancelled") {
                return state;
            }
            thread::sleep(Duration::from_millis(100));
        }
        last
    }

    /// Takes one partition of the store down or brings it back.
    pub fn set_store_down(&self, down: bool) {
        self.store.down.store(down, Ordering::SeqCst);
        self.record.line(if down { "the partition of keyed.progress is down" } else { "the partition is back" });
    }

    /// Ends all members and removes what they wrote.
    pub fn end(mut self, keep_logs: bool) {
        self.end_members();
        if keep_logs {
            println!("logs of the members: {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Platform {
    fn end_members(&mut self) {
        for member in &mut self.members {
            if let Some(child) = member.child.take() {
                end_child(child);
            }
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.end_members();
    }
}

impl Member {
    fn prepare(
        folder: &std::path::Path,
        number: usize,
        ip: &str,
        size: &Size,
        store: SocketAddr,
        machines: SocketAddr,
    ) -> Self {
        let name = format!("front-z1-{number}");
        let address = || {
            let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
            listener.local_addr().expect("an address")
        };
        let (front, ready, peer) = (address(), address(), address());
        let Size { hold_max_ms, status_s, .. } = size;
        let text = format!(
            r#"node_name = "{name}"
role = "scheduler"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "z1"
region = "r1"
port_range = [{peer},{peer}]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "rpc"
[zones]
z1 = "r1"
[listen]
front = "{front}"
ready = "{ready}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
grace_s = 6
hold_max_ms = {hold_max_ms}
stop_ms = 900
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = {status_s}
move_s = 1.5
upkeep_s = 2
require_fence = true
lease_ms = 3000
[platform]
address = "{store}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = 16
append_ms = 3.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = {record_bytes}
call_bytes = {call_bytes}
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
[cloud_api]
address = "{machines}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"#,
            peer = peer.port(),
            record_bytes = crate::store::RECORD_BYTES,
            call_bytes = crate::store::CALL_BYTES,
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings can be written");
        Self { name, front, ready, settings, child: None }
    }
}

fn configuration(size: &Size) -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"work","host":"{HOST}","path_prefix":"{PREFIX}","service":"{SERVICE}","kind":"non_idempotent","timeout_ms":3000,"slo_ms":600,"max_attempts":{},"priority":0,"stretch":1.6}}],"services":[{{"name":"{SERVICE}","rejects_overload":true,"max_conns":64,"health_path":"/healthz"}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        size.attempts
    )
}

fn list_machines(request: &Request, listed: &[String], record: &Record) -> Answer {
    if request.method == "GET" {
        return json(200, format!("{{\"machines\":[{}],\"next_token\":\"\"}}", listed.join(",")));
    }
    record.line(&format!("an order for a machine: {}", request.path));
    json(409, "{\"reason\":\"busy\"}".to_owned())
}
