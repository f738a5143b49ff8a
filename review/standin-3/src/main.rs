//! Stand-ins for the scripts of the third review: the project's own fake platform (store, workers, list
//! of machines) in one process, with members of the scheduler as separate processes.
//!
//! Usage: `review-standin-3 SCENARIO DAEMON FOLDER RECORD TROUBLE`. With 0 for TROUBLE the disruption is left out.
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod config;
mod crowds;
mod fleet;
mod policy;

use std::{env, process::exit, time::Duration};

use tokio::{
    signal::unix::{SignalKind, signal},
    time::{sleep, timeout},
};

/// Time that a case may take.
const LIMIT: Duration = Duration::from_secs(112);
/// Time in which the processes of a case are ended.
const END_TIME: Duration = Duration::from_millis(800);

#[tokio::main]
async fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let [scenario, daemon, folder, record, trouble] = args.as_slice() else {
        eprintln!("usage: review-standin-3 SCENARIO DAEMON FOLDER RECORD TROUBLE");
        exit(2);
    };
    let setup = fleet::Setup {
        daemon: daemon.into(),
        folder: folder.into(),
        record: record.into(),
        trouble: trouble != "0",
        advice: None,
    };
    let case = async {
        match scenario.as_str() {
            "policy" => policy::run(setup).await,
            "attempts" => config::attempts(setup).await,
            "schedules" => crowds::schedules(setup).await,
            "many-steps" => crowds::steps(setup).await,
            "stalled-bodies" => crowds::bodies(setup).await,
            "stalled-descriptors" => crowds::descriptors(setup).await,
            other => Err(format!("unknown scenario {other}").into()),
        }
    };
    let Ok(mut term) = signal(SignalKind::terminate()) else {
        exit(2);
    };
    let broken = tokio::select! {
        broken = timeout(LIMIT, case) => broken,
        _ = term.recv() => Ok(Err("it was told to end".into())),
    };
    // The processes are killed as the tasks that hold them are dropped.
    sleep(END_TIME).await;
    match broken {
        Ok(Ok(true)) => exit(1),
        Ok(Ok(false)) => exit(0),
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
        Err(_) => {
            eprintln!("the case took too long");
            exit(2);
        }
    }
}
