//! Cases of the review: `case NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. With TROUBLE=0 in the environment the same is done without the disruption.

mod cloud;
mod http;
mod json;
mod record;
mod store;
mod system;
mod worker;

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cloud::Treatment;
use json::{Json, number, table, text};
use record::Record;
use system::{LASTING, QUICK, System, fail_to_run, step};

fn main() {
    let mut words = std::env::args().skip(1);
    let (name, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::open(&path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            std::process::exit(2)
        }
    };
    record.write(&format!("case {name}, {}", if trouble { "with the disruption" } else { "without it" }));
    let case: fn(&mut System, bool) -> bool = match name.as_str() {
        "fill" => fill,
        "kind" => kind,
        "upkeep" => upkeep,
        other => {
            eprintln!("no case `{other}`");
            std::process::exit(2)
        }
    };
    let (workers, members) = (7, 3);
    let run = || case(&mut System::start(workers, members, &record), trouble);
    // The members are ended when the system is dropped, also by a panic.
    let Ok(broken) = catch_unwind(AssertUnwindSafe(run)) else {
        record.write("the case could not run");
        std::process::exit(2)
    };
    record.write(if broken { "the rule was BROKEN" } else { "the rule held" });
    println!("{name}: {}", if broken { "broken" } else { "held" });
    std::process::exit(i32::from(broken));
}

/// A worker that runs a work unit which fills is emptied and taken away; all others serve.
fn fill(system: &mut System, trouble: bool) -> bool {
    let (filler, server) = ("f111111111111111", "a222222222222222");
    let filling = step(1, 2_600, 9_700, None, &[("fills", Json::Bool(true)), ("image", text("img-f"))]);
    if !system.submit(LASTING, filler, &[filling]) {
        fail_to_run("the submission that fills was not accepted");
    }
    let task = format!("{filler}.0.0.0");
    if !system.wait(Duration::from_secs(8), |system| system.find_run(&task).is_some()) {
        fail_to_run("the work unit that fills did not start");
    }
    let serving = step(
        6,
        2_600,
        9_700,
        None,
        &[("target_ms", number(200)), ("max_per_server", number(1)), ("image", text("img-s"))],
    );
    if !system.submit(LASTING, server, &[serving]) {
        fail_to_run("the submission that serves was not accepted");
    }
    let all_serve = |system: &System| {
        (0..6).all(|index| system.find_run(&format!("{server}.0.0.{index}")).is_some())
    };
    if !system.wait(Duration::from_secs(10), all_serve) {
        fail_to_run("not all work units that serve have started");
    }
    thread::sleep(Duration::from_secs(3));
    if trouble && let Some((worker, _)) = system.find_run(&task) {
        worker.drain_and_leave();
    }
    // The rule: 6 s after its last run, 3 s calm and the 4 s before them.
    let (begin, mut last_run, mut longest) = (Instant::now(), Instant::now(), Duration::ZERO);
    while begin.elapsed() < Duration::from_secs(40) {
        if system.find_run(&task).is_some() {
            last_run = Instant::now();
        }
        longest = longest.max(last_run.elapsed());
        thread::sleep(Duration::from_millis(100));
    }
    system.record.write(&format!("{task} was without a run for {:.1} s", longest.as_secs_f64()));
    system.record.write(&format!("its submission is shown as {}", system.state(LASTING, filler)));
    longest > Duration::from_secs(6 + 4 + 3)
}

/// A worker crashes and starts again under its id as another kind, while work units that require the first kind wait.
fn kind(system: &mut System, trouble: bool) -> bool {
    let id = "c333333333333333";
    let worker = system.workers[0].clone();
    // All workers are of kind `a`; more work units than they can run at once.
    let required = step(240, 8_000, 3_600, Some(500), &[("requires", text("a"))]);
    if !system.submit(QUICK, id, &[required]) {
        fail_to_run("the submission was not accepted");
    }
    thread::sleep(Duration::from_millis(800));
    if trouble {
        worker.go_down("crashes");
        thread::sleep(Duration::from_millis(1_000));
        // Its first entry comes a third of `heartbeat_ms` after its start.
        if worker.come_back(&worker.id(), "b", Duration::from_millis(500)).is_err() {
            fail_to_run("the worker could not start again");
        }
    }
    let is_done = |system: &System| system.state(QUICK, id) == "completed";
    system.wait(Duration::from_secs(30), is_done);
    let misplaced = worker.misplaced();
    system.record.write(&format!("GET    {QUICK}{id}: {}", system.state(QUICK, id)));
    system.record.write(&format!("{misplaced} starts on a worker without the label in `requires`"));
    misplaced > 0
}

/// The answer to an order for an upkeep is lost, its sender is killed, and the order is carried out late.
fn upkeep(system: &mut System, trouble: bool) -> bool {
    let ordered = Arc::new(AtomicBool::new(false));
    let seen = ordered.clone();
    system.cloud.treat(move |call, _| {
        seen.store(true, Ordering::SeqCst);
        if trouble && call == 0 { Treatment::Late(Duration::from_millis(3_300)) } else { Treatment::Sound }
    });
    let machines: Vec<Json> = system.workers.iter().map(|worker| text(&worker.place.machine)).collect();
    let count = machines.len();
    let wave = table(&[
        ("wave", number(1)),
        ("machines", Json::List(machines)),
        ("duration_s", number(30)),
        ("cap", number(1)),
    ]);
    system.store.put("keyed.op", "wave/1", &wave.write());
    if !system.wait(Duration::from_secs(20), |_| ordered.load(Ordering::SeqCst)) {
        fail_to_run("no upkeep was ordered");
    }
    if trouble {
        let Some(owner) = system.owner() else { fail_to_run("no member is the owner") };
        system.kill_member(owner);
    }
    // Work for one machine, so that the next owner does not order the same one first.
    let id = "d444444444444444";
    if !system.submit(QUICK, id, &[step(1, 1_800, 3_600, Some(6_000), &[])]) {
        fail_to_run("the submission was not accepted");
    }
    let is_done = |system: &System| system.cloud.kept_up() == count;
    system.wait(Duration::from_secs(45), is_done);
    let (done, most) = (system.cloud.kept_up(), *system.cloud.most_down.lock().unwrap());
    system.record.write(&format!("{done} of {count} upkeeps have begun; at most {most} at once, cap 1"));
    most > 1
}
