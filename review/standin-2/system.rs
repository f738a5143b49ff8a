//! The system under test beside its stand-ins: store, workers, machines, members and clients.

use std::{
    collections::BTreeMap,
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    cloud::Cloud,
    http::{Server, call},
    json::{Json, number, table, text},
    record::Record,
    store::Store,
    worker::{Place, Step, Steps, Worker},
};

pub const HOST: &str = "desk.example";
/// Queue of submissions that end.
pub const QUICK: &str = "/quick/";
/// Queue of submissions that last.
pub const LASTING: &str = "/lasting/";
pub const POOL: &str = "pool-a";

pub struct Member {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    pub front: String,
    ready: String,
    child: Option<Child>,
}

pub struct System {
    pub store: Store,
    pub workers: Vec<Arc<Worker>>,
    pub cloud: Cloud,
    pub members: Vec<Member>,
    pub record: Record,
    steps: Steps,
    folder: PathBuf,
    _servers: Vec<Server>,
    _lock: TcpListener,
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("no free port");
    listener.local_addr().unwrap().port()
}

/// Returns the first three parts of loopback addresses on which the port of the metrics is free, and a listener
/// that keeps other cases from choosing the same.
fn free_net() -> (String, TcpListener) {
    let begin = std::process::id() % 200;
    for offset in 0..200 {
        let net = format!("127.{}.{}", 30 + (begin + offset) % 200, 1 + begin % 250);
        let Ok(lock) = TcpListener::bind(format!("{net}.250:9465")) else { continue };
        let is_free = (1..=6).all(|host| TcpListener::bind(format!("{net}.{host}:9464")).is_ok());
        if is_free {
            return (net, lock);
        }
    }
    panic!("no free loopback addresses");
}

impl System {
    /// Starts everything and waits until all members are ready and know all workers.
    pub fn start(workers: usize, members: usize, record: &Record) -> System {
        let (net, lock) = free_net();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("no temporary folder");
        let (store, steps) = (Store::default(), Steps::default());
        let store_server = store.start(&format!("{net}.200:0")).expect("store");
        let workers: Vec<Arc<Worker>> = (0..workers)
            .map(|index| {
                let machine = format!("m-{index}");
                let place = Place {
                    machine: machine.clone(),
                    pool: POOL.to_owned(),
                    rack: format!("r1-{}", index / 4),
                    cpu: 32_000,
                    mem_mb: 131_072,
                };
                let ip = format!("{net}.{}", 100 + index);
                Worker::start(&format!("{machine}-1"), place, &ip, &store, &steps, record).expect("worker")
            })
            .collect();
        let cloud = Cloud::new(&workers, record);
        let cloud_server = cloud.start(&format!("{net}.201:0")).expect("machines");
        store.put("keyed.op", "config", &config().write());
        let members = (1..=members).map(|index| {
            let ip = format!("{net}.{index}");
            Member::new(index, &ip, &folder, store_server.address, cloud_server.address)
        });
        let mut system = System {
            store,
            workers,
            cloud,
            members: members.collect(),
            record: record.clone(),
            steps,
            folder,
            _servers: vec![store_server, cloud_server],
            _lock: lock,
        };
        for index in 0..system.members.len() {
            system.start_member(index);
        }
        let is_ready = |system: &System| {
            let ready = |member: &Member| {
                let answer = call(&member.ready, "GET", "/v1/ready", HOST, "");
                answer.is_some_and(|(status, _)| status == 200)
            };
            let counts = || {
                let answer = call(&system.members[0].front, "GET", QUICK, HOST, "");
                answer.is_some_and(|(status, _)| status == 200)
            };
            system.members.iter().all(ready) && system.store.owner().is_some() && counts()
        };
        if !system.wait(Duration::from_secs(30), is_ready) {
            fail_to_run("the members did not become ready");
        }
        thread::sleep(Duration::from_secs(2));
        record.write("the system is up");
        system
    }

    pub fn start_member(&mut self, index: usize) {
        let member = &mut self.members[index];
        let log = fs::File::create(&member.log).expect("log");
        // The command of the deploy file.
        let child = Command::new("target/release/jacinthhoistd")
            .arg("schedule")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("JACINTHHOIST_NODE_FILE", &member.settings)
            .stdout(Stdio::from(log.try_clone().expect("log")))
            .stderr(Stdio::from(log))
            .spawn();
        match child {
            Ok(child) => member.child = Some(child),
            Err(error) => fail_to_run(&format!("target/release/jacinthhoistd: {error}")),
        }
        self.record.write(&format!("member {} is started", member.name));
    }

    pub fn kill_member(&mut self, index: usize) {
        let member = &mut self.members[index];
        if let Some(mut child) = member.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record.write(&format!("member {} is killed", member.name));
    }

    /// Returns the member to which the store has given the partition.
    pub fn owner(&self) -> Option<usize> {
        let owner = self.store.owner()?;
        let name = owner.split('|').next().unwrap_or_default();
        self.members.iter().position(|member| member.name == name)
    }

    /// Sends a submission until it is accepted, to one member after the other, as consumers do.
    pub fn submit(&self, queue: &str, id: &str, steps: &[(Step, Json)]) -> bool {
        let known = steps.iter().map(|(step, _)| *step).collect();
        self.steps.lock().unwrap().insert(id.to_owned(), known);
        let wire = steps.iter().map(|(_, wire)| wire.clone()).collect();
        let body = table(&[("task_spec", text(id)), ("steps", Json::List(wire))]).write();
        for attempt in 0..5 {
            let member = &self.members[attempt % self.members.len()];
            let answer = call(&member.front, "POST", &format!("{queue}{id}"), HOST, &body);
            let status = answer.map(|(status, _)| status);
            self.record.write(&format!("POST   {queue}{id} at {}: {status:?}", member.name));
            if status == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(500));
        }
        false
    }

    /// Asks for the state of a submission; empty without one.
    pub fn state(&self, queue: &str, id: &str) -> String {
        for member in &self.members {
            let answer = call(&member.front, "GET", &format!("{queue}{id}"), HOST, "");
            if let Some((200, body)) = answer {
                return body.text("state");
            }
        }
        String::new()
    }

    /// Returns the worker on which a work unit runs, with the age of the run.
    pub fn find_run(&self, task: &str) -> Option<(Arc<Worker>, Duration)> {
        self.workers.iter().find_map(|worker| {
            let runs = worker.runs();
            let (_, age) = runs.iter().find(|(name, _)| name == task)?;
            Some((worker.clone(), *age))
        })
    }

    pub fn wait(&self, limit: Duration, mut is_met: impl FnMut(&System) -> bool) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if is_met(self) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

}

impl Drop for System {
    /// Ends all processes; keeps the logs of the members if a variable names a folder for them.
    fn drop(&mut self) {
        for member in &mut self.members {
            if let Some(mut child) = member.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if let Ok(to) = std::env::var("KEEP_LOGS") {
            let _ = fs::create_dir_all(&to);
            for member in &self.members {
                let kept = PathBuf::from(&to).join(format!("{}.log", member.name));
                let _ = fs::copy(&member.log, kept);
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Ends the case as one that could not run; `main` turns this into the exit code.
pub fn fail_to_run(why: &str) -> ! {
    panic!("the case could not run: {why}")
}

impl Member {
    fn new(index: usize, ip: &str, folder: &PathBuf, store: SocketAddr, cloud: SocketAddr) -> Member {
        let name = format!("front-zone-a-{index}");
        let (front, ready) = (free_port(ip), free_port(ip));
        let first = (20_000 + (std::process::id() % 2_000) * 16) as u16;
        let settings = folder.join(format!("{name}.toml"));
        let lines = format!(
            r#"node_name = "{name}"
role = "scheduler"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
port_range = [{first},{last}]
seeds = []
bootstrap = true
fault_counted = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "rpc"
[zones]
zone-a = "region-a"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
recover_s = 12
hold_max_ms = 6000
stop_ms = 400
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 2
save_s = 1
restore_ms = 250
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
require_fence = true
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = "{store}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = 16
append_ms = 3.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
[cloud_api]
address = "{cloud}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"#,
            last = first + 15,
        );
        fs::write(&settings, lines).expect("settings");
        Member {
            log: folder.join(format!("{name}.log")),
            name,
            settings,
            front: format!("{ip}:{front}"),
            ready: format!("{ip}:{ready}"),
            child: None,
        }
    }
}

fn config() -> Json {
    let route = |name: &str, prefix: &str, slo_ms: u64, attempts: u64, stretch: f64| {
        table(&[
            ("name", text(name)),
            ("host", text(HOST)),
            ("path_prefix", text(prefix)),
            ("kind", text("non_idempotent")),
            ("timeout_ms", number(3_000)),
            ("slo_ms", number(slo_ms)),
            ("priority", number(0)),
            ("service", text(POOL)),
            ("max_attempts", number(attempts)),
            ("stretch", Json::Number(stretch)),
        ])
    };
    let service = table(&[
        ("name", text(POOL)),
        ("health_path", text("/healthz")),
        ("max_conns", number(64)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
        ("rejects_overload", Json::Bool(true)),
        ("spare", Json::Bool(false)),
    ]);
    table(&[
        ("version", number(7)),
        (
            "routes",
            Json::List(vec![
                route("r-quick", QUICK, 600, 4, 1.6),
                route("r-lasting", LASTING, 2_500, 2, 2.2),
            ]),
        ),
        ("services", Json::List(vec![service])),
        (
            "limits",
            table(&[
                ("max_header_bytes", number(16_384)),
                ("max_body_bytes", number(262_144)),
                ("header_timeout_ms", number(3_000)),
                ("idle_timeout_ms", number(15_000)),
            ]),
        ),
    ])
}

/// Builds a step as the workers and the wire see it.
pub fn step(count: u64, cpu: u64, mem_mb: u64, work_ms: Option<u64>, more: &[(&str, Json)]) -> (Step, Json) {
    let mut wire: BTreeMap<String, Json> = BTreeMap::new();
    for (name, value) in [("count", count), ("cpu", cpu), ("mem_mb", mem_mb)] {
        wire.insert(name.to_owned(), number(value));
    }
    wire.insert("estimate_ms".to_owned(), number(work_ms.unwrap_or(500)));
    if work_ms.is_none() {
        wire.insert("long_running".to_owned(), Json::Bool(true));
    }
    wire.extend(more.iter().map(|(name, value)| ((*name).to_owned(), value.clone())));
    let wire = Json::Table(wire.into_iter().collect());
    let known = Step {
        cpu,
        mem_mb,
        fills: wire.flag("fills"),
        serves: wire.number("target_ms").unwrap_or(0) > 0,
        work_ms,
        // The stand-ins have the kinds `a` and `b`; only `a` is ever required.
        requires: wire.get("requires").map(|_| "a"),
    };
    (known, wire)
}
