//! Stand-in for the platform, its workers and its consumers, for the cases of this review.
//!
//! It speaks the published protocol over loopback, starts the members of the scheduler as separate
//! processes, brings about the disruption of one case, and checks the rule of that case by what
//! workers and consumers have seen. Only the standard library is used.

mod case;
mod http;
mod json;
mod platform;
mod store;
mod worker;

use std::{process::Command, thread, time::Duration};

/// Time after which a run is given up.
const RUN_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    thread::spawn(|| {
        thread::sleep(RUN_LIMIT);
        for process in platform::STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").arg("-KILL").arg(process.to_string()).status();
        }
        println!("the run has taken too long");
        std::process::exit(2);
    });
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_else(|| ".".to_owned());
    std::process::exit(case::run(&name, &folder));
}
